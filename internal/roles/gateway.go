package roles

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/mangoknot/mangoknot/adapter/listener"
	"github.com/mangoknot/mangoknot/adapter/tunnel"
	"github.com/mangoknot/mangoknot/node/follower"
	"github.com/mangoknot/mangoknot/node/gateway"
	"github.com/mangoknot/mangoknot/platform"
)

const (
	// unreadyDelay is the time between becoming unready and closing the listener.
	// The balancer removes a VM after two failed checks, one per second.
	unreadyDelay = 2300 * time.Millisecond
	// bufferPercent is the part of the VM's memory that the buffers and heads of all requests may
	// use, in percent. The soft memory limit of the runtime holds it twice, because
	// freed buffers are collected late.
	bufferPercent = 25
	// shutdownMargin is the part of the grace period that is reserved for ending
	// the process after the drain.
	shutdownMargin = 500 * time.Millisecond
	// settleTimeout bounds the last write of the shares of token budgets within shutdownMargin.
	settleTimeout = 300 * time.Millisecond
	// answerMargin is the part of the grace period before that in which the requests that are
	// still in flight get their final answer.
	answerMargin = 300 * time.Millisecond
)

// errSignal ends a process after a stop signal. It is not a failure.
var errSignal = errors.New("stopped by a signal")

// Gateway runs a gateway, which serves callers, until the process is stopped.
func Gateway(o Options) error {
	p, err := newProcess("gateway", o)
	if err != nil {
		return err
	}
	metrics := newGatewayMetrics()
	p.bound(metrics.registry)
	g := gateway.New(gateway.Options{
		Process: p.settings.IP + "/" + p.startID, DataCentre: p.settings.DataCentre, Region: p.settings.Region,
		TunnelAddress: p.settings.TunnelAddress, Calls: p.rpcClient, Decode: platform.DecodePackedManifest,
		Targets:            platform.NewWorkers(tunnel.NewDialer(p.codec, p.settings.Name+"/"+p.startID)),
		AllowanceTolerance: p.settings.AllowanceTolerance, ListLag: p.settings.ListLag, AdmitBySlots: p.settings.AdmitBySlots,
		Clock: p.clock, Rand: p.rand, Metrics: metrics, Log: p.log,
	})
	p.group.Add(g.Run, func(error) { g.Stop() })
	f := follower.New(p.rpcClient, g, p.seeds, p.log)
	p.addActor(f.Run)
	if err := p.addHTTP("readiness", p.settings.ReadyAddress, platform.ReadyHandler(g.Ready)); err != nil {
		return err
	}
	if err := p.addMetrics(metrics.registry); err != nil {
		return err
	}
	tunnels, err := p.addTunnels(g)
	if err != nil {
		return err
	}
	if err := p.addIngress(g, tunnels); err != nil {
		return err
	}
	return p.run()
}

// addTunnels serves tunnels to targets for other gateways.
func (p *process) addTunnels(g *gateway.Gateway) (*tunnel.Server, error) {
	l, err := p.listenForPeers("tunnels", p.settings.TunnelAddress, listener.Tunnel)
	if err != nil {
		return nil, err
	}
	server := tunnel.NewServer(p.codec, g)
	p.group.Add(func() error { return server.Serve(l) }, func(error) { l.Close(); server.Close() })
	return server, nil
}

// addIngress serves callers until SIGTERM and then drains: the gateway becomes
// unready, accepts connections until the balancer has removed it, and completes
// the requests in flight.
func (p *process) addIngress(g *gateway.Gateway, tunnels *tunnel.Server) error {
	ingress := platform.NewIngress(g, p.budget)
	l, err := p.listenForCallers(ingress)
	if err != nil {
		return err
	}
	server := ingress.Server()
	l.Attach(server)
	ended := make(chan struct{})
	p.group.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			// The drain ends the process after the last request.
			<-ended
		}
		return err
	}, func(error) { server.Close(); close(ended) })
	p.addSignalHandler(func(ctx context.Context) error { return p.drain(ctx, drained{g, ingress, server, tunnels}) })
	return nil
}

// drained is what a planned stop of a gateway drains.
type drained struct {
	gateway *gateway.Gateway
	ingress *platform.Ingress
	server  *http.Server
	tunnels *tunnel.Server
}

// settleShares writes the shares of token budgets after the last request.
func (p *process) settleShares(g *gateway.Gateway) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := g.SettleShares(ctx); err != nil {
		p.log.Info("the last shares of token budgets were not stored; their reservations count as used", "error", err.Error())
	}
}

// drain makes the gateway unready and shuts the servers down within the grace
// period. Other gateways are told at once to send no more requests through tunnels.
func (p *process) drain(ctx context.Context, d drained) error {
	started := p.clock.Now()
	total := time.Duration(p.settings.GraceSeconds * float64(time.Second))
	ends := started.Add(total - shutdownMargin - answerMargin)
	p.log.Info("drain started; the gateway is no longer ready", "requests_end_after_ms", ends.Sub(started).Milliseconds())
	d.gateway.Drain(started.Add(unreadyDelay), ends)
	d.tunnels.AnnounceStop()
	defer time.AfterFunc(ends.Sub(started), d.ingress.EndRequests).Stop()
	select {
	case <-time.After(unreadyDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, total-unreadyDelay-shutdownMargin)
	defer cancel()
	tunnelsEnded := make(chan error, 1)
	go func() { tunnelsEnded <- d.tunnels.Shutdown(ctx) }()
	err := d.server.Shutdown(ctx)
	p.settleShares(d.gateway)
	p.log.Info("drain finished", "took_ms", p.clock.Now().Sub(started).Milliseconds(), "cut", err != nil, "tunnels_cut", <-tunnelsEnded != nil)
	return nil
}
