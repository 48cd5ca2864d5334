package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/node/loop"
)

// probeInterval is the pause between two probes of a regional set that lacks a write quorum.
const probeInterval = 250 * time.Millisecond

// errUnknownSet is returned for a set that the coordinators have not sent yet.
var errUnknownSet = fmt.Errorf("%w: the storage set is not known yet", errNoMajority)

// errSetShort is returned for a regional set whose last write failed.
var errSetShort = errors.New("too few storage VMs of the region answer to store a turn")

// errNoStorageRegion is returned if the constraint allows no region.
var errNoStorageRegion = errors.New("the region constraint allows no region to store the turn in")

// set returns the set of a scope, or nil.
func (v *view) set(scope quorum.Scope) *quorum.Set {
	if scope == quorum.Global {
		return v.stores
	}
	return v.regional[scope]
}

// scopes returns the scopes of the regional sets in ascending order.
func (v *view) scopes() []quorum.Scope { return slices.Sorted(maps.Keys(v.regional)) }

// setVersions returns the regional sets that the view holds, for a report.
func (v *view) setVersions() []coordinator.SetVersion {
	if len(v.regional) == 0 {
		return nil
	}
	var out []coordinator.SetVersion
	for _, scope := range v.scopes() {
		out = append(out, coordinator.SetVersion{Scope: scope, Epoch: v.regional[scope].Epoch})
	}
	return out
}

// putSet returns the regional sets with one replaced. It does not change the former map, which
// traffic goroutines read.
func (v *view) putSet(set *quorum.Set) map[quorum.Scope]*quorum.Set {
	out := maps.Clone(v.regional)
	if out == nil {
		out = map[quorum.Scope]*quorum.Set{}
	}
	out[set.Scope] = set
	return out
}

// placement returns where the turns of the request are stored and looked for.
func (e *exchange) placement() quorum.Placement {
	return quorum.NewPlacement(e.constraint, e.g.o.Region, e.account)
}

// checkStorage returns a refusal if the turn could not be stored in the set of its region: it is
// not known, or its last write found too few members and no probe has succeeded since. Without
// this check the turn would run and its stream would end without its last event.
func (e *exchange) checkStorage() *Refusal {
	if !e.isRegional() {
		return nil
	}
	scope, ok := e.turn.placement.Write()
	v := e.g.view.Load()
	var cause error
	switch {
	case !ok:
		cause = errNoStorageRegion
	case v.set(scope) == nil:
		cause = fmt.Errorf("%w: region %s", errUnknownSet, scope)
	case v.short[scope] || !v.set(scope).Writable():
		cause = fmt.Errorf("%w: region %s", errSetShort, scope)
	default:
		return nil
	}
	return notRun(StorageUnavailable, e.spread(storageRetryAfter), cause)
}

// storeRegionally starts to store the turn of a request in the set of its region. The share of its
// budget is written to the global set meanwhile. The returned function waits for the outcome.
func (e *exchange) storeRegionally(ctx context.Context, record *turnstore.Turn) func() error {
	done := make(chan error, 1)
	go func() {
		err := loop.ErrPanicked
		loop.Contain(e.g.reportPanic, func() { err = e.writeTurn(ctx, record) })
		done <- err
	}()
	return func() error { return <-done }
}

// writeTurn stores the turn of a request without its share.
func (e *exchange) writeTurn(ctx context.Context, record *turnstore.Turn) error {
	scope, ok := e.turn.placement.Write()
	if !ok {
		return errNoStorageRegion
	}
	_, err := e.g.write(ctx, scope, records{turn: record, placement: e.turn.placement})
	return err
}

// isRegional reports whether the turn of the request is stored in the set of a region.
func (e *exchange) isRegional() bool {
	scope, ok := e.turn.placement.Write()
	return scope != quorum.Global || !ok
}

