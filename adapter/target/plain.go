package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/port"
)

// headerRequestID carries the call id to plain services.
const headerRequestID = "X-Request-Id"

// plainRequestHeaders lists the headers of the caller that are forwarded to
// plain services.
var plainRequestHeaders = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range", "Traceparent", "Tracestate",
}

// plainAnswerHeaders lists the headers of plain services that are returned to
// callers.
var plainAnswerHeaders = []string{
	"Accept-Ranges", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language",
	"Content-Range", "Content-Type", "Etag", "Expires", "Last-Modified", "Location", "Retry-After", "Vary",
}

// filterHeader returns the headers with the given names.
func filterHeader(header map[string][]string, names []string) http.Header {
	out := http.Header{}
	for _, name := range names {
		if values := header[name]; len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

var (
	errBodyTooLarge = errors.New("the request body exceeds the limit; send a smaller one")
	errBadPath      = errors.New("the path or query is malformed; the path starts with a slash and is escaped")
	errNoLength     = errors.New("the answer has neither a length nor chunks, so a cut one cannot be told from a whole one")
	errBadLimits    = errors.New("the timeout and the size limits must be above 0; check the route")
)

// Plain implements port.Targets.
func (c *Client) Plain(ctx context.Context, call port.PlainCall) (*port.PlainAnswer, error) {
	r, err := c.plainRequest(call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	a := &attempt{target: call.Target}
	response, err := a.send(c.unpooled, r.WithContext(ctx))
	if err != nil {
		cancel()
		failure := plainFailure(r.Body, err.(*port.Failure))
		c.log.Info(logPrefix+"plain call failed", "target", call.Target, "call", call.Call, "kind", failure.Kind.String())
		return nil, failure
	}
	if endsWithConnection(r.Method, response) {
		cancel()
		_ = response.Body.Close()
		failure := badAnswer(call.Target, 0, nil, "%w", errNoLength)
		c.log.Info(logPrefix+"plain call failed", "target", call.Target, "call", call.Call, "kind", failure.Kind.String(), "cause", errNoLength.Error())
		return nil, failure
	}
	return &port.PlainAnswer{
		Status: response.StatusCode,
		Header: port.Header(filterHeader(response.Header, plainAnswerHeaders)),
		Body:   &answerBody{attempt: a, ctx: ctx, cancel: cancel, body: response.Body, remaining: call.MaxAnswer},
	}, nil
}

// endsWithConnection reports whether only the end of the connection marks the end
// of the answer's body.
func endsWithConnection(method string, response *http.Response) bool {
	return method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// plainFailure corrects the kind of a failure that was caused by reading the
// request body.
func plainFailure(body io.ReadCloser, f *port.Failure) *port.Failure {
	upload, ok := body.(*uploadBody)
	if !ok {
		return f
	}
	if cause := upload.failed.Load(); cause != nil {
		f.Kind, f.Err = port.FailureCancelled, *cause
		if errors.Is(*cause, errBodyTooLarge) {
			f.Kind = port.FailureRefused
		}
	}
	return f
}

// plainRequest checks the call and builds its request with the headers of the
// allow-list.
func (c *Client) plainRequest(call port.PlainCall) (*http.Request, error) {
	refused := func(err error) error {
		return &port.Failure{Kind: port.FailureRefused, Target: call.Target, Err: err}
	}
	base, err := c.address(call.Target, config.TargetService)
	if err != nil {
		return nil, err
	}
	if call.Timeout <= 0 || call.MaxBody <= 0 || call.MaxAnswer <= 0 {
		return nil, refused(errBadLimits)
	}
	if call.BodyLength > call.MaxBody {
		return nil, refused(errBodyTooLarge)
	}
	raw := base + call.Path
	if call.Query != "" {
		raw += "?" + call.Query
	}
	parsed, err := url.Parse(raw)
	if err != nil || !strings.HasPrefix(call.Path, "/") || strings.ContainsAny(call.Path, "?#") || parsed.Fragment != "" {
		return nil, refused(errBadPath)
	}
	r, err := http.NewRequest(call.Method, parsed.String(), nil)
	if err != nil {
		return nil, refused(fmt.Errorf("the method is malformed: %w", err))
	}
	if call.Body != nil && call.BodyLength != 0 {
		r.Body, r.ContentLength = &uploadBody{source: call.Body, remaining: call.MaxBody}, call.BodyLength
	}
	r.Header = filterHeader(call.Header, plainRequestHeaders)
	r.Header.Set(headerRequestID, string(call.Call))
	r.Header["User-Agent"] = nil // stops net/http from adding its default
	return r, nil
}

// uploadBody bounds a request body and records its read error, because such an
// error is not a failure of the target.
type uploadBody struct {
	source    io.Reader
	remaining int64
	failed    atomic.Pointer[error]
}

func (b *uploadBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		n, err = 0, errBodyTooLarge
	}
	if err != nil && err != io.EOF {
		b.failed.Store(&err)
	}
	return n, err
}

func (b *uploadBody) Close() error { return nil }

// answerBody bounds the body of an answer and converts its errors to
// *port.Failure.
type answerBody struct {
	attempt   *attempt
	ctx       context.Context
	cancel    context.CancelFunc
	body      io.ReadCloser
	remaining int64
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, badAnswer(b.attempt.target, 0, nil, "the answer exceeds the size limit")
	}
	if err != nil && err != io.EOF {
		return n, b.attempt.failure(b.ctx, err, true)
	}
	return n, err
}

func (b *answerBody) Close() error {
	b.cancel()
	return b.body.Close()
}
