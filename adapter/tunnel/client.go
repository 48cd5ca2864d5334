package tunnel

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/tcp"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// peerDialTimeout bounds the connection to another gateway. Another region is 16 ms away.
	peerDialTimeout = 250 * time.Millisecond
	// openTimeout bounds the reply of the other gateway, which connects to the target first.
	openTimeout = 800 * time.Millisecond
)

// Dialer opens tunnels. It is safe for concurrent use.
type Dialer struct {
	codec *codec.Codec
	// name is part of the names of tunnels, and count the number of tunnels so far.
	name  string
	count atomic.Uint64
}

// NewDialer returns a dialer. The name is unique for each start of a gateway.
func NewDialer(c *codec.Codec, name string) *Dialer { return &Dialer{codec: c, name: name} }

// Dial opens a tunnel to a target through one of the peers. It fails with a
// *port.UnreachableError if two peers, or the only one, cannot connect to the target: one of
// them may be cut off as well and not know it yet. It fails with a *port.TunnelError if no
// peer opens a tunnel. Both mean that nothing was sent. onPeerError is called for each peer
// that does not open one.
func (d *Dialer) Dial(ctx context.Context, peers []string, request, target string, onPeerError func(peer string, err error)) (*Conn, error) {
	var last, unreachable error
	for _, peer := range peers {
		conn, err := d.dialPeer(ctx, peer, request, target)
		var failed *port.TunnelError
		switch {
		case err == nil:
			return conn, nil
		case ctx.Err() != nil:
			return nil, err
		case errors.As(err, &failed):
			onPeerError(peer, err)
			last = err
		case unreachable != nil:
			return nil, err
		default:
			unreachable = err
		}
	}
	return nil, cmp.Or(unreachable, last)
}

func (d *Dialer) dialPeer(ctx context.Context, peer, request, target string) (*Conn, error) {
	c, err := tcp.Dial(ctx, peer, peerDialTimeout)
	if err != nil {
		return nil, &port.TunnelError{Gateway: peer, NotSent: true, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	conn := &Conn{Conn: c, gateway: peer, name: fmt.Sprintf("%s.%d", d.name, d.count.Add(1))}
	err = d.open(conn, request, target)
	if !stop() && err == nil {
		err = &port.TunnelError{Gateway: peer, NotSent: true, Err: ctx.Err()}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return conn, nil
}

func (d *Dialer) open(c *Conn, request, target string) error {
	failed := func(err error) error { return &port.TunnelError{Gateway: c.gateway, NotSent: true, Err: err} }
	if err := c.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		return failed(err)
	}
	if err := writeMessage(c.Conn, d.codec, &reach.Open{Tunnel: c.name, Request: request, Target: target}); err != nil {
		return failed(err)
	}
	m, err := readMessage(c.Conn, d.codec)
	if err != nil {
		return failed(err)
	}
	opened, ok := m.(*reach.Opened)
	switch {
	case !ok:
		return failed(fmt.Errorf("unexpected message %s; check that all VMs run compatible versions", m.MessageName()))
	case opened.Refusal == reach.TargetUnreachable:
		return &port.UnreachableError{Address: target, Err: fmt.Errorf("through %s: %s", c.gateway, opened.Cause)}
	case opened.Refusal != "":
		return failed(fmt.Errorf("the gateway refused it: %s", opened.Refusal))
	}
	return c.SetDeadline(time.Time{})
}

// Conn is a connection to a target through another gateway.
type Conn struct {
	net.Conn
	gateway, name string
	// left is the number of bytes of the current frame that were not read yet.
	left     int
	ended    bool
	stopping bool
}

// Via names the gateway and the tunnel, for logs.
func (c *Conn) Via() string { return c.gateway + " " + c.name }

// Gateway returns the address of the other gateway.
func (c *Conn) Gateway() string { return c.gateway }

// Stopping reports whether the other gateway is about to stop, so that the connection must
// not be used for another request.
func (c *Conn) Stopping() bool { return c.stopping }

// SyscallConn implements syscall.Conn, with which idle connections are checked.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Read reads bytes of the target. It returns io.EOF only if the target ended its connection.
func (c *Conn) Read(p []byte) (int, error) {
	for c.left == 0 && !c.ended {
		if err := c.nextFrame(); err != nil {
			return 0, c.broken(err)
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err != nil {
		err = c.broken(err)
	}
	return n, err
}

func (c *Conn) nextFrame() error {
	var head [frameHeadBytes]byte
	if _, err := io.ReadFull(c.Conn, head[:]); err != nil {
		return err
	}
	switch frameKind(head[0]) {
	case frameData:
		c.left = int(binary.BigEndian.Uint16(head[1:]))
	case frameEnd:
		c.ended = true
	case frameStopping:
		c.stopping = true
	default:
		return fmt.Errorf("unknown frame %d; check that all VMs run compatible versions", head[0])
	}
	return nil
}

// broken returns the error of a tunnel that ended although the target did not end its
// connection. The outcome of a request on it is unknown.
func (c *Conn) broken(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &port.TunnelError{Gateway: c.gateway, Err: err}
}
