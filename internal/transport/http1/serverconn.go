package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
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
	limit   *limitReader
	in      *bufio.Reader
	out     *bufio.Writer
	ctx     context.Context
	cancel  context.CancelCauseFunc
	queue   chan *exchange
	lastUse atomic.Int64

	mu sync.Mutex
	// pending counts the requests that have begun to arrive and are not answered.
	pending int
	// closing is set when the last answer has been chosen; no request is read after it.
	closing bool
	// turn is closed when the request that was read last is answered.
	turn chan struct{}
}

// exchange is one request with its answer to come.
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
	c.limit = &limitReader{in: conn}
	c.in = bufio.NewReaderSize(c.limit, 4<<10)
	c.out = bufio.NewWriterSize(conn, 4<<10)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.turn = make(chan struct{})
	close(c.turn)
	c.touch()
	return c
}

func (c *serverConn) touch() { c.lastUse.Store(int64(c.server.clock.Now())) }

func (c *serverConn) run() {
	var writer sync.WaitGroup
	writer.Go(c.writeAll)
	c.readAll()
	close(c.queue)
	writer.Wait()
	if c.ctx.Err() == nil {
		c.linger()
	}
	c.cancel(ErrClientDisconnected)
	_ = c.conn.Close()
}

// enter counts a request that begins to arrive, unless none may follow.
func (c *serverConn) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	return true
}

// leave ends the count of a request.
func (c *serverConn) leave() {
	c.touch()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// load returns the number of requests that are not answered.
func (c *serverConn) load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// isLast decides whether the connection ends with the answer to x.
func (c *serverConn) isLast(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.last || x.unread() || (c.server.draining.Load() && c.pending == 1) {
		c.closing = true
	}
	return c.closing
}

// stopReading wakes the reader, so that it ends.
func (c *serverConn) stopReading() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) }

// readAll reads requests until the client leaves, or none may follow. It then
// stays to notice the client's leaving while answers are outstanding.
func (c *serverConn) readAll() {
	for {
		if !c.awaitRequest() {
			return
		}
		if !c.enter() {
			return
		}
		x, ok := c.readRequest()
		if !ok {
			return
		}
		if x.last || x.unread() {
			c.watch(x)
			return
		}
	}
}

// unread tells whether a part of the request's body was left on the connection.
func (x *exchange) unread() bool { return x.call.Rest != nil && !x.call.Rest.complete.Load() }

// watch waits until the last request is answered, and ends its context if the
// client leaves before.
func (c *serverConn) watch(x *exchange) {
	gone := make(chan struct{})
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(gone)
		for {
			if _, err := c.in.Peek(1); err == nil {
				// More bytes came; only their end would tell something new.
				_, _ = c.in.Discard(c.in.Buffered())
				continue
			} else if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.cancel(ErrClientDisconnected)
			}
			return
		}
	}()
	<-x.answered
	c.stopReading()
	<-gone
}

// awaitRequest waits for the first byte of a request.
func (c *serverConn) awaitRequest() bool {
	for {
		idle := c.server.limits().IdleTimeout
		_ = c.conn.SetReadDeadline(time.Now().Add(idle))
		c.limit.allow(noLimit)
		// An answer may have closed the connection before the deadline was set.
		if c.ends(false) {
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
		quietFor := c.server.clock.Now().Sub(clock.Instant(c.lastUse.Load()))
		if c.ends(quietFor >= idle || c.server.stopping.Load()) {
			return false
		}
	}
}

// ends tells whether a connection on which nothing arrives ends: because an
// answer has closed it, or because it is idle and to be closed.
func (c *serverConn) ends(closeIdle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && closeIdle {
		c.closing = true
	}
	return c.closing
}

func (c *serverConn) readRequest() (*exchange, bool) {
	limits := c.server.limits()
	c.limit.allow(int64(limits.HeaderBytes) + headerSlack)
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.in)
	c.limit.allow(noLimit)
	if err != nil {
		c.rejectMalformed(err)
		return nil, false
	}
	x := c.newExchange(request)
	if request.ContentLength > limits.MaxBodyBytes && limits.MaxBodyBytes > 0 {
		return c.reject(x, http.StatusRequestEntityTooLarge), true
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		// Nothing else is written meanwhile: a request with a body waits for its turn.
		<-x.call.EarlierDone
		_, _ = io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if !c.readBody(x) {
		c.leave()
		c.cancel(ErrClientDisconnected)
		return nil, false
	}
	c.begin(x)
	if x.call.Rest != nil {
		<-x.call.Rest.done
	}
	return x, true
}

const (
	// headerSlack is what buffering may read beyond a head, in bytes.
	headerSlack = 8 << 10
	// bodyTimeout bounds the arrival of a body.
	bodyTimeout = 30 * time.Second
	noLimit     = int64(1) << 62
)

func (c *serverConn) newExchange(request *http.Request) *exchange {
	x := &exchange{reply: make(chan Reply, 1), answered: make(chan struct{})}
	x.call = &Call{Request: request, Arrived: c.server.clock.Now(), EarlierDone: c.turn}
	x.last = request.Close || c.server.draining.Load()
	c.turn = x.answered
	return x
}

// readBody holds a body up to holdBytes and leaves the rest to be read.
func (c *serverConn) readBody(x *exchange) bool {
	body := x.call.Request.Body
	if body == nil || body == http.NoBody {
		return true
	}
	held, err := io.ReadAll(io.LimitReader(body, holdBytes))
	x.call.Body = held
	if err != nil {
		return false
	}
	if len(held) < holdBytes || x.call.Request.ContentLength == holdBytes {
		return true
	}
	x.call.Rest = newRest(body)
	return true
}

// begin starts the handling of a request and queues it for the writer.
func (c *serverConn) begin(x *exchange) {
	c.queue <- x
	go func() {
		x.reply <- c.server.handler.Handle(c.ctx, x.call)
		if x.call.Rest != nil {
			x.call.Rest.Close()
		}
	}()
}

func (c *serverConn) reject(x *exchange, status int) *exchange {
	x.last = true
	x.reply <- Reply{Status: status, Header: http.Header{}}
	c.queue <- x
	return x
}

// rejectMalformed answers what is no request, if the client is still there.
func (c *serverConn) rejectMalformed(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errLimit):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.leave()
		c.cancel(ErrClientDisconnected)
		return
	}
	x := &exchange{reply: make(chan Reply, 1), answered: make(chan struct{}), call: &Call{}}
	c.reject(x, status)
}

