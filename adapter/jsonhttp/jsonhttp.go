// Package jsonhttp writes JSON responses for the front ends of callers and
// operators.
package jsonhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Write writes a response with the status and the body encoded as JSON. If the
// body cannot be encoded, it responds with status 500.
func Write(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encode response", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// SetRetryAfter sets the header Retry-After to wait in whole seconds, rounded up.
// It does nothing unless wait is positive.
func SetRetryAfter(header http.Header, wait time.Duration) {
	if wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
}
