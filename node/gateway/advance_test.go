package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// largeBudgetTurn returns a turn of a program whose budget covers many turns.
func largeBudgetTurn(id, previous string) *Request {
	r := turnRequest(id, previous)
	r.Budget = 1000
	return r
}

func (n *network) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Guards against a round trip to the storage VMs before each later turn of a
// program, on routes with and without stored history.
func TestLaterTurnNeedsNoWrite(t *testing.T) {
	for _, path := range []string{"/chat/1", "/resume/1"} {
		r := newRig(t)
		g := r.startGateway(0)
		var before int
		calls := -1
		r.targets.answer = func(n int, _ port.TargetRequest) (port.Answer, error) {
			calls = r.network.callCount() - before
			return &scriptedAnswer{status: 200, events: []string{"e"}}, nil
		}
		first, second := largeBudgetTurn("1", ""), largeBudgetTurn("2", "")
		first.Path, second.Path = path, path
		refusal, _ := r.serve(g, first)
		must.Nil(t, refusal)
		must.Positive(t, calls)
		// On a route without history the advance reservation is written after the
		// caller has received the whole answer.
		must.True(t, eventually(func() bool { return noPendingSettlements(g) }))
		before = r.network.callCount()
		refusal, _ = r.serve(g, second)
		must.Nil(t, refusal)
		must.Eq(t, 0, calls, must.Sprint(path))
	}
}

// noPendingSettlements reports whether the settlements of all turns are
// written.
func noPendingSettlements(g *Gateway) bool {
	pending := -1
	err := g.Do(g.Context(), func(time.Time) { pending = len(g.pendingSettlements) })
	return err == nil && pending == 0
}

// Guards against an advance reservation that is kept when no further turn
// arrives: the program could not use its whole budget through another gateway.
func TestUnusedReservationsAreReleased(t *testing.T) {
	r := newRig(t)
	r.targets.answer = streamOf("e", "e") // 20 tokens, the limit of a turn
	gateways := []*Gateway{r.startGateway(0), r.startGateway(1), r.startGateway(2)}
	served := 0
	must.True(t, eventually(func() bool {
		refusal, reply := r.serve(gateways[served%3], turnRequest(fmt.Sprint(time.Now().UnixNano()), ""))
		if refusal == nil && reply.ended {
			served++
		}
		return refusal != nil && refusal.Kind == BudgetSpent
	}))
	must.Eq(t, 5, served)
}

// Guards against the refusal "the budget is spent" while a turn is blocked by
// advance reservations only: the caller would abandon the program instead of
// retrying.
func TestReservedBudgetIsNotReportedSpent(t *testing.T) {
	r := newRig(t)
	r.targets.answer = streamOf("e")
	g, other := r.startGateway(0), r.startGateway(1)
	request := func(id string, maxTokens domain.Tokens) *Request {
		req := turnRequest(id, "")
		req.MaxTokens = maxTokens
		return req
	}
	refusal, _ := r.serve(g, request("1", 20))
	must.Nil(t, refusal)
	// 10 tokens are used and 20 are reserved in advance, so a turn of 80 fits only
	// after their release.
	refusal, _ = r.serve(other, request("2", 80))
	must.Eq(t, BudgetReserved, refusal.Kind)
	must.True(t, refusal.NotRun)
	refusal, _ = r.serve(other, request("3", 95))
	must.Eq(t, BudgetSpent, refusal.Kind)
	must.True(t, eventually(func() bool {
		refusal, _ := r.serve(other, request(fmt.Sprint("4.", time.Now().UnixNano()), 80))
		return refusal == nil
	}))
}
