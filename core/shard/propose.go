package shard

import (
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// proposeRestart moves a restarted owner to an epoch that no earlier process
// used. An owner whose copy was lost gives the shard to its backup instead.
func (s *replica) proposeRestart(now time.Time) {
	a := s.assignment
	switch {
	case a.Epoch > s.floor && s.complete:
		return // waits for promises to end
	case s.complete:
	case a.Backup != "":
		a.Owner, a.Backup, a.Learner = a.Backup, "", s.m.config.Self
	default:
		return // the only copy was lost; see AcceptLoss
	}
	s.emit(now, a)
}

// propose changes the holders of a shard that this VM leads.
func (s *replica) propose(now time.Time) {
	if s.handedOver {
		s.emit(now, s.proposed[len(s.proposed)-1])
		return
	}
	if next := s.replacement(); next != nil {
		s.frozen = false
		if now.Before(s.leaderLease.until) {
			s.emit(now, *next)
		}
		return
	}
	s.frozen = s.active && len(s.proposed) == 0 && s.shouldHandOver()
	last := s.log.last().Index
	if s.frozen && s.committed == last && s.peer(s.assignment.Backup).holds(last) {
		s.handOver(now)
	}
}

// replacement returns the assignment that this owner wants instead of the
// current one: a learner with the full copy becomes the backup, and a dead
// backup is removed. It needs the leader's lease, since the backup's no longer
// counts afterwards; a data centre that is cut off therefore keeps its pairs.
func (s *replica) replacement() *config.Assignment {
	a := s.assignment
	copied := max(s.committed, s.inherited)
	switch {
	case a.Learner != "" && s.m.alive(a.Learner) && s.peer(a.Learner).holds(copied):
		a.Backup, a.Learner = a.Learner, ""
	case a.Backup != "" && !s.m.alive(a.Backup):
		a.Backup = ""
	default:
		return nil
	}
	return &a
}

// holds reports whether the peer could take the shard over with everything up
// to the index.
func (p *peer) holds(index uint64) bool { return p.known && p.complete && p.acked >= index }

// shouldHandOver reports whether the backup ought to be the owner: in a planned
// stop, and when the backup has the higher rendezvous rank.
func (s *replica) shouldHandOver() bool {
	b := s.assignment.Backup
	if b == "" || !s.m.alive(b) || !s.m.candidates[b].Eligible {
		return false
	}
	return s.m.draining || s.assignment.Learner == "" && rank(s.id, b) > rank(s.id, s.m.config.Self)
}

// handOver swaps owner and backup. The owner stops before it proposes and
// releases both leases, so the new owner need not wait for them.
func (s *replica) handOver(now time.Time) {
	a := s.assignment
	a.Owner, a.Backup, a.Learner = a.Backup, a.Owner, ""
	s.handedOver = true
	s.leaderLease.drop(s.m.sequence)
	s.backupLease.drop(s.m.sequence)
	release := &Release{s.m.config.Incarnation, s.m.sequence, []domain.ShardID{s.id}}
	s.m.send(s.assignment.Backup, release)
	if s.m.leader != "" && s.m.leader != s.assignment.Backup {
		s.m.send(s.m.leader, release)
	}
	s.emit(now, a)
}

// emit proposes an assignment at the next epoch, at most once an interval.
func (s *replica) emit(now time.Time, a config.Assignment) {
	if now.Before(s.nextProposal) {
		return
	}
	s.nextProposal = now.Add(proposalInterval)
	a.Epoch = s.assignment.Epoch + 1
	s.proposed = append(s.proposed, a)
	if len(s.proposed) > 1 && s.proposed[len(s.proposed)-2] == a {
		s.proposed = s.proposed[:len(s.proposed)-1]
	}
	if a.Backup != s.assignment.Backup {
		s.backupLease.drop(s.m.sequence)
	}
	c := &config.AssignShard{PreviousEpoch: s.assignment.Epoch, Assignment: a}
	s.m.out.Proposals = append(s.m.out.Proposals, c)
}

// alive is false only for a VM that membership has declared dead.
func (m *Manager) alive(vm domain.VM) bool {
	c, known := m.candidates[vm]
	return !known || c.Alive
}
