// Package gateway serves the requests of callers. It finds the route and the
// client account, enforces the account's rate and the program's token budget,
// loads the history of stored turns, chooses a target and forwards the answer.
//
// One control goroutine owns the counters, the load of the targets and the
// cache of turns. Each request has a traffic goroutine of its own, which reads
// an immutable view and posts short functions to the control goroutine.
package gateway

import (
	"context"
	"fmt"
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
	"github.com/mangoknot/mangoknot/core/evacuation"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/core/quarantine"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/core/targetlimit"
	"github.com/mangoknot/mangoknot/core/tokens"
	"github.com/mangoknot/mangoknot/core/waiting"
	"github.com/mangoknot/mangoknot/node/loop"
	"github.com/mangoknot/mangoknot/port"
)

// idleWake is the longest time between two settle calls of an idle gateway.
const idleWake = 500 * time.Millisecond

// Metrics receives the counters of a gateway.
type Metrics interface {
	// Served counts an answer that was forwarded completely, Refused a refusal.
	Served(route string, took time.Duration)
	Refused(kind Kind)
	// RegionRefused counts a request that its region constraint left no target for.
	RegionRefused(kind Kind)
	// TurnedAway counts a request that waited for a target, or would have, by the reason why it
	// does not any more.
	TurnedAway(reason waiting.Reason)
	// Retried counts an attempt that is followed by another one, by its reason.
	Retried(reason string)
	// Panicked counts a function that panicked.
	Panicked()
	// LimitExceeded counts an answer that exceeds a bound.
	LimitExceeded(limit port.Limit)
	// TargetLeaves counts a target that says in an answer that it leaves.
	TargetLeaves()
	// PaceReported records the pace in an answer of a target, in percent.
	PaceReported(percent int)
	// RefillAwaited counts a request that waited for the refill of its account, by the end of
	// the wait.
	RefillAwaited(end string)
	// CutOff records whether the gateway reaches no target itself.
	CutOff(cutOff bool)
	// TunnelFailed counts a tunnel that another gateway did not open for this one.
	TunnelFailed()
	// TunnelRequested counts a tunnel that another gateway requested, by the reason why it was
	// not opened.
	TunnelRequested(refusal reach.Refusal)
	// Evacuations records the evacuations in force.
	Evacuations(inForce []evacuation.Order)
	// ColdTargets records the number of targets that count as cold.
	ColdTargets(n int)
}

// NoMetrics is a Metrics that records nothing.
type NoMetrics struct{}

// Served implements Metrics.
func (NoMetrics) Served(string, time.Duration) {}

// Refused implements Metrics.
func (NoMetrics) Refused(Kind) {}

// RegionRefused implements Metrics.
func (NoMetrics) RegionRefused(Kind) {}

// TurnedAway implements Metrics.
func (NoMetrics) TurnedAway(waiting.Reason) {}

// Retried implements Metrics.
func (NoMetrics) Retried(string) {}

// Panicked implements Metrics.
func (NoMetrics) Panicked() {}

// LimitExceeded implements Metrics.
func (NoMetrics) LimitExceeded(port.Limit) {}

// TargetLeaves implements Metrics.
func (NoMetrics) TargetLeaves() {}

// PaceReported implements Metrics.
func (NoMetrics) PaceReported(int) {}

// RefillAwaited implements Metrics.
func (NoMetrics) RefillAwaited(string) {}

// CutOff implements Metrics.
func (NoMetrics) CutOff(bool) {}

// TunnelFailed implements Metrics.
func (NoMetrics) TunnelFailed() {}

// TunnelRequested implements Metrics.
func (NoMetrics) TunnelRequested(reach.Refusal) {}

// Evacuations implements Metrics.
func (NoMetrics) Evacuations([]evacuation.Order) {}

// ColdTargets implements Metrics.
func (NoMetrics) ColdTargets(int) {}

// Options holds the settings and adapters of a Gateway.
type Options struct {
	// Process is address/start and is unique for each start.
	Process    string
	DataCentre domain.DataCentre
	Region     domain.Region
	// TunnelAddress is where the gateway accepts tunnels of other gateways, or "".
	TunnelAddress string
	Calls         port.RPCClient
	Targets       port.TargetCaller
	// AllowanceTolerance is by how much operators permit the requests of an account to
	// exceed its allowance.
	AllowanceTolerance allowance.Tolerance
	// ListLag is by how much the platform's list of targets lags at most.
	ListLag time.Duration
	// AdmitBySlots reports whether a chain of turns counts for a slot of the engines when new
	// programs are admitted by the engines' memory.
	AdmitBySlots bool
	// Decode parses a manifest document. The front end provides it, because it
	// defines the encoding.
	Decode  func([]byte) (*manifest.Manifest, error)
	Clock   port.Clock
	Rand    *rand.Rand
	Metrics Metrics
	Log     logr.Logger
}

