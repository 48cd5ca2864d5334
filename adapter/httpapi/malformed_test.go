package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

const validKey = "mk_good-planted"

// fakeNode counts the calls that reach the node after the key was checked.
type fakeNode struct {
	port.Frontend
	view    *config.View
	calls   int
	spec    port.CallSpec
	request port.ServiceRequest
}

func newFakeNode(t testing.TB) *fakeNode {
	state := config.NewState()
	for i, command := range []config.Command{
		&config.PutTarget{Target: config.TargetSpec{Name: "t", Kind: config.TargetService, Address: "127.0.0.1:1", DataCentre: "d", Region: "r", MaxBatch: 1}},
		&config.PutRoute{Route: config.RouteSpec{Name: "open", Open: true, Repeatable: true, Timeout: time.Second, Targets: []domain.Target{"t"}}},
		&config.PutRoute{Route: config.RouteSpec{Name: "pay", Timeout: time.Second, Targets: []domain.Target{"t"}}},
	} {
		state.Apply(uint64(i+1), &config.Change{Operation: domain.OperationID(fmt.Sprint(i)), Command: command})
	}
	view := state.View()
	must.NotNil(t, view.Route("pay"))
	return &fakeNode{view: view}
}

func (n *fakeNode) View() *config.View                      { return n.view }
func (n *fakeNode) Refused(domain.Account, *domain.Refusal) {}

func (n *fakeNode) Identify(key string) (port.Identity, error) {
	if key != validKey {
		return port.Identity{}, domain.NotRun(domain.ReasonKeyUnknown, "the key is not known")
	}
	return port.Identity{Account: "a", Key: "k"}, nil
}

func (n *fakeNode) Chat(_ context.Context, spec port.CallSpec, _ port.ChatExchange) error {
	n.calls++
	n.spec = spec
	return domain.NotRun(domain.ReasonModelUnknown, "the model is not known")
}

func (n *fakeNode) Service(_ context.Context, _ port.CallSpec, r port.ServiceRequest, _ port.ServiceExchange) (*port.ServiceAnswer, domain.ProgramID, error) {
	n.calls++
	n.request = r
	return &port.ServiceAnswer{Status: http.StatusOK}, domain.ProgramID{}, nil
}

func (n *fakeNode) CallOpenRoute(_ context.Context, _ string, r port.ServiceRequest) (*port.ServiceAnswer, error) {
	n.calls++
	n.request = r
	return &port.ServiceAnswer{Status: http.StatusOK}, nil
}

func (n *fakeNode) GetProgram(context.Context, port.Identity, domain.ProgramName) (port.ProgramStatus, error) {
	n.calls++
	return port.ProgramStatus{}, nil
}

func (n *fakeNode) History(context.Context, port.Identity, domain.ProgramName) ([][]byte, error) {
	n.calls++
	return nil, nil
}

