package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Dialer makes the connections on which answers are read. Their reads tell the end of the
// stream from a failure of the connection.
type Dialer struct{ net.Dialer }

// DialContext connects to an address; see net.Dialer.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newDialedConn(conn), nil
}

// dialedConn is a connection to an upstream or to a service. Its reads report what the parser
// of answers cannot see: that the connection failed, and what a headScanner finds.
//
// The kernel reports the failure of a connection, such as a reset, to one call only. After a
// write that was told of it, a read returns io.EOF, as if the peer had closed the connection
// in order. An answer without a length would then look complete.
type dialedConn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	// failure is the failure of the connection that a write was told of.
	failure error
	// mu protects scanner.
	mu      sync.Mutex
	scanner headScanner
}

// newDialedConn returns conn, as a dialedConn if it is none.
func newDialedConn(conn net.Conn) *dialedConn {
	if dialed, ok := conn.(*dialedConn); ok {
		return dialed
	}
	return &dialedConn{Conn: conn}
}

// expectHead makes reads fail with ErrAnswerMalformed if the next head is malformed. It begins
// with the bytes in buffered, which have been read already.
func (c *dialedConn) expectHead(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.begin()
	return c.scanner.scan(buffered)
}

// Write implements net.Conn.
func (c *dialedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	var errno syscall.Errno
	// EPIPE means that the connection had failed before, or that the peer had closed its
	// side before the failure. In the latter case io.EOF is the end of the answer.
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed its side, and fails
// if an expected head is malformed.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	malformed := c.scanner.scan(p[:n])
	c.mu.Unlock()
	if malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// writeFailure returns the failure of the connection that a write was told of, or nil. It ends
// a write in progress, whose peer sends nothing more.
func (c *dialedConn) writeFailure() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}
