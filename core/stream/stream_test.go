package stream

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an error status that is taken for a part of a stream that has begun.
func TestErrorStatusIsNoContinuation(t *testing.T) {
	p := New("")
	must.NoError(t, p.CheckAnswer(500, false)) // nothing was passed on: it is the answer
	p.Begin()
	must.NoError(t, p.CheckAnswer(200, true))
	for status, final := range map[int]bool{404: true, 499: true, 500: false, 503: false} {
		var err *StatusError
		must.True(t, errors.As(p.CheckAnswer(status, false), &err))
		must.Eq(t, final, err.Final(), must.Sprint(status))
	}
}
