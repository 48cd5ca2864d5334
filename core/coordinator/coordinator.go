package coordinator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/origin"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/core/targetlimit"
)

// Errors of operations, for use with errors.Is.
var (
	// ErrNoLeader means that this VM knows no leader that holds a lease.
	ErrNoLeader = errors.New("coordinator: no leader with a majority is known; retry, and use another coordinator if the error persists")
	// ErrOutcomeUnknown means that leadership was lost before the change was committed.
	// The change may still take effect.
	ErrOutcomeUnknown = errors.New("coordinator: the leader changed before the change was committed; send the same change again")
	// ErrUnknownStore means that no storage VM has the given name.
	ErrUnknownStore = errors.New("coordinator: no storage VM has this name; list the VMs and retry")
	// ErrTooFewStores means that fewer live storage VMs would remain than a set needs.
	ErrTooFewStores = errors.New("coordinator: too few storage VMs would remain; add a storage VM first")
)

// Redirect is the error for an operation that only the leader can do.
type Redirect struct{ Leader domain.VM }

func (e *Redirect) Error() string {
	return fmt.Sprintf("coordinator: this VM is not the leader; send the request to %s", VMAddress(e.Leader))
}

// Config holds the settings of one coordinator.
type Config struct {
	Self domain.VM
	// Voters is the initial set of voters. It is empty on a VM that joins later.
	Voters []domain.VM
	// Tolerance is the number of VMs with a disk that may fail at the same time.
	Tolerance int
	// ElectionTimeout and Heartbeat are passed to raft; 0 means its defaults.
	ElectionTimeout, Heartbeat time.Duration
	// ColdBounds are the bounds on requests to cold targets.
	ColdBounds targetlimit.ColdBounds
	// Applied is the persisted applied state, or nil.
	Applied *State
	Rand    *rand.Rand
}

// Ticket identifies an operation whose outcome is delivered later in Effects.
type Ticket uint64

// Outcome is the result of an operation. A nil Err means that the change has been
// applied.
type Outcome struct {
	Ticket Ticket
	Err    error
}

// Effects are the actions that the caller has to perform after a step. It persists
// Records, in place of all earlier ones if Replace is true, and then calls Persisted with
// Token. It sends Now at once, and AfterSync only after the records are durable.
type Effects struct {
	Records        []domain.Record
	Replace        bool
	Token          raft.PersistToken
	Now, AfterSync []domain.Send
	Outcomes       []Outcome
	// Applied is the applied state when it has changed, or nil. The caller persists it,
	// so that a restarted VM can serve it before it finds a leader. No message depends
	// on its sync.
	Applied *State
	// ListTargets requests a read of the platform's list of targets. The caller passes
	// the result to TargetsListed.
	ListTargets bool
	// Events are the changes to log.
	Events []Event
}

// Event is a change in the state of the coordinator, for the log. Message is one of a
// fixed set of texts, so that it can be the value of a metric label.
type Event struct {
	Message string
	Detail  map[string]any
}

type pendingProposal struct {
	ticket Ticket
	index  raft.Index
	term   raft.Term
}

type storeReport struct {
	StoreStatus
	receivedAt time.Time
}

// Coordinator is a voter or learner. It is not safe for concurrent use.
type Coordinator struct {
	cfg     Config
	raft    *raft.Raft
	state   State
	applied raft.Index
	// appliedTerm is the term of the last applied entry. A leader may serve reads only
	// after it has applied an entry of its own term.
	appliedTerm raft.Term
	compacted   raft.Index

	leading          bool
	leaderSince      time.Time
	lastContact      map[domain.VM]time.Time
	joinRequests     map[domain.VM]time.Time
	stores           map[quorum.StoreID]*storeReport
	waitingSeats     map[waitingSeat]bool
	fleet            *allowance.Fleet
	counted          countedTargets
	limits           *targetlimit.Pool
	crashCounter     *quarantine.CrashCounter
	gateways         *reach.Directory
	gatewayProcesses map[string]string
	// constraintReported reports whether a gateway has a document with a region constraint.
	constraintReported bool
	targets            *TargetList
	// read is the list as it was read; targets has the departures marked.
	read       []balance.Target
	departures balance.Departures
	// coldReports holds the targets that said that they are cold.
	coldReports balance.ColdReports
	// versions is the history of the lists that this VM has read.
	versions     origin.History
	listedAt     time.Time
	listSequence uint64
	stateChanged bool
	nextRepair   time.Time
	nextList     time.Time
	listing      bool

	lastTicket Ticket
	pending    []pendingProposal
	outcomes   []Outcome
	events     []Event
}

