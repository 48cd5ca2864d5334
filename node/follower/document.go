package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/mangoknot/mangoknot/core/coordinator"
	"github.com/mangoknot/mangoknot/core/manifest"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// partTimeout bounds the transfer of one part of a document. It is long, because a call
	// that is given up is repeated, and all gateways read at the same time after a restart.
	partTimeout = 3 * time.Second
	// maxPartFailures is the number of failed calls in a row after which the next report
	// decides where to read on.
	maxPartFailures = 3
)

// documentReader reads a document that is too large for the reply to a report. It has one
// part in flight and keeps what it has read. The load pattern that it answers: all gateways
// restart at once behind one link, and a transfer that is repeated from its start each
// time it takes too long keeps the link full.
type documentReader struct {
	calls   port.RPCClient
	process Process
	log     logr.Logger
	// running is set while a goroutine uses the fields below.
	running atomic.Bool
	version manifest.Version
	raw     []byte
}

// start reads the document from the first of the addresses that has it, unless a read is
// in progress.
func (d *documentReader) start(ctx context.Context, version manifest.Version, addresses []string) {
	if !d.running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.running.Store(false)
		d.read(ctx, version, addresses)
	}()
}

func (d *documentReader) read(ctx context.Context, version manifest.Version, addresses []string) {
	started := time.Now()
	if d.version < version {
		d.version, d.raw = version, nil
	}
	// The read goes on at the coordinator that answered last.
	next := 0
	for failures := 0; failures < maxPartFailures && ctx.Err() == nil; {
		address := addresses[next%len(addresses)]
		part, err := d.readPart(ctx, address)
		switch {
		case err != nil:
			d.log.Info("a part of the configuration was not received", "coordinator", address, "version", d.version, "bytes", len(d.raw), "error", err.Error())
			failures, next = failures+1, next+1
			continue
		case part.Version < d.version:
			failures, next = failures+1, next+1
			continue
		case part.Version > d.version:
			d.version, d.raw = part.Version, nil
			continue
		}
		failures = 0
		if part.Offset == len(d.raw) {
			d.raw = append(d.raw, part.Data...)
		}
		if len(d.raw) >= part.Size {
			d.log.Info("the configuration was received in parts", "coordinator", address, "version", d.version, "bytes", len(d.raw), "took_ms", time.Since(started).Milliseconds())
			d.process.Apply(&coordinator.View{Document: &manifest.Document{Version: d.version, Raw: d.raw}})
			d.raw = nil
			return
		}
	}
}

func (d *documentReader) readPart(ctx context.Context, address string) (*coordinator.DocumentPart, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	reply, err := d.calls.Call(ctx, address, &coordinator.ReadDocument{Version: d.version, Offset: len(d.raw)})
	if err != nil {
		return nil, err
	}
	part, ok := reply.(*coordinator.DocumentPart)
	if !ok {
		return nil, errUnexpectedReply
	}
	return part, nil
}
