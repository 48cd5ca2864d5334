// Package peer carries control messages and history bytes between VMs over
// grpc-go. Frames are encoded by adapter/codec; grpc carries them as bytes. With
// TLS, the name that a VM claims must be the common name or a DNS name of its
// certificate.
package peer

import (
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/mem"
)

// bytesCodec passes []byte through unchanged, because the messages inside are
// encoded before they reach grpc.
type bytesCodec struct{}

// Name implements encoding.CodecV2.
func (bytesCodec) Name() string { return "mangoknot-bytes" }

// Marshal implements encoding.CodecV2.
func (bytesCodec) Marshal(v any) (mem.BufferSlice, error) {
	data, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("peer: cannot send %T; use *[]byte", v)
	}
	return mem.BufferSlice{mem.SliceBuffer(*data)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (bytesCodec) Unmarshal(data mem.BufferSlice, v any) error {
	out, ok := v.(*[]byte)
	if !ok {
		return fmt.Errorf("peer: cannot receive %T; use *[]byte", v)
	}
	*out = data.Materialize()
	return nil
}

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
