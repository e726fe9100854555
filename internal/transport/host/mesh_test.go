package host

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"celerypin.example/celerypin/internal/faultnet"
	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/host"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// patience bounds the wait for something that must happen; it is no target.
const patience = 20 * time.Second

// recorder is the owner of a mesh.
type recorder struct {
	mu       sync.Mutex
	received int
	refused  int
}

func (r *recorder) Received(id.Host, agent.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received++
}

func (r *recorder) Refused(id.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

func (r *recorder) counts() (received, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received, r.refused
}

// node is a mesh that listens.
type node struct {
	mesh   *Mesh[agent.Message]
	events *recorder
	server *httptest.Server
}

func newNode(t *testing.T, name id.Host, secret string) *node {
	n := &node{events: &recorder{}}
	n.mesh = New[agent.Message](name, []byte(secret), host.Wire{}, n.events, logging.Discard(), clock.System{}, metrics.NewRegistry())
	n.server = httptest.NewServer(http.HandlerFunc(n.mesh.Accept))
	t.Cleanup(n.server.Close)
	t.Cleanup(n.mesh.Close)
	return n
}

func (n *node) address() string { return strings.TrimPrefix(n.server.URL, "http://") }

// exchange sends heartbeats both ways until the condition holds.
func exchange(t *testing.T, a, b *node, done func() bool) {
	t.Helper()
	beat := agent.Message{Heartbeat: &agent.Heartbeat{Incarnation: 1}}
	for until := time.Now().Add(patience); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for messages to pass")
		}
		a.mesh.Send("b", beat)
		b.mesh.Send("a", beat)
	}
}

func TestMessagesPassBothWays(t *testing.T) {
	a, b := newNode(t, "a", "secret"), newNode(t, "b", "secret")
	a.mesh.SetAddress("b", b.address())
	b.mesh.SetAddress("a", a.address())
	exchange(t, a, b, func() bool {
		fromB, _ := a.events.counts()
		fromA, _ := b.events.counts()
		return fromA > 0 && fromB > 0
	})
}

// TestSilentConnectionIsReplaced silences an open connection for good and checks
// that messages pass again on a new one.
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
		t.Errorf("got %d connections, want a new one", got)
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

func TestRefusedAddressIsReported(t *testing.T) {
	a := newNode(t, "a", "secret")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	a.mesh.SetAddress("b", listener.Addr().String())
	for until := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		if _, refused := a.events.counts(); refused > 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatal("waited in vain for the refusal to be reported")
		}
	}
}

// TestHubIsDialledWhateverItsName connects a host to one with a lower name, which
// does not dial by itself, and lets go of it again.
func TestHubIsDialledWhateverItsName(t *testing.T) {
	a, b := newNode(t, "a", "secret"), newNode(t, "b", "secret")
	b.mesh.Connect(map[id.Host]string{"a": a.address()})
	exchange(t, a, b, func() bool {
		fromB, _ := a.events.counts()
		return fromB > 0
	})
	b.mesh.Connect(map[id.Host]string{})
	for until := time.Now().Add(patience); b.mesh.Linked("a"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for the connection to end")
		}
	}
}

// TestHostsThatDialEachOtherStayConnected lets both ends dial.
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
	beat := agent.Message{Heartbeat: &agent.Heartbeat{Incarnation: 1}}
	for until := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		a.mesh.Broadcast([]id.Host{"b", "c"}, beat)
		atB, _ := b.events.counts()
		atC, _ := c.events.counts()
		if atB > 0 && atC > 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("got %d and %d messages, want some at both", atB, atC)
		}
	}
}
