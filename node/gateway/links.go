package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoknot/mangoknot/core/balance"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/node/loop"
	"github.com/mangoknot/mangoknot/port"
)

// links is what the gateway knows of its links to the targets. Its fields belong to the
// control goroutine, except for heard.
type links struct {
	detector *reach.Detector
	route    reach.Route
	// peers is the sequence number of the peers in route.
	peers uint64
	host  reach.Host
	// unreachable holds the targets that could not be connected to since the last probe, and
	// when.
	unreachable map[domain.Target]time.Time
	// lastByte is when the last byte of any target was noticed.
	lastByte time.Time
	// heard reports whether bytes of a target arrived since then. Traffic goroutines set it.
	heard atomic.Bool
}

var _ port.TunnelHost = (*Gateway)(nil)

// heardTarget records that bytes of a target arrived. It runs for each event of each stream.
func (g *Gateway) heardTarget() { g.links.heard.Store(true) }

// checkLinks starts probes of targets if there is a reason for them. It returns the time of the next
// check, or zero if none is due.
func (g *Gateway) checkLinks(now time.Time) (next time.Time) {
	l := &g.links
	if l.heard.Swap(false) {
		l.lastByte = now
	}
	l.detector.InFlight(now, g.balancer.InFlight(), l.lastByte)
	if sample := l.detector.Probe(now, g.targetList); sample != nil {
		sample = append(sample, g.neighbours(sample)...)
		go g.probe(sample, func(_ time.Time, results []error) { g.probed(now, sample, results) })
	}
	if l.detector.CutOff() {
		return time.Time{}
	}
	failed, next := g.watch.Unconfirmed(now)
	if targets := g.listed(failed); len(targets) > 0 {
		go g.probe(targets, func(now time.Time, results []error) { g.probedFailed(now, targets, results) })
	}
	return next
}

// listed returns the targets with these ids that are still listed.
func (g *Gateway) listed(ids []domain.Target) []balance.Target {
	var out []balance.Target
	for _, t := range g.targetList {
		if slices.Contains(ids, t.ID) {
			out = append(out, t)
		}
	}
	return out
}

// probe connects to targets and passes the results, which are nil for those that were reached, to the
// control goroutine.
func (g *Gateway) probe(targets []balance.Target, done func(now time.Time, results []error)) {
	ctx, cancel := context.WithTimeout(g.Context(), reach.ProbeTimeout)
	defer cancel()
	results := make([]error, len(targets))
	var pending sync.WaitGroup
	for i, t := range targets {
		results[i] = loop.ErrPanicked
		pending.Go(func() {
			loop.Contain(g.reportPanic, func() { results[i] = g.o.Targets.Probe(ctx, t.Address) })
		})
	}
	pending.Wait()
	g.Deliver(func(now time.Time) { done(now, results) })
}

// probedFailed evaluates the probe of targets whose connections had failed.
func (g *Gateway) probedFailed(now time.Time, targets []balance.Target, results []error) {
	for i, t := range targets {
		if results[i] != nil {
			g.o.Log.Info("a target cannot be reached after its connection failed", "target", t.ID, "cause", results[i].Error())
			g.targetUnreachable(now, t.ID, true, results[i])
		}
	}
}

// refused reports whether the host of a target refused a connection.
func refused(err error) bool {
	var unreachable *port.UnreachableError
	return errors.As(err, &unreachable) && unreachable.Refused
}

// targetUnreachable records that a target could not be connected to. A host that refuses
// connections shows that the target has crashed. Otherwise the gateway's links may have failed, and the
// crash is confirmed only if other targets of the data centre are reached: the coordinators count crashes, and
// quarantine requests for all gateways.
func (g *Gateway) targetUnreachable(now time.Time, id domain.Target, direct bool, cause error) {
	if !direct || refused(cause) {
		g.watch.TargetUnreachable(now, id)
		return
	}
	if g.links.unreachable == nil {
		g.links.unreachable = map[domain.Target]time.Time{}
	}
	if !g.unreachable(id) {
		g.links.unreachable[id] = now
	}
	g.links.detector.Failed()
}

// neighbours returns a target in each data centre that has an unreachable target and none in the
// sample that may answer.
func (g *Gateway) neighbours(sample []balance.Target) []balance.Target {
	covered := map[domain.DataCentre]bool{}
	for _, t := range sample {
		if !g.unreachable(t.ID) {
			covered[t.DataCentre] = true
		}
	}
	var out []balance.Target
	for _, id := range slices.Sorted(maps.Keys(g.links.unreachable)) {
		for _, t := range g.othersNear(id) {
			if !covered[t.DataCentre] && !g.unreachable(t.ID) {
				covered[t.DataCentre] = true
				out = append(out, t)
			}
		}
	}
	return out
}

func (g *Gateway) unreachable(id domain.Target) bool {
	_, ok := g.links.unreachable[id]
	return ok
}

// othersNear returns the other targets in the data centre of a listed target.
func (g *Gateway) othersNear(id domain.Target) []balance.Target {
	listed := g.listed([]domain.Target{id})
	if len(listed) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(g.targetList), func(t balance.Target) bool {
		return t.DataCentre != listed[0].DataCentre || t.ID == id || t.Leaving
	})
}

