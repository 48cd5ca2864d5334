package shard

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Defaults of the settings in Config.
const (
	// DefaultLeaseTerm is a third of the 3 s within which the next turn of a program
	// must be served after its owner's VM fails. A new configuration leader waits for
	// one lease term after its election, and the election takes more than a second.
	DefaultLeaseTerm      = time.Second
	DefaultRenewInterval  = 250 * time.Millisecond
	DefaultResendInterval = 200 * time.Millisecond
	DefaultMaxBatch       = 256
	// MaxClockDriftPercent is the largest tolerated difference between the clock
	// rates of two VMs.
	MaxClockDriftPercent = 1
)

// ErrNotOwner is returned when the VM is not the active owner of the shard, or has
// stopped accepting records before a planned handover.
var ErrNotOwner = errors.New("this VM does not own the shard; read the configuration again and send to the owner")

// ErrNoLease is returned when neither the configuration leader nor the backup has
// renewed the ownership lease.
var ErrNoLease = errors.New("the ownership lease has expired; retry when the VM reaches the configuration leader or the shard's backup")

// ErrInvalidPosition is returned for a compaction up to a position that is not
// committed or is compacted already, and on a VM that is not the active owner.
var ErrInvalidPosition = errors.New("the position is not committed or is already compacted; use the position of a committed record")

// Config holds the settings of a Manager. Zero durations and a zero MaxBatch are
// replaced with the defaults.
type Config struct {
	Self       domain.VM
	DataCentre domain.DataCentre
	// Incarnation must increase with each start of the process.
	Incarnation uint64
	// HasDisk makes the manager emit Writes and wait for Persisted. Without it
	// records are kept in memory only and count as durable at once.
	HasDisk                                  bool
	LeaseTerm, RenewInterval, ResendInterval time.Duration
	// MaxBatch is the largest number of records in one message.
	MaxBatch int
}

// Write asks the node to store records in order, to sync them, and then to call
// Persisted with the token.
type Write struct {
	Token   uint64
	Records []domain.Record
}

// Committed is a record that the owner and the backup, if there is one, both hold,
// so that it survives the loss of either of them.
type Committed struct {
	Shard    domain.ShardID
	Position Position
	Record   domain.Record
}

// Effects lists what the node must do after a step, each list in order. A message
// to the VM itself, such as a lease request on the configuration leader, must be
// delivered like any other.
type Effects struct {
	Sends                  []domain.Send
	Writes                 []Write
	Committed              []Committed
	Activated, Deactivated []domain.ShardID
	Proposals              []config.Command
}

// Manager holds the replicas of all shards on one VM. It is not safe for
// concurrent use.
type Manager struct {
	config    Config
	startedAt time.Time
	view      *config.View
	replicas  map[domain.ShardID]*replica
	// sortedReplicas lists the replicas by shard, because every step iterates over
	// them in a fixed order.
	sortedReplicas  []*replica
	candidates      map[domain.VM]Candidate
	leader          domain.VM
	requestSequence uint64
	writeToken      uint64
	draining        bool
	nextRenew       time.Time
	nextResend      time.Time
	// nextLeadAttempt is the earliest expiry of a granted lease that keeps this VM
	// from leading a shard, or zero.
	nextLeadAttempt time.Time
	effects         Effects
}

// New returns a manager without replicas. It leads no shard for one lease term,
// because leases granted by an earlier process of this VM may still be valid.
func New(c Config, now time.Time) *Manager {
	c.LeaseTerm = cmp.Or(c.LeaseTerm, DefaultLeaseTerm)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.ResendInterval = cmp.Or(c.ResendInterval, DefaultResendInterval)
	c.MaxBatch = cmp.Or(c.MaxBatch, DefaultMaxBatch)
	return &Manager{config: c, startedAt: now, replicas: map[domain.ShardID]*replica{}, candidates: map[domain.VM]Candidate{}}
}

// Restore loads the records that earlier processes stored, in the order in which
// they were written. It must be called before Configure.
func (m *Manager) Restore(records []domain.Record) {
	for _, r := range records {
		switch r := r.(type) {
		case *Stored:
			m.replica(r.Shard).restoreEntry(r.Entry)
		case *StoredSnapshot:
			m.replica(r.Shard).restoreSnapshot(r)
		case *StoredComplete:
			m.replica(r.Shard).complete = true
		}
	}
	for _, r := range m.replicas {
		r.persistedIndex = r.log.lastPosition().Index
	}
}

