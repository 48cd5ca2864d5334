package tcp

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a planned stop that resets connections whose callers have sent a request
// that no one has accepted yet.
func TestCloseHandsOverBacklog(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	const callers = 5
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp4", l.Addr().String())
		must.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "request")
		must.NoError(t, err)
		conns = append(conns, c)
	}
	must.NoError(t, l.Close())
	for range callers {
		accepted, err := l.Accept()
		must.NoError(t, err)
		_, err = io.WriteString(accepted, "answer")
		must.NoError(t, err)
		must.NoError(t, accepted.Close())
	}
	_, err = l.Accept()
	must.True(t, errors.Is(err, net.ErrClosed), must.Sprint(err))
	for _, c := range conns {
		var answer [6]byte
		_, err := io.ReadFull(c, answer[:])
		must.NoError(t, err)
	}
	_, err = net.Dial("tcp4", l.Addr().String())
	must.Error(t, err)
}

// Guards against a stop that waits for connections although there are none.
func TestCloseUnblocksAccept(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	ended := make(chan error)
	go func() { _, err := l.Accept(); ended <- err }()
	must.NoError(t, l.Close())
	must.ErrorIs(t, <-ended, net.ErrClosed)
}
