package roles

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/mangoknot/mangoknot/adapter/disk"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/quorum"
	"github.com/mangoknot/mangoknot/core/turnstore"
	"github.com/mangoknot/mangoknot/node/follower"
	"github.com/mangoknot/mangoknot/node/storage"
)

// Storage runs a storage VM, which stores turns and budgets, until the process is
// stopped.
func Storage(o Options) error {
	p, err := newProcess("storage", o)
	if err != nil {
		return err
	}
	d, err := p.openDisk()
	if err != nil {
		return err
	}
	store, err := p.openStore(d)
	if err != nil {
		return err
	}
	regional, err := p.openRegionalStore(d, store.ID())
	if err != nil {
		return err
	}
	metrics := newEventCounter("mangoknot_storage_events_total", "Requests answered and copies ended, by kind.")
	p.bound(metrics.registry)
	n := storage.New(storage.Options{
		Store: store, Regional: regional, Name: p.settings.Name, DataCentre: p.settings.DataCentre, Region: p.settings.Region,
		Process: p.settings.StoreAddress + "/" + p.startID, Disk: d, Calls: p.rpcClient, Clock: p.clock, Log: p.log, Metrics: metrics,
	})
	p.group.Add(n.Run, func(error) { n.Stop() })
	if err := p.addGRPC(p.settings.StoreAddress, n); err != nil {
		return err
	}
	if err := p.addMetrics(metrics.registry); err != nil {
		return err
	}
	f := follower.New(p.rpcClient, n, p.seeds, p.log)
	p.addActor(f.Run)
	p.addSignalHandler(func(context.Context) error { return nil })
	return p.run()
}

// openDisk creates the data folder, if necessary, and opens it.
func (p *process) openDisk() (*disk.Disk, error) {
	if err := os.MkdirAll(p.settings.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("roles: data folder: %w", err)
	}
	return disk.New(p.settings.DataDir, p.codec, 0), nil
}

// openStore restores the store from the disk. A new store gets an ID.
func (p *process) openStore(d *disk.Disk) (*turnstore.Store, error) {
	store := turnstore.New()
	now := p.clock.Now()
	err := d.Load(storage.Stream, func(r domain.Record) error { return store.Restore(now, r) })
	if err != nil {
		return nil, err
	}
	if store.ID() == "" {
		id := quorum.StoreID(p.settings.StoreAddress + "/" + p.startID)
		if err := appendAndWait(d, storage.Stream, store.AssignID(id)); err != nil {
			return nil, err
		}
	}
	turns, programs, bytes := store.Counts()
	p.log.Info("the store was restored from the disk", "store", store.ID(), "turns", turns, "programs", programs, "bytes", bytes)
	return store, nil
}

// openRegionalStore restores the store of the set of the VM's region. Records of another region or
// disk are discarded: they must not be copied to the members of this region.
func (p *process) openRegionalStore(d *disk.Disk, id quorum.StoreID) (*turnstore.Store, error) {
	scope := quorum.Scope(p.settings.Region)
	if scope == quorum.Global {
		return nil, nil
	}
	store := turnstore.NewScoped(scope, id)
	now := p.clock.Now()
	err := d.Load(storage.RegionalStream, func(r domain.Record) error { return store.Restore(now, r) })
	if err != nil {
		return nil, err
	}
	if !store.Belongs(id) {
		p.log.Info("the stored turns of another region or disk are discarded", "region", scope, "store", id)
		return turnstore.NewScoped(scope, id), replaceAndWait(d, storage.RegionalStream)
	}
	if store.Set() != nil {
		turns, _, bytes := store.Counts()
		p.log.Info("the store of the region was restored from the disk", "region", scope, "turns", turns, "bytes", bytes)
	}
	return store, nil
}

// replaceAndWait replaces the content of a stream and waits until that is durable.
func replaceAndWait(d *disk.Disk, stream string, records ...domain.Record) error {
	done := make(chan error, 1)
	d.Replace(stream, records, func(err error) { done <- err })
	return <-done
}

// appendAndWait appends records and waits until they are durable.
func appendAndWait(d *disk.Disk, stream string, records ...domain.Record) error {
	done := make(chan error, 1)
	d.Append(stream, records, func(err error) { done <- err })
	return <-done
}

// addSignalHandler adds an actor that calls beforeExit on SIGTERM or SIGINT and
// then ends the process.
func (p *process) addSignalHandler(beforeExit func(ctx context.Context) error) {
	p.addActor(func(ctx context.Context) error {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
			return errors.Join(errSignal, beforeExit(ctx))
		}
	})
}
