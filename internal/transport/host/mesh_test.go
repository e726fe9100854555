package host

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"celerypin.example/celerypin/internal/faultnet"
	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/host"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/confine"
	"celerypin.example/celerypin/pkg/state/id"
)

// waitTimeout bounds the wait for an expected event; it is no performance target.
const waitTimeout = 20 * time.Second

// recorder counts the received messages and the refused connections of a mesh.
type recorder struct {
	mu       sync.Mutex
	received int
	refused  int
	// panicsLeft is the number of messages on which Received panics.
	panicsLeft int
}

func (r *recorder) Received(id.Host, agent.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.panicsLeft > 0 {
		r.panicsLeft--
		panic("message")
	}
	r.received++
}

func (r *recorder) ConnectionRefused(id.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

func (r *recorder) counts() (received, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received, r.refused
}

// node is a mesh with a server that accepts its connections.
type node struct {
	mesh   *Mesh[agent.Message]
	events *recorder
	guard  *confine.Guard
	server *httptest.Server
}

func newNode(t *testing.T, name id.Host, secret string) *node {
	n := &node{events: &recorder{}}
	n.guard = confine.New(clock.System{}, func(confine.Panic) {})
	n.mesh = New[agent.Message](name, []byte(secret), host.Codec{}, n.events, logging.Discard(), clock.System{}, n.guard, metrics.NewRegistry())
	n.server = httptest.NewServer(http.HandlerFunc(n.mesh.Accept))
	t.Cleanup(n.server.Close)
	t.Cleanup(n.mesh.Close)
	return n
}

func (n *node) address() string { return strings.TrimPrefix(n.server.URL, "http://") }

// exchange sends heartbeats in both directions until done reports true.
func exchange(t *testing.T, a, b *node, done func() bool) {
	t.Helper()
	heartbeat := agent.Message{Heartbeat: &agent.Heartbeat{Incarnation: 1}}
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the expected messages did not arrive in time")
		}
		a.mesh.Send("b", heartbeat)
		b.mesh.Send("a", heartbeat)
	}
}

func TestMessagesPassInBothDirections(t *testing.T) {
	a, b := newNode(t, "a", "secret"), newNode(t, "b", "secret")
	a.mesh.SetAddress("b", b.address())
	b.mesh.SetAddress("a", a.address())
	exchange(t, a, b, func() bool {
		fromB, _ := a.events.counts()
		fromA, _ := b.events.counts()
		return fromA > 0 && fromB > 0
	})
}

// TestSilentConnectionIsReplaced drops all packets of an open connection and checks
// that messages arrive again over a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newNode(t, "a", "secret"), newNode(t, "b", "secret")
	relay, err := faultnet.New(b.address())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	a.mesh.SetAddress("b", relay.Address())
	received := func() int { n, _ := b.events.counts(); return n }
	exchange(t, a, b, func() bool { return received() > 3 })
	relay.Blackhole()
	before := received()
	exchange(t, a, b, func() bool { return received() > before+10 })
	if got := relay.Accepted(); got < 2 {
		t.Errorf("got %d connections after the first went silent, want at least 2", got)
	}
}

func TestWrongSecretIsRefused(t *testing.T) {
	a, b := newNode(t, "a", "one secret"), newNode(t, "b", "another secret")
	a.mesh.SetAddress("b", b.address())
	time.Sleep(300 * time.Millisecond)
	a.mesh.Send("b", agent.Message{Heartbeat: &agent.Heartbeat{}})
	if got, _ := b.events.counts(); got != 0 {
		t.Errorf("got %d messages with a wrong secret, want none", got)
	}
}

func TestRefusedConnectionIsReported(t *testing.T) {
	a := newNode(t, "a", "secret")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	a.mesh.SetAddress("b", listener.Addr().String())
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if _, refused := a.events.counts(); refused > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the refused connection was not reported in time")
		}
	}
}

