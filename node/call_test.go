package node

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/program"
	"github.com/mangoknot/mangoknot/port"
)

// absentHistory holds no turns.
type absentHistory struct{ port.HistoryStore }

func (absentHistory) Get(context.Context, port.HistoryRef) ([]byte, error) {
	return nil, port.ErrHistoryMissing
}

// Guards against a call that ran and is reported as not run, because its stored answer
// cannot be read when the caller asks for it again.
func TestUnreadableStoredAnswerHasRun(t *testing.T) {
	state := config.NewState()
	state.Apply(1, &config.Change{Operation: "1", Command: &config.SetHomes{DataCentres: []domain.DataCentre{"d"}}})
	n := &Node{ports: Ports{History: absentHistory{}}, shared: &shared{}, log: logr.Discard()}
	n.shared.view.Store(state.View())
	c := &call{node: n, begin: program.BeginCall{Program: domain.ProgramID{Account: "a", Name: "p"}}}
	err := c.complete(t.Context(), &chatRunner{}, &program.CallCommitted{Stored: &program.Answer{Length: 1}})
	refusal, ok := domain.AsRefusal(err)
	must.True(t, ok, must.Sprint(err))
	must.Eq(t, domain.ReasonUnreachable, refusal.Reason)
	must.Eq(t, domain.OutcomeUnknown, refusal.Outcome)
}

// Guards against a failure of a target that is reported as a refusal: the target may have run
// the call.
func TestFailureOfTargetIsNoRefusal(t *testing.T) {
	for status, want := range map[int]program.FailKind{
		0: program.FailTimedOut, 400: program.FailRefused, 429: program.FailRefused, 503: program.FailRefused,
		500: program.FailErrored, 502: program.FailErrored, 504: program.FailErrored,
	} {
		err := &port.Failure{Kind: port.FailureBadAnswer, Status: status, Sent: true}
		must.Eq(t, want, failKindOf(t.Context(), err), must.Sprint(status))
	}
}
