package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/port"
)

// brokenStream is an answer that breaks off after events with the ids 1 to n.
func brokenStream(n int) *scriptedAnswer {
	var events []string
	for i := range n {
		events = append(events, fmt.Sprint("e", i+1))
	}
	return &scriptedAnswer{status: 200, events: events, err: port.ErrInvalidAnswer}
}

// answerInTurn answers the n-th request with the n-th answer, and all later ones with the last.
func (r *rig) answerInTurn(answers ...func() *scriptedAnswer) {
	r.targets.answer = func(n int, _ port.TargetRequest) (port.Answer, error) {
		return answers[min(n, len(answers))-1](), nil
	}
}

// Guards against an error status that answers the continuation of a broken stream: its text was
// passed on inside the stream, which then ended as complete.
func TestErrorIsNoContinuationOfStream(t *testing.T) {
	for _, status := range []int{500, 502, 404, 400, 302} {
		for _, path := range []string{"/resume/1", "/resume-elsewhere/1"} {
			r := newRig(t)
			g := r.startGateway(0)
			r.answerInTurn(func() *scriptedAnswer { return brokenStream(3) }, func() *scriptedAnswer { return &scriptedAnswer{status: status} })
			q := streamRequest("1")
			q.Path = path
			refusal, reply := r.serve(g, q)
			must.Nil(t, refusal)
			must.False(t, reply.joined, must.Sprint(status, path))
			must.False(t, reply.ended, must.Sprint(status, path))
			must.True(t, reply.aborted)
			must.Eq(t, []string{"e1", "e2", "e3"}, reply.events)
		}
	}
}

// Guards against a stream that is given up at the first error although the target continues it
// when it is asked again.
func TestStreamContinuesAfterError(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.answerInTurn(
		func() *scriptedAnswer { return brokenStream(2) },
		func() *scriptedAnswer { return &scriptedAnswer{status: 500} },
		func() *scriptedAnswer { return &scriptedAnswer{status: 200, events: []string{"e3"}, after: 2} })
	refusal, reply := r.serve(g, streamRequest("1"))
	must.Nil(t, refusal)
	must.True(t, reply.ended)
	must.Eq(t, []string{"e1", "e2", "e3"}, reply.events)
}

// Guards against a stream that is broken off although its continuation is an empty, complete
// stream: it lacked only its end.
func TestEmptyContinuationEndsStream(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.answerInTurn(func() *scriptedAnswer { return brokenStream(2) }, func() *scriptedAnswer { return &scriptedAnswer{status: 200} })
	refusal, reply := r.serve(g, streamRequest("1"))
	must.Nil(t, refusal)
	must.True(t, reply.ended)
	must.Eq(t, []string{"e1", "e2"}, reply.events)
}

// Guards against a continuation that begins again, or repeats an event that the caller has.
func TestContinuationMustFollowLastEvent(t *testing.T) {
	for name, after := range map[string]int{"begins again": 0, "repeats the last event": 2} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			g := r.startGateway(0)
			r.answerInTurn(
				func() *scriptedAnswer { return brokenStream(3) },
				func() *scriptedAnswer {
					return &scriptedAnswer{status: 200, events: []string{"x", "y", "z", "end"}, after: after}
				})
			refusal, reply := r.serve(g, streamRequest("1"))
			must.Nil(t, refusal)
			must.Eq(t, []string{"e1", "e2", "e3"}, reply.events)
			must.False(t, reply.ended)
			must.True(t, reply.aborted)
		})
	}
}

// Guards against the same for a stream that the caller resumes: it has the events before.
func TestResumedStreamMustFollowCallersEvent(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	must.Eq(t, "v1", r.beginStream(g, "s"))
	r.answerInTurn(func() *scriptedAnswer { return &scriptedAnswer{status: 200, events: []string{"a", "b"}} })
	refusal, reply := r.serve(g, resumeRequest("s-again", "s"))
	must.NotNil(t, refusal)
	must.False(t, refusal.NotRun)
	must.SliceEmpty(t, reply.events)
	must.False(t, reply.ended)
}

// Guards against a stream whose events have no ids and that is sent again from its start.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.targets.answer = func(int, port.TargetRequest) (port.Answer, error) {
		return &scriptedAnswer{status: 200, events: []string{"a"}, unnumbered: true, err: port.ErrInvalidAnswer}, nil
	}
	refusal, reply := r.serve(g, streamRequest("1"))
	must.Nil(t, refusal)
	must.Eq(t, []string{"a"}, reply.events)
	must.True(t, reply.aborted)
	must.Len(t, 1, r.targets.requests)
}

