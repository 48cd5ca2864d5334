package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoknot/mangoknot/adapter/codec"
	"github.com/mangoknot/mangoknot/adapter/tcp"
	"github.com/mangoknot/mangoknot/core/reach"
	"github.com/mangoknot/mangoknot/port"
)

const (
	// requestTimeout bounds the time in which the other gateway names the target.
	requestTimeout = 500 * time.Millisecond
	// targetDialTimeout bounds the connection to the target.
	targetDialTimeout = 600 * time.Millisecond
	// writeTimeout bounds the time for which the other gateway does not read.
	writeTimeout = 5 * time.Second
	// acceptRetryDelay is the pause after a connection that could not be accepted.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server serves tunnels for other gateways.
type Server struct {
	codec *codec.Codec
	host  port.TunnelHost

	mu      sync.Mutex
	tunnels map[*tunnel]bool
	closed  bool
	empty   sync.WaitGroup
}

// NewServer returns a server that is not running yet.
func NewServer(c *codec.Codec, host port.TunnelHost) *Server {
	return &Server{codec: c, host: host, tunnels: map[*tunnel]bool{}}
}

// Serve accepts tunnels until the listener is closed. The listener bounds the connections on which
// no tunnel is open yet.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// A moment without descriptors must not end the process.
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.handle(c)
	}
}

// AnnounceStop tells the other gateways to send no more requests on their tunnels.
func (s *Server) AnnounceStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		go t.announceStop()
	}
}

// Shutdown opens no more tunnels, announces the stop, and waits until the other gateways have
// closed their tunnels or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.AnnounceStop()
	done := make(chan struct{})
	go func() { s.empty.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all tunnels.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for t := range s.tunnels {
		t.abort()
	}
}

func (s *Server) handle(c net.Conn) {
	open, target := s.open(c)
	if target == nil {
		c.Close()
		return
	}
	t := &tunnel{gateway: c, target: target}
	defer func() { s.host.TunnelClosed(open, t.bytes.Load(), nil) }()
	if !s.add(t) {
		t.abort()
		return
	}
	defer s.remove(t)
	t.run()
}

// open reads the request for a tunnel, connects to the target and replies. It returns nil if
// no tunnel is opened.
func (s *Server) open(c net.Conn) (*reach.Open, net.Conn) {
	if tcp.Watch(c) != nil || c.SetDeadline(time.Now().Add(requestTimeout)) != nil {
		return nil, nil
	}
	m, err := readMessage(c, s.codec)
	open, ok := m.(*reach.Open)
	if err != nil || !ok {
		return nil, nil
	}
	if refusal := s.host.OpenTunnel(open); refusal != "" {
		s.reply(c, &reach.Opened{Refusal: refusal}) //nolint:errcheck // the connection is closed
		return nil, nil
	}
	target, err := tcp.Dial(context.Background(), open.Target, targetDialTimeout)
	if err != nil {
		s.reply(c, &reach.Opened{Refusal: reach.TargetUnreachable, Cause: err.Error()}) //nolint:errcheck // the connection is closed
		s.host.TunnelClosed(open, 0, err)
		return nil, nil
	}
	if err := s.reply(c, &reach.Opened{}); err != nil {
		target.Close()
		s.host.TunnelClosed(open, 0, nil)
		return nil, nil
	}
	return open, target
}

func (s *Server) reply(c net.Conn, m *reach.Opened) error {
	return errors.Join(c.SetDeadline(time.Now().Add(requestTimeout)), writeMessage(c, s.codec, m), c.SetDeadline(time.Time{}))
}

func (s *Server) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tunnels[t] = true
	s.empty.Add(1)
	return true
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
	s.empty.Done()
}

// tunnel is one open tunnel.
type tunnel struct {
	gateway, target net.Conn
	bytes           atomic.Int64
	// write serialises the frames to the gateway.
	write sync.Mutex
}

// run passes bytes on until either side ends.
func (t *tunnel) run() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.passUp()
	}()
	t.passDown()
	<-done
}

// passUp passes bytes on to the target. The end of the tunnel ends the target's connection,
// which cancels its request. A target that reads no more may still answer.
func (t *tunnel) passUp() {
	defer t.target.Close()
	buffer := make([]byte, chunkBytes)
	var failed error
	for {
		n, err := t.gateway.Read(buffer)
		if n > 0 && failed == nil {
			t.bytes.Add(int64(n))
			_, failed = t.target.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}

// passDown passes bytes of the target on, and its end if it ends its connection.
func (t *tunnel) passDown() {
	defer t.gateway.Close()
	defer t.target.Close()
	buffer := make([]byte, frameHeadBytes+chunkBytes)
	for {
		n, err := t.target.Read(buffer[frameHeadBytes:])
		if n > 0 {
			t.bytes.Add(int64(n))
			putFrameHead(buffer, frameData, n)
			if t.send(buffer[:frameHeadBytes+n]) != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			putFrameHead(buffer, frameEnd, 0)
			t.send(buffer[:frameHeadBytes]) //nolint:errcheck // without it the answer counts as cut
			return
		}
		if err != nil {
			return
		}
	}
}

func (t *tunnel) send(frame []byte) error {
	t.write.Lock()
	defer t.write.Unlock()
	if err := t.gateway.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := t.gateway.Write(frame)
	return err
}

func (t *tunnel) announceStop() {
	frame := make([]byte, frameHeadBytes)
	putFrameHead(frame, frameStopping, 0)
	t.send(frame) //nolint:errcheck // the tunnel has ended
}

func (t *tunnel) abort() {
	t.gateway.Close()
	t.target.Close()
}
