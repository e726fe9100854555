package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/confine"
)

// Errors of an exchange with an upstream. Every error of Do matches one of them.
var (
	// ErrNotSent means that the upstream has received no byte of the request.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNoAnswer means that the exchange ended without a complete answer; the
	// upstream may have run the request.
	ErrNoAnswer = errors.New("no complete answer from the upstream")
)

// Request is one request to an upstream.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Rest reads the part of the body after Body, or is nil. A request with Rest
	// cannot be sent twice.
	Rest *BodyReader
	// Length is the length of the whole body in bytes, or -1 if unknown.
	Length int64
	// Owner tells whose answer a head belongs to. If nil, every answer is this request's.
	Owner func(status int, h http.Header) Owner
	// NewConnection forbids the use of a pooled connection.
	NewConnection bool
	// SingleUse closes the connection after the answer.
	SingleUse bool
	// StreamFailed, if set, is called once if the upstream breaks off the part of an answer
	// that Rest reads, or exceeds the limits of such answers.
	StreamFailed func(error)
}

// Limits of connections to upstreams.
const (
	// maxIdleAge is the age from which an idle connection is not reused; an
	// upstream may announce a shorter one.
	maxIdleAge = 8 * time.Second
	// idleMargin is subtracted from the age at which the upstream closes idle
	// connections, so that no request is sent on a connection that is closing.
	idleMargin = 1500 * time.Millisecond
	// maxIdlePerUpstream bounds the idle connections that are pooled for one key.
	maxIdlePerUpstream = 12
	// readBufferBytes is the size of the buffer through which a connection is read.
	readBufferBytes = 4 << 10
	// lateBodyTimeout bounds the writing of the rest of a request's body after
	// an early answer.
	lateBodyTimeout = 2 * time.Second
)

// Pool sends requests to upstreams and pools idle connections under a key that
// differs for each incarnation of an upstream. It is safe for concurrent use.
type Pool struct {
	dialer *Dialer
	limits AnswerLimits
	clock  clock.Clock
	guard  *confine.Guard
	mu     sync.Mutex
	idle   map[string][]*poolConn
	dialed int64
}

// poolConn is one connection to an upstream.
type poolConn struct {
	*dialedConn
	limit *limitReader
	in    *bufio.Reader
	clock clock.Clock
	// reused reports whether an earlier exchange used the connection.
	reused  bool
	lastUse clock.Instant
	// maxIdle is the age from which the idle connection is not reused.
	maxIdle time.Duration
}

// NewPool returns an empty pool.
func NewPool(dialer *Dialer, limits AnswerLimits, c clock.Clock, g *confine.Guard) *Pool {
	return &Pool{dialer: dialer, limits: limits, clock: c, guard: g, idle: map[string][]*poolConn{}}
}

func (p *Pool) newConn(conn net.Conn) *poolConn {
	dialed := newDialedConn(conn)
	limit := &limitReader{in: dialed, err: ErrAnswerTooLarge}
	return &poolConn{dialedConn: dialed, limit: limit, in: bufio.NewReaderSize(limit, readBufferBytes), clock: p.clock, maxIdle: maxIdleAge}
}

