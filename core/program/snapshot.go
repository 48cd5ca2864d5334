package program

import (
	"cmp"
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Snapshot returns records that rebuild the state in a new store, for log
// compaction and for copies to other VMs. Calls that are not running have no
// record and are not included.
func (s *Store) Snapshot() []domain.Record {
	out := s.ledger.Snapshot()
	for _, p := range s.parentsFirst() {
		out = append(out, p.state())
	}
	var keys []*KeyState
	for _, k := range s.keys {
		if k.State != keyQueued {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b *KeyState) int {
		return cmp.Or(a.At.Compare(b.At), compareIDs(a.Program, b.Program), cmp.Compare(a.Key, b.Key))
	})
	for _, k := range keys {
		state := *k
		out = append(out, &state)
	}
	for _, d := range s.doneOrder {
		if s.done[d.Call] == d {
			out = append(out, d)
		}
	}
	return out
}

// parentsFirst returns the started programs, each after its parent, so that
// applying them in order restores the number of children.
func (s *Store) parentsFirst() []*program {
	depths := map[*program]int{}
	var out []*program
	for _, p := range s.programs {
		if p.started != 0 {
			s.forSelfAndAncestors(p, func(*program) { depths[p]++ })
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *program) int {
		return cmp.Or(cmp.Compare(depths[a], depths[b]), cmp.Compare(a.ended, b.ended), compareIDs(a.id, b.id))
	})
	return out
}

func (p *program) state() *ProgramState {
	r := &ProgramState{
		Program: p.id, Parent: p.parent, Started: timeOf(p.started), Used: timeOf(p.lastUsed), Reason: p.reason,
		Turns: slices.Clone(p.turns), Conversation: p.conversation, Targets: slices.Clone(p.targets),
		Spent: p.spent, Reserved: p.reserved, BudgetLimit: p.budgetLimit, LastFingerprint: p.lastFingerprint, Repeats: int(p.repeats),
	}
	if p.ended != 0 {
		r.Ended = timeOf(p.ended)
	}
	if p.active != nil && p.active.state == running {
		r.Running = p.active.started
	}
	return r
}