// New returns a coordinator that continues from the restored log.
func New(cfg Config, restored raft.Restored, now time.Time) *Coordinator {
	c := &Coordinator{
		cfg: cfg,
		raft: raft.New(raft.Config{
			ID: cfg.Self, Voters: cfg.Voters, Rand: cfg.Rand,
			ElectionTimeout: cfg.ElectionTimeout, Heartbeat: cfg.Heartbeat, ElectAfterRestart: true,
		}, restored, now),
		lastContact: map[domain.VM]time.Time{}, joinRequests: map[domain.VM]time.Time{},
		stores: map[quorum.StoreID]*storeReport{}, waitingSeats: map[waitingSeat]bool{}, gatewayProcesses: map[string]string{},
		fleet: allowance.NewFleet(string(cfg.Self)), listSequence: cfg.Rand.Uint64() | 1,
		crashCounter: quarantine.NewCrashCounter(), gateways: reach.NewDirectory(cfg.Rand.Uint64()),
	}
	c.limits = c.newLimits()
	if cfg.Applied != nil {
		c.state = *cfg.Applied
	}
	return c
}

// Receive handles a raft message from another coordinator.
func (c *Coordinator) Receive(now time.Time, from domain.VM, m domain.Message) {
	c.lastContact[from] = now
	c.raft.Step(now, from, m)
}

// Persisted reports that the records up to the token are durable.
func (c *Coordinator) Persisted(now time.Time, token raft.PersistToken) { c.raft.Persisted(now, token) }

// PersistFailed reports that records could not be persisted. This voter is silent until its
// whole log is durable again.
func (c *Coordinator) PersistFailed(now time.Time, err error) { c.raft.PersistFailed(now, err) }

// DiskFailed reports whether the last write failed and the log is not durable again yet.
func (c *Coordinator) DiskFailed() bool { return c.raft.Status().Failed != nil }

// Tick handles the timers that are due. On the leader, it also repairs the voters and
// the storage set.
func (c *Coordinator) Tick(now time.Time) {
	c.raft.Tick(now)
	if c.raft.Status().Role == raft.Leader && !now.Before(c.nextRepair) {
		c.nextRepair = now.Add(repairInterval)
		c.repairVoters(now)
		c.repairStores(now)
		c.proposeGatewayCount(now)
		c.proposeConstrained(now)
	}
}

// NextWake returns the time at which Tick is due.
func (c *Coordinator) NextWake(now time.Time) time.Time {
	wake := c.raft.NextWake()
	if wake.Sub(now) > repairInterval {
		return now.Add(repairInterval)
	}
	return wake
}

// Ready applies committed entries and returns the effects of the steps since the last
// call.
func (c *Coordinator) Ready(now time.Time) Effects {
	ready := c.raft.Ready()
	if ready.Snapshot != nil {
		c.restore(ready.Snapshot)
	}
	for _, e := range ready.Committed {
		c.apply(e)
	}
	c.updateRole(now)
	c.compact()
	out := Effects{
		Records: ready.Records, Replace: ready.Replace, Token: ready.Token,
		Now: ready.Now, AfterSync: ready.AfterSync, Outcomes: c.outcomes, Events: c.events,
	}
	if c.listsTargets() && !c.listing && !now.Before(c.nextList) {
		c.listing, out.ListTargets = true, true
		c.nextList = now.Add(listInterval)
	}
	if c.stateChanged {
		state := c.state
		c.stateChanged, out.Applied = false, &state
	}
	c.outcomes, c.events = nil, nil
	return out
}

// listsTargets reports whether this VM reads the platform's list of targets. The leader
// does. So does every VM that knows no leader, for the gateways on its side of a
// partition.
func (c *Coordinator) listsTargets() bool { return c.leading || c.raft.Status().Leader == "" }

func (c *Coordinator) restore(s *raft.Snapshot) {
	state, ok := s.Data.(*State)
	if !ok {
		c.event("a snapshot has an unknown content", map[string]any{"index": s.Index})
		return
	}
	c.state.merge(*state)
	c.stateChanged = true
	c.applied, c.appliedTerm, c.compacted = s.Index, s.Term, s.Index
}

func (c *Coordinator) apply(e raft.Entry) {
	switch command := e.Data.(type) {
	case *PutDocument:
		c.constrain(command.Document)
		if command.Document.Version > c.state.Document.Version {
			c.state.Document = command.Document
			c.event("manifest in force", map[string]any{"version": command.Document.Version, "index": e.Index})
		}
	case *PutStores:
		if command.Regional != nil {
			c.applyRegional(command.Regional)
		} else if c.state.Stores == nil || command.Set.Epoch == c.state.Stores.Epoch+1 {
			c.state.Stores = command.Set
			c.event("storage set in force", map[string]any{"epoch": command.Set.Epoch, "members": memberIDs(command.Set)})
		}
	case *RetireStore:
		if c.state.retire(command.Retirement) {
			c.event("storage VM is to be emptied", map[string]any{"name": command.Retirement.Name, "host": command.Retirement.Host})
		}
	case *PutEvacuation:
		c.applyEvacuation(e.Index, command.Order)
	case *PutGateways:
		c.state.Gateways = command.Gateways
	}
	c.applied, c.appliedTerm = e.Index, e.Term
	c.stateChanged = c.stateChanged || e.Data != nil
	c.completePending(e)
}

