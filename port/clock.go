package port

import "time"

// Clock gives the current time and timers. Tests replace it by a manual clock.
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
