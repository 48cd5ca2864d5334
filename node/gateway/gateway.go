// Package gateway serves callers: it finds the route and the client account of a
// request, holds the account to its rate and the program to its token budget,
// continues stored turns, chooses a target and passes the answer on.
//
// One control goroutine holds the counts, the loads of targets and the cache of
// turns. Traffic goroutines, one for each request, read an immutable view and
// post short functions to it.
package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/allowance"
	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/node/loop"
	"github.com/mangoknot/mangoknot/port"
)

// idleWake is the longest time between two settles of an idle gateway.
const idleWake = 500 * time.Millisecond

// Metrics counts what a gateway does.
type Metrics interface {
	// Served counts an answer that was passed on; Refused one that was not.
	Served(route string, took time.Duration)
	Refused(kind Kind)
	// Retried counts a request that was sent to another target.
	Retried(reason string)
}

// Options wires a Gateway.
type Options struct {
	// Process is address/start, unique for each start.
	Process    string
	DataCentre domain.DataCentre
	Region     domain.Region
	Calls      port.Calls
	Targets    port.TargetCaller
	// AllowanceSlack is added to each burst. Operators state how far an allowance
	// may be exceeded in a window; a part of that lets a small account run a whole
	// program at once.
	AllowanceSlack float64
	// Decode reads a document. It is the front end's, as the encoding is.
	Decode  func([]byte) (*manifest.Manifest, error)
	Clock   port.Clock
	Rand    *rand.Rand
	Metrics Metrics
	Log     logr.Logger
}

// view is what traffic goroutines read. It is never changed after it was
// published.
type view struct {
	index    *manifest.Index
	stores   *quorum.Set
	suspects map[quorum.StoreID]bool
	stopping bool
	// quarantined requests must not run any more.
	quarantined map[quarantine.Fingerprint]bool
}

// complete says whether the gateway knows enough to serve. Any coordinator's
// state is enough for that: it was decided, and what is newer follows from the
// leader. A gateway that starts behind a partition serves what it can.
func (v *view) complete() bool { return v.index != nil && v.stores != nil }

// Gateway is one running gateway.
type Gateway struct {
	o Options
	loop.Actor
	view atomic.Pointer[view]

	// The fields below belong to the control goroutine.
	balancer       *balance.Balancer
	allowances     *allowance.Gateway
	cache          *turnCache
	flush          shareFlush
	suspectUntil   map[quorum.StoreID]time.Time
	targetSequence uint64
	targetList     []balance.Target
	queue          []*waiter
	// pendingSettlements holds, for each program, the write of a reservation ahead that is
	// under way.
	pendingSettlements map[tokens.Program]chan struct{}
	shares             *tokens.ShareSet
	watch              quarantine.Watch

	// gatewayCount is the number of gateways that report, for traffic goroutines.
	gatewayCount atomic.Int64
}

// New returns a gateway that is not running yet.
func New(o Options) *Gateway {
	g := &Gateway{
		o:                  o,
		balancer:           balance.New(balance.Location{DataCentre: o.DataCentre, Region: o.Region}, o.Rand),
		cache:              newTurnCache(),
		shares:             tokens.NewShareSet(o.Process),
		pendingSettlements: map[tokens.Program]chan struct{}{},
		suspectUntil:       map[quorum.StoreID]time.Time{},
	}
	g.view.Store(&view{})
	g.allowances = allowance.NewGateway(g.limit, o.Rand, o.Clock.Now())
	g.Actor = loop.NewActor(o.Clock, g.settle)
	return g
}

func (g *Gateway) limit(account domain.Account) (allowance.Limit, bool) {
	index := g.view.Load().index
	if index == nil {
		return allowance.Limit{}, false
	}
	a, ok := index.Account(account)
	if !ok {
		return allowance.Limit{}, false
	}
	return allowance.Limit{RatePerSecond: a.RatePerSecond, Burst: a.Burst + g.o.AllowanceSlack}, true
}

func (g *Gateway) settle(now time.Time) time.Time {
	for id, until := range g.suspectUntil {
		if !now.Before(until) {
			delete(g.suspectUntil, id)
			g.publish(func(v *view) { v.suspects = g.suspectSet() })
		}
	}
	g.cache.expire(now)
	g.serveQueue(now)
	return earliest(now.Add(idleWake), g.shares.Expire(now), g.flushShares(now))
}

// earliest returns the first of the given times; zero times do not count.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// publish replaces the view by a changed copy. Only the control goroutine calls
// it.
func (g *Gateway) publish(change func(*view)) {
	next := *g.view.Load()
	change(&next)
	g.view.Store(&next)
}

func (g *Gateway) suspectSet() map[quorum.StoreID]bool {
	out := map[quorum.StoreID]bool{}
	for id := range maps.Keys(g.suspectUntil) {
		out[id] = true
	}
	return out
}