// view is the state that traffic goroutines read. It does not change after it
// was published.
type view struct {
	index *manifest.Index
	// stores is the global set, and regional holds those of the regions.
	stores   *quorum.Set
	regional map[quorum.Scope]*quorum.Set
	// short holds the regional sets that lack a write quorum.
	short    map[quorum.Scope]bool
	suspects map[quorum.StoreID]bool
	stopping bool
	// stop is the course of a planned stop while stopping is set.
	stop plannedStop
	// quarantined holds the requests that must not run any more.
	quarantined map[quarantine.Fingerprint]bool
}

// complete reports whether the view suffices to serve requests. The state of
// any coordinator is enough: it is committed, and the leader sends the newer
// parts later. A gateway that starts while a partition separates it from the
// leader can therefore serve.
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
	probes         setProbes
	suspectUntil   map[quorum.StoreID]time.Time
	targetSequence uint64
	// listedTargets is the list of the coordinators, and targetList the same with the targets
	// marked that said that they leave.
	listedTargets, targetList []balance.Target
	departures                balance.Departures
	queue                     *waiting.Queue[*waiter]
	// held holds the requests that wait for the refill of their accounts.
	held *allowance.Held[*heldRequest]
	// pendingSettlements holds, for each program, a channel that is closed when
	// the pending write of an advance reservation has ended.
	pendingSettlements map[tokens.Program]chan struct{}
	shares             *tokens.ShareSet
	watch              quarantine.Watch
	// suspected holds the requests whose answers are reported, and servedSuspects those of them
	// that were answered.
	suspected, servedSuspects map[quarantine.Fingerprint]bool
	limits                    *targetlimit.Gateway
	// services maps each listed target to its service, and addresses holds their addresses.
	services  map[domain.Target]string
	addresses map[string]bool
	links     links
	versions  versions
	// evacuations holds the newest orders of any coordinator.
	evacuations *evacuation.State
	cold        coldTargets

	// gatewayCount is the number of reporting gateways. Traffic goroutines read
	// it.
	gatewayCount atomic.Int64
	// limitsKnown reports whether any target has named a limit. Traffic goroutines read
	// it.
	limitsKnown atomic.Bool
}

// New returns a gateway that is not running yet.
func New(o Options) *Gateway {
	limits := targetlimit.NewGateway(o.Rand)
	g := &Gateway{
		o:                  o,
		limits:             limits,
		balancer:           balance.New(domain.Location{DataCentre: o.DataCentre, Region: o.Region}, limits, o.Rand),
		cache:              newTurnCache(),
		shares:             tokens.NewShareSet(o.Process),
		pendingSettlements: map[tokens.Program]chan struct{}{},
		suspectUntil:       map[quorum.StoreID]time.Time{},
		servedSuspects:     map[quarantine.Fingerprint]bool{},
		queue:              waiting.NewQueue[*waiter](o.Rand),
		held:               allowance.NewHeld[*heldRequest](),
		links:              links{detector: reach.NewDetector(o.Rand)},
		cold:               coldTargets{Coldness: balance.NewColdness(o.ListLag)},
	}
	g.view.Store(&view{})
	g.allowances = allowance.NewGateway(g.limit, o.Rand, o.Clock.Now())
	g.Actor = loop.NewActor(o.Clock, g.settle)
	g.ContainPanics(g.reportPanic)
	return g
}

// reportPanic logs and counts a panic. The gateway continues: its state is either
// restored from the coordinators and storage VMs or belongs to one request.
func (g *Gateway) reportPanic(value any, stack []byte) {
	g.o.Metrics.Panicked()
	g.o.Log.Error(fmt.Errorf("panic: %v", value), "a function panicked; only its request fails. Report it as a bug", "stack", string(stack))
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
	return g.o.AllowanceTolerance.Limit(a.RatePerSecond, a.Burst), true
}

func (g *Gateway) settle(now time.Time) time.Time {
	for id, until := range g.suspectUntil {
		if !now.Before(until) {
			delete(g.suspectUntil, id)
			g.publish(func(v *view) { v.suspects = g.suspectSet() })
		}
	}
	g.cache.expire(now)
	nextProbe := g.checkLinks(now)
	g.updateCold(now)
	g.sendHeld(now)
	g.serveQueue(now)
	return earliest(now.Add(idleWake), nextProbe, g.held.Next(), g.shares.Expire(now), g.flushShares(now), g.probeSets(now))
}

// earliest returns the earliest non-zero time, or the zero time if there is
// none.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// publish replaces the view by a modified copy. It runs on the control
// goroutine only.
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

