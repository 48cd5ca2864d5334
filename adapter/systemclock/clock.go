// Package systemclock implements port.Clock with the clocks of the machine.
package systemclock

import (
	"time"

	"github.com/mangoknot/mangoknot/port"
)

// Clock is the machine's wall clock. Its times include a monotonic reading, so
// that adjustments of the wall clock do not change measured durations.
type Clock struct{}

// Now returns the current time.
func (Clock) Now() time.Time { return time.Now() }

// NewTimer returns a timer that fires after d.
func (Clock) NewTimer(d time.Duration) port.Timer { return timer{time.NewTimer(d)} }

type timer struct{ *time.Timer }

func (t timer) C() <-chan time.Time { return t.Timer.C }

func (t timer) Stop() { t.Timer.Stop() }

func (t timer) Reset(d time.Duration) { t.Timer.Reset(d) }
