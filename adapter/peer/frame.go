// Package peer carries control messages and history bytes between VMs over
// grpc-go. Frames are encoded by adapter/codec and sent as opaque bytes. With
// TLS, the VM name that a sender states must be the common name or a DNS name of
// its certificate.
package peer

import "google.golang.org/grpc"

// Names of the gRPC service and its methods.
const (
	serviceName   = "mangoknot.Peer"
	messageMethod = "/" + serviceName + "/Messages"
	putMethod     = "/" + serviceName + "/PutHistory"
	getMethod     = "/" + serviceName + "/GetHistory"
	deleteMethod  = "/" + serviceName + "/DeleteHistory"
)

// senderHeader carries the name of the VM that opened a stream.
const senderHeader = "mangoknot-vm"

// Limits on the messages that one VM accepts from another.
const (
	// maxControlFrameBytes bounds one batch of control messages. A snapshot of
	// the configuration at the target size fits in it.
	maxControlFrameBytes = 64 << 20
	// maxHistoryBytes bounds the history of one turn: 910,000 tokens of about
	// 4 bytes, with headroom for markup.
	maxHistoryBytes = 32 << 20
)

// messageStream describes the one-way stream of control messages.
var messageStream = grpc.StreamDesc{StreamName: "Messages", ClientStreams: true}
