package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mangoknot/mangoknot/core/connections"
)

// acceptRetryDelay is the pause after a connection that could not be accepted. Connections that
// are closed meanwhile return their descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Protocol is what the connections of a listener carry.
type Protocol int

// The protocols of a listener.
const (
	// HTTP is HTTP/1 in clear text. Heads are observed.
	HTTP Protocol = iota
	// TLS is HTTP in TLS. The server bounds the heads.
	TLS
	// Stream is a protocol of the processes among each other. A connection that is silent may
	// be closed when there are too many; the other side opens a new one.
	Stream
	// Tunnel is like Stream, but connections are not closed for their silence.
	Tunnel
)

// Limits are the bounds that may change while the process runs; 0 means none.
type Limits struct {
	Head connections.HeadLimits
	// HeadTime bounds the time from the first byte of a head to its end, and IdleTime the time
	// without a byte before a head.
	HeadTime, IdleTime time.Duration
}

// Settings are the settings of a listener.
type Settings struct {
	// Name is the name in logs and metrics.
	Name     string
	Protocol Protocol
	Bounds   connections.Limits
	// Limits returns the present limits.
	Limits func() Limits
	// WriteTime bounds the time for which the other side reads nothing. It is 0 where the server
	// sets deadlines of its own.
	WriteTime time.Duration
}

// Listener wraps a listener and bounds its connections.
type Listener struct {
	net.Listener
	settings Settings
	monitor  *Monitor

	mu    sync.Mutex
	table *connections.Table[*conn]
}

// Wrap returns a listener that bounds the connections of l.
func (m *Monitor) Wrap(l net.Listener, s Settings) *Listener {
	b := &Listener{Listener: l, settings: s, monitor: m, table: connections.NewTable[*conn](s.Bounds)}
	m.add(b)
	return b
}

// Accept returns the next connection that is admitted. It goes on when descriptors run out.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			if !isShortage(err) {
				return nil, err
			}
			// Without a connection to close, the listener waits for one that ends.
			if !l.relieve(connections.Descriptors) {
				l.monitor.hit(l, connections.Descriptors, nil)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// isShortage reports whether Accept failed because the process or the system lacks descriptors or
// memory.
func isShortage(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// admit returns the bounded connection, or nil after it has refused it.
func (l *Listener) admit(accepted net.Conn) *conn {
	t, ok := accepted.(*net.TCPConn)
	if !ok {
		accepted.Close()
		return nil
	}
	c := &conn{TCPConn: t, listener: l, address: hostOf(t.RemoteAddr())}
	l.mu.Lock()
	opened, victim, bound := l.table.Open(time.Now(), c.address, c)
	c.entry = opened
	l.monitor.open.WithLabelValues(l.settings.Name).Set(float64(l.table.Len()))
	l.mu.Unlock()
	switch {
	case opened == nil:
		l.monitor.hit(l, bound, c)
		if l.settings.Protocol == HTTP {
			c.answer(refusals[bound])
		}
		t.Close()
		return nil
	case victim != nil:
		victim.Value.TCPConn.Close()
		l.monitor.hit(l, bound, victim.Value)
	}
	if p := l.settings.Protocol; p == HTTP || p == TLS {
		c.since = time.Now()
		_ = c.setPhaseDeadline(l.settings.Limits().IdleTime) // fails only if the connection has ended
	}
	return c
}

func hostOf(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return a.String()
}

// relieve closes a connection that makes no progress. It reports whether there was one.
func (l *Listener) relieve(b connections.Bound) bool {
	l.mu.Lock()
	var victim *connections.Entry[*conn]
	if b == connections.Memory {
		victim = l.table.RelieveMemory(time.Now())
	} else {
		victim = l.table.RelieveDescriptors(time.Now())
	}
	l.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.Value.TCPConn.Close()
	l.monitor.hit(l, b, victim.Value)
	return true
}

func (l *Listener) move(c *conn, p connections.Phase) {
	l.mu.Lock()
	l.table.Move(time.Now(), c.entry, p)
	l.mu.Unlock()
}

func (l *Listener) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Len()
}

func (l *Listener) lenOf(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.LenOf(address)
}

type connKey struct{}

// Attach makes an HTTP server tell the listener the phases of its connections.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if bounded := unwrap(c); bounded != nil {
			bounded.serverState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil && r.ProtoMajor == 1 && r.Body != nil && r.Body != http.NoBody {
			c.moveTo(connections.Receiving)
			// A copy, because the server compares the body of its own request.
			received := *r
			received.Body = &body{ReadCloser: r.Body, conn: c}
			r = &received
		}
		next.ServeHTTP(w, r)
	})
}

// unwrap returns the bounded connection below one of a server, or nil.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	bounded, _ := c.(*conn)
	return bounded
}

// body tells when a request is received.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.conn.moveTo(connections.Running)
	}
	return n, err
}
