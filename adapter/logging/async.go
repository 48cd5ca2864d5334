package logging

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines limits the lines that are queued for the output. Further lines
// are dropped and counted, because a slow output must not delay a request.
const maxQueuedLines = 2048

// Async is an io.Writer that queues lines for an output and does not block its
// callers.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsync returns a writer to out. The caller must start Run in a goroutine.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
}

// Write implements io.Writer. It always reports success; a line that does not fit
// into the queue is dropped.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until Close is called, then writes the lines that are
// still queued and returns.
func (a *Async) Run() {
	for {
		select {
		case line := <-a.lines:
			a.writeBatch(line)
		case <-a.done:
			for range len(a.lines) {
				a.writeBatch(<-a.lines)
			}
			return
		}
	}
}

// writeBatch writes the line together with all queued lines, and a report of
// dropped lines if there are any.
func (a *Async) writeBatch(line []byte) {
	batch := line
	for range min(len(a.lines), maxQueuedLines) {
		batch = append(batch, <-a.lines...)
	}
	if n := a.dropped.Swap(0); n > 0 {
		batch = append(batch, fmt.Sprintf("{\"logger\":\"log\",\"msg\":\"log lines were dropped because the output is slow\",\"lines\":%d}\n", n)...)
	}
	// The error is ignored: there is no other output to report it to.
	_, _ = a.out.Write(batch)
}

// Close makes Run return. It must be called only once.
func (a *Async) Close() { close(a.done) }
