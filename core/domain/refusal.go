package domain

import (
	"errors"
	"fmt"
	"time"
)

// Reason is the stable code of a refusal. It is also a metric label value.
type Reason string

// The reasons of refusals, as returned to callers.
const (
	ReasonKeyMissing           Reason = "key_missing"
	ReasonKeyUnknown           Reason = "key_unknown"
	ReasonKeyWithdrawn         Reason = "key_withdrawn"
	ReasonBadRequest           Reason = "bad_request"
	ReasonTooLarge             Reason = "too_large"
	ReasonModelUnknown         Reason = "model_unknown"
	ReasonModelNotAllowed      Reason = "model_not_allowed"
	ReasonRouteUnknown         Reason = "route_unknown"
	ReasonProgramUnknown       Reason = "program_unknown"
	ReasonProgramEnded         Reason = "program_ended"
	ReasonRateExceeded         Reason = "rate_exceeded"
	ReasonConcurrency          Reason = "concurrency"
	ReasonQueueTimeout         Reason = "queue_timeout"
	ReasonOverloaded           Reason = "overloaded"
	ReasonNewPrograms          Reason = "new_programs_paused"
	ReasonProgramBudget        Reason = "program_budget"
	ReasonAccountBudget        Reason = "account_budget"
	ReasonBudgetUnreachable    Reason = "budget_unreachable"
	ReasonSpendRate            Reason = "spend_rate"
	ReasonTurnLimit            Reason = "turn_limit"
	ReasonTimeLimit            Reason = "time_limit"
	ReasonRepeatedCall         Reason = "repeated_call"
	ReasonRequestCrashes       Reason = "request_crashes_targets"
	ReasonInProgress           Reason = "in_progress"
	ReasonOutcomeUnknown       Reason = "outcome_unknown"
	ReasonKeyReused            Reason = "idempotency_key_reused"
	ReasonNoTarget             Reason = "no_target"
	ReasonTargetFailed         Reason = "target_failed"
	ReasonToolTimeout          Reason = "tool_timeout"
	ReasonUnreachable          Reason = "owner_unreachable"
	ReasonIsolated             Reason = "isolated"
	ReasonStorageFailed        Reason = "storage_failed"
	ReasonHistoryCorrupt       Reason = "history_corrupt"
	ReasonStopping             Reason = "stopping"
	ReasonCallerGone           Reason = "caller_gone"
	ReasonConflict             Reason = "conflict"
	ReasonNoLeader             Reason = "no_leader"
	ReasonOperatorUnauthorized Reason = "operator_unauthorized"
)

// Outcome is what is known about the execution of a refused request.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeNotRun means that no target received the request.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown
	// OutcomeDone means that the request completed.
	OutcomeDone
)

// String returns the outcome's name in the API for callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeDone:
		return "done"
	default:
		return "unknown"
	}
}

// Refusal is the error of a request that was rejected or failed. Its message names
// the remedy.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// Remedy is one sentence for the caller: what happened and what to do.
	Remedy string
	// RetryAfter is the time to wait before a retry. Zero means that waiting does
	// not help.
	RetryAfter time.Duration
}

// Error returns the reason, the outcome and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Remedy)
}

// NotRun returns a refusal of a request that no target received. The remedy is
// formatted as by fmt.Sprintf.
func NotRun(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Remedy: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal of a request that a target may have run. The remedy is
// formatted as by fmt.Sprintf.
func Unknown(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeUnknown, Remedy: fmt.Sprintf(format, args...)}
}

// After sets RetryAfter and returns the refusal.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// AsRefusal returns the refusal in the error's chain and whether there is one.
func AsRefusal(err error) (*Refusal, bool) {
	var refusal *Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}
