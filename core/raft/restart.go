package raft

import (
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// A restarted voter does not know to which leader it made a promise, so it
// promises anew and nobody can be elected for an election timeout. When all VMs
// have restarted, no leader can rely on such a promise any more. A restarted
// voter finds that out by asking all replicas twice:
//
//   - In the first round it learns the start of each replica, a random number.
//   - In the second round, which begins after all answers of the first, every
//     replica says again that it does not lead, and has not started anew.
//
// A promise that a voter made before its start was made before the second round
// began. Its leader is among the asked replicas, because sets differ by one
// change and all of them have the same one; it no longer leads, and a new
// leadership needs new promises. So a vote may ignore promises from before the
// start that the second round saw, as long as that voter has heard no leader
// since. Promises made since then are never ignored.

// probeIntervalHeartbeats is the pause between two probes, in heartbeats. A probe takes two
// round trips.
const probeIntervalHeartbeats = 2

// Probe asks a replica whether it leads.
type Probe struct {
	Round uint64
	// LastIndex and LastTerm are those of the asking voter's log.
	LastIndex Index
	LastTerm  Term
}

// MessageName implements domain.Message.
func (*Probe) MessageName() string { return "raft.Probe" }

// ProbeReply answers Probe.
type ProbeReply struct {
	Round   uint64
	Leading bool
	// BootID identifies the start of the replica. Unled says that it has heard no
	// leader since, so that all its promises are older.
	BootID            uint64 `cbor:"Start"`
	NoLeaderSinceBoot bool   `cbor:"Unled"`
	// MembersIndex is the index of the newest set in its log.
	MembersIndex Index
}

// MessageName implements domain.Message.
func (*ProbeReply) MessageName() string { return "raft.ProbeReply" }

// probe is a search for a leader by a restarted voter.
type probe struct {
	round       uint64
	secondRound bool
	// bootIDs holds the answers of the current round, firstBootIDs those of the firstBootIDs one.
	bootIDs, firstBootIDs map[domain.VM]uint64
	// noLeaderSinceBoot lists the voters whose promises are older than their start.
	noLeaderSinceBoot map[domain.VM]bool
}

// startProbing makes the VM look for a leader. Voters that start together do not
// probe together.
func (r *Raft) startProbing(now time.Time) {
	r.bootID, r.noLeaderSinceBoot = r.cfg.Rand.Uint64()|1, true
	r.probeDue = now.Add(r.probeJitter())
}

// tickProbe starts a probe from time to time until a leader is known.
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

// delayProbe sets the time of the next probe. It differs between voters, so that
// those that start together do not split the votes again and again.
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
		// Of several voters that search together the first by name goes on.
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

// endProbe starts an election when a majority has only promises that no leader
// relies on.
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

// clearNoLeader ends the time without a leader since the start.
func (r *Raft) clearNoLeader() { r.noLeaderSinceBoot, r.probe = false, nil }

// mayIgnoreLease says whether a candidate has shown that no leader relies on
// this VM's promise, which was made before its start.
func (r *Raft) mayIgnoreLease(m *Vote) bool {
	return r.noLeaderSinceBoot && r.role != Leader && m.IgnoreLeaseBootID != 0 && m.IgnoreLeaseBootID == r.bootID
}
