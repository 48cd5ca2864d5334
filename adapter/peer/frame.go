// Package peer carries control messages and history bytes between VMs over
// grpc-go. Frames are encoded by adapter/codec; grpc carries them as bytes. With
// TLS, the name that a VM claims must be the common name or a DNS name of its
// certificate.
package peer

import "google.golang.org/grpc"

// The names of the service and its methods on the wire.
const (
	serviceName   = "mangoknot.Peer"
	messageMethod = "/" + serviceName + "/Messages"
	putMethod     = "/" + serviceName + "/PutHistory"
	getMethod     = "/" + serviceName + "/GetHistory"
	deleteMethod  = "/" + serviceName + "/DeleteHistory"
)

// senderHeader names the VM that opened a stream.
const senderHeader = "mangoknot-vm"

// Limits on what one VM accepts from another.
const (
	// maxControlFrameBytes bounds one batch of control messages. It holds a
	// snapshot of the configuration at the target size.
	maxControlFrameBytes = 64 << 20
	// maxHistoryBytes bounds the bytes of one turn: 910,000 tokens of about
	// 4 bytes, with room for markup.
	maxHistoryBytes = 32 << 20
)

// messageStream describes the one-way stream of control messages.
var messageStream = grpc.StreamDesc{StreamName: "Messages", ClientStreams: true}
