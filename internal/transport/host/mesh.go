// Package host carries the messages between entry hosts over WebSocket
// connections, one for each pair of hosts.
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
	"celerypin.example/celerypin/pkg/state/id"
)

// Limits of a connection.
const (
	// queueLength is the most messages that wait for one connection; later ones are lost.
	queueLength = 256
	dialTimeout = 2 * time.Second
	// writeTimeout bounds the sending of one message.
	writeTimeout = 2 * time.Second
	// silenceLimit is the time without a message after which a connection is
	// given up, because both ends may think it open while nothing passes.
	silenceLimit = 1500 * time.Millisecond
	// redialPause is the time between two attempts to connect.
	redialPause = 250 * time.Millisecond
)

const tokenHeader = "Celerypin-Fleet-Token"

// Events is what the mesh reports to its owner.
type Events[M any] interface {
	// Received is called for each message.
	Received(from id.Host, m M)
	// Refused is called when a host's address answered that nothing listens there.
	Refused(h id.Host)
}

// Wire encodes messages with their sender and their addressee.
type Wire[M any] interface {
	Encode(from, to id.Host, m M) ([]byte, error)
	Decode(data []byte) (from, to id.Host, m M, err error)
}

// Mesh keeps connections to the other hosts and carries messages of type M. It
// is safe for concurrent use.
//
// Of two hosts the one with the lower name dials. A connection that has been
// silent for too long is closed and made anew; heartbeats keep it from being
// silent while both ends live.
type Mesh[M any] struct {
	self   id.Host
	token  string
	wire   Wire[M]
	events Events[M]
	log    *logging.Log
	client *http.Client
	clock  clock.Clock
	sent   metrics.Counter
	read   metrics.Counter

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu        sync.Mutex
	addresses map[id.Host]string
	links     map[id.Host]*link
	dialing   map[id.Host]bool
	closed    bool
}

// link is one live connection.
type link struct {
	conn  *websocket.Conn
	queue chan []byte
	stop  context.CancelFunc
}

// New returns a mesh without connections.
func New[M any](
	self id.Host, secret []byte, wire Wire[M], events Events[M], log *logging.Log, c clock.Clock, registry metrics.Registry,
) *Mesh[M] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh[M]{
		self: self, token: fleetToken(secret), wire: wire, events: events, log: log, clock: c,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		ctx:    ctx, cancel: cancel,
		sent:      metrics.NewRegisteredCounter("hosts.bytes_sent", registry),
		read:      metrics.NewRegisteredCounter("hosts.bytes_received", registry),
		addresses: map[id.Host]string{}, links: map[id.Host]*link{}, dialing: map[id.Host]bool{},
	}
}

// fleetToken is what hosts show each other; it proves knowledge of the secret.
func fleetToken(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("host to host"))
	return hex.EncodeToString(mac.Sum(nil))
}

// SetAddress tells where a host listens, and starts to connect to it if it is
// this host's part to dial.
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

// Connect keeps this host connected to others, whoever has the lower name, and
// lets go of those that an earlier call named. Their connections end when
// nothing passes over them any more.
func (m *Mesh[M]) Connect(addresses map[id.Host]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses = maps.Clone(addresses)
	for h := range addresses {
		m.startDialing(h)
	}
}

// startDialing is called with the lock held.
func (m *Mesh[M]) startDialing(h id.Host) {
	if m.dialing[h] || m.closed || h == m.self {
		return
	}
	m.dialing[h] = true
	m.work.Add(1)
	go m.keepDialing(h)
}

// Send queues a message for a host; it is lost if there is no connection or
// the queue is full.
func (m *Mesh[M]) Send(to id.Host, message M) { m.send(to, message, m.linksTo([]id.Host{to})) }

// Broadcast does the same for several hosts, and encodes the message once.
func (m *Mesh[M]) Broadcast(to []id.Host, message M) { m.send(anyone, message, m.linksTo(to)) }

// Linked tells whether there is a connection to a host.
func (m *Mesh[M]) Linked(h id.Host) bool { return len(m.linksTo([]id.Host{h})) > 0 }

// anyone is the addressee of messages to several hosts. That a connection leads
// to the right host was found out when it was made.
const anyone id.Host = ""

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
	data, err := m.wire.Encode(m.self, to, message)
	if err != nil {
		m.log.With("error", err).Error("A message could not be encoded.")
		return
	}
	for _, l := range links {
		select {
		case l.queue <- data:
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
	m.work.Wait()
}

func (m *Mesh[M]) keepDialing(h id.Host) {
	defer m.work.Done()
	for m.ctx.Err() == nil && m.wants(h) {
		m.dialOnce(h)
		// Two hosts that dial each other must not replace each other's connections
		// for ever.
		m.clock.Sleep(m.ctx, redialPause+rand.N(redialPause))
	}
}

// wants tells whether a host is to be dialled, and forgets that it was if not.
func (m *Mesh[M]) wants(h id.Host) bool {
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
	conn, _, err := websocket.Dial(ctx, "ws://"+address+host.Path, &websocket.DialOptions{HTTPClient: m.client, HTTPHeader: header})
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			m.events.Refused(h)
		}
		return
	}
	m.serve(h, conn)
}

// Accept upgrades a connection of another host and serves it until it ends.
func (m *Mesh[M]) Accept(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(tokenHeader)), []byte(m.token)) != 1 {
		http.Error(w, "fleet token missing or wrong", http.StatusForbidden)
		return
	}
	if to := r.Header.Get("Celerypin-To"); to != string(m.self) {
		http.Error(w, "this address belongs to another host", http.StatusMisdirectedRequest)
		return
	}
	if !m.enter() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	defer m.work.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	m.serve(id.Host(r.Header.Get("Celerypin-From")), conn)
}

func (m *Mesh[M]) enter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.work.Add(1)
	return true
}

// serve reads and writes one connection until it ends; a newer connection to
// the same host ends an older one.
func (m *Mesh[M]) serve(h id.Host, conn *websocket.Conn) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	conn.SetReadLimit(host.MaxMessageBytes)
	l := &link{conn: conn, queue: make(chan []byte, queueLength), stop: cancel}
	m.replace(h, l)
	defer m.remove(h, l)
	var writer sync.WaitGroup
	writer.Go(func() {
		m.write(ctx, l)
		cancel()
	})
	m.receive(ctx, h, l)
	cancel()
	writer.Wait()
	_ = conn.CloseNow()
}

func (m *Mesh[M]) replace(h id.Host, l *link) {
	m.mu.Lock()
	old := m.links[h]
	m.links[h] = l
	m.mu.Unlock()
	if old != nil {
		old.stop()
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
			if !writeOne(ctx, l.conn, data) {
				return
			}
			m.sent.Inc(int64(len(data)))
		}
	}
}

func writeOne(ctx context.Context, conn *websocket.Conn, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data) == nil
}

func (m *Mesh[M]) receive(ctx context.Context, h id.Host, l *link) {
	for {
		data, err := readOne(ctx, l.conn)
		if err != nil {
			return
		}
		m.read.Inc(int64(len(data)))
		from, to, message, err := m.wire.Decode(data)
		if err != nil || from != h || (to != m.self && to != anyone) {
			m.log.With("host", h).Warn("A malformed message ended the connection.")
			return
		}
		m.events.Received(from, message)
	}
}

func readOne(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	_, data, err := conn.Read(ctx)
	return data, err
}
