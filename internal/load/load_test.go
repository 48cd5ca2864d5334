package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
)

// startFakeVM starts a server that answers readiness checks and passes other
// requests to a function. It returns the server's address.
func startFakeVM(t *testing.T, ready bool, answer http.HandlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", answer)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newTestClient(t *testing.T, addresses ...string) (*Client, *Recorder) {
	b, recorder := NewBalancer(addresses), NewRecorder(nil)
	b.Check(t.Context())
	return NewClient(b, recorder), recorder
}

// Guards against requests to VMs that are not ready, and against uneven
// distribution over ready VMs.
func TestBalancerSpreadsOverReadyVMs(t *testing.T) {
	ok := func(http.ResponseWriter, *http.Request) {}
	first, second := startFakeVM(t, true, ok), startFakeVM(t, true, ok)
	b := NewBalancer([]string{first, startFakeVM(t, false, ok), second, "127.0.0.1:1"})
	must.Eq(t, "", b.Next())
	b.Check(t.Context())
	seen := map[string]int{}
	for range 10 {
		seen[b.Next()]++
	}
	must.Eq(t, map[string]int{first: 5, second: 5}, seen)
}

// Guards against a resend under a new idempotency key, which could run a call
// twice, and against retries that cannot succeed.
func TestCallRetries(t *testing.T) {
	refuse := func(code, outcome, after string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Mangoknot-Outcome", outcome)
			if after != "" {
				w.Header().Set("Retry-After", after)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"`+code+`","outcome":"`+outcome+`","message":"m"}}`)
		}
	}
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, c := range map[string]struct {
		first    http.HandlerFunc
		attempts int
		code     string
		mayRun   bool
	}{
		"lost answer":        {cut, 2, "", false},
		"not run, wait":      {refuse("overloaded", "not_run", "1"), 2, "", false},
		"in progress":        {refuse("in_progress", "unknown", ""), 2, "", false},
		"not run, no wait":   {refuse("program_budget", "not_run", ""), 1, "program_budget", false},
		"outcome is unknown": {refuse("outcome_unknown", "unknown", ""), 1, "outcome_unknown", true},
		"key withdrawn":      {refuse("key_withdrawn", "not_run", ""), 1, "key_withdrawn", false},
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int32
			client, recorder := newTestClient(t, startFakeVM(t, true, func(w http.ResponseWriter, r *http.Request) {
				must.Eq(t, "pay-1", r.Header.Get("Idempotency-Key"))
				if attempts.Add(1) == 1 {
					c.first(w, r)
				}
			}))
			err := client.call(t.Context(), request{method: http.MethodPost, path: "/v1/services/pay", idempotency: "pay-1",
				decode: func(io.Reader, *Record) error { return nil }})
			must.Eq(t, c.attempts, int(attempts.Load()))
			records, _ := recorder.Records()
			must.Len(t, c.attempts, records)
			if c.code == "" {
				must.NoError(t, err)
				return
			}
			failed := err.(*CallError)
			must.Eq(t, c.code, failed.Code)
			must.Eq(t, c.mayRun, failed.MayHaveRun)
		})
	}
}

// Guards against an interrupted or incomplete stream that counts as served.
func TestStreamMustBeComplete(t *testing.T) {
	const (
		delta  = `data: {"choices":[{"delta":{"content":"ab"}}]}` + "\n\n"
		finish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
		usage  = `data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1}}` + "\n\n"
		failed = `data: {"error":{"code":"key_withdrawn","outcome":"unknown","message":"m"}}` + "\n\n"
		done   = "data: [DONE]\n\n"
	)
	for name, c := range map[string]struct{ stream, code string }{
		"complete":         {delta + finish + usage + done, CodeServed},
		"interrupted":      {delta + finish + usage, CodeAnswerLost},
		"no finish reason": {delta + usage + done, CodeIncompleteAnswer},
		"no usage":         {delta + finish + done, CodeIncompleteAnswer},
		"typed error":      {delta + failed, "key_withdrawn"},
	} {
		t.Run(name, func(t *testing.T) {
			var a answer
			record := Record{Sent: time.Now()}
			setCode(a.readStream(strings.NewReader(c.stream), &record), &record)
			must.Eq(t, c.code, record.Code)
			must.Eq(t, "ab", a.content.String())
		})
	}
}

// Guards against run-once calls with two effects, or served without an effect,
// that go undetected.
func TestRunOnceEffectsAreCounted(t *testing.T) {
	tool := startFakeVM(t, true, func(w http.ResponseWriter, r *http.Request) {
		answer := map[string]string{
			"/control/requests": `[{"Path":"/a/step-1","Header":{"X-Request-Id":["1"]}},{"Path":"/a/step-1","Header":{"X-Request-Id":["2"]}},{"Path":"/b/step-1","Header":{"X-Request-Id":["3"]}}]`,
			"/control/effects":  `{"1":1,"2":1,"3":1}`,
		}
		_, _ = io.WriteString(w, answer[r.URL.Path])
	})
	emulators := Emulators{Tools: []string{tool}}
	results := []Result{{RunOnceOutcomes: map[string]string{"/a/step-1": CodeServed, "/b/step-1": CodeServed, "/c/step-1": CodeServed, "/d/step-1": "unknown"}}}
	violations, err := emulators.checkRunOnce(t.Context(), results, nil)
	must.NoError(t, err)
	must.Len(t, 2, violations)
}

// Guards against a summary that hides an account without service, or counts a
// refusal of a request above the agreed rate.
func TestSummary(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	usage := func(prompt, cached, generated int) *Usage {
		u := &Usage{Prompt: prompt, Generated: generated}
		u.Details.Cached = cached
		return u
	}
	records := []Record{
		{Sent: at(0), VM: "v", Program: "p", Account: "a", Step: 0, Model: "m", Code: CodeServed, Usage: usage(64, 0, 16)},
		{Sent: at(1), VM: "v", Program: "p", Account: "a", Step: 1, Model: "m", Code: CodeServed, Usage: usage(96, 48, 24)},
		{Sent: at(2), VM: "v", Program: "q", Account: "b", Step: 0, Model: "m", Code: "overloaded", Expected: 200},
		{Sent: at(3), VM: "v", Program: "q", Account: "b", Step: 0, Model: "m", Code: "rate_exceeded", Expected: 200},
	}
	accounts := map[string]Account{"a": {Weight: 1}, "b": {Weight: 1, Rate: 1, Burst: 1}}
	s := Summarize(nil, records, accounts)
	must.Eq(t, 0.3, s.CachedRatio)
	must.Eq(t, 32.0/112, s.WastedCache)
	must.Eq(t, "b", s.WorstAccount)
	must.Eq(t, 0.0, s.WorstShare)
	must.Eq(t, 1, s.RefusedInsideRate)
}

// Guards against arrivals that differ between runs with the same seed, or that do
// not depend on the seed.
func TestArrivalsFollowTheSeed(t *testing.T) {
	a := Arrivals{Seed: 7, Rate: 20, Duration: 10 * time.Second}
	must.Eq(t, a.Plan(3), a.Plan(3))
	must.Between(t, 150, len(a.Plan(3)), 250)
	other := a
	other.Seed = 8
	must.NotEq(t, a.Plan(3), other.Plan(3))
}

// Guards against an example file that ReadFile rejects.
func TestExampleIsValid(t *testing.T) {
	_, err := ReadFile("../../examples/programs.json")
	must.NoError(t, err)
}

// Guards against a connection that breaks inside an event, or inside the body of an answer
// that is not streamed, and counts as an answer that ended normally or was served.
func TestCutAnswerIsLost(t *testing.T) {
	const (
		stream = `data: {"choices":[{"delta":{"content":"ab"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3}}` + "\n\ndata: [DONE]\n\n"
		body   = `{"choices":[{"message":{"content":"ab"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3}}` + "\n"
	)
	for name, c := range map[string]struct {
		whole string
		read  func(*answer, io.Reader, *Record) error
	}{
		"streamed":     {stream, (*answer).readStream},
		"not streamed": {body, (*answer).readBody},
	} {
		t.Run(name, func(t *testing.T) {
			for end := range len(c.whole) + 1 {
				var a answer
				record := Record{Sent: time.Now()}
				cut := io.MultiReader(strings.NewReader(c.whole[:end]), iotest.ErrReader(io.ErrUnexpectedEOF))
				want := CodeAnswerLost
				if end == len(c.whole) {
					cut, want = strings.NewReader(c.whole), CodeServed
				}
				setCode(c.read(&a, cut, &record), &record)
				must.Eq(t, want, record.Code, must.Sprint(end, c.whole[:end]))
			}
		})
	}
}
