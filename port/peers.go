package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Peers carries control messages to the other VMs. Messages may be lost,
// repeated or reordered over reconnects; the protocols tolerate all three.
type Peers interface {
	// Send queues the message and never blocks. It returns false when the
	// peer's queue is full or its address is unknown; the message is dropped.
	Send(s domain.Send) bool
	// Reconnect closes the connection to the peer and opens a new one.
	Reconnect(vm domain.VM)
	// SetAddresses replaces the known addresses, as IP number and port.
	SetAddresses(addresses map[domain.VM]string)
}

// HistoryTransfer moves turn bytes between VMs. It uses connections of its
// own, so that large bodies never delay control messages.
type HistoryTransfer interface {
	// Put stores the bytes on the VM and returns after they are durable there.
	Put(ctx context.Context, vm domain.VM, ref HistoryRef, data []byte) error
	// Get returns the verified bytes from the VM.
	Get(ctx context.Context, vm domain.VM, ref HistoryRef) ([]byte, error)
	// Delete removes all turns of a program on the VM.
	Delete(ctx context.Context, vm domain.VM, program domain.ProgramID) error
}
