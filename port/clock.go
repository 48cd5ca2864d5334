package port

import "time"

// Clock returns the current time and creates timers. Tests use a manual clock.
type Clock interface {
	Now() time.Time
	NewTimer(d time.Duration) Timer
}

// Timer fires once on its channel.
type Timer interface {
	C() <-chan time.Time
	Stop()
	Reset(d time.Duration)
}
