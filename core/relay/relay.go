package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// Times and sizes of the fan-out.
const (
	// HeartbeatInterval separates heartbeats, reports and set comparisons.
	HeartbeatInterval = time.Second
	// parentTimeout is 2.5 heartbeats, so that a follower finds another parent
	// and catches up within the 5 s in which a change must be in force.
	parentTimeout = 2500 * time.Millisecond
	// parentAvoidDuration is how long a silent parent is not chosen again.
	parentAvoidDuration = 10 * time.Second
	// childTimeout ends the subscription of a silent child.
	childTimeout = 5 * time.Second
	// requestInterval limits repeated requests for the same missing entries.
	requestInterval = 200 * time.Millisecond
	// maxHops is above the depth of any tree (voter, relay VM, follower).
	maxHops = 4
	// maxEntriesPerMessage bounds one Entries message.
	maxEntriesPerMessage = 128
	// DefaultTailEntries is how many entries a VM keeps for its children.
	DefaultTailEntries = 512
)

// Node is a live VM of the system.
type Node struct {
	VM         domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	Voter      bool
}

// Config holds the settings of one VM.
type Config struct {
	Self domain.VM
	// Applied is the index of the restored configuration.
	Applied raft.Index
	// TailEntries is the number of entries kept for children; 0 means DefaultTail.
	TailEntries int
	Rand        *rand.Rand
}

// Proposal is a change that the leader is asked to propose to the log.
type Proposal struct {
	Origin domain.VM
	Change *config.Change
}

// Answer ends a proposal made on this VM. Err is set instead of Result when no
// answer came in time; the change may or may not be in force.
type Answer struct {
	Operation domain.OperationID
	Result    *config.Result
	Err       error
}

// Effects is what the caller has to do.
type Effects struct {
	Sends []domain.Send
	// Install replaces the configuration before Apply is applied, in order.
	Install *Snapshot
	Apply   []Entry
	// NeedSnapshot asks for a call of ProvideSnapshot.
	NeedSnapshot bool
	Proposals    []Proposal
	Answers      []Answer
	// Withdrawn lists keys that are new in the withdrawn set.
	Withdrawn []config.KeyID
}

func (e *Effects) send(to domain.VM, m domain.Message) {
	e.Sends = append(e.Sends, domain.Send{To: to, Body: m})
}

type child struct {
	lastSeen     time.Time
	sentIndex    raft.Index // entries up to here were sent
	needSnapshot bool
	report       *Report
	voter        bool // reports here, but gets its entries from agreement
}

// Relay is the fan-out of one VM, voter or not. It is not safe for concurrent
// use.
type Relay struct {
	cfg    Config
	self   Node
	nodes  []Node // live VMs, sorted by name
	leader domain.VM

	applied raft.Index
	tail    []Entry // the last entries, up to applied

	parent          domain.VM
	parentLastSeen  time.Time
	parentLastIndex raft.Index
	hops            int
	requestedAt     time.Time
	avoidUntil      map[domain.VM]time.Time
	children        map[domain.VM]*child

	nextHeartbeat time.Time
	pending       map[domain.OperationID]*pendingProposal
	accepted      map[domain.OperationID]*acceptedProposal
	withdrawn     WithdrawnSet
}

// New returns the fan-out of a VM that has the configuration up to c.Applied.
func New(c Config, now time.Time) *Relay {
	if c.TailEntries <= 0 {
		c.TailEntries = DefaultTailEntries
	}
	return &Relay{
		cfg: c, self: Node{VM: c.Self}, applied: c.Applied, avoidUntil: map[domain.VM]time.Time{},
		children: map[domain.VM]*child{}, nextHeartbeat: now, pending: map[domain.OperationID]*pendingProposal{},
		accepted: map[domain.OperationID]*acceptedProposal{},
	}
}

// SetNodes replaces the list of live VMs, which includes this one.
func (r *Relay) SetNodes(now time.Time, nodes []Node) Effects {
	var e Effects
	r.nodes = slices.SortedFunc(slices.Values(nodes), func(a, b Node) int {
		return strings.Compare(string(a.VM), string(b.VM))
	})
	for _, n := range r.nodes {
		if n.VM == r.cfg.Self {
			r.self = n
		}
	}
	r.chooseParent(&e, now)
	return e
}

// SetLeader tells a voter who leads. Other VMs learn it from their parent.
func (r *Relay) SetLeader(now time.Time, leader domain.VM) Effects {
	var e Effects
	r.updateLeader(&e, now, leader)
	return e
}

// Committed is called on a voter with entries that agreement has committed, in
// order. The caller applies them itself.
func (r *Relay) Committed(_ time.Time, entries []Entry) Effects {
	var e Effects
	r.appendEntries(&e, entries)
	return e
}

// Restored is called on a voter whose state was replaced by a snapshot of
// agreement.
func (r *Relay) Restored(index raft.Index) {
	if index > r.applied {
		r.applied, r.tail = index, nil
	}
}

// Leader returns the configuration leader as this VM knows it, or "".
func (r *Relay) Leader() domain.VM { return r.leader }

// Connected says whether a VM that is not a voter has heard from its parent
// lately.
func (r *Relay) Connected(now time.Time) bool {
	return r.parent != "" && now.Sub(r.parentLastSeen) <= parentTimeout
}

// Applied returns the index up to which this VM has the configuration.
func (r *Relay) Applied() raft.Index { return r.applied }

