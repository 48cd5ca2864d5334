package shard

import (
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
)

// peer is the owner's view of one copy.
type peer struct {
	incarnation uint64
	// known is set by the first acknowledgement of this incarnation.
	known bool
	// complete repeats the receiver's own flag.
	complete    bool
	acked, next uint64
	copy        *outgoingCopy
	nextProbe   time.Time
}

// outgoingCopy is a snapshot under way to a peer, one part at a time.
type outgoingCopy struct {
	base    Position
	records []domain.Record
	part    uint32
}

// incomingCopy collects the parts of a snapshot.
type incomingCopy struct {
	base    Position
	records []domain.Record
	next    uint32
}

func (s *replica) peer(vm domain.VM) *peer {
	p := s.peers[vm]
	if p == nil {
		p = &peer{next: s.log.last().Index + 1}
		s.peers[vm] = p
	}
	return p
}

// holders lists the VMs that receive the log.
func (s *replica) holders() []domain.VM {
	var out []domain.VM
	for _, vm := range append(s.requiredBackups(), s.assignment.Learner) {
		if vm != "" && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// replicate sends the entries that were not sent before.
func (s *replica) replicate() {
	for _, vm := range s.holders() {
		s.sendEntries(vm, s.peer(vm))
	}
}

// resend repeats what was not acknowledged and probes idle copies, so that the
// loss of a copy is noticed.
func (s *replica) resend(now time.Time) {
	if !s.leading {
		return
	}
	for _, vm := range s.holders() {
		p := s.peer(vm)
		if p.copy != nil {
			s.sendPart(vm, p)
		}
		if p.acked >= s.log.last().Index && p.known && now.Before(p.nextProbe) {
			continue
		}
		p.nextProbe = now.Add(s.m.config.Renew)
		if p.known {
			p.next = p.acked + 1
		}
		s.sendEntries(vm, p)
	}
}

func (s *replica) sendEntries(vm domain.VM, p *peer) {
	previous, ok := s.log.at(p.next - 1)
	if !ok {
		if p.copy == nil {
			s.startCopy(vm, p)
		}
		return
	}
	entries := s.log.after(previous.Index, s.m.config.Batch)
	p.next += uint64(len(entries))
	s.m.send(vm, &Append{s.id, s.assignment.Epoch, previous, entries, s.committed, p.incarnation})
}

// copyToHolders sends a new snapshot to the other copies, so that they can
// compact their logs too.
func (s *replica) copyToHolders() {
	for _, vm := range s.holders() {
		s.startCopy(vm, s.peer(vm))
	}
}

func (s *replica) startCopy(vm domain.VM, p *peer) {
	p.copy = &outgoingCopy{base: s.log.base, records: s.log.snapshot}
	s.sendPart(vm, p)
}

func (s *replica) sendPart(vm domain.VM, p *peer) {
	batch := s.m.config.Batch
	parts := max(1, (len(p.copy.records)+batch-1)/batch)
	low := min(int(p.copy.part)*batch, len(p.copy.records))
	high := min(low+batch, len(p.copy.records))
	s.m.send(vm, &State{s.id, s.assignment.Epoch, p.copy.base, p.copy.part, uint32(parts), p.copy.records[low:high]})
}

// accepts checks the sender of replicated data and follows its epoch. Data of
// an older epoch, or of a VM that the applied configuration has replaced, is
// ignored.
func (s *replica) accepts(from domain.VM, epoch domain.Epoch) bool {
	replaced := s.assignment.Epoch >= epoch && s.assignment.Owner != from
	if epoch < s.accepted || replaced || s.leading {
		return false
	}
	if epoch > s.accepted || s.source != from {
		s.accepted, s.source, s.matched, s.incoming = epoch, from, 0, nil
	}
	return true
}

func (s *replica) receiveAppend(from domain.VM, a *Append) {
	if !s.accepts(from, a.Epoch) {
		return
	}
	if a.Previous.Index > s.log.last().Index {
		s.reject(from, s.log.last().Index)
		return
	}
	if known, ok := s.log.at(a.Previous.Index); ok && known != a.Previous {
		s.reject(from, max(a.Previous.Index, 1)-1)
		return
	}
	s.merge(a.Entries)
	s.matched = max(s.matched, a.Previous.Index+uint64(len(a.Entries)))
	if s.matched >= a.Commit && a.Receiver == s.m.config.Incarnation {
		s.markComplete()
	}
	s.acknowledge(from)
}

// merge keeps the entries that match, and replaces the log from the first one
// that does not.
func (s *replica) merge(entries []Entry) {
	for i, e := range entries {
		known, ok := s.log.at(e.Index)
		if e.Index <= s.log.base.Index || ok && known == e.Position {
			continue
		}
		if ok {
			s.log.truncate(e.Index)
			s.forget(e.Index - 1)
		}
		s.extend(entries[i:])
		return
	}
}

func (s *replica) acknowledge(to domain.VM) {
	s.reply(to, &AppendReply{Index: min(s.persisted, s.matched)})
}

func (s *replica) reject(to domain.VM, hint uint64) {
	s.reply(to, &AppendReply{Index: hint, Rejected: true})
}

func (s *replica) reply(to domain.VM, r *AppendReply) {
	r.Shard, r.Epoch, r.Incarnation, r.Complete = s.id, s.accepted, s.m.config.Incarnation, s.complete
	s.m.send(to, r)
}

func (s *replica) receiveReply(from domain.VM, r *AppendReply) {
	p := s.peers[from]
	if p == nil || !s.leading || r.Epoch < s.since || r.Incarnation < p.incarnation {
		return
	}
	if r.Incarnation > p.incarnation {
		*p = peer{incarnation: r.Incarnation, next: p.next}
	}
	confirm := !p.complete && !r.Complete && !p.known
	p.complete = r.Complete
	if p.copy != nil && r.NextPart != p.copy.part && r.Copy == p.copy.base {
		s.copied(from, p, r.NextPart)
	}
	if r.Rejected {
		s.backOff(from, p, r.Index)
		return
	}
	p.known = true
	p.acked = max(p.acked, r.Index)
	p.next = max(p.next, p.acked+1)
	if p.next <= s.log.last().Index || confirm {
		s.sendEntries(from, p)
	}
}

// copied continues with the part that the receiver names. That can be an earlier
// one, because a receiver starts again at a new epoch.
func (s *replica) copied(vm domain.VM, p *peer, next uint32) {
	p.copy.part = next
	if int(next)*s.m.config.Batch < len(p.copy.records) {
		s.sendPart(vm, p)
		return
	}
	p.next = max(p.next, p.copy.base.Index+1)
	p.copy = nil
}

// backOff continues after the index that the receiver names. A delayed
// rejection, older than an acknowledgement, is ignored.
func (s *replica) backOff(vm domain.VM, p *peer, hint uint64) {
	if hint < p.acked || hint+1 >= p.next && p.known {
		return
	}
	p.next = min(p.next, hint+1)
	s.sendEntries(vm, p)
}

func (s *replica) receiveState(from domain.VM, m *State) {
	if !s.accepts(from, m.Epoch) {
		return
	}
	if m.Base.Index <= s.log.base.Index && s.log.base.Index > 0 {
		s.matched = max(s.matched, m.Base.Index)
		s.confirmPart(from, m.Base, m.Parts)
		return
	}
	if s.incoming == nil || s.incoming.base != m.Base {
		s.incoming = &incomingCopy{base: m.Base}
	}
	if m.Part == s.incoming.next {
		s.incoming.records = append(s.incoming.records, m.Records...)
		s.incoming.next++
	}
	next := s.incoming.next
	if next == m.Parts {
		s.install(s.incoming)
		s.incoming = nil
	}
	s.confirmPart(from, m.Base, next)
}

// install replaces the log by a snapshot, or compacts it when the log holds the
// snapshot's last record already.
func (s *replica) install(c *incomingCopy) {
	known, ok := s.log.at(c.base.Index)
	if ok && known == c.base {
		s.log.compact(c.base, c.records)
		s.store(&StoredSnapshot{Shard: s.id, Base: c.base, Records: c.records})
	} else {
		s.forget(0)
		s.complete = false
		s.log = shardLog{base: c.base, snapshot: c.records}
		s.store(&StoredSnapshot{Shard: s.id, Base: c.base, Reset: true, Records: c.records})
	}
	s.matched = max(s.matched, c.base.Index)
}

func (s *replica) confirmPart(to domain.VM, base Position, next uint32) {
	s.reply(to, &AppendReply{Index: min(s.persisted, s.matched), NextPart: next, Copy: base})
}
