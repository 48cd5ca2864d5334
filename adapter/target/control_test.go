package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/emulator/engine"
	"github.com/mangoknot/mangoknot/port"
)

// Guards against a command of an earlier epoch that an engine applies, or whose
// rejection is not reported as port.ErrFenced. An engine without fencing applies
// the command.
func TestCommandsFenced(t *testing.T) {
	ctx := context.Background()
	for _, ignore := range []bool{false, true} {
		b := newBench(t, engine.Settings{TimeScale: 1e4, IgnoreFencing: ignore}, quick)
		for _, orders := range [][2]port.EngineCommand{
			{{Kind: port.CommandLoad, Epoch: 5, Model: "model-b", Version: "2"}, {Kind: port.CommandUnload, Epoch: 4, Model: "model-b"}},
			{{Kind: port.CommandSetRole, Epoch: 5, Role: "prefill"}, {Kind: port.CommandSetRole, Epoch: 4, Role: "decode"}},
			{{Kind: port.CommandRelease, Epoch: 5, Program: program}, {Kind: port.CommandRelease, Epoch: 4, Program: program}},
		} {
			_, err := b.client.Execute(ctx, "engine", orders[0])
			must.NoError(t, err)
			_, err = b.client.Execute(ctx, "engine", orders[1])
			if ignore {
				must.NoError(t, err)
			} else {
				must.ErrorIs(t, err, port.ErrFenced)
			}
		}
	}
}

// Guards against cache memory that stays allocated after a confirmed release, or
// that is shared between programs whose escaped names are similar, and against an
// export that cannot be imported.
func TestReleaseExportImport(t *testing.T) {
	ctx := context.Background()
	b := newBench(t, engine.Settings{TimeScale: 1e4}, quick)
	b.completeCall("1", chatBody(strings.Repeat("hello ", 100), true))
	held := domain.Tokens(b.engine.HeldTokens()[programKey(program)])
	must.Positive(t, held)
	exported, err := b.client.Execute(ctx, "engine", port.EngineCommand{Kind: port.CommandExport, Program: program})
	must.NoError(t, err)
	must.Eq(t, held, exported.Tokens)
	for _, want := range []domain.Tokens{held, 0} { // a repeated release is also confirmed
		released, err := b.client.Execute(ctx, "engine", port.EngineCommand{Kind: port.CommandRelease, Program: program})
		must.NoError(t, err)
		must.Eq(t, want, released.Tokens)
		must.MapEmpty(t, b.engine.HeldTokens())
	}
	_, err = b.client.Execute(ctx, "engine", port.EngineCommand{Kind: port.CommandImport, Program: other, Data: exported.Data})
	must.NoError(t, err)
	must.Eq(t, map[string]int{programKey(other): int(held)}, b.engine.HeldTokens())
	s, err := b.call(ctx, "2", chatBody(strings.Repeat("hello ", 100), true))
	must.NoError(t, err)
	_, err = drain(t, s, 0)
	must.ErrorIs(t, err, io.EOF)
	usage, _ := s.Usage()
	must.Positive(t, usage.Cached)
}

// Guards against lost cache events that are not reported as missed, and against a
// restart of the engine that is reported as missed events.
func TestCacheEventsWithGaps(t *testing.T) {
	b := newBench(t, engine.Settings{TimeScale: 1e4, DropEventEvery: 2, EventDelay: time.Millisecond, Heartbeat: time.Millisecond}, quick)
	ctx, cancel := context.WithCancel(context.Background())
	reports, ended := make(chan port.CacheEvent, 16), make(chan struct{})
	go func() {
		defer close(ended)
		b.client.WatchCache(ctx, "engine", func(e port.CacheEvent) { reports <- e })
	}()
	b.waitForWatcher(1)
	for i := range 3 { // the second event is lost
		b.completeCall(fmt.Sprint(i), chatBody(strings.Repeat(fmt.Sprint(i), 100), true))
	}
	first, third := <-reports, <-reports
	must.Eq(t, port.CacheEvent{Target: "engine", Instance: "1", Seq: 1, Stored: true, Program: program, Tokens: first.Tokens}, first)
	must.Positive(t, first.Tokens)
	must.Eq(t, 3, third.Seq)
	must.Eq(t, 1, third.Missed)
	b.engine.Inject(engine.Fault{Kind: engine.FaultCrash})
	b.waitForWatcher(2)
	b.completeCall("9", chatBody(strings.Repeat("9", 100), true))
	again := <-reports
	must.True(t, again.Restarted)
	must.Eq(t, 0, again.Missed)
	cancel()
	<-ended
}

