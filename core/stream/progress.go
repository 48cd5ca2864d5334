// Package stream decides which answers of targets, and which of their events, belong to the
// stream of a caller. A stream may consist of several answers: after one breaks off, the next
// one has to go on after the last event that the caller has.
package stream

import "strconv"

// Progress is what a caller has received of a stream. It is not safe for concurrent use.
type Progress struct {
	begun bool
	// mediaType is that of the answer that began, or "" if it names none.
	mediaType string
	last      string
	// unordered reports whether the caller has an event whose id is no number, or none.
	unordered bool
	latest    Continuation
}

// Continuation describes the latest attempt to go on with a stream that had begun.
type Continuation struct {
	// Count is the number of such attempts.
	Count int
	// After is the id of the last event before the attempt. With is that of the first event
	// that it brought, or "".
	After, With string
}

// New returns the progress of a stream of which the caller has the events up to the one with
// the id after; "" means none.
func New(after string) *Progress { return &Progress{last: after} }

// Begun reports whether a part of the answer was passed on to the caller.
func (p *Progress) Begun() bool { return p.begun }

// Begin records that an answer is passed on to the caller from its head on.
func (p *Progress) Begin(h Head) { p.begun, p.mediaType = true, h.MediaType }

// Last returns the id of the last event that the caller has, or "".
func (p *Progress) Last() string { return p.last }

// CanContinue reports whether a target can be asked for the rest. Without a number for each event
// it cannot be told whether the target begins again.
func (p *Progress) CanContinue() bool { return !p.unordered }

// LatestContinuation returns the latest continuation.
func (p *Progress) LatestContinuation() Continuation { return p.latest }

// NextAttempt records that the stream is requested, or its rest if it has begun.
func (p *Progress) NextAttempt() {
	if p.begun {
		p.latest = Continuation{Count: p.latest.Count + 1, After: p.last}
	}
}

// Head is what an answer says of itself.
type Head struct {
	Status int
	// Success reports whether Status means success.
	Success bool
	// TargetFailed reports whether Status blames the target rather than the request.
	TargetFailed bool
	// MediaType is the type of the body, or "" if the target names none.
	MediaType string
}

// CheckAnswer returns a *StatusError or a *MediaTypeError if the stream has begun and the
// answer, an error or a document, is no part of it.
func (p *Progress) CheckAnswer(h Head) error {
	switch {
	case !p.begun:
		return nil
	case !h.Success:
		return &StatusError{Status: h.Status, TargetFailed: h.TargetFailed}
	case p.mediaType != "" && h.MediaType != "" && p.mediaType != h.MediaType:
		return &MediaTypeError{Begun: p.mediaType, Continued: h.MediaType}
	default:
		return nil
	}
}

// Add records an event with data that is to be passed on to the caller. It returns a
// *SequenceError if the event does not come after the last one that the caller has, or if that
// cannot be told.
func (p *Progress) Add(id string) error {
	if p.latest.Count > 0 && p.latest.With == "" {
		p.latest.With = id
	}
	if !follows(p.last, id) {
		return &SequenceError{Last: p.last, Next: id}
	}
	if !isNumber(id) {
		p.unordered = true
	}
	p.last = id
	return nil
}

// follows reports whether an event may come after the one with the id last. Numbers increase, and
// need not be consecutive. Of other ids only a repetition can be told.
func follows(last, next string) bool {
	switch {
	case last == "":
		return true
	case isNumber(last):
		return isNumber(next) && number(next) > number(last)
	default:
		return next != "" && next != last
	}
}

func isNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// number returns the value of an id that is a number.
func number(id string) uint64 {
	n, _ := strconv.ParseUint(id, 10, 64)
	return n
}