// Dialed returns the number of connections made so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Retain closes the idle connections whose key is no longer in use, those that are too
// old, and those that are closed or on which bytes have arrived that no request asked
// for: unread bytes occupy memory.
func (p *Pool) Retain(inUse func(key string) bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if inUse(key) && now.Sub(c.lastUse) < c.maxIdle && isIdle(c.Conn) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// getIdle removes and returns an idle connection that is open and within its
// age, or returns nil.
func (p *Pool) getIdle(key string) *poolConn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if p.clock.Now().Sub(c.lastUse) < c.maxIdle && c.in.Buffered() == 0 && isIdle(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// putIdle pools a connection, or closes it if the pool is full or the upstream
// has sent bytes that no request asked for.
func (p *Pool) putIdle(key string, c *poolConn) {
	c.lastUse = p.clock.Now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerUpstream || c.in.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// Do sends a request to the upstream at address and returns its answer. The
// context bounds the exchange up to the end of the answer's head and buffered body.
func (p *Pool) Do(ctx context.Context, key, address string, r *Request) (*Answer, error) {
	var c *poolConn
	if !r.NewConnection {
		c = p.getIdle(key)
	}
	if c != nil {
		c.reused = true
	} else {
		conn, err := p.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		p.mu.Lock()
		p.dialed++
		p.mu.Unlock()
		c = p.newConn(conn)
	}
	// Once the exchange has ended, the connection may be another request's.
	reused := c.reused
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := p.exchange(ctx, key, c, r, release)
	if err != nil {
		release()
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.Join(err, context.Cause(ctx))
		}
		return nil, err
	}
	answer.ReusedConnection = reused
	return answer, nil
}

// exchange writes a request and reads its answer. A large body is written while
// the answer is awaited. The end of ctx closes the connection until release, which
// reports whether it has not; it is called before the connection can be used again.
func (p *Pool) exchange(ctx context.Context, key string, c *poolConn, r *Request, release func() bool) (*Answer, error) {
	written := make(chan error, 1)
	inline := r.Rest == nil && len(r.Body) <= maxInlineBodyBytes
	if inline {
		n, err := c.Write(r.encode(true))
		if err != nil && n == 0 {
			return nil, errors.Join(ErrNotSent, err)
		}
		if err != nil {
			return nil, errors.Join(ErrNoAnswer, err)
		}
		written <- nil
	} else {
		if n, err := c.Write(r.encode(false)); err != nil && n == 0 {
			return nil, errors.Join(ErrNotSent, err)
		}
		defer p.watchBody(c.Conn)()
		go func() {
			err := errBodyPanicked
			p.guard.Run(taskBody, func() { err = r.writeBody(c) })
			written <- err
		}()
	}
	answer, reusable, err := c.read(r, p.limits, p.streamEnd(ctx))
	if err != nil {
		return nil, errors.Join(ErrNoAnswer, err)
	}
	reusable = reusable && !r.SingleUse
	if !release() {
		// The context ended just as the answer arrived.
		reusable = false
		answer.Close = answer.Close || answer.Rest == nil
	}
	if answer.Rest != nil {
		answer.Rest.onClose = func(complete bool) { p.finish(key, c, reusable && complete, written) }
		answer.Rest.onFailure = r.StreamFailed
		return answer, nil
	}
	p.finish(key, c, reusable, written)
	return answer, nil
}

// streamEnd returns when the body of an answer must end that is forwarded while it
// arrives.
func (p *Pool) streamEnd(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = p.clock.Wall()
	}
	return deadline.Add(p.limits.StreamGrace)
}

// errBodyPanicked means that the writing of a request's body panicked.
var errBodyPanicked = errors.New("the writing of the request's body panicked")

// maxInlineBodyBytes is the largest body that is written together with the head.
const maxInlineBodyBytes = 16 << 10

// finish pools the connection if it is reusable and closes it otherwise. After an
// early answer the rest of the request's body must be sent first.
func (p *Pool) finish(key string, c *poolConn, reusable bool, written <-chan error) {
	if !reusable {
		_ = c.Close()
		return
	}
	select {
	case err := <-written:
		if err != nil {
			_ = c.Close()
			return
		}
		p.putIdle(key, c)
	default:
		go func() {
			if !p.guard.Run(taskBody, func() { p.finishAfterBody(key, c, written) }) {
				_ = c.Close()
			}
		}()
	}
}

// finishAfterBody pools the connection once the request's body is written.
func (p *Pool) finishAfterBody(key string, c *poolConn, written <-chan error) {
	_ = c.SetWriteDeadline(time.Now().Add(lateBodyTimeout))
	if err := <-written; err != nil {
		_ = c.Close()
		return
	}
	p.putIdle(key, c)
}

// encode returns the request's head, followed by Body if withBody is set.
func (r *Request) encode(withBody bool) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	switch {
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead):
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	if withBody {
		b.Write(r.Body)
	}
	return b.Bytes()
}

// sourceReader notes whether a read failed, which tells the errors of both sides of a copy
// apart.
type sourceReader struct {
	in     io.Reader
	failed bool
}

func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.in.Read(p)
	s.failed = s.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// writeBody writes Body and Rest, in chunks if the length is unknown.
func (r *Request) writeBody(conn net.Conn) error {
	var w io.Writer = conn
	if r.Length < 0 {
		w = &chunkWriter{conn}
	}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if r.Rest != nil {
		rest := &sourceReader{in: r.Rest}
		if _, err := io.Copy(w, rest); err != nil {
			if rest.failed {
				// The client stopped sending; the upstream must not take what arrived
				// for a complete request.
				_ = conn.Close()
			}
			return err
		}
	}
	if r.Length < 0 {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}
