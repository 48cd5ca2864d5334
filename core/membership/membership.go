package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Default values of Config. A dead VM is detected within the sum of Interval,
// Timeout and DeadAfter, which is 1.3 s, plus one round trip.
const (
	DefaultInterval      = 500 * time.Millisecond
	DefaultTimeout       = 200 * time.Millisecond
	DefaultRetryInterval = 100 * time.Millisecond
	DefaultSuspectAfter  = 300 * time.Millisecond
	DefaultDeadAfter     = 600 * time.Millisecond
	// DefaultMonitors is the number of ring successors that each VM probes.
	DefaultMonitors = 2
	// DefaultIndirectProbes is the number of members that are asked for an
	// indirect probe.
	DefaultIndirectProbes = 3
	// DefaultMaxUpdates limits the updates in one message, and with it the
	// traffic while all VMs start.
	DefaultMaxUpdates = 4
)

// retransmitFactor scales the number of messages that carry one update, which
// grows with the logarithm of the number of members.
const retransmitFactor = 2

// urgentRetransmitFactor multiplies the number of messages for an update to
// suspect or dead. Such an update is sent before others.
const urgentRetransmitFactor = 2

// gossipFanout is the number of members that an urgent change is sent to at once.
const gossipFanout = 3

// minGossipInterval is the minimum time between two rounds of gossip. It limits
// the traffic when many changes arrive at once, as when all VMs start. Changes
// within the interval are sent with the probes.
const minGossipInterval = 20 * time.Millisecond

// Config holds the settings. A zero value selects the default.
type Config struct {
	// Interval is the time between two regular probes of one member.
	Interval time.Duration
	// Timeout is the time after which an unanswered probe times out.
	Timeout time.Duration
	// RetryInterval is the time between two probes of a member after a time-out.
	RetryInterval time.Duration
	// SuspectAfter and DeadAfter are the times until a member is declared suspect
	// and dead. They count from the time-out of its probe, or from the last
	// message from it if that is later.
	SuspectAfter, DeadAfter time.Duration
	Monitors                int
	IndirectProbes          int
	MaxUpdates              int
	Rand                    *rand.Rand
}

// Effects are the results of one step.
type Effects struct {
	Sends   []domain.Send
	Changes []Member
	// ReplaceConnections lists live VMs that do not answer on the existing
	// connection although they answer probes on other paths.
	ReplaceConnections []domain.VM
}

// update is a change that is still being disseminated.
type update struct {
	member            Member
	transmissionsLeft int
}

// Membership is the membership list and failure detector of one VM. It is not
// safe for concurrent use.
type Membership struct {
	config       Config
	self         domain.VM
	members      map[domain.VM]*Member
	listed       map[domain.VM]bool
	lastHeard    map[domain.VM]time.Time
	stateSince   map[domain.VM]time.Time // time of the last change of each entry
	probes       map[domain.VM]*probe
	ring         []domain.VM // see ringOrder; nil if it must be rebuilt
	ringPosition int         // index of this VM in ring
	watchList    []domain.VM // see Watch
	updates      []*update
	sequence     uint64
	intervals    int
	nextPing     time.Time
	// nextGossip is the earliest time of the next round of gossip.
	nextGossip time.Time
	nextTick   time.Time
	effects    Effects
}

// New returns a membership that contains only this VM. Self.Incarnation must be
// higher than that of every earlier process of the VM, for example its start time.
func New(c Config, self Member, now time.Time) *Membership {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.RetryInterval = cmp.Or(c.RetryInterval, DefaultRetryInterval)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, DefaultSuspectAfter)
	c.DeadAfter = cmp.Or(c.DeadAfter, DefaultDeadAfter)
	c.Monitors = cmp.Or(c.Monitors, DefaultMonitors)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, DefaultIndirectProbes)
	c.MaxUpdates = cmp.Or(c.MaxUpdates, DefaultMaxUpdates)
	m := &Membership{
		config:     c,
		self:       self.VM,
		members:    map[domain.VM]*Member{self.VM: &self},
		listed:     map[domain.VM]bool{},
		lastHeard:  map[domain.VM]time.Time{},
		stateSince: map[domain.VM]time.Time{},
		probes:     map[domain.VM]*probe{},
	}
	// The first probe is at a random time within one interval, so that VMs that
	// start together do not probe at the same time.
	m.nextPing = now.Add(time.Duration(c.Rand.Int64N(int64(c.Interval))))
	m.nextTick = m.nextPing
	return m
}

