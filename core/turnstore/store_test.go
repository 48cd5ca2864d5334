package turnstore

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
)

// Guards against turns that continue each other in a cycle, which a caller can cause by
// using the id of a turn again: reading them would never end and use up the memory.
func TestCyclicChainEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New()
	set := &quorum.Set{Epoch: 1, Members: []quorum.Member{{ID: s.id}}}
	for id, previous := range map[string]string{"x": "y", "y": "x", "z": "z"} {
		reply, _ := s.Write(now, &Write{Epoch: 1, Set: set, Turn: &Turn{Key: TurnKey{ID: id}, Previous: previous, Retention: time.Minute}})
		must.True(t, reply.Status.Accepted)
	}
	for _, id := range []string{"x", "z"} {
		reply, _ := s.Read(now.Add(time.Second), &ReadChain{Epoch: 1, Key: TurnKey{ID: id}})
		must.Len(t, MaxChainTurns, reply.Turns)
		must.NotEq(t, "", reply.Missing)
	}
}

func genSet() *rapid.Generator[*quorum.Set] {
	return rapid.Custom(func(t *rapid.T) *quorum.Set {
		if rapid.Bool().Draw(t, "no set") {
			return nil
		}
		s := &quorum.Set{Epoch: domain.Epoch(rapid.Uint64Range(0, 3).Draw(t, "epoch"))}
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			s.Members = append(s.Members, quorum.Member{ID: quorum.StoreID(rapid.SampledFrom([]string{"", "a/1", "b/1"}).Draw(t, "member"))})
		}
		return s
	})
}

func genTurn() *rapid.Generator[*Turn] {
	id := rapid.SampledFrom([]string{"", "x", "y"})
	return rapid.Custom(func(t *rapid.T) *Turn {
		if rapid.IntRange(0, 3).Draw(t, "no turn") == 0 {
			return nil
		}
		return &Turn{
			Key: TurnKey{ID: id.Draw(t, "id")}, Previous: id.Draw(t, "previous"),
			Events:    rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 2), 0, 2).Draw(t, "events"),
			Retention: time.Duration(rapid.Int64().Draw(t, "retention")),
		}
	})
}

func genShares() *rapid.Generator[[]tokens.ProgramShare] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) tokens.ProgramShare {
		return tokens.ProgramShare{
			Program: tokens.Program{Name: rapid.SampledFrom([]string{"", "p"}).Draw(t, "program")},
			Share:   tokens.Share{Writer: rapid.SampledFrom([]string{"", "w"}).Draw(t, "writer"), Version: rapid.Uint64().Draw(t, "version")},
		}
	}), 0, 3)
}

// Guards against a message with missing or unusual parts that ends the process of a
// storage VM.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.id = "a/1"
		now := time.Unix(1000, 0)
		turns := rapid.SliceOfN(genTurn(), 0, 3)
		key := TurnKey{ID: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "key")}
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "pause")))
			epoch := domain.Epoch(rapid.Uint64Range(0, 3).Draw(t, "request epoch"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				s.Write(now, &Write{Epoch: epoch, Set: genSet().Draw(t, "set"), Turn: genTurn().Draw(t, "turn"), Shares: genShares().Draw(t, "shares")})
			case 1:
				s.Read(now, &ReadChain{Epoch: epoch, Set: genSet().Draw(t, "set"), Key: key})
			case 2:
				if p := (&Pull{Set: genSet().Draw(t, "set"), After: rapid.Int().Draw(t, "after")}); p.Validate() == nil {
					s.Pull(p)
				}
			case 3:
				s.Fetch(&Fetch{Turns: []TurnKey{key, {}}})
			case 4:
				if r := (&FetchReply{Turns: turns.Draw(t, "fetched"), Handled: rapid.Int().Draw(t, "handled")}); r.Validate() == nil {
					s.CopyTurns(now, r.Turns)
				}
			default:
				s.Sweep(now)
			}
		}
	})
}

// Guards against a reply of another disk that counts as that of the member at its address, beside
// builds whose replies do not name their disk: these count unless the set has both disks.
func TestReplyIsFromItsDisk(t *testing.T) {
	one := &quorum.Set{Epoch: 1, Members: []quorum.Member{{ID: "a/1"}, {ID: "b/1"}}}
	both := one.Replace("b/1", quorum.Member{ID: "a/2"})
	for _, c := range []struct {
		set    *quorum.Set
		store  quorum.StoreID
		member int
		want   bool
	}{
		{one, "a/1", 0, true}, {one, "a/2", 0, false}, {one, "", 0, true},
		{both, "a/2", 0, false}, {both, "a/2", 1, true}, {both, "", 0, false}, {both, "", 1, false},
	} {
		must.Eq(t, c.want, MemberStatus{Store: c.store}.IsFrom(c.set, c.set.Members[c.member]), must.Sprint(c))
	}
}
