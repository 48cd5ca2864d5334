package shard

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// peer is the owner's record of how far a follower has replicated the log.
type peer struct {
	incarnation uint64
	// acknowledged is set by the first acknowledgement of this incarnation.
	acknowledged bool
	// complete is the Complete flag of the follower's last reply.
	complete              bool
	ackedIndex, nextIndex uint64
	snapshot              *outgoingSnapshot
	nextProbe             time.Time
}

// outgoingSnapshot is a snapshot that is being sent to a peer, one part at a time.
type outgoingSnapshot struct {
	base    Position
	records []domain.Record
	part    uint32
}

// snapshotParts collects the parts of a snapshot that is being received.
type snapshotParts struct {
	base     Position
	records  []domain.Record
	nextPart uint32
}

func (r *replica) peer(vm domain.VM) *peer {
	p := r.peers[vm]
	if p == nil {
		p = &peer{nextIndex: r.log.lastPosition().Index + 1}
		r.peers[vm] = p
	}
	return p
}

// followers lists the VMs that receive the log: the required backups and the learner.
func (r *replica) followers() []domain.VM {
	var out []domain.VM
	for _, vm := range append(r.requiredBackups(), r.assignment.Learner) {
		if vm != "" && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// replicate sends each follower the entries that have not been sent to it yet.
func (r *replica) replicate() {
	for _, vm := range r.followers() {
		r.sendEntries(vm, r.peer(vm))
	}
}

// resend sends unacknowledged entries and snapshot parts again, and probes idle
// followers so that the loss of a copy is detected.
func (r *replica) resend(now time.Time) {
	if !r.leading {
		return
	}
	for _, vm := range r.followers() {
		p := r.peer(vm)
		if p.snapshot != nil {
			r.sendSnapshotPart(vm, p)
		}
		if p.ackedIndex >= r.log.lastPosition().Index && p.acknowledged && now.Before(p.nextProbe) {
			continue
		}
		p.nextProbe = now.Add(r.manager.config.RenewInterval)
		if p.acknowledged {
			p.nextIndex = p.ackedIndex + 1
		}
		r.sendEntries(vm, p)
	}
}

// sendEntries sends the next batch of entries to a peer, or a snapshot when the log
// is compacted beyond them.
func (r *replica) sendEntries(vm domain.VM, p *peer) {
	previous, ok := r.log.positionAt(p.nextIndex - 1)
	if !ok {
		if p.snapshot == nil {
			r.startSnapshot(vm, p)
		}
		return
	}
	entries := r.log.entriesAfter(previous.Index, r.manager.config.MaxBatch)
	p.nextIndex += uint64(len(entries))
	r.manager.send(vm, &Append{r.id, r.assignment.Epoch, previous, entries, r.committedIndex, p.incarnation})
}

// sendSnapshots sends a new snapshot to all followers, so that they can compact
// their logs too.
func (r *replica) sendSnapshots() {
	for _, vm := range r.followers() {
		r.startSnapshot(vm, r.peer(vm))
	}
}

func (r *replica) startSnapshot(vm domain.VM, p *peer) {
	p.snapshot = &outgoingSnapshot{base: r.log.base, records: r.log.snapshot}
	r.sendSnapshotPart(vm, p)
}

func (r *replica) sendSnapshotPart(vm domain.VM, p *peer) {
	batch := r.manager.config.MaxBatch
	parts := max(1, (len(p.snapshot.records)+batch-1)/batch)
	low := min(int(p.snapshot.part)*batch, len(p.snapshot.records))
	high := min(low+batch, len(p.snapshot.records))
	r.manager.send(vm, &State{r.id, r.assignment.Epoch, p.snapshot.base, p.snapshot.part, uint32(parts), p.snapshot.records[low:high]})
}

// acceptSource reports whether replicated data of a sender at an epoch is accepted,
// and if so adopts both as source and accepted epoch. Data of an older epoch, or
// of a VM that the applied configuration has replaced, is ignored, and a leading
// replica accepts none.
func (r *replica) acceptSource(from domain.VM, epoch domain.Epoch) bool {
	replaced := r.assignment.Epoch >= epoch && r.assignment.Owner != from
	if epoch < r.acceptedEpoch || replaced || r.leading {
		return false
	}
	if epoch > r.acceptedEpoch || r.source != from {
		r.acceptedEpoch, r.source, r.matchedIndex, r.incomingSnapshot = epoch, from, 0, nil
	}
	return true
}

func (r *replica) receiveAppend(from domain.VM, a *Append) {
	if !r.acceptSource(from, a.Epoch) {
		return
	}
	if a.Previous.Index > r.log.lastPosition().Index {
		r.reject(from, r.log.lastPosition().Index)
		return
	}
	if known, ok := r.log.positionAt(a.Previous.Index); ok && known != a.Previous {
		r.reject(from, max(a.Previous.Index, 1)-1)
		return
	}
	r.merge(a.Entries)
	r.matchedIndex = max(r.matchedIndex, a.Previous.Index+uint64(len(a.Entries)))
	if r.matchedIndex >= a.Commit && a.Receiver == r.manager.config.Incarnation {
		r.markComplete()
	}
	r.acknowledge(from)
}

// merge keeps the entries that match the log, and replaces the log from the first
// one that is missing or conflicts.
func (r *replica) merge(entries []Entry) {
	for i, e := range entries {
		known, ok := r.log.positionAt(e.Index)
		if e.Index <= r.log.base.Index || ok && known == e.Position {
			continue
		}
		if ok {
			r.log.truncate(e.Index)
			r.lowerPersistedIndex(e.Index - 1)
		}
		r.appendEntries(entries[i:])
		return
	}
}

// acknowledge reports the last index that is both durable and known to match.
func (r *replica) acknowledge(to domain.VM) {
	r.reply(to, &AppendReply{Index: min(r.persistedIndex, r.matchedIndex)})
}

func (r *replica) reject(to domain.VM, hint uint64) {
	r.reply(to, &AppendReply{Index: hint, Rejected: true})
}

func (r *replica) reply(to domain.VM, message *AppendReply) {
	message.Shard, message.Epoch, message.Incarnation, message.Complete = r.id, r.acceptedEpoch, r.manager.config.Incarnation, r.complete
	r.manager.send(to, message)
}

func (r *replica) receiveReply(from domain.VM, reply *AppendReply) {
	p := r.peers[from]
	if p == nil || !r.leading || reply.Epoch < r.leadEpoch || reply.Incarnation < p.incarnation {
		return
	}
	if reply.Incarnation > p.incarnation {
		*p = peer{incarnation: reply.Incarnation, nextIndex: p.nextIndex}
	}
	confirm := !p.complete && !reply.Complete && !p.acknowledged
	p.complete = reply.Complete
	if p.snapshot != nil && reply.NextPart != p.snapshot.part && reply.Copy == p.snapshot.base {
		r.acceptPartAck(from, p, reply.NextPart)
	}
	if reply.Rejected {
		r.rewind(from, p, reply.Index)
		return
	}
	p.acknowledged = true
	p.ackedIndex = max(p.ackedIndex, reply.Index)
	p.nextIndex = max(p.nextIndex, p.ackedIndex+1)
	if p.nextIndex <= r.log.lastPosition().Index || confirm {
		r.sendEntries(from, p)
	}
}

// acceptPartAck continues a snapshot with the part that the receiver requests. That
// can be an earlier part, because a receiver starts over at a new epoch.
func (r *replica) acceptPartAck(vm domain.VM, p *peer, next uint32) {
	p.snapshot.part = next
	if int(next)*r.manager.config.MaxBatch < len(p.snapshot.records) {
		r.sendSnapshotPart(vm, p)
		return
	}
	p.nextIndex = max(p.nextIndex, p.snapshot.base.Index+1)
	p.snapshot = nil
}

// rewind continues with the entries after the index that the receiver returned as a
// hint. A delayed rejection that precedes an acknowledgement is ignored.
func (r *replica) rewind(vm domain.VM, p *peer, hint uint64) {
	if hint < p.ackedIndex || hint+1 >= p.nextIndex && p.acknowledged {
		return
	}
	p.nextIndex = min(p.nextIndex, hint+1)
	r.sendEntries(vm, p)
}

func (r *replica) receiveState(from domain.VM, state *State) {
	if !r.acceptSource(from, state.Epoch) {
		return
	}
	if state.Base.Index <= r.log.base.Index && r.log.base.Index > 0 {
		r.matchedIndex = max(r.matchedIndex, state.Base.Index)
		r.acknowledgePart(from, state.Base, state.Parts)
		return
	}
	if r.incomingSnapshot == nil || r.incomingSnapshot.base != state.Base {
		r.incomingSnapshot = &snapshotParts{base: state.Base}
	}
	if state.Part == r.incomingSnapshot.nextPart {
		r.incomingSnapshot.records = append(r.incomingSnapshot.records, state.Records...)
		r.incomingSnapshot.nextPart++
	}
	next := r.incomingSnapshot.nextPart
	if next == state.Parts {
		r.installSnapshot(r.incomingSnapshot)
		r.incomingSnapshot = nil
	}
	r.acknowledgePart(from, state.Base, next)
}

// installSnapshot replaces the log with a received snapshot. If the log already
// holds the snapshot's base, it is only compacted.
func (r *replica) installSnapshot(parts *snapshotParts) {
	known, ok := r.log.positionAt(parts.base.Index)
	if ok && known == parts.base {
		r.log.compact(parts.base, parts.records)
		r.store(&StoredSnapshot{Shard: r.id, Base: parts.base, Records: parts.records})
	} else {
		r.lowerPersistedIndex(0)
		r.complete = false
		r.log = shardLog{base: parts.base, snapshot: parts.records}
		r.store(&StoredSnapshot{Shard: r.id, Base: parts.base, Reset: true, Records: parts.records})
	}
	r.matchedIndex = max(r.matchedIndex, parts.base.Index)
}

func (r *replica) acknowledgePart(to domain.VM, base Position, next uint32) {
	r.reply(to, &AppendReply{Index: min(r.persistedIndex, r.matchedIndex), NextPart: next, Copy: base})
}
