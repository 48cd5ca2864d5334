package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/turnstore"
)

const (
	// storeTimeout bounds one call to a storage VM. A sync takes 5 ms and a region
	// is 16 ms away; a slowed VM takes some times as long.
	storeTimeout = 700 * time.Millisecond
	// hedgeDelay is the time after which members beyond a majority are asked too.
	// It exceeds a round trip between regions with a sync.
	hedgeDelay = 45 * time.Millisecond
	// suspectFor is the time for which a member that did not answer is asked last.
	suspectFor = 2 * time.Second
	// setRounds bounds how often a request is repeated because the storage set
	// has changed.
	setRounds = 3
)

// errNoMajority is the cause of a refusal for want of storage VMs.
var errNoMajority = errors.New("no majority of the storage VMs answered")

// errSetChanged makes a request start again with a newer set.
var errSetChanged = errors.New("the storage set has changed")

// storeAnswer is one member's reply, or its error.
type storeAnswer struct {
	member quorum.Member
	reply  domain.Message
	err    error
}

// question is one request to the members of a set.
type question struct {
	set *quorum.Set
	// atOnce is the number of members that are asked first.
	atOnce int
	// message returns the request, with the set for a member that lacks it.
	message func(attachSet bool) domain.Message
	// collect takes one reply and returns true when it needs no more.
	collect func(storeAnswer) (bool, error)
}

