// Package tunnel carries connections to targets through another gateway. A tunnel is one
// connection between the two gateways: a message that names the target, a reply, and then
// the bytes of the connection to the target.
//
// The bytes towards the target are sent as they are. Those from the target come in frames,
// because the end of the target's connection must be told apart from the end of the tunnel:
// an answer may end with its connection, and a tunnel that breaks must not make such an
// answer look whole.
package tunnel

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/core/domain"
)

// frameKind is the first byte of a frame.
type frameKind byte

const (
	// frameData holds bytes of the target.
	frameData frameKind = iota + 1
	// frameEnd means that the target ended its connection. A connection that the target reset
	// has no such frame.
	frameEnd
	// frameStopping means that the gateway is about to stop, so that the connection must not
	// be used for another request.
	frameStopping
)

const (
	// frameHeadBytes is the size of a frame's kind and length.
	frameHeadBytes = 3
	// chunkBytes is the size of the buffers of one direction of a tunnel.
	chunkBytes = 4 << 10
	// maxMessageBytes bounds the first message of each direction.
	maxMessageBytes = 4 << 10
)

func putFrameHead(b []byte, kind frameKind, length int) {
	b[0] = byte(kind)
	binary.BigEndian.PutUint16(b[1:], uint16(length))
}

// writeMessage writes a message with its length.
func writeMessage(w io.Writer, c *codec.Codec, m domain.Message) error {
	data, err := c.EncodeMessage(m)
	if err != nil {
		return fmt.Errorf("tunnel: encode %s: %w", m.MessageName(), err)
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(data))), data...))
	return err
}

// readMessage reads a message with its length.
func readMessage(r io.Reader, c *codec.Codec) (domain.Message, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint16(head[:])
	if length > maxMessageBytes {
		return nil, fmt.Errorf("tunnel: a message of %d bytes exceeds the limit; check that all VMs run compatible versions", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return c.DecodeMessage(data)
}