// Members returns all known members, including this VM, ordered by name.
func (m *Membership) Members() []Member {
	out := make([]Member, 0, len(m.members))
	for _, vm := range slices.Sorted(maps.Keys(m.members)) {
		out = append(out, *m.members[vm])
	}
	return out
}

// Alive reports whether a VM is known and not dead.
func (m *Membership) Alive(vm domain.VM) bool {
	known := m.members[vm]
	return known != nil && known.State != Dead
}

// NextWake returns when Tick is due next.
func (m *Membership) NextWake() time.Time { return m.nextTick }

// UpdateList applies the platform's list of VMs, which may be out of date. It adds
// unknown VMs, marks those that are leaving, and removes dead VMs that are no
// longer listed. It does not revive a VM that the probes found dead.
func (m *Membership) UpdateList(now time.Time, list []Member) Effects {
	clear(m.listed)
	for _, entry := range list {
		m.listed[entry.VM] = true
		known := m.members[entry.VM]
		switch {
		case known == nil:
			entry.State = min(entry.State, Leaving)
			m.apply(now, entry)
		case entry.State == Leaving && known.State == Alive && entry.VM == m.self:
			m.announce(now, func(self *Member) { self.State = Leaving })
		case entry.State == Leaving && known.State == Alive:
			leaving := *known
			leaving.State = Leaving
			m.apply(now, leaving)
		}
	}
	for vm, known := range m.members {
		if known.State == Dead && !m.listed[vm] {
			delete(m.members, vm)
			delete(m.lastHeard, vm)
		}
	}
	m.ring = nil
	return m.takeEffects()
}

// Leave announces a planned stop of this VM.
func (m *Membership) Leave(now time.Time) Effects {
	m.announce(now, func(self *Member) { self.State = Leaving })
	return m.takeEffects()
}

// SetReady announces whether this VM can hold shards and accept calls.
func (m *Membership) SetReady(now time.Time, ready bool) Effects {
	if m.members[m.self].Ready != ready {
		m.announce(now, func(self *Member) { self.Ready = ready })
	}
	return m.takeEffects()
}

// announce changes this VM's own entry and increments its incarnation.
func (m *Membership) announce(now time.Time, change func(*Member)) {
	self := *m.members[m.self]
	change(&self)
	self.Incarnation++
	m.apply(now, self)
}

// supersedes reports whether a received entry replaces the known one.
func supersedes(received, known Member) bool {
	if received.Incarnation != known.Incarnation {
		return received.Incarnation > known.Incarnation
	}
	return received.State > known.State
}

// merge handles an entry received from another VM. An entry about this VM that
// supersedes its own, such as a claim that it is suspect or dead, is refuted with
// a higher incarnation.
func (m *Membership) merge(now time.Time, received Member) {
	known := m.members[received.VM]
	if known == nil {
		if received.State != Dead {
			m.apply(now, received)
		}
		return
	}
	if !supersedes(received, *known) {
		return
	}
	if received.VM == m.self {
		m.announce(now, func(self *Member) { self.Incarnation = received.Incarnation })
		return
	}
	m.apply(now, received)
}

// apply stores a changed entry, reports it in the effects and starts its
// dissemination.
func (m *Membership) apply(now time.Time, updated Member) {
	before := m.members[updated.VM]
	m.members[updated.VM] = &updated
	m.stateSince[updated.VM] = now
	m.effects.Changes = append(m.effects.Changes, updated)
	m.disseminate(updated)
	if before == nil || before.State == Dead || updated.State == Dead {
		delete(m.probes, updated.VM)
		m.ring = nil
	}
	if before != nil && urgent(*before, updated) && !now.Before(m.nextGossip) {
		m.nextGossip = now.Add(minGossipInterval)
		m.gossip()
	}
}