// suspect asks a storage VM last for a while.
func (g *Gateway) suspect(id quorum.StoreID, cause error) {
	if g.view.Load().suspects[id] || g.Context().Err() != nil {
		return
	}
	g.Post(func(now time.Time) {
		if _, ok := g.suspectUntil[id]; ok {
			return
		}
		g.o.Log.Info("a storage VM does not answer; the others are asked first", "store", id, "cause", cause.Error())
		g.suspectUntil[id] = now.Add(suspectDuration)
		g.publish(func(v *view) { v.suspects = g.suspectSet() })
	})
}

func (g *Gateway) adoptSet(set *quorum.Set) {
	// The traffic goroutine that found the newer set waits for it, because it
	// starts again with the view's set.
	err := g.Do(g.Context(), func(time.Time) { g.applySet(set) })
	if err != nil {
		g.o.Log.V(1).Info("a newer storage set was not adopted", "error", err.Error())
	}
}

func (g *Gateway) applySet(set *quorum.Set) {
	current := g.view.Load().stores
	if set == nil || (current != nil && set.Epoch <= current.Epoch) {
		return
	}
	g.o.Log.Info("follows a new storage set", "epoch", set.Epoch)
	g.publish(func(v *view) { v.stores = set })
}

// Ready says whether the gateway can serve: it knows the configuration, the
// storage VMs and the targets, and does not stop.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return v.complete() && !v.stopping
}

// Drain makes the gateway not ready. Requests are still served.
func (g *Gateway) Drain() {
	g.Deliver(func(time.Time) { g.publish(func(v *view) { v.stopping = true }) })
}

// Stopping says whether Drain was called.
func (g *Gateway) Stopping() bool { return g.view.Load().stopping }

// Report implements follower.Process.
func (g *Gateway) Report(ctx context.Context) (*coordinator.Report, error) {
	r := &coordinator.Report{Process: g.o.Process, Gateway: true}
	err := g.Do(ctx, func(now time.Time) {
		v := g.view.Load()
		if v.index != nil {
			r.Document = v.index.Manifest.Version
		}
		if v.stores != nil {
			r.Stores = v.stores.Epoch
		}
		r.Targets = g.targetSequence
		r.Counts = g.allowances.Report(now)
		r.Crashes = g.watch.Crashes(now)
	})
	return r, err
}

// Apply implements follower.Process.
func (g *Gateway) Apply(v *coordinator.View) {
	index := g.decode(v.Document)
	g.Deliver(func(now time.Time) { g.apply(now, v, index) })
}

// decode builds the lookups outside of the control goroutine.
func (g *Gateway) decode(d *manifest.Document) *manifest.Index {
	if d == nil {
		return nil
	}
	m, err := g.o.Decode(d.Raw)
	if err != nil {
		g.o.Log.Error(err, "the agreed manifest cannot be read; the earlier one stays in use. Check that all VMs run the same version", "version", d.Version)
		return nil
	}
	return manifest.NewIndex(m)
}

func (g *Gateway) apply(now time.Time, v *coordinator.View, index *manifest.Index) {
	before := g.view.Load()
	if index != nil && (before.index == nil || index.Manifest.Version > before.index.Manifest.Version) {
		g.publish(func(v *view) { v.index = index })
		g.o.Log.Info("manifest in force", "version", index.Manifest.Version, "routes", len(index.Manifest.Routes))
	}
	g.applySet(v.Stores)
	if v.Targets != nil {
		g.targetSequence = v.Targets.Sequence
		g.setTargets(v.Targets.Targets)
	}
	if v.Allowances.Gateways > 0 {
		g.gatewayCount.Store(int64(v.Allowances.Gateways))
	}
	if !v.Authoritative {
		g.allowances.SetGateways(v.Allowances.Gateways)
		return
	}
	g.allowances.ApplyTotals(now, v.Allowances)
	g.applyQuarantine(v.Quarantined)
}

func (g *Gateway) applyQuarantine(list []quarantine.Fingerprint) {
	if len(list) == len(g.view.Load().quarantined) {
		// Entries only come one by one and leave together after a long time.
		return
	}
	set := map[quarantine.Fingerprint]bool{}
	for _, f := range list {
		set[f] = true
	}
	g.o.Log.Info("the quarantine changed", "requests", len(list))
	g.publish(func(v *view) { v.quarantined = set })
}

func (g *Gateway) setTargets(list []balance.Target) {
	if slices.Equal(g.targetList, list) {
		// Coordinators without a leader number the same list differently.
		return
	}
	g.targetList = list
	g.balancer.SetTargets(list)
	addresses := map[string]bool{}
	leaving := 0
	for _, t := range list {
		addresses[t.Address] = true
		if t.Leaving {
			leaving++
		}
	}
	g.o.Targets.Retain(addresses)
	g.o.Log.Info("the list of targets changed", "targets", len(list), "leaving", leaving, "sequence", g.targetSequence)
}
