// Package host carries messages between entry hosts over WebSocket connections, one
// for each pair of hosts.
package host

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/host"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/confine"
	"celerypin.example/celerypin/pkg/state/id"
)

// Limits of a connection.
const (
	// maxQueuedMessages bounds the messages that are queued for one connection; when the
	// queue is full, messages are dropped.
	maxQueuedMessages = 256
	dialTimeout       = 2 * time.Second
	// maxHandshakeBytes bounds the head of the answer to a handshake.
	maxHandshakeBytes = 16 << 10
	// writeTimeout bounds the writing of one message.
	writeTimeout = 2 * time.Second
	// readTimeout is the time without a message after which a connection is closed:
	// it may be open on both ends while no packet passes.
	readTimeout = 1500 * time.Millisecond
	// minRedialInterval is the shortest time between two attempts to connect.
	minRedialInterval = 250 * time.Millisecond
)

// tokenHeader carries the token with which a host authenticates itself.
const tokenHeader = "Celerypin-Fleet-Token"

// Events receives the messages and the failures that a Mesh reports.
type Events[M any] interface {
	// Received is called for each message from another host.
	Received(from id.Host, m M)
	// ConnectionRefused is called when a connection to a host was refused, because nothing
	// listens at its address.
	ConnectionRefused(h id.Host)
}

// Codec encodes and decodes messages with their sender and addressee. Decode returns both,
// and codec.ErrUnknown, also for a message of an unknown kind.
type Codec[M any] interface {
	Encode(from, to id.Host, m M) ([]byte, error)
	Decode(data []byte) (from, to id.Host, m M, err error)
}

// Mesh maintains connections to the other hosts and carries messages of type M. It
// is safe for concurrent use.
//
// Of two hosts the one with the lower name dials. A connection over which no message
// was received within readTimeout is closed and dialled again; heartbeats keep it
// open while both ends are alive.
type Mesh[M any] struct {
	self   id.Host
	token  string
	codec  Codec[M]
	events Events[M]
	log    *logging.Log
	client *http.Client
	clock  clock.Clock
	guard  *confine.Guard
	// sentBytes and receivedBytes count encoded messages.
	sentBytes     metrics.Counter
	receivedBytes metrics.Counter
	// unknownMessages counts the messages of kinds that this build does not know.
	unknownMessages metrics.Counter

	ctx    context.Context
	cancel context.CancelFunc
	// running counts the goroutines and requests that serve connections.
	running sync.WaitGroup

	mu        sync.Mutex
	addresses map[id.Host]string
	links     map[id.Host]*link
	dialing   map[id.Host]bool
	closed    bool
}

// link is one open connection.
type link struct {
	conn  *websocket.Conn
	queue chan []byte
	stop  context.CancelFunc
	// framed is set if both ends know framedProtocol.
	framed bool
}

// New returns a mesh without connections.
func New[M any](
	self id.Host, secret []byte, codec Codec[M], events Events[M], log *logging.Log, c clock.Clock, g *confine.Guard, registry metrics.Registry,
) *Mesh[M] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh[M]{
		self: self, token: fleetToken(secret), codec: codec, events: events, log: log, clock: c, guard: g,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHandshakeBytes}},
		ctx:    ctx, cancel: cancel,
		sentBytes:       metrics.NewRegisteredCounter("hosts.bytes_sent", registry),
		receivedBytes:   metrics.NewRegisteredCounter("hosts.bytes_received", registry),
		unknownMessages: metrics.NewRegisteredCounter("hosts.messages_unknown", registry),
		addresses:       map[id.Host]string{}, links: map[id.Host]*link{}, dialing: map[id.Host]bool{},
	}
}

// fleetToken derives the token with which hosts authenticate to each other from
// their common secret.
func fleetToken(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("host to host"))
	return hex.EncodeToString(mac.Sum(nil))
}

// SetAddress sets the address of a host, and starts dialling it if this host has the
// lower name.
func (m *Mesh[M]) SetAddress(h id.Host, address string) {
	if h == m.self || address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses[h] = address
	if m.self < h {
		m.startDialing(h)
	}
}

// Connect replaces the set of hosts to which this host connects, regardless of which
// has the lower name. Hosts that only an earlier call named are not dialled again;
// their connections end when no messages pass over them.
func (m *Mesh[M]) Connect(addresses map[id.Host]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses = maps.Clone(addresses)
	for h := range addresses {
		m.startDialing(h)
	}
}

// startDialing starts the goroutine that dials a host, unless it runs already. The
// caller holds m.mu.
func (m *Mesh[M]) startDialing(h id.Host) {
	if m.dialing[h] || m.closed || h == m.self {
		return
	}
	m.dialing[h] = true
	m.running.Add(1)
	go m.keepDialing(h)
}

// Send queues a message for a host. The message is dropped if there is no connection
// or the queue is full.
func (m *Mesh[M]) Send(to id.Host, message M) { m.send(to, message, m.linksTo([]id.Host{to})) }

