package target

import (
	"bufio"
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
	quick   = Settings{SilenceTimeout: 20 * time.Millisecond, RetryDelay: time.Millisecond, LoadInterval: time.Millisecond}
)

// bench is an engine, a tool service and a client that is connected to both.
type bench struct {
	t              *testing.T
	client         *Client
	engine         *engine.Engine
	tool           *tool.Service
	targets        map[domain.Target]*config.TargetSpec
	engineSettings engine.Settings
}

// newBench starts an engine and a tool service on loopback addresses and returns
// them with a client. No process listens at the targets gone and gone-tool.
func newBench(t *testing.T, engineSettings engine.Settings, settings Settings) *bench {
	t.Helper()
	b := &bench{t: t, engine: engine.New(engineSettings), tool: tool.New(), engineSettings: engineSettings, targets: map[domain.Target]*config.TargetSpec{}}
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

// drain reads a stream to its end and checks that its offsets are consecutive.
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

// completeCall runs a call that must succeed and returns its payloads.
func (b *bench) completeCall(id string, body []byte) []string {
	b.t.Helper()
	s, err := b.call(context.Background(), id, body)
	must.NoError(b.t, err)
	payloads, err := drain(b.t, s, 0)
	must.ErrorIs(b.t, err, io.EOF)
	usage, ok := s.Usage()
	must.True(b.t, ok)
	want, err := b.engineSettings.Answer(body)
	must.NoError(b.t, err)
	must.Eq(b.t, domain.Usage{Prompt: domain.Tokens(want.PromptTokens), Cached: usage.Cached, Generated: domain.Tokens(len(want.Tokens))}, usage)
	return payloads
}

// resumes counts the requests to resume a stream.
func (b *bench) resumes() (n int) {
	for _, r := range b.engine.Requests() {
		if strings.HasSuffix(r.Path, "/stream") {
			n++
		}
	}
	return n
}

func failureOf(t *testing.T, err error) *port.Failure {
	t.Helper()
	var failure *port.Failure
	must.True(t, errors.As(err, &failure), must.Sprint(err))
	return failure
}

// Guards against missing or duplicate events in an answer whose connection goes
// silent before or after the response headers while the engine continues.
func TestSilentConnectionResumed(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		b := newBench(t, engine.Settings{TimeScale: 4, AnswerTokens: 200}, quick)
		injected := make(chan struct{})
		go func() {
			defer close(injected)
			for len(b.engine.HeldTokens()) == 0 { // until the engine has received the call
				time.Sleep(time.Millisecond)
			}
			b.engine.Inject(engine.Fault{Kind: engine.FaultSilent})
		}()
		payloads := b.completeCall("1", chatBody("hello", streamed))
		<-injected
		must.Eq(t, 1, b.resumes())
		must.Eq(t, b.completeCall("2", chatBody("hello", streamed)), payloads)
		must.Eq(t, 1, b.resumes())
	}
}

// Guards against a pooled connection that goes silent between two calls and is
// counted as a crash caused by the request, or is used again.
func TestSilentIdleConnection(t *testing.T) {
	b := newBench(t, engine.Settings{TimeScale: 1e4}, quick)
	b.completeCall("1", chatBody("hello", true))
	b.engine.Inject(engine.Fault{Kind: engine.FaultSilent})
	_, err := b.call(context.Background(), "2", chatBody("hello", true))
	must.Eq(t, port.FailureTimeout, failureOf(t, err).Kind, must.Sprint(err))
	must.True(t, failureOf(t, err).MayHaveRun())
	b.completeCall("3", chatBody("hello", true))
}

// Guards against resuming the stream of an engine that is slow, not silent.
func TestSlowEngineNotTreatedAsSilent(t *testing.T) {
	b := newBench(t, engine.Settings{DecodePerSecond: 10, AnswerTokens: 6}, quick)
	b.completeCall("1", chatBody("hello", true))
	must.Eq(t, 0, b.resumes())
}