// suspect moves a storage VM to the end of the query order for suspectDuration.
func (g *Gateway) suspect(id quorum.StoreID, cause error) {
	if g.view.Load().suspects[id] || g.Context().Err() != nil {
		return
	}
	g.Post(func(now time.Time) {
		if _, ok := g.suspectUntil[id]; ok {
			return
		}
		g.o.Log.Info("a storage VM does not answer in time; the other members are queried first", "store", id, "cause", cause.Error())
		g.suspectUntil[id] = now.Add(suspectDuration)
		g.publish(func(v *view) { v.suspects = g.suspectSet() })
	})
}

func (g *Gateway) adoptSet(set *quorum.Set) {
	// Waits until the view holds the newer set, because the caller retries with
	// the set of the view.
	err := g.Do(g.Context(), func(time.Time) { g.applySet(set) })
	if err != nil {
		g.o.Log.V(1).Info("the newer storage set was not applied", "error", err.Error())
	}
}

func (g *Gateway) applySet(set *quorum.Set) {
	if set == nil {
		return
	}
	current := g.view.Load().set(set.Scope)
	if current != nil && set.Epoch <= current.Epoch {
		return
	}
	g.o.Log.Info("applied a new storage set", "region", set.Scope, "epoch", set.Epoch)
	g.publish(func(v *view) {
		if set.Scope == quorum.Global {
			v.stores = set
		} else {
			v.regional = v.putSet(set)
		}
	})
}

// Ready reports whether the gateway can serve: it has the configuration and the
// storage set and is not draining.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return v.complete() && !v.stopping
}

// plannedStop is the course of a planned stop.
type plannedStop struct {
	// noNewConnections is the time from which no new connections arrive, and ends the time at
	// which the requests in flight are ended.
	noNewConnections, ends time.Time
}

// Drain makes the gateway not ready. It still serves the requests that arrive and whose
// deadline is not after ends. It refuses the others, which callers retry on a new connection;
// after noNewConnections that leads to another VM.
func (g *Gateway) Drain(noNewConnections, ends time.Time) {
	g.Deliver(func(time.Time) {
		g.publish(func(v *view) { v.stopping, v.stop = true, plannedStop{noNewConnections, ends} })
	})
}

// Stopping reports whether Drain was called.
func (g *Gateway) Stopping() bool { return g.view.Load().stopping }

// Limits returns the manifest's limits on callers, which are zero before the first
// manifest.
func (g *Gateway) Limits() manifest.Limits {
	index := g.view.Load().index
	if index == nil {
		return manifest.Limits{}
	}
	return index.Manifest.Limits
}

// Report implements follower.Process.
func (g *Gateway) Report(ctx context.Context) (*coordinator.Report, error) {
	r := &coordinator.Report{Process: g.o.Process, Gateway: true}
	err := g.Do(ctx, func(now time.Time) {
		g.versions.reportedAt = now
		v := g.view.Load()
		if v.index != nil {
			r.Document, r.Constrained = v.index.Manifest.Version, v.index.Constrained
		}
		if v.stores != nil {
			r.Stores = v.stores.Epoch
		}
		r.Regional = v.setVersions()
		r.Targets = g.targetSequence
		r.Counts = g.allowances.Report(now, uint64(r.Document))
		r.Crashes = g.watch.Crashes(now, g.suspected)
		r.Served = slices.Sorted(maps.Keys(g.servedSuspects))
		r.Limits = g.reportLimits(now)
		r.Reach = g.reportLinks()
		r.Leaving = g.departures.Unlisted(now)
		r.Evacuations = g.evacuations.Version()
		r.Cold = g.cold.Unlisted(now)
	})
	return r, err
}

// Apply implements follower.Process.
func (g *Gateway) Apply(v *coordinator.View) {
	index := g.decode(v.Document)
	g.Deliver(func(now time.Time) { g.apply(now, v, index) })
}

// decode parses the manifest and builds its index on the calling goroutine, to
// keep this work off the control goroutine.
func (g *Gateway) decode(d *manifest.Document) *manifest.Index {
	if d == nil {
		return nil
	}
	m, err := g.o.Decode(d.Raw)
	if err != nil {
		g.o.Log.Error(err, "the committed manifest cannot be read; the previous one stays in use. Check that all VMs run the same version", "version", d.Version)
		return nil
	}
	return manifest.NewIndex(m)
}

