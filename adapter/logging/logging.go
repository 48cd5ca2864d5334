// Package logging creates the loggers of a process. They write text or JSON lines
// with a fixed prefix for each part of the system.
package logging

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Format selects the encoding of log lines.
type Format string

// The supported log formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Options configures the loggers of a process.
type Options struct {
	Format Format
	// Verbosity 0 logs what operators act on; 1 adds details for developers.
	Verbosity int
}

// New returns the root logger, which writes to w. It returns an error if the
// format is not supported. Part derives the logger of each part of the system.
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

// Part returns the logger of one part of the system, with its name as the prefix,
// for example "raft".
func Part(root logr.Logger, name string) logr.Logger { return root.WithName(name) }
