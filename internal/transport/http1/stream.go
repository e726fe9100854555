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

// BodyReader reads the part of a body that is forwarded while it arrives. Close may
// be called more than once.
type BodyReader struct {
	in       io.ReadCloser
	done     chan struct{}
	once     sync.Once
	complete atomic.Bool
	onClose  func(complete bool)
	// onFailure, if set, is called with the first error that makes the body incomplete.
	onFailure func(error)
	failed    atomic.Bool
}

func newBodyReader(in io.ReadCloser) *BodyReader {
	return &BodyReader{in: in, done: make(chan struct{})}
}

// Read reads the next part. Any error but io.EOF means that the body is incomplete.
func (r *BodyReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete.Store(true)
	} else if err != nil && r.onFailure != nil && !r.failed.Swap(true) {
		r.onFailure(err)
	}
	return n, err
}

// Close stops reading, whether or not the body is complete.
func (r *BodyReader) Close() {
	r.once.Do(func() {
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
