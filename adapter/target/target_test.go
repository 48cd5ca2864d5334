package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/emulator/engine"
	"github.com/mangoknot/mangoknot/emulator/tool"
	"github.com/mangoknot/mangoknot/port"
)

var (
	program = domain.ProgramID{Account: "acme", Name: "plan/1"}
	other   = domain.ProgramID{Account: "acme/plan", Name: "1"}
	quick   = Settings{Silence: 20 * time.Millisecond, RetryDelay: time.Millisecond, LoadInterval: time.Millisecond}
)

type bench struct {
	t       *testing.T
	client  *Client
	engine  *engine.Engine
	tool    *tool.Service
	targets map[domain.Target]*config.TargetSpec
	tunes   engine.Settings
}

// newBench runs an engine, a tool service and a client on loopback addresses.
func newBench(t *testing.T, tunes engine.Settings, settings Settings) *bench {
	t.Helper()
	b := &bench{t: t, engine: engine.New(tunes), tool: tool.New(), tunes: tunes, targets: map[domain.Target]*config.TargetSpec{}}
	b.serve("engine", config.TargetEngine, b.engine.Start, b.engine.Close)
	b.serve("tool", config.TargetService, b.tool.Start, b.tool.Close)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, gone.Close())
	for name, kind := range map[domain.Target]config.TargetKind{"gone": config.TargetEngine, "gone-tool": config.TargetService} {
		b.targets[name] = &config.TargetSpec{Name: name, Kind: kind, Address: gone.Addr().String()}
	}
	b.client = New(settings, func(target domain.Target) *config.TargetSpec { return b.targets[target] }, testr.New(t))
	t.Cleanup(b.client.Close)
	return b
}

func (b *bench) serve(name domain.Target, kind config.TargetKind, start func(net.Listener) error, stop func() error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b.t, err)
	ended := make(chan error, 1)
	go func() { ended <- start(listener) }()
	b.t.Cleanup(func() { must.NoError(b.t, stop()); must.NoError(b.t, <-ended) })
	b.targets[name] = &config.TargetSpec{Name: name, Kind: kind, Address: listener.Addr().String()}
}

