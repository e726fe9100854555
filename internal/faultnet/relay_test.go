package faultnet

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echo returns a relay to a server that sends everything back, and a connection
// through it.
func echo(t *testing.T) (*Relay, net.Conn) {
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

// ask sends a byte and waits for it to come back.
func ask(conn net.Conn, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	if err := conn.SetDeadline(began.Add(limit)); err != nil {
		return 0, err
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return time.Since(began), err
}

const (
	patience = 10 * time.Second
	brief    = 200 * time.Millisecond
)

func TestRelayPassesAndDelays(t *testing.T) {
	relay, conn := echo(t)
	if _, err := ask(conn, patience); err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	const delay = 50 * time.Millisecond
	relay.Delay(delay)
	if took, err := ask(conn, patience); err != nil || took < 2*delay {
		t.Errorf("got an answer after %v (%v), want %v or more, as both ways are delayed", took, err, 2*delay)
	}
}

// TestCutConnectionStaysSilent cuts one way: what was lost cannot be made up for.
func TestCutConnectionStaysSilent(t *testing.T) {
	for _, way := range []Direction{Outward, Backward} {
		relay, conn := echo(t)
		relay.Cut(way, true)
		if _, err := ask(conn, brief); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d: got %v, want no answer", way, err)
		}
		relay.Cut(way, false)
		if _, err := ask(conn, brief); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d, passing again: got %v on the old connection, want no answer", way, err)
		}
		fresh, err := net.Dial("tcp", relay.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ask(fresh, patience); err != nil {
			t.Errorf("direction %d, passing again: got %v on a new connection, want an answer", way, err)
		}
		_ = fresh.Close()
	}
}

func TestResetEndsOpenConnections(t *testing.T) {
	relay, conn := echo(t)
	if _, err := ask(conn, patience); err != nil {
		t.Fatal(err)
	}
	relay.Reset()
	if _, err := ask(conn, patience); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want the connection ended", err)
	}
}
