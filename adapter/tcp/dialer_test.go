package tcp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// Guards against a reset that reads report as an end, because a write received its error.
func TestResetIsNoEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	for _, reset := range []bool{false, true} {
		c, err := Dial(t.Context(), l.Addr().String(), time.Second)
		must.NoError(t, err)
		defer c.Close()
		peer, err := l.Accept()
		must.NoError(t, err)
		_, err = io.WriteString(peer, "half")
		must.NoError(t, err)
		if reset {
			must.NoError(t, peer.(*net.TCPConn).SetLinger(0))
		}
		must.NoError(t, peer.Close())
		for err == nil && reset {
			_, err = c.Write(make([]byte, 1<<10))
		}
		got, err := io.ReadAll(c)
		must.Eq(t, "half", string(got))
		if reset {
			must.ErrorIs(t, err, unix.ECONNRESET)
			continue
		}
		must.NoError(t, err)
	}
}