// Broadcast queues a message for several hosts like Send, and encodes it once.
func (m *Mesh[M]) Broadcast(to []id.Host, message M) { m.send(anyHost, message, m.linksTo(to)) }

// Connected reports whether there is a connection to a host.
func (m *Mesh[M]) Connected(h id.Host) bool { return len(m.linksTo([]id.Host{h})) > 0 }

// anyHost is the addressee in messages to several hosts. The accepting host checks that
// it is the intended one when a connection is made, so messages need not name it.
const anyHost id.Host = ""

// linksTo returns the open connections to the given hosts.
func (m *Mesh[M]) linksTo(hosts []id.Host) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*link
	for _, h := range hosts {
		if l := m.links[h]; l != nil {
			out = append(out, l)
		}
	}
	return out
}

func (m *Mesh[M]) send(to id.Host, message M, links []*link) {
	if len(links) == 0 {
		return
	}
	data, err := m.codec.Encode(m.self, to, message)
	if err != nil {
		m.log.With("error", err).Error("A message could not be encoded.")
		return
	}
	// The frame is made once, and only if a link needs it.
	frame := sync.OnceValue(func() []byte { return pack(data) })
	for _, l := range links {
		out := data
		if l.framed {
			out = frame()
		}
		select {
		case l.queue <- out:
		default:
		}
	}
}

// Close ends all connections and waits until they have ended.
func (m *Mesh[M]) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.running.Wait()
}

// keepDialing redials a host while it is to be dialled and not connected.
func (m *Mesh[M]) keepDialing(h id.Host) {
	defer m.running.Done()
	for m.ctx.Err() == nil && m.shouldDial(h) {
		m.guard.Run(taskConnection, func() { m.dialOnce(h) })
		// The random part prevents two hosts that dial each other from replacing each
		// other's connections indefinitely.
		m.clock.Sleep(m.ctx, minRedialInterval+rand.N(minRedialInterval))
	}
}

// shouldDial reports whether a host is to be dialled. If not, it removes the host from
// m.dialing, so that a later call can start dialling it again.
func (m *Mesh[M]) shouldDial(h id.Host) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.addresses[h] == "" {
		delete(m.dialing, h)
		return false
	}
	return true
}

func (m *Mesh[M]) dialOnce(h id.Host) {
	m.mu.Lock()
	address, connected := m.addresses[h], m.links[h] != nil
	m.mu.Unlock()
	if connected {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	header := http.Header{tokenHeader: {m.token}, "Celerypin-From": {string(m.self)}, "Celerypin-To": {string(h)}}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+host.Path, &websocket.DialOptions{
		HTTPClient: m.client, HTTPHeader: header, Subprotocols: []string{framedProtocol},
	})
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			m.events.ConnectionRefused(h)
		}
		return
	}
	m.serve(h, conn)
}

// Accept upgrades a connection from another host and serves it until it ends.
func (m *Mesh[M]) Accept(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(tokenHeader)), []byte(m.token)) != 1 {
		http.Error(w, "fleet token missing or wrong", http.StatusForbidden)
		return
	}
	if to := r.Header.Get("Celerypin-To"); to != string(m.self) {
		http.Error(w, "this address belongs to another host", http.StatusMisdirectedRequest)
		return
	}
	if !m.startServing() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	defer m.running.Done()
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{framedProtocol}})
	if err != nil {
		return
	}
	m.serve(id.Host(r.Header.Get("Celerypin-From")), conn)
}

// startServing counts an accepted connection, unless the mesh is closed.
func (m *Mesh[M]) startServing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.running.Add(1)
	return true
}

// serve reads and writes one connection until it ends. A newer connection to the same
// host replaces an older one.
func (m *Mesh[M]) serve(h id.Host, conn *websocket.Conn) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	conn.SetReadLimit(host.MaxMessageBytes)
	l := &link{conn: conn, queue: make(chan []byte, maxQueuedMessages), stop: cancel, framed: conn.Subprotocol() == framedProtocol}
	m.replace(h, l)
	defer m.remove(h, l)
	var writer sync.WaitGroup
	writer.Go(func() {
		m.guard.Run(taskConnection, func() { m.write(ctx, l) })
		cancel()
	})
	m.receive(ctx, h, l)
	cancel()
	writer.Wait()
	_ = conn.CloseNow()
}

// replace makes l the connection to a host and stops the previous one.
func (m *Mesh[M]) replace(h id.Host, l *link) {
	m.mu.Lock()
	previous := m.links[h]
	m.links[h] = l
	m.mu.Unlock()
	if previous != nil {
		previous.stop()
	}
	m.log.With("host", h).Debug("Connected.")
}

func (m *Mesh[M]) remove(h id.Host, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[h] == l {
		delete(m.links, h)
	}
}

func (m *Mesh[M]) write(ctx context.Context, l *link) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-l.queue:
			if !writeMessage(ctx, l.conn, data) {
				return
			}
			m.sentBytes.Inc(int64(len(data)))
		}
	}
}

func writeMessage(ctx context.Context, conn *websocket.Conn, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data) == nil
}