// urgent reports whether a change is sent at once, which is so for changes of
// state or readiness. The first entry received for a VM that is known only from
// the platform's list is not urgent, unless it is suspect or dead.
func urgent(before, after Member) bool {
	changed := after.State != before.State || after.Ready != before.Ready
	return changed && (after.State >= Suspect || before.Incarnation > 0)
}

// disseminate queues an update for the next messages and discards the update that
// it replaces.
func (m *Membership) disseminate(member Member) {
	m.updates = slices.DeleteFunc(m.updates, func(u *update) bool { return u.member.VM == member.VM })
	limit := retransmitFactor
	for n := len(m.members); n > 1; n /= 2 {
		limit += retransmitFactor
	}
	if member.State >= Suspect {
		limit *= urgentRetransmitFactor
	}
	m.enqueue(&update{member, limit})
}

// enqueue keeps the updates ordered by the transmissions they have left, so that
// new and urgent ones are sent first.
func (m *Membership) enqueue(u *update) {
	at, _ := slices.BinarySearchFunc(m.updates, u.transmissionsLeft-1, func(other *update, left int) int { return left - other.transmissionsLeft })
	m.updates = slices.Insert(m.updates, at, u)
}

// gossip sends the newest updates to a few random members at once. A change then
// reaches all members within a few hops and does not wait for probe intervals.
func (m *Membership) gossip() {
	for range gossipFanout {
		if vm := m.randomMember(); vm != "" {
			m.ping(vm, false)
		}
	}
}

// piggyback returns the updates for a message to a VM. The first is the claim that
// the VM must refute, if it is considered suspect or dead. The others are the
// updates with the most transmissions left.
func (m *Membership) piggyback(to domain.VM) []Member {
	var out []Member
	if known := m.members[to]; known != nil && (known.State == Suspect || known.State == Dead) {
		out = append(out, *known)
	}
	count := min(len(m.updates), m.config.MaxUpdates-len(out))
	sent := m.updates[:count]
	m.updates = slices.Clone(m.updates[count:])
	for _, u := range sent {
		out = append(out, u.member)
		u.transmissionsLeft--
		if u.transmissionsLeft > 0 {
			m.enqueue(u)
		}
	}
	return out
}

// ringOrder returns the members that are not dead, ordered by a hash of their
// names, so that VMs of one rack are not adjacent on the ring.
func (m *Membership) ringOrder() []domain.VM {
	if m.ring != nil {
		return m.ring
	}
	weights := make(map[domain.VM]uint64, len(m.members))
	for vm, member := range m.members {
		if member.State != Dead {
			weights[vm] = domain.Hash64("ring", string(vm))
			m.ring = append(m.ring, vm)
		}
	}
	slices.SortFunc(m.ring, func(a, b domain.VM) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b))
	})
	m.ringPosition = slices.Index(m.ring, m.self)
	return m.ring
}

// Watch sets the members that this VM probes in addition to its ring successors.
// These should be the peers whose silent connections would stop the work of this
// VM, because it detects silent connections only to members that it probes itself.
func (m *Membership) Watch(vms []domain.VM) { m.watchList = vms }

// monitored returns the members that this VM probes: its ring successors and the
// watched members.
func (m *Membership) monitored() []domain.VM {
	ring := m.ringOrder()
	var out []domain.VM
	for i := 1; i <= m.config.Monitors && i < len(ring); i++ {
		out = append(out, ring[(m.ringPosition+i)%len(ring)])
	}
	for _, vm := range m.watchList {
		if member := m.members[vm]; member != nil && vm != m.self && member.State != Dead {
			out = append(out, vm)
		}
	}
	return out
}

// randomMember returns a random member that is not dead and not this VM, or "".
func (m *Membership) randomMember() domain.VM {
	ring := m.ringOrder()
	if len(ring) < 2 {
		return ""
	}
	return ring[(m.ringPosition+1+m.config.Rand.IntN(len(ring)-1))%len(ring)]
}

func (m *Membership) takeEffects() Effects {
	out := m.effects
	m.effects = Effects{}
	return out
}
