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
	"github.com/mangoknot/mangoknot/node/loop"
)

const (
	// storeTimeout bounds one operation on the storage set. A sync takes 5 ms
	// and another region is 16 ms away; a slow VM takes several times as long.
	storeTimeout = 700 * time.Millisecond
	// hedgeDelay is the time after which the members beyond a majority are
	// queried as well. It exceeds a round trip between regions with a sync.
	hedgeDelay = 45 * time.Millisecond
	// suspectDuration is the time for which a member that did not answer is
	// queried last.
	suspectDuration = 2 * time.Second
	// maxSetAttempts bounds the attempts of an operation while the storage set
	// changes.
	maxSetAttempts = 3
	// maxFollowingRequests bounds the requests of one operation to one member after the first.
	// It covers the longest chain that is read.
	maxFollowingRequests = 40
	// maxAncestorBytes limits the ancestors in one write. The first one may exceed it.
	maxAncestorBytes = 1 << 20
)

// errNoMajority is returned if no majority of the storage VMs answered.
var errNoMajority = errors.New("no majority of the storage VMs answered")

// errSetChanged makes an operation start again with the newer set.
var errSetChanged = errors.New("the storage set has changed")

// storeAnswer is the reply of one member, or its error.
type storeAnswer struct {
	member quorum.Member
	reply  domain.Message
	err    error
}

// memberQuery is an operation on the members of a storage set.
type memberQuery struct {
	set *quorum.Set
	// initialMembers is the number of members that are queried at the start.
	initialMembers int
	// message returns the request, with the set attached for a member that
	// lacks it.
	message func(attachSet bool) domain.Message
	// next returns the request that follows a reply of the same member, or nil if the reply
	// is the last one. It may be nil.
	next func(ctx context.Context, reply domain.Message) domain.Message
	// collect handles one reply and returns true if no more replies are needed.
	collect func(storeAnswer) (bool, error)
}

