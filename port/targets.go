package port

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Targets sends calls to targets. All its errors are *Failure.
type Targets interface {
	// Call sends a request to a model engine and returns its answer as a stream.
	// The call is cancelled at the engine when the context ends or the stream is
	// closed early.
	Call(ctx context.Context, call TargetCall) (Stream, error)
	// Plain sends a request to a plain service. It does not retry.
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

// Stream is the answer of a model engine. It is read by one goroutine.
type Stream interface {
	// Next returns the next event, io.EOF after the whole answer, or a *Failure.
	Next() (Event, error)
	// Usage returns the usage that the engine reported, and whether it reported
	// any.
	Usage() (domain.Usage, bool)
	// Close ends the stream. It must always be called.
	Close()
}

// Event is a payload as the engine sent it, without the framing of server-sent
// events. A plain JSON answer is one event. Offsets are consecutive and start
// at 0.
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
	// Header holds the caller's headers; only those on an allow-list are sent.
	Header Header
	// Body is nil if the request has no body. It may be read until the answer's
	// body is closed. BodyLength is its length in bytes, or negative if unknown.
	Body       io.Reader
	BodyLength int64
	// MaxBody and MaxAnswer limit the bodies of the request and of the answer, in
	// bytes.
	MaxBody, MaxAnswer int64
	// Timeout limits the call until the answer's body has been read.
	Timeout time.Duration
}

// PlainAnswer is the answer of a plain service. A failed read of Body returns a
// *Failure. Body must always be closed.
type PlainAnswer struct {
	Status int
	Header Header
	Body   io.ReadCloser
}

// FailureKind is the way in which a call to a target failed.
type FailureKind int

// The kinds of failure.
const (
	// FailureRefused means that this process refused the request: before it was
	// sent or, if Sent is true, when its body exceeded the limit.
	FailureRefused FailureKind = iota
	// FailureConnect means that no connection could be made.
	FailureConnect
	// FailureCrashedEarly means that the connection or the call was lost before
	// the first byte of the answer.
	FailureCrashedEarly
	// FailureCrashed means that the connection or the call was lost after part of
	// the answer.
	FailureCrashed
	// FailureTimeout means that a time limit passed, or that no answer arrived and
	// the engine is running but does not know the call.
	FailureTimeout
	// FailureBadAnswer means that the target answered with an error status, or
	// violated its protocol or a size limit.
	FailureBadAnswer
	// FailureCancelled means that the caller's context ended or the stream was
	// closed.
	FailureCancelled
)

// String returns the kind's name, as used in logs and metrics.
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
	// Sent means that a connection was made, so the target may have received the
	// request. If it is false, the target has not run the request.
	Sent bool
	// Status is the HTTP status of a bad answer, or 0. Body is the beginning of
	// that answer. It may hold prompt content and must not be logged.
	Status int
	Body   []byte
	Err    error
}

// Error returns the target, the kind and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("target %s: %s: %v", f.Target, f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// MayHaveRun reports whether the target may have run the request.
func (f *Failure) MayHaveRun() bool { return f.Sent }

// EngineControl sends commands to model engines. Commands are idempotent, and a
// nil error confirms execution. Errors are *Failure; if the engine rejected the
// command, they wrap ErrFenced or ErrBusy.
type EngineControl interface {
	Execute(ctx context.Context, target domain.Target, command EngineCommand) (EngineCommandResult, error)
}

// EngineCommandKind is the kind of a command.
type EngineCommandKind string

// The kinds of command.
const (
	CommandLoad    EngineCommandKind = "load"
	CommandUnload  EngineCommandKind = "unload"
	CommandSetRole EngineCommandKind = "role"
	CommandRelease EngineCommandKind = "release"
	CommandExport  EngineCommandKind = "export"
	CommandImport  EngineCommandKind = "import"
)

// EngineCommand is a command to a model engine.
type EngineCommand struct {
	Kind EngineCommandKind
	// Epoch is the fencing token: an engine that checks it rejects commands with
	// a lower one. Load, unload and role use one sequence for each engine; the
	// other kinds use one for each program.
	Epoch domain.Epoch
	// Program is set for release, export and import.
	Program domain.ProgramID
	// Model and Version are set for load and unload.
	Model   domain.ModelName
	Version string
	// Role is the new role, for a command of the kind role.
	Role string
	// Data is the exported cache to import.
	Data []byte
}

// EngineCommandResult is the result of an executed command.
type EngineCommandResult struct {
	// Tokens is the number of tokens that were released, exported or imported.
	Tokens domain.Tokens
	// Data is the exported cache.
	Data []byte
}

// EngineCommandError is the reason why an engine rejected a command.
type EngineCommandError string

// The reasons for rejected commands.
const (
	ErrFenced EngineCommandError = "the engine has seen a higher fencing token; another owner has taken over, drop the command"
	ErrBusy   EngineCommandError = "a call of the program is running; repeat the command after it has ended"
)

// Error returns the reason and the remedy.
func (e EngineCommandError) Error() string { return string(e) }

// TargetSignals delivers the load reports and cache events of engines. Its
// methods block until the context ends, reconnect after failures, and call
// report from one goroutine.
type TargetSignals interface {
	WatchLoad(ctx context.Context, target domain.Target, report func(LoadReport))
	WatchCache(ctx context.Context, target domain.Target, report func(CacheEvent))
}

// LoadReport is the load of an engine at the time of its report. Instance
// changes when the engine restarts.
type LoadReport struct {
	Target           domain.Target
	Instance         string
	Running, Waiting int
	CacheTokens      domain.Tokens
	// Models maps each loaded model to its version.
	Models map[domain.ModelName]string
	Role   string
}

// CacheEvent is a change of an engine's prefix cache. Events arrive with a
// delay.
type CacheEvent struct {
	Target   domain.Target
	Instance string
	Seq      uint64
	// Missed is the number of events lost directly before this one, according to
	// the sequence numbers. Restarted means that the engine restarted, with an
	// empty cache, after the previous event.
	Missed    uint64
	Restarted bool
	// Stored is true for stored tokens and false for removed ones.
	Stored  bool
	Program domain.ProgramID
	Tokens  domain.Tokens
}