// Configure applies a newer configuration and ignores an older one. The first view
// must include every entry that was committed when the process started; until
// then the VM has no role. An owner named by the first view leads only from a
// later epoch on, which it proposes itself, because an earlier process may have
// used the epoch of the first view.
func (m *Manager) Configure(now time.Time, v *config.View) Effects {
	if m.view != nil && v.AppliedIndex() < m.view.AppliedIndex() {
		return Effects{}
	}
	first := m.view == nil
	m.view = v
	for _, a := range v.Assignments() {
		if a.Shard.DataCentre != m.config.DataCentre {
			continue
		}
		r := m.replica(a.Shard)
		if first {
			r.initialEpoch = a.Epoch
		}
		if a.Epoch > r.assignment.Epoch {
			r.assign(now, a)
		}
	}
	m.progress(now)
	return m.takeEffects()
}

// Observe sets the VMs that membership reports and the configuration leader, which
// is empty when unknown.
func (m *Manager) Observe(now time.Time, candidates []Candidate, leader domain.VM) Effects {
	m.leader = leader
	clear(m.candidates)
	for _, c := range candidates {
		m.candidates[c.VM] = c
	}
	m.progress(now)
	return m.takeEffects()
}

// Step handles a message from another VM.
func (m *Manager) Step(now time.Time, from domain.VM, message domain.Message) Effects {
	if id, ok := shardOf(message); ok && id.DataCentre != m.config.DataCentre {
		return Effects{}
	}
	switch message := message.(type) {
	case *LeaseRequest:
		m.grantLeases(now, from, message)
	case *LeaseGrant:
		m.acceptGrant(from, message)
	case *Release:
		m.acceptRelease(from, message)
	case *Append:
		m.replica(message.Shard).receiveAppend(from, message)
	case *AppendReply:
		m.replica(message.Shard).receiveReply(from, message)
	case *State:
		m.replica(message.Shard).receiveState(from, message)
	}
	m.progress(now)
	return m.takeEffects()
}

func shardOf(message domain.Message) (domain.ShardID, bool) {
	switch message := message.(type) {
	case *Append:
		return message.Shard, true
	case *AppendReply:
		return message.Shard, true
	case *State:
		return message.Shard, true
	default:
		return domain.ShardID{}, false
	}
}

// Tick requests leases, resends unacknowledged entries and retries to lead shards
// where these are due. It must be called at or after NextWake.
func (m *Manager) Tick(now time.Time) Effects {
	m.nextLeadAttempt = time.Time{}
	if !now.Before(m.nextRenew) {
		m.nextRenew = now.Add(m.config.RenewInterval)
		m.requestLeases(now)
	}
	if !now.Before(m.nextResend) {
		m.nextResend = now.Add(m.config.ResendInterval)
		for _, r := range m.sortedReplicas {
			r.resend(now)
		}
	}
	m.progress(now)
	return m.takeEffects()
}

// NextWake returns the time at which Tick is due.
func (m *Manager) NextWake() time.Time {
	next := m.nextResend
	if m.nextRenew.Before(next) {
		next = m.nextRenew
	}
	if !m.nextLeadAttempt.IsZero() && m.nextLeadAttempt.Before(next) {
		next = m.nextLeadAttempt
	}
	return next
}

func (m *Manager) scheduleLeadAttempt(at time.Time) {
	if m.nextLeadAttempt.IsZero() || at.Before(m.nextLeadAttempt) {
		m.nextLeadAttempt = at
	}
}

// grantsExpireAt returns the time by which every lease for the shard that this
// process or an earlier one on this VM has granted is expired.
func (m *Manager) grantsExpireAt(r *replica) time.Time {
	end := m.startedAt.Add(m.config.LeaseTerm)
	for _, t := range []time.Time{r.granted.expires, r.priorGrantsExpire} {
		if t.After(end) {
			end = t
		}
	}
	return end
}

// Append appends a record to the log of a shard that the VM owns and returns its
// position. The record is committed only when it appears in Effects.Committed.
// The error is ErrNotOwner or ErrNoLease.
func (m *Manager) Append(now time.Time, id domain.ShardID, record domain.Record) (Position, Effects, error) {
	r := m.replicas[id]
	if r == nil || !r.active || r.frozen {
		return Position{}, Effects{}, ErrNotOwner
	}
	if !r.hasLease(now) {
		return Position{}, Effects{}, ErrNoLease
	}
	p := Position{r.assignment.Epoch, r.log.lastPosition().Index + 1}
	r.appendEntries([]Entry{{p, record}})
	r.replicate()
	m.progress(now)
	return p, m.takeEffects(), nil
}

