package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// sentRequest records when a lease request was sent. The holder counts the lease
// term from that time, which is never later than the time of the grant.
type sentRequest struct {
	sequence uint64
	at       time.Time
}

// maxSentRequests limits the requests whose grants are still accepted. At one
// request to each grantor per renewal interval they cover several lease terms.
const maxSentRequests = 16

// heldLease is a lease as its holder, the owner, sees it.
type heldLease struct {
	expires time.Time
	// invalidThrough is the highest sequence whose grant is ignored.
	invalidThrough uint64
	sentRequests   []sentRequest
}

func (l *heldLease) recordRequest(sequence uint64, now time.Time) {
	l.sentRequests = append(l.sentRequests, sentRequest{sequence, now})
	if len(l.sentRequests) > maxSentRequests {
		l.sentRequests = slices.Delete(l.sentRequests, 0, 1)
	}
}

// accept extends the lease on a grant. The term counts from the sending of the
// request and is reduced by the allowed clock drift, so that the lease expires at
// the holder before it expires at the grantor.
func (l *heldLease) accept(sequence uint64, term time.Duration) {
	if sequence <= l.invalidThrough {
		return
	}
	for _, r := range l.sentRequests {
		if r.sequence != sequence {
			continue
		}
		expires := r.at.Add(term - term*MaxClockDriftPercent/100)
		if expires.After(l.expires) {
			l.expires = expires
		}
	}
}

// invalidate ends the lease and ignores the grants of all requests up to the
// sequence, which is the last one sent.
func (l *heldLease) invalidate(sequence uint64) {
	l.expires = time.Time{}
	l.invalidThrough = sequence
	l.sentRequests = nil
}

// requestLeases renews the leases of all shards that this VM leads. A lease of the
// configuration leader is requested only where needsLeaderLease reports so, which
// keeps the leader's cost independent of the number of healthy shards.
func (m *Manager) requestLeases(now time.Time) {
	claims := map[domain.VM][]Claim{}
	for _, r := range m.sortedReplicas {
		if !r.requestsLeases() {
			continue
		}
		c := Claim{r.id, r.assignment.Epoch}
		if r.usesBackupLease() {
			claims[r.assignment.Backup] = append(claims[r.assignment.Backup], c)
		}
		if m.leader != "" && r.needsLeaderLease(now) && !(r.usesBackupLease() && m.leader == r.assignment.Backup) {
			claims[m.leader] = append(claims[m.leader], c)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(claims)) {
		m.sendLeaseRequest(now, vm, claims[vm])
	}
}

func (m *Manager) sendLeaseRequest(now time.Time, vm domain.VM, claims []Claim) {
	m.requestSequence++
	for _, c := range claims {
		r := m.replicas[c.Shard]
		if vm == r.assignment.Backup {
			r.backupLease.recordRequest(m.requestSequence, now)
		}
		if vm == m.leader {
			r.leaderLease.recordRequest(m.requestSequence, now)
		}
	}
	m.send(vm, &LeaseRequest{Incarnation: m.config.Incarnation, Sequence: m.requestSequence, Claims: claims})
}

// grantLeases answers a lease request as the backup. A claim above the applied
// epoch is granted too: only a committed configuration lets an owner claim it,
// and the grant restricts this VM alone. On the configuration leader the same
// message also goes to LeaderGrantor.
func (m *Manager) grantLeases(now time.Time, from domain.VM, request *LeaseRequest) {
	if m.view == nil {
		return
	}
	grant := &LeaseGrant{Incarnation: request.Incarnation, Sequence: request.Sequence}
	for _, c := range request.Claims {
		if c.Shard.DataCentre != m.config.DataCentre {
			continue
		}
		r := m.replica(c.Shard)
		a := r.assignment
		named := a.Owner == from && a.Backup == m.config.Self
		if !named && a.Epoch >= c.Epoch {
			continue
		}
		r.recordGrant(grantedLease{from, request.Incarnation, request.Sequence, now.Add(m.config.LeaseTerm)})
		grant.Claims = append(grant.Claims, c)
	}
	if len(grant.Claims) > 0 {
		m.send(from, grant)
	}
}

func (m *Manager) acceptGrant(from domain.VM, grant *LeaseGrant) {
	if grant.Incarnation != m.config.Incarnation {
		return
	}
	for _, c := range grant.Claims {
		r := m.replicas[c.Shard]
		if r == nil || r.assignment.Owner != m.config.Self {
			continue
		}
		switch {
		case grant.FromLeader && c.Epoch == r.assignment.Epoch:
			r.leaderLease.accept(grant.Sequence, m.config.LeaseTerm)
		case !grant.FromLeader && from == r.assignment.Backup:
			r.backupLease.accept(grant.Sequence, m.config.LeaseTerm)
		}
	}
}

func (m *Manager) acceptRelease(from domain.VM, release *Release) {
	for _, id := range release.Shards {
		if r := m.replicas[id]; r != nil {
			r.granted.release(from, release)
		}
	}
}
