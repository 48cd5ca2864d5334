package port

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Metrics records counters and latencies. Implementations bound their label
// sets.
type Metrics interface {
	// Refused counts a refusal that was sent to a caller.
	Refused(account domain.Account, reason domain.Reason, outcome domain.Outcome)
	// Retried counts a repeated call or message.
	Retried(reason string)
	// CallDone observes a completed call: the time to its first token and its
	// total time.
	CallDone(account domain.Account, firstToken, total time.Duration, usage domain.Usage, cost domain.Micros)
	// ProgramEnded observes the latency of a whole program.
	ProgramEnded(account domain.Account, latency time.Duration)
	// MessageDropped counts a control message that was dropped because the queue
	// to its VM was full.
	MessageDropped(to domain.VM)
	// ControlStep observes the processor time of one step of the control
	// goroutine.
	ControlStep(d time.Duration)
}