func (c *Coordinator) applyRegional(set *quorum.Set) {
	if c.state.putRegional(set) {
		c.event("storage set of a region in force", map[string]any{"region": set.Scope, "epoch": set.Epoch, "members": memberIDs(set)})
	}
}

func memberIDs(s *quorum.Set) []quorum.StoreID {
	var ids []quorum.StoreID
	for _, m := range s.Members {
		ids = append(ids, m.ID)
	}
	return ids
}

func (c *Coordinator) completePending(e raft.Entry) {
	c.pending = slices.DeleteFunc(c.pending, func(p pendingProposal) bool {
		if p.index != e.Index {
			return false
		}
		var err error
		if p.term != e.Term {
			err = ErrOutcomeUnknown
		}
		c.outcomes = append(c.outcomes, Outcome{Ticket: p.ticket, Err: err})
		return true
	})
}

// updateRole handles a change of leadership: a new leader resets its volatile state, a
// former leader fails its pending proposals.
func (c *Coordinator) updateRole(now time.Time) {
	status := c.raft.Status()
	leading := status.Role == raft.Leader
	if leading == c.leading {
		return
	}
	c.leading = leading
	if !leading {
		c.event("leadership lost", map[string]any{"term": status.Term})
		c.failPending()
		return
	}
	c.event("leadership gained", map[string]any{"term": status.Term})
	c.leaderSince, c.nextList, c.listing = now, now, false
	c.fleet = allowance.NewFleet(fmt.Sprintf("%s#%d", c.cfg.Self, status.Term))
	c.limits = c.newLimits()
	c.gateways = reach.NewDirectory(c.cfg.Rand.Uint64())
	clear(c.stores)
	clear(c.waitingSeats)
	clear(c.gatewayProcesses)
	c.constraintReported = false
	for _, vm := range status.Members.Voters {
		c.lastContact[vm] = now
	}
}

func (c *Coordinator) failPending() {
	for _, p := range c.pending {
		c.outcomes = append(c.outcomes, Outcome{Ticket: p.ticket, Err: ErrOutcomeUnknown})
	}
	c.pending = nil
}

func (c *Coordinator) compact() {
	if c.applied < c.compacted+entriesPerSnapshot {
		return
	}
	c.compacted = c.applied
	state := c.state
	c.raft.Compact(c.applied, &state)
}

func (c *Coordinator) event(message string, detail map[string]any) {
	c.events = append(c.events, Event{Message: message, Detail: detail})
}

// authoritative reports whether this VM is the leader under a lease and its applied state
// includes every acknowledged change.
func (c *Coordinator) authoritative(now time.Time) bool {
	return c.raft.LeaderLease(now) && c.appliedTerm == c.raft.Status().Term
}

func (c *Coordinator) checkAuthority(now time.Time) error {
	status := c.raft.Status()
	switch {
	case c.authoritative(now):
		return nil
	case status.Leader != "" && status.Leader != c.cfg.Self:
		return &Redirect{Leader: status.Leader}
	default:
		return ErrNoLeader
	}
}

// Put proposes a document whose content the caller has validated. A document that is
// not newer than the current one is acknowledged without a change, with ticket 0. The
// error is a *Redirect or ErrNoLeader.
func (c *Coordinator) Put(now time.Time, d manifest.Document) (Ticket, error) {
	if err := c.checkAuthority(now); err != nil {
		return 0, err
	}
	if d.Version <= c.state.Document.Version {
		return 0, nil
	}
	return c.propose(now, &PutDocument{Document: d})
}

// Read returns the newest committed document. The error is a *Redirect or ErrNoLeader.
func (c *Coordinator) Read(now time.Time) (manifest.Document, error) {
	if err := c.checkAuthority(now); err != nil {
		return manifest.Document{}, err
	}
	return c.state.Document, nil
}

func (c *Coordinator) propose(now time.Time, r domain.Record) (Ticket, error) {
	index, err := c.raft.Propose(now, r)
	if err != nil {
		return 0, ErrNoLeader
	}
	c.lastTicket++
	c.pending = append(c.pending, pendingProposal{ticket: c.lastTicket, index: index, term: c.raft.Status().Term})
	return c.lastTicket, nil
}

// TransferLeadership hands leadership to another voter before a planned stop. It has no
// effect on a VM that does not lead.
func (c *Coordinator) TransferLeadership(now time.Time) {
	if !c.leading {
		return
	}
	if err := c.raft.TransferLeadership(now, ""); err != nil {
		c.event("leadership was not handed over", map[string]any{"error": err.Error()})
	}
}
