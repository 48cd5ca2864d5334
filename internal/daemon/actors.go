package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
)

// shutdownTimeout bounds the shutdown of an HTTP server after the first actor has
// ended.
const shutdownTimeout = 5 * time.Second

// AddActors adds the actors of the VM to a group: the control goroutine, the
// servers, the planned stop and the watch of the VM list.
func (d *Daemon) AddActors(group *run.Group) {
	controlCtx, stopControl := context.WithCancel(context.Background())
	group.Add(func() error {
		defer d.Close()
		return d.Node.Run(controlCtx)
	}, func(error) { stopControl() })
	group.Add(func() error { return d.grpc.Serve(d.bounded.peers) }, func(error) { d.grpc.Stop() })
	servedCtx, stopServed := context.WithCancel(context.Background())
	group.Add(func() error { return d.serveCallers(servedCtx) }, func(error) {
		stopHTTP(d.callers)
		stopServed()
	})
	group.Add(func() error { return serveHTTP(d.operators, d.bounded.operators) }, func(error) { stopHTTP(d.operators) })
	drainCtx, stopDrain := context.WithCancel(context.Background())
	group.Add(func() error { return d.plannedStop(drainCtx) }, func(error) { stopDrain() })
	if d.vmList != nil {
		watchCtx, stopWatch := context.WithCancel(context.Background())
		group.Add(func() error { return d.vmList.Watch(watchCtx, d.Node.UpdateVMList) }, func(error) { stopWatch() })
	}
}

// serveCallers serves callers and returns when the group is stopped. Serve
// returns as soon as a planned stop shuts the server down, while calls are still
// in flight. If the actor returned then, it would stop the group and interrupt
// those calls.
func (d *Daemon) serveCallers(stopped context.Context) error {
	if err := serveHTTP(d.callers, d.bounded.callers); err != nil {
		return err
	}
	<-stopped.Done()
	return nil
}

// serveHTTP serves with TLS if the server is configured for it. It returns nil
// after a shutdown.
func serveHTTP(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stopHTTP shuts the server down and closes the connections that remain after
// shutdownTimeout.
func stopHTTP(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// plannedStop waits for a drain request and carries it out. The VM is unready at
// once and hands its shards over. It accepts calls for the unready delay, so that
// the balancer can remove it, and stops after the last call or at the drain deadline.
func (d *Daemon) plannedStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.Node.Draining():
	}
	d.log.Info("the planned stop has started")
	limited, cancel := context.WithTimeout(ctx, d.settings.DrainDeadline)
	defer cancel()
	unreadyTimer := time.NewTimer(d.settings.UnreadyDelay)
	defer unreadyTimer.Stop()
	if err := d.Node.HandOver(limited); err != nil {
		d.log.Info("the shards were not handed over in time; their backups take over when the leases expire", "error", err.Error())
	}
	select {
	case <-limited.Done():
	case <-unreadyTimer.C:
	}
	if err := d.callers.Shutdown(limited); err != nil {
		cut := d.Node.InFlight()
		d.Metrics.CallsCut(cut)
		d.log.Info("the drain deadline has passed; the calls that still run are cut", "calls", cut)
	}
	return ErrDrained
}
