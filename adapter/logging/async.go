package logging

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait for the output. Lines above it are
// dropped and counted, because a slow output must not delay a request.
const maxQueuedLines = 2048

// Async writes lines to an output without ever blocking its callers.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsync returns a writer whose Run has to be started.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
}

// Write implements io.Writer. It never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes until Close, and then what is left.
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

func (a *Async) writeBatch(line []byte) {
	batch := line
	for range min(len(a.lines), maxQueuedLines) {
		batch = append(batch, <-a.lines...)
	}
	if n := a.dropped.Swap(0); n > 0 {
		batch = append(batch, fmt.Sprintf("{\"logger\":\"log\",\"msg\":\"dropped lines because the output is slow\",\"lines\":%d}\n", n)...)
	}
	// An output that fails leaves nowhere to report it.
	_, _ = a.out.Write(batch)
}

// Close ends Run.
func (a *Async) Close() { close(a.done) }