// ask sends a question to the nearest members, and to the rest when one of them
// fails, is slow, or does not settle the question.
func (g *Gateway) ask(caller context.Context, q question) error {
	ctx, cancel := context.WithTimeout(caller, storeTimeout)
	defer cancel()
	members := g.order(q.set)
	answers := make(chan storeAnswer, len(members))
	open := map[quorum.StoreID]bool{}
	next := 0
	start := func() {
		if next < len(members) {
			open[members[next].ID] = true
			go g.askOne(ctx, members[next], q.message, answers)
			next++
		}
	}
	for range q.atOnce {
		start()
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for len(open) > 0 {
		select {
		case a := <-answers:
			delete(open, a.member.ID)
			if a.err != nil {
				// A caller that has left says nothing about the member.
				if caller.Err() == nil {
					g.suspect(a.member.ID, a.err)
				}
				start()
				continue
			}
			done, err := q.collect(a)
			if err != nil || done {
				return err
			}
			if len(open) == 0 {
				start()
			}
		case <-hedge.C:
			for id := range open {
				g.suspect(id, errSlow)
			}
			for next < len(members) {
				start()
			}
		}
	}
	return errNoMajority
}

// errSlow is why a member is asked last for a while.
var errSlow = errors.New("no answer within the hedge delay")

// order returns the members by distance, with those that failed lately last.
func (g *Gateway) order(set *quorum.Set) []quorum.Member {
	near := set.MembersByDistance(g.o.DataCentre, g.o.Region)
	suspects := g.view.Load().suspects
	var good, bad []quorum.Member
	for _, m := range near {
		if suspects[m.ID] {
			bad = append(bad, m)
		} else {
			good = append(good, m)
		}
	}
	return append(good, bad...)
}

func (g *Gateway) askOne(ctx context.Context, m quorum.Member, message func(bool) domain.Message, answers chan<- storeAnswer) {
	reply, err := g.o.Calls.Call(ctx, m.ID.Address(), message(false))
	if err == nil && standingOf(reply).WantsSet {
		reply, err = g.o.Calls.Call(ctx, m.ID.Address(), message(true))
	}
	answers <- storeAnswer{member: m, reply: reply, err: err}
}

func standingOf(m domain.Message) turnstore.MemberStatus {
	switch m := m.(type) {
	case *turnstore.WriteReply:
		return m.Status
	case *turnstore.ChainReply:
		return m.Status
	default:
		return turnstore.MemberStatus{}
	}
}

// check returns whether the answer counts, and errSetChanged when the asker
// follows an older set.
func (g *Gateway) check(s turnstore.MemberStatus) (bool, error) {
	if s.NewerSet != nil {
		g.adoptSet(s.NewerSet)
		return false, errSetChanged
	}
	return s.Accepted, nil
}

// records is what one write stores.
type records struct {
	turn   *turnstore.Turn
	shares []tokens.ProgramShare
	// asks names the program whose shares decide about a reservation, if any. With
	// decides only members that hold every earlier record count.
	asks    tokens.Program
	decides bool
}

// written is the outcome of a write.
type written struct {
	// union holds the shares of the asked program that a majority knows.
	union tokens.Union
	// complete says that the majority holds every earlier record, so that the union
	// decides about a budget.
	complete bool
}

// write stores records on a majority.
func (g *Gateway) write(ctx context.Context, r records) (written, error) {
	for range setRounds {
		set := g.view.Load().stores
		if set == nil {
			return written{}, fmt.Errorf("%w: the storage set is not known yet", errNoMajority)
		}
		w, err := g.writeTo(ctx, set, r)
		if !errors.Is(err, errSetChanged) {
			return w, err
		}
	}
	return written{}, errSetChanged
}

func (g *Gateway) writeTo(ctx context.Context, set *quorum.Set, r records) (written, error) {
	w := written{union: tokens.Union{}}
	stored, complete := 0, 0
	message := func(attachSet bool) domain.Message {
		m := &turnstore.Write{Epoch: set.Epoch, Turn: r.turn, Shares: r.shares, SharesOf: r.asks}
		if attachSet {
			m.Set = set
		}
		return m
	}
	collect := func(a storeAnswer) (bool, error) {
		reply, ok := a.reply.(*turnstore.WriteReply)
		if !ok {
			return false, nil
		}
		counts, err := g.check(reply.Status)
		if err != nil || !counts {
			return false, err
		}
		stored++
		if reply.Status.Complete {
			complete++
		}
		w.union.Merge(reply.Shares...)
		w.complete = complete >= set.Majority()
		return stored >= set.Majority() && (!r.decides || w.complete), nil
	}
	err := g.ask(ctx, question{set: set, atOnce: set.Majority(), message: message, collect: collect})
	return w, err
}

// errNoTurn says that a majority knows that a turn does not exist.
var errNoTurn = errors.New("a majority of the storage VMs knows no such turn")

// chain returns a turn and all turns before it, newest first. Different turns of
// a chain may be on different majorities, so it is put together from the parts
// that single stores hold.
func (g *Gateway) chain(ctx context.Context, key turnstore.TurnKey) ([]*turnstore.Turn, error) {
	var out []*turnstore.Turn
	next := key
	for next.ID != "" {
		part, err := g.readPart(ctx, next)
		if errors.Is(err, errNoTurn) && len(out) > 0 {
			return nil, fmt.Errorf("%w: turn %s of the chain is not on a majority", errNoMajority, next.ID)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, part...)
		next.ID = part[len(part)-1].Previous
	}
	return out, nil
}

func (g *Gateway) readPart(ctx context.Context, key turnstore.TurnKey) ([]*turnstore.Turn, error) {
	for range setRounds {
		set := g.view.Load().stores
		if set == nil {
			return nil, fmt.Errorf("%w: the storage set is not known yet", errNoMajority)
		}
		turns, err := g.readFrom(ctx, set, key)
		if !errors.Is(err, errSetChanged) {
			return turns, err
		}
	}
	return nil, errSetChanged
}

// readFrom returns what the first store that knows the turn holds of its chain.
func (g *Gateway) readFrom(ctx context.Context, set *quorum.Set, key turnstore.TurnKey) ([]*turnstore.Turn, error) {
	var found []*turnstore.Turn
	absent := 0
	message := func(attachSet bool) domain.Message {
		r := &turnstore.ReadChain{Epoch: set.Epoch, Key: key}
		if attachSet {
			r.Set = set
		}
		return r
	}
	collect := func(a storeAnswer) (bool, error) {
		reply, ok := a.reply.(*turnstore.ChainReply)
		if !ok {
			return false, nil
		}
		// Turns never change, so they count from any store, of any epoch.
		if len(reply.Turns) > 0 {
			found = reply.Turns
			return true, nil
		}
		counts, err := g.check(reply.Status)
		if err != nil || !counts || !reply.Status.Complete {
			return false, err
		}
		absent++
		if absent >= set.Majority() {
			return false, errNoTurn
		}
		return false, nil
	}
	err := g.ask(ctx, question{set: set, atOnce: 1, message: message, collect: collect})
	if found != nil {
		return found, nil
	}
	return nil, err
}
