package tcp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// backlogTimeout is the time for which a closed listener waits for connections that the
// kernel has completed.
const backlogTimeout = 20 * time.Millisecond

// GracefulListener hands over the connections that wait in the kernel's backlog before it
// closes. Closing a listening socket resets them, although their callers may already have
// sent a request.
type GracefulListener struct {
	*net.TCPListener
	closing atomic.Bool
}

// Listen listens on an IPv4 address and port.
func Listen(address string) (*GracefulListener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &GracefulListener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept returns the next connection. After Close it returns the connections of the
// backlog and then net.ErrClosed.
func (l *GracefulListener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if l.closing.Load() {
			return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
		}
	}
}

// Close makes Accept end once the backlog is empty.
func (l *GracefulListener) Close() error {
	l.closing.Store(true)
	return l.SetDeadline(time.Now().Add(backlogTimeout))
}
