package systemclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/mangoknot/mangoknot/port"
)

// Boot is a clock that also counts the time for which the machine was suspended.
// Leases and promises that other VMs rely on are judged by it: the monotonic
// clock stands still in a suspended machine. Its times compare with each other
// only; they are no dates.
type Boot struct{}

// Now returns the time since the machine started, as an offset from 1970.
func (Boot) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call cannot fail on Linux 2.6.39 and later.
		panic("systemclock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(t.Unix())
}

// NewTimer returns a timer that fires after d of the monotonic clock, which may
// be late after a suspension.
func (Boot) NewTimer(d time.Duration) port.Timer { return timer{time.NewTimer(d)} }
