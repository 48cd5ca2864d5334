package daemon_test

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// brokenEngine holds the answers of an engine to a call and to a request for the rest of
// its stream.
type brokenEngine struct {
	first, rest http.HandlerFunc
}

// put adds a model that only this engine serves, so that a test does not wait until the
// scheduler uses an engine again that has failed. Other requests to the engine go to the
// stand-in engine.
func (e brokenEngine) put(t *testing.T, v *vm, model string) {
	spec := *v.Node.View().Target("engine-1")
	address, err := url.Parse("http://" + spec.Address)
	must.NoError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.first)
	mux.HandleFunc("GET /control/calls/{id}/stream", e.rest)
	mux.HandleFunc("GET /control/calls/{id}", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"events":9}`) })
	proxy := httputil.NewSingleHostReverseProxy(address)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	mux.Handle("/", proxy)
	listener := loopback(t)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { must.NoError(t, server.Close()) })
	spec.Name, spec.Address, spec.Models = domain.Target(model), listener.Addr().String(), []domain.ModelName{domain.ModelName(model)}
	price := *v.Node.View().Model("model-a")
	price.Name = domain.ModelName(model)
	for i, command := range []config.Command{&config.PutModel{Model: price}, &config.PutTarget{Target: spec}} {
		_, err := v.Node.Change(t.Context(), config.Change{Operation: domain.OperationID(fmt.Sprint(model, i)), Operator: "test", Command: command})
		must.NoError(t, err)
	}
	eventually(t, "the engine is configured", func() bool { return v.Node.View().Target(spec.Name) != nil })
}

// answerWith returns a handler that answers with the status, the content type and the body.
// A broken answer ends without the end of its framing.
func answerWith(status int, contentType, body string, broken bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		if broken {
			panic(http.ErrAbortHandler)
		}
	}
}

// engineEvent returns one event of an engine's stream.
func engineEvent(offset int, fields string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"a\",%s}\n\n", offset, fields)
}

// postChat sends a chat completion to the model of the program's name, and returns the body
// and the error of reading it.
func (v *vm) postChat(t *testing.T, key, program string, stream bool) (status int, body string, err error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+v.CallerAddress()+"/v1/chat/completions",
		strings.NewReader(fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"x"}]}`, program, stream)))
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Mangoknot-Program", program)
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against an answer that broke off or is not whole and reaches the caller as
// complete, is stored or charged, or is reported as not run.
func TestBrokenAnswerIsNotComplete(t *testing.T) {
	v, key := startDev(t)
	defer func() { v.stop(); <-v.done }() // before the engines are closed
	one := engineEvent(0, `"choices":[{"delta":{"content":"one "}}]`)
	two := engineEvent(1, `"choices":[{"delta":{"content":"two"}}]`)
	stop := engineEvent(2, `"choices":[{"delta":{},"finish_reason":"stop"}]`)
	usage := engineEvent(3, `"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":2}`)
	const done, sse, jsonType = "data: [DONE]\n\n", "text/event-stream", "application/json"
	whole := `{"id":"a","choices":[{"message":{"content":"one two"},"finish_reason":"stop"}],"usage":{"prompt_tokens":10,"completion_tokens":2}}`
	begun := answerWith(200, sse, one, true)
	engines := map[string]brokenEngine{
		"continued":          {begun, answerWith(200, sse, one+two+stop+usage+done, false)},
		"status 500":         {begun, answerWith(500, jsonType, `{"error":{"message":"planted"}}`, false)},
		"status 404":         {begun, answerWith(404, jsonType, `{"error":{"message":"planted"}}`, false)},
		"empty":              {begun, answerWith(200, sse, "", false)},
		"other content type": {begun, answerWith(200, "text/html", "planted", false)},
		"error event":        {begun, answerWith(200, sse, "id: 1\ndata: { \"error\":{\"message\":\"planted\"}}\n\n"+done, false)},
		"whole answer":       {begun, answerWith(200, jsonType, whole, false)},
		"end too early":      {begun, answerWith(200, sse, done, false)},
		"no finish reason":   {begun, answerWith(200, sse, two+done, false)},
		"no usage":           {answerWith(200, sse, one+two+stop, true), answerWith(200, sse, done, false)},
		"no end":             {begun, answerWith(200, sse, two+stop+usage, false)},
		"not streamed":       {answerWith(200, jsonType, whole, false), http.NotFound},
	}
	modes := []bool{true, false}
	program := func(name string, stream bool) string {
		return fmt.Sprintf("%s-%t", strings.ReplaceAll(name, " ", "-"), stream)
	}
	for name, engine := range engines {
		for _, stream := range modes {
			engine.put(t, v, program(name, stream))
		}
	}
	for name := range engines {
		for _, stream := range modes {
			t.Run(program(name, stream), func(t *testing.T) { checkBrokenAnswer(t, v, key, program(name, stream), stream, name == "continued") })
		}
	}
}

// checkBrokenAnswer checks what the caller of a broken engine gets, what is stored and what
// is charged.
func checkBrokenAnswer(t *testing.T, v *vm, key, program string, stream, whole bool) {
	status, body, err := v.postChat(t, key, program, stream)
	if whole {
		must.NoError(t, err)
		must.StrContains(t, strings.ReplaceAll(body, `"}}]}`+"\n\n"+`data: {"id":"a","choices":[{"delta":{"content":"`, ""), `"content":"one two"`)
		must.Eq(t, stream, strings.HasSuffix(body, "data: [DONE]\n\n"))
		must.Eq(t, "one two", v.storedAnswer(t, key, program))
		must.Eq(t, 10*1+2*4, programSpend(t, v, key, program))
		return
	}
	must.StrNotContains(t, body, "planted")
	must.StrNotContains(t, body, "[DONE]")
	must.StrContains(t, body, `"outcome":"unknown"`)
	if status == http.StatusOK {
		must.ErrorIs(t, err, io.ErrUnexpectedEOF, must.Sprint("the framing says that the answer is whole: ", body))
	}
	must.Eq(t, 0, programSpend(t, v, key, program))
	must.Eq(t, "", v.storedAnswer(t, key, program))
}

// storedAnswer returns the last answer in a program's history, or "" if there is none.
func (v *vm) storedAnswer(t *testing.T, key, program string) string {
	t.Helper()
	status, body := v.get(t, "/v1/history/"+program, key)
	must.Eq(t, http.StatusOK, status, must.Sprint(body))
	var history struct {
		Messages []struct {
			Role, Content string
		}
	}
	must.NoError(t, json.Unmarshal([]byte(body), &history))
	if len(history.Messages) == 0 {
		return ""
	}
	return history.Messages[len(history.Messages)-1].Content
}
