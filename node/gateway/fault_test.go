package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/port"
)

// pacedAnswer is a stream of events with pauses. A pause ends early with the context.
type pacedAnswer struct {
	scriptedAnswer
	ctx    context.Context
	pauses []time.Duration
}

func (p *pacedAnswer) Next() (port.StreamEvent, error) {
	if p.next < len(p.pauses) {
		select {
		case <-time.After(p.pauses[p.next]):
		case <-p.ctx.Done():
			return port.StreamEvent{}, p.ctx.Err()
		}
	}
	return p.scriptedAnswer.Next()
}

// serveLong serves a request on a route with a long timeout, whose target answers with
// the given pauses before each event.
func (r *rig) serveLong(pauses ...time.Duration) (*Refusal, *recordedReply) {
	route := manifest.Route{
		Name: "long", Host: "h", Prefix: "/long/", Kind: manifest.Stream, Timeout: time.Minute, Objective: 300 * time.Millisecond,
		EventGap: 100 * time.Millisecond, Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 1,
	}
	g := r.startGateway(0)
	m := *testManifest
	m.Routes = append([]manifest.Route{route}, m.Routes...)
	must.NoError(r.t, g.Do(context.Background(), func(time.Time) { g.publish(func(v *view) { v.index = manifest.NewIndex(&m) }) }))
	events := make([]string, len(pauses))
	r.targets.exchange = func(ctx context.Context, _ port.TargetRequest) (port.Answer, error) {
		return &pacedAnswer{scriptedAnswer: scriptedAnswer{status: 200, events: events}, ctx: ctx, pauses: pauses}, nil
	}
	return r.serve(g, &Request{ID: "1", Host: "h", Path: "/long/1", Key: "key"})
}

// Guards against a stalled stream that holds its caller and its target until the
// deadline.
func TestStalledStreamEnds(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	started := time.Now()
	refusal, reply := r.serveLong(0, time.Hour)
	must.Nil(t, refusal)
	must.True(t, reply.aborted)
	must.Less(t, 30*time.Second, time.Since(started), must.Sprint("the stream was held until the deadline of its route"))
}

// Guards against a stalled answer without any event that holds its caller.
func TestStalledAnswerEnds(t *testing.T) {
	t.Parallel()
	refusal, reply := newRig(t).serveLong(time.Hour)
	must.NotNil(t, refusal)
	must.Eq(t, OutcomeUnknown, refusal.Kind)
	must.False(t, refusal.NotRun)
	must.False(t, reply.aborted)
}

// Guards against a slow but sound stream that is cut: each pause is shorter than the time
// after which a stream counts as stalled, and all of them together are longer.
func TestSlowStreamIsNotCut(t *testing.T) {
	t.Parallel()
	pause := stallTimeout(&manifest.Route{}) / 3
	refusal, reply := newRig(t).serveLong(pause, pause, pause, pause, pause)
	must.Nil(t, refusal)
	must.True(t, reply.ended)
	must.Len(t, 5, reply.events)
}

// Guards against a panic while one request is served that ends the process, is answered
// with a false "not run", or leaves the request counted at its target.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.exchange = func(context.Context, port.TargetRequest) (port.Answer, error) { panic("target") }
	for range 30 {
		refusal, _ := r.serve(g, &Request{ID: "1", Host: "h", Path: "/order/1", Key: "key"})
		must.NotNil(t, refusal)
		must.Eq(t, OutcomeUnknown, refusal.Kind)
		must.False(t, refusal.NotRun)
	}
	r.targets.exchange = nil
	refusal, reply := r.serve(g, &Request{ID: "2", Host: "h", Path: "/order/1", Key: "key"})
	must.Nil(t, refusal, must.Sprint("the targets count as full"))
	must.True(t, reply.ended)
}

// panickingCaller panics in its first calls to storage VMs.
type panickingCaller struct {
	port.RPCClient
	mu   sync.Mutex
	left int
}

func (p *panickingCaller) Call(ctx context.Context, address string, m domain.Message) (domain.Message, error) {
	p.mu.Lock()
	p.left--
	panics := p.left >= 0
	p.mu.Unlock()
	if panics {
		panic("storage")
	}
	return p.RPCClient.Call(ctx, address, m)
}

// Guards against a panic in a goroutine beside that of the request, such as a call to a
// storage VM, which ends the process.
func TestPanicInStorageCall(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	g.o.Calls = &panickingCaller{RPCClient: g.o.Calls, left: 3}
	refusal, _ := r.serve(g, turnRequest("1", ""))
	must.NotNil(t, refusal)
	must.True(t, refusal.NotRun)
	refusal, reply := r.serve(g, turnRequest("2", ""))
	must.Nil(t, refusal)
	must.True(t, reply.ended)
}

// Guards against a panic of a function on the control goroutine that ends the process or
// blocks the request that waits for it.
func TestPanicOnControlGoroutine(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	must.Error(t, g.Do(context.Background(), func(time.Time) { panic("control") }))
	refusal, _ := r.serve(g, turnRequest("1", ""))
	must.Nil(t, refusal)
}

// noMemory is a Buffers whose budget is used up after some reservations.
type noMemory struct {
	port.UnlimitedBuffers
	left int
}

func (n *noMemory) Grow(int) error {
	if n.left--; n.left < 0 {
		return &port.LimitError{Limit: port.LimitMemory, Bytes: 1}
	}
	return nil
}

// Guards against a turn that is stored without some of its events, or a target that is
// avoided, because the gateway lacks memory.
func TestTurnWithoutMemoryIsAborted(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.answer = streamOf("a", "b")
	req := turnRequest("1", "")
	req.Buffers = &noMemory{left: 1}
	refusal, reply := r.serve(g, req)
	must.Nil(t, refusal)
	must.True(t, reply.aborted)
	must.False(t, reply.ended)
	refusal, _ = r.serve(g, turnRequest("2", "1"))
	must.NotNil(t, refusal)
	must.Eq(t, NoSuchTurn, refusal.Kind)
	r.targets.answer = streamOf("c")
	refusal, _ = r.serve(g, turnRequest("3", ""))
	must.Nil(t, refusal)
	refusal, _ = r.serve(g, func() *Request { q := turnRequest("4", "3"); q.Buffers = &noMemory{}; return q }())
	must.NotNil(t, refusal)
	must.Eq(t, MemoryExhausted, refusal.Kind)
	must.True(t, refusal.NotRun)
}

// Guards against a turn that is stored under the id of an earlier turn of its chain. The
// chain would be a cycle, and reading it would never end.
func TestTurnCannotContinueItself(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	for _, turn := range [][2]string{{"1", ""}, {"2", "1"}} {
		refusal, _ := r.serve(g, turnRequest(turn[0], turn[1]))
		must.Nil(t, refusal)
	}
	for _, turn := range [][2]string{{"1", "1"}, {"1", "2"}} {
		refusal, _ := r.serve(g, turnRequest(turn[0], turn[1]))
		must.NotNil(t, refusal)
		must.Eq(t, IDReused, refusal.Kind)
	}
}
