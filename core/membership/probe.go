package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// silentConnectionProbes is the number of consecutive unanswered probes after which
// a connection counts as silent, if the member answers on another path.
const silentConnectionProbes = 3

// replaceReportProbes is the number of further unanswered probes, which take about
// one second, after which a connection that is still silent is reported again.
const replaceReportProbes = 10

// randomProbeIntervals is the number of intervals between two probes of random
// members, which disseminate updates across the ring. One in deadMemberProbes of
// them goes to a dead member, so that both sides of a healed partition detect each
// other.
const (
	randomProbeIntervals = 2
	deadMemberProbes     = 4
)

// probe is the state of the probes of one member.
type probe struct {
	// firstUnanswered is the send time of the oldest unanswered direct probe, or
	// zero.
	firstUnanswered time.Time
	unanswered      int
	// timedOutAt is when a direct probe timed out, or zero.
	timedOutAt time.Time
	nextRetry  time.Time
	// nextReplaceReport is the number of unanswered probes at which the silent
	// connection is reported next.
	nextReplaceReport int
}

// Tick sends the probes that are due and changes the state of members that did not
// answer. It must be called at or after NextWake.
func (m *Membership) Tick(now time.Time) Effects {
	if !now.Before(m.nextPing) {
		m.nextPing = m.nextPing.Add(m.config.Interval)
		if m.nextPing.Before(now) {
			m.nextPing = now.Add(m.config.Interval)
		}
		m.probeMonitored(now)
	}
	m.nextTick = m.nextPing
	for _, vm := range slices.Sorted(maps.Keys(m.probes)) {
		if p := m.probes[vm]; p != nil {
			m.checkProbe(now, vm, p)
		}
	}
	return m.takeEffects()
}

func (m *Membership) probeMonitored(now time.Time) {
	monitored := m.monitored()
	for vm, member := range m.members {
		if member.State == Suspect && now.Sub(m.stateSince[vm]) > 2*m.config.DeadAfter {
			monitored = append(monitored, vm) // the member's monitor may be dead
		}
	}
	for vm, p := range m.probes {
		if !slices.Contains(monitored, vm) && p.timedOutAt.IsZero() {
			delete(m.probes, vm)
		}
	}
	slices.Sort(monitored)
	for _, vm := range slices.Compact(monitored) {
		m.probeDirect(now, vm)
	}
	m.intervals++
	if m.intervals%randomProbeIntervals == 0 {
		m.probeRandom()
	}
}

func (m *Membership) probeDirect(now time.Time, vm domain.VM) {
	p := m.probes[vm]
	if p == nil {
		p = &probe{}
		m.probes[vm] = p
	}
	if p.firstUnanswered.IsZero() {
		p.firstUnanswered = now
	}
	p.unanswered++
	m.ping(vm, false)
}

// probeRandom probes a random member and adds one entry of the membership list, in
// rotation, so that the lists converge without a full state exchange.
func (m *Membership) probeRandom() {
	round := m.intervals / randomProbeIntervals
	to := m.randomMember()
	dead := m.deadMembers()
	if len(dead) > 0 && (round%deadMemberProbes == 0 || to == "") {
		to = dead[m.config.Rand.IntN(len(dead))]
	}
	if to == "" {
		return
	}
	m.sequence++
	updates := append(m.piggyback(to), *m.members[m.self])
	if len(updates) < m.config.MaxUpdates {
		names := slices.Sorted(maps.Keys(m.members))
		updates = append(updates, *m.members[names[round%len(names)]])
	}
	m.send(to, &Ping{Sequence: m.sequence, Updates: updates})
}

