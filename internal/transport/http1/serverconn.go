package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// serverConn is one connection of a client.
type serverConn struct {
	server  *Server
	conn    net.Conn
	head    *headReader
	limit   *limitReader
	in      *bufio.Reader
	out     *bufio.Writer
	ctx     context.Context
	cancel  context.CancelCauseFunc
	queue   chan *exchange
	lastUse atomic.Int64
	// failed is set once an answer could not be written. The writing goroutine uses it.
	failed bool

	mu sync.Mutex
	// pending counts the requests that have begun to arrive and are unanswered.
	pending int
	// undecided counts those of which closesAfter has not been called. The last of their
	// answers can still announce that the connection closes.
	undecided int
	// closing is set once the last answer is decided; no request is read after that.
	closing bool
	// lastAnswered is closed when the request that was read last is answered. Only the
	// reading goroutine uses the field.
	lastAnswered chan struct{}
}

// exchange is one request and its pending answer.
type exchange struct {
	call  *Call
	reply chan Reply
	// answered is closed when the answer is written.
	answered chan struct{}
	// last is set if no request may follow on the connection.
	last bool
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	c := &serverConn{server: s, conn: conn, queue: make(chan *exchange, pipelineDepth)}
	c.head = &headReader{in: conn}
	c.limit = &limitReader{in: c.head, err: errHeadTooLarge}
	c.in = bufio.NewReaderSize(c.limit, 4<<10)
	c.out = bufio.NewWriterSize(conn, 4<<10)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.lastAnswered = make(chan struct{})
	close(c.lastAnswered)
	c.markUsed()
	return c
}

func (c *serverConn) markUsed() { c.lastUse.Store(int64(c.server.clock.Now())) }

func (c *serverConn) run() {
	var writer sync.WaitGroup
	writer.Go(func() {
		// After a panic the other requests still end, although without an answer.
		for !c.server.guard.Run(taskAnswer, c.writeAnswers) {
			c.abort()
		}
	})
	// After a panic no further request is read; the earlier ones are still answered.
	c.server.guard.Run(taskConnection, c.readRequests)
	close(c.queue)
	writer.Wait()
	if !c.disconnected() {
		c.linger()
	}
	c.cancel(ErrClientDisconnected)
	_ = c.conn.Close()
}

// disconnected reports whether the client has disconnected.
func (c *serverConn) disconnected() bool {
	return errors.Is(context.Cause(c.ctx), ErrClientDisconnected)
}

// startRequest counts an arriving request, unless no request may follow. A stopping server
// accepts none behind an undecided one: it may not finish the request in time, and clients
// resend requests that follow an answer that closes the connection.
func (c *serverConn) startRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || (c.undecided > 0 && c.server.stopping.Load()) {
		return false
	}
	c.pending++
	c.undecided++
	return true
}

func (c *serverConn) finishRequest() {
	c.markUsed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

func (c *serverConn) pendingRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// closesAfter decides whether the connection closes after the answer to x.
func (c *serverConn) closesAfter(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.undecided--
	if x.last || x.hasUnreadBody() || (c.server.draining.Load() && c.pending == 1) {
		c.closing = true
	}
	return c.closing
}

// stopReading interrupts the reading goroutine, which then ends.
func (c *serverConn) stopReading() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) }

// readRequests reads requests until the client disconnects or none may follow. While
// the last request is pending, it still detects that the client disconnects.
func (c *serverConn) readRequests() {
	for {
		if !c.awaitRequest() {
			return
		}
		if !c.startRequest() {
			c.awaitAnswer(c.lastAnswered)
			return
		}
		x, ok := c.readRequest()
		if !ok {
			return
		}
		if x.last || x.hasUnreadBody() {
			c.awaitAnswer(x.answered)
			return
		}
	}
}

// hasUnreadBody reports whether a part of the request's body was not read.
func (x *exchange) hasUnreadBody() bool { return x.call.Rest != nil && !x.call.Rest.complete.Load() }

// awaitAnswer waits until the last request is answered, and cancels its context if
// the client disconnects before. It discards what the client sends behind that request.
func (c *serverConn) awaitAnswer(answered <-chan struct{}) {
	watchDone := make(chan struct{})
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(watchDone)
		c.server.guard.Run(taskConnection, c.discardInput)
	}()
	<-answered
	c.stopReading()
	<-watchDone
}

// discardInput discards what the client sends, until reading is stopped or the client
// disconnects.
func (c *serverConn) discardInput() {
	for {
		if _, err := c.in.Peek(1); err == nil {
			_, _ = c.in.Discard(c.in.Buffered())
			continue
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel(ErrClientDisconnected)
		}
		return
	}
}

