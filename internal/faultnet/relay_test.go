package faultnet

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// newEchoRelay returns a relay to an echo server, and a connection through it.
func newEchoRelay(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	relay, err := New(server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	conn, err := net.Dial("tcp", relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return relay, conn
}

// roundTrip sends a byte and returns how long its echo took.
func roundTrip(conn net.Conn, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	if err := conn.SetDeadline(start.Add(timeout)); err != nil {
		return 0, err
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return time.Since(start), err
}

const (
	// answerTimeout is the timeout where an answer is expected.
	answerTimeout = 10 * time.Second
	// silenceTimeout is the timeout where no answer is expected.
	silenceTimeout = 200 * time.Millisecond
)

func TestRelayForwardsAndDelays(t *testing.T) {
	relay, conn := newEchoRelay(t)
	if _, err := roundTrip(conn, answerTimeout); err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	const delay = 50 * time.Millisecond
	relay.SetDelay(delay)
	if took, err := roundTrip(conn, answerTimeout); err != nil || took < 2*delay {
		t.Errorf("got an answer after %v (%v), want %v or more, as both directions are delayed", took, err, 2*delay)
	}
}

// TestBlockedConnectionStaysSilent blocks each direction and unblocks it. The old
// connection has lost data and must not continue without it; a new one must work.
func TestBlockedConnectionStaysSilent(t *testing.T) {
	for _, direction := range []Direction{ToTarget, FromTarget} {
		relay, conn := newEchoRelay(t)
		relay.SetBlocked(direction, true)
		if _, err := roundTrip(conn, silenceTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d: got %v, want no answer", direction, err)
		}
		relay.SetBlocked(direction, false)
		if _, err := roundTrip(conn, silenceTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d, unblocked: got %v on the old connection, want no answer", direction, err)
		}
		fresh, err := net.Dial("tcp", relay.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := roundTrip(fresh, answerTimeout); err != nil {
			t.Errorf("direction %d, unblocked: got %v on a new connection, want an answer", direction, err)
		}
		_ = fresh.Close()
	}
}

func TestResetClosesOpenConnections(t *testing.T) {
	relay, conn := newEchoRelay(t)
	if _, err := roundTrip(conn, answerTimeout); err != nil {
		t.Fatal(err)
	}
	relay.Reset()
	if _, err := roundTrip(conn, answerTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want the connection closed", err)
	}
}
