package coordinator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/raft"
	"github.com/mangoknot/mangoknot/core/targetlimit"
)

func genMessage() *rapid.Generator[domain.Message] {
	index := rapid.Custom(func(t *rapid.T) raft.Index { return raft.Index(rapid.Uint64Range(0, 6).Draw(t, "index")) })
	term := rapid.Custom(func(t *rapid.T) raft.Term { return raft.Term(rapid.Uint64Range(0, 4).Draw(t, "term")) })
	member := rapid.SampledFrom([]domain.VM{"", NewVM(address(0), "first"), NewVM(address(1), "first"), NewVM(address(2), "other")})
	members := rapid.Custom(func(t *rapid.T) raft.Members {
		return raft.Members{Voters: rapid.SliceOfN(member, 0, 3).Draw(t, "voters"), Learners: rapid.SliceOfN(member, 0, 2).Draw(t, "learners")}
	})
	data := rapid.SampledFrom([]domain.Record{nil, &PutDocument{}, &PutStores{Set: &quorum.Set{Epoch: 1}}, &RetireStore{}, &State{}, &Identity{}})
	return rapid.Custom(func(t *rapid.T) domain.Message {
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
			return &raft.PreVote{Term: term.Draw(t, "t"), LastIndex: index.Draw(t, "i"), LastTerm: term.Draw(t, "lt")}
		case 1:
			return &raft.PreVoteReply{Term: term.Draw(t, "t"), Granted: rapid.Bool().Draw(t, "g"), Fenced: rapid.Bool().Draw(t, "f")}
		case 2:
			return &raft.Vote{Term: term.Draw(t, "t"), LastIndex: index.Draw(t, "i"), LastTerm: term.Draw(t, "lt"), Transfer: rapid.Bool().Draw(t, "tr")}
		case 3:
			return &raft.VoteReply{Term: term.Draw(t, "t"), Granted: rapid.Bool().Draw(t, "g")}
		case 4, 5:
			m := &raft.Append{Term: term.Draw(t, "t"), PrevIndex: index.Draw(t, "p"), PrevTerm: term.Draw(t, "pt"), Commit: index.Draw(t, "c")}
			for range rapid.IntRange(0, 3).Draw(t, "n") {
				e := raft.Entry{Index: index.Draw(t, "ei"), Term: term.Draw(t, "et"), Data: data.Draw(t, "d")}
				if rapid.Bool().Draw(t, "follows") {
					e.Index = m.PrevIndex + 1 + raft.Index(len(m.Entries))
				}
				if rapid.Bool().Draw(t, "hasMembers") {
					set := members.Draw(t, "m")
					e.Members = &set
				}
				m.Entries = append(m.Entries, e)
			}
			return m
		case 6:
			return &raft.AppendReply{Term: term.Draw(t, "t"), Round: rapid.Uint64Range(0, 5).Draw(t, "r"), Match: index.Draw(t, "m"), Rejected: index.Draw(t, "rj"),
				Conflict: rapid.Bool().Draw(t, "c"), ConflictTerm: term.Draw(t, "ct"), ConflictIndex: index.Draw(t, "ci")}
		case 7:
			m := &raft.InstallSnapshot{Term: term.Draw(t, "t")}
			if rapid.Bool().Draw(t, "has") {
				m.Snapshot = &raft.Snapshot{Index: index.Draw(t, "i"), Term: term.Draw(t, "st"), Members: members.Draw(t, "m"), Data: data.Draw(t, "d")}
			}
			return m
		case 8:
			return &raft.TimeoutNow{Term: term.Draw(t, "t")}
		default:
			return nil
		}
	})
}

// Guards against a message with missing or unusual parts that ends the process of a
// coordinator.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := NewVM(address(0), "first")
		now := time.Unix(1000, 0)
		c := New(Config{Self: self, Voters: []domain.VM{self, NewVM(address(1), "first"), NewVM(address(2), "first")}, Tolerance: 1, Rand: rand.New(rand.NewPCG(1, 1))}, raft.Restored{}, now)
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
			c.Tick(now)
			switch rapid.IntRange(0, 5).Draw(t, "request") {
			case 0:
				c.Report(now, &Report{
					Process: rapid.SampledFrom([]string{"", "a/1", "a/2"}).Draw(t, "process"), Gateway: rapid.Bool().Draw(t, "gateway"),
					Store:   rapid.SampledFrom([]*StoreStatus{nil, {}, {ID: "x", Name: "y"}}).Draw(t, "store"),
					Counts:  allowance.Counts{Counts: []allowance.Count{{Admitted: rapid.Uint64().Draw(t, "admitted"), Programs: []allowance.Activity{{Requests: rapid.Int().Draw(t, "requests")}}}}},
					Crashes: rapid.SampledFrom([][]quarantine.Crash{nil, {{}}}).Draw(t, "crashes"),
				})
			case 1:
				c.Join(now, &Join{VM: rapid.SampledFrom([]domain.VM{"", self, "b:1/x"}).Draw(t, "vm")})
			default:
				e := &Envelope{From: NewVM(address(rapid.IntRange(0, 3).Draw(t, "from")), "first"), Body: genMessage().Draw(t, "body")}
				if e.Validate() == nil {
					c.Receive(now, e.From, e.Body)
				}
			}
			effects := c.Ready(now)
			if len(effects.Records) > 0 || len(effects.AfterSync) > 0 {
				c.Persisted(now, effects.Token)
			}
		}
	})
}

// Guards against a report with unusual numbers that ends the process of a leader, or that
// grants more permits than it asked for.
func TestMalformedReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := NewVM(address(0), "first")
		now := time.Unix(1000, 0)
		c := New(Config{Self: self, Voters: []domain.VM{self}, Rand: rand.New(rand.NewPCG(1, 1))}, raft.Restored{}, now)
		for range 5 {
			now = now.Add(time.Second)
			c.Tick(now)
			c.Persisted(now, c.Ready(now).Token)
		}
		c.TargetsListed(now, now, []balance.Target{{ID: "t", Service: "s"}}, nil)
		number := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0}))
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
			wanted := rapid.Int().Draw(t, "wanted")
			view := c.Report(now, &Report{
				Process: rapid.SampledFrom([]string{"", "a/1", "a/2", "b/1"}).Draw(t, "process"), Gateway: true,
				Counts: allowance.Counts{
					Origin: rapid.SampledFrom([]string{"", "x"}).Draw(t, "origin"), LevelAge: time.Duration(rapid.Int64().Draw(t, "levelAge")),
					Counts: []allowance.Count{{
						Account: "a", Admitted: rapid.Uint64().Draw(t, "admitted"), RatePerSecond: number.Draw(t, "rate"), Burst: number.Draw(t, "burst"),
						Level: number.Draw(t, "level"), Attempts: rapid.Int().Draw(t, "attempts"),
					}},
				},
				Limits: targetlimit.Report{
					Observed: []targetlimit.Observation{{Target: "t", Limited: rapid.Bool().Draw(t, "limited"), PerSecond: number.Draw(t, "limit"), Age: time.Duration(rapid.Int64().Draw(t, "age"))}},
					Wanted:   []targetlimit.Want{{Service: "s", Permits: wanted}},
					Unused:   []targetlimit.Permits{{Target: "t", N: rapid.Int().Draw(t, "unused")}},
				},
			})
			must.True(t, view.Authoritative)
			granted := 0
			for _, p := range view.Limits.Permits {
				granted += p.N
			}
			must.LessEq(t, max(0, wanted), granted)
			c.ReadDocument(&ReadDocument{Offset: rapid.Int().Draw(t, "offset")})
			c.Ready(now)
		}
	})
}
