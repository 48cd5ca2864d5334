package shard

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// grantedLease is a lease given to another VM.
type grantedLease struct {
	holder                domain.VM
	incarnation, sequence uint64
	expires               time.Time
}

// release ends the promise when the release is not older than the last grant.
func (l *grantedLease) release(from domain.VM, m *Release) {
	if l.holder == from && l.incarnation == m.Incarnation && m.Sequence >= l.sequence {
		l.expires = time.Time{}
	}
}

// LeaderGrantor is the configuration leader's side of the leases. Its leading
// arguments are the result of raft's LeaderLease at the same time. It acts only
// after Elected, because until then an inherited log entry could still change an
// owner after a grant.
type LeaderGrantor struct {
	leaseTerm     time.Duration
	view          *config.View
	electedAt     time.Time
	elected       bool
	grants        map[domain.ShardID]*grantedLease
	pendingEpochs map[domain.ShardID]domain.Epoch
}

// NewLeaderGrantor returns a grantor that does not lead.
func NewLeaderGrantor(term time.Duration) *LeaderGrantor {
	return &LeaderGrantor{leaseTerm: term, grants: map[domain.ShardID]*grantedLease{}, pendingEpochs: map[domain.ShardID]domain.Epoch{}}
}

// Configure sets the applied configuration.
func (g *LeaderGrantor) Configure(v *config.View) { g.view = v }

// Elected starts a term of leadership. Call it once for each raft term, when
// the VM leads and has applied an entry of that term. Changes of earlier terms
// are then applied or lost, and the promises of earlier leaders end within one
// lease term from now.
func (g *LeaderGrantor) Elected(now time.Time) {
	g.electedAt = now
	g.elected = true
	clear(g.pendingEpochs)
}

// HandleRequest answers a lease request. It grants claims that match the applied
// configuration and have no reassignment under way.
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

// HandleRelease ends promises that their holder gave up.
func (g *LeaderGrantor) HandleRelease(from domain.VM, m *Release) {
	for _, id := range m.Shards {
		if lease := g.grants[id]; lease != nil {
			lease.release(from, m)
		}
	}
}

// MayPropose reports whether the leader may put an assignment into the log now.
// It must be asked for every AssignShard, also for those of owners. A change of
// the owner waits until the promise to the old one has ended. After a true result
// the caller must propose the command, because no lease is granted at the old
// epoch any more.
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

func (g *LeaderGrantor) reassigning(a config.Assignment) bool {
	epoch, ok := g.pendingEpochs[a.Shard]
	return ok && epoch == a.Epoch
}
