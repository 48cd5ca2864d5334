package shard

import "github.com/mangoknot/mangoknot/core/domain"

// Dump returns the records that rebuild every replica of this VM, and the token
// of the last write. The node replaces its durable stream with them, because a
// stream of individual records grows without bound.
func (m *Manager) Dump() (token uint64, records []domain.Record) {
	for _, r := range m.sortedReplicas {
		records = append(records, r.dump()...)
	}
	return m.writeToken, records
}

func (r *replica) dump() []domain.Record {
	out := []domain.Record{&StoredSnapshot{Shard: r.id, Base: r.log.base, Reset: true, Records: r.log.snapshot}}
	for _, e := range r.log.entries {
		out = append(out, &Stored{r.id, e})
	}
	if r.complete {
		out = append(out, &StoredComplete{Shard: r.id})
	}
	return out
}
