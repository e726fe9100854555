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
)

// Call is one request of a client.
type Call struct {
	// Request is the parsed head. Its body must be read through Body and Rest.
	Request *http.Request
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest reads what follows Body. Nothing else is read from the connection
	// until it has ended.
	Rest *BodyReader
	// Arrived is when the head had been read.
	Arrived clock.Instant
	// EarlierDone is closed when all earlier requests of the connection are answered.
	EarlierDone <-chan struct{}
}

// Reply is the answer to a call.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest replaces Body if the answer is too large to be held.
	Rest *BodyReader
	// Length is the length of the whole body, or -1 if it ends when Rest ends.
	Length int64
	// Abort breaks the connection off, because no true answer can be given.
	Abort bool
}

// Handler answers calls. Its context ends when the client has left.
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

// ErrClientDisconnected is the cause of a call's context when the client has left.
var ErrClientDisconnected = errors.New("the client closed the connection")

const (
	// pipelineDepth bounds the requests of one connection that are read ahead.
	pipelineDepth = 16
	// holdBytes is the largest body that is held in memory whole, so that it can
	// be sent again after an upstream has refused it.
	holdBytes = 512 << 10
	// replyTimeout bounds the writing of one answer to a client that reads slowly.
	replyTimeout = 8 * time.Second
	// lingerTime is how long a closed connection is drained, because unread bytes
	// would reset it and take the answer along.
	lingerTime = 500 * time.Millisecond
)

// Server serves clients' connections. Each connection has a goroutine that
// reads requests and notices when the client leaves, also behind requests that
// wait, and one that writes answers in order; each request has one of its own.
//
// Drain makes the server say "close" with the last answer of each connection;
// Stop ends idle connections and waits for the others.
type Server struct {
	handler  Handler
	limits   func() Limits
	clock    clock.Clock
	draining atomic.Bool
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// NewServer returns a server that gives calls to handler.
func NewServer(handler Handler, limits func() Limits, c clock.Clock) *Server {
	return &Server{handler: handler, limits: limits, clock: c, conns: map[*serverConn]struct{}{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, or the client left at once.
			s.clock.Sleep(context.Background(), acceptPause)
			continue
		}
		s.start(conn)
	}
}

// acceptPause is the pause after a failed accept.
const acceptPause = 20 * time.Millisecond

func (s *Server) start(conn net.Conn) {
	c := newServerConn(s, conn)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.run()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain makes connections close with their next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop closes idle connections and waits until the others have ended or ctx ends.
func (s *Server) Stop(ctx context.Context) {
	s.draining.Store(true)
	s.stopping.Store(true)
	for {
		s.mu.Lock()
		open := len(s.conns)
		for c := range s.conns {
			c.closeIfIdle()
		}
		s.mu.Unlock()
		if open == 0 || !s.clock.Sleep(ctx, stopInterval) {
			return
		}
	}
}

// stopInterval is the interval at which Stop looks at the connections.
const stopInterval = 20 * time.Millisecond

// Active returns the number of requests under way.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.load()
	}
	return n
}