// queryMembers queries the nearest members first. It queries further members if
// one fails, if the hedge delay passes, or if the replies do not suffice.
func (g *Gateway) queryMembers(callerCtx context.Context, query memberQuery) error {
	ctx, cancel := context.WithTimeout(callerCtx, storeTimeout)
	defer cancel()
	members := g.order(query.set)
	answers := make(chan storeAnswer, len(members))
	pending := map[quorum.StoreID]bool{}
	next := 0
	start := func() {
		if next < len(members) {
			pending[members[next].ID] = true
			go g.queryMember(ctx, members[next], query, answers)
			next++
		}
	}
	for range query.initialMembers {
		start()
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for len(pending) > 0 {
		select {
		case a := <-answers:
			delete(pending, a.member.ID)
			if a.err != nil {
				// If the caller has cancelled, the error is not the member's
				// fault.
				if callerCtx.Err() == nil {
					g.suspect(a.member.ID, a.err)
				}
				start()
				continue
			}
			done, err := query.collect(a)
			if err != nil || done {
				return err
			}
			if len(pending) == 0 {
				start()
			}
		case <-hedge.C:
			for id := range pending {
				g.suspect(id, errSlow)
			}
			for next < len(members) {
				start()
			}
		}
	}
	return errNoMajority
}

// errSlow is the cause that is logged for a suspected member that did not
// answer within the hedge delay.
var errSlow = errors.New("no answer within the hedge delay")

// order returns the members by distance, with the suspected ones last.
func (g *Gateway) order(set *quorum.Set) []quorum.Member {
	near := set.MembersByDistance(g.o.DataCentre, g.o.Region)
	suspects := g.view.Load().suspects
	var responsive, suspected []quorum.Member
	for _, m := range near {
		if suspects[m.ID] {
			suspected = append(suspected, m)
		} else {
			responsive = append(responsive, m)
		}
	}
	return append(responsive, suspected...)
}

func (g *Gateway) queryMember(ctx context.Context, m quorum.Member, query memberQuery, answers chan<- storeAnswer) {
	answer := storeAnswer{member: m, err: loop.ErrPanicked}
	loop.Contain(g.reportPanic, func() { answer.reply, answer.err = g.callMember(ctx, m, query) })
	answers <- answer
}

// callMember sends the request of a query to a member, and the requests that follow, and returns
// the last reply.
func (g *Gateway) callMember(ctx context.Context, m quorum.Member, query memberQuery) (domain.Message, error) {
	call := func(request domain.Message) (domain.Message, error) {
		return g.o.Calls.Call(ctx, m.ID.Address(), turnstore.For(query.set.Scope, request))
	}
	reply, err := call(query.message(false))
	if err == nil && statusOf(reply).WantsSet {
		reply, err = call(query.message(true))
	}
	for range maxFollowingRequests {
		if err != nil || query.next == nil {
			break
		}
		following := query.next(ctx, reply)
		if following == nil {
			break
		}
		reply, err = call(following)
	}
	return reply, err
}

func statusOf(m domain.Message) turnstore.MemberStatus {
	switch m := m.(type) {
	case *turnstore.WriteReply:
		return m.Status
	case *turnstore.ChainReply:
		return m.Status
	default:
		return turnstore.MemberStatus{}
	}
}

// errOtherDisk is the cause that is logged for a suspected member whose VM answers with another
// disk.
var errOtherDisk = errors.New("its VM has lost the disk")

// checkStatus reports whether a member of the set accepted the request. If the VM has
// a newer set than the gateway, checkStatus applies it and returns
// errSetChanged.
func (g *Gateway) checkStatus(s turnstore.MemberStatus, set *quorum.Set, m quorum.Member) (bool, error) {
	switch {
	case s.NewerSet != nil:
		g.adoptSet(s.NewerSet)
		return false, errSetChanged
	case !s.IsFrom(set, m):
		g.suspect(m.ID, errOtherDisk)
		return false, nil
	default:
		return s.Accepted, nil
	}
}

// records is the content of one write.
type records struct {
	turn   *turnstore.Turn
	shares []tokens.ProgramShare
	// sharesOf names the program whose shares the members return, if any.
	sharesOf tokens.Program
	// placement is where the turns before the turn are looked for.
	placement quorum.Placement
}

// errCopying is the cause that is logged for a suspected member that still copies the
// records of the others.
var errCopying = errors.New("it still copies the records of the other members")

// write stores records on a write quorum of the set of a scope and returns what the members
// hold of the budget of the program in sharesOf.
//
// Only members that hold every earlier record count. Before a joining member counts, it has
// copied from enough others that no majority of the former set is left that does not know the
// new one. A gateway that still reads with the former set is therefore told of the new one
// before it can take a stored turn for absent.
func (g *Gateway) write(ctx context.Context, scope quorum.Scope, r records) (held tokens.Held, err error) {
	for range maxSetAttempts {
		set := g.view.Load().set(scope)
		if set == nil {
			return held, errUnknownSet
		}
		held, err = g.writeTo(ctx, set, r)
		if !errors.Is(err, errSetChanged) {
			g.recordOutcome(ctx, scope, err)
			if err != nil && scope != quorum.Global {
				err = fmt.Errorf("region %s: %w", scope, err)
			}
			return held, err
		}
	}
	return held, errSetChanged
}

func (g *Gateway) writeTo(ctx context.Context, set *quorum.Set, r records) (held tokens.Held, err error) {
	var counted []memberShares
	leaving := 0
	message := func(attachSet bool) domain.Message {
		m := r.message(set)
		if attachSet {
			m.Set = set
		}
		return m
	}
	next := func(ctx context.Context, reply domain.Message) domain.Message {
		return g.ancestorsWrite(ctx, set, r, reply)
	}
	collect := func(a storeAnswer) (bool, error) {
		reply, ok := a.reply.(*turnstore.WriteReply)
		if !ok {
			return false, nil
		}
		counts, err := g.checkStatus(reply.Status, set, a.member)
		if err != nil || !counts {
			return false, err
		}
		held.Merge(reply.Shares, reply.Lapsed)
		if !reply.Status.Complete {
			g.suspect(a.member.ID, errCopying)
			return false, nil
		}
		if reply.Missing != "" {
			return false, nil
		}
		if a.member.Leaving {
			leaving++
		} else {
			counted = append(counted, memberShares{member: a.member, shares: reply.Shares})
		}
		return set.IsStored(len(counted), leaving), nil
	}
	err = g.queryMembers(ctx, memberQuery{set: set, initialMembers: set.FirstWrites(), message: message, next: next, collect: collect})
	if err == nil && r.sharesOf.Name != "" {
		g.repairShares(set, r.sharesOf, held.Union, counted)
	}
	return held, err
}

// memberShares holds the shares of a program that a member returned.
type memberShares struct {
	member quorum.Member
	shares []tokens.Share
}

// repairShares sends each member the shares of a program that only another member returned, unless
// that was done lately.
// Shares are kept where later ones of their program arrive, so the share of a gateway that no
// longer serves the program would be left on the members that have both, and be lost with them.
func (g *Gateway) repairShares(set *quorum.Set, program tokens.Program, union tokens.Union, counted []memberShares) {
	var sends []func()
	for _, c := range counted {
		m := &turnstore.Write{Epoch: set.Epoch}
		for _, share := range union.NewerThan(c.shares) {
			m.Shares = append(m.Shares, tokens.ProgramShare{Program: program, Share: share})
		}
		if len(m.Shares) > 0 {
			sends = append(sends, func() { g.sendShares(c.member, m) })
		}
	}
	if len(sends) == 0 {
		return
	}
	g.Deliver(func(now time.Time) {
		if !g.shares.RepairDue(now, program) {
			return
		}
		for _, send := range sends {
			go send()
		}
	})
}

// sendShares sends a write that nobody waits for. The next write of the program repeats it if
// it fails.
func (g *Gateway) sendShares(to quorum.Member, m *turnstore.Write) {
	ctx, cancel := context.WithTimeout(g.Context(), storeTimeout)
	defer cancel()
	err := loop.ErrPanicked
	loop.Contain(g.reportPanic, func() { _, err = g.o.Calls.Call(ctx, to.ID.Address(), m) })
	if err != nil {
		g.o.Log.V(1).Info("shares were not brought to a storage VM that lacks them", "store", to.ID, "error", err.Error())
	}
}

// message returns the request that writes the records.
func (r records) message(set *quorum.Set) *turnstore.Write {
	return &turnstore.Write{Epoch: set.Epoch, Turn: r.turn, Shares: r.shares, SharesOf: r.sharesOf}
}

// ancestorsWrite returns the write that brings the next missing turns to a member that has
// stored a turn without all its ancestors, or nil if it lacks none. A chain must be whole on
// each member that counts: turns are kept where later ones of their chain arrive, so an old turn
// would be left on the members that have both, and be lost with them.
func (g *Gateway) ancestorsWrite(ctx context.Context, set *quorum.Set, r records, reply domain.Message) domain.Message {
	written, ok := reply.(*turnstore.WriteReply)
	if !ok || written.Missing == "" || !written.Status.Accepted || !written.Status.Complete {
		return nil
	}
	chain, err := g.cachedChain(ctx, r.placement, turnstore.TurnKey{Account: r.turn.Key.Account, ID: written.Missing})
	if err != nil {
		g.o.Log.Info("the earlier turns that a storage VM lacks were not found", "turn", r.turn.Key.ID, "missing", written.Missing, "error", err.Error())
		return nil
	}
	n, size := 0, 0
	for n < len(chain) && (n == 0 || size+chain[n].Size() <= maxAncestorBytes) {
		size += chain[n].Size()
		n++
	}
	m := r.message(set)
	m.Ancestors = chain[:n]
	return m
}

// errNoTurn is returned if a majority of complete members does not hold the
// turn.
var errNoTurn = errors.New("the turn does not exist on a majority of the storage VMs")

// chain returns a turn and all its predecessors, newest first. The turns of a
// chain may be on different majorities and in different sets, so the chain is assembled from
// the parts that single members hold.
func (g *Gateway) chain(ctx context.Context, p quorum.Placement, key turnstore.TurnKey) ([]*turnstore.Turn, error) {
	var out []*turnstore.Turn
	var first []quorum.Scope
	next := key
	for next.ID != "" {
		if len(out) >= turnstore.MaxChainTurns {
			return nil, fmt.Errorf("%w: the chain of %s has more than %d turns", errNoTurn, key.ID, turnstore.MaxChainTurns)
		}
		part, scope, err := g.readPart(ctx, p, next, first...)
		if errors.Is(err, errNoTurn) && len(out) > 0 {
			return nil, fmt.Errorf("%w: turn %s of the chain is not on a majority", errNoMajority, next.ID)
		}
		if err != nil {
			return nil, err
		}
		out, first = append(out, part...), []quorum.Scope{scope}
		next.ID = part[len(part)-1].Previous
	}
	return out, nil
}

// readFrom returns the part of the chain in the first reply that contains the
// turn.
func (g *Gateway) readFrom(ctx context.Context, set *quorum.Set, key turnstore.TurnKey) ([]*turnstore.Turn, error) {
	if set.AbsenceQuorum() == 0 {
		return nil, errNoTurn // all storage VMs of the region have retired
	}
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
		// Turns are immutable, so a reply from any member and epoch is valid.
		if len(reply.Turns) > 0 {
			found = reply.Turns
			return true, nil
		}
		counts, err := g.checkStatus(reply.Status, set, a.member)
		if err != nil || !counts || !reply.Status.Complete {
			return false, err
		}
		absent++
		if absent >= set.AbsenceQuorum() {
			return false, errNoTurn
		}
		return false, nil
	}
	err := g.queryMembers(ctx, memberQuery{set: set, initialMembers: 1, message: message, collect: collect})
	if found != nil {
		return found, nil
	}
	return nil, err
}
