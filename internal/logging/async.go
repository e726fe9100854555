package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer that never blocks. It queues lines for a goroutine that
// writes them. Lines are dropped and counted while the queue is full; the number
// of dropped lines is written before the next line.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	done    chan struct{}
}

// queueLines is the length of the queue. At about 300 bytes a line, a full queue
// takes less than a megabyte.
const queueLines = 2048

// NewAsyncWriter returns a writer that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, queueLines), out: out, done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since that number was last written.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close waits until the queued lines are written or timeout fires. Lines written
// after Close are lost.
func (w *AsyncWriter) Close(timeout <-chan time.Time) {
	select {
	case w.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-w.done:
	case <-timeout:
	}
}

// run writes the queued lines until Close queues a nil line.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"message\":\"log: Lines were dropped.\",\"fields\":{\"dropped\":%d}}\n", n)
		}
		_, _ = w.out.Write(line)
	}
}
