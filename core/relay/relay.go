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

// Intervals, time-outs and limits of the fan-out.
const (
	// HeartbeatInterval is the period of heartbeats, reports and comparisons of
	// the withdrawn sets.
	HeartbeatInterval = time.Second
	// parentTimeout is 2.5 heartbeats, so that a follower finds another parent
	// and catches up within the 5 s in which a change must be in force.
	parentTimeout = 2500 * time.Millisecond
	// parentAvoidDuration is how long a dropped parent is not chosen again.
	parentAvoidDuration = 10 * time.Second
	// childTimeout is the time without messages after which a child's
	// subscription expires.
	childTimeout = 5 * time.Second
	// requestInterval is the minimum time between requests for missing entries.
	requestInterval = 200 * time.Millisecond
	// maxHops exceeds the depth of any valid tree (voter, relay VM, follower).
	maxHops = 4
	// maxEntriesPerMessage is the maximum number of entries of one Entries
	// message.
	maxEntriesPerMessage = 128
	// DefaultTailEntries is the default of Config.TailEntries.
	DefaultTailEntries = 512
)

// Node describes a live VM of the system.
type Node struct {
	VM         domain.VM
	DataCentre domain.DataCentre
	Region     domain.Region
	Voter      bool
}

// Config holds the settings of the relay of one VM.
type Config struct {
	Self domain.VM
	// Applied is the log index of the restored configuration.
	Applied raft.Index
	// TailEntries is the number of recent log entries kept in memory for
	// children; 0 means DefaultTailEntries.
	TailEntries int
	// Rand selects the gossip peers.
	Rand *rand.Rand
}

// Proposal is a change that the caller must propose to the log. Origin is the VM
// that forwarded it.
type Proposal struct {
	Origin domain.VM
	Change *config.Change
}

// Answer completes a proposal made on this VM. If the leader did not answer in
// time, Result is nil and Err wraps ErrNoAnswer; the change may have been applied.
type Answer struct {
	Operation domain.OperationID
	Result    *config.Result
	Err       error
}

// Effects lists the actions that the caller must carry out.
type Effects struct {
	Sends []domain.Send
	// Install, if set, replaces the configuration. The entries of Apply follow
	// it, in order.
	Install *Snapshot
	Apply   []Entry
	// NeedSnapshot requests a call of ProvideSnapshot.
	NeedSnapshot bool
	Proposals    []Proposal
	Answers      []Answer
	// Withdrawn lists the keys that were added to the withdrawn set.
	Withdrawn []config.KeyID
}

func (e *Effects) send(to domain.VM, m domain.Message) {
	e.Sends = append(e.Sends, domain.Send{To: to, Body: m})
}

// child is a VM that follows this one or reports to it.
type child struct {
	lastSeen     time.Time
	sentIndex    raft.Index // index of the last entry sent
	needSnapshot bool
	report       *Report
	voter        bool // reports to this VM, but gets its entries from the consensus protocol
}

// Relay is the fan-out state machine of one VM, voter or not. It is not safe for
// concurrent use.
type Relay struct {
	cfg    Config
	self   Node
	nodes  []Node // live VMs, sorted by name
	leader domain.VM

	applied raft.Index
	tail    []Entry // the most recent entries, up to applied

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

// New returns the relay of a VM that has applied the configuration up to
// c.Applied.
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

// SetNodes replaces the list of live VMs, which must include this one.
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

// SetLeader sets the configuration leader on a voter. Other VMs receive it from
// their parent.
func (r *Relay) SetLeader(now time.Time, leader domain.VM) Effects {
	var e Effects
	r.updateLeader(&e, now, leader)
	return e
}

// Committed must be called on a voter with newly committed entries, in order. The
// caller applies them to its own state.
func (r *Relay) Committed(_ time.Time, entries []Entry) Effects {
	var e Effects
	r.appendEntries(&e, entries)
	return e
}

// Restored must be called on a voter whose state was replaced by a snapshot of the
// consensus protocol.
func (r *Relay) Restored(index raft.Index) {
	if index > r.applied {
		r.applied, r.tail = index, nil
	}
}

// Leader returns the configuration leader known to this VM, or "".
func (r *Relay) Leader() domain.VM { return r.leader }

// Connected reports whether a VM that is not a voter received a message of its
// parent within the parent time-out.
func (r *Relay) Connected(now time.Time) bool {
	return r.parent != "" && now.Sub(r.parentLastSeen) <= parentTimeout
}

// Applied returns the log index up to which this VM has the configuration.
func (r *Relay) Applied() raft.Index { return r.applied }

// appendEntries appends the entries above the applied index to the tail, pushes
// them to the children and returns them. It returns nil if there are none or if
// entries before them are missing.
func (r *Relay) appendEntries(e *Effects, entries []Entry) []Entry {
	for len(entries) > 0 && entries[0].Index <= r.applied {
		entries = entries[1:]
	}
	if len(entries) == 0 || entries[0].Index != r.applied+1 {
		return nil
	}
	r.applied = entries[len(entries)-1].Index
	r.tail = append(r.tail, entries...)
	// Trimming at twice the size makes the amortised cost of an entry constant.
	if len(r.tail) > 2*r.cfg.TailEntries {
		r.tail = slices.Clone(r.tail[len(r.tail)-r.cfg.TailEntries:])
	}
	for _, vm := range r.childNames() {
		r.push(e, vm, r.children[vm])
	}
	return entries
}

func (r *Relay) childNames() []domain.VM { return slices.Sorted(maps.Keys(r.children)) }

// push sends a child the entries that it lacks. If they are no longer in the tail,
// it marks the child for a snapshot.
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

// ProvideSnapshot sends the state to the children that need a snapshot. The state
// must be that of Applied.
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

// Step handles a message from another VM.
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
	// Entries without a gap are not requested again, because the remaining
	// messages of a tail are still in flight.
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

// Tick runs due timers. It must be called at or after NextWake.
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

// NextWake returns the time at which Tick is due.
func (r *Relay) NextWake() time.Time {
	next := r.nextHeartbeat
	for _, p := range r.pending {
		if p.retryAt.Before(next) {
			next = p.retryAt
		}
	}
	return next
}
