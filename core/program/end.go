package program

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// Configure applies the configuration in force and ends the programs of client
// accounts that it disables.
func (s *Store) Configure(now time.Time, v *config.View) Effects {
	var e Effects
	s.configure(now, v, &e)
	return s.result(e)
}

func (s *Store) configure(now time.Time, v *config.View, e *Effects) {
	before := s.view
	s.view = v
	s.ledger.Configure(v)
	disabled := map[domain.Account]bool{}
	for _, a := range v.Accounts() {
		if a.Disabled && (before == nil || before.Account(a.Name) == nil || !before.Account(a.Name).Disabled) {
			disabled[a.Name] = true
		}
	}
	if len(disabled) > 0 && s.active {
		s.endWhere(now, domain.ReasonKeyWithdrawn, e, func(p *program) bool { return disabled[p.id.Account] })
	}
}

// endWhere ends the selected programs in the order of their names, so that the
// order of the records is deterministic.
func (s *Store) endWhere(now time.Time, reason domain.Reason, e *Effects, selected func(*program) bool) {
	var found []*program
	for _, p := range s.programs {
		if p.ended == 0 && selected(p) {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(a, b *program) int { return compareIDs(a.id, b.id) })
	for _, p := range found {
		s.end(now, p, reason, e)
	}
}

func compareIDs(a, b domain.ProgramID) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Name, b.Name))
}

// end ends a program and its children. Queued calls are refused as not run. A
// call in flight is cancelled and not charged.
func (s *Store) end(now time.Time, p *program, reason domain.Reason, e *Effects) {
	if p.ended != 0 {
		return
	}
	if p.children > 0 {
		s.endWhere(now, reason, e, func(q *program) bool { return q.id.Account == p.id.Account && q.parent == p.id.Name })
	}
	queue := p.queue
	p.queue = nil
	for _, c := range queue {
		s.removeCall(c)
		e.refuseCall(c, endedRefusal(reason, domain.OutcomeNotRun))
	}
	if c := p.active; c != nil && c.state != running {
		s.discard(now, c, endedRefusal(reason, domain.OutcomeNotRun), e)
	} else if c != nil {
		s.removeRunning(c)
		e.cancel(c, reason)
	}
	if p.started == 0 {
		s.removeUnused(p)
		return
	}
	s.emit(e, &ProgramEnded{Program: p.id, Reason: reason, At: now})
	for _, t := range p.targets {
		s.sendRelease(now, Release{Program: p.id, Target: t}, e)
	}
}

// sendRelease sends a release order with the epoch as fencing token.
func (s *Store) sendRelease(now time.Time, r Release, e *Effects) {
	s.releases[r] = now
	r.Epoch = s.epoch
	e.deferred.releases = append(e.deferred.releases, r)
}

// Released records that a target has confirmed a release order.
func (s *Store) Released(now time.Time, id domain.ProgramID, target domain.Target) Effects {
	var e Effects
	if _, ok := s.releases[Release{Program: id, Target: target}]; ok {
		s.emit(&e, &ReleaseConfirmed{Program: id, Target: target, At: now})
	}
	return s.result(e)
}

func (s *Store) endRequest(now time.Time, m *EndProgram, e *Effects) {
	reply := &EndProgramReply{Request: m.Request, Program: m.Program}
	if p := s.programs[m.Program]; p != nil {
		s.end(now, p, domain.ReasonProgramEnded, e)
	} else {
		reply.Refusal = domain.NotRun(domain.ReasonProgramUnknown, "no program %s is known; check its name", m.Program.Name)
	}
	e.reply(m.From, reply)
}

func (s *Store) get(m *GetProgram, e *Effects) {
	reply := &GetProgramReply{Request: m.Request, Program: m.Program}
	if p := s.programs[m.Program]; p != nil && p.started != 0 {
		reply.Found, reply.Parent, reply.Started, reply.EndReason = true, p.parent, timeOf(p.started), p.reason
		reply.Running = p.active != nil && p.active.state == running
		reply.Waiting = len(p.queue)
		reply.Spent, reply.Reserved, reply.Budget = p.spent, p.reserved, s.budget(p)
		reply.History = slices.Clone(p.turns)
	}
	e.reply(m.From, reply)
}

