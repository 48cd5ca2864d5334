package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr/testr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

// chunk returns an event of the answer with the completion id run.
func chunk(run string, offset int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", offset, chunkData(run, offset))
}

func chunkData(run string, offset int) string {
	return fmt.Sprintf(`{"id":%q,"choices":[{"delta":{"content":"%d"}}]}`, run, offset)
}

// newFakeEngine returns a client of an engine whose handlers are given: first answers the
// call, resumed answers each request for the rest of the stream.
func newFakeEngine(t *testing.T, first, resumed http.HandlerFunc) *Client {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", first)
	mux.HandleFunc("GET /control/calls/{id}/stream", resumed)
	mux.HandleFunc("GET /control/calls/{id}", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"events":5,"done":true}`) })
	mux.HandleFunc("POST /control/calls/{id}/cancel", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{}`) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := New(quick, func(target domain.Target) *config.TargetSpec {
		return &config.TargetSpec{Name: target, Kind: config.TargetEngine, Address: strings.TrimPrefix(server.URL, "http://")}
	}, testr.New(t))
	t.Cleanup(client.Close)
	return client
}

// write returns a handler that answers with the status, the content type and the body.
func write(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// brokenAfter returns a handler that sends events and closes the connection before the
// end of the stream.
func brokenAfter(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentEvents)
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// Guards against an answer that is no continuation and becomes part of a resumed stream,
// ends it as complete, or lets a call that ran be reported as refused.
func TestResumeAcceptsOnlyTheContinuation(t *testing.T) {
	const done = "data: [DONE]\n\n"
	rest := chunk("a", 3) + chunk("a", 4)
	unnumbered := "data: " + chunkData("a", 3) + "\n\n"
	for name, c := range map[string]struct {
		status      int
		contentType string
		body        string
		events      int // events of the whole answer that are returned
		complete    bool
	}{
		"continuation":            {200, contentEvents, rest + done, 5, true},
		"only the end":            {200, contentEvents, done, 3, true},
		"status 500":              {500, contentJSON, `{"error":{"message":"m"}}`, 3, false},
		"status 404":              {404, "text/plain", "not found", 3, false},
		"another content type":    {200, "text/html", "<p>busy</p>", 3, false},
		"complete JSON answer":    {200, contentJSON, `{"id":"a","choices":[{"message":{"content":"01234"},"finish_reason":"stop"}]}`, 3, false},
		"empty JSON answer":       {200, contentJSON, "", 3, false},
		"empty answer":            {200, contentEvents, "", 3, false},
		"from the start":          {200, contentEvents, chunk("a", 0) + chunk("a", 1) + chunk("a", 2) + rest + done, 5, true},
		"goes back":               {200, contentEvents, chunk("a", 3) + chunk("a", 3) + chunk("a", 1) + chunk("a", 4) + done, 5, true},
		"another run, from 0":     {200, contentEvents, chunk("b", 0) + chunk("b", 1) + chunk("b", 2) + chunk("b", 3) + done, 3, false},
		"event sent twice":        {200, contentEvents, chunk("a", 3) + "id: 3\ndata: " + chunkData("a", 4) + "\n\n" + done, 4, false},
		"gap":                     {200, contentEvents, chunk("a", 4) + done, 3, false},
		"no numbers":              {200, contentEvents, unnumbered + done, 3, false},
		"no end":                  {200, contentEvents, rest, 5, false},
		"another run":             {200, contentEvents, chunk("b", 3) + chunk("b", 4) + done, 3, false},
		"error event":             {200, contentEvents, "id: 3\ndata: {\"error\":{\"message\":\"m\"}}\n\n" + done, 3, false},
		"error event with spaces": {200, contentEvents, "id: 3\ndata: { \"error\": {\"message\":\"m\"}}\n\n" + done, 3, false},
		"error object":            {200, contentEvents, "id: 3\ndata: {\"object\":\"error\",\"message\":\"m\"}\n\n" + done, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			client := newFakeEngine(t, brokenAfter(chunk("a", 0)+chunk("a", 1)+chunk("a", 2)), write(c.status, c.contentType, c.body))
			s, err := client.Call(context.Background(), port.TargetCall{Target: "engine", Program: program, Call: "1", Body: chatBody("x", true)})
			must.NoError(t, err)
			payloads, err := drain(t, s, 0)
			for i, p := range payloads {
				must.Eq(t, chunkData("a", i), p)
			}
			must.SliceLen(t, c.events, payloads)
			if c.complete {
				must.ErrorIs(t, err, io.EOF)
				return
			}
			failure := failureOf(t, err)
			must.True(t, failure.MayHaveRun())
			must.Eq(t, 0, failure.Status, must.Sprint("the call itself was not answered with an error status"))
		})
	}
}

// Guards against a call that reached the engine and is reported as refused, because its
// answer was lost before the head and the engine refuses to continue it.
func TestRefusedResumeBeforeFirstEvent(t *testing.T) {
	lost := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, status := range []int{404, 500} {
		client := newFakeEngine(t, lost, write(status, contentJSON, `{}`))
		_, err := client.Call(context.Background(), port.TargetCall{Target: "engine", Program: program, Call: "1", Body: chatBody("x", true)})
		failure := failureOf(t, err)
		must.True(t, failure.MayHaveRun())
		must.Eq(t, 0, failure.Status)
	}
}
