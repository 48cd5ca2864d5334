package stream

import (
	"errors"
	"fmt"
)

// StatusError means that a target answered the continuation of a stream with an error status.
type StatusError struct {
	Status int
	// TargetFailed reports whether the same target may answer otherwise when it is asked again.
	TargetFailed bool
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the target answered the continuation of the stream with the status %d; ask another target, or break the stream off", e.Status)
}

// MediaTypeError means that a target answered the continuation of a stream with a body of
// another type.
type MediaTypeError struct {
	// Begun is the type of the answer that began the stream, Continued that of the other one.
	Begun, Continued string
}

func (e *MediaTypeError) Error() string {
	return fmt.Sprintf("the target answered the continuation of a stream of the type %s with the type %s; ask another target, or break the stream off", e.Begun, e.Continued)
}

// SequenceError means that an event does not come after the last one that the caller has: the
// target began the stream again, or repeats a part of it.
type SequenceError struct {
	// Last and Next are the ids of the last event and of the one after it.
	Last, Next string
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("the target sent the event %q after %q, and ids of events increase; ask another target, or break the stream off", e.Next, e.Last)
}

// MayAskAgain reports whether the target of an attempt that failed with err may be asked for
// the rest of the stream again. It may not if it would answer in the same way.
func MayAskAgain(err error) bool {
	var status *StatusError
	var mediaType *MediaTypeError
	var sequence *SequenceError
	switch {
	case errors.As(err, &status):
		return status.TargetFailed
	default:
		return !errors.As(err, &mediaType) && !errors.As(err, &sequence)
	}
}
