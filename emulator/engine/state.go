package engine

import (
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Limits of the recorded requests and cache events.
const (
	maxRequests    = 4096
	maxCacheEvents = 4096
	// maxRecordedBody limits the recorded part of a body, in bytes.
	maxRecordedBody = 64 << 10
)

// Request is a recorded request with all its headers and the start of its body.
type Request struct {
	Method, Path string
	Header       http.Header
	Body         string
}

// Load is a load report of the engine.
type Load struct {
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	// Tokens is the number of tokens in the prefix cache.
	Tokens int               `json:"tokens"`
	Models map[string]string `json:"models"`
	Role   string            `json:"role"`
}

type loadSample struct {
	at   time.Time
	load Load
}

// CacheEvent reports a change of the prefix cache. Sequence numbers start at 1
// for each instance; a gap means that an event was lost.
type CacheEvent struct {
	Instance string `json:"instance"`
	Seq      uint64 `json:"seq"`
	Kind     string `json:"kind"` // stored, removed
	Program  string `json:"program"`
	Tokens   int    `json:"tokens"`
	at       time.Time
}

// state is owned by the control goroutine.
type state struct {
	settings Settings
	timer    *time.Timer

	// instance counts the emulated process starts; a crash starts the next one.
	instance    int
	downUntil   time.Time // connections are closed until then
	faults      faults
	connections map[net.Conn]uint64
	lastSerial  uint64
	requests    []Request

	cache       *cache
	calls       map[string]*call
	running     []*call
	waiting     []*call
	currentStep []stepWork // the step in progress
	models      map[string]string
	role        string
	// engineEpoch is the highest fencing token of commands on models and the
	// role, programEpochs that of commands on each program.
	engineEpoch   uint64
	programEpochs map[string]uint64

	events        []CacheEvent
	lastSeq       uint64
	eventsChanged chan struct{} // closed and replaced when an event is added
	loads         []loadSample
}

func newState(settings Settings) *state {
	s := &state{settings: settings, timer: time.NewTimer(time.Hour), connections: map[net.Conn]uint64{}}
	s.timer.Stop()
	s.faults.changed = make(chan struct{})
	s.restart(time.Now())
	return s
}

// restart starts an instance with an empty cache and no calls.
func (s *state) restart(now time.Time) {
	s.instance++
	s.timer.Stop()
	s.calls, s.running, s.waiting, s.currentStep = map[string]*call{}, nil, nil, nil
	s.models, s.role = map[string]string{}, "mixed"
	for _, model := range s.settings.Models {
		s.models[model] = "1"
	}
	s.engineEpoch, s.programEpochs = 0, map[string]uint64{}
	s.events, s.lastSeq, s.loads = nil, 0, nil
	if s.eventsChanged != nil {
		close(s.eventsChanged)
	}
	s.eventsChanged = make(chan struct{})
	s.cache = newCache(s.settings.CacheTokens, s.emit)
	s.sampleLoad(now)
}

func (s *state) instanceName() string { return strconv.Itoa(s.instance) }

// addConnection registers a connection and returns its serial number.
func (s *state) addConnection(c net.Conn) uint64 {
	s.lastSerial++
	s.connections[c] = s.lastSerial
	return s.lastSerial
}

func (s *state) record(r Request) {
	r.Body = r.Body[:min(len(r.Body), maxRecordedBody)]
	if len(s.requests) == maxRequests {
		s.requests = s.requests[1:]
	}
	s.requests = append(s.requests, r)
}

// emit numbers a cache event and publishes it, unless DropEventEvery drops it.
func (s *state) emit(kind, program string, tokens int) {
	s.lastSeq++
	if gap := s.settings.DropEventEvery; gap > 0 && s.lastSeq%uint64(gap) == 0 {
		return
	}
	if len(s.events) == maxCacheEvents {
		s.events = s.events[1:]
	}
	s.events = append(s.events, CacheEvent{s.instanceName(), s.lastSeq, kind, program, tokens, time.Now()})
	close(s.eventsChanged)
	s.eventsChanged = make(chan struct{})
}

// sampleLoad records the current load and discards samples that are too old for
// any report.
func (s *state) sampleLoad(now time.Time) {
	s.pruneLoads(now)
	s.loads = append(s.loads, loadSample{now, Load{
		Instance: s.instanceName(), Running: len(s.running), Waiting: len(s.waiting),
		Tokens: len(s.cache.blocks) * blockTokens, Models: maps.Clone(s.models), Role: s.role,
	}})
}

func (s *state) pruneLoads(now time.Time) {
	for len(s.loads) > 1 && !s.loads[1].at.After(now.Add(-s.settings.LoadLag)) {
		s.loads = s.loads[1:]
	}
}

// laggedLoad returns the newest sample that is at least LoadLag old, or the
// first one of the instance.
func (s *state) laggedLoad(now time.Time) Load {
	s.pruneLoads(now)
	return s.loads[0].load
}

// heldTokens returns the cached tokens of each program, at least 1 for a program
// with a waiting or running call.
func (s *state) heldTokens() map[string]int {
	held := s.cache.heldTokens()
	for _, calls := range [][]*call{s.running, s.waiting} {
		for _, c := range calls {
			held[c.program] = max(1, held[c.program])
		}
	}
	return held
}
