package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errHeadTooLarge means that a client sent a larger head than allowed.
var errHeadTooLarge = errors.New("the head of the request is too large")

// limitReader fails with err when more bytes are read than allowed.
type limitReader struct {
	in        io.Reader
	err       error
	remaining int64
}

// setLimit allows n more bytes to be read.
func (l *limitReader) setLimit(n int64) { l.remaining = n }

func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, l.err
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.in.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// headReader fails with errRequestMalformed if the head of an expected request is malformed.
type headReader struct {
	in      io.Reader
	scanner headScanner
}

// expect starts the scan of a head that begins with the bytes in buffered, which have been
// read already.
func (r *headReader) expect(buffered []byte) error {
	r.scanner.begin(errRequestMalformed)
	return r.scanner.scan(buffered)
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if malformed := r.scanner.scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// ErrBodyClosed is returned by reads of a body that was closed before it was complete.
var ErrBodyClosed = errors.New("the body was closed")

// BodyReader reads the part of a body that is forwarded while it arrives. One goroutine
// reads it at a time; Close may be called by another one, and more than once.
//
// The connection belongs to the goroutine that reads the body until Close returns. Close
// therefore ends a read that is in progress and waits for it, and later reads fail without
// touching the connection.
type BodyReader struct {
	in       io.ReadCloser
	done     chan struct{}
	once     sync.Once
	complete atomic.Bool
	// interrupt, if set, makes a read in progress return at once.
	interrupt func()
	onClose   func(complete bool)
	// onFailure, if set, is called with the first error that makes the body incomplete.
	onFailure func(error)
	failed    atomic.Bool

	// reading is held during each read.
	reading sync.Mutex
	closed  atomic.Bool
}

func newBodyReader(in io.ReadCloser) *BodyReader {
	return &BodyReader{in: in, done: make(chan struct{})}
}

// Read reads the next part. Any error but io.EOF means that the body is incomplete.
func (r *BodyReader) Read(p []byte) (int, error) {
	r.reading.Lock()
	defer r.reading.Unlock()
	if r.closed.Load() {
		return 0, ErrBodyClosed
	}
	n, err := r.in.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete.Store(true)
	} else if err != nil && r.onFailure != nil && !r.failed.Swap(true) {
		r.onFailure(err)
	}
	return n, err
}

// Close stops reading, whether or not the body is complete. When it returns, no read is
// in progress and none will reach the connection.
func (r *BodyReader) Close() {
	r.once.Do(func() {
		r.closed.Store(true)
		if r.interrupt != nil {
			r.interrupt()
		}
		r.reading.Lock()
		defer r.reading.Unlock()
		if r.onClose != nil {
			r.onClose(r.complete.Load())
		}
		close(r.done)
	})
}

// chunkWriter writes each write as one chunk.
type chunkWriter struct{ out io.Writer }

func (c *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(c.out, "%x\r\n", len(p)); err != nil {
		return 0, err
	}
	if n, err := c.out.Write(p); err != nil {
		return n, err
	}
	_, err := io.WriteString(c.out, "\r\n")
	return len(p), err
}

// deadlineWriter sets a new deadline for each write to a connection.
type deadlineWriter struct {
	conn net.Conn
	out  io.Writer
}

func (d *deadlineWriter) Write(p []byte) (int, error) {
	_ = d.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	return d.out.Write(p)
}
