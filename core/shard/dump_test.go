package shard

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Guards against a dump that restores a different state than the stream of
// individual records that it replaces.
func TestDumpRestoresReplicas(t *testing.T) {
	now := time.Unix(1_000, 0)
	id := domain.ShardID{DataCentre: "a", Number: 1}
	records := []domain.Record{
		&StoredComplete{Shard: id},
		&Stored{id, Entry{Position{1, 1}, &StoredComplete{}}},
		&Stored{id, Entry{Position{1, 2}, &StoredComplete{}}},
		&StoredSnapshot{Shard: id, Base: Position{1, 1}, Records: []domain.Record{&StoredComplete{}}},
		&Stored{id, Entry{Position{2, 3}, &StoredComplete{}}},
	}
	restore := func(from []domain.Record) *replica {
		m := New(Config{Self: "a1", DataCentre: "a", Incarnation: 1, HasDisk: true}, now)
		m.Restore(from)
		return m.replica(id)
	}
	first := restore(records)
	_, dumped := first.manager.Dump()
	second := restore(dumped)
	must.Eq(t, first.log.base, second.log.base)
	must.Eq(t, first.log.entries, second.log.entries)
	must.Eq(t, first.log.snapshot, second.log.snapshot)
	must.Eq(t, first.complete, second.complete)
	must.Eq(t, first.acceptedEpoch, second.acceptedEpoch)
}