// waitForWatcher waits until the engine has received n requests for its cache
// events. A request returns only events that occur after it.
func (b *bench) waitForWatcher(n int) {
	for {
		got := 0
		for _, r := range b.engine.Requests() {
			if r.Path == "/control/cache-events" {
				got++
			}
		}
		if got >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a watcher of load reports that stops after the first failure.
func TestLoadReportsSurviveRestart(t *testing.T) {
	b := newBench(t, engine.Settings{}, quick)
	ctx, cancel := context.WithCancel(context.Background())
	instances, ended := map[string]port.LoadReport{}, make(chan struct{})
	go func() {
		defer close(ended)
		b.client.WatchLoad(ctx, "engine", func(r port.LoadReport) {
			if instances[r.Instance] = r; len(instances) > 1 {
				cancel()
			} else {
				b.engine.Inject(engine.Fault{Kind: engine.FaultCrash, DownMillis: 5})
			}
		})
	}()
	<-ended
	cancel()
	must.MapLen(t, 2, instances)
	for instance, report := range instances {
		must.Eq(t, port.LoadReport{Target: "engine", Instance: instance, Models: map[domain.ModelName]string{"model-a": "1"}, Role: "mixed"}, report)
	}
}

// Guards against malformed or truncated streams that are accepted as complete
// answers.
func TestMalformedStreams(t *testing.T) {
	for _, c := range []struct {
		name, kind, body string
		payloads         []string
		failure          port.FailureKind // FailureRefused stands for a complete answer
	}{
		{"whole", contentEvents, ": note\r\nid: 0\r\ndata: a\r\ndata: b\r\n\r\n\ndata:c\n\ndata: [DONE]\n\n", []string{"a\nb", "c"}, port.FailureRefused},
		{"long line", contentEvents, "data: " + strings.Repeat("x", 10_000) + "\n\ndata: [DONE]\n\n", []string{strings.Repeat("x", 10_000)}, port.FailureRefused},
		{"repeat", contentEvents, "id: 0\ndata: a\n\nid: 0\ndata: a\n\ndata: [DONE]\n\n", []string{"a"}, port.FailureRefused},
		{"json", contentJSON + "; charset=utf-8", `{"a":1}`, []string{`{"a":1}`}, port.FailureRefused},
		{"gap", contentEvents, "id: 0\ndata: a\n\nid: 2\ndata: c\n\n", []string{"a"}, port.FailureBadAnswer},
		{"error", contentEvents, "data: {\"error\":{}}\n\n", nil, port.FailureBadAnswer},
		{"no end", contentEvents, "data: a\n\n", []string{"a"}, port.FailureCrashed},
		{"no event", contentEvents, "data: a", nil, port.FailureCrashedEarly},
		{"large", contentEvents, "data: " + strings.Repeat("x", 30_000), nil, port.FailureBadAnswer},
		{"other content", "text/html", "<p>", nil, port.FailureBadAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/control") {
					http.NotFound(w, r)
					return
				}
				w.Header().Set("Content-Type", c.kind)
				fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			settings := quick
			settings.MaxEvent = 20_000
			b := newBench(t, engine.Settings{}, settings)
			b.targets["engine"] = &config.TargetSpec{Kind: config.TargetEngine, Address: server.Listener.Addr().String()}
			var payloads []string
			s, err := b.call(context.Background(), "1", nil)
			if err == nil {
				payloads, err = drain(t, s, 0)
			}
			must.Eq(t, c.payloads, payloads)
			if c.failure == port.FailureRefused {
				must.ErrorIs(t, err, io.EOF)
			} else {
				must.Eq(t, c.failure, failureOf(t, err).Kind, must.Sprint(err))
			}
			b.client.Close()
		})
	}
}
