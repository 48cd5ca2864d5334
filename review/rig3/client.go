package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, path, key, body string
	// method is POST if it is empty.
	method string
	// header holds further headers.
	header map[string]string
}

// send sends a request to a gateway on a new connection, and returns the status of the answer or 0.
func (f *fleet) send(gateway int, q request) int {
	m := f.gateways[gateway%len(f.gateways)]
	r, err := http.NewRequest(cmp.Or(q.method, http.MethodPost), fmt.Sprintf("http://%s:%d%s", m.ip, f.front, q.path), strings.NewReader(q.body))
	if err != nil {
		return 0
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Deadline-Ms", "3000")
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	f.rec.add("client sends %s %s with the key %q to %s", q.id, q.path, q.key, m.name)
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		f.rec.add("%s: no answer: %v", q.id, err)
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.rec.add("%s: %d, broken off: %v", q.id, response.StatusCode, err)
		return 0
	}
	f.rec.add("%s: %d %s", q.id, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode
}
