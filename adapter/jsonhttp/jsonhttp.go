// Package jsonhttp writes the JSON answers that the front ends of callers and
// operators have in common.
package jsonhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Write answers with a status and a body.
func Write(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// SetRetryAfter sets the header Retry-After in whole seconds, rounded up. A wait
// of zero sets nothing.
func SetRetryAfter(header http.Header, wait time.Duration) {
	if wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
}
