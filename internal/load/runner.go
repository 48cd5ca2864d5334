package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// Result is the result of one program or sub-agent.
type Result struct {
	Program string        `json:"program"`
	Account string        `json:"account"`
	Parent  string        `json:"parent,omitempty"`
	Started time.Time     `json:"started"`
	Latency time.Duration `json:"latency_ns"`
	// Outcome is "complete" or the code that ended the program.
	Outcome string `json:"outcome"`
	Message string `json:"message,omitempty"`
	Ended   bool   `json:"ended"`
	Turns   int    `json:"turns"`
	Spent   int64  `json:"spent_micros"`
	Budget  int64  `json:"budget_micros"`
	// Violations lists the guarantees that were violated.
	Violations []string `json:"broken,omitempty"`
	// RunOnceOutcomes maps the path of each run-once call to the outcome that the
	// caller received.
	RunOnceOutcomes map[string]string `json:"payments,omitempty"`
}

// OutcomeComplete is the outcome of a program whose steps were all served.
const OutcomeComplete = "complete"

// Runner runs programs and collects their results.
type Runner struct {
	Client   *Client
	Accounts map[string]Account

	mu      sync.Mutex
	results []Result
}

// Results returns the results in order of completion.
func (r *Runner) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.results)
}

// RunFile starts every instance of the file's programs at its start time and
// returns when all have ended. The prefix is put before each program's name.
func (r *Runner) RunFile(ctx context.Context, f *File, prefix string) {
	var running sync.WaitGroup
	for _, p := range f.Programs {
		for i := range max(1, p.Count) {
			name := prefix + p.Name
			if p.Count > 1 {
				name = fmt.Sprintf("%s%s-%d", prefix, p.Name, i+1)
			}
			running.Go(func() {
				if sleep(ctx, time.Duration(p.Start)+time.Duration(i)*time.Duration(p.Spacing)) {
					r.Run(ctx, p, name)
				}
			})
		}
	}
	running.Wait()
}

// sleep waits for a duration. It reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// execution is one program in progress.
type execution struct {
	runner  *Runner
	program Program
	account Account
	name    string // full name
	parent  string
	result  Result
	// messages is the conversation that the caller received.
	messages []Message
	// mayHaveUnseenTurn is set if a turn may be stored whose answer the caller
	// did not receive.
	mayHaveUnseenTurn bool
}

// Run runs one instance of a program to its end and adds its result.
func (r *Runner) Run(ctx context.Context, p Program, name string) {
	account, ok := r.Accounts[p.Account]
	if !ok {
		r.add(Result{Program: name, Account: p.Account, Outcome: "account_without_key", Started: time.Now()})
		return
	}
	e := &execution{runner: r, program: p, account: account, name: name}
	_ = e.run(ctx, p.Steps)
}

func (r *Runner) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (e *execution) run(ctx context.Context, steps []Step) error {
	e.result = Result{
		Program: e.name, Account: e.account.Name, Parent: e.parent, Started: time.Now(),
		Outcome: OutcomeComplete, RunOnceOutcomes: map[string]string{},
	}
	err := e.steps(ctx, steps)
	e.result.Latency = time.Since(e.result.Started)
	if err != nil {
		var failed *CallError
		if errors.As(err, &failed) {
			e.result.Outcome, e.result.Message = failed.Code, failed.Message
		} else {
			e.result.Outcome, e.result.Message = "stopped", err.Error()
		}
	}
	e.checkHistory(ctx)
	e.endProgram(ctx)
	e.runner.add(e.result)
	return err
}

