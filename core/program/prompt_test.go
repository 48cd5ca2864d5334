package program

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a reservation that omits the stored history. It would be too
// low for a call that sends only new messages, and would cap its charge.
func TestPromptCountsStoredHistory(t *testing.T) {
	r := newRig(t, settings(nil))
	first := begin("1", "p")
	r.step(first)
	must.True(t, r.place("t1", true))
	done := finish(first, 1, 1)
	done.Turn.Length = 1000
	r.step(done)
	next := begin("2", "p")
	next.NewMessagesOnly = true
	r.step(next)
	must.Eq(t, next.PromptTokens+1000/historyBytesPerToken, r.store.promptTokens(r.store.calls[next.Call]))
}