// awaitRequest waits for the first byte of a request.
func (c *serverConn) awaitRequest() bool {
	for {
		idleTimeout := c.server.limits().IdleTimeout
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		c.limit.setLimit(noLimit)
		// An answer may have closed the connection before the deadline was set.
		if c.shouldClose(false) {
			return false
		}
		_, err := c.in.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel(ErrClientDisconnected)
			return false
		}
		// A deadline in the past hides bytes that have arrived.
		if !c.isClosing() && hasUnread(c.conn) {
			continue
		}
		idleFor := c.server.clock.Now().Sub(clock.Instant(c.lastUse.Load()))
		if c.shouldClose(idleFor >= idleTimeout || c.server.stopping.Load()) {
			return false
		}
	}
}

// isClosing reports whether an answer has closed the connection.
func (c *serverConn) isClosing() bool { return c.shouldClose(false) }

// shouldClose reports whether a connection on which nothing arrives must close:
// an answer has closed it, or it is idle and closeIdle is set.
func (c *serverConn) shouldClose(closeIdle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && closeIdle {
		c.closing = true
	}
	return c.closing
}

func (c *serverConn) readRequest() (*exchange, bool) {
	limits := c.server.limits()
	c.limit.setLimit(int64(limits.HeaderBytes) + maxReadAheadBytes)
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := c.readHead()
	c.limit.setLimit(noLimit)
	if err != nil {
		c.rejectMalformed(err)
		return nil, false
	}
	x := c.newExchange(request)
	if request.ContentLength > limits.MaxBodyBytes && limits.MaxBodyBytes > 0 {
		return c.reject(x, http.StatusRequestEntityTooLarge), true
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		// The interim response must not be written between the bytes of an earlier answer.
		<-x.call.EarlierDone
		_, _ = io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if !c.readBody(x) {
		c.finishRequest()
		c.cancel(ErrClientDisconnected)
		return nil, false
	}
	c.dispatch(x)
	if x.call.Rest != nil {
		// Until then, the connection belongs to the goroutine that forwards the body.
		<-x.call.Rest.done
	}
	return x, true
}

// readHead reads and checks the head of a request.
func (c *serverConn) readHead() (*http.Request, error) {
	buffered, err := c.in.Peek(c.in.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.head.expect(buffered); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, err
	}
	return request, checkRequest(request, &c.head.scanner)
}

const (
	// maxReadAheadBytes limits what buffering may read beyond the end of a head.
	maxReadAheadBytes = 8 << 10
	// bodyTimeout bounds the time in which a body must arrive.
	bodyTimeout = 30 * time.Second
	noLimit     = int64(1) << 62
)

func (c *serverConn) newExchange(request *http.Request) *exchange {
	x := &exchange{reply: make(chan Reply, 1), answered: make(chan struct{})}
	x.call = &Call{Request: request, Arrived: c.server.clock.Now(), EarlierDone: c.lastAnswered}
	x.last = request.Close || c.server.draining.Load()
	c.lastAnswered = x.answered
	return x
}

// readBody buffers up to maxBufferedBodyBytes and leaves the rest to be streamed.
func (c *serverConn) readBody(x *exchange) bool {
	body := x.call.Request.Body
	if body == nil || body == http.NoBody {
		return true
	}
	buffered, err := io.ReadAll(io.LimitReader(body, maxBufferedBodyBytes))
	x.call.Body = buffered
	if err != nil {
		return false
	}
	if len(buffered) < maxBufferedBodyBytes || x.call.Request.ContentLength == maxBufferedBodyBytes {
		return true
	}
	x.call.Rest = newBodyReader(body)
	x.call.Rest.interrupt = c.stopReading
	return true
}

// dispatch starts the handling of a request and queues it for the writing goroutine.
func (c *serverConn) dispatch(x *exchange) {
	c.queue <- x
	go func() {
		reply := panicReply
		c.server.guard.Run(taskRequest, func() { reply = c.server.handler.Handle(c.ctx, x.call) })
		x.reply <- reply
		if x.call.Rest != nil {
			x.call.Rest.Close()
		}
	}()
}

// panicReply answers a request whose handling panicked. Its status does not promise that
// the request has not run.
var panicReply = Reply{Status: http.StatusBadGateway, Header: http.Header{}}

// reject queues an empty answer as the last one of the connection.
func (c *serverConn) reject(x *exchange, status int) *exchange {
	x.last = true
	x.reply <- Reply{Status: status, Header: http.Header{}}
	c.queue <- x
	return x
}

// rejectMalformed answers an invalid head, if the client is still connected.
func (c *serverConn) rejectMalformed(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.finishRequest()
		c.cancel(ErrClientDisconnected)
		return
	}
	x := &exchange{reply: make(chan Reply, 1), answered: make(chan struct{}), call: &Call{}}
	c.reject(x, status)
}

// linger closes the sending side and discards what still arrives, so that the client
// receives the last answer: closing with unread bytes would reset the connection.
func (c *serverConn) linger() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}

// closeIfIdle makes a connection without pending requests close.
func (c *serverConn) closeIfIdle() {
	if c.pendingRequests() == 0 {
		c.stopReading()
	}
}
