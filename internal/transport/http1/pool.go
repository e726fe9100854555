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
	"strings"
	"sync"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// Errors of an exchange with an upstream. Each error of Do matches one of them.
var (
	// ErrNotSent means that the upstream has got no byte of the request.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNoAnswer means that the exchange ended without a whole answer; the
	// request may have run.
	ErrNoAnswer = errors.New("the upstream gave no whole answer")
)

// Request is one request to an upstream.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Rest follows Body; a request with it cannot be sent twice.
	Rest *BodyReader
	// Length is the length of the whole body, or -1 if unknown.
	Length int64
	// Matches tells whether an answer is that of this request; others are skipped.
	Matches func(status int, h http.Header) bool
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Answer is an upstream's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   *BodyReader
	Length int64
	// Close tells that the upstream ends the connection.
	Close bool
	// ReusedConnection tells that the connection was a kept one.
	ReusedConnection bool
}

// Limits of connections to upstreams.
const (
	// idleLimit is the age from which an idle connection is not used again, if
	// the upstream names none.
	idleLimit = 8 * time.Second
	// idleMargin is kept from the age at which the upstream closes.
	idleMargin = 1500 * time.Millisecond
	// idlePerUpstream bounds the idle connections that are kept.
	idlePerUpstream = 12
	// foreignLimit bounds the answers to other requests that are skipped.
	foreignLimit = 2
	// holdAnswer is the largest answer that is held whole before it is passed on.
	holdAnswer = 1 << 20
	// spillTime is how long the rest of a body may take after an early answer.
	spillTime = 2 * time.Second
)

// Pool keeps connections to upstreams, by a key that is new for each
// incarnation of an upstream. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	clock  clock.Clock
	mu     sync.Mutex
	idle   map[string][]*poolConn
	dialed int64
}

type poolConn struct {
	net.Conn
	in      *bufio.Reader
	usedAt  clock.Instant
	keepFor time.Duration
}

// NewPool returns an empty pool.
func NewPool(dialer *net.Dialer, c clock.Clock) *Pool {
	return &Pool{dialer: dialer, clock: c, idle: map[string][]*poolConn{}}
}

