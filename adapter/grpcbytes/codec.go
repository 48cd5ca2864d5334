// Package grpcbytes provides a gRPC codec for messages that are already encoded.
package grpcbytes

import (
	"fmt"

	"google.golang.org/grpc/mem"
)

// Codec implements encoding.CodecV2 for *[]byte. It passes the bytes unchanged,
// because messages are encoded before they are passed to gRPC.
type Codec struct{}

// Name implements encoding.CodecV2.
func (Codec) Name() string { return "mangoknot-bytes" }

// Marshal implements encoding.CodecV2.
func (Codec) Marshal(v any) (mem.BufferSlice, error) {
	data, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("grpcbytes: cannot send %T; use *[]byte", v)
	}
	return mem.BufferSlice{mem.SliceBuffer(*data)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (Codec) Unmarshal(data mem.BufferSlice, v any) error {
	out, ok := v.(*[]byte)
	if !ok {
		return fmt.Errorf("grpcbytes: cannot receive %T; use *[]byte", v)
	}
	*out = data.Materialize()
	return nil
}