// recordOutcome records whether a regional set took a write.
func (g *Gateway) recordOutcome(ctx context.Context, scope quorum.Scope, err error) {
	short := errors.Is(err, errNoMajority)
	if scope == quorum.Global || g.view.Load().short[scope] == short || (short && ctx.Err() != nil) || (err != nil && !short) {
		return
	}
	g.Post(func(now time.Time) { g.setShort(now, scope, short, err) })
}

func (g *Gateway) setShort(now time.Time, scope quorum.Scope, short bool, cause error) {
	if g.view.Load().short[scope] == short {
		return
	}
	next := maps.Clone(g.view.Load().short)
	if next == nil {
		next = map[quorum.Scope]bool{}
	}
	if short {
		next[scope] = true
		g.o.Log.Info("too few storage VMs of a region answer; its turns are refused until a probe succeeds", "region", scope, "cause", cause.Error())
	} else {
		delete(next, scope)
		g.o.Log.Info("the storage VMs of a region answer again", "region", scope)
	}
	g.publish(func(v *view) { v.short = next })
	g.probes.due = now.Add(probeInterval)
}

// setProbes is the state of the probes of regional sets that lack a write quorum. It belongs to the
// control goroutine.
type setProbes struct {
	due     time.Time
	running bool
}

// probeSets starts a probe of the regional sets that lack a write quorum if one is due, and returns
// the time of the next one or the zero time.
func (g *Gateway) probeSets(now time.Time) time.Time {
	v := g.view.Load()
	if len(v.short) == 0 || g.probes.running {
		return time.Time{}
	}
	if now.Before(g.probes.due) {
		return g.probes.due
	}
	g.probes.running = true
	short := slices.Sorted(maps.Keys(v.short))
	go func() {
		loop.Contain(g.reportPanic, func() {
			for _, scope := range short {
				g.probeSet(scope)
			}
		})
		g.Deliver(func(now time.Time) { g.probes = setProbes{due: now.Add(probeInterval)} })
	}()
	return time.Time{}
}

// probeSet makes an empty write, which needs the same members as a turn.
func (g *Gateway) probeSet(scope quorum.Scope) {
	ctx, cancel := context.WithTimeout(g.Context(), storeTimeout)
	defer cancel()
	if _, err := g.write(ctx, scope, records{}); err != nil {
		g.o.Log.V(1).Info("a regional storage set lacks a write quorum", "region", scope, "error", err.Error())
	}
}

// readPart returns a part of a chain that begins with the turn, and the scope of the set that held
// it. It asks the set in first before the others. The error is errNoTurn only if each set that may
// hold the turn lacks it.
func (g *Gateway) readPart(ctx context.Context, p quorum.Placement, key turnstore.TurnKey, first ...quorum.Scope) ([]*turnstore.Turn, quorum.Scope, error) {
	search := p.Search(first...)
	failure := errUnknownSet
	for scope, ok := search.Next(); ok; scope, ok = search.Next() {
		turns, set, err := g.readScope(ctx, scope, key)
		switch {
		case err == nil:
			return turns, scope, nil
		case errors.Is(err, errNoTurn):
			search.Absent(set, g.view.Load().scopes())
		case set == nil && scope != quorum.Global:
			search.Unknown(scope)
		default:
			search.Failed()
			failure = err
			if scope != quorum.Global {
				failure = fmt.Errorf("region %s: %w", scope, err)
			}
		}
	}
	if search.IsAbsent() {
		return nil, quorum.Global, errNoTurn
	}
	return nil, quorum.Global, failure
}

// readScope reads a part of a chain from the set of one scope, and returns the set that was asked
// last, or nil if it is not known.
func (g *Gateway) readScope(ctx context.Context, scope quorum.Scope, key turnstore.TurnKey) ([]*turnstore.Turn, *quorum.Set, error) {
	var set *quorum.Set
	for range maxSetAttempts {
		if set = g.view.Load().set(scope); set == nil {
			return nil, nil, errUnknownSet
		}
		turns, err := g.readFrom(ctx, set, key)
		if !errors.Is(err, errSetChanged) {
			return turns, set, err
		}
	}
	return nil, set, errSetChanged
}
