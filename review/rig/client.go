package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "desk.example"
	// key is the key of the only tenant.
	key = "3fexd9dnn2ctnfzs989a"
	// inputBytes is about the size of a turn's new input.
	inputBytes = 300
	// deadline is the time limit of a client attempt.
	deadline = 3 * time.Second
)

// desiredState returns a desired state with one route for turns that are kept.
func desiredState(version int, retention time.Duration) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-turns", "host": host, "pathPrefix": "/turn/", "kind": "streaming", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 0,
			"service": "agents", "maxAttempts": 1, "retainContext": true, "retentionS": retention.Seconds(), "allowAnonymous": false, "sticky": true,
			"resumable": false, "gapAimMs": 150,
		}},
		"services": []map[string]any{{
			"name": "agents", "healthPath": "/health", "maxConnections": 150, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": workerSlots, "kvCapacityTokens": 160755, "kvTokenBytes": 35136, "linkMbps": 740000.0, "tokensPerEvent": tokensPerEvent, "models": []map[string]string{{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "shop", "apiKeys": []string{key}, "priority": 1}},
	}
}

// program is one agent program.
type agentProgram struct {
	name   string
	budget int
	ends   time.Time
}

// turn is one turn of a program: an attempt that was answered whole, or the last attempt.
type turn struct {
	id     string
	status int
	// whole reports whether the answer was complete and had the worker's signature.
	whole bool
	body  string
	ended time.Time
}

var requestCount atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(requestCount.Add(1))) }

// sendTurn sends one client attempt of a turn through a machine.
func (f *fleet) sendTurn(m machine, p *agentProgram, previous string) turn {
	id := newID()
	t := turn{id: id}
	input := "[" + p.name + " " + id + strings.Repeat(" ", inputBytes) + "]"
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/turn/2f", m.ip, f.front), strings.NewReader(input))
	if err != nil {
		return t
	}
	request.Host = host
	request.Close = true
	for name, value := range map[string]string{
		"Request-Id": id, "Authorization": "Bearer " + key, "Model": "m", "Program-Id": p.name, "Session-Id": p.name + "-1",
		"Finish-Ms": fmt.Sprint(time.Until(p.ends).Milliseconds()), "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()),
		"Token-Budget": fmt.Sprint(p.budget), "Token-Usage": "600,66", "Previous-Turn": previous,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		t.status, t.body = response.StatusCode, string(body)
		t.whole = err == nil && response.StatusCode == http.StatusOK && response.Header.Get("Response-Signature") == "sig-"+id
	}
	t.ended = time.Now()
	cause := ""
	if err != nil {
		cause = ", " + err.Error()
	}
	if t.status >= http.StatusBadRequest {
		cause += ", " + strings.TrimSpace(t.body)
	}
	f.rec.printf("client: turn %s of %s (previous %q) through %s: status %d, whole %v%s", id, p.name, previous, m.name, t.status, t.whole, cause)
	return t
}
