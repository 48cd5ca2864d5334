package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, with the time since the start.
type recorder struct {
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(file), file: file, started: time.Now()}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// cloud is a stand-in of the platform's list of workers.
type cloud struct {
	mu      sync.Mutex
	entries []map[string]any
	// odd holds the entries of other writers, which come last.
	odd     []map[string]any
	address string
}

// addOdd adds an entry of another writer.
func (c *cloud) addOdd(e map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.odd = append(c.odd, e)
}

func newCloud() (*cloud, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		list := []map[string]any{}
		for _, e := range slices.Concat(c.entries, c.odd) {
			if zone := r.URL.Query().Get("zone"); zone == "" || zone == e["zone"] {
				list = append(list, e)
			}
		}
		body, err := json.Marshal(map[string]any{"instances": list, "next": nil})
		c.mu.Unlock()
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(body) //nolint:errcheck // the reader asks again
	})
	go http.Serve(l, mux) //nolint:errcheck // ends with the process
	return c, nil
}

// set adds an entry, or replaces the one with the same id.
func (c *cloud) set(e map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = slices.DeleteFunc(c.entries, func(o map[string]any) bool { return o["id"] == e["id"] })
	c.entries = append(c.entries, e)
}

func (c *cloud) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = slices.DeleteFunc(c.entries, func(o map[string]any) bool { return o["id"] == id })
}

// worker is a stand-in of a worker. A crash closes its port and all of its connections.
type worker struct {
	service, zone, address string
	slots                  int
	cloud                  *cloud
	rec                    *recorder
	// run answers a request that the worker runs.
	run func(w *worker, out http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	id       string
	boots    int
	crashes  int
	running  int
	listener net.Listener
	server   *http.Server
}

// startWorker starts a worker at a free port and adds it to the list.
func startWorker(c *cloud, rec *recorder, service, zone string, slots int, run func(w *worker, out http.ResponseWriter, r *http.Request, body []byte)) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{service: service, zone: zone, address: l.Addr().String(), slots: slots, cloud: c, rec: rec, run: run}
	w.boot(l)
	return w, nil
}

// boot serves on a listener. Each start is a new boot with a new id.
func (w *worker) boot(l net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.id != "" {
		w.cloud.remove(w.id)
	}
	w.boots++
	w.id = fmt.Sprintf("i-%s-%d-%d", w.zone, l.Addr().(*net.TCPAddr).Port, w.boots)
	w.listener, w.running = l, 0
	id := w.id
	w.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { w.serve(id, out, r) })}
	go w.server.Serve(l) //nolint:errcheck // ends with a crash
	w.cloud.set(map[string]any{
		"id": w.id, "service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"coldRemainingMs": 0, "born": time.Now().UnixMilli(),
	})
	w.rec.add("worker %s starts at %s", w.id, w.address)
}

// crash ends the process of the worker; it is back after down. The list shows it meanwhile, as the
// platform's list does for some seconds.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	server := w.server
	w.crashes++
	w.rec.add("worker %s crashes", w.id)
	w.mu.Unlock()
	server.Close()
	time.AfterFunc(down, func() {
		for range 100 {
			l, err := net.Listen("tcp4", w.address)
			if err == nil {
				w.boot(l)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func (w *worker) serve(id string, out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.running >= w.slots {
		w.mu.Unlock()
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	out.Header().Set("Server-Load", strconv.Itoa(w.running)+",0,"+strconv.Itoa(w.slots))
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running = max(0, w.running-1)
		w.mu.Unlock()
	}()
	w.run(w, out, r, body)
}

// answer sends a whole, signed answer.
func answer(out http.ResponseWriter, text string) {
	out.Header().Set("Response-Signature", "signed")
	out.Header().Set("Content-Type", "text/plain")
	io.WriteString(out, text) //nolint:errcheck // the gateway has left
}
