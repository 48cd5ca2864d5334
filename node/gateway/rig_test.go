package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/disk"
	"github.com/mangoknot/mangoknot/adapter/systemclock"
	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/core/waiting"
	"github.com/mangoknot/mangoknot/node/storage"
	"github.com/mangoknot/mangoknot/port"
)

var errCut = errors.New("the link is cut")

// network forwards calls to storage nodes in memory and can cut links.
type network struct {
	mu     sync.Mutex
	stores map[string]*storage.Node
	cut    map[string]bool // keys are "FROM TO", or "TO" for all callers
	calls  int
	// held delays all calls until it is closed, if it is set.
	held chan struct{}
	// observe is called with each message that was delivered, if it is set.
	observe func(from, to string, m domain.Message)
}

func (n *network) from(name string) port.RPCClient { return caller{n, name} }

type caller struct {
	network *network
	name    string
}

func (c caller) Call(ctx context.Context, address string, m domain.Message) (domain.Message, error) {
	c.network.mu.Lock()
	node, ok := c.network.stores[address]
	cut := c.network.cut[address] || c.network.cut[c.name+" "+address]
	c.network.calls++
	observe, held := c.network.observe, c.network.held
	c.network.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if !ok || cut {
		return nil, errCut
	}
	reply, err := node.Handle(ctx, m)
	if observe != nil {
		observe(c.name, address, m)
		observe(address, c.name, reply)
	}
	return reply, err
}

func (n *network) setCut(link string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link] = cut
}

// targets answers each request with a scripted answer.
type targets struct {
	mu       sync.Mutex
	requests []port.TargetRequest
	answer   func(n int, r port.TargetRequest) (port.Answer, error)
	// exchange replaces answer if a test needs the context.
	exchange func(ctx context.Context, r port.TargetRequest) (port.Answer, error)
	// unreachable holds the addresses at which probes fail; "" means all. refusing holds those whose
	// hosts refuse connections.
	unreachable, refusing map[string]bool
	// probeDelay is the time until a probe fails.
	probeDelay time.Duration
}

func (t *targets) Exchange(ctx context.Context, r port.TargetRequest) (port.Answer, error) {
	t.mu.Lock()
	t.requests = append(t.requests, r)
	n := len(t.requests)
	t.mu.Unlock()
	if t.exchange != nil {
		return t.exchange(ctx, r)
	}
	return t.answer(n, r)
}

func (t *targets) Retain(map[string]bool) {}

func (t *targets) CloseTunnels() {}

// Probe fails for unreachable targets.
func (t *targets) Probe(_ context.Context, address string) error {
	t.mu.Lock()
	unreachable, delay := t.unreachable[""] || t.unreachable[address], t.probeDelay
	refusing := t.refusing[address]
	t.mu.Unlock()
	if refusing {
		return &port.UnreachableError{Address: address, Refused: true, Err: errCut}
	}
	if unreachable {
		time.Sleep(delay)
		return errCut
	}
	return nil
}

func (t *targets) bodies() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, o := range t.requests {
		out = append(out, string(o.Body))
	}
	return out
}

// scriptedAnswer is an answer with events, followed by err or, if that is nil,
// by the end of the stream.
type scriptedAnswer struct {
	status int
	events []string
	err    error
	next   int
	// after is the id of the event before the first one; unnumbered leaves out the ids.
	after      int
	unnumbered bool
	mediaType  string
	// limit is the rate that the target names, or nil.
	limit *float64
}

func (s *scriptedAnswer) Head() port.AnswerHead {
	return port.AnswerHead{Status: s.status, Success: s.status == 200, TargetFailed: s.status >= 500, RateLimit: s.limit, MediaType: s.mediaType}
}

func (s *scriptedAnswer) Body(int64) ([]byte, error) {
	if s.err != nil {
		return nil, s.err
	}
	return []byte("body"), nil
}

func (s *scriptedAnswer) Next() (port.StreamEvent, error) {
	if s.next < len(s.events) {
		s.next++
		data := s.events[s.next-1]
		event := port.StreamEvent{ID: fmt.Sprint(s.after + s.next), Data: []byte(data), Raw: []byte(data)}
		if s.unnumbered {
			event.ID = ""
		}
		return event, nil
	}
	if s.err != nil {
		return port.StreamEvent{}, s.err
	}
	return port.StreamEvent{}, io.EOF
}

func (s *scriptedAnswer) Close() {}

// streamOf answers with a whole stream, numbered from the event after the one that is named.
func streamOf(events ...string) func(int, port.TargetRequest) (port.Answer, error) {
	return func(_ int, r port.TargetRequest) (port.Answer, error) {
		after, _ := strconv.Atoi(r.Resume) // 0 for a new stream
		return &scriptedAnswer{status: 200, events: events, after: after}, nil
	}
}

