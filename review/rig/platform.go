package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tokensPerEvent is the number of tokens in one event of a stream.
	tokensPerEvent = 11
	// eventPause is the time between two events of a stream.
	eventPause  = 4 * time.Millisecond
	workerSlots = 12
)

// platform plays the platform's list of workers, and the workers.
type platform struct {
	listAddress string
	rec         *record
	listener    net.Listener
	ip          string

	mu      sync.Mutex
	workers []*worker
	// bodies holds the bodies of the turns that ran, by the id of the request.
	bodies map[string]string
}

func newPlatform(rec *record, ip string) (*platform, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, listener: listener, listAddress: listener.Addr().String(), ip: ip, bodies: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serveList)
	go http.Serve(listener, mux) //nolint:errcheck // ends with the listener
	return p, nil
}

type listEntry struct {
	ID              string `json:"id"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
}

func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	page := struct {
		Instances []listEntry `json:"instances"`
		Next      *string     `json:"next"`
	}{Instances: []listEntry{}}
	p.mu.Lock()
	for _, w := range p.workers {
		if zone := r.URL.Query().Get("zone"); zone == "" || zone == w.entry.Zone {
			page.Instances = append(page.Instances, w.entry)
		}
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(page) //nolint:errcheck // the reader fails
}

// ran returns the body with which a request ran, and whether it ran.
func (p *platform) ran(id string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.bodies[id]
	return body, ok
}

func (p *platform) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		w.server.Close()
	}
}

// worker is one worker of a service. It serves streams.
type worker struct {
	platform *platform
	entry    listEntry
	server   *http.Server
	running  atomic.Int64
}

// addWorker starts a worker and lists it.
func (p *platform) addWorker(service, zone string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	number := len(p.workers) + 1
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:0", p.ip))
	if err != nil {
		return err
	}
	w := &worker{platform: p, entry: listEntry{
		ID: fmt.Sprintf("i-%d", number), Service: service, Address: listener.Addr().String(), Zone: zone, Version: "v1", Slots: workerSlots, State: "ready",
	}}
	w.server = &http.Server{Handler: w}
	p.workers = append(p.workers, w)
	go w.server.Serve(listener) //nolint:errcheck // ends with the server
	return nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Instance-Id", w.entry.ID)
	running := w.running.Add(1)
	defer w.running.Add(-1)
	out.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", min(running, workerSlots), workerSlots))
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	refuse := func(status int) {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(status)
		w.platform.rec.printf("worker %s: did not run %s: %d", w.entry.ID, id, status)
	}
	switch target := r.Header.Get("Target-Instance"); {
	case id == "":
		refuse(http.StatusBadRequest)
	case target != "" && target != w.entry.ID:
		refuse(http.StatusMisdirectedRequest)
	case running > workerSlots:
		refuse(http.StatusServiceUnavailable)
	default:
		w.stream(out, r, id, body)
	}
}

// stream runs a turn: it sends as many events as the turn may have, at most six.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, id string, body []byte) {
	w.platform.mu.Lock()
	w.platform.bodies[id] = string(body)
	w.platform.mu.Unlock()
	w.platform.rec.printf("worker %s: runs %s for tenant %s, previous %q, body of %d bytes", w.entry.ID, id, r.Header.Get("Tenant"), r.Header.Get("Previous-Turn"), len(body))
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Response-Signature", "sig-"+id)
	_, limit, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, err := strconv.Atoi(limit)
	if err != nil {
		tokens = tokensPerEvent
	}
	controller := http.NewResponseController(out)
	for i := range min(6, tokens/tokensPerEvent) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s.%d\n\n", i+1, id, i+1); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}
