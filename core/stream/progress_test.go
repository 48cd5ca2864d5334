package stream

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an error status that is taken for a part of a stream that has begun.
func TestErrorStatusIsNoContinuation(t *testing.T) {
	p := New("")
	must.NoError(t, p.CheckAnswer(Head{Status: 500})) // nothing was passed on: it is the answer
	p.Begin(Head{Status: 200, Success: true})
	must.NoError(t, p.CheckAnswer(Head{Status: 200, Success: true}))
	for _, failed := range []bool{false, true} {
		err := p.CheckAnswer(Head{Status: 500, TargetFailed: failed})
		must.Error(t, err)
		must.Eq(t, failed, MayAskAgain(err))
	}
}

// Guards against events that come twice, go back, or whose order is unknown, in one answer, over
// several, or after the event that the caller named.
func TestEventsFollowEachOther(t *testing.T) {
	for _, c := range []struct {
		last, next string
		want       bool
	}{
		{"", "0", true}, {"", "7", true}, {"", "", true}, {"", "a", true},
		{"1", "2", true}, {"1", "5", true}, {"9", "10", true},
		{"1", "1", false}, {"3", "1", false}, {"10", "9", false}, {"2", "02", false},
		{"1", "", false}, {"1", "run-1", false},
		{"a", "b", true}, {"a", "a", false}, {"a", "", false},
	} {
		p := New(c.last)
		err := p.Add(c.next)
		must.Eq(t, c.want, err == nil, must.Sprint(c.last, c.next, err))
		if !c.want {
			must.False(t, MayAskAgain(err))
			must.Eq(t, c.last, p.Last())
		}
	}
}

// Guards against a stream that is sent again although it could not be told whether its target
// begins again.
func TestOnlyNumberedStreamsContinue(t *testing.T) {
	for _, id := range []string{"", "a-1"} {
		p := New("")
		must.True(t, p.CanContinue())
		must.NoError(t, p.Add(id))
		must.NoError(t, p.Add("a-2"))
		must.False(t, p.CanContinue())
	}
}

// Guards against a document with a status of success that is taken for a part of a stream.
func TestOtherMediaTypeIsNoContinuation(t *testing.T) {
	for _, c := range []struct {
		begun, continued string
		want             bool
	}{{"a/b", "a/b", true}, {"a/b", "", true}, {"", "a/b", true}, {"a/b", "a/c", false}} {
		p := New("")
		p.Begin(Head{Success: true, MediaType: c.begun})
		err := p.CheckAnswer(Head{Success: true, MediaType: c.continued})
		must.Eq(t, c.want, err == nil, must.Sprint(c))
		must.Eq(t, c.want, MayAskAgain(err))
	}
}
