// Package connections decides which connections a listener admits, and which one it closes when
// it has too many.
package connections

import "time"

// Phase is how far a connection is with a request.
type Phase int

// The phases of a connection.
const (
	// Waiting means that nothing was received yet.
	Waiting Phase = iota
	// Head means that the head of a request is incomplete.
	Head
	// Receiving means that the body of a request is incomplete.
	Receiving
	// Running means that a request was received and its answer is not complete.
	Running
	// Idle means that the last answer is complete and nothing was received since.
	Idle
	// phases is the number of phases.
	phases
)

// Bound names a bound on connections or on what they send.
type Bound string

// The bounds of a listener.
const (
	Total       Bound = "connections"
	PerAddress  Bound = "connections_per_address"
	Descriptors Bound = "descriptors"
	Memory      Bound = "memory"
	EmptyBytes  Bound = "empty_bytes"
	LineBytes   Bound = "request_line_bytes"
	HeadBytes   Bound = "head_bytes"
	HeadLines   Bound = "head_lines"
	HeadTime    Bound = "head_time"
	IdleTime    Bound = "idle_time"
	WriteTime   Bound = "write_time"
)

const (
	// grace is the time in which an ordinary client sends the head of a request after it has
	// connected. A younger connection is not closed while there is an older one without a head.
	grace = 250 * time.Millisecond
	// stallTime is the time without a byte after which a body counts as stalled. Clients send
	// without pauses; a lost packet is sent again after 200 ms or more.
	stallTime = time.Second
)

// Limits bound the connections of a listener; 0 means no limit.
type Limits struct {
	Total, PerAddress int
}

// Entry is one open connection.
type Entry[T any] struct {
	// Value is what the caller of Open stored.
	Value   T
	address string
	// since is the begin of the phase, or the last progress of a body.
	since      time.Time
	list       *list[T]
	prev, next *Entry[T]
}

// Address returns the remote address without its port.
func (e *Entry[T]) Address() string { return e.address }

// Table holds the open connections of a listener. It is a pure state machine.
type Table[T any] struct {
	limits    Limits
	addresses map[string]int
	open      int
	// lists are ordered by since, the earliest first.
	lists [phases]list[T]
}

// NewTable returns an empty table.
func NewTable[T any](l Limits) *Table[T] {
	return &Table[T]{limits: l, addresses: map[string]int{}}
}

// Open decides on a new connection. It returns nil and the bound if the connection is refused.
// Otherwise victim is the connection to be closed for it, if there is one. The table no longer
// holds the victim.
func (t *Table[T]) Open(now time.Time, address string, value T) (opened, victim *Entry[T], bound Bound) {
	if t.limits.PerAddress > 0 && t.addresses[address] >= t.limits.PerAddress {
		return nil, nil, PerAddress
	}
	if t.limits.Total > 0 && t.open >= t.limits.Total {
		if victim = t.victim(now); victim == nil {
			return nil, nil, Total
		}
		t.Remove(victim)
		bound = Total
	}
	e := &Entry[T]{Value: value, address: address, since: now}
	t.open++
	t.addresses[address]++
	t.lists[Waiting].push(e)
	return e, victim, bound
}

// Move records a phase, or progress in the present one.
func (t *Table[T]) Move(now time.Time, e *Entry[T], p Phase) {
	if e.list == nil {
		return // removed
	}
	e.list.remove(e)
	e.since = now
	t.lists[p].push(e)
}

// Remove removes a closed connection. It does nothing if that was done before.
func (t *Table[T]) Remove(e *Entry[T]) {
	if e.list == nil {
		return
	}
	e.list.remove(e)
	t.open--
	if t.addresses[e.address]--; t.addresses[e.address] == 0 {
		delete(t.addresses, e.address)
	}
}

// RelieveMemory removes and returns the connection that holds memory for an incomplete request and
// makes no progress, or nil.
func (t *Table[T]) RelieveMemory(now time.Time) *Entry[T] {
	return t.take(earlier(t.slowHead(now), t.stalledBody(now)))
}

// RelieveDescriptors removes and returns the connection that is closed because the process lacks
// descriptors, or nil if all of them have a request in progress.
func (t *Table[T]) RelieveDescriptors(now time.Time) *Entry[T] {
	return t.take(t.victim(now))
}

func (t *Table[T]) take(e *Entry[T]) *Entry[T] {
	if e != nil {
		t.Remove(e)
	}
	return e
}

// Len returns the number of open connections.
func (t *Table[T]) Len() int { return t.open }

// LenOf returns the number of open connections of one address.
func (t *Table[T]) LenOf(address string) int { return t.addresses[address] }

// victim returns the connection with the least progress for the longest time. Connections with
// a request in progress are never chosen unless its body has stalled.
func (t *Table[T]) victim(now time.Time) *Entry[T] {
	waiting, head, idle := &t.lists[Waiting], &t.lists[Head], &t.lists[Idle]
	e := earlier(waiting.first, head.first)
	// Young connections without a head may be ordinary ones, unless they are the majority.
	if e != nil && (now.Sub(e.since) >= grace || waiting.size+head.size > t.limits.Total/2) {
		return e
	}
	if idle.first != nil && now.Sub(idle.first.since) >= grace {
		return idle.first
	}
	if stalled := t.stalledBody(now); stalled != nil {
		return stalled
	}
	if e != nil {
		return e
	}
	return idle.first
}

// slowHead returns the connection whose head is incomplete for the longest time, or nil.
func (t *Table[T]) slowHead(now time.Time) *Entry[T] {
	if e := t.lists[Head].first; e != nil && now.Sub(e.since) >= grace {
		return e
	}
	return nil
}

// stalledBody returns the connection that has sent nothing of its body for the longest time, or
// nil if all bodies make progress.
func (t *Table[T]) stalledBody(now time.Time) *Entry[T] {
	if e := t.lists[Receiving].first; e != nil && now.Sub(e.since) >= stallTime {
		return e
	}
	return nil
}

// earlier returns the entry whose phase began first. Either may be nil.
func earlier[T any](a, b *Entry[T]) *Entry[T] {
	if a == nil || b != nil && b.since.Before(a.since) {
		return b
	}
	return a
}

// list is a doubly linked list, so that a change of the phase costs the same for any number
// of connections.
type list[T any] struct {
	first, last *Entry[T]
	size        int
}

func (l *list[T]) push(e *Entry[T]) {
	e.list, e.prev, e.next = l, l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
	l.size++
}

func (l *list[T]) remove(e *Entry[T]) {
	if e.prev == nil {
		l.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.list, e.prev, e.next = nil, nil, nil
	l.size--
}
