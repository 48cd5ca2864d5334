// Package tcp opens TCP connections that detect an unresponsive peer.
package tcp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout limits the time for which sent data may remain unacknowledged.
	// Without it a connection to a peer behind a network partition would hang,
	// because the peer sends no reset.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect an unresponsive
	// peer within about two seconds on a connection that only receives.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// Dial connects to an IPv4 address and port within the timeout. Reads return io.EOF only if
// the peer ended the connection.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, Control: setUserTimeout, KeepAliveConfig: keepAlive}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, tcp: c.(*net.TCPConn)}, nil
}

// conn is a connection whose reads tell a reset from an end. The kernel returns the error of
// a reset only once: if a write receives it, reads report an end.
type conn struct {
	net.Conn
	tcp *net.TCPConn
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the peer ended the connection. A connection that was reset or
// timed out is in the state CLOSE.
func (c *conn) checkEnd() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.Join(err, infoErr); err != nil {
		return err
	}
	if info.State == unix.BPF_TCP_CLOSE {
		return fmt.Errorf("tcp: read from %s: %w", c.RemoteAddr(), unix.ECONNRESET)
	}
	return io.EOF
}

// Reset closes a connection with a reset, so that the peer does not take it for an end.
func Reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // fails only if the connection has ended
	}
	c.Close()
}

// Watch makes an accepted connection detect an unresponsive peer, as those of Dial do.
func Watch(c net.Conn) error {
	accepted, ok := c.(interface {
		syscall.Conn
		SetKeepAliveConfig(net.KeepAliveConfig) error
	})
	if !ok {
		return nil
	}
	raw, err := accepted.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(setUserTimeout("", "", raw), accepted.SetKeepAliveConfig(keepAlive))
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// ErrNotIdle is returned by CheckIdle for an idle connection that has unread data
// or was closed by its peer.
var ErrNotIdle = errors.New("tcp: the idle connection was closed by its peer or has unexpected data; open a new connection")

// CheckIdle returns an error if an idle connection was closed by its peer, has
// unread data or has failed. It does not block. It cannot check a connection
// that does not implement syscall.Conn and returns nil for it.
func CheckIdle(c net.Conn) error {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var idleErr error
	var buffer [1]byte
	err = control.Read(func(fd uintptr) bool {
		n, err := unix.Read(int(fd), buffer[:])
		switch {
		case errors.Is(err, unix.EAGAIN):
		case n >= 0 && err == nil:
			idleErr = ErrNotIdle
		default:
			idleErr = err
		}
		return true
	})
	return errors.Join(err, idleErr)
}