// recordedReply records the reply to one request.
type recordedReply struct {
	status  int
	events  []string
	ended   bool
	aborted bool
	// begun reports whether a part of the answer was written, and joined whether a whole answer
	// was written after it.
	begun, joined bool
	// wholeErr is returned when a whole answer is written, after its head was
	// written.
	wholeErr error
}

func (r *recordedReply) Send(h port.AnswerHead, _ []byte) error {
	r.joined, r.begun = r.begun, true
	r.status, r.ended = h.Status, r.wholeErr == nil
	return r.wholeErr
}
func (r *recordedReply) Begin(h port.AnswerHead) error {
	r.joined, r.begun = r.begun, true
	r.status = h.Status
	return nil
}
func (r *recordedReply) Event(e port.StreamEvent) error {
	r.events = append(r.events, string(e.Data))
	return nil
}
func (r *recordedReply) End() error { r.ended = true; return nil }
func (r *recordedReply) Abort()     { r.aborted = true }

// noMetrics discards the counters of gateways and storage VMs.
type noMetrics struct{ NoMetrics }

func (noMetrics) Count(string) {}

// recorder counts the reasons of refusals and keeps the lines of the log.
type recorder struct {
	noMetrics
	mu     sync.Mutex
	counts map[string]int
	lines  []string
}

func (m *recorder) count(reason string) { m.mu.Lock(); defer m.mu.Unlock(); m.counts[reason]++ }

func (m *recorder) RegionRefused(kind Kind)          { m.count(string(kind)) }
func (m *recorder) TurnedAway(reason waiting.Reason) { m.count(string(reason)) }

// line returns the last line with the id, or "".
func (m *recorder) line(id string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range slices.Backward(m.lines) {
		if strings.Contains(l, `"id"="`+id+`"`) {
			return l
		}
	}
	return ""
}

// record makes the gateways that start from now on use a recorder.
func (r *rig) record() *recorder {
	m := &recorder{counts: map[string]int{}}
	r.metrics = m
	r.log = funcr.New(func(_, line string) { m.mu.Lock(); defer m.mu.Unlock(); m.lines = append(m.lines, line) }, funcr.Options{})
	return m
}

// rig runs storage nodes in three data centres of two regions, and gateways.
type rig struct {
	t       *testing.T
	network *network
	disks   map[quorum.StoreID]port.Disk
	set     *quorum.Set
	targets *targets
	metrics Metrics
	log     logr.Logger
	// regional holds the sets of the regions that gateways get, and manifest theirs.
	regional []*quorum.Set
	manifest *manifest.Manifest
	// list is the list of targets.
	list []balance.Target
}

func storeAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

var locations = []struct {
	dataCentre domain.DataCentre
	region     domain.Region
}{{"a", "north"}, {"b", "north"}, {"c", "south"}}

func newRig(t *testing.T) *rig {
	r := &rig{
		t: t, disks: map[quorum.StoreID]port.Disk{}, network: &network{stores: map[string]*storage.Node{}, cut: map[string]bool{}}, targets: &targets{answer: streamOf("x")},
		metrics: noMetrics{}, log: logr.Discard(), manifest: testManifest, list: testTargets,
	}
	r.set = &quorum.Set{Epoch: 1}
	for i, p := range locations {
		r.set.Members = append(r.set.Members, r.startStore(i, p.dataCentre, p.region))
	}
	for _, n := range r.network.stores {
		n.Apply(&coordinator.View{Stores: r.set})
	}
	return r
}

// startStore starts an empty storage node and returns it as a member.
func (r *rig) startStore(i int, dataCentre domain.DataCentre, region domain.Region) quorum.Member {
	return r.startDisk(i, "disk", dataCentre, region)
}

// startDisk is startStore for a disk with a name. It takes the place of a node at the same address. A
// disk that was started before is restored.
func (r *rig) startDisk(i int, name string, dataCentre domain.DataCentre, region domain.Region) quorum.Member {
	address := storeAddress(i)
	store := turnstore.New()
	id := quorum.StoreID(address + "/" + name)
	store.AssignID(id)
	if r.disks[id] == nil {
		r.disks[id] = disk.NewMemory(0)
	}
	must.NoError(r.t, r.disks[id].Load(storage.Stream, func(record domain.Record) error { return store.Restore(time.Now(), record) }))
	n := storage.New(storage.Options{
		Store: store, Name: string(id), DataCentre: dataCentre, Region: region, Process: address,
		Disk: r.disks[id], Calls: r.network.from(address), Clock: systemclock.Boot{}, Log: logr.Discard(),
		Metrics: noMetrics{},
	})
	go n.Run() //nolint:errcheck // ends with Stop
	r.t.Cleanup(n.Stop)
	r.network.mu.Lock()
	r.network.stores[address] = n
	r.network.mu.Unlock()
	return quorum.Member{ID: id, DataCentre: dataCentre, Region: region}
}

