package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// upstream answers each request of a connection with the next of its scripts;
// a script is written as it is.
type upstream struct {
	listener net.Listener
	conns    chan net.Conn
}

func newUpstream(t *testing.T, serve func(n int, conn net.Conn, in *bufio.Reader)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: l, conns: make(chan net.Conn, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return u
}

func (u *upstream) address() string { return u.listener.Addr().String() }

// answerEach reads requests and writes a script for each.
func answerEach(scripts ...string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, conn net.Conn, in *bufio.Reader) {
		for _, script := range scripts {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, script)
		}
	}
}

func ok(attempt, body string) string {
	return "HTTP/1.1 200 OK\r\nAttempt: " + attempt + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func outgoing(attempt string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Attempt": {attempt}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Attempt") == attempt },
	}
}

func newPool() *Pool { return NewPool(NewDialer(time.Second), clock.System{}) }

func do(t *testing.T, p *Pool, u *upstream, o *Request) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return p.Do(ctx, "u", u.address(), o)
}

func TestKeptConnectionIsUsedAgain(t *testing.T) {
	u := newUpstream(t, answerEach(ok("1", "a"), ok("2", "b")))
	p := newPool()
	for _, attempt := range []string{"1", "2"} {
		if _, err := do(t, p, u, outgoing(attempt)); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := p.Dialed(), int64(1); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

func TestAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(conn, ok("1", "own"))
		// The extra answer arrives after the next request was sent.
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(conn, ok("1", "extra")+ok("2", "next"))
	})
	p := newPool()
	_, _ = do(t, p, u, outgoing("1"))
	answer, err := do(t, p, u, outgoing("2"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(answer.Body), "next"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestConnectionWithExtraBytesIsNotUsedAgain(t *testing.T) {
	u := newUpstream(t, answerEach(ok("1", "a")+ok("1", "extra"), ""))
	p := newPool()
	_, _ = do(t, p, u, outgoing("1"))
	time.Sleep(20 * time.Millisecond)
	if got := p.take("u"); got != nil {
		t.Error("got a connection with unread bytes, want none")
	}
}

func TestAnswersThatAreNotWhole(t *testing.T) {
	cases := []struct{ name, script string }{
		{"cut in the head", "HTTP/1.1 200 OK\r\nAtt"},
		{"cut in the body", "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 9\r\n\r\nabc"},
		{"cut between chunks", "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{"no answer", ""},
		{"no HTTP", "SSH-2.0\r\n\r\n"},
		{"another request's answer", ok("9", "x")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, answerEach(c.script))
			_, err := do(t, newPool(), u, outgoing("1"))
			if got := err; !errors.Is(got, ErrNoAnswer) {
				t.Errorf("got %v, want %v", got, ErrNoAnswer)
			}
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	script := "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nall of it"
	t.Run("closed", func(t *testing.T) {
		u := newUpstream(t, answerEach(script))
		answer, err := do(t, newPool(), u, outgoing("1"))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := string(answer.Body), "all of it"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
	t.Run("reset", func(t *testing.T) {
		u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(conn, script)
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		if _, err := do(t, newPool(), u, outgoing("1")); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("got %v, want %v", err, ErrNoAnswer)
		}
	})
}

func TestRefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	u := newUpstream(t, answerEach())
	_ = u.listener.Close()
	if _, err := do(t, newPool(), u, outgoing("1")); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want %v", err, ErrNotSent)
	}
}

// TestRestOfABodyFollowsAnEarlyAnswer has an upstream answer a long body before
// it is read, and read it afterwards: it must get the rest of it, and no other
// request in its place.
func TestRestOfABodyFollowsAnEarlyAnswer(t *testing.T) {
	// More than the buffers of both sockets hold.
	const size = 32 << 20
	read := make(chan int, 1)
	u := newUpstream(t, func(n int, conn net.Conn, in *bufio.Reader) {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, ok("1", "early"))
		if n > 0 {
			return
		}
		time.Sleep(100 * time.Millisecond)
		body, _ := io.ReadAll(request.Body)
		read <- len(body)
	})
	p := newPool()
	o := outgoing("1")
	o.Method, o.Body, o.Length = http.MethodPost, []byte(strings.Repeat("x", size)), size
	if _, err := do(t, p, u, o); err != nil {
		t.Fatal(err)
	}
	if got := p.take("u"); got != nil {
		t.Error("got the connection before the body was sent, want none")
	}
	select {
	case got := <-read:
		if want := size; got != want {
			t.Errorf("got %d bytes of the body, want %d", got, want)
		}
	case <-time.After(patience):
		t.Fatal("the upstream waited in vain for the rest")
	}
}

func TestCancelledExchangeClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = in.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		time.Sleep(50 * time.Millisecond)
		cancel(ErrClientDisconnected)
	}()
	_, err := newPool().Do(ctx, "u", u.address(), outgoing("1"))
	if !errors.Is(err, ErrClientDisconnected) {
		t.Errorf("got %v, want %v", err, ErrClientDisconnected)
	}
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the upstream was still at work half a second later")
	}
}

func TestKeepAliveHeaderBoundsTheAge(t *testing.T) {
	cases := []struct {
		header string
		want   time.Duration
	}{
		{"", idleLimit}, {"timeout=5", 5*time.Second - idleMargin}, {"max=3, timeout=1", 0}, {"timeout=900", idleLimit}, {"timeout=x", idleLimit},
	}
	for _, c := range cases {
		if got := keepTime(c.header); got != c.want {
			t.Errorf("%q: got %v, want %v", c.header, got, c.want)
		}
	}
}
