package httpapi

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Request and response headers of calls.
const (
	programHeader     = "Mangoknot-Program"
	parentHeader      = "Mangoknot-Parent"
	messagesHeader    = "Mangoknot-Messages"
	callHeader        = "Mangoknot-Call"
	idempotencyHeader = "Idempotency-Key"
)

// Limits of header values, in bytes.
const (
	maxKeyBytes            = 256
	maxProgramNameBytes    = 200
	maxIdempotencyKeyBytes = 200
)

// singleValueHeaders lists the headers that may appear only once. A second value
// could name a different program or key than the one that was validated.
var singleValueHeaders = []string{"Authorization", programHeader, parentHeader, messagesHeader, idempotencyHeader, "Content-Type"}

func badRequest(format string, args ...any) *domain.Refusal {
	return domain.NotRun(domain.ReasonBadRequest, format, args...)
}

// bearerKey returns the caller's key from the Authorization header.
func bearerKey(h http.Header) (string, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return "", domain.NotRun(domain.ReasonKeyMissing, "send your key as the header Authorization: Bearer <key>")
	}
	if len(values) > 1 {
		return "", badRequest("the header Authorization appears %d times; send it once", len(values))
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes {
		return "", domain.NotRun(domain.ReasonKeyMissing, "the Authorization header is malformed; send Authorization: Bearer <key>")
	}
	return key, nil
}

// checkHeaderSize returns a refusal if the total size of names and values exceeds
// the limit.
func (a *API) checkHeaderSize(h http.Header) error {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	if total > a.limits.HeaderBytes {
		return domain.NotRun(domain.ReasonTooLarge, "the headers have %d bytes in total; send at most %d", total, a.limits.HeaderBytes)
	}
	return nil
}

// checkPath rejects paths that net/http would redirect. A client that follows the
// redirect may repeat a request that must run once.
func checkPath(r *http.Request) error {
	segments := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	for i, segment := range segments {
		empty := segment == "" && i < len(segments)-1
		if empty || segment == "." || segment == ".." {
			return badRequest("the path contains an empty, . or .. segment; send the path without it")
		}
	}
	return nil
}

func checkSingleValueHeaders(h http.Header) error {
	for _, name := range singleValueHeaders {
		if n := len(h.Values(name)); n > 1 {
			return badRequest("the header %s appears %d times; send it once", name, n)
		}
	}
	return nil
}

// callHeaders holds the validated headers of a call.
type callHeaders struct {
	program        domain.ProgramName
	parent         domain.ProgramName
	idempotencyKey string
	newMessages    bool
}

func readCallHeaders(h http.Header) (callHeaders, error) {
	var headers callHeaders
	if err := checkSingleValueHeaders(h); err != nil {
		return headers, err
	}
	program, err := parseProgramName(programHeader, h.Get(programHeader))
	if err != nil {
		return headers, err
	}
	parent, err := parseProgramName(parentHeader, h.Get(parentHeader))
	if err != nil {
		return headers, err
	}
	headers.program, headers.parent, headers.idempotencyKey = program, parent, h.Get(idempotencyHeader)
	if len(headers.idempotencyKey) > maxIdempotencyKeyBytes {
		return headers, badRequest("the header %s has %d bytes; use at most %d", idempotencyHeader, len(headers.idempotencyKey), maxIdempotencyKeyBytes)
	}
	switch value := h.Get(messagesHeader); value {
	case "", "whole":
	case "new":
		headers.newMessages = true
	default:
		return headers, badRequest("the header %s must be new or whole", messagesHeader)
	}
	return headers, nil
}

// parseProgramName validates a program name from the named header or the path. A
// slash separates a parent's name from the name of its sub-agent. An empty name
// is valid.
func parseProgramName(header, name string) (domain.ProgramName, error) {
	if len(name) > maxProgramNameBytes {
		return "", badRequest("the header %s has %d bytes; use at most %d", header, len(name), maxProgramNameBytes)
	}
	if !utf8.ValidString(name) {
		return "", badRequest("the header %s is not valid UTF-8", header)
	}
	for _, r := range name {
		if r <= ' ' || r == 0x7f {
			return "", badRequest("the header %s contains a space or control character; remove it", header)
		}
	}
	if name != "" && slices.Contains(strings.Split(name, "/"), "") {
		return "", badRequest("the header %s contains an empty part between slashes; name sub-agents parent/child", header)
	}
	return domain.ProgramName(name), nil
}

// setReadDeadline sets the deadline for reading the whole body. net/http reads
// the rest of the body before it finishes a rejected request. Without a deadline,
// a client that stops sending could hold the connection indefinitely, even
// without a valid key.
func (a *API) setReadDeadline(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	// httptest.ResponseRecorder does not support deadlines; the error is ignored.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(a.limits.ReadTimeout))
}

// readBody reads the body within the size limit and the read timeout. It clears
// the deadline after the whole body is read, so that a long response is not cut
// off.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.limits.BodyBytes))
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, domain.NotRun(domain.ReasonTooLarge, "the body is larger than %d bytes; send less, or send only new messages with %s: new", a.limits.BodyBytes, messagesHeader)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, badRequest("the body was not received within %s; send it faster, or send less", a.limits.ReadTimeout)
	case err != nil:
		// The underlying error is omitted because it contains addresses of this VM.
		return nil, badRequest("the body could not be read in full; check its length and encoding")
	}
	return data, nil
}
