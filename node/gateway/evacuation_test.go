package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/evacuation"
	"github.com/mangoknot/mangoknot/core/waiting"
	"github.com/mangoknot/mangoknot/port"
)

// evacuate applies orders as a coordinator without a leader sends them, and waits until they
// are in force.
func (r *rig) evacuate(g *Gateway, s *evacuation.State) {
	g.Apply(&coordinator.View{Evacuations: s})
	must.NoError(r.t, g.Do(context.Background(), func(time.Time) {}))
}

func evacuated(revision uint64, dcs ...domain.DataCentre) *evacuation.State {
	s := &evacuation.State{Revision: revision}
	for _, dc := range dcs {
		s.Entries = append(s.Entries, evacuation.Entry{Order: evacuation.Order{DataCentre: dc, Evacuate: true}, Revision: revision})
	}
	return s
}

// Guards against requests to the targets of an evacuated data centre, and against a request
// that has no other target and is not refused at once.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.evacuate(g, evacuated(5, "a"))
	reached := map[domain.Target]int{}
	r.targets.answer = func(n int, q port.TargetRequest) (port.Answer, error) {
		reached[q.Target.ID]++
		return &scriptedAnswer{status: 200, events: []string{"x"}}, nil
	}
	for i := range 20 {
		refusal, _ := r.serve(g, &Request{ID: fmt.Sprint(i), Host: "h", Path: []string{"/look/1", "/order/1", "/resume/1", "/chat/1"}[i%4], Key: "key",
			Program: fmt.Sprint("p", i), Parts: []balance.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 100}, {ID: "c", Tokens: 100}}})
		must.Nil(t, refusal)
	}
	must.Eq(t, map[domain.Target]int{"t2": 20}, reached)
	// A coordinator that lags.
	r.evacuate(g, evacuated(4, "b"))
	_, _ = r.serve(g, &Request{ID: "stale", Host: "h", Path: "/order/1", Key: "key"})
	must.Eq(t, map[domain.Target]int{"t2": 21}, reached)
	r.evacuate(g, evacuated(6, "a", "b"))
	refusal, _ := r.serve(g, &Request{ID: "none", Host: "h", Path: "/order/1", Key: "key"})
	must.NotNil(t, refusal)
	must.Eq(t, NoTarget, refusal.Kind)
	must.True(t, refusal.NotRun)
	report, err := g.Report(context.Background())
	must.NoError(t, err)
	must.Eq(t, 6, report.Evacuations)
	r.evacuate(g, evacuated(7))
	refusal, _ = r.serve(g, &Request{ID: "back", Host: "h", Path: "/order/1", Key: "key"})
	must.Nil(t, refusal)
}

// Guards against a request that was queued before the evacuation and is sent after it.
func TestEvacuationAppliesToWaitingRequests(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	w := &waiter{request: balance.Request{Service: "model"}, result: make(chan pickResult, 1)}
	must.NoError(t, g.Do(context.Background(), func(now time.Time) {
		for refusal := balance.Refusal(""); refusal == ""; {
			_, refusal = g.balancer.Pick(now, w.request)
		}
		w.waiting = waiting.Request{Service: "model", Deadline: now.Add(time.Minute), GiveUp: now.Add(time.Minute)}
		g.pickOrWait(now, w)
		must.Eq(t, 0, len(w.result))
	}))
	r.evacuate(g, evacuated(5, "a", "b"))
	// The control goroutine serves the queue after the functions that it was posted.
	must.True(t, eventually(func() bool { return len(w.result) == 1 }))
	must.Eq(t, NoTarget, Kind((<-w.result).refusal))
}

// Guards against the rest of a broken stream that is requested from an evacuated target.
func TestEvacuationAppliesToBrokenStreams(t *testing.T) {
	for path, sent := range map[string]int{"/resume/1": 1, "/resume-elsewhere/1": 2} {
		r := newRig(t)
		g := r.startGateway(0)
		var first domain.Target
		r.targets.answer = func(n int, q port.TargetRequest) (port.Answer, error) {
			if n > 1 {
				must.NotEq(t, first, q.Target.ID)
				return &scriptedAnswer{status: 200, events: []string{"e2"}, after: 1}, nil
			}
			first = q.Target.ID
			r.evacuate(g, evacuated(5, q.Target.DataCentre))
			return brokenStream(1), nil
		}
		q := streamRequest("1")
		q.Path = path
		_, reply := r.serve(g, q)
		must.Len(t, sent, r.targets.bodies())
		must.Eq(t, sent == 1, reply.aborted)
	}
}