func timeOf(nanoseconds int64) time.Time { return time.Unix(0, nanoseconds).UTC() }

func (s *Store) tick(now time.Time, e *Effects) {
	s.lastTick = now
	s.addLedger(e, s.ledger.Tick(now))
	s.retryBudget(now, e)
	for _, id := range slices.Sorted(maps.Keys(s.cancels)) {
		c := s.cancels[id]
		if call := s.calls[id]; call != nil && now.Sub(c.sentAt) >= cancelRetryInterval {
			s.cancels[id] = cancel{c.reason, now}
			e.cancel(call, c.reason)
		}
	}
	s.repeatReleases(now, e)
	if now.Sub(s.lastScan) >= scanInterval {
		s.scan(now, e)
	}
}

// repeatReleases sends unconfirmed release orders again. A target that is no
// longer configured counts as released, because its memory is gone.
func (s *Store) repeatReleases(now time.Time, e *Effects) {
	var due []Release
	for r, sent := range s.releases {
		if now.Sub(sent) >= releaseRetryInterval {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b Release) int {
		return cmp.Or(compareIDs(a.Program, b.Program), cmp.Compare(a.Target, b.Target))
	})
	for _, r := range due {
		if s.view.Target(r.Target) == nil {
			s.emit(e, &ReleaseConfirmed{Program: r.Program, Target: r.Target, At: now})
			continue
		}
		s.sendRelease(now, r, e)
	}
}

// scan ends programs that are idle or exceed the wall time. A parent is not
// idle while it has children. scan also repeats StartCall for running calls: an
// entry VM that no longer has the call reports its end, and without the repeat
// a lost report would block the program.
func (s *Store) scan(now time.Time, e *Effects) {
	s.lastScan = now
	if limit := s.view.Preset().MaxWallTime; limit > 0 {
		s.endWhere(now, domain.ReasonTimeLimit, e, func(p *program) bool {
			return p.started != 0 && now.UnixNano()-p.started >= int64(limit)
		})
	}
	s.endWhere(now, domain.ReasonProgramEnded, e, func(p *program) bool {
		return p.active == nil && len(p.queue) == 0 && p.children == 0 && now.UnixNano()-p.lastUsed >= int64(idleTimeout)
	})
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		if c := s.calls[id]; c.state == running {
			s.sendStart(c, e)
		}
	}
}

// expire removes outcomes, keys and ended programs whose retention is over.
// Keys of calls in flight and programs with unconfirmed release orders stay.
func (s *Store) expire(now time.Time, e *Effects) {
	for len(s.doneOrder) > 0 && now.Sub(s.doneOrder[0].At) >= outcomeRetention {
		if d := s.doneOrder[0]; s.done[d.Call] == d {
			delete(s.done, d.Call)
		}
		s.doneOrder = s.doneOrder[1:]
	}
	for n := len(s.keyOrder); n > 0 && now.Sub(s.keyOrder[0].At) >= keyRetention; n-- {
		k := s.keyOrder[0]
		s.keyOrder = s.keyOrder[1:]
		if id := (keyID{k.Program, k.Key}); s.keys[id] != k {
			continue
		} else if k.State == keyStarted {
			s.keyOrder = append(s.keyOrder, k)
		} else {
			delete(s.keys, id)
		}
	}
	if now.Sub(s.lastExpiry) < scanInterval {
		return
	}
	s.lastExpiry = now
	s.endOrder = slices.DeleteFunc(s.endOrder, func(p *program) bool {
		old := len(p.targets) == 0 && now.Sub(timeOf(p.ended)) >= endedRetention
		if old && s.programs[p.id] == p {
			delete(s.programs, p.id)
			e.Expired = append(e.Expired, p.id)
		}
		return old
	})
}
