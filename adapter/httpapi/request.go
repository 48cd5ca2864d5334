package httpapi

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
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
	maxKeyBytes         = 256
	maxProgramNameBytes = 200
	maxIdempotencyBytes = 200
)

// singleHeaders may appear once: a second value could name another program or
// key than the one that was checked.
var singleHeaders = []string{"Authorization", programHeader, parentHeader, messagesHeader, idempotencyHeader, "Content-Type"}

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

func checkSingleHeaders(h http.Header) error {
	for _, name := range singleHeaders {
		if n := len(h.Values(name)); n > 1 {
			return badRequest("the header %s appears %d times; send it once", name, n)
		}
	}
	return nil
}

// callHeaders holds the validated headers of a call.
type callHeaders struct {
	program     domain.ProgramName
	parent      domain.ProgramName
	idempotency string
	newMessages bool
}

func readCallHeaders(h http.Header) (callHeaders, error) {
	var out callHeaders
	if err := checkSingleHeaders(h); err != nil {
		return out, err
	}
	program, err := programNameOf(programHeader, h.Get(programHeader))
	if err != nil {
		return out, err
	}
	parent, err := programNameOf(parentHeader, h.Get(parentHeader))
	if err != nil {
		return out, err
	}
	out.program, out.parent, out.idempotency = program, parent, h.Get(idempotencyHeader)
	if len(out.idempotency) > maxIdempotencyBytes {
		return out, badRequest("the header %s has %d bytes; use at most %d", idempotencyHeader, len(out.idempotency), maxIdempotencyBytes)
	}
	switch value := h.Get(messagesHeader); value {
	case "", "whole":
	case "new":
		out.newMessages = true
	default:
		return out, badRequest("the header %s must be new or whole", messagesHeader)
	}
	return out, nil
}

// programNameOf checks a program name. Slashes separate a sub-agent's name from
// its parent's.
func programNameOf(header, name string) (domain.ProgramName, error) {
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

// readBody reads a bounded body within the read timeout.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// The deadline bounds slow senders; a long answer is not bounded by it.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadlineAfter(a.limits.ReadTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.limits.BodyBytes))
	_ = controller.SetReadDeadline(noDeadline)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, domain.NotRun(domain.ReasonTooLarge, "the body is larger than %d bytes; send less, or send only new messages with %s: new", a.limits.BodyBytes, messagesHeader)
	case err != nil:
		return nil, badRequest("the body could not be read in full: %v", err)
	}
	return data, nil
}