func smallLimits() Limits {
	return Limits{BodyBytes: 1 << 10, HeaderBytes: 2 << 10, ReadTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
}

// checkRefusal checks that a response is a typed 4xx error without content that
// was planted in the request.
func checkRefusal(t testing.TB, status int, body []byte) errorDetail {
	t.Helper()
	var got errorBody
	must.Between(t, 400, status, 499)
	must.NoError(t, json.Unmarshal(body, &got), must.Sprint(string(body)))
	must.NotEq(t, "", got.Error.Code)
	must.NotEq(t, "", got.Error.Message)
	must.Eq(t, domain.OutcomeNotRun.String(), got.Error.Outcome)
	must.StrNotContains(t, string(body), "planted")
	return got.Error
}

const validBody = `{"model":"m","messages":[{"role":"user","content":"planted"}]}`

// Guards against malformed requests that reach the node, that are answered with
// a redirect or a status without a typed body, or whose content is echoed in the
// error.
func TestMalformedRequests(t *testing.T) {
	long := strings.Repeat("x", 300)
	for name, c := range map[string]struct {
		method, path, body string
		header             http.Header
		status             int
		code               domain.Reason
	}{
		"no key":                 {path: "/v1/models", header: http.Header{"Authorization": nil}, status: 401, code: domain.ReasonKeyMissing},
		"unknown key":            {path: "/v1/models", header: http.Header{"Authorization": {"Bearer mk_planted"}}, status: 401, code: domain.ReasonKeyUnknown},
		"other scheme":           {path: "/v1/models", header: http.Header{"Authorization": {"Basic planted"}}, status: 401, code: domain.ReasonKeyMissing},
		"long key":               {path: "/v1/models", header: http.Header{"Authorization": {"Bearer planted" + long}}, status: 401, code: domain.ReasonKeyMissing},
		"two keys":               {path: "/v1/models", header: http.Header{"Authorization": {"Bearer " + validKey, "Bearer mk_planted"}}, status: 400, code: domain.ReasonBadRequest},
		"two program names":      {header: http.Header{programHeader: {"a", "b"}}, status: 400, code: domain.ReasonBadRequest},
		"long program name":      {header: http.Header{programHeader: {long}}, status: 400, code: domain.ReasonBadRequest},
		"space in program name":  {header: http.Header{programHeader: {"a planted"}}, status: 400, code: domain.ReasonBadRequest},
		"empty part of a name":   {header: http.Header{programHeader: {"a//b"}}, status: 400, code: domain.ReasonBadRequest},
		"name not UTF-8":         {header: http.Header{programHeader: {"a\xff"}}, status: 400, code: domain.ReasonBadRequest},
		"bad parent":             {header: http.Header{parentHeader: {"/"}}, status: 400, code: domain.ReasonBadRequest},
		"two idempotency keys":   {header: http.Header{idempotencyHeader: {"1", "2"}}, status: 400, code: domain.ReasonBadRequest},
		"long idempotency key":   {header: http.Header{idempotencyHeader: {long}}, status: 400, code: domain.ReasonBadRequest},
		"bad messages header":    {header: http.Header{messagesHeader: {"planted"}}, status: 400, code: domain.ReasonBadRequest},
		"large headers":          {header: http.Header{"X-Other": {strings.Repeat("x", 3<<10)}}, status: 413, code: domain.ReasonTooLarge},
		"large body":             {body: `{"model":"m","messages":[{"content":"` + strings.Repeat("x", 2<<10) + `"}]}`, status: 413, code: domain.ReasonTooLarge},
		"empty body":             {body: " ", status: 400, code: domain.ReasonBadRequest},
		"two values":             {body: validBody + validBody, status: 400, code: domain.ReasonBadRequest},
		"message not an object":  {body: `{"model":"m","messages":["planted"]}`, status: 400, code: domain.ReasonBadRequest},
		"long model":             {body: `{"model":"` + long + `","messages":[{}]}`, status: 400, code: domain.ReasonBadRequest},
		"huge token limit":       {body: `{"model":"m","messages":[{}],"max_tokens":1e30}`, status: 400, code: domain.ReasonBadRequest},
		"model in other case":    {body: `{"MODEL":"m","messages":[{}]}`, status: 400, code: domain.ReasonBadRequest},
		"unknown path":           {method: "GET", path: "/v2/planted", status: 404, code: domain.ReasonRouteUnknown},
		"wrong method":           {method: "PUT", status: 404, code: domain.ReasonRouteUnknown},
		"empty segment":          {path: "/v1//chat/completions", status: 400, code: domain.ReasonBadRequest},
		"service path with ..":   {path: "/v1/services/pay/a/../../open", status: 400, code: domain.ReasonBadRequest},
		"escaped ..":             {path: "/v1/services/open/%2e%2e/x", status: 400, code: domain.ReasonBadRequest},
		"escaped slash and ..":   {path: "/v1/services/open/a%2F..%2Fb", status: 400, code: domain.ReasonBadRequest},
		"two content types":      {path: "/v1/services/open/x", header: http.Header{"Content-Type": {"a/b", "c/d"}}, status: 400, code: domain.ReasonBadRequest},
		"large service body":     {path: "/v1/services/open/x", body: strings.Repeat("x", 2<<10), status: 413, code: domain.ReasonTooLarge},
		"no program in the path": {method: "GET", path: "/v1/programs/", status: 400, code: domain.ReasonBadRequest},
		"control byte in a name": {method: "GET", path: "/v1/history/a%00b", status: 400, code: domain.ReasonBadRequest},
		"long name in the path":  {method: "GET", path: "/v1/programs/" + long, status: 400, code: domain.ReasonBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			node := newFakeNode(t)
			if c.path == "" {
				c.path = "/v1/chat/completions"
			}
			if c.method == "" {
				c.method = http.MethodPost
				if c.path == "/v1/models" {
					c.method = http.MethodGet
				}
			}
			if c.body == "" {
				c.body = validBody
			}
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer "+validKey)
			for header, values := range c.header {
				r.Header[header] = values
			}
			w := httptest.NewRecorder()
			New(node, smallLimits(), logr.Discard()).Handler(nil).ServeHTTP(w, r)
			detail := checkRefusal(t, w.Code, w.Body.Bytes())
			must.Eq(t, c.status, w.Code, must.Sprint(w.Body.String()))
			must.Eq(t, string(c.code), detail.Code)
			must.Eq(t, 0, node.calls)
		})
	}
}

// Guards against a call that is validated and charged as one model but run as
// another because field names are matched case-insensitively.
func TestFieldNamesAreCaseSensitive(t *testing.T) {
	request, err := parseChat([]byte(`{"model":"costly","MODEL":"cheap","messages":[{"role":"user"}],"Messages":[{}],"Max_Tokens":1,"Stream":true}`))
	must.NoError(t, err)
	must.Eq(t, "costly", request.model)
	must.Eq(t, 0, request.maxTokens)
	must.False(t, request.stream)
	body, err := newChatExchange(httptest.NewRecorder(), request, false).Body(nil, 5)
	must.NoError(t, err)
	must.StrContains(t, string(body), `"model":"costly"`)
	must.StrContains(t, string(body), `"messages":[{"role":"user"}]`)
}

