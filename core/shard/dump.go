package shard

import "github.com/mangoknot/mangoknot/core/domain"

// Dump returns records that rebuild every copy of this VM, and the token of the
// last write. The node replaces its durable stream by them, because the stream
// of single records grows without bound.
func (m *Manager) Dump() (token uint64, records []domain.Record) {
	for _, s := range m.ordered {
		records = append(records, s.dump()...)
	}
	return m.token, records
}

func (s *replica) dump() []domain.Record {
	out := []domain.Record{&StoredSnapshot{Shard: s.id, Base: s.log.base, Reset: true, Records: s.log.snapshot}}
	for _, e := range s.log.entries {
		out = append(out, &Stored{s.id, e})
	}
	if s.complete {
		out = append(out, &StoredComplete{Shard: s.id})
	}
	return out
}