// limitedBurst is the burst of the account with a limit.
const limitedBurst = 2

var testManifest = &manifest.Manifest{
	Version: 1,
	Routes: []manifest.Route{
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: manifest.Stream, Timeout: time.Second, Objective: 300 * time.Millisecond,
			Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 1, StoresHistory: true, Retention: time.Minute},
		{Name: "resume", Host: "h", Prefix: "/resume/", Kind: manifest.Stream, Timeout: time.Second, Objective: 300 * time.Millisecond,
			Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 1, Resumable: true},
		{Name: "resume-elsewhere", Host: "h", Prefix: "/resume-elsewhere/", Kind: manifest.Stream, Timeout: time.Second, Objective: 300 * time.Millisecond,
			Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 4, Resumable: true},
		{Name: "keep", Host: "h", Prefix: "/keep/", Kind: manifest.Stream, Timeout: time.Second, Objective: 300 * time.Millisecond,
			Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 1, Resumable: true, StoresHistory: true, Retention: time.Minute},
		{Name: "long", Host: "h", Prefix: "/long/", Kind: manifest.Stream, Timeout: 10 * time.Second, Objective: 2 * time.Second,
			Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 1},
		{Name: "look", Host: "h", Prefix: "/look/", Kind: manifest.Idempotent, Timeout: time.Second, Objective: 150 * time.Millisecond,
			Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 2},
		{Name: "order", Host: "h", Prefix: "/order/", Kind: manifest.RunOnce, Timeout: time.Second, Objective: 150 * time.Millisecond,
			Splits: []manifest.Split{{Service: "model", Weight: 1}}, MaxAttempts: 3},
	},
	Services: []manifest.Service{{Name: "model", TokensPerEvent: 10, CacheTokens: 10_000}},
	Accounts: []manifest.Account{{Name: "acme", Keys: []string{"key"}}, {Name: "other", Keys: []string{"else"}},
		{Name: "limited", Keys: []string{"limited"}, RatePerSecond: 20, Burst: limitedBurst}},
}

var testTargets = []balance.Target{
	{ID: "t1", Address: "1", Service: "model", Slots: 4, DataCentre: "a", Region: "north", Version: "v1"},
	{ID: "t2", Address: "2", Service: "model", Slots: 4, DataCentre: "b", Region: "north", Version: "v1"},
}

// startGateway starts a gateway in the data centre of locations[i].
func (r *rig) startGateway(i int) *Gateway {
	return r.startGatewayWith(i, r.list, r.manifest)
}

// startGatewayWith starts a gateway with a list of targets and the first of the manifests. The
// documents of the others are their indices.
func (r *rig) startGatewayWith(i int, list []balance.Target, manifests ...*manifest.Manifest) *Gateway {
	name := fmt.Sprintf("gateway-%d", i)
	g := New(Options{
		Process: name, DataCentre: locations[i].dataCentre, Region: locations[i].region, Calls: r.network.from(name),
		Targets: r.targets, Clock: systemclock.Boot{}, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		Decode: func(raw []byte) (*manifest.Manifest, error) {
			n, err := strconv.Atoi(string(raw))
			return manifests[n], err
		},
		Metrics: r.metrics, Log: r.log,
	})
	go g.Run() //nolint:errcheck // ends with Stop
	r.t.Cleanup(g.Stop)
	g.Apply(&coordinator.View{
		Authoritative: true, Document: &manifest.Document{Version: 1, Raw: []byte("0")}, Stores: r.set, Regional: r.regional,
		Targets: &coordinator.TargetList{Sequence: 1, Targets: list}, Allowances: allowance.Totals{Gateways: 1},
	})
	must.NoError(r.t, g.Do(context.Background(), func(time.Time) {}))
	return g
}

// turnRequest returns a turn of the program p, which has a budget of 100
// tokens.
func turnRequest(id, previous string) *Request {
	return &Request{
		ID: id, Host: "h", Path: "/chat/1", Key: "key", Body: []byte("[" + id + "]"),
		Program: "p", Budget: 100, MaxTokens: 20, Previous: previous,
	}
}

// serve serves one request and returns its refusal and the reply.
func (r *rig) serve(g *Gateway, req *Request) (*Refusal, *recordedReply) {
	reply := &recordedReply{}
	refusal := g.Serve(context.Background(), req, reply)
	return refusal, reply
}
