package port

import (
	"context"

	"github.com/mangoknot/mangoknot/core/domain"
)

// Peers sends control messages to the other VMs. Messages may be lost,
// duplicated or reordered across reconnects; the protocols tolerate all three.
type Peers interface {
	// Send queues the message without blocking. It returns false, and drops the
	// message, if the peer's queue is full or its address is unknown.
	Send(s domain.Send) bool
	// Reconnect closes the connection to the peer and opens a new one.
	Reconnect(vm domain.VM)
	// SetAddresses replaces the known addresses. Each is an IP address and a port.
	SetAddresses(addresses map[domain.VM]string)
}

// HistoryTransfer copies the stored bytes of turns between VMs. It uses its own
// connections, so that large bodies do not delay control messages.
type HistoryTransfer interface {
	// Put stores the bytes on the VM and returns after they are durable there.
	Put(ctx context.Context, vm domain.VM, ref HistoryRef, data []byte) error
	// Get returns the bytes from the VM after verifying their checksum.
	Get(ctx context.Context, vm domain.VM, ref HistoryRef) ([]byte, error)
	// Delete removes all turns of a program on the VM.
	Delete(ctx context.Context, vm domain.VM, program domain.ProgramID) error
}