// Guards against a failure that reports a request as not run although it may have
// run, or that counts against a target which did not receive the request.
func TestCallFailures(t *testing.T) {
	hangs := Settings{SilenceTimeout: 10 * time.Millisecond, ControlTimeout: 10 * time.Millisecond, RetryDelay: time.Millisecond}
	for _, c := range []struct {
		name     string
		settings Settings
		fault    engine.Fault
		call     port.TargetCall
		early    bool // the fault is injected before the call
		kind     port.FailureKind
		run      bool
	}{
		{name: "unknown target", call: port.TargetCall{Target: "none"}, kind: port.FailureRefused},
		{name: "service is not an engine", call: port.TargetCall{Target: "tool"}, kind: port.FailureRefused},
		{name: "bad call id", call: port.TargetCall{Call: "a/b"}, kind: port.FailureRefused},
		{name: "large", settings: Settings{MaxRequest: 10}, kind: port.FailureRefused},
		{name: "no listener", call: port.TargetCall{Target: "gone"}, kind: port.FailureConnect},
		{name: "crashing request", fault: engine.Fault{Kind: engine.FaultMarker, Marker: "hello"}, early: true, kind: port.FailureCrashedEarly, run: true},
		{name: "crash", fault: engine.Fault{Kind: engine.FaultCrash}, kind: port.FailureCrashed, run: true},
		{name: "long crash", fault: engine.Fault{Kind: engine.FaultCrash, DownMillis: 60_000}, kind: port.FailureCrashed, run: true},
		{name: "hang before the call", settings: hangs, fault: engine.Fault{Kind: engine.FaultHang}, early: true, kind: port.FailureTimeout, run: true},
		{name: "hang", settings: hangs, fault: engine.Fault{Kind: engine.FaultHang}, kind: port.FailureTimeout, run: true},
		{name: "time limit", settings: Settings{CallTimeout: 50 * time.Millisecond}, kind: port.FailureTimeout, run: true},
		{name: "unknown model", call: port.TargetCall{Body: []byte(`{"model":"x","messages":[{"role":"user","content":"hello"}]}`)}, kind: port.FailureBadAnswer, run: true},
		{name: "large event", settings: Settings{MaxEvent: 20}, kind: port.FailureBadAnswer, run: true},
		{name: "large answer", settings: Settings{MaxAnswer: 20}, kind: port.FailureBadAnswer, run: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, engine.Settings{DecodePerSecond: 20}, c.settings)
			call := port.TargetCall{Target: "engine", Program: program, Call: "1", Body: chatBody("hello", true)}
			setIfNotEmpty(&call.Target, c.call.Target)
			setIfNotEmpty(&call.Call, c.call.Call)
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
			must.Eq(t, c.kind, failureOf(t, err).Kind, must.Sprint(err))
			must.Eq(t, c.run, failureOf(t, err).MayHaveRun())
		})
	}
}

func setIfNotEmpty[T ~string](field *T, value T) {
	if value != "" {
		*field = value
	}
}

// Guards against a call that continues at the engine after the caller cancelled
// it or closed its stream.
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
		must.Eq(t, port.FailureCancelled, failureOf(t, err).Kind)
		b.client.pendingCancels.Wait()
		must.MapEmpty(t, b.engine.HeldTokens())
	}
}

// Guards against forwarding a caller's key, cookie or other headers that are not
// on the allow-list to a target.
func TestCallerCredentialsNotForwarded(t *testing.T) {
	// The default silence timeout keeps the watchdog's request for the state of the
	// call out of the recorded requests; 20 ms of silence are usual on a busy machine.
	b := newBench(t, engine.Settings{TimeScale: 1e4}, Settings{})
	b.completeCall("1", chatBody("hello", true))
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

// Guards against a tool call that is reported as not run although it took effect,
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
			// net/http may resend a GET without a body on a reused connection.
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
			must.Eq(t, c.kind, failureOf(t, err).Kind, must.Sprint(err))
			must.Eq(t, c.run, failureOf(t, err).MayHaveRun())
			must.Eq(t, c.effects, b.tool.Effects()["1"])
		})
	}
}

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) {
	return 0, errors.New("the caller's connection was reset")
}

// Guards against a second answer to an earlier call, sent late on a reused connection,
// that is taken for the answer to the next call: a caller would get the answer of another.
func TestLateSecondAnswerIsNotTheNextOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(c)
		}
	}()
	client := New(quick, func(target domain.Target) *config.TargetSpec {
		return &config.TargetSpec{Name: target, Kind: config.TargetEngine, Address: listener.Addr().String()}
	}, testr.New(t))
	t.Cleanup(client.Close)
	for _, id := range []string{"1", "2", "3"} {
		s, err := client.Call(context.Background(), port.TargetCall{Target: "engine", Program: program, Call: domain.CallID(id), Body: chatBody("x", true)})
		if err != nil {
			must.ErrorIs(t, err, errForeignAnswer)
			continue
		}
		payloads, _ := drain(t, s, 0)
		for _, p := range payloads {
			must.Eq(t, `{"call":"`+id+`"}`, p)
		}
	}
}

// answerTwice answers the calls of one connection. From the second one on, the answer to
// the call before comes once more first.
func answerTwice(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	previous := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		body := fmt.Sprintf("data: {\"call\":%q}\n\ndata: [DONE]\n\n", r.Header.Get(headerCall))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerCall, r.Header.Get(headerCall), len(body), body)
		if _, err := io.WriteString(c, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}
