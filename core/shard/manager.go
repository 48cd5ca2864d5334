package shard

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Defaults of the settings.
const (
	// DefaultLeaseTerm is a third of the 3 s within which the next turn of a program
	// is served after its owner's death. A new configuration leader waits for one
	// term after its election, which itself takes more than a second.
	DefaultLeaseTerm      = time.Second
	DefaultRenewInterval  = 250 * time.Millisecond
	DefaultResendInterval = 200 * time.Millisecond
	DefaultMaxBatch       = 256
	// MaxClockDriftPercent bounds the difference between the clock rates of two VMs.
	MaxClockDriftPercent = 1
)

// ErrNotOwner says that the VM does not own the shard in a state that accepts records.
var ErrNotOwner = errors.New("this VM does not own the shard; read the configuration again and send to the owner")

// ErrNoLease says that neither the leader nor the backup has renewed the lease.
var ErrNoLease = errors.New("the ownership lease has ended; retry when the VM reaches the leader or its backup")

// ErrInvalidPosition says that a compaction names a record that is not committed.
var ErrInvalidPosition = errors.New("the position is not committed or was compacted before; use the position of a committed record")

// Config holds the settings of a Manager. Zero durations take the defaults.
type Config struct {
	Self       domain.VM
	DataCentre domain.DataCentre
	// Incarnation must grow with each start of the process.
	Incarnation uint64
	// HasDisk requests Writes and waits for Persisted. Without it records live
	// in memory only.
	HasDisk                                  bool
	LeaseTerm, RenewInterval, ResendInterval time.Duration
	// MaxBatch bounds the records of one message.
	MaxBatch int
}

// Write asks the node to store records in order and to sync them, then to call
// Persisted with the token.
type Write struct {
	Token   uint64
	Records []domain.Record
}

// Committed is one record that survives the loss of the owner or the backup.
type Committed struct {
	Shard    domain.ShardID
	Position Position
	Record   domain.Record
}

// Effects are the results of one step, in order. A send to the VM itself, such as
// a lease request when it leads the configuration, must be delivered to it.
type Effects struct {
	Sends                  []domain.Send
	Writes                 []Write
	Committed              []Committed
	Activated, Deactivated []domain.ShardID
	Proposals              []config.Command
}

// Manager holds all shards of one VM. It is not safe for concurrent use.
type Manager struct {
	config    Config
	startedAt time.Time
	view      *config.View
	replicas  map[domain.ShardID]*replica
	// sortedReplicas lists the shards by their order, because every step visits them.
	sortedReplicas  []*replica
	candidates      map[domain.VM]Candidate
	leader          domain.VM
	requestSequence uint64
	writeToken      uint64
	draining        bool
	nextRenew       time.Time
	nextResend      time.Time
	// nextLeadAttempt is the end of a promise that delays an activation, or zero.
	nextLeadAttempt time.Time
	effects         Effects
}

// New returns a manager without shards. It activates no shard for one lease
// term, because promises of an earlier process of this VM may still run.
func New(c Config, now time.Time) *Manager {
	c.LeaseTerm = cmp.Or(c.LeaseTerm, DefaultLeaseTerm)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.ResendInterval = cmp.Or(c.ResendInterval, DefaultResendInterval)
	c.MaxBatch = cmp.Or(c.MaxBatch, DefaultMaxBatch)
	return &Manager{config: c, startedAt: now, replicas: map[domain.ShardID]*replica{}, candidates: map[domain.VM]Candidate{}}
}

// Restore loads the records that an earlier process stored, in their order. It
// must be called before Configure.
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

// Configure applies a newer configuration. The first view must include every
// entry that was committed when the process started; until then the VM has no
// role. An owner named by the first view starts only at a later epoch, which it
// proposes itself, because an earlier process may have used this one.
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

// Observe sets the VMs of membership and the VM that leads the configuration
// ("" when unknown).
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

// Tick does what is due. Call it at or after NextWake.
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

// NextWake returns the time of the next Tick.
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

// grantsExpireAt returns when the last promise of this VM for the shard, or of an
// earlier process on it, has ended.
func (m *Manager) grantsExpireAt(r *replica) time.Time {
	end := m.startedAt.Add(m.config.LeaseTerm)
	for _, t := range []time.Time{r.granted.expires, r.priorGrantsExpire} {
		if t.After(end) {
			end = t
		}
	}
	return end
}

// Append adds a record to a shard that the VM owns.
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

// Persisted says that the write with the token, and all before it, are synced.
func (m *Manager) Persisted(now time.Time, token uint64) Effects {
	for _, r := range m.sortedReplicas {
		r.completeWrites(token)
	}
	m.progress(now)
	return m.takeEffects()
}

// Owns returns the epoch at which the VM may act for the shard now.
func (m *Manager) Owns(now time.Time, id domain.ShardID) (domain.Epoch, bool) {
	r := m.replicas[id]
	if r == nil || !r.active || r.frozen || !r.hasLease(now) {
		return 0, false
	}
	return r.assignment.Epoch, true
}

// Drain starts a planned stop: every owned shard is handed to its backup.
func (m *Manager) Drain(now time.Time) Effects {
	m.draining = true
	m.progress(now)
	return m.takeEffects()
}

// Drained reports whether a planned stop has finished: the VM owns no shard,
// and it is a backup only where no other VM can replace it.
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

// ShardRecords returns the snapshot and all later records of a shard. The user
// rebuilds its state from them after Activated.
func (m *Manager) ShardRecords(id domain.ShardID) []domain.Record {
	if r := m.replicas[id]; r != nil {
		return r.log.records()
	}
	return nil
}

// Compact replaces the log up to a committed position with the records of a
// snapshot that rebuilds the state at that position.
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

// AcceptLoss lets the VM serve a shard from the records it has, although it may
// miss committed ones. It is an operator's decision after both copies were lost.
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

// progress lets every shard take the steps that have become possible.
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
