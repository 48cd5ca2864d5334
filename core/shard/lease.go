package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// sentRequest remembers when a lease request was sent, because the holder
// counts the lease from that time.
type sentRequest struct {
	sequence uint64
	at       time.Time
}

// maxSentRequests bounds the requests that can still be answered. At one
// request to each grantor per renewal interval they cover several terms.
const maxSentRequests = 16

// leaseHold is the owner's side of one lease.
type leaseHold struct {
	until time.Time
	// after is the sequence that a grant must exceed to count.
	after uint64
	sent  []sentRequest
}

func (l *leaseHold) request(sequence uint64, now time.Time) {
	l.sent = append(l.sent, sentRequest{sequence, now})
	if len(l.sent) > maxSentRequests {
		l.sent = slices.Delete(l.sent, 0, 1)
	}
}

func (l *leaseHold) accept(sequence uint64, term time.Duration) {
	if sequence <= l.after {
		return
	}
	for _, r := range l.sent {
		if r.sequence != sequence {
			continue
		}
		until := r.at.Add(term - term*DriftPercent/100)
		if until.After(l.until) {
			l.until = until
		}
	}
}

// drop gives up the lease and every grant of a request sent so far.
func (l *leaseHold) drop(sequence uint64) {
	l.until = time.Time{}
	l.after = sequence
	l.sent = nil
}

// requestLeases renews the backups' leases. The leader's lease is requested only
// for shards whose backup has not renewed in time, which keeps the leader's
// cost independent of the number of healthy shards.
func (m *Manager) requestLeases(now time.Time) {
	claims := map[domain.VM][]Claim{}
	for _, s := range m.ordered {
		if !s.claims() {
			continue
		}
		c := Claim{s.id, s.assignment.Epoch}
		if s.usesBackupLease() {
			claims[s.assignment.Backup] = append(claims[s.assignment.Backup], c)
		}
		if m.leader != "" && s.needsLeader(now) && !(s.usesBackupLease() && m.leader == s.assignment.Backup) {
			claims[m.leader] = append(claims[m.leader], c)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(claims)) {
		m.requestFrom(now, vm, claims[vm])
	}
}

func (m *Manager) requestFrom(now time.Time, vm domain.VM, claims []Claim) {
	m.sequence++
	for _, c := range claims {
		s := m.shards[c.Shard]
		if vm == s.assignment.Backup {
			s.backupLease.request(m.sequence, now)
		}
		if vm == m.leader {
			s.leaderLease.request(m.sequence, now)
		}
	}
	m.send(vm, &LeaseRequest{Incarnation: m.config.Incarnation, Sequence: m.sequence, Claims: claims})
}

// grantLeases is the backup's side. A claim above the applied epoch is granted,
// because only a committed configuration lets an owner claim it, and the promise
// restricts this VM alone. The leader's side is LeaderGrantor, which receives
// the same message on the leader.
func (m *Manager) grantLeases(now time.Time, from domain.VM, r *LeaseRequest) {
	if m.view == nil {
		return
	}
	grant := &LeaseGrant{Incarnation: r.Incarnation, Sequence: r.Sequence}
	for _, c := range r.Claims {
		if c.Shard.DataCentre != m.config.DataCentre {
			continue
		}
		s := m.replica(c.Shard)
		a := s.assignment
		named := a.Owner == from && a.Backup == m.config.Self
		if !named && a.Epoch >= c.Epoch {
			continue
		}
		s.promise(promise{from, r.Incarnation, r.Sequence, now.Add(m.config.Term)})
		grant.Claims = append(grant.Claims, c)
	}
	if len(grant.Claims) > 0 {
		m.send(from, grant)
	}
}

func (m *Manager) acceptGrant(from domain.VM, g *LeaseGrant) {
	if g.Incarnation != m.config.Incarnation {
		return
	}
	for _, c := range g.Claims {
		s := m.shards[c.Shard]
		if s == nil || s.assignment.Owner != m.config.Self {
			continue
		}
		switch {
		case g.FromLeader && c.Epoch == s.assignment.Epoch:
			s.leaderLease.accept(g.Sequence, m.config.Term)
		case !g.FromLeader && from == s.assignment.Backup:
			s.backupLease.accept(g.Sequence, m.config.Term)
		}
	}
}

func (m *Manager) acceptRelease(from domain.VM, r *Release) {
	for _, id := range r.Shards {
		if s := m.shards[id]; s != nil {
			s.promised.release(from, r)
		}
	}
}
