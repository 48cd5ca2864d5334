package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// The request headers that name the program and the call.
const (
	HeaderProgram = "X-Engine-Program"
	HeaderCall    = "X-Engine-Call"
)

// maxBody limits a request's body, in bytes.
const maxBody = 64 << 20

type handler func(p *session, w http.ResponseWriter, r *http.Request, body []byte)

func (e *Engine) routes() {
	for pattern, h := range map[string]handler{
		"POST /v1/chat/completions":       e.chat,
		"GET /v1/models":                  e.models,
		"GET /control/load":               e.load,
		"GET /control/cache-events":       e.cacheEvents,
		"GET /control/held":               e.heldTokens,
		"GET /control/requests":           e.recorded,
		"GET /control/calls/{id}":         e.callStatus,
		"GET /control/calls/{id}/stream":  e.resume,
		"POST /control/calls/{id}/cancel": e.cancel,
		"POST /control/orders":            e.commands,
		"POST /control/fault":             e.fault,
	} {
		e.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { e.receive(w, r, h) })
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// receive reads, records and handles a request. A request on a silent connection
// is not recorded.
func (e *Engine) receive(w http.ResponseWriter, r *http.Request, h handler) {
	sess := e.newSession(r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		replyError(w, http.StatusBadRequest, "bad_request", "the body could not be read")
		return
	}
	sess.do(func(s *state) {
		s.record(Request{r.Method, r.URL.Path, r.Header.Clone(), string(body)})
		if r.URL.Path != "/control/fault" && s.crashesOn(body) {
			s.crash(time.Now(), s.faults.crashDowntime)
		}
	})
	h(sess, w, r, body)
}

func replyError(w http.ResponseWriter, status int, code, message string) {
	reply(w, status, object{"error": object{"code": code, "message": message, "type": "invalid_request_error"}})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}

func (e *Engine) chat(sess *session, w http.ResponseWriter, r *http.Request, body []byte) {
	a, err := e.settings.Answer(body)
	if err != nil {
		replyError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	id, program := r.Header.Get(HeaderCall), r.Header.Get(HeaderProgram)
	loaded, begun := true, false
	sess.do(func(s *state) {
		if id == "" {
			id = "anonymous-" + strconv.FormatUint(sess.serial, 10) + "-" + strconv.Itoa(len(s.calls))
		}
		if _, loaded = s.models[a.model]; loaded {
			begun = s.enqueue(time.Now(), id, program, a)
		}
	})
	switch {
	case !loaded:
		replyError(w, http.StatusNotFound, "model_not_found", "the model is not loaded")
	case !begun:
		replyError(w, http.StatusConflict, "duplicate_call", "the call id is in use; resume its stream")
	case a.stream:
		e.stream(sess, w, id, 0)
	default:
		e.plain(sess, w, id)
	}
}

// follow calls write with each event of a call, starting at the offset, until the
// call is done. It reports false if the call was cancelled or is unknown.
func (sess *session) follow(id string, offset int, write func(offset int, event []byte)) bool {
	for {
		var events [][]byte
		var status CallStatus
		var changed <-chan struct{}
		sess.do(func(s *state) {
			if c := s.calls[id]; c != nil {
				events = slices.Clone(c.events[min(offset, len(c.events)):])
				status, changed = c.status(), c.changed
			}
		})
		for _, event := range events {
			write(offset, event)
			offset++
		}
		if changed == nil || status.Cancelled {
			return false
		}
		if status.Done {
			return true
		}
		sess.wait(changed, nil)
	}
}

// stream writes the call's events as server-sent events. The id of an event is
// its offset. The connection is closed if the call was cancelled.
func (e *Engine) stream(sess *session, w http.ResponseWriter, id string, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderCall, id)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // fails only if the client has disconnected, which wait detects
	complete := sess.follow(id, offset, func(offset int, event []byte) {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, event)
		_ = flusher.Flush()
	})
	if !complete {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// plain writes the answer in one piece once the call is done.
func (e *Engine) plain(sess *session, w http.ResponseWriter, id string) {
	var answer []byte
	if !sess.follow(id, 0, func(_ int, event []byte) { answer = event }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderCall, id)
	_, _ = w.Write(answer) // the client may have disconnected
}

func (e *Engine) models(sess *session, w http.ResponseWriter, _ *http.Request, _ []byte) {
	data := []object{}
	sess.do(func(s *state) {
		for model := range s.models {
			data = append(data, object{"id": model, "object": "model", "created": created, "owned_by": "emulator"})
		}
	})
	slices.SortFunc(data, func(a, b object) int { return bytes.Compare([]byte(a["id"].(string)), []byte(b["id"].(string))) })
	reply(w, http.StatusOK, object{"object": "list", "data": data})
}

func (e *Engine) load(sess *session, w http.ResponseWriter, _ *http.Request, _ []byte) {
	var load Load
	sess.do(func(s *state) { load = s.laggedLoad(time.Now()) })
	reply(w, http.StatusOK, load)
}

func (e *Engine) heldTokens(sess *session, w http.ResponseWriter, _ *http.Request, _ []byte) {
	var held map[string]int
	sess.do(func(s *state) { held = s.heldTokens() })
	reply(w, http.StatusOK, held)
}

func (e *Engine) recorded(sess *session, w http.ResponseWriter, _ *http.Request, _ []byte) {
	var requests []Request
	sess.do(func(s *state) { requests = slices.Clone(s.requests) })
	reply(w, http.StatusOK, requests)
}

func (e *Engine) callStatus(sess *session, w http.ResponseWriter, r *http.Request, _ []byte) {
	var status *CallStatus
	sess.do(func(s *state) {
		if c := s.calls[r.PathValue("id")]; c != nil {
			now := c.status()
			status = &now
		}
	})
	if status == nil {
		replyError(w, http.StatusNotFound, "call_unknown", "the call is unknown or its answer has expired")
		return
	}
	reply(w, http.StatusOK, status)
}

// resume streams an existing call from the offset in the query.
func (e *Engine) resume(sess *session, w http.ResponseWriter, r *http.Request, _ []byte) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	known := false
	sess.do(func(s *state) { _, known = s.calls[r.PathValue("id")] })
	switch {
	case err != nil || offset < 0:
		replyError(w, http.StatusBadRequest, "bad_request", "offset must be a number of events")
	case !known:
		replyError(w, http.StatusNotFound, "call_unknown", "the call is unknown or its answer has expired")
	default:
		e.stream(sess, w, r.PathValue("id"), offset)
	}
}

func (e *Engine) cancel(sess *session, w http.ResponseWriter, r *http.Request, _ []byte) {
	known := false
	sess.do(func(s *state) { known = s.cancel(time.Now(), r.PathValue("id")) })
	if !known {
		replyError(w, http.StatusNotFound, "call_unknown", "the call is unknown or its answer has expired")
		return
	}
	reply(w, http.StatusOK, object{})
}

func (e *Engine) fault(_ *session, w http.ResponseWriter, _ *http.Request, body []byte) {
	var f Fault
	if err := json.Unmarshal(body, &f); err != nil {
		replyError(w, http.StatusBadRequest, "bad_request", "the body is not a fault")
		return
	}
	reply(w, http.StatusOK, object{})
	_ = http.NewResponseController(w).Flush() // the fault may stop this connection
	e.Inject(f)
}

// cacheEvents streams the events that occur after the request, each delayed by
// EventDelay.
func (e *Engine) cacheEvents(sess *session, w http.ResponseWriter, _ *http.Request, _ []byte) {
	flusher := http.NewResponseController(w)
	next := uint64(0)
	sess.do(func(s *state) { next = s.lastSeq + 1 })
	w.WriteHeader(http.StatusOK)
	_ = flusher.Flush() // fails only if the client has disconnected, which wait detects
	for {
		var events []CacheEvent
		var changed <-chan struct{}
		sess.do(func(s *state) {
			changed = s.eventsChanged
			for _, event := range s.events {
				if event.Seq >= next {
					events = append(events, event)
				}
			}
		})
		if len(events) == 0 {
			sess.wait(changed, time.After(e.settings.Heartbeat))
			sess.do(func(*state) {})
			fmt.Fprintln(w)
		}
		for _, event := range events {
			if late := time.Until(event.at.Add(e.settings.EventDelay)); late > 0 {
				sess.wait(nil, time.After(late))
			}
			sess.do(func(*state) {})
			_ = json.NewEncoder(w).Encode(event)
			next = event.Seq + 1
		}
		_ = flusher.Flush()
	}
}
