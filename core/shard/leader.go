package shard

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// grantedLease is a lease that this VM granted to another VM. Until it expires, a
// backup does not lead the shard itself, and the configuration leader proposes no
// other owner.
type grantedLease struct {
	holder                domain.VM
	incarnation, sequence uint64
	expires               time.Time
}

// release ends the granted lease, unless the release is older than the last grant.
func (l *grantedLease) release(from domain.VM, m *Release) {
	if l.holder == from && l.incarnation == m.Incarnation && m.Sequence >= l.sequence {
		l.expires = time.Time{}
	}
}

// LeaderGrantor grants ownership leases on the configuration leader. The leading
// argument of its methods is the result of raft's LeaderLease at the same time.
// Before Elected it grants no lease and permits no proposal, because until then a
// log entry of an earlier raft term could still change an owner after a grant.
type LeaderGrantor struct {
	leaseTerm     time.Duration
	view          *config.View
	electedAt     time.Time
	elected       bool
	grants        map[domain.ShardID]*grantedLease
	pendingEpochs map[domain.ShardID]domain.Epoch
}

// NewLeaderGrantor returns a grantor for leases of the given term. It grants
// nothing before Configure and Elected.
func NewLeaderGrantor(term time.Duration) *LeaderGrantor {
	return &LeaderGrantor{leaseTerm: term, grants: map[domain.ShardID]*grantedLease{}, pendingEpochs: map[domain.ShardID]domain.Epoch{}}
}

// Configure sets the applied configuration that claims are checked against.
func (g *LeaderGrantor) Configure(v *config.View) { g.view = v }

// Elected starts a term of leadership. It must be called once for each raft term,
// when the VM leads and has applied an entry of that term. By then the changes of
// earlier raft terms are either applied or lost, and the leases that earlier
// leaders granted expire within one lease term from now.
func (g *LeaderGrantor) Elected(now time.Time) {
	g.electedAt = now
	g.elected = true
	clear(g.pendingEpochs)
}

// HandleRequest answers a lease request. It grants the claims that match the
// applied configuration and whose shard has no pending change of owner.
func (g *LeaderGrantor) HandleRequest(now time.Time, from domain.VM, m *LeaseRequest, leading bool) []domain.Send {
	if !leading || !g.elected || g.view == nil {
		return nil
	}
	grant := &LeaseGrant{Incarnation: m.Incarnation, Sequence: m.Sequence, FromLeader: true}
	for _, c := range m.Claims {
		a := g.view.Assignment(c.Shard)
		if a.Owner != from || a.Epoch != c.Epoch || g.reassigning(a) {
			continue
		}
		g.grants[c.Shard] = &grantedLease{from, m.Incarnation, m.Sequence, now.Add(g.leaseTerm)}
		grant.Claims = append(grant.Claims, c)
	}
	return []domain.Send{{To: from, Body: grant}}
}

// HandleRelease ends the leases that their holder has released.
func (g *LeaderGrantor) HandleRelease(from domain.VM, m *Release) {
	for _, id := range m.Shards {
		if lease := g.grants[id]; lease != nil {
			lease.release(from, m)
		}
	}
}

// MayPropose reports whether the leader may propose an assignment now. It must be
// called for every AssignShard, including those that owners propose. A change of
// owner has to wait until the lease granted to the old owner has expired. After a
// true result the caller must propose the command, because no further lease is
// granted at the old epoch.
func (g *LeaderGrantor) MayPropose(now time.Time, c *config.AssignShard, leading bool) bool {
	if !leading || !g.elected || g.view == nil {
		return false
	}
	a := g.view.Assignment(c.Assignment.Shard)
	if a.Epoch != c.PreviousEpoch {
		return false
	}
	if a.Owner == "" || a.Owner == c.Assignment.Owner {
		return true
	}
	lease := g.grants[a.Shard]
	if now.Before(g.electedAt.Add(g.leaseTerm)) || lease != nil && now.Before(lease.expires) {
		return false
	}
	g.pendingEpochs[a.Shard] = a.Epoch
	return true
}

// reassigning reports whether a change of owner was proposed at the epoch of the
// assignment.
func (g *LeaderGrantor) reassigning(a config.Assignment) bool {
	epoch, ok := g.pendingEpochs[a.Shard]
	return ok && epoch == a.Epoch
}
