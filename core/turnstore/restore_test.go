package turnstore

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/tokens"
)

// Guards against a restarted store that holds all turns since the last compaction, more than its VM
// has memory for (RECOVER in the second review), and against one that lacks a turn which it held
// before. Turns expire, and some are stored again under the same key.
func TestRestoredStoreHoldsWhatItHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		now := time.Unix(1000, 0)
		records := []domain.Record{s.AssignID("a/1")}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "pause")) * time.Second)
			turn := &Turn{
				Key: TurnKey{ID: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))}, Input: []byte("input"),
				Retention: time.Duration(rapid.IntRange(1, 10).Draw(t, "retention")) * time.Second,
			}
			records = append(records, s.CopyTurns(now, []*Turn{turn})...)
			records = append(records, s.Sweep(now)...)
			if rapid.IntRange(0, 19).Draw(t, "compacted") == 0 {
				records = s.LiveRecords()
			}
		}
		restored := New()
		for _, r := range records {
			must.NoError(t, restored.Restore(now, r))
		}
		must.MapEq(t, keysOf(s), keysOf(restored))
		must.Eq(t, s.liveBytes, restored.liveBytes)
		// Each turn is deleted once, also if it was stored again in the meantime.
		must.SliceEmpty(t, restored.Sweep(now))
		must.MapEq(t, keysOf(s), keysOf(restored))
		must.Len(t, len(s.LiveRecords()), restored.LiveRecords())
		restored.Sweep(now.Add(time.Hour))
		must.Eq(t, 0, restored.liveBytes)
		must.SliceEmpty(t, restored.order)
	})
}

func keysOf(s *Store) map[TurnKey]bool {
	out := map[TurnKey]bool{}
	for key := range s.turns {
		out[key] = true
	}
	return out
}

// Guards against entries of deleted turns that a restored store keeps, as many as turns were stored
// since the last compaction.
func TestRestoredOrderIsTrimmed(t *testing.T) {
	s := New()
	for i := range 20 * minTrimmed {
		key := TurnKey{ID: fmt.Sprint(i)}
		must.NoError(t, s.Restore(time.Unix(1000, 0), &Turn{Key: key, Retention: time.Minute}))
		must.NoError(t, s.Restore(time.Unix(1000, 0), &Turn{Key: key, Deleted: true}))
	}
	must.LessEq(t, 2*minTrimmed, len(s.order))
}

// Guards against a size on the disk that leaves out shares, so that the file of a deployment whose
// routes keep no turns grows for ever.
func TestSizeOnDiskCountsShares(t *testing.T) {
	s := New()
	now := time.Unix(1000, 0)
	restored := New()
	for version := range uint64(10) {
		share := Share{Program: tokens.Program{Name: "p"}, Share: tokens.Share{Writer: "g", Version: version + 1}}
		must.True(t, s.addShare(now, tokens.ProgramShare(share)))
		must.NoError(t, restored.Restore(now, &share))
	}
	must.Eq(t, RecordBytes(&Share{}), s.LiveBytes())
	must.Eq(t, 10*RecordBytes(&Share{}), restored.RestoredBytes())
	s.Sweep(now.Add(2 * shareRetention))
	must.Eq(t, 0, s.LiveBytes())
}
