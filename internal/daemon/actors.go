package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
)

// shutdownTimeout bounds the end of the other actors after the first one has ended.
const shutdownTimeout = 5 * time.Second

// AddActors adds the parts of the VM to a group. Each actor blocks until its
// part ends, and the interrupt functions end them.
func (d *Daemon) AddActors(group *run.Group) {
	controlCtx, stopControl := context.WithCancel(context.Background())
	group.Add(func() error {
		defer d.Close()
		return d.Node.Run(controlCtx)
	}, func(error) { stopControl() })
	group.Add(func() error { return d.grpc.Serve(d.listeners.Peers) }, func(error) { d.grpc.Stop() })
	servedCtx, stopServed := context.WithCancel(context.Background())
	group.Add(func() error { return d.serveCallers(servedCtx) }, func(error) {
		stopHTTP(d.callers)
		stopServed()
	})
	group.Add(func() error { return serveHTTP(d.operators, d.listeners.Operators) }, func(error) { stopHTTP(d.operators) })
	drainCtx, stopDrain := context.WithCancel(context.Background())
	group.Add(func() error { return d.plannedStop(drainCtx) }, func(error) { stopDrain() })
	if d.vmList != nil {
		watchCtx, stopWatch := context.WithCancel(context.Background())
		group.Add(func() error { return d.vmList.Watch(watchCtx, d.Node.UpdateVMList) }, func(error) { stopWatch() })
	}
}

// serveCallers ends when the group is stopped. Serve itself returns as soon as
// a planned stop shuts the server down, while calls still run; an actor that
// returned then would stop the group and cut them.
func (d *Daemon) serveCallers(stopped context.Context) error {
	if err := serveHTTP(d.callers, d.listeners.Callers); err != nil {
		return err
	}
	<-stopped.Done()
	return nil
}

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

func stopHTTP(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// plannedStop waits for the order to drain and carries it out: the VM is
// unready at once, hands its shards over, goes on as an entry VM until the
// balancer has noticed, and ends when the last call has.
func (d *Daemon) plannedStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.Node.Draining():
	}
	d.log.Info("the planned stop has begun")
	limited, cancel := context.WithTimeout(ctx, d.settings.DrainDeadline)
	defer cancel()
	unreadyTimer := time.NewTimer(d.settings.UnreadyDelay)
	defer unreadyTimer.Stop()
	if err := d.Node.HandOver(limited); err != nil {
		d.log.Info("the shards were not handed over in time; their backups take over when the leases have ended", "error", err.Error())
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
