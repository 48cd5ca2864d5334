package port

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Metrics counts what the system does. Implementations bound their label sets.
type Metrics interface {
	// Refused counts a refusal that a caller saw.
	Refused(account domain.Account, reason domain.Reason, outcome domain.Outcome)
	// Retried counts a repeated call or message.
	Retried(reason string)
	// CallDone observes one served call: time to the first token and in total.
	CallDone(account domain.Account, firstToken, total time.Duration, usage domain.Usage, cost domain.Micros)
	// ProgramEnded observes the latency of a whole program.
	ProgramEnded(account domain.Account, latency time.Duration)
	// MessageDropped counts a control message lost to a full queue.
	MessageDropped(to domain.VM)
	// ControlStep observes the processor time of one step of the control
	// goroutine.
	ControlStep(d time.Duration)
}