func chatBody(content string, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"model-a","messages":[{"role":"user","content":%q}],"stream":%v,"stream_options":{"include_usage":true}}`, content, stream)
}

func (b *bench) call(ctx context.Context, id string, body []byte) (port.Stream, error) {
	return b.client.Call(ctx, port.TargetCall{Target: "engine", Program: program, Call: domain.CallID(id), Body: body})
}

// drain reads a stream to its end and checks that its offsets have no gap.
func drain(t *testing.T, s port.Stream, offset int) (payloads []string, err error) {
	t.Helper()
	defer s.Close()
	for {
		event, err := s.Next()
		if err != nil {
			return payloads, err
		}
		must.Eq(t, offset, event.Offset)
		payloads = append(payloads, string(event.Data))
		offset++
	}
}

// whole runs a call without faults and returns its payloads.
func (b *bench) whole(id string, body []byte) []string {
	b.t.Helper()
	s, err := b.call(context.Background(), id, body)
	must.NoError(b.t, err)
	payloads, err := drain(b.t, s, 0)
	must.ErrorIs(b.t, err, io.EOF)
	usage, ok := s.Usage()
	must.True(b.t, ok)
	want, err := b.tunes.Answer(body)
	must.NoError(b.t, err)
	must.Eq(b.t, domain.Usage{Prompt: domain.Tokens(want.PromptTokens), Cached: usage.Cached, Generated: domain.Tokens(len(want.Tokens))}, usage)
	return payloads
}

func (b *bench) resumes() (n int) {
	for _, r := range b.engine.Requests() {
		if strings.HasSuffix(r.Path, "/stream") {
			n++
		}
	}
	return n
}

func kindOf(t *testing.T, err error) *port.Failure {
	t.Helper()
	var failure *port.Failure
	must.True(t, errors.As(err, &failure), must.Sprint(err))
	return failure
}

// Guards against a gap or a repeat in an answer whose connection went silent,
// before or after its headers, while the engine went on.
func TestSilentConnectionResumed(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		b := newBench(t, engine.Settings{TimeScale: 4, AnswerTokens: 200}, quick)
		injected := make(chan struct{})
		go func() {
			defer close(injected)
			for len(b.engine.HeldTokens()) == 0 { // until the engine has the call
				time.Sleep(time.Millisecond)
			}
			b.engine.Inject(engine.Fault{Kind: engine.FaultSilent})
		}()
		payloads := b.whole("1", chatBody("hello", streamed))
		<-injected
		must.Eq(t, 1, b.resumes())
		must.Eq(t, b.whole("2", chatBody("hello", streamed)), payloads)
		must.Eq(t, 1, b.resumes())
	}
}

// Guards against a pooled connection that went silent between two calls and is
// taken for a crash by the request, or is used again.
func TestSilentIdleConnection(t *testing.T) {
	b := newBench(t, engine.Settings{TimeScale: 1e4}, quick)
	b.whole("1", chatBody("hello", true))
	b.engine.Inject(engine.Fault{Kind: engine.FaultSilent})
	_, err := b.call(context.Background(), "2", chatBody("hello", true))
	must.Eq(t, port.FailureTimeout, kindOf(t, err).Kind, must.Sprint(err))
	must.True(t, kindOf(t, err).MayHaveRun())
	b.whole("3", chatBody("hello", true))
}

// Guards against an engine that is only slow and is taken for silent.
func TestSlowEngineIsNotSilent(t *testing.T) {
	b := newBench(t, engine.Settings{DecodePerSecond: 10, AnswerTokens: 6}, quick)
	b.whole("1", chatBody("hello", true))
	must.Eq(t, 0, b.resumes())
}

// Guards against a failure kind that tells the caller that a request has not
// run although it may have, or blames a target for a request it never got.
func TestCallFailures(t *testing.T) {
	hangs := Settings{Silence: 10 * time.Millisecond, ControlTimeout: 10 * time.Millisecond, RetryDelay: time.Millisecond}
	for _, c := range []struct {
		name     string
		settings Settings
		fault    engine.Fault
		call     port.TargetCall
		early    bool // the fault comes before the call
		kind     port.FailureKind
		run      bool
	}{
		{name: "unknown target", call: port.TargetCall{Target: "none"}, kind: port.FailureRefused},
		{name: "service is no engine", call: port.TargetCall{Target: "tool"}, kind: port.FailureRefused},
		{name: "bad call id", call: port.TargetCall{Call: "a/b"}, kind: port.FailureRefused},
		{name: "large", settings: Settings{MaxRequest: 10}, kind: port.FailureRefused},
		{name: "no listener", call: port.TargetCall{Target: "gone"}, kind: port.FailureConnect},
		{name: "crashing request", fault: engine.Fault{Kind: engine.FaultMarker, Marker: "hello"}, early: true, kind: port.FailureCrashedEarly, run: true},
		{name: "crash", fault: engine.Fault{Kind: engine.FaultCrash}, kind: port.FailureCrashed, run: true},
		{name: "long crash", fault: engine.Fault{Kind: engine.FaultCrash, DownMillis: 60_000}, kind: port.FailureCrashed, run: true},
		{name: "hang at once", settings: hangs, fault: engine.Fault{Kind: engine.FaultHang}, early: true, kind: port.FailureTimeout, run: true},
		{name: "hang", settings: hangs, fault: engine.Fault{Kind: engine.FaultHang}, kind: port.FailureTimeout, run: true},
		{name: "time limit", settings: Settings{CallTimeout: 50 * time.Millisecond}, kind: port.FailureTimeout, run: true},
		{name: "unknown model", call: port.TargetCall{Body: []byte(`{"model":"x","messages":[{"role":"user","content":"hello"}]}`)}, kind: port.FailureBadAnswer, run: true},
		{name: "large event", settings: Settings{MaxEvent: 20}, kind: port.FailureBadAnswer, run: true},
		{name: "large answer", settings: Settings{MaxAnswer: 20}, kind: port.FailureBadAnswer, run: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, engine.Settings{DecodePerSecond: 20}, c.settings)
			call := port.TargetCall{Target: "engine", Program: program, Call: "1", Body: chatBody("hello", true)}
			setUnless(&call.Target, c.call.Target)
			setUnless(&call.Call, c.call.Call)
			if c.call.Body != nil {
				call.Body = c.call.Body
			}
			if c.early {
				b.engine.Inject(c.fault)
			}
			s, err := b.client.Call(context.Background(), call)
			if err == nil {
				defer s.Close()
				if _, err = s.Next(); err == nil {
					b.engine.Inject(c.fault)
					_, err = drain(t, s, 1)
				}
			}
			must.Eq(t, c.kind, kindOf(t, err).Kind, must.Sprint(err))
			must.Eq(t, c.run, kindOf(t, err).MayHaveRun())
		})
	}
}

func setUnless[T ~string](field *T, value T) {
	if value != "" {
		*field = value
	}
}

// Guards against a call that goes on at the engine after its caller has gone.
func TestCancelReachesEngine(t *testing.T) {
	b := newBench(t, engine.Settings{DecodePerSecond: 1}, quick)
	for i, end := range []func(cancel func(), s port.Stream){
		func(cancel func(), _ port.Stream) { cancel() },
		func(_ func(), s port.Stream) { s.Close() },
	} {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, err := b.call(ctx, fmt.Sprint(i), chatBody("hello", true))
		must.NoError(t, err)
		must.Eq(t, map[string]int{programKey(program): 1}, b.engine.HeldTokens())
		_, err = b.client.Execute(ctx, "engine", port.EngineCommand{Kind: port.CommandRelease, Program: program})
		must.ErrorIs(t, err, port.ErrBusy)
		end(cancel, s)
		_, err = s.Next()
		must.Eq(t, port.FailureCancelled, kindOf(t, err).Kind)
		b.client.background.Wait()
		must.MapEmpty(t, b.engine.HeldTokens())
	}
}

// Guards against a caller's key or cookie that reaches a target.
func TestTargetNeverSeesKey(t *testing.T) {
	b := newBench(t, engine.Settings{TimeScale: 1e4}, quick)
	b.whole("1", chatBody("hello", true))
	caller := port.Header{"Authorization": {"Bearer secret"}, "Cookie": {"secret"}, "Content-Type": {"text/plain"},
		"X-Api-Key": {"secret"}, "Proxy-Authorization": {"secret"}, "Idempotency-Key": {"secret"}, "X-Request-Id": {"secret"},
		"Mangoknot-Program": {"secret"}, "Mangoknot-Parent": {"secret"}, "Connection": {"X-Api-Key"}}
	answer, err := b.client.Plain(context.Background(), port.PlainCall{Target: "tool", Call: "2", Method: "POST", Path: "/x", Header: caller,
		Body: strings.NewReader("body"), BodyLength: -1, MaxBody: 10, MaxAnswer: 1000, Timeout: time.Minute})
	must.NoError(t, err)
	must.NoError(t, answer.Body.Close())
	must.Eq(t, http.Header{"X-Request-Id": {"2"}, "Content-Type": {"text/plain"}, "Connection": {"close"}}, b.tool.Requests()[0].Header)
	must.SliceLen(t, 1, b.engine.Requests())
	must.Eq(t, http.Header{"Accept": {"text/event-stream, application/json"}, "Content-Type": {"application/json"},
		"Content-Length": {fmt.Sprint(len(chatBody("hello", true)))}, "X-Engine-Call": {"1"}, "X-Engine-Program": {"acme/plan%2F1"}},
		b.engine.Requests()[0].Header)
}

// Guards against a tool call that is reported as not run after the tool acted,
// that runs twice, or that is not bounded in time and size.
func TestPlainFailures(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   tool.Fault
		change  func(*port.PlainCall)
		kind    port.FailureKind
		run     bool
		effects int
	}{
		{name: "hang", fault: tool.Fault{Hang: true}, kind: port.FailureTimeout, run: true, effects: 1},
		{name: "crash after the effect", fault: tool.Fault{Crash: true}, kind: port.FailureCrashedEarly, run: true, effects: 1},
		{name: "crash on a reused connection", fault: tool.Fault{Crash: true}, change: func(c *port.PlainCall) { c.Body, c.BodyLength = nil, 0 },
			kind: port.FailureCrashedEarly, run: true, effects: 1},
		{name: "crash before the effect", fault: tool.Fault{CrashBefore: true}, kind: port.FailureCrashedEarly, run: true},
		{name: "no listener", change: func(c *port.PlainCall) { c.Target = "gone-tool" }, kind: port.FailureConnect},
		{name: "known large body", change: func(c *port.PlainCall) { c.BodyLength = 100 }, kind: port.FailureRefused},
		{name: "large body", change: func(c *port.PlainCall) { c.MaxBody = 3 }, kind: port.FailureRefused, run: true},
		{name: "broken body", change: func(c *port.PlainCall) { c.Body = io.MultiReader(c.Body, brokenBody{}) }, kind: port.FailureCancelled, run: true},
		{name: "large answer", change: func(c *port.PlainCall) { c.MaxAnswer = 3 }, kind: port.FailureBadAnswer, run: true, effects: 1},
		{name: "bad path", change: func(c *port.PlainCall) { c.Path = "/x?y" }, kind: port.FailureRefused},
		{name: "no timeout", change: func(c *port.PlainCall) { c.Timeout = 0 }, kind: port.FailureRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, engine.Settings{}, quick)
			call := port.PlainCall{Target: "tool", Call: "1", Method: http.MethodGet, Path: "/x", Body: strings.NewReader("body"),
				BodyLength: -1, MaxBody: 10, MaxAnswer: 1000, Timeout: time.Minute}
			// net/http may repeat a bodyless GET on a connection that served one before.
			before := call
			before.Call, before.Body, before.BodyLength = "0", nil, 0
			answer, err := b.client.Plain(context.Background(), before)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, answer.Body)
			must.NoError(t, err)
			must.NoError(t, answer.Body.Close())
			b.tool.Inject(c.fault)
			if c.fault.Hang {
				call.Timeout = 50 * time.Millisecond
			}
			if c.change != nil {
				c.change(&call)
			}
			answer, err = b.client.Plain(context.Background(), call)
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				must.NoError(t, answer.Body.Close())
			}
			must.Eq(t, c.kind, kindOf(t, err).Kind, must.Sprint(err))
			must.Eq(t, c.run, kindOf(t, err).MayHaveRun())
			must.Eq(t, c.effects, b.tool.Effects()["1"])
		})
	}
}

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) {
	return 0, errors.New("the caller's connection was reset")
}