// TestConnectIgnoresTheOrderOfNames connects a host to one with a lower name, which by
// default does the dialling, and checks that the connection ends once Connect no longer names
// that host.
func TestConnectIgnoresTheOrderOfNames(t *testing.T) {
	a, b := newNode(t, "a", "secret"), newNode(t, "b", "secret")
	b.mesh.Connect(map[id.Host]string{"a": a.address()})
	exchange(t, a, b, func() bool {
		fromB, _ := a.events.counts()
		return fromB > 0
	})
	b.mesh.Connect(map[id.Host]string{})
	for deadline := time.Now().Add(waitTimeout); b.mesh.Connected("a"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection did not end in time")
		}
	}
}

// TestHostsThatDialEachOtherStayConnected checks that two hosts which dial each other
// do not keep replacing each other's connections.
func TestHostsThatDialEachOtherStayConnected(t *testing.T) {
	a, b := newNode(t, "a", "secret"), newNode(t, "b", "secret")
	a.mesh.Connect(map[id.Host]string{"b": b.address()})
	b.mesh.Connect(map[id.Host]string{"a": a.address()})
	for range 3 {
		before, _ := b.events.counts()
		exchange(t, a, b, func() bool { n, _ := b.events.counts(); return n > before+10 })
	}
}

func TestBroadcastReachesAll(t *testing.T) {
	a, b, c := newNode(t, "a", "secret"), newNode(t, "b", "secret"), newNode(t, "c", "secret")
	a.mesh.Connect(map[id.Host]string{"b": b.address(), "c": c.address()})
	heartbeat := agent.Message{Heartbeat: &agent.Heartbeat{Incarnation: 1}}
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		a.mesh.Broadcast([]id.Host{"b", "c"}, heartbeat)
		atB, _ := b.events.counts()
		atC, _ := c.events.counts()
		if atB > 0 && atC > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %d and %d broadcast messages, want some at both", atB, atC)
		}
	}
}

// TestPanicOfOneMessageIsConfined lets the receiver panic on its first message. The
// connection must carry the next one.
func TestPanicOfOneMessageIsConfined(t *testing.T) {
	a, b := newNode(t, "a", "secret"), newNode(t, "b", "secret")
	b.events.panicsLeft = 1
	a.mesh.SetAddress("b", strings.TrimPrefix(b.server.URL, "http://"))
	deadline := time.Now().Add(10 * time.Second)
	for received := 0; received == 0; received, _ = b.events.counts() {
		if time.Now().After(deadline) {
			t.Fatal("got no message after the panic, want one")
		}
		a.mesh.Send("b", agent.Message{Heartbeat: &agent.Heartbeat{}})
		time.Sleep(10 * time.Millisecond)
	}
	if got, want := b.guard.Total(), int64(1); got != want {
		t.Errorf("got %d panics, want %d", got, want)
	}
}

// TestUnknownMessageKeepsTheConnection guards against a connection to a host of a later
// build that closes at each message of a new kind, which also loses the queued others.
func TestUnknownMessageKeepsTheConnection(t *testing.T) {
	m := New[agent.Message]("a", []byte("secret"), host.Codec{}, &recorder{}, logging.Discard(), clock.System{}, nil, metrics.NewRegistry())
	defer m.Close()
	for _, c := range []struct {
		name, from, to string
		want           bool
	}{
		{"unknown kind", "b", "a", true},
		{"to any host", "b", "", true},
		{"of another sender", "c", "a", false},
		{"to another host", "b", "c", false},
	} {
		data, err := cbor.Marshal(map[string]any{"from": c.from, "to": c.to, "later": 1})
		if err != nil {
			t.Fatal(err)
		}
		if got := m.accept("b", data); got != c.want {
			t.Errorf("%s: got accepted %t, want %t", c.name, got, c.want)
		}
	}
	if got := m.unknownMessages.Count(); got != 2 {
		t.Errorf("got %d unknown messages, want 2", got)
	}
}
