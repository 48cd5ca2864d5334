package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Limits and delays of retries.
const (
	// defaultRetryDelay is used if the answer has no Retry-After header.
	defaultRetryDelay = 300 * time.Millisecond
	// DefaultRetryLimit limits the total time of all attempts of one call. It
	// exceeds the duration of a takeover and the time for which an entry VM waits
	// for an owner.
	DefaultRetryLimit = 20 * time.Second
	// attemptTimeout limits one attempt. It exceeds the time for which an entry VM
	// waits for an owner, and the time-outs of the routes in the examples.
	attemptTimeout = 15 * time.Second
)

// maxAnswerBytes limits the length of an answer.
const maxAnswerBytes = 64 << 20

// request is one call. All its attempts carry the same idempotency key.
type request struct {
	account     Account
	program     string
	name        string // value of the program header
	parent      string
	step        int
	method      string
	path        string
	body        []byte
	contentType string
	idempotency string
	newMessages bool
	runOnce     bool
	model       string
	expected    int
	// decode reads the complete body of an answer with status 200.
	decode func(body io.Reader, record *Record) error
}

// Client sends requests through a balancer and records every attempt.
// RetryLimit limits the total time of all attempts of one call.
type Client struct {
	balancer   *Balancer
	recorder   *Recorder
	http       *http.Client
	RetryLimit time.Duration
}

// NewClient returns a client with the DefaultRetryLimit.
func NewClient(b *Balancer, r *Recorder) *Client {
	return &Client{balancer: b, recorder: r, http: newHTTPClient(), RetryLimit: DefaultRetryLimit}
}

// call repeats a request until it is served, a retry cannot succeed or the retry
// limit has passed. The error is a *CallError.
func (c *Client) call(ctx context.Context, r request) error {
	deadline := time.Now().Add(c.RetryLimit)
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		record, wait := c.attempt(ctx, r, attempt)
		if record.Code == CodeServed {
			return nil
		}
		mayHaveRun = mayHaveRun || record.Outcome == "unknown" || record.Code == CodeAnswerLost
		failed := &CallError{Code: record.Code, Message: record.Message, MayHaveRun: mayHaveRun}
		if wait == 0 || ctx.Err() != nil {
			return failed
		}
		if time.Now().Add(wait).After(deadline) {
			failed.Code, failed.Message = CodeRetriesExpired, "last code "+record.Code+": "+record.Message
			return failed
		}
		if !sleep(ctx, wait) {
			return failed
		}
	}
}

// CallError is the final outcome of a call that was not served. Code is a Code
// constant or the code of a refusal.
type CallError struct {
	Code, Message string
	// MayHaveRun is set if an attempt may have reached a target.
	MayHaveRun bool
}

func (e *CallError) Error() string { return e.Code + ": " + e.Message }

// attempt sends the request once and records it. It returns the delay before the
// next attempt, or 0 for none.
func (c *Client) attempt(ctx context.Context, r request, number int) (Record, time.Duration) {
	record := Record{
		Sent: time.Now(), Program: r.program, Account: r.account.Name, Step: r.step, Attempt: number, VM: c.balancer.Next(),
		Method: r.method, Path: r.path, RunOnce: r.runOnce, Model: r.model, Expected: r.expected,
	}
	attemptCtx, cancel := context.WithTimeout(ctx, min(attemptTimeout, c.RetryLimit))
	defer cancel()
	wait := c.exchange(attemptCtx, r, &record)
	record.Duration = time.Since(record.Sent)
	c.recorder.add(record)
	return record, wait
}

// exchange sends the request, reads the response into the record and returns the
// delay before the next attempt, or 0 for none.
func (c *Client) exchange(ctx context.Context, r request, record *Record) time.Duration {
	if record.VM == "" {
		record.Code, record.Message = CodeNotConnected, "no VM is ready"
		return defaultRetryDelay
	}
	httpRequest, err := r.encode(ctx, record.VM)
	if err != nil {
		record.Code, record.Message = CodeNotConnected, err.Error()
		return 0
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		record.Code, record.Message = CodeAnswerLost, err.Error()
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			record.Code = CodeNotConnected
		}
		return defaultRetryDelay
	}
	defer response.Body.Close()
	record.Status = response.StatusCode
	record.Replayed = response.Header.Get("Mangoknot-Replayed") == "true"
	body := io.LimitReader(response.Body, maxAnswerBytes)
	if response.Header.Get("Mangoknot-Outcome") != "" {
		return readRefusal(response, body, record)
	}
	if response.StatusCode != http.StatusOK {
		record.Code, record.Message = fmt.Sprintf("status_%d", response.StatusCode), "the answer is neither a success nor a refusal"
		return 0
	}
	return setCode(r.decode(body, record), record)
}

// setCode sets the record's code from the result of decoding the answer, and
// returns the delay before the next attempt, or 0 for none.
func setCode(err error, record *Record) time.Duration {
	var refused *refusedError
	switch {
	case err == nil:
		record.Code = CodeServed
		return 0
	case errors.As(err, &refused):
		refused.fill(record)
		return retryDelay(record, "")
	case errors.Is(err, errIncompleteAnswer):
		record.Code, record.Message = CodeIncompleteAnswer, err.Error()
		return 0
	default:
		record.Code, record.Message = CodeAnswerLost, err.Error()
		return defaultRetryDelay
	}
}

func (r request) encode(ctx context.Context, vm string) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+vm+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	set := func(name, value string) {
		if value != "" {
			out.Header.Set(name, value)
		}
	}
	set("Authorization", "Bearer "+r.account.Key)
	set("Content-Type", r.contentType)
	set("Mangoknot-Program", r.name)
	set("Mangoknot-Parent", r.parent)
	set("Idempotency-Key", r.idempotency)
	if r.newMessages {
		set("Mangoknot-Messages", "new")
	}
	return out, nil
}

// refusedError is a refusal in JSON, as the body or as the last event of a stream.
type refusedError struct {
	Detail struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (e *refusedError) Error() string { return e.Detail.Code + ": " + e.Detail.Message }

func (e *refusedError) fill(record *Record) {
	record.Code, record.Outcome, record.Message = e.Detail.Code, e.Detail.Outcome, e.Detail.Message
}

func readRefusal(response *http.Response, body io.Reader, record *Record) time.Duration {
	var refused refusedError
	if err := json.NewDecoder(body).Decode(&refused); err != nil {
		record.Code, record.Message = CodeAnswerLost, err.Error()
		return defaultRetryDelay
	}
	refused.fill(record)
	return retryDelay(record, response.Header.Get("Retry-After"))
}

// finalCodes are the refusal codes after which a resend cannot resolve an unknown
// outcome.
var finalCodes = map[string]bool{"key_withdrawn": true, "outcome_unknown": true}

// retryDelay returns the delay before the retry of a refused request, or 0 for
// none. A resend with the same idempotency key is safe after an unknown outcome:
// it returns the stored answer, or a refusal if the outcome remains unknown.
func retryDelay(record *Record, retryAfter string) time.Duration {
	if seconds, err := strconv.Atoi(retryAfter); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	if record.Outcome == "unknown" && !finalCodes[record.Code] {
		return defaultRetryDelay
	}
	return 0
}
