package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/protocol/upstream"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
)

// startCopying starts an upstream that sends a copy of its first answer when the next
// request arrives on the connection. identify tells which of the two identify their
// exchange.
func startCopying(t *testing.T, identify func(isCopy bool) bool) *pick.Upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn, identify)
		}
	}()
	return pickUpstream(t, listener.Addr().String())
}

func pickUpstream(t *testing.T, address string) *pick.Upstream {
	t.Helper()
	p := pick.New(release.NewSplits())
	p.Update([]fleet.Upstream{{ID: "u", Service: "s", Region: "r", Address: address, Slots: 4, State: fleet.UpstreamLive}})
	u, status := p.Pick("s", "r", nil, 0)
	if status != pick.Picked {
		t.Fatalf("got status %v, want the upstream", status)
	}
	return u
}

func answerTwice(conn net.Conn, identify func(isCopy bool) bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	first, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	answer := func(isCopy bool) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		if identify(isCopy) {
			_, _ = fmt.Fprintf(conn, "%s: %s\r\n", upstream.ExchangeHeader, first.Header.Get(upstream.ExchangeHeader))
		}
		_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(first.URL.Path), first.URL.Path)
	}
	answer(false)
	if _, err := http.ReadRequest(in); err == nil {
		answer(true)
	}
}

// TestCopyOfAnAnswerGoesToNoOtherRequest guards against a second copy of an answer that
// the next request on the connection gets as its own.
func TestCopyOfAnAnswerGoesToNoOtherRequest(t *testing.T) {
	for name, identify := range map[string]func(isCopy bool) bool{
		"both identified":     func(bool) bool { return true },
		"none identified":     func(bool) bool { return false },
		"copy not identified": func(isCopy bool) bool { return !isCopy },
	} {
		t.Run(name, func(t *testing.T) {
			u := startCopying(t, identify)
			f := NewForwarder("h", 1, clock.System{})
			defer f.Close()
			for n := range 6 {
				path := fmt.Sprint("/", n)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				response, err := f.Do(ctx, u, &Request{Method: http.MethodGet, Target: path, Header: http.Header{}, Idempotent: true, Remaining: 10 * time.Second})
				if err == nil {
					body, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if got := string(body); got != path {
						t.Errorf("got the answer %q to %s, want its own or an error", got, path)
					}
				}
				cancel()
			}
		})
	}
}

// TestConnectionsOfIdentifyingUpstreamsAreReused guards against a new connection for each
// request to an upstream whose answers identify their exchanges.
func TestConnectionsOfIdentifyingUpstreamsAreReused(t *testing.T) {
	server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.ExchangeHeader, r.Header.Get(upstream.ExchangeHeader))
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections atomic.Int64
	server.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	u := pickUpstream(t, listener.Addr().String())
	f := NewForwarder("h", 1, clock.System{})
	defer f.Close()
	for range 10 {
		response, err := f.Do(context.Background(), u, &Request{Method: http.MethodGet, Target: "/", Header: http.Header{}, Idempotent: true, Remaining: 10 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if got, want := connections.Load(), int64(2); got != want {
		t.Errorf("got %d connections, want %d: one to learn that answers identify their exchange, one for the others", got, want)
	}
}
