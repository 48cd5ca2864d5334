package schedule

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Limits and delays of retries.
const (
	maxAttempts = 4
	// A retry takes one token from the account's bucket. Finished calls and
	// elapsed time add tokens, so that retries stay a small part of the
	// traffic.
	retryBurst     = 10.0
	retryPerCall   = 0.1
	retryPerSecond = 0.1
	baseRetryDelay = 100 * time.Millisecond
	maxRetryDelay  = 5 * time.Second
)

// retryBudget is the token bucket that limits the retries of an account.
type retryBudget struct {
	tokens float64
	at     time.Time
}

func (b *retryBudget) refill(now time.Time) {
	b.tokens = min(b.tokens+retryPerSecond*max(now.Sub(b.at).Seconds(), 0), retryBurst)
	b.at = now
}

func (b *retryBudget) credit() { b.tokens = min(b.tokens+retryPerCall, retryBurst) }

func (b *retryBudget) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Limits of the time for which a target that crashed or cannot be reached
// receives no calls. Without a suspension its calls fail immediately, so it
// appears idle and attracts more of them.
const (
	baseSuspension = 500 * time.Millisecond
	maxSuspension  = 8 * time.Second
)

// suspend stops dispatch to a target. The duration doubles with each
// consecutive failure.
func (s *Scheduler) suspend(now time.Time, t *target) {
	if now.Before(t.suspendedUntil) {
		return
	}
	t.suspendedUntil = now.Add(min(baseSuspension<<min(t.consecutiveFailures, 8), maxSuspension))
	t.consecutiveFailures++
	s.suspended = append(s.suspended, t)
}

// resumeTargets makes the capacity of targets whose suspension has ended
// available again.
func (s *Scheduler) resumeTargets(now time.Time) {
	s.suspended = slices.DeleteFunc(s.suspended, func(t *target) bool {
		ended := !now.Before(t.suspendedUntil)
		if ended {
			s.offerCapacity(now, t)
		}
		return ended
	})
}

// Failed ends an attempt of a running call. It returns nil if the call will be
// retried, or is not running, and otherwise the refusal that ends the call.
func (s *Scheduler) Failed(now time.Time, id domain.CallID, kind FailureKind) *domain.Refusal {
	c := s.calls[id]
	if c == nil || c.state != stateRunning {
		return nil
	}
	t := c.target
	c.maybeReceived = c.maybeReceived || kind != FailureNotRun && kind != FailureUnreachable
	if kind == FailureCrash || kind == FailureUnreachable {
		s.suspend(now, t)
	}
	c.flow.charge(-c.chargedCost)
	if kind == FailureCrash {
		s.cache.clear(t, now)
	}
	s.releaseCapacity(now, c)
	if !c.Repeatable {
		s.removeCall(c)
		return domain.Unknown(domain.ReasonTargetFailed, "the target failed and the call must not run twice; check its effect before sending it again")
	}
	if c.attempt >= maxAttempts || !c.flow.account.retries.take(now) {
		s.removeCall(c)
		refusal := domain.NotRun(domain.ReasonTargetFailed, "the targets failed and the retry budget is used up; send the call again later")
		if c.maybeReceived {
			refusal.Outcome = domain.OutcomeUnknown
		}
		return refusal.After(maxRetryDelay)
	}
	c.failed = append(c.failed, t)
	c.state = stateDelayed
	s.setTimer(c, now.Add(s.retryDelay(c.attempt)))
	return nil
}

// retryDelay doubles with each attempt and has a jitter of 50% in both
// directions, so that calls that failed together are not retried together.
func (s *Scheduler) retryDelay(attempt int) time.Duration {
	d := min(baseRetryDelay<<(attempt-1), maxRetryDelay)
	return time.Duration(float64(d) * (0.5 + s.config.Rand.Float64()))
}

func queueTimeoutRefusal(c *call) *domain.Refusal {
	refusal := domain.NotRun(domain.ReasonQueueTimeout, "no target became free in time; retry later or ask the operator for more targets").After(maxRetryDelay)
	if c.maybeReceived {
		refusal.Outcome = domain.OutcomeUnknown
	}
	return refusal
}
