package controller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a crash or an outage caused by a message of another version whose
// missing fields decode to zero values.
func TestEmptyMessagesAreHarmless(t *testing.T) {
	w := newWorld(t, 5, 3, 2)
	w.setUp()
	for _, from := range w.names {
		for _, m := range Messages() {
			w.vms["a1"].step(PeerMessage{From: from, Body: m})
		}
	}
	w.run(5 * time.Second)
	_, err := w.finish("a1", w.call("a1", chat("p")), 10*time.Second)
	must.NoError(t, err, must.Sprint(w.log))
}
