package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/confine"
)

// Call is one request of a client.
type Call struct {
	// Request is the parsed head. The body must be read through Body and Rest.
	Request *http.Request
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest reads the part of the body after Body, or is nil. Nothing else is read
	// from the connection until Rest is closed.
	Rest *BodyReader
	// Arrived is the instant at which the head was read.
	Arrived clock.Instant
	// EarlierDone is closed when all earlier requests of the connection are answered.
	EarlierDone <-chan struct{}
}

// Reply is the answer to a call.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest replaces Body if the answer is too large to be buffered.
	Rest *BodyReader
	// Length is the length of the whole body in bytes, or -1 if it ends when Rest ends.
	Length int64
	// Abort closes the connection without an answer, because no truthful one exists.
	Abort bool
}

// Handler answers calls. The context is cancelled when the client disconnects, and when
// the server stops before the call has ended.
type Handler interface {
	Handle(ctx context.Context, c *Call) Reply
}

// Limits bound what a client may send. They may change while connections are open.
type Limits struct {
	HeaderBytes   int
	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ErrClientDisconnected is the cause with which a call's context is cancelled when
// the client disconnects.
var ErrClientDisconnected = errors.New("the client closed the connection")

const (
	// pipelineDepth bounds the unanswered requests of one connection that are read ahead.
	pipelineDepth = 16
	// maxBufferedBodyBytes is the largest body of a request that is buffered whole. A
	// buffered body can be sent again after an upstream has refused it.
	maxBufferedBodyBytes = 512 << 10
	// replyTimeout bounds the writing of one answer, or of one part of a streamed
	// answer, to a client that reads slowly.
	replyTimeout = 8 * time.Second
	// lingerTimeout bounds the reading from a connection after its last answer. Closing a
	// connection with unread bytes resets it, and the client may lose the answer.
	lingerTimeout = 500 * time.Millisecond
)

// Server serves clients' connections. Each connection has one goroutine that reads
// requests and one that writes answers in order; each request has a goroutine of its
// own. The reading goroutine detects that the client disconnects, also while requests
// are pending.
//
// Drain makes the server send "Connection: close" with the last answer of each
// connection. Stop closes idle connections, waits for the others to end, and cancels the
// calls that take too long.
type Server struct {
	handler  Handler
	limits   func() Limits
	clock    clock.Clock
	guard    *confine.Guard
	draining atomic.Bool
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// Tasks to which panics are confined.
const (
	taskConnection confine.Task = "client connection"
	taskRequest    confine.Task = "request"
	taskAnswer     confine.Task = "answer"
	taskBody       confine.Task = "request body"
)

// NewServer returns a server that passes calls to handler. It calls limits for each
// request.
func NewServer(handler Handler, limits func() Limits, c clock.Clock, g *confine.Guard) *Server {
	return &Server{handler: handler, limits: limits, clock: c, guard: g, conns: map[*serverConn]struct{}{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of file descriptors, or the client disconnected at once.
			s.clock.Sleep(context.Background(), acceptBackoff)
			continue
		}
		s.start(conn)
	}
}

// acceptBackoff is the wait after a failed accept.
const acceptBackoff = 20 * time.Millisecond

func (s *Server) start(conn net.Conn) {
	c := newServerConn(s, conn)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		s.guard.Run(taskConnection, c.run)
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain makes each connection close with the answer to its last pending request.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop closes idle connections and waits until the others have ended or ctx ends. Then it
// cancels the contexts of the calls that still run, with cause, waits for their answers
// for up to answerTimeout, and returns how many calls it has cancelled.
func (s *Server) Stop(ctx context.Context, cause error, answerTimeout time.Duration) (cancelled int) {
	s.draining.Store(true)
	s.stopping.Store(true)
	if s.awaitClosed(ctx) {
		return 0
	}
	s.mu.Lock()
	for c := range s.conns {
		cancelled += c.pendingRequests()
		c.cancel(cause)
	}
	s.mu.Unlock()
	answerCtx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	s.awaitClosed(answerCtx)
	return cancelled
}

// awaitClosed closes idle connections until none is open, and reports whether that was
// before ctx ended.
func (s *Server) awaitClosed(ctx context.Context) bool {
	for {
		s.mu.Lock()
		open := len(s.conns)
		for c := range s.conns {
			c.closeIfIdle()
		}
		s.mu.Unlock()
		if open == 0 {
			return true
		}
		if !s.clock.Sleep(ctx, stopPollInterval) {
			return false
		}
	}
}

// stopPollInterval is the interval at which Stop checks the connections.
const stopPollInterval = 20 * time.Millisecond

// Active returns the number of pending requests.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.pendingRequests()
	}
	return n
}
