// Package tcp makes connections that notice a silent peer.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout bounds the time for which sent bytes may stay unacknowledged. A
	// peer behind a partition sends no reset, and its connection would hang.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, probeInterval and probeCount find a silent peer of a connection
	// that only receives, within about two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// Dial connects to an IP address and port within the timeout.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT before the connection is made.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// ErrNotIdle says that an idle connection has received bytes or was closed.
var ErrNotIdle = errors.New("tcp: the idle connection was closed by its peer or has unasked bytes; open another one")

// CheckIdle returns an error unless an idle connection is open and silent. It
// does not wait.
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