// Persisted reports to the manager that the write with the token and all earlier
// writes are synced.
func (m *Manager) Persisted(now time.Time, token uint64) Effects {
	for _, r := range m.sortedReplicas {
		r.completeWrites(token)
	}
	m.progress(now)
	return m.takeEffects()
}

// Owns returns the epoch at which the VM may act as owner of the shard now. It
// returns false when the VM may not.
func (m *Manager) Owns(now time.Time, id domain.ShardID) (domain.Epoch, bool) {
	r := m.replicas[id]
	if r == nil || !r.active || r.frozen || !r.hasLease(now) {
		return 0, false
	}
	return r.assignment.Epoch, true
}

// Drain starts a planned stop: the VM hands every shard that it owns over to the
// shard's backup.
func (m *Manager) Drain(now time.Time) Effects {
	m.draining = true
	m.progress(now)
	return m.takeEffects()
}

// Drained reports whether a planned stop has finished: the VM owns no shard, and
// it is a backup only of shards for which no other VM can take its place.
func (m *Manager) Drained() bool {
	for _, r := range m.replicas {
		a := r.assignment
		if a.Owner == m.config.Self || a.Backup == m.config.Self && m.replaceable(a.Owner) {
			return false
		}
	}
	return m.draining
}

func (m *Manager) replaceable(owner domain.VM) bool {
	for _, c := range m.candidates {
		if c.VM != owner && c.VM != m.config.Self && c.DataCentre == m.config.DataCentre && c.Alive && c.Eligible {
			return true
		}
	}
	return false
}

// ShardRecords returns the records of a shard's snapshot and all later ones. The
// caller rebuilds the state of the shard from them once Effects.Activated lists it.
func (m *Manager) ShardRecords(id domain.ShardID) []domain.Record {
	if r := m.replicas[id]; r != nil {
		return r.log.records()
	}
	return nil
}

// Compact replaces the log up to a committed position with the records of a
// snapshot that rebuilds the state at that position. It returns
// ErrInvalidPosition when the log cannot be compacted up to p.
func (m *Manager) Compact(now time.Time, id domain.ShardID, p Position, snapshot []domain.Record) (Effects, error) {
	r := m.replicas[id]
	if r == nil || !r.active || p.Index > r.committedIndex || p.Index <= r.log.base.Index {
		return Effects{}, ErrInvalidPosition
	}
	if known, ok := r.log.positionAt(p.Index); !ok || known != p {
		return Effects{}, ErrInvalidPosition
	}
	r.log.compact(p, snapshot)
	r.store(&StoredSnapshot{Shard: id, Base: p, Records: snapshot})
	r.sendSnapshots()
	m.progress(now)
	return m.takeEffects(), nil
}

// AcceptLoss lets the VM serve a shard from the records it has, although committed
// ones may be missing. An operator decides on it after both copies were lost.
func (m *Manager) AcceptLoss(now time.Time, id domain.ShardID) Effects {
	if r := m.replicas[id]; r != nil {
		r.markComplete()
	}
	m.progress(now)
	return m.takeEffects()
}

func (m *Manager) replica(id domain.ShardID) *replica {
	r := m.replicas[id]
	if r == nil {
		r = &replica{id: id, manager: m}
		m.replicas[id] = r
		at, _ := slices.BinarySearchFunc(m.sortedReplicas, id, func(other *replica, id domain.ShardID) int { return other.id.Compare(id) })
		m.sortedReplicas = slices.Insert(m.sortedReplicas, at, r)
	}
	return r
}

// progress advances every replica as far as the state at this time permits.
func (m *Manager) progress(now time.Time) {
	if m.view == nil {
		return
	}
	for _, r := range m.sortedReplicas {
		r.progress(now)
	}
}

func (m *Manager) send(to domain.VM, body domain.Message) {
	m.effects.Sends = append(m.effects.Sends, domain.Send{To: to, Body: body})
}

func (m *Manager) takeEffects() Effects {
	out := m.effects
	m.effects = Effects{}
	return out
}