// Guards against a broken stream that goes to a second target, although its route permits one,
// because the first target refuses to run the rest.
func TestRefusedContinuationKeepsTheLimitOnAttempts(t *testing.T) {
	for name, err := range map[string]error{"not run": port.ErrNotRun, "rejected": &port.RejectedError{Err: port.ErrNotRun}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			g := r.startGateway(0)
			r.targets.answer = func(n int, _ port.TargetRequest) (port.Answer, error) {
				if n == 1 {
					return brokenStream(2), nil
				}
				return nil, err
			}
			refusal, reply := r.serve(g, streamRequest("1"))
			must.Nil(t, refusal)
			must.True(t, reply.aborted)
			for _, q := range r.targets.requests {
				must.Eq(t, r.targets.requests[0].Target.ID, q.Target.ID)
			}
		})
	}
}

// Guards against a stored turn that lacks the events before the one that its caller names: they
// went through another attempt.
func TestStoredTurnIsNotResumedByCaller(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.beginStreamAt(g, "s", "/keep/1")
	sent := len(r.targets.requests)
	q := resumeRequest("s-again", "s")
	q.Path = "/keep/1"
	refusal, reply := r.serve(g, q)
	must.NotNil(t, refusal)
	must.True(t, refusal.NotRun)
	must.Eq(t, TurnNotResumable, refusal.Kind)
	must.False(t, reply.begun)
	must.Len(t, sent, r.targets.requests)
}

// Guards against a stored turn that holds what the caller did not get, or not what it got, when
// its stream was continued.
func TestStoredTurnHoldsWhatCallerGot(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.answerInTurn(
		func() *scriptedAnswer { return brokenStream(2) },
		func() *scriptedAnswer { return &scriptedAnswer{status: 500} },
		func() *scriptedAnswer { return &scriptedAnswer{status: 200, events: []string{"e3"}, after: 2} })
	q := streamRequest("1")
	q.Path, q.Body = "/keep/1", []byte("in;")
	refusal, reply := r.serve(g, q)
	must.Nil(t, refusal)
	must.True(t, reply.ended)
	r.targets.answer = streamOf("x")
	next := streamRequest("2")
	next.Path, next.Body, next.Previous = "/keep/1", []byte("next"), "1"
	refusal, _ = r.serve(g, next)
	must.Nil(t, refusal)
	must.Eq(t, "in;e1\ne2\ne3\nnext", r.targets.bodies()[3])
}

// Guards against a document with a status of success that answers the continuation of a broken
// stream and is passed on as its rest.
func TestDocumentIsNoContinuationOfStream(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.answerInTurn(
		func() *scriptedAnswer {
			a := brokenStream(2)
			a.mediaType = "text/event-stream"
			return a
		},
		func() *scriptedAnswer { return &scriptedAnswer{status: 200, mediaType: "application/json"} })
	refusal, reply := r.serve(g, streamRequest("1"))
	must.Nil(t, refusal)
	must.False(t, reply.ended)
	must.True(t, reply.aborted)
}

// Guards against a continuation whose events have no ids, which may be any, and against a stored
// turn that holds them.
func TestContinuationWithoutIDsIsNotPassedOn(t *testing.T) {
	for _, events := range [][]string{{"e1", "e2", "e3", "e4"}, {`{"error":"the run is lost"}`}} {
		r := newRig(t)
		g := r.startGateway(0)
		unnumbered := func() *scriptedAnswer { return &scriptedAnswer{status: 200, events: events, unnumbered: true} }
		r.answerInTurn(func() *scriptedAnswer { return brokenStream(3) }, unnumbered)
		q := streamRequest("1")
		q.Path = "/keep/1"
		_, reply := r.serve(g, q)
		must.Eq(t, []string{"e1", "e2", "e3"}, reply.events)
		must.False(t, reply.ended)
		next := streamRequest("2")
		next.Path, next.Previous = "/keep/1", "1"
		refusal, _ := r.serve(g, next)
		must.NotNil(t, refusal)
		must.Eq(t, NoSuchTurn, refusal.Kind)
		r.beginStream(g, "s")
		r.answerInTurn(unnumbered)
		_, reply = r.serve(g, resumeRequest("s-again", "s"))
		must.SliceEmpty(t, reply.events)
		must.False(t, reply.ended)
	}
}

// Guards against a crash of a target that is forgotten because the continuation was answered
// with an error status: the request was not served.
func TestErrorOfContinuationKeepsCrashOfRequest(t *testing.T) {
	r := newRig(t)
	g := r.startGateway(0)
	r.answerInTurn(func() *scriptedAnswer { return brokenStream(1) }, func() *scriptedAnswer { return &scriptedAnswer{status: 404} })
	_, _ = r.serve(g, streamRequest("1"))
	crashed := r.targets.requests[0].Target.ID
	crashes := 0
	must.NoError(t, g.Do(context.Background(), func(now time.Time) {
		g.watch.TargetUnreachable(now, crashed)
		crashes = len(g.watch.Crashes(now, nil))
	}))
	must.Eq(t, 1, crashes)
}