// appendEntries takes over the entries that are new and pushes them to the children.
func (r *Relay) appendEntries(e *Effects, entries []Entry) []Entry {
	for len(entries) > 0 && entries[0].Index <= r.applied {
		entries = entries[1:]
	}
	if len(entries) == 0 || entries[0].Index != r.applied+1 {
		return nil
	}
	r.applied = entries[len(entries)-1].Index
	r.tail = append(r.tail, entries...)
	// Copying at twice the size keeps the cost of an entry constant.
	if len(r.tail) > 2*r.cfg.TailEntries {
		r.tail = slices.Clone(r.tail[len(r.tail)-r.cfg.TailEntries:])
	}
	for _, vm := range r.childNames() {
		r.push(e, vm, r.children[vm])
	}
	return entries
}

func (r *Relay) childNames() []domain.VM { return slices.Sorted(maps.Keys(r.children)) }

// push sends a child what it lacks, or marks it for a snapshot.
func (r *Relay) push(e *Effects, to domain.VM, c *child) {
	first := r.applied + 1 - raft.Index(len(r.tail))
	if c.sentIndex >= r.applied || c.needSnapshot || c.voter {
		return
	}
	if c.sentIndex+1 < first {
		c.needSnapshot, e.NeedSnapshot = true, true
		return
	}
	missing := r.tail[c.sentIndex+1-first:]
	for chunk := range slices.Chunk(missing, maxEntriesPerMessage) {
		e.send(to, r.entriesMessage(chunk))
	}
	c.sentIndex = r.applied
}

func (r *Relay) entriesMessage(chunk []Entry) *Entries {
	return &Entries{Entries: chunk, Last: r.applied, Hops: r.hops, Leader: r.leader}
}

// ProvideSnapshot answers NeedSnapshot. The state must be that of Applied.
func (r *Relay) ProvideSnapshot(_ time.Time, state *config.Snapshot) Effects {
	var e Effects
	m := &Snapshot{Index: r.applied, State: state}
	for _, vm := range r.childNames() {
		if c := r.children[vm]; c.needSnapshot {
			c.needSnapshot, c.sentIndex = false, r.applied
			e.send(vm, m)
		}
	}
	return e
}

// Step handles a message.
func (r *Relay) Step(now time.Time, from domain.VM, m domain.Message) Effects {
	var e Effects
	switch m := m.(type) {
	case *Follow:
		r.stepFollow(&e, now, from, m)
	case *Entries:
		r.stepEntries(&e, now, from, m)
	case *Snapshot:
		r.stepSnapshot(&e, now, from, m)
	case *Report:
		r.stepReport(now, from, m)
	case *Propose:
		r.stepPropose(&e, now, from, m)
	case *ProposeReply:
		r.stepProposeReply(&e, now, from, m)
	case *WithdrawnDigest:
		r.stepDigest(&e, from, m)
	case *WithdrawnBuckets:
		r.stepBuckets(&e, from, m)
	case *WithdrawnKeys:
		r.stepKeys(&e, from, m)
	}
	return e
}

func (r *Relay) stepFollow(e *Effects, now time.Time, from domain.VM, m *Follow) {
	c := r.children[from]
	if c == nil {
		c = &child{}
		r.children[from] = c
	}
	c.lastSeen, c.sentIndex, c.needSnapshot = now, m.Applied, false
	if c.sentIndex >= r.applied {
		e.send(from, r.entriesMessage(nil))
		return
	}
	r.push(e, from, c)
}

func (r *Relay) stepEntries(e *Effects, now time.Time, from domain.VM, m *Entries) {
	if from != r.parent {
		return
	}
	if m.Hops >= maxHops {
		r.dropParent(e, now)
		return
	}
	r.parentLastSeen, r.hops, r.parentLastIndex = now, m.Hops+1, max(r.parentLastIndex, m.Last)
	e.Apply = append(e.Apply, r.appendEntries(e, m.Entries)...)
	r.updateLeader(e, now, m.Leader)
	// Further messages of a tail are on the way while entries arrive.
	if m.Last > r.applied && (len(m.Entries) == 0 || m.Entries[0].Index > r.applied+1) {
		r.requestEntries(e, now)
	}
}

func (r *Relay) stepSnapshot(e *Effects, now time.Time, from domain.VM, m *Snapshot) {
	if from != r.parent || m.State == nil {
		return
	}
	r.parentLastSeen = now
	if m.Index <= r.applied {
		return
	}
	r.applied, r.tail = m.Index, nil
	e.Install = m
	for _, vm := range r.childNames() {
		r.push(e, vm, r.children[vm])
	}
}

func (r *Relay) requestEntries(e *Effects, now time.Time) {
	if now.Sub(r.requestedAt) < requestInterval {
		return
	}
	r.requestedAt = now
	e.send(r.parent, &Follow{r.applied})
}

// Tick advances timers. It is called at or after NextWake.
func (r *Relay) Tick(now time.Time) Effects {
	var e Effects
	r.tickProposals(&e, now)
	if now.Before(r.nextHeartbeat) {
		return e
	}
	r.nextHeartbeat = now.Add(HeartbeatInterval)
	r.expireChildren(now)
	if r.parent != "" && now.Sub(r.parentLastSeen) > parentTimeout {
		r.dropParent(&e, now)
	}
	r.chooseParent(&e, now)
	beat := r.entriesMessage(nil)
	for _, vm := range r.childNames() {
		if !r.children[vm].voter {
			e.send(vm, beat)
		}
	}
	r.tickReport(&e)
	r.tickGossip(&e)
	return e
}

func (r *Relay) expireChildren(now time.Time) {
	for vm, c := range r.children {
		if now.Sub(c.lastSeen) > childTimeout {
			delete(r.children, vm)
		}
	}
}

// NextWake returns when Tick is due.
func (r *Relay) NextWake() time.Time {
	next := r.nextHeartbeat
	for _, p := range r.pending {
		if p.retryAt.Before(next) {
			next = p.retryAt
		}
	}
	return next
}
