package listener

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/mangoknot/mangoknot/adapter/memory"
	"github.com/mangoknot/mangoknot/core/connections"
)

const (
	// freeHeadCost is the memory of a head that belongs to the connection. Ordinary heads stay
	// below it, so they do not touch the budget.
	freeHeadCost = 8 << 10
	// costStep is the smallest reservation for a head.
	costStep = 8 << 10
	// streamHeadBytes is the size of what opens a connection between processes: the preface of
	// HTTP/2 and the head of a frame. A tunnel's request is longer too.
	streamHeadBytes = 33
	// handshakeBytes bounds a TLS handshake with a client certificate beside the head.
	handshakeBytes = 64 << 10
	// progressInterval is the time between two records of progress of a connection that receives.
	progressInterval = 100 * time.Millisecond
	// progressBytes is what a body has to send for a record of progress, so that one which is
	// trickled counts as stalled: less than 4 KB/s. Such a body is closed only under pressure.
	progressBytes = 4 << 10
	// refusalTime and refusalBytes bound what is read after a refusal. Without it a reset could
	// overtake the answer.
	refusalTime  = 250 * time.Millisecond
	refusalBytes = 64 << 10
)

// conn is a connection whose head is observed. Reads, deadlines of reads and the states of the
// server come from one goroutine at a time; other goroutines only close the socket.
type conn struct {
	*net.TCPConn
	listener *Listener
	entry    *connections.Entry[*conn]
	address  string
	phase    atomic.Int32
	// progressAt is the time of the last recorded progress in ns, and unrecorded the number of
	// bytes since.
	progressAt int64
	unrecorded int
	head       connections.HeadProgress
	// received counts the bytes of a head that is not observed.
	received int
	// limits are those at the begin of the phase, at since.
	limits Limits
	since  time.Time
	lease  *memory.Lease
	held   int
	// established reports whether the protocol, which is not observed, has begun.
	established bool
	// deadline is the last read deadline that the server set.
	deadline time.Time
}

func (c *conn) is(p connections.Phase) bool { return connections.Phase(c.phase.Load()) == p }

// moveTo changes the phase.
func (c *conn) moveTo(p connections.Phase) {
	if c.is(p) {
		return
	}
	c.phase.Store(int32(p))
	c.listener.move(c, p)
}

// Read implements net.Conn. It fails when the bytes of a head exceed a bound.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	phase := connections.Phase(c.phase.Load())
	switch {
	case phase == connections.Running:
		return n, err
	case n == 0:
		if os.IsTimeout(err) {
			c.timedOut(phase)
		}
		return n, err
	case phase == connections.Receiving:
		c.progress(n)
		return n, err
	case c.listener.settings.Protocol == HTTP:
		if refused := c.observe(p[:n]); refused != "" {
			return 0, c.refuse(refused, p)
		}
		return n, err
	default:
		return n, c.count(n, err)
	}
}

// progress records that a connection has received n bytes.
func (c *conn) progress(n int) {
	c.unrecorded += n
	if c.unrecorded < progressBytes && c.listener.settings.Protocol == HTTP {
		return
	}
	now := time.Now()
	if now.UnixNano()-c.progressAt < int64(progressInterval) {
		return
	}
	c.progressAt, c.unrecorded = now.UnixNano(), 0
	c.listener.move(c, connections.Receiving)
}

// observe follows the head of a request. It returns the bound that the head exceeds, or "".
func (c *conn) observe(data []byte) connections.Bound {
	if !c.is(connections.Head) {
		c.limits = c.listener.settings.Limits()
	}
	exceeded := c.head.Add(data, c.limits.Head)
	if exceeded != "" {
		return exceeded
	}
	if !c.reserve() {
		return connections.Memory
	}
	if c.head.Complete {
		c.moveTo(connections.Running)
		return ""
	}
	c.begin()
	return ""
}

// begin starts the time of a head with its first byte.
func (c *conn) begin() {
	if c.is(connections.Head) {
		return
	}
	c.moveTo(connections.Head)
	c.since = time.Now()
	c.setPhaseDeadline(c.limits.HeadTime)
}

// count bounds the begin of a protocol that is not observed.
func (c *conn) count(n int, err error) error {
	c.received += n
	if c.listener.settings.Protocol != TLS {
		if c.received < streamHeadBytes {
			c.moveTo(connections.Head)
		} else if c.listener.settings.Protocol == Stream {
			c.moveTo(connections.Receiving)
		} else {
			c.moveTo(connections.Running)
		}
		return err
	}
	if c.established {
		return err
	}
	if !c.is(connections.Head) {
		c.limits = c.listener.settings.Limits()
		c.begin()
	}
	if limit := c.limits.Head.HeadBytes; limit > 0 && c.received > limit+handshakeBytes {
		c.listener.monitor.hit(c.listener, connections.HeadBytes, c)
		return errBound
	}
	return err
}

// errBound ends a connection. Servers answer no timeout.
var errBound = &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}

// reserve counts the head in the budget of the process. Without memory a connection that makes
// less progress is closed for it.
func (c *conn) reserve() bool {
	cost := c.head.Cost() - freeHeadCost
	if cost <= c.held {
		return true
	}
	if c.lease == nil {
		c.lease = c.listener.monitor.budget.Lease()
	}
	step := max(costStep, cost-c.held)
	if c.lease.Grow(step) != nil {
		return false // the budget has closed another connection, so the next one is served
	}
	c.held += step
	return true
}

