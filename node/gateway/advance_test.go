package gateway

import (
	"fmt"
	"slices"
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

// hold delays all calls until the returned function is called.
func (n *network) hold() (release func()) {
	held := make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = held
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.held = nil
		close(held)
	}
}

// Guards against a round trip to the storage VMs before each later turn of a
// program, on routes with and without stored history: the request reaches the target while no
// storage VM answers. The record that the turn holds its reservation is written beside it.
func TestLaterTurnWaitsForNoWrite(t *testing.T) {
	for _, path := range []string{"/chat/1", "/resume/1"} {
		r := newRig(t)
		g := r.startGateway(0)
		release := func() {}
		r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) {
			release()
			return &scriptedAnswer{status: 200, events: []string{"e"}}, nil
		}
		first, second := largeBudgetTurn("1", ""), largeBudgetTurn("2", "")
		first.Path, second.Path = path, path
		refusal, _ := r.serve(g, first)
		must.Nil(t, refusal)
		// On a route without history the advance reservation is written after the
		// caller has received the whole answer.
		must.True(t, eventually(func() bool { return noPendingSettlements(g) }))
		release = r.network.hold()
		refusal, reply := r.serve(g, second)
		must.Nil(t, refusal)
		must.True(t, reply.ended, must.Sprint(path))
		must.Len(t, 2, r.targets.bodies())
	}
}

// Guards against tokens that a caller receives before it is recorded that its turn holds the
// advance reservation: if the gateway ended then, another one would use them again.
func TestAdvanceIsRecordedBeforeFirstEvent(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	refusal, _ := r.serve(g, largeBudgetTurn("1", ""))
	must.Nil(t, refusal)
	must.True(t, eventually(func() bool { return noPendingSettlements(g) }))
	defer r.network.hold()()
	second := largeBudgetTurn("2", "")
	second.TimeLeft = 200 * time.Millisecond
	refusal, reply := r.serve(g, second)
	must.Len(t, 2, r.targets.bodies())
	must.NotNil(t, refusal)
	must.False(t, refusal.NotRun)
	must.SliceEmpty(t, reply.events)
}

// Guards against a frozen gateway that passes on the tokens of an advance reservation which has
// lapsed meanwhile, and which a turn at another gateway has used.
func TestLapsedAdvanceIsNotUsed(t *testing.T) {
	r := newRig(t)
	g, other := r.startGateway(0), r.startGateway(1)
	refusal, _ := r.serve(g, turnRequest("1", "")) // 10 of 100 tokens are used, 20 are reserved
	must.Nil(t, refusal)
	must.True(t, eventually(func() bool { return noPendingSettlements(g) }))
	// The gateway is frozen: it can neither release the reservation nor record its use.
	name := "gateway-0"
	for i := range locations {
		r.network.setCut(name+" "+storeAddress(i), true)
	}
	var lastOfOther *recordedReply
	r.targets.answer = func(n int, q port.TargetRequest) (port.Answer, error) {
		if string(q.Body) == "[2]" {
			must.True(t, eventually(func() bool {
				last := turnRequest("3", "")
				last.MaxTokens = 80
				refusal, lastOfOther = r.serve(other, last)
				return refusal == nil
			}))
			for i := range locations {
				r.network.setCut(name+" "+storeAddress(i), false)
			}
		}
		if string(q.Body) == "[3]" {
			return &scriptedAnswer{status: 200, events: slices.Repeat([]string{"e"}, 8)}, nil // all 80 tokens
		}
		return &scriptedAnswer{status: 200, events: []string{"e"}}, nil
	}
	second := turnRequest("2", "")
	second.Path = "/long/1"
	refusal, reply := r.serve(g, second)
	must.NotNil(t, lastOfOther, must.Sprint("the reservation did not lapse"))
	must.True(t, lastOfOther.ended)
	must.NotNil(t, refusal)
	must.ErrorIs(t, refusal.Cause, errAdvanceLapsed)
	must.SliceEmpty(t, reply.events)
}

// Guards against the advance reservation of a gateway that has ended: the last turn that the budget
// holds was refused for ever (LOST in the second review). The stop is a kill, or a planned one that
// leaves no time for the reservation to lapse.
func TestLastTurnAfterEndOfGateway(t *testing.T) {
	for _, planned := range []bool{false, true} {
		r := newRig(t)
		r.targets.answer = streamOf("e", "e") // 20 tokens, the limit of a turn
		g, other := r.startGateway(0), r.startGateway(1)
		for i := range 2 {
			refusal, _ := r.serve(g, turnRequest(fmt.Sprint("before", i), ""))
			must.Nil(t, refusal)
		}
		must.True(t, eventually(func() bool { return noPendingSettlements(g) }))
		if planned {
			must.NoError(t, g.SettleShares(t.Context()))
		}
		g.Stop()
		var refusal *Refusal
		for i := range 3 {
			must.True(t, eventually(func() bool {
				refusal, _ = r.serve(other, turnRequest(fmt.Sprint("after", i, time.Now().UnixNano()), ""))
				return refusal == nil || refusal.Kind != BudgetReserved || planned
			}))
			must.Nil(t, refusal, must.Sprint(i))
		}
		refusal, _ = r.serve(other, turnRequest("more", ""))
		must.Eq(t, BudgetSpent, refusal.Kind)
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
