package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer that never waits: it hands lines to a goroutine, and drops
// and counts those for which there is no room. The next line that finds room
// follows one that names the gap.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	done    chan struct{}
}

// ringLines is the number of lines that wait for a slow reader; at the size of
// a line of about 300 bytes they take less than a megabyte.
const ringLines = 2048

// NewAsyncWriter returns a ring that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	r := &AsyncWriter{lines: make(chan []byte, ringLines), out: out, done: make(chan struct{})}
	go r.run()
	return r
}

// Write takes one line.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last gap was written.
func (r *AsyncWriter) Dropped() int64 { return r.dropped.Load() }

// Close writes what waits, unless that takes longer than patience. Lines that
// come later are lost.
func (r *AsyncWriter) Close(patience <-chan time.Time) {
	select {
	case r.lines <- nil:
	case <-patience:
		return
	}
	select {
	case <-r.done:
	case <-patience:
	}
}

func (r *AsyncWriter) run() {
	defer close(r.done)
	for line := range r.lines {
		if line == nil {
			return
		}
		if n := r.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(r.out, "{\"level\":\"warn\",\"message\":\"log: Lines were dropped.\",\"fields\":{\"dropped\":%d}}\n", n)
		}
		_, _ = r.out.Write(line)
	}
}