// Guards against decoding an escaped separator in a service path, which would
// change the path or start a query at the target.
func TestServicePathStaysEscaped(t *testing.T) {
	for path, want := range map[string]string{
		"/v1/services/open":               "",
		"/v1/services/open/":              "",
		"/v1/services/open/a%2Fb/%3Fc%23": "a%2Fb/%3Fc%23",
		"/v1/services/open/a/b/?q=1":      "a/b/",
	} {
		node := newFakeNode(t)
		w := httptest.NewRecorder()
		New(node, smallLimits(), logr.Discard()).Handler(nil).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		must.Eq(t, http.StatusOK, w.Code, must.Sprint(path, w.Body.String()))
		must.Eq(t, want, node.request.Path)
	}
}

// Guards against slow bodies that hold a connection indefinitely, and against
// error messages that reveal the VM's addresses.
func TestSlowBody(t *testing.T) {
	t.Run("with a key", func(t *testing.T) { testPartialBody(t, validKey, domain.ReasonBadRequest) })
	t.Run("without a known key", func(t *testing.T) { testPartialBody(t, "mk_planted", domain.ReasonKeyUnknown) })
}

// testPartialBody sends part of a body and checks the refusal.
func testPartialBody(t *testing.T, key string, code domain.Reason) {
	node := newFakeNode(t)
	server := New(node, smallLimits(), logr.Discard()).Server(nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 500\r\n\r\n{", key)
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, string(code), checkRefusal(t, response.StatusCode, body).Code)
	must.StrNotContains(t, string(body), "127.0.0.1")
	must.Eq(t, 0, node.calls)
}

// flushErrorWriter fails to flush, like a connection that the caller has closed.
type flushErrorWriter struct{ *httptest.ResponseRecorder }

func (flushErrorWriter) FlushError() error { return os.ErrClosed }

// Guards against counting a connection closed by the caller as a failure of the
// engine.
func TestFlushErrorIsNotEngineFailure(t *testing.T) {
	request, err := parseChat([]byte(`{"model":"m","stream":true,"messages":[{}]}`))
	must.NoError(t, err)
	err = newChatExchange(flushErrorWriter{httptest.NewRecorder()}, request, false).Event([]byte(helloChunk))
	var refusal *domain.Refusal
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, domain.ReasonCallerGone, refusal.Reason)
}

// panickingNode panics after it has passed one event on.
type panickingNode struct{ *fakeNode }

func (panickingNode) Chat(_ context.Context, _ port.CallSpec, exchange port.ChatExchange) error {
	if err := exchange.Event([]byte(helloChunk)); err != nil {
		return err
	}
	panic("planted")
}

// Guards against a panic that writes its refusal into a stream that has begun, ends the
// stream as complete, or ends the process.
func TestPanicInsideStream(t *testing.T) {
	server := httptest.NewServer(New(panickingNode{newFakeNode(t)}, smallLimits(), logr.Discard()).Handler(nil))
	defer server.Close()
	for _, stream := range []bool{true, false, true} {
		r, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{}]}`, stream)))
		must.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+validKey)
		response, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, response.Body.Close())
		if !stream {
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			must.StrContains(t, string(body), `"outcome":"unknown"`)
			continue
		}
		must.Eq(t, string(sseFrame([]byte(helloChunk))), string(body))
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// FuzzRequests guards against panics and untyped errors on arbitrary input. Each
// request either reaches the node or gets a typed refusal.
func FuzzRequests(f *testing.F) {
	f.Add("/v1/chat/completions", "p", "new", validBody)
	f.Add("/v1/chat/completions", "a/b", "", `{"model":"m","messages":[{"role":"user"}],"max_tokens":3,"n":null}`)
	f.Add("/v1/services/open/a%2Fb", "", "", "x")
	f.Add("/v1/services/pay/../open", "", "", "x")
	f.Fuzz(func(t *testing.T, path, program, messages, body string) {
		r, err := http.NewRequest(http.MethodPost, "http://x"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(r.URL.Path, "/") {
			t.Skip("not a request that a client can send")
		}
		r.Header.Set("Authorization", "Bearer "+validKey)
		r.Header.Set(programHeader, program)
		r.Header.Set(messagesHeader, messages)
		node := newFakeNode(t)
		w := httptest.NewRecorder()
		New(node, smallLimits(), logr.Discard()).Handler(nil).ServeHTTP(w, r)
		if node.calls == 0 {
			var got errorBody
			must.Between(t, 400, w.Code, 499, must.Sprint(w.Body.String()))
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
			must.Eq(t, "not_run", got.Error.Outcome)
			must.NotEq(t, "", got.Error.Code)
		}
	})
}