func (m *Membership) deadMembers() []domain.VM {
	var out []domain.VM
	for vm, member := range m.members {
		if member.State == Dead {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// checkProbe retries a probe that timed out and declares a member suspect or dead
// if no message from it arrives.
func (m *Membership) checkProbe(now time.Time, vm domain.VM, p *probe) {
	if p.firstUnanswered.IsZero() {
		return
	}
	if due := p.firstUnanswered.Add(m.config.Timeout); p.timedOutAt.IsZero() && now.Before(due) {
		m.tickBy(due)
		return
	}
	if p.timedOutAt.IsZero() {
		p.timedOutAt, p.nextRetry = now, now
	}
	if !now.Before(p.nextRetry) {
		p.nextRetry = now.Add(m.config.RetryInterval)
		m.retry(now, vm)
	}
	m.tickBy(p.nextRetry)
	start := p.timedOutAt
	if heard := m.lastHeard[vm]; heard.After(start) {
		start = heard
	}
	silence := now.Sub(start)
	switch {
	case silence >= m.config.DeadAfter:
		m.declare(now, vm, Dead)
	case silence >= m.config.SuspectAfter:
		m.declare(now, vm, Suspect)
	}
}

// retry probes on the existing connection, on a new one and through other members.
func (m *Membership) retry(now time.Time, vm domain.VM) {
	m.probeDirect(now, vm)
	m.ping(vm, true)
	asked := map[domain.VM]bool{vm: true}
	for range m.config.IndirectProbes {
		helper := m.randomMember()
		if helper == "" || asked[helper] {
			continue
		}
		asked[helper] = true
		m.sequence++
		m.send(helper, &PingRequest{Sequence: m.sequence, Target: vm, Updates: m.piggyback(helper)})
	}
}

func (m *Membership) declare(now time.Time, vm domain.VM, state State) {
	known := *m.members[vm]
	if known.State >= state {
		return
	}
	known.State = state
	m.apply(now, known)
}

// Step handles a message from another VM.
func (m *Membership) Step(now time.Time, from domain.VM, msg domain.Message) Effects {
	m.lastHeard[from] = now
	switch msg := msg.(type) {
	case *Ping:
		m.mergeAll(now, msg.Updates)
		m.sendAck(from, msg)
	case *PingRequest:
		m.mergeAll(now, msg.Updates)
		m.send(msg.Target, &Ping{Sequence: msg.Sequence, OnBehalf: from, Updates: m.piggyback(msg.Target)})
	case *Ack:
		m.mergeAll(now, msg.Updates)
		m.handleAck(now, from, msg)
	}
	return m.takeEffects()
}

// sendAck answers a ping. This VM's own entry is the first update, because a
// monitor must know the current incarnation to declare the VM dead.
func (m *Membership) sendAck(to domain.VM, p *Ping) {
	updates := append([]Member{*m.members[m.self]}, m.piggyback(to)...)
	m.send(to, &Ack{p.Sequence, m.self, p.OnBehalf, p.Fresh, updates})
}

func (m *Membership) mergeAll(now time.Time, updates []Member) {
	for _, u := range updates {
		m.merge(now, u)
	}
}

func (m *Membership) handleAck(now time.Time, from domain.VM, a *Ack) {
	if a.OnBehalf != "" && a.OnBehalf != m.self {
		m.send(a.OnBehalf, &Ack{a.Sequence, a.Target, a.OnBehalf, false, m.piggyback(a.OnBehalf)})
		return
	}
	m.lastHeard[a.Target] = now
	p := m.probes[a.Target]
	if p == nil {
		return
	}
	if !a.Fresh && a.Target == from {
		*p = probe{}
		return
	}
	if p.unanswered >= max(p.nextReplaceReport, silentConnectionProbes) {
		p.nextReplaceReport = p.unanswered + replaceReportProbes
		m.effects.ReplaceConnections = append(m.effects.ReplaceConnections, a.Target)
	}
}

func (m *Membership) ping(vm domain.VM, fresh bool) {
	m.sequence++
	m.send(vm, &Ping{Sequence: m.sequence, Fresh: fresh, Updates: m.piggyback(vm)})
}

func (m *Membership) send(to domain.VM, body domain.Message) {
	m.effects.Sends = append(m.effects.Sends, domain.Send{To: to, Body: body})
}

func (m *Membership) tickBy(at time.Time) {
	if at.Before(m.nextTick) {
		m.nextTick = at
	}
}