func (g *Gateway) apply(now time.Time, v *coordinator.View, index *manifest.Index) {
	before := g.view.Load()
	if index != nil && (before.index == nil || index.Manifest.Version > before.index.Manifest.Version) {
		g.publish(func(v *view) { v.index = index })
		g.cold.setLimits(index.Manifest)
		g.o.Log.Info("manifest in force", "version", index.Manifest.Version, "routes", len(index.Manifest.Routes))
	}
	g.applySet(v.Stores)
	g.applyEvacuations(now, v.Evacuations)
	for _, set := range v.Regional {
		g.applySet(set)
	}
	if v.Targets != nil {
		g.targetSequence = v.Targets.Sequence
		g.listedTargets = v.Targets.Targets
	}
	if v.Targets != nil || g.departures.Any() {
		g.setTargets(g.departures.Mark(now, g.listedTargets, v.TargetsCurrent))
	}
	g.applyVersions(now, v)
	if v.TargetsCurrent {
		g.cold.Confirmed(now, g.versions.reportedAt.Add(-v.TargetsAge))
	}
	g.updateCold(now)
	if v.Allowances.Gateways > 0 {
		g.gatewayCount.Store(int64(v.Allowances.Gateways))
		g.limits.SetGateways(v.Allowances.Gateways)
		g.limits.CountGateways(now, v.Allowances.Gateways)
	}
	if !v.Authoritative {
		g.allowances.SetGateways(v.Allowances.Gateways)
		return
	}
	g.allowances.ApplyTotals(now, v.Allowances)
	g.applyQuarantine(v)
	g.applyPeers(v.Peers)
	g.limits.Apply(now, v.Limits)
	g.limitsKnown.Store(g.limits.Any())
}

func (g *Gateway) reportLimits(now time.Time) targetlimit.Report {
	r := g.limits.Report(now, g.services)
	g.limitsKnown.Store(g.limits.Any())
	if len(r.Wanted) > 0 {
		r.DataCentre, r.Region = g.o.DataCentre, g.o.Region
	}
	return r
}

// recordLimit records what an answer says of its target's limit, which is nil if it names
// none.
func (g *Gateway) recordLimit(now time.Time, target domain.Target, limit *float64) {
	if !g.limits.Observe(now, target, limit) {
		return
	}
	g.limitsKnown.Store(true)
	if limit == nil {
		g.o.Log.Info("a target no longer limits its requests", "target", target)
		return
	}
	g.o.Log.Info("a target limits its requests", "target", target, "per_second", *limit)
}

// recordDeparture records that a target says that it leaves. It gets no new request from now
// on.
func (g *Gateway) recordDeparture(now time.Time, t balance.Target) {
	if !g.departures.Observe(now, t) {
		return
	}
	g.o.Metrics.TargetLeaves()
	g.o.Log.Info("a target says that it leaves; it gets no new requests", "target", t.ID)
	g.setTargets(g.departures.Mark(now, g.listedTargets, false))
}

// applyQuarantine applies what the leader says of requests that crash targets.
func (g *Gateway) applyQuarantine(v *coordinator.View) {
	for _, f := range v.Cleared {
		g.watch.Served(f)
	}
	g.suspected = fingerprintSet(v.Suspected)
	maps.DeleteFunc(g.servedSuspects, func(f quarantine.Fingerprint, _ bool) bool { return !g.suspected[f] })
	set := fingerprintSet(v.Quarantined)
	if maps.Equal(set, g.view.Load().quarantined) {
		return
	}
	g.o.Log.Info("the list of quarantined requests changed", "requests", len(set))
	g.publish(func(v *view) { v.quarantined = set })
}

func fingerprintSet(list []quarantine.Fingerprint) map[quarantine.Fingerprint]bool {
	set := map[quarantine.Fingerprint]bool{}
	for _, f := range list {
		set[f] = true
	}
	return set
}

// requestServed records that a target has answered a request, which is therefore not the cause of
// the crashes that were counted for it.
func (g *Gateway) requestServed(f quarantine.Fingerprint) {
	g.watch.Served(f)
	if g.suspected[f] && !g.servedSuspects[f] {
		g.servedSuspects[f] = true
		g.o.Log.Info("a request that was at crashed targets was answered; its crashes no longer count", "fingerprint", f)
	}
}

func (g *Gateway) setTargets(list []balance.Target) {
	if slices.Equal(g.targetList, list) {
		// Without a leader, coordinators give the same list different sequence
		// numbers.
		return
	}
	g.targetList = list
	g.cold.SetList(list)
	g.balancer.SetTargets(list)
	g.addresses = map[string]bool{}
	g.services = map[domain.Target]string{}
	leaving := 0
	for _, t := range list {
		g.addresses[t.Address] = true
		g.services[t.ID] = t.Service
		if t.Leaving {
			leaving++
		}
	}
	g.o.Targets.Retain(g.addresses)
	g.o.Log.Info("the list of targets changed", "targets", len(list), "leaving", leaving, "sequence", g.targetSequence)
}