func (e *execution) steps(ctx context.Context, steps []Step) error {
	for i, step := range steps {
		var err error
		switch {
		case step.Call != nil:
			err = e.chat(ctx, i, step.Call)
		case step.Tool != nil:
			err = e.tool(ctx, i, step.Tool)
		case step.Agent != nil:
			child := &execution{runner: e.runner, program: e.program, account: e.account, name: e.name + "/" + step.Agent.Name, parent: e.name}
			err = child.run(ctx, step.Agent.Steps)
		case step.End:
			return nil
		default:
			if !sleep(ctx, time.Duration(step.Pause)) {
				err = ctx.Err()
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (e *execution) request(step int) request {
	r := request{account: e.account, program: e.name, name: e.name, parent: e.parent, step: step}
	r.idempotency = fmt.Sprintf("%s-step-%d", e.name, step)
	return r
}

func (e *execution) chat(ctx context.Context, step int, call *ModelCall) error {
	added := Message{Role: "user", Content: call.Message}
	body := chatBody{Model: e.program.Model, MaxTokens: call.MaxTokens, Stream: !call.NoStream}
	if body.Messages = append(slices.Clone(e.messages), added); e.program.NewMessagesOnly {
		body.Messages = []Message{added}
	}
	if body.Stream {
		body.StreamOptions = &streamOpts{IncludeUsage: true}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var got answer
	r := e.request(step)
	r.method, r.path, r.body, r.contentType = http.MethodPost, "/v1/chat/completions", data, "application/json"
	r.newMessages, r.model, r.expected = e.program.NewMessagesOnly, e.program.Model, call.MaxTokens
	for _, m := range e.messages {
		r.expected += len(m.Content) / bytesPerToken
	}
	r.decode = func(body io.Reader, record *Record) error {
		got = answer{}
		if call.NoStream {
			return got.readBody(body, record)
		}
		return got.readStream(body, record)
	}
	if err := e.runner.Client.call(ctx, r); err != nil {
		e.recordFailure(err)
		return err
	}
	e.messages = append(e.messages, added, Message{Role: "assistant", Content: got.content.String()})
	e.result.Turns++
	return nil
}

// bytesPerToken estimates the tokens of a text where the caller has no count.
const bytesPerToken = 4

// recordFailure records whether a failed call may have stored a turn, and adds a
// violation if the answer was incomplete.
func (e *execution) recordFailure(err error) {
	var failed *CallError
	if !errors.As(err, &failed) {
		return
	}
	e.mayHaveUnseenTurn = e.mayHaveUnseenTurn || failed.MayHaveRun
	if failed.Code == CodeIncompleteAnswer {
		e.addViolation("incomplete answer: %s", failed.Message)
	}
}

func (e *execution) addViolation(format string, args ...any) {
	e.result.Violations = append(e.result.Violations, fmt.Sprintf(format, args...))
}

// tool calls a tool service. The path contains the program's name and the step,
// so that the effects of the call can be counted at the service.
func (e *execution) tool(ctx context.Context, step int, call *ToolCall) error {
	path := fmt.Sprintf("%s/step-%d", e.name, step)
	r := e.request(step)
	r.method, r.path = call.Method, "/v1/services/"+call.Route+"/"+path
	r.body, r.contentType, r.runOnce = []byte(call.Body), "application/json", call.RunOnce
	r.decode = func(body io.Reader, _ *Record) error {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	err := e.runner.Client.call(ctx, r)
	outcome := CodeServed
	var failed *CallError
	if errors.As(err, &failed) {
		if outcome = failed.Code; failed.MayHaveRun {
			outcome = "unknown"
		}
	}
	if call.RunOnce {
		e.result.RunOnceOutcomes["/"+path] = outcome
	}
	return err
}

// programStatus is the answer to GET and DELETE /v1/programs/{name}.
type programStatus struct {
	State  string `json:"state"`
	Spent  int64  `json:"spent_micros"`
	Budget int64  `json:"budget_micros"`
}

// checkHistory compares the stored history with the conversation that the caller
// received.
func (e *execution) checkHistory(ctx context.Context) {
	if len(e.messages) == 0 || e.result.Outcome == "key_withdrawn" {
		return
	}
	var stored struct {
		Messages []Message `json:"messages"`
	}
	if err := e.read(ctx, http.MethodGet, "/v1/history/", &stored); err != nil {
		e.addViolation("history: could not be read: %v", err)
		return
	}
	n := len(e.messages)
	// A turn whose answer was lost may be stored with two messages: the caller's
	// and the answer.
	complete := len(stored.Messages) == n || e.mayHaveUnseenTurn && len(stored.Messages) == n+2
	if !complete || !slices.Equal(stored.Messages[:n], e.messages) {
		e.addViolation("history: the %d stored messages differ from the %d that the caller received", len(stored.Messages), n)
	}
}

// endProgram ends the program and checks its budget and spend.
func (e *execution) endProgram(ctx context.Context) {
	var status programStatus
	err := e.read(ctx, http.MethodDelete, "/v1/programs/", &status)
	if err != nil {
		if e.result.Message == "" {
			e.result.Message = "the program was not ended: " + err.Error()
		}
		return
	}
	e.result.Ended = status.State == "ended"
	e.result.Spent, e.result.Budget = status.Spent, status.Budget
	if e.program.Budget > 0 && e.program.Budget != status.Budget && e.parent == "" {
		e.addViolation("budget: the system reports a budget of %d micros instead of the agreed %d", status.Budget, e.program.Budget)
	}
	if status.Budget > 0 && status.Spent > status.Budget {
		e.addViolation("budget: %d micros were spent of a budget of %d", status.Spent, status.Budget)
	}
}

// read sends a request about the program and decodes the JSON answer into out.
func (e *execution) read(ctx context.Context, method, path string, out any) error {
	r := request{account: e.account, program: e.name, step: -1, method: method, path: path + (&url.URL{Path: e.name}).EscapedPath()}
	r.decode = func(body io.Reader, _ *Record) error { return decodeBody(body, out) }
	return e.runner.Client.call(ctx, r)
}
