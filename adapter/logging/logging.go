// Package logging makes the loggers of a process: short sentences on standard
// error, as text or JSON, with a fixed prefix for each part.
package logging

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Format selects how lines are written.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Options configures the loggers of a process.
type Options struct {
	Format Format
	// Verbosity 0 shows what operators act on, 1 adds details for developers.
	Verbosity int
}

// New returns the root logger. Use Part to give each part its prefix.
func New(w io.Writer, o Options) (logr.Logger, error) {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(w, line)
	}
	options := funcr.Options{LogTimestamp: true, Verbosity: o.Verbosity, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}
	switch o.Format {
	case FormatText:
		return funcr.New(func(prefix, args string) { write(prefix + ": " + args) }, options), nil
	case FormatJSON:
		return funcr.NewJSON(write, options), nil
	default:
		return logr.Logger{}, fmt.Errorf("logging: format %q: use %s or %s", o.Format, FormatText, FormatJSON)
	}
}

// Part returns the logger of one part of the system, such as "raft".
func Part(root logr.Logger, name string) logr.Logger { return root.WithName(name) }
