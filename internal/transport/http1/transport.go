package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
)

// Transport is an http.RoundTripper that fails with ErrAnswerMalformed where net/http accepts
// an invalid answer.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends requests through base, on connections that
// dialer makes.
func NewTransport(dialer *Dialer, base *http.Transport) *Transport {
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &transportConn{dialedConn: newDialedConn(conn), readEnded: make(chan struct{})}, nil
	}
	return &Transport{base}
}

// transportConn is a connection of a Transport. net/http closes a connection whose write
// fails, even if it has not read the answer that arrived before. So a write that fails because
// the peer has reset the connection returns only when the reads have ended.
type transportConn struct {
	*dialedConn
	// readEnded is closed once a read has failed or the connection is closed.
	readEnded chan struct{}
	endOnce   sync.Once
}

func (c *transportConn) endRead() { c.endOnce.Do(func() { close(c.readEnded) }) }

// Write implements net.Conn.
func (c *transportConn) Write(p []byte) (int, error) {
	n, err := c.dialedConn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		<-c.readEnded
	}
	return n, err
}

// Read implements net.Conn.
func (c *transportConn) Read(p []byte) (int, error) {
	n, err := c.dialedConn.Read(p)
	if err != nil {
		c.endRead()
	}
	return n, err
}

// Close implements net.Conn.
func (c *transportConn) Close() error {
	c.endRead()
	return c.dialedConn.Close()
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*transportConn); ok {
			_ = conn.expectHead(nil)
		}
	}}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		// If the answer has no body, its connection is already idle.
		t.CloseIdleConnections()
		return nil, err
	}
	// Only chunked answers have a trailer. After a switch of protocols, the body must remain
	// an io.Writer.
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{response.Body, response}
	}
	return response, nil
}