// Dialed returns the number of connections made so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Retain closes the idle connections whose key is not wanted any more, and
// those that are too old.
func (p *Pool) Retain(wanted func(key string) bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(key) && now.Sub(c.usedAt) < c.keepFor {
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

// take returns an idle connection that still looks usable, or nil.
func (p *Pool) take(key string) *poolConn {
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
		if p.clock.Now().Sub(c.usedAt) < c.keepFor && c.in.Buffered() == 0 && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) put(key string, c *poolConn) {
	c.usedAt = p.clock.Now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= idlePerUpstream || c.in.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// Do sends a request to the upstream at address and returns its answer. The
// context bounds the exchange up to the end of the answer's head and held body.
func (p *Pool) Do(ctx context.Context, key, address string, o *Request) (*Answer, error) {
	var c *poolConn
	if !o.NewConnection {
		c = p.take(key)
	}
	reused := c != nil
	if c == nil {
		conn, err := p.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		p.mu.Lock()
		p.dialed++
		p.mu.Unlock()
		c = &poolConn{Conn: conn, in: bufio.NewReaderSize(conn, 4<<10), keepFor: idleLimit}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := p.exchange(key, c, o)
	if !stop() && err == nil && answer.Rest == nil {
		// The context ended together with the answer; the connection is closed.
		answer.Close = true
	}
	if err != nil {
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.Join(err, context.Cause(ctx))
		}
		return nil, err
	}
	answer.ReusedConnection = reused
	return answer, nil
}

func (p *Pool) exchange(key string, c *poolConn, o *Request) (*Answer, error) {
	written := make(chan error, 1)
	small := o.Rest == nil && len(o.Body) <= directBytes
	if small {
		n, err := c.Write(o.head(true))
		if err != nil && n == 0 {
			return nil, errors.Join(ErrNotSent, err)
		}
		if err != nil {
			return nil, errors.Join(ErrNoAnswer, err)
		}
		written <- nil
	} else {
		if n, err := c.Write(o.head(false)); err != nil && n == 0 {
			return nil, errors.Join(ErrNotSent, err)
		}
		go func() { written <- o.writeBody(c) }()
	}
	answer, reusable, err := c.read(o)
	if err != nil {
		return nil, errors.Join(ErrNoAnswer, err)
	}
	if answer.Rest != nil {
		answer.Rest.onClose = func(complete bool) { p.finish(key, c, reusable && complete, written) }
		return answer, nil
	}
	p.finish(key, c, reusable, written)
	return answer, nil
}

// directBytes is the largest body that is written together with the head.
const directBytes = 16 << 10

// finish keeps the connection if it can be used again. After an early answer
// the rest of the body must be sent first.
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
		p.put(key, c)
	default:
		go p.finishLate(key, c, written)
	}
}

func (p *Pool) finishLate(key string, c *poolConn, written <-chan error) {
	_ = c.SetWriteDeadline(time.Now().Add(spillTime))
	if err := <-written; err != nil {
		_ = c.Close()
		return
	}
	p.put(key, c)
}

// head encodes the request's head, followed by the body if withBody.
func (o *Request) head(withBody bool) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(o.Body))
	b.WriteString(o.Method + " " + o.Target + " HTTP/1.1\r\nHost: " + o.Host + "\r\n")
	_ = o.Header.Write(&b)
	switch {
	case o.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case o.Length > 0 || (o.Method != http.MethodGet && o.Method != http.MethodHead):
		b.WriteString("Content-Length: " + strconv.FormatInt(o.Length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	if withBody {
		b.Write(o.Body)
	}
	return b.Bytes()
}

func (o *Request) writeBody(c net.Conn) error {
	var to io.Writer = c
	if o.Length < 0 {
		to = &chunkWriter{c}
	}
	if _, err := to.Write(o.Body); err != nil {
		return err
	}
	if o.Rest != nil {
		if _, err := io.Copy(to, o.Rest); err != nil {
			// The client broke off; a whole request must not be made of it.
			_ = c.Close()
			return err
		}
	}
	if o.Length < 0 {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}

// read reads the answer that belongs to the request and tells whether the
// connection can be used again.
func (c *poolConn) read(o *Request) (*Answer, bool, error) {
	request := &http.Request{Method: o.Method}
	for foreign := 0; ; foreign++ {
		response, err := c.readHead(request)
		if err != nil {
			return nil, false, err
		}
		answer, reusable, err := c.readBody(response)
		if err != nil {
			return nil, false, err
		}
		if o.Matches == nil || o.Matches(answer.Status, answer.Header) {
			return answer, reusable, nil
		}
		if !reusable || answer.Rest != nil || foreign >= foreignLimit {
			return nil, false, errors.New("the answer belongs to another request")
		}
	}
}

func (c *poolConn) readHead(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.in, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switched protocols")
		}
	}
}

func (c *poolConn) readBody(response *http.Response) (*Answer, bool, error) {
	answer := &Answer{
		Status: response.StatusCode, Header: response.Header, Close: response.Close, Length: response.ContentLength,
	}
	c.keepFor = keepTime(response.Header.Get("Keep-Alive"))
	body, err := io.ReadAll(io.LimitReader(response.Body, holdAnswer))
	if err != nil {
		return nil, false, err
	}
	answer.Body = body
	reusable := !response.Close
	if len(body) < holdAnswer || response.ContentLength == holdAnswer {
		return answer, reusable, nil
	}
	// The held part goes through the rest, so that one encoding covers both.
	answer.Body = nil
	answer.Rest = newRest(struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), response.Body), response.Body})
	return answer, reusable, nil
}

// keepTime returns how long a connection may be idle, from the Keep-Alive header.
func keepTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(min(time.Duration(seconds)*time.Second-idleMargin, idleLimit), 0)
		}
	}
	return idleLimit
}
