package systemclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/mangoknot/mangoknot/port"
)

// Boot is a clock that includes the time during which the machine was suspended.
// It is used for the expiry of leases and promises that other VMs rely on, because
// the monotonic clock stops while a machine is suspended. Its times can only be
// compared with each other; they are not dates.
type Boot struct{}

// Now returns the time since the machine booted, as an offset from the Unix epoch.
func (Boot) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME is available since Linux 2.6.39.
		panic("systemclock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(t.Unix())
}

// NewTimer returns a timer that fires after d on the monotonic clock. After a
// suspension it fires late.
func (Boot) NewTimer(d time.Duration) port.Timer { return timer{time.NewTimer(d)} }