// writeAll writes the answers in the order of their requests.
func (c *serverConn) writeAll() {
	broken := false
	for x := range c.queue {
		reply := <-x.reply
		if !broken && !c.write(x, reply) {
			broken = true
			c.cancel(ErrClientDisconnected)
			_ = c.conn.Close()
		}
		if reply.Rest != nil {
			reply.Rest.Close()
		}
		c.leave()
		close(x.answered)
	}
}

// write writes one answer and tells whether that succeeded.
func (c *serverConn) write(x *exchange, reply Reply) bool {
	if reply.Abort || c.ctx.Err() != nil {
		return false
	}
	last := c.isLast(x)
	_ = c.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	c.writeHead(x, reply, last)
	if x.call.Request == nil || x.call.Request.Method != http.MethodHead {
		_, _ = c.out.Write(reply.Body)
		if reply.Rest != nil && !c.writeRest(reply) {
			return false
		}
	}
	if c.out.Flush() != nil {
		return false
	}
	if last && !x.last {
		c.stopReading()
	}
	return true
}

func (c *serverConn) writeHead(x *exchange, reply Reply, closing bool) {
	_, _ = c.out.WriteString("HTTP/1.1 " + strconv.Itoa(reply.Status) + " " + http.StatusText(reply.Status) + "\r\n")
	_ = reply.Header.Write(c.out)
	switch {
	case reply.Rest == nil:
		_, _ = c.out.WriteString("Content-Length: " + strconv.Itoa(bodyLength(x, reply)) + "\r\n")
	case reply.Length >= 0:
		_, _ = c.out.WriteString("Content-Length: " + strconv.FormatInt(reply.Length, 10) + "\r\n")
	default:
		_, _ = c.out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if closing {
		_, _ = c.out.WriteString("Connection: close\r\n")
	}
	_, _ = c.out.WriteString("\r\n")
}

// bodyLength is the length that a head announces; the answer to HEAD has that
// of the body which it leaves out.
func bodyLength(x *exchange, reply Reply) int {
	if x.call.Request != nil && x.call.Request.Method == http.MethodHead && reply.Length > 0 {
		return int(reply.Length)
	}
	return len(reply.Body)
}

// writeRest passes a large answer on. One that breaks off must not look
// complete: the connection ends without the closing chunk.
func (c *serverConn) writeRest(reply Reply) bool {
	var to io.Writer = c.out
	chunked := reply.Length < 0
	if chunked {
		to = &chunkWriter{c.out}
	}
	if _, err := io.Copy(&deadlineWriter{c.conn, to}, reply.Rest); err != nil {
		return false
	}
	if chunked {
		_, _ = c.out.WriteString("0\r\n\r\n")
	}
	return true
}

// linger ends the connection so that the last answer arrives: closing it while
// bytes are unread would reset it.
func (c *serverConn) linger() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.conn)
}

// closeIfIdle ends a connection without requests.
func (c *serverConn) closeIfIdle() {
	if c.load() == 0 {
		c.stopReading()
	}
}
