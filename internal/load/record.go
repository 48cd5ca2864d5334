package load

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Outcomes of one attempt, besides the codes of refusals.
const (
	// CodeServed is a whole answer.
	CodeServed = "served"
	// CodeNotConnected says that no connection was made, so nothing was sent.
	CodeNotConnected = "not_connected"
	// CodeAnswerLost says that the connection ended before the whole answer.
	CodeAnswerLost = "answer_lost"
	// CodeIncompleteAnswer is an answer that looked complete and was not.
	CodeIncompleteAnswer = "answer_not_whole"
	// CodeRetriesExpired ends a call whose time to retry has passed.
	CodeRetriesExpired = "gave_up"
)

// Record is one request with its response.
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
	// RunOnce and Model tell the kinds of calls apart.
	RunOnce bool   `json:"run_once,omitempty"`
	Model   string `json:"model,omitempty"`
	// Expected is the caller's estimate of the tokens of a model call.
	Expected int    `json:"expected_tokens,omitempty"`
	Usage    *Usage `json:"usage,omitempty"`
}

// Usage is the token count of an answer.
type Usage struct {
	Prompt    int `json:"prompt_tokens"`
	Generated int `json:"completion_tokens"`
	Details   struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Recorder keeps the records and writes each as a line of JSON.
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

// Records returns the records in the order of their answers, and the first
// error of writing them.
func (r *Recorder) Records() ([]Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.records...), r.err
}
