package stream

import "fmt"

// StatusError means that a target answered the continuation of a stream with an error status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the target answered the continuation of the stream with the status %d; ask another target, or break the stream off", e.Status)
}

// Final reports whether the same target would answer in the same way again.
func (e *StatusError) Final() bool { return e.Status < statusServerError }

// statusServerError is the lowest status of a failure of the server. Those below blame the
// request.
const statusServerError = 500
