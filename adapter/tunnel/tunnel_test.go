package tunnel

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/tcp"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/port"
)

// host counts tunnels and refuses them if it has a reason.
type host struct {
	mu      sync.Mutex
	refusal reach.Refusal
	open    int
}

func (h *host) OpenTunnel(*reach.Open) reach.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusal == "" {
		h.open++
	}
	return h.refusal
}

func (h *host) TunnelClosed(*reach.Open, int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
}

func (h *host) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func newCodec(t *testing.T) *codec.Codec {
	c, err := codec.New(reach.Messages(), nil)
	must.NoError(t, err)
	return c
}

// startServer starts a server and returns it with its address.
func startServer(t *testing.T, h *host) (*Server, string) {
	l := listen(t)
	s := NewServer(newCodec(t), h)
	go s.Serve(l) //nolint:errcheck // ends with Close
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

// startTarget serves each connection with f and returns the address.
func startTarget(t *testing.T, f func(net.Conn)) string {
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c)
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, target string, peers ...string) (*Conn, error) {
	c, err := NewDialer(newCodec(t), "g").Dial(t.Context(), peers, "request", target, func(string, error) {})
	if err == nil {
		t.Cleanup(func() { c.Close() })
	}
	return c, err
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: condition not met within 5 s", what)
}

// Guards against bytes that a tunnel loses, adds or reorders, and against the end of the
// target's connection that is not passed on.
func TestTunnelPassesBytes(t *testing.T) {
	h := &host{}
	_, address := startServer(t, h)
	want := strings.Repeat("0123456789", 100_000)
	target := startTarget(t, func(c net.Conn) {
		data := make([]byte, len(want))
		if _, err := io.ReadFull(c, data); err == nil {
			c.Write(data) //nolint:errcheck // the reader fails
		}
	})
	c, err := dial(t, target, address)
	must.NoError(t, err)
	go io.WriteString(c, want) //nolint:errcheck // the reader fails
	got, err := io.ReadAll(c)
	must.NoError(t, err)
	must.True(t, string(got) == want)
	waitFor(t, "tunnel closed", func() bool { return h.count() == 0 })
}

// Guards against an answer without a length that looks whole although the tunnel broke or
// the target reset its connection.
func TestBrokenTunnelIsNoEnd(t *testing.T) {
	reset := func(c net.Conn) {
		io.WriteString(c, "half") //nolint:errcheck // the reader fails
		time.Sleep(50 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the test fails
	}
	hold := func(c net.Conn) {
		io.WriteString(c, "half") //nolint:errcheck // the reader fails
		io.Copy(io.Discard, c)    //nolint:errcheck // waits for the end
	}
	for name, f := range map[string]func(net.Conn){"target resets": reset, "gateway ends": hold} {
		s, address := startServer(t, &host{})
		c, err := dial(t, startTarget(t, f), address)
		must.NoError(t, err)
		half := make([]byte, 4)
		_, err = io.ReadFull(c, half)
		must.NoError(t, err)
		if name == "gateway ends" {
			s.Close()
		}
		_, err = io.ReadAll(c)
		var broken *port.TunnelError
		must.True(t, errors.As(err, &broken), must.Sprintf("%s: %v", name, err))
		must.False(t, errors.Is(err, port.ErrNotRun))
	}
}

// Guards against an answer without a length that looks whole, or a request that counts as not
// sent, although the connection between the gateways broke anywhere in the answer.
func TestTunnelCutAnywhereIsNoEnd(t *testing.T) {
	var reply bytes.Buffer
	must.NoError(t, writeMessage(&reply, newCodec(t), &reach.Opened{}))
	opened := reply.Len()
	for _, data := range []string{"first", "second"} {
		head := make([]byte, frameHeadBytes)
		putFrameHead(head, frameData, len(data))
		reply.WriteString(string(head) + data)
	}
	reply.Write([]byte{byte(frameStopping), 0, 0, byte(frameEnd), 0, 0})
	for _, reset := range []bool{false, true} {
		for n := range reply.Len() + 1 {
			peer := startTarget(t, func(c net.Conn) {
				if _, err := readMessage(c, newCodec(t)); err != nil {
					return
				}
				c.Write(reply.Bytes()[:n]) //nolint:errcheck // the reader fails
				if reset {
					c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the test fails
				}
			})
			c, err := dial(t, "target", peer)
			if err == nil {
				_, err = io.ReadAll(c)
			}
			if n == reply.Len() {
				must.NoError(t, err)
				continue
			}
			var broken *port.TunnelError
			must.True(t, errors.As(err, &broken), must.Sprintf("%d of %d bytes: %v", n, reply.Len(), err))
			must.Eq(t, n < opened, errors.Is(err, port.ErrNotRun), must.Sprintf("%d bytes", n))
		}
	}
}

// Guards against a request that goes on at its target after its gateway has left, and
// against tunnels that are counted for ever.
func TestTargetNoticesThatGatewayLeft(t *testing.T) {
	h := &host{}
	_, address := startServer(t, h)
	left := make(chan struct{})
	c, err := dial(t, startTarget(t, func(c net.Conn) {
		io.Copy(io.Discard, c) //nolint:errcheck // waits for the end
		close(left)
	}), address)
	must.NoError(t, err)
	_, err = io.WriteString(c, "request")
	must.NoError(t, err)
	started := time.Now()
	c.Close()
	<-left
	must.Less(t, 500*time.Millisecond, time.Since(started), must.Sprint("the bound of GONE"))
	waitFor(t, "tunnel closed", func() bool { return h.count() == 0 })
}

// Guards against a request that counts as sent, or a target that counts as unreachable,
// because another gateway did not open a tunnel; and against a second gateway that is not
// tried.
func TestRefusedTunnelIsNotSent(t *testing.T) {
	full := &host{refusal: reach.RefusedFull}
	_, fullAddress := startServer(t, full)
	target := startTarget(t, func(c net.Conn) { io.WriteString(c, "answer") }) //nolint:errcheck // the reader fails
	gone := listen(t)
	gone.Close()
	silent := listen(t) // accepts in the kernel, and nobody answers
	for name, peer := range map[string]string{"full": fullAddress, "gone": gone.Addr().String(), "silent": silent.Addr().String()} {
		_, err := dial(t, target, peer)
		var failed *port.TunnelError
		must.True(t, errors.As(err, &failed), must.Sprintf("%s: %v", name, err))
		must.True(t, errors.Is(err, port.ErrNotRun))
		must.Eq(t, peer, failed.Gateway)
	}
	_, address := startServer(t, &host{})
	c, err := dial(t, target, fullAddress, gone.Addr().String(), address)
	must.NoError(t, err)
	answer, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "answer", string(answer))
}

