package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// platformList is the platform's list of workers.
type platformList struct {
	address string
	mu      sync.Mutex
	workers []*worker
}

func newPlatformList() *platformList {
	l := &platformList{}
	l.address, _ = serve("127.0.0.1:0", l)
	return l
}

// serve serves HTTP on an address and returns the address and the server.
func serve(address string, h http.Handler) (string, *http.Server) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		panic(notRun(err.Error()))
	}
	server := &http.Server{Handler: h}
	go server.Serve(listener) //nolint:errcheck // ends with the server
	return listener.Addr().String(), server
}

func (l *platformList) add(w *worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers = append(l.workers, w)
}

// ServeHTTP implements http.Handler.
func (l *platformList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []map[string]any{}
	for _, worker := range l.workers {
		if zone := r.URL.Query().Get("zone"); zone == "" || zone == worker.zone {
			entries = append(entries, map[string]any{
				"id": worker.listedID(), "service": worker.service.name, "address": worker.address, "zone": worker.zone, "version": "v1",
				"slots": worker.service.slots, "state": "ready", "coldRemainingMs": 0,
			})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil}) //nolint:errcheck // the reader fails
}

// service describes the workers of one service.
type service struct {
	name           string
	workers, slots int
	// firstMs is the time to the first event, and events their number.
	firstMs, events, eventBytes int
	// gapMs is the pause between two events.
	gapMs int
}

// worker is one model worker.
type worker struct {
	service       service
	zone, address string
	running       atomic.Int64
	mu            sync.Mutex
	// id is that of the present boot.
	id    string
	boots int
	// server is nil while the worker is down.
	server *http.Server
	// bodies holds the bodies of the requests that it ran and was told to remember, by Request-Id.
	bodies map[string]string
	note   func(format string, args ...any)
}

func newWorker(s service, i int, note func(format string, args ...any)) *worker {
	w := &worker{note: note, service: s, zone: zones[i%len(zones)], bodies: map[string]string{}, address: "127.0.0.1:0"}
	w.boot(fmt.Sprintf("i-%s-%d", s.name, i))
	return w
}

func (w *worker) boot(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	w.id = fmt.Sprintf("%s-%d", name, w.boots)
	w.address, w.server = serve(w.address, w)
}

func (w *worker) listedID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// crash ends a worker with all that it runs. It is back after a time, under another id.
func (w *worker) crash(downFor time.Duration) {
	w.mu.Lock()
	server, id := w.server, w.id
	w.mu.Unlock()
	w.note("worker %s crashes while it runs %d requests; it is back after %v", id, w.running.Load(), downFor)
	server.Close()
	time.AfterFunc(downFor, func() {
		w.boot(id[:strings.LastIndexByte(id, '-')])
		w.note("worker %s is back as %s", id, w.listedID())
	})
}

// rememberHeader is a header of the client stand-in. A worker keeps the body of such a request.
const rememberHeader = "X-Remember"

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id, own := r.Header.Get("Request-Id"), w.listedID()
	out.Header().Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	running := w.running.Add(1)
	defer w.running.Add(-1)
	out.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", min(running, int64(w.service.slots)), w.service.slots))
	switch {
	case err != nil:
		return
	case r.URL.Path == "/health":
		out.Header().Set("Instance-Id", own)
		return
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != own:
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case running > int64(w.service.slots):
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.note("ran %s at %s: %d bytes", id, own, len(body))
	if r.Header.Get(rememberHeader) != "" {
		w.mu.Lock()
		w.bodies[id] = string(body)
		w.mu.Unlock()
	}
	out.Header().Set("Response-Signature", "s."+own+"."+id)
	out.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(time.Duration(w.service.firstMs) * time.Millisecond)
	for i := range w.service.events {
		if i > 0 {
			time.Sleep(time.Duration(w.service.gapMs) * time.Millisecond)
		}
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i+1, eventData(id, i, w.service.eventBytes))
		if i == 0 || w.service.gapMs > 0 {
			http.NewResponseController(out).Flush() //nolint:errcheck // the next write fails too
		}
	}
}

// eventData returns the data of an event of a request.
func eventData(id string, i, size int) string {
	text := fmt.Sprintf("%s.%d.", id, i)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

// receivedBody returns the body that a worker received with a remembered request.
func (r *rig) receivedBody(id string) (string, bool) {
	for _, w := range r.workers {
		w.mu.Lock()
		body, ok := w.bodies[id]
		w.mu.Unlock()
		if ok {
			return body, true
		}
	}
	return "", false
}
