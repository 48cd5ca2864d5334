package port

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Targets calls back ends. Every error that it returns is a *Failure.
type Targets interface {
	// Call sends a request to a model engine and returns its answer as a stream.
	// The call is cancelled at the engine when the context ends or the stream is
	// closed early.
	Call(ctx context.Context, call TargetCall) (Stream, error)
	// Plain sends a request to a plain service. It never sends a request twice.
	Plain(ctx context.Context, call PlainCall) (*PlainAnswer, error)
}

// TargetCall is a request to a model engine.
type TargetCall struct {
	Target  domain.Target
	Program domain.ProgramID
	Call    domain.CallID
	// Body is the JSON body of a chat completion, streamed or not.
	Body []byte
}

// Stream is the answer of a model engine. One goroutine reads it.
type Stream interface {
	// Next returns the next event, io.EOF after the whole answer, or a *Failure.
	Next() (Event, error)
	// Usage returns the usage that the engine reported, if it has.
	Usage() (domain.Usage, bool)
	// Close ends the stream. It is called in any case.
	Close()
}

// Event is a payload as the engine sent it, without the framing of server-sent
// events. A plain JSON answer is one event. Offsets count from 0 without gap.
type Event struct {
	Offset int
	Data   []byte
}

// Header holds HTTP header values by canonical name, as http.Header does.
type Header map[string][]string

// PlainCall is a request to a plain service.
type PlainCall struct {
	Target domain.Target
	Call   domain.CallID
	Method string
	// Path is the escaped path and starts with a slash; Query is the raw query.
	Path, Query string
	// Header holds the caller's headers; only those of an allow-list are sent.
	Header Header
	// Body is nil without one. It may be read until the answer's body is closed.
	// BodyLength is its length, or negative if unknown.
	Body       io.Reader
	BodyLength int64
	// MaxBody and MaxAnswer bound the bodies, in bytes.
	MaxBody, MaxAnswer int64
	// Timeout bounds the call until the answer's body has been read.
	Timeout time.Duration
}

// PlainAnswer is the answer of a plain service. Reads of Body that fail return
// a *Failure. Body is closed in any case.
type PlainAnswer struct {
	Status int
	Header Header
	Body   io.ReadCloser
}

// FailureKind tells how a call to a target failed.
type FailureKind int

// The kinds of failure.
const (
	// FailureRefused says that this side refused the request: before it was
	// sent or, where Sent is true, when its body turned out to be too large.
	FailureRefused FailureKind = iota
	// FailureConnect says that no connection could be made.
	FailureConnect
	// FailureCrashedEarly says that the connection or the call was lost before
	// any byte of the answer.
	FailureCrashedEarly
	// FailureCrashed says that it was lost after some of the answer.
	FailureCrashed
	// FailureTimeout says that a time limit passed, or that no answer came and a
	// running engine does not know the call.
	FailureTimeout
	// FailureBadAnswer says that the target answered with an error status, or
	// not as its protocol or a size limit demands.
	FailureBadAnswer
	// FailureCancelled says that the caller's context or the stream was ended.
	FailureCancelled
)

// String returns the kind's name, as used in logs and counters.
func (k FailureKind) String() string {
	names := []string{"refused", "connect_failed", "crashed_early", "crashed", "timed_out", "bad_answer", "cancelled"}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Failure is the error of a call to a target.
type Failure struct {
	Kind   FailureKind
	Target domain.Target
	// Sent says that a connection existed, so that the target may have received
	// the request. Without it the target has not run the request.
	Sent bool
	// Status is the HTTP status of a bad answer, 0 without one. Body is its
	// start; it may hold prompt content and is never logged.
	Status int
	Body   []byte
	Err    error
}

// Error names the target, the kind and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("target %s: %s: %v", f.Target, f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// MayHaveRun says whether the target may have run the request.
func (f *Failure) MayHaveRun() bool { return f.Sent }

// EngineControl gives orders to model engines. An order is idempotent, and a
// nil error confirms it. Errors are *Failure; a refused order is one that wraps
// ErrFenced or ErrBusy.
type EngineControl interface {
	Execute(ctx context.Context, target domain.Target, command EngineCommand) (EngineCommandResult, error)
}

// EngineCommandKind selects an order.
type EngineCommandKind string

// The kinds of order.
const (
	CommandLoad    EngineCommandKind = "load"
	CommandUnload  EngineCommandKind = "unload"
	CommandSetRole EngineCommandKind = "role"
	CommandRelease EngineCommandKind = "release"
	CommandExport  EngineCommandKind = "export"
	CommandImport  EngineCommandKind = "import"
)

// EngineCommand is an order to a model engine.
type EngineCommand struct {
	Kind EngineCommandKind
	// Epoch fences the order: an engine that checks it refuses lower ones. Load,
	// unload and role share one number for the engine; the others have one for
	// each program.
	Epoch domain.Epoch
	// Program is that of release, export and import.
	Program domain.ProgramID
	// Model and Version are those of load and unload.
	Model   domain.ModelName
	Version string
	// Role is that of a change of role.
	Role string
	// Data is the export to import.
	Data []byte
}

// EngineCommandResult confirms an order.
type EngineCommandResult struct {
	// Tokens counts the tokens that were released, exported or imported.
	Tokens domain.Tokens
	// Data is the export.
	Data []byte
}

// EngineCommandError is a reason for which an engine refuses an order.
type EngineCommandError string

// The reasons for refused orders.
const (
	ErrFenced EngineCommandError = "the engine has seen a higher fencing number; another owner has taken over, give up the order"
	ErrBusy   EngineCommandError = "a call of the program is running; repeat the order when it has ended"
)

// Error returns the reason and the remedy.
func (e EngineCommandError) Error() string { return string(e) }

// TargetSignals reports what engines say about themselves. The methods block
// until the context ends, connect again after failures, and call report from
// one goroutine.
type TargetSignals interface {
	WatchLoad(ctx context.Context, target domain.Target, report func(LoadReport))
	WatchCache(ctx context.Context, target domain.Target, report func(CacheEvent))
}

// LoadReport is an engine's load, some time ago. Instance changes when the
// engine restarts.
type LoadReport struct {
	Target           domain.Target
	Instance         string
	Running, Waiting int
	CacheTokens      domain.Tokens
	// Models holds the loaded version of each model.
	Models map[domain.ModelName]string
	Role   string
}

// CacheEvent is a change of an engine's prefix cache. Events come late.
type CacheEvent struct {
	Target   domain.Target
	Instance string
	Seq      uint64
	// Missed counts the events that were lost directly before this one, as far
	// as the numbers show. Restarted says that the engine's cache was empty
	// since the event before this one.
	Missed    uint64
	Restarted bool
	// Stored tells stored tokens from removed ones.
	Stored  bool
	Program domain.ProgramID
	Tokens  domain.Tokens
}