// release returns the memory of the last head.
func (c *conn) release() {
	if c.held > 0 {
		c.lease.Shrink(c.held)
		c.held = 0
	}
}

// serverState follows the states of the HTTP server.
func (c *conn) serverState(s http.ConnState) {
	switch s {
	case http.StateActive, http.StateHijacked:
		if c.listener.settings.Protocol == TLS && !c.established {
			c.established = true
			_ = c.TCPConn.SetReadDeadline(c.deadline) // fails only if the connection has ended
		}
		if s == http.StateHijacked {
			c.release() // the server tells no further state
		}
		if !c.is(connections.Receiving) {
			c.moveTo(connections.Running)
		}
	case http.StateIdle:
		c.release()
		c.head = connections.HeadProgress{}
		c.since = time.Now()
		c.moveTo(connections.Idle)
	case http.StateClosed:
		c.release()
	}
}

// SetReadDeadline implements net.Conn. Before the end of a head the limits of the listener apply
// instead of the server's, which cannot change while it runs.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	if c.listener.settings.Protocol == Stream || c.listener.settings.Protocol == Tunnel || c.established {
		return c.TCPConn.SetReadDeadline(t)
	}
	switch connections.Phase(c.phase.Load()) {
	case connections.Waiting, connections.Idle:
		return c.setPhaseDeadline(c.listener.settings.Limits().IdleTime)
	case connections.Head:
		return c.setPhaseDeadline(c.limits.HeadTime)
	default:
		return c.TCPConn.SetReadDeadline(t)
	}
}

// setPhaseDeadline sets the deadline of the phase, or the server's if there is no limit.
func (c *conn) setPhaseDeadline(limit time.Duration) error {
	if limit <= 0 {
		return c.TCPConn.SetReadDeadline(c.deadline)
	}
	return c.TCPConn.SetReadDeadline(c.since.Add(limit))
}

// timedOut records a read that ended with its deadline.
func (c *conn) timedOut(p connections.Phase) {
	switch p {
	case connections.Head:
		c.listener.monitor.hit(c.listener, connections.HeadTime, c)
		if c.listener.settings.Protocol == HTTP {
			c.answer(refusals[connections.HeadTime])
		}
	case connections.Waiting, connections.Idle:
		c.listener.monitor.hit(c.listener, connections.IdleTime, c)
	}
}

// Write implements net.Conn. It bounds the time for which the other side reads nothing.
func (c *conn) Write(p []byte) (int, error) {
	limit := c.listener.settings.WriteTime
	if limit <= 0 {
		return c.TCPConn.Write(p)
	}
	if err := c.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Write(p)
	if os.IsTimeout(err) {
		c.listener.monitor.hit(c.listener, connections.WriteTime, c)
	}
	return n, err
}

// refuse answers a head that exceeds a bound and returns the error that ends the connection. The
// buffer is used to read what follows.
func (c *conn) refuse(b connections.Bound, buffer []byte) error {
	c.listener.monitor.hit(c.listener, b, c)
	c.release()
	c.answer(refusals[b])
	if c.CloseWrite() == nil && c.TCPConn.SetReadDeadline(time.Now().Add(refusalTime)) == nil {
		for skipped := 0; skipped < refusalBytes; {
			n, err := c.TCPConn.Read(buffer)
			if err != nil {
				break
			}
			skipped += n
		}
	}
	return errBound
}

// answer writes a refusal. No answer is under way before the end of a head.
func (c *conn) answer(r refusal) {
	if r.status == 0 || c.SetWriteDeadline(time.Now().Add(refusalTime)) != nil {
		return
	}
	body := fmt.Sprintf(`{"code":%q,"message":%q,"not_run":true}`, r.code, r.message)
	retry := ""
	if r.status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		r.status, http.StatusText(r.status), retry, len(body), body)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.table.Remove(c.entry)
	l.monitor.open.WithLabelValues(l.settings.Name).Set(float64(l.table.Len()))
	l.mu.Unlock()
	return c.TCPConn.Close()
}

// refusal is the answer to a request whose head was not received whole, so that it never runs.
type refusal struct {
	status        int
	code, message string
}

var refusals = map[connections.Bound]refusal{
	connections.Total:      {http.StatusServiceUnavailable, "too_many_connections", "too many connections are open; retry"},
	connections.PerAddress: {http.StatusServiceUnavailable, "too_many_connections", "too many connections of this address are open; close some or retry later"},
	connections.Memory:     {http.StatusServiceUnavailable, "memory_exhausted", "the process lacks memory for the request; retry"},
	connections.EmptyBytes: {http.StatusBadRequest, "bad_request", "too many line ends come before the request line"},
	connections.LineBytes:  {http.StatusRequestHeaderFieldsTooLarge, "header_too_large", "the request line is too long; shorten the path"},
	connections.HeadBytes:  {http.StatusRequestHeaderFieldsTooLarge, "header_too_large", "the head is too large; send fewer or shorter headers"},
	connections.HeadLines:  {http.StatusRequestHeaderFieldsTooLarge, "header_too_large", "the head has too many lines; send fewer headers"},
	connections.HeadTime:   {http.StatusRequestTimeout, "head_timeout", "the head was not received in time; send it at once"},
}