// confirmUnreachable evaluates the targets that were found unreachable before a probe began.
// reached holds the data centres with targets in the probe, and whether one of them was reached.
func (g *Gateway) confirmUnreachable(began time.Time, reached map[domain.DataCentre]bool) {
	if g.links.detector.CutOff() {
		g.watch.Forget()
		g.links.unreachable = nil
		return
	}
	for id, at := range g.links.unreachable {
		if at.After(began) {
			g.links.detector.Failed() // the next probe tells
			continue
		}
		others := g.othersNear(id)
		if len(others) == 0 || reached[others[0].DataCentre] {
			g.watch.TargetUnreachable(at, id)
		}
	}
	maps.DeleteFunc(g.links.unreachable, func(_ domain.Target, at time.Time) bool { return !at.After(began) })
}

// probed evaluates a probe of a sample of targets. A refused connection shows that the links work.
func (g *Gateway) probed(began time.Time, targets []balance.Target, results []error) {
	var failed []error
	reached := map[domain.DataCentre]bool{}
	for i, t := range targets {
		if err := results[i]; err != nil && !refused(err) {
			failed = append(failed, err)
			continue
		}
		reached[t.DataCentre] = true
	}
	reachedCount := len(targets) - len(failed)
	changed := g.links.detector.Probed(reachedCount, len(failed))
	g.confirmUnreachable(began, reached)
	if !changed {
		return
	}
	cutOff := g.links.detector.CutOff()
	g.o.Metrics.CutOff(cutOff)
	if !cutOff {
		g.o.Log.Info("targets are reached directly again", "reached", reachedCount, "failed", len(failed))
		g.o.Targets.CloseTunnels()
		return
	}
	g.o.Log.Info("no target is reached directly; requests go through other gateways", "probed", len(failed), "peers", g.links.route.Known(), "cause", errors.Join(failed...).Error())
	g.balancer.ForgetFailures()
}

// reportLinks returns what the coordinators and other gateways need to know.
func (g *Gateway) reportLinks() reach.Status {
	if g.o.TunnelAddress == "" || g.view.Load().stopping {
		return reach.Status{}
	}
	return reach.Status{
		Address: g.o.TunnelAddress, DataCentre: g.o.DataCentre, Region: g.o.Region, CutOff: g.links.detector.CutOff(), Peers: g.links.peers,
	}
}

func (g *Gateway) applyPeers(p reach.Peers) {
	if p.Sequence == 0 {
		return
	}
	g.links.peers = p.Sequence
	g.links.route.SetPeers(p.Peers)
}

// tunnels returns the gateways through which the next request is sent, or nil if it is sent
// directly.
func (g *Gateway) tunnels(now time.Time, regions domain.RegionConstraint) []string {
	if !g.usesTunnels() {
		return nil
	}
	return g.links.route.Choose(now, regions)
}

// usesTunnels reports whether requests are sent through other gateways.
func (g *Gateway) usesTunnels() bool {
	return g.links.detector.CutOff() && g.links.route.Known()
}

// tunnelFailed records that another gateway did not open a tunnel, or that one broke.
func (g *Gateway) tunnelFailed(gateway string, err error) {
	g.o.Metrics.TunnelFailed()
	g.o.Log.Info("a tunnel failed; the gateway is tried last for a while", "gateway", gateway, "cause", err.Error())
	g.Deliver(func(now time.Time) { g.links.route.Avoid(now, gateway) })
}

// OpenTunnel implements port.TunnelHost.
func (g *Gateway) OpenTunnel(open *reach.Open) reach.Refusal {
	var refusal reach.Refusal
	// The context of the gateway: a tunnel that is counted after the caller has left would
	// never be closed.
	err := g.Do(g.Context(), func(time.Time) {
		refusal = g.links.host.Request(g.addresses[open.Target], g.links.detector.CutOff(), g.view.Load().stopping)
	})
	if err != nil {
		refusal = reach.RefusedFull
	}
	g.o.Metrics.TunnelRequested(refusal)
	g.o.Log.Info("a gateway requested a tunnel", "tunnel", open.Tunnel, "request", open.Request, "address", open.Target, "refused", refusal)
	return refusal
}

// TunnelClosed implements port.TunnelHost.
func (g *Gateway) TunnelClosed(open *reach.Open, bytes int64, connectErr error) {
	fields := []any{"tunnel", open.Tunnel, "bytes", bytes}
	if connectErr != nil {
		fields = append(fields, "cause", connectErr.Error())
	}
	g.o.Log.Info("a tunnel closed", fields...)
	g.Deliver(func(time.Time) {
		g.links.host.Closed()
		if connectErr != nil {
			g.links.detector.Failed()
		}
	})
}

// tunnelFailure returns the error of a tunnel because of which an attempt failed, or nil.
func tunnelFailure(err error) *port.TunnelError {
	var failure *port.TunnelError
	errors.As(err, &failure)
	return failure
}
