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

// The project's request headers.
const (
	programHeader     = "Mangoknot-Program"
	parentHeader      = "Mangoknot-Parent"
	messagesHeader    = "Mangoknot-Messages"
	callHeader        = "Mangoknot-Call"
	idempotencyHeader = "Idempotency-Key"
)

// Bounds on header values, in bytes.
const (
	maxKeyBytes            = 256
	maxProgramNameBytes    = 200
	maxIdempotencyKeyBytes = 200
)

// singleValueHeaders may appear once: a second value could name another program or
// key than the one that was checked.
var singleValueHeaders = []string{"Authorization", programHeader, parentHeader, messagesHeader, idempotencyHeader, "Content-Type"}

func badRequest(format string, args ...any) *domain.Refusal {
	return domain.NotRun(domain.ReasonBadRequest, format, args...)
}

// bearerKey returns the caller's key.
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

// checkHeaderSize bounds all headers together.
func (a *API) checkHeaderSize(h http.Header) error {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	if total > a.limits.HeaderBytes {
		return domain.NotRun(domain.ReasonTooLarge, "the headers have %d bytes together; send at most %d", total, a.limits.HeaderBytes)
	}
	return nil
}

// checkPath refuses paths that net/http would answer with a redirect: a client
// that follows it may repeat a request that must run once.
func checkPath(r *http.Request) error {
	segments := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	for i, segment := range segments {
		empty := segment == "" && i < len(segments)-1
		if empty || segment == "." || segment == ".." {
			return badRequest("the path holds an empty, . or .. segment; send the path without it")
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

// parseProgramName checks a program name. Slashes separate a sub-agent's name from
// its parent's.
func parseProgramName(header, name string) (domain.ProgramName, error) {
	if len(name) > maxProgramNameBytes {
		return "", badRequest("the header %s has %d bytes; use at most %d", header, len(name), maxProgramNameBytes)
	}
	if !utf8.ValidString(name) {
		return "", badRequest("the header %s is not valid UTF-8", header)
	}
	for _, r := range name {
		if r <= ' ' || r == 0x7f {
			return "", badRequest("the header %s holds a space or control character; leave it out", header)
		}
	}
	if name != "" && slices.Contains(strings.Split(name, "/"), "") {
		return "", badRequest("the header %s holds an empty part between slashes; name sub-agents parent/child", header)
	}
	return domain.ProgramName(name), nil
}

// setReadDeadline bounds the time for the whole body. net/http reads the rest of
// a body before it ends a refused request, so without a deadline a sender that
// stops half-way would hold the connection for ever, also without a key.
func (a *API) setReadDeadline(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	// A recorder in a test has no deadline.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(a.limits.ReadTimeout))
}

// readBody reads a bounded body within the read timeout. The deadline is
// lifted only after the whole body, because a long answer is not bounded by it.
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
		return nil, badRequest("the body did not arrive within %s; send it faster, or send less", a.limits.ReadTimeout)
	case err != nil:
		// The error itself names addresses of this VM.
		return nil, badRequest("the body could not be read in full; check its length and encoding")
	}
	return data, nil
}