// Guards against a target that has ended and is taken for a failed tunnel.
func TestUnreachableTargetIsReported(t *testing.T) {
	h := &host{}
	_, address := startServer(t, h)
	gone := listen(t)
	gone.Close()
	_, err := dial(t, gone.Addr().String(), address)
	var unreachable *port.UnreachableError
	must.True(t, errors.As(err, &unreachable), must.Sprint(err))
	must.True(t, errors.Is(err, port.ErrNotRun))
	waitFor(t, "tunnel closed", func() bool { return h.count() == 0 })
}

// Guards against a planned stop of a gateway that cuts requests of other gateways, and
// against further requests on its tunnels.
func TestShutdownWaitsForRequests(t *testing.T) {
	s, address := startServer(t, &host{})
	finish := make(chan struct{})
	c, err := dial(t, startTarget(t, func(c net.Conn) {
		io.WriteString(c, "half") //nolint:errcheck // the reader fails
		<-finish
		io.WriteString(c, " whole") //nolint:errcheck // the reader fails
	}), address)
	must.NoError(t, err)
	idle, err := dial(t, startTarget(t, func(c net.Conn) { io.Copy(io.Discard, c) }), address) //nolint:errcheck // waits for the end
	must.NoError(t, err)
	must.NoError(t, tcp.CheckIdle(idle))
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	waitFor(t, "the idle tunnel is not used again", func() bool { return tcp.CheckIdle(idle) != nil })
	idle.Close()
	close(finish)
	got, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "half whole", string(got))
	must.True(t, c.Stopping())
	c.Close()
	must.NoError(t, <-ended)
}

// failingListener fails once, as for a lack of descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (f *failingListener) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, syscall.EMFILE
	}
	return f.Listener.Accept()
}

// Guards against one connection that cannot be accepted and ends the process.
func TestFailedAcceptKeepsServing(t *testing.T) {
	l := listen(t)
	s := NewServer(newCodec(t), &host{})
	go s.Serve(&failingListener{Listener: l}) //nolint:errcheck // ends with the listener
	t.Cleanup(s.Close)
	c, err := dial(t, startTarget(t, func(c net.Conn) { io.WriteString(c, "answer") }), l.Addr().String()) //nolint:errcheck // the reader fails
	must.NoError(t, err)
	answer, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "answer", string(answer))
}

// Guards against frames that panic, or that end a stream although the target did not end it.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("\x01\x00\x04data\x03\x00\x00\x01\x00\x01x\x02\x00\x00"))
	f.Add([]byte("\x01\xff\xffx"))
	f.Add([]byte("\x02\x00\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			far.Write(data) //nolint:errcheck // the reader may have ended
			far.Close()
		}()
		_, err := io.ReadAll(&Conn{Conn: near, gateway: "g"})
		near.Close()
		if err == nil && !strings.Contains(string(data), "\x02") {
			t.Error("a tunnel without an end frame passed for whole")
		}
	})
}
