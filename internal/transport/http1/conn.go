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

// Dialer makes the connections on which answers are read. See dialedConn.
type Dialer struct{ net.Dialer }

// DialContext connects to an address; see net.Dialer.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newDialedConn(conn), nil
}

// dialedConn is a connection to an upstream or to a service. Its reads detect what the parser
// of answers cannot: a connection error that a write has consumed, and malformed heads.
//
// The kernel reports a connection error, such as a reset, to one system call only. If a write
// consumes it, later reads return io.EOF, as after an orderly close, and an answer without a
// length looks complete.
type dialedConn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	// connError is the connection error that a write has consumed.
	connError error
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
	c.scanner.begin(ErrAnswerMalformed)
	return c.scanner.scan(buffered)
}

// Write implements net.Conn.
func (c *dialedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	var errno syscall.Errno
	// EPIPE means that the error was consumed before, or that the peer had closed its side
	// before the reset. In the latter case the answer is complete.
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.connError = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only after an orderly close by the peer, and
// fails if an expected head is malformed.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	malformed := c.scanner.scan(p[:n])
	c.mu.Unlock()
	if malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		if connError := c.consumedError(); connError != nil {
			err = connError
		}
	}
	return n, err
}

// consumedError returns the connection error that a write has consumed, or nil. It is called at
// the end of the stream, and interrupts a write in progress: no answer can follow.
func (c *dialedConn) consumedError() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.connError
}
