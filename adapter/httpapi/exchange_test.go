package httpapi

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/port"
)

const helloChunk = `{"id":"c1","created":1,"choices":[{"delta":{"role":"assistant","content":"hello"},"finish_reason":null}]}`
const stopChunk = `{"id":"c1","created":1,"choices":[{"delta":{},"finish_reason":"stop"}]}`

func newTestExchange(t *testing.T, body string, newMessages bool) (*chatExchange, *httptest.ResponseRecorder) {
	t.Helper()
	request, err := parseChat([]byte(body))
	must.NoError(t, err)
	recorder := httptest.NewRecorder()
	return newChatExchange(recorder, request, newMessages), recorder
}

// Guards against sending the final events of a stream before the turn is stored
// and charged.
func TestStreamCompletesOnlyAtCommit(t *testing.T) {
	exchange, recorder := newTestExchange(t, `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`, false)
	must.NoError(t, exchange.Event([]byte(helloChunk)))
	must.NoError(t, exchange.Event([]byte(stopChunk)))
	must.StrContains(t, recorder.Body.String(), "hello")
	must.StrNotContains(t, recorder.Body.String(), "stop")
	must.NoError(t, exchange.Commit())
	must.StrContains(t, recorder.Body.String(), "stop")
	must.True(t, strings.HasSuffix(recorder.Body.String(), "data: [DONE]\n\n"))
}

// Guards against history that grows quadratically with the number of turns, and
// against treating a changed conversation as a continuation of the stored one.
func TestTurnStoresOnlyAddedMessages(t *testing.T) {
	finish := func(body string, newMessages bool, earlier port.Conversation) (storedTurn, port.Conversation) {
		exchange, _ := newTestExchange(t, body, newMessages)
		must.NoError(t, exchange.Event([]byte(helloChunk)))
		must.NoError(t, exchange.Event([]byte(stopChunk)))
		data, after, err := exchange.Turn(earlier)
		must.NoError(t, err)
		var stored storedTurn
		must.NoError(t, json.Unmarshal(data, &stored))
		return stored, after
	}
	first, after := finish(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`, false, port.Conversation{})
	must.False(t, first.ReplacesHistory)
	must.Eq(t, 2, after.Messages)
	// Client libraries add fields to the answer when they send it back.
	second, _ := finish(`{"model":"m","messages":[{"role":"user","content":"hi"},{"role":"assistant","content":"hello","refusal":null},{"role":"user","content":"more"}]}`, false, after)
	must.False(t, second.ReplacesHistory)
	must.SliceLen(t, 1, second.Messages)
	changed, _ := finish(`{"model":"m","messages":[{"role":"user","content":"other"},{"role":"assistant","content":"hello"},{"role":"user","content":"more"}]}`, false, after)
	must.True(t, changed.ReplacesHistory)
	must.SliceLen(t, 3, changed.Messages)
	added, afterNew := finish(`{"model":"m","messages":[{"role":"user","content":"more"}]}`, true, after)
	must.False(t, added.ReplacesHistory)
	must.Eq(t, 4, afterNew.Messages)
}

// Guards against accepting malformed bodies, and against error messages that
// contain content of the request.
func TestMalformedBodies(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":          `{"model":`,
		"not an object":     `[1]`,
		"null":              `null`,
		"no model":          `{"messages":[{"role":"user"}]}`,
		"no messages":       `{"model":"m","messages":[]}`,
		"wrong type":        `{"model":7,"messages":[{}]}`,
		"several answers":   `{"model":"m","messages":[{}],"n":2}`,
		"negative limit":    `{"model":"m","messages":[{}],"max_tokens":-1}`,
		"messages a string": `{"model":"m","messages":"secret"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseChat([]byte(body))
			refusal, ok := domain.AsRefusal(err)
			must.True(t, ok)
			must.Eq(t, domain.ReasonBadRequest, refusal.Reason)
			must.Eq(t, domain.OutcomeNotRun, refusal.Outcome)
			must.StrNotContains(t, refusal.Remedy, "secret")
		})
	}
}
