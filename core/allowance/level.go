package allowance

import "time"

const (
	// takeoverPeriod is the time after its first report for which a coordinator may not know
	// all that gateways admitted before. Every gateway that runs reports twice within it.
	takeoverPeriod = time.Second
	// assumedShare is the part of its burst that an account is assumed to have left while
	// the coordinator cannot know it, such as after a restart of all processes.
	assumedShare = 0.5
	// maxDeficitPeriod bounds the deficit of a bucket to what the rate refills in this time.
	maxDeficitPeriod = 4 * time.Second
)

// fleetBucket is the coordinator's token bucket of an account. It subtracts what all gateways
// report, so that a gateway needs no memory of what the others admitted: it may have
// started just now, or may have had no coordinator for a while.
type fleetBucket struct {
	level  float64
	limit  Limit
	filled time.Time
	// version is the version of the configuration that limit is from.
	version uint64
	// confirmed reports whether the level is based on one that a gateway had received. It is
	// assumed otherwise.
	confirmed bool
	// spent is the number of requests that were subtracted so far.
	spent float64
	// overdrawn reports whether the level is lower than gateways may take it unseen.
	overdrawn bool
}

// setLimit sets the limit from a version of the configuration that is not older than the
// present one. A new bucket holds the given share of its burst.
func (b *fleetBucket) setLimit(now time.Time, version uint64, limit Limit, share float64) {
	switch {
	case b.filled.IsZero():
		b.level, b.limit, b.filled = limit.Burst*share, limit, now
	case version < b.version:
		return
	}
	b.refill(now)
	b.limit, b.version = limit, version
	b.level = min(b.level, limit.Burst)
}

func (b *fleetBucket) refill(now time.Time) {
	b.level = min(b.limit.Burst, b.level+now.Sub(b.filled).Seconds()*b.limit.RatePerSecond)
	b.filled = now
}

// adopt takes over the level that a gateway received from a former coordinator some time
// ago. Gateways received it at different times, and the lowest one includes the most.
func (b *fleetBucket) adopt(level float64, age time.Duration) {
	level = min(b.limit.Burst, level+age.Seconds()*b.limit.RatePerSecond) - b.spent
	if !b.confirmed || level < b.level {
		b.level = level
	}
	b.confirmed = true
}

// take subtracts requests and reports whether the bucket became overdrawn. A negative number
// returns requests that were assumed.
func (b *fleetBucket) take(now time.Time, requests float64) bool {
	if b.filled.IsZero() {
		return false
	}
	b.refill(now)
	b.spent += requests
	b.level = max(min(b.level-requests, b.limit.Burst), -b.limit.RatePerSecond*maxDeficitPeriod.Seconds())
	before := b.overdrawn
	// Gateways take requests that wait for the refill in advance.
	b.overdrawn = b.level < -b.limit.Unseen-b.limit.RatePerSecond*MaxRefillWait.Seconds()
	return b.overdrawn && !before
}
