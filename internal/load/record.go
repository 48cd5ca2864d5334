package load

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Results of one attempt, besides the codes of refusals.
const (
	// CodeServed means that the complete answer was received.
	CodeServed = "served"
	// CodeNotConnected means that no connection was made, so nothing was sent.
	CodeNotConnected = "not_connected"
	// CodeAnswerLost means that the connection ended before the complete answer.
	CodeAnswerLost = "answer_lost"
	// CodeIncompleteAnswer means that the answer ended normally but lacks a part.
	CodeIncompleteAnswer = "answer_not_whole"
	// CodeRetriesExpired means that the time for retries of the call has passed.
	CodeRetriesExpired = "gave_up"
)

// Record describes one attempt of a request and its response.
type Record struct {
	Sent       time.Time     `json:"sent"`
	Duration   time.Duration `json:"duration_ns"`
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
	Program    string        `json:"program"`
	Account    string        `json:"account"`
	Step       int           `json:"step"`
	Attempt    int           `json:"attempt"`
	VM         string        `json:"vm"`
	Method     string        `json:"method"`
	Path       string        `json:"path"`
	Status     int           `json:"status,omitempty"`
	// Code is one of the codes above or the code of a refusal.
	Code     string `json:"code"`
	Outcome  string `json:"outcome,omitempty"`
	Message  string `json:"message,omitempty"`
	Replayed bool   `json:"replayed,omitempty"`
	// RunOnce marks a run-once call. Model is set for a model call.
	RunOnce bool   `json:"run_once,omitempty"`
	Model   string `json:"model,omitempty"`
	// Expected is the caller's estimate of the tokens of a model call.
	Expected int    `json:"expected_tokens,omitempty"`
	Usage    *Usage `json:"usage,omitempty"`
}

// Usage holds the token counts of an answer.
type Usage struct {
	Prompt    int `json:"prompt_tokens"`
	Generated int `json:"completion_tokens"`
	Details   struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Recorder keeps the records and writes each of them as a line of JSON. It is
// safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	out     *json.Encoder
	records []Record
	err     error
}

// NewRecorder returns a recorder that writes to out, which may be nil.
func NewRecorder(out io.Writer) *Recorder {
	r := &Recorder{}
	if out != nil {
		r.out = json.NewEncoder(out)
	}
	return r
}

func (r *Recorder) add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
	if r.out != nil && r.err == nil {
		r.err = r.out.Encode(record)
	}
}

// Records returns the records in order of completion, and the first error of
// writing them.
func (r *Recorder) Records() ([]Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.records...), r.err
}
