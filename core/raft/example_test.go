package raft_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/raft"
)

// textRecord is a record type of the caller.
type textRecord struct{ Text string }

// RecordName implements domain.Record.
func (*textRecord) RecordName() string { return "example.note" }

// A single voter elects itself and commits the entries that are durable. Guards
// against an interface that cannot be used without the controller.
func Example() {
	now := time.Unix(0, 0)
	r := raft.New(raft.Config{ID: "a", Voters: []domain.VM{"a"}, Rand: rand.New(rand.NewPCG(1, 1))}, raft.Restored{}, now)
	for r.Status().Role != raft.Leader {
		now = r.NextWake()
		r.Tick(now)
		drain(r, now)
	}
	if _, err := r.Propose(now, &textRecord{Text: "hello"}); err != nil {
		fmt.Println(err)
	}
	drain(r, now)
	// Output: committed hello
}

// drain handles the output. A real caller syncs the records to disk before it
// calls Persisted.
func drain(r *raft.Raft, now time.Time) {
	for {
		ready := r.Ready()
		if len(ready.Records) == 0 && len(ready.Committed) == 0 {
			return
		}
		for _, e := range ready.Committed {
			if n, ok := e.Data.(*textRecord); ok {
				fmt.Println("committed", n.Text)
			}
		}
		if len(ready.Records) > 0 {
			r.Persisted(now, ready.Token)
		}
	}
}
