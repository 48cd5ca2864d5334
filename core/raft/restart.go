package raft

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Grants of the leader lease are not stored. A restarted voter does not know
// whether it granted one, so it withholds its votes for an election timeout and
// delays any election. When all VMs have restarted, no leader can rely on a lease
// granted before. A restarted voter proves this with a probe, which asks all
// replicas in two rounds:
//
//   - In the first round each replica returns its boot ID, a random number, and
//     whether it leads.
//   - The second round begins after all replies of the first. Each replica must
//     report again that it does not lead, and the same boot ID.
//
// A lease that a voter granted before the boot seen in the second round was
// granted before the second round began, because the first round has returned the
// same boot ID. The leader that holds the lease is among the probed replicas,
// because sets differ by one change and all replicas have reported the same set.
// That leader no longer leads, and leading again requires new lease grants. So a
// vote may ignore leases granted before the boot that the second round saw, as
// long as the voter has had no contact with a leader since. Leases granted after
// that boot are never ignored.

// probeIntervalHeartbeats is the time between two probes, in heartbeats. A probe
// takes two round trips.
const probeIntervalHeartbeats = 2

// Probe asks a replica whether it leads, and for its boot ID.
type Probe struct {
	Round uint64
	// LastIndex and LastTerm describe the last entry of the sender's log.
	LastIndex Index
	LastTerm  Term
}

// MessageName implements domain.Message.
func (*Probe) MessageName() string { return "raft.Probe" }

// ProbeReply answers Probe.
type ProbeReply struct {
	Round   uint64
	Leading bool
	// BootID identifies the start of the replica. NoLeaderSinceBoot reports that
	// it has had no contact with a leader since, so that all leases it granted
	// date from before that boot.
	BootID            uint64 `cbor:"Start"`
	NoLeaderSinceBoot bool   `cbor:"Unled"`
	// MembersIndex is the index of the newest member set in the replica's log.
	MembersIndex Index
}

// MessageName implements domain.Message.
func (*ProbeReply) MessageName() string { return "raft.ProbeReply" }

// probe is a restarted voter's check that no replica leads.
type probe struct {
	round       uint64
	secondRound bool
	// bootIDs holds the boot IDs received in the current round, firstBootIDs
	// those of the first round.
	bootIDs, firstBootIDs map[domain.VM]uint64
	// noLeaderSinceBoot lists the voters that have granted no lease since their
	// boot.
	noLeaderSinceBoot map[domain.VM]bool
}

// startProbing schedules the first probe after a restart, with jitter, so that
// voters that start together do not probe at the same time.
func (r *Raft) startProbing(now time.Time) {
	r.bootID, r.noLeaderSinceBoot = r.cfg.Rand.Uint64()|1, true
	r.probeDue = now.Add(r.probeJitter())
}

// tickProbe starts a new probe whenever one is due, until a leader is known.
func (r *Raft) tickProbe(now time.Time) {
	if !r.noLeaderSinceBoot || r.role == Leader || now.Before(r.probeDue) {
		return
	}
	r.delayProbe(now)
	if !r.electable() || len(r.members.Voters) == 1 {
		return
	}
	r.probe = &probe{firstBootIDs: map[domain.VM]uint64{}}
	r.sendProbes()
}

// delayProbe schedules the next probe, with jitter, so that voters that start
// together do not split the vote repeatedly.
func (r *Raft) delayProbe(now time.Time) {
	r.probeDue = now.Add(probeIntervalHeartbeats*r.cfg.Heartbeat + r.probeJitter())
}

func (r *Raft) probeJitter() time.Duration {
	return time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.Heartbeat)))
}

func (r *Raft) sendProbes() {
	r.probe.round = r.cfg.Rand.Uint64()
	r.probe.bootIDs, r.probe.noLeaderSinceBoot = map[domain.VM]uint64{}, map[domain.VM]bool{r.cfg.ID: true}
	for _, vm := range r.others() {
		r.sendNow(vm, &Probe{Round: r.probe.round, LastIndex: r.log.last(), LastTerm: r.log.lastTerm()})
	}
}

func (r *Raft) stepProbe(now time.Time, from domain.VM, m *Probe) {
	if r.noLeaderSinceBoot && from < r.cfg.ID && r.members.voter(from) && r.upToDate(m.LastIndex, m.LastTerm) {
		// Yields to a voter with a lower name and an up-to-date log, so that one of
		// several probing voters continues.
		r.probe = nil
		r.delayProbe(now)
	}
	r.sendNow(from, &ProbeReply{
		Round: m.Round, Leading: r.role == Leader, BootID: r.bootID, NoLeaderSinceBoot: r.noLeaderSinceBoot, MembersIndex: r.membersIndex,
	})
}

func (r *Raft) stepProbeReply(now time.Time, from domain.VM, m *ProbeReply) {
	p := r.probe
	if p == nil || m.Round != p.round || !r.noLeaderSinceBoot {
		return
	}
	if m.Leading || m.MembersIndex != r.membersIndex || (p.secondRound && p.firstBootIDs[from] != m.BootID) {
		r.probe = nil
		return
	}
	p.bootIDs[from] = m.BootID
	if m.NoLeaderSinceBoot && r.members.voter(from) {
		p.noLeaderSinceBoot[from] = true
	}
	if len(p.bootIDs) < len(r.others()) {
		return
	}
	if !p.secondRound {
		p.secondRound, p.firstBootIDs = true, p.bootIDs
		r.sendProbes()
		return
	}
	r.endProbe(now)
}

// endProbe starts an election if a majority of the voters has granted no lease
// that a leader may rely on.
func (r *Raft) endProbe(now time.Time) {
	p := r.probe
	r.probe = nil
	if len(p.noLeaderSinceBoot) < r.quorum() {
		return
	}
	r.ignoreLeaseBootIDs = map[domain.VM]uint64{}
	for vm := range p.noLeaderSinceBoot {
		r.ignoreLeaseBootIDs[vm] = p.firstBootIDs[vm]
	}
	r.transferVote = false
	r.startElection(now)
	r.ignoreLeaseBootIDs = nil
}

// clearNoLeader records that this VM had contact with a leader or became one, and
// ends the probe.
func (r *Raft) clearNoLeader() { r.noLeaderSinceBoot, r.probe = false, nil }

// mayIgnoreLease reports whether the candidate has proved that no leader relies
// on a lease that this VM granted before its boot.
func (r *Raft) mayIgnoreLease(m *Vote) bool {
	return r.noLeaderSinceBoot && r.role != Leader && m.IgnoreLeaseBootID != 0 && m.IgnoreLeaseBootID == r.bootID
}
