package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// elapsed returns the time since the start of the record.
func (r *record) elapsed() time.Duration { return time.Since(r.started) }

func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", r.elapsed().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.WriteString(line) //nolint:errcheck // reported by close
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	r.file.Close()
}
