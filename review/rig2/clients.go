package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	clientHost = "reports.example"
	clientKey  = "3fexd9dnn2ctnfzs989a"
	// deadline is the clients' time limit for a turn.
	deadline = 3 * time.Second
)

var httpClient = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second},
	// The operator and the clients follow redirects themselves.
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// turn is one attempt of a client to have a turn run.
type turn struct {
	id, path, previous, program string
	budget                      int
	body                        string
	remember                    bool
}

// answer is what a client saw of an attempt. Status 0 means that the connection ended without a whole answer.
type answer struct {
	status int
	signed bool
	whole  bool
	body   string
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	text := fmt.Sprintf("status %d, signed %v, whole %v", a.status, a.signed, a.whole)
	if !a.signed {
		text += ", body " + strings.TrimSpace(a.body)
	}
	return text
}

func (a answer) served() bool { return a.status == http.StatusOK && a.signed && a.whole }

var lastID atomic.Int64

// newID returns an id that is unique for each attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1ba1000000000000+lastID.Add(1)) }

// send sends one attempt to a gateway.
func (r *rig) send(gateway int, t turn) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	url := "http://" + net.JoinHostPort(r.gatewayIP(gateway), strconv.Itoa(r.ports.front)) + t.path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(t.body))
	if err != nil {
		panic(err)
	}
	request.Host = clientHost
	for name, value := range map[string]string{
		"Request-Id": t.id, "Authorization": "Bearer " + clientKey, "Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10),
		"Program-Id": t.program, "Session-Id": t.program, "Finish-Ms": "60000", "Model": "m", "Token-Usage": "1166,77",
		"Previous-Turn": t.previous,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if t.budget > 0 {
		request.Header.Set("Token-Budget", strconv.Itoa(t.budget))
	}
	if t.remember {
		request.Header.Set(rememberHeader, "1")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, signed: response.Header.Get("Response-Signature") != "", whole: err == nil, body: string(body), err: err}
}

// operate sends a call of the operator to one control address after another until it gets a clear answer.
func (r *rig) operate(method, path string, body []byte, limit time.Duration) (int, string) {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		url := "http://" + net.JoinHostPort(r.storageIP(i%storageCount), strconv.Itoa(r.ports.control)) + path
		for range 3 {
			status, location, answered := r.call(method, url, body)
			if status != http.StatusTemporaryRedirect {
				if status >= 200 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
					return status, answered
				}
				break
			}
			url = location
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, ""
}

func (r *rig) call(method, url string, body []byte) (status int, location, answered string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Location"), string(text)
}

// turnRoute returns a streaming route that keeps what was said.
func turnRoute(name, prefix, service string, retentionS float64) map[string]any {
	return map[string]any{
		"name": name, "host": clientHost, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1,
		"service": service, "maxAttempts": 1, "retainContext": true, "retentionS": retentionS, "allowAnonymous": false, "sticky": true,
		"resumable": false, "gapAimMs": 150,
	}
}

// putConfig sends a desired state until it is acknowledged.
func (r *rig) putConfig(version int, services []service, routes ...map[string]any) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s.name, "healthPath": "/health", "maxConnections": 150, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": s.slots, "kvCapacityTokens": 107699, "kvTokenBytes": 35136, "linkMbps": 740000.0, "tokensPerEvent": 11},
		})
	}
	document, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{clientKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	status, text := r.operate(http.MethodPut, "/config", document, 30*time.Second)
	r.note("the operator sends version %d: %s: status %d %s", version, document, status, strings.TrimSpace(text))
	if status != http.StatusOK {
		panic(notRun("the desired state was not acknowledged"))
	}
}

// awaitReady waits until all gateways are ready.
func (r *rig) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for i := range gatewayCount {
		for {
			status, _, _ := r.call(http.MethodGet, "http://"+net.JoinHostPort(r.gatewayIP(i), strconv.Itoa(r.ports.ready))+"/ready", nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				panic(notRun("the gateways are not ready"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("all gateways are ready")
}

// sendUntilServed sends a turn with a new id for each attempt, to one gateway after another, and returns the id of the served attempt.
func (r *rig) sendUntilServed(t turn, attempts int) (string, bool) {
	for i := range attempts {
		t.id = newID()
		gateway := int(lastID.Load()+int64(i)) % gatewayCount
		a := r.send(gateway, t)
		r.note("turn %s on %s after %q, at edge-%d: %v", t.id, t.path, t.previous, gateway+1, a)
		if a.served() {
			return t.id, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", false
}
