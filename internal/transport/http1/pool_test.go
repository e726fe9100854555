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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// testUpstream accepts connections and passes each, with its number, to a function.
type testUpstream struct {
	listener net.Listener
	conns    chan net.Conn
}

func newUpstream(t *testing.T, serve func(n int, conn net.Conn, in *bufio.Reader)) *testUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &testUpstream{listener: l, conns: make(chan net.Conn, 16)}
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

func (u *testUpstream) address() string { return u.listener.Addr().String() }

// answerEach reads requests and answers each with the next of the raw answers.
func answerEach(answers ...string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, conn net.Conn, in *bufio.Reader) {
		for _, rawAnswer := range answers {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, rawAnswer)
		}
	}
}

func okAnswer(attempt, body string) string {
	return "HTTP/1.1 200 OK\r\nAttempt: " + attempt + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func newRequest(attempt string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Attempt": {attempt}},
		Owner: func(_ int, h http.Header) Owner { return ownerOf(attempt, h) },
	}
}

// ownerOf returns whose answer a head belongs to, by its Attempt header.
func ownerOf(attempt string, h http.Header) Owner {
	switch h.Get("Attempt") {
	case attempt:
		return OwnAnswer
	case "":
		return UnnamedAnswer
	}
	return ForeignAnswer
}

func newPool() *Pool {
	return NewPool(NewDialer(time.Second), DefaultAnswerLimits, clock.System{}, newGuard())
}

func do(t *testing.T, p *Pool, u *testUpstream, r *Request) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return p.Do(ctx, "u", u.address(), r)
}

func TestIdleConnectionIsReused(t *testing.T) {
	u := newUpstream(t, answerEach(okAnswer("1", "a"), okAnswer("2", "b")))
	p := newPool()
	for _, attempt := range []string{"1", "2"} {
		if _, err := do(t, p, u, newRequest(attempt)); err != nil {
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
		_, _ = io.WriteString(conn, okAnswer("1", "own"))
		// The extra answer arrives after the next request was sent.
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(conn, okAnswer("1", "extra")+okAnswer("2", "next"))
	})
	p := newPool()
	_, _ = do(t, p, u, newRequest("1"))
	answer, err := do(t, p, u, newRequest("2"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(answer.Body), "next"; got != want {
		t.Errorf("got body %q, want %q", got, want)
	}
}

func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	u := newUpstream(t, answerEach(okAnswer("1", "a")+okAnswer("1", "extra"), ""))
	p := newPool()
	_, _ = do(t, p, u, newRequest("1"))
	time.Sleep(20 * time.Millisecond)
	if got := p.getIdle("u"); got != nil {
		t.Error("got a connection with unread bytes, want none")
	}
}

func TestIncompleteAnswers(t *testing.T) {
	cases := []struct{ name, rawAnswer string }{
		{"cut in the head", "HTTP/1.1 200 OK\r\nAtt"},
		{"cut in the body", "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 9\r\n\r\nabc"},
		{"cut between chunks", "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{"no answer", ""},
		{"no HTTP", "SSH-2.0\r\n\r\n"},
		{"another request's answer", okAnswer("9", "x")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, answerEach(c.rawAnswer))
			_, err := do(t, newPool(), u, newRequest("1"))
			if got := err; !errors.Is(got, ErrNoAnswer) {
				t.Errorf("got error %v, want %v", got, ErrNoAnswer)
			}
		})
	}
}

// TestAnswerCutAnywhereIsIncomplete guards against an answer that looks whole although its
// upstream closed in the middle of its head or of its framed body.
func TestAnswerCutAnywhereIsIncomplete(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 12\r\n\r\nhello world\n",
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nAttempt: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n",
	} {
		for cut := range len(whole) {
			u := newUpstream(t, answerEach(whole[:cut]))
			if answer, err := do(t, newPool(), u, newRequest("1")); !errors.Is(err, ErrNoAnswer) {
				t.Errorf("%q: got answer %+v, error %v, want %v", whole[:cut], answer, err, ErrNoAnswer)
			}
		}
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	rawAnswer := "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nall of it"
	t.Run("closed", func(t *testing.T) {
		u := newUpstream(t, answerEach(rawAnswer))
		answer, err := do(t, newPool(), u, newRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		if got, want := string(answer.Body), "all of it"; got != want {
			t.Errorf("got body %q, want %q", got, want)
		}
	})
	t.Run("reset", func(t *testing.T) {
		u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(conn, rawAnswer)
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		if _, err := do(t, newPool(), u, newRequest("1")); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("got error %v for a reset connection, want %v", err, ErrNoAnswer)
		}
	})
}

func TestRefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	u := newUpstream(t, answerEach())
	_ = u.listener.Close()
	if _, err := do(t, newPool(), u, newRequest("1")); !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v for a refused connection, want %v", err, ErrNotSent)
	}
}

// TestBodyIsSentWholeAfterAnEarlyAnswer lets an upstream answer before it reads a long
// body. The upstream must then receive the whole body; if the connection were reused
// at once, the next request would take the place of the body's end.
func TestBodyIsSentWholeAfterAnEarlyAnswer(t *testing.T) {
	// More bytes than the buffers of both sockets hold.
	const size = 32 << 20
	read := make(chan int, 1)
	u := newUpstream(t, func(n int, conn net.Conn, in *bufio.Reader) {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, okAnswer("1", "early"))
		if n > 0 {
			return
		}
		time.Sleep(100 * time.Millisecond)
		body, _ := io.ReadAll(request.Body)
		read <- len(body)
	})
	p := newPool()
	r := newRequest("1")
	r.Method, r.Body, r.Length = http.MethodPost, []byte(strings.Repeat("x", size)), size
	if _, err := do(t, p, u, r); err != nil {
		t.Fatal(err)
	}
	if got := p.getIdle("u"); got != nil {
		t.Error("got the connection before the body was sent, want none")
	}
	select {
	case got := <-read:
		if want := size; got != want {
			t.Errorf("got %d bytes of the body, want %d", got, want)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the upstream did not receive the rest of the body")
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
	_, err := newPool().Do(ctx, "u", u.address(), newRequest("1"))
	if !errors.Is(err, ErrClientDisconnected) {
		t.Errorf("got error %v, want %v", err, ErrClientDisconnected)
	}
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection to the upstream was still open after half a second")
	}
}

func TestKeepAliveHeaderBoundsTheIdleAge(t *testing.T) {
	cases := []struct {
		header string
		want   time.Duration
	}{
		{"", maxIdleAge}, {"timeout=5", 5*time.Second - idleMargin}, {"max=3, timeout=1", 0}, {"timeout=900", maxIdleAge}, {"timeout=x", maxIdleAge},
	}
	for _, c := range cases {
		if got := maxIdleFromHeader(c.header); got != c.want {
			t.Errorf("Keep-Alive %q: got an idle age of %v, want %v", c.header, got, c.want)
		}
	}
}

// TestEndedContextClosesNoOtherExchange guards against a request that is cut off because
// the context of the previous request of its connection ends late.
func TestEndedContextClosesNoOtherExchange(t *testing.T) {
	const requests = 4000
	u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, okAnswer(r.Header.Get("Attempt"), "a"))
		}
	})
	p := newPool()
	var cut atomic.Int64
	var running sync.WaitGroup
	for worker := range 8 {
		running.Go(func() {
			for i := range requests / 8 {
				ctx, cancel := context.WithCancel(context.Background())
				if worker%2 == 0 {
					// Ends at about the moment at which the answer arrives.
					time.AfterFunc(time.Duration(i%80)*time.Microsecond, cancel)
				}
				if _, err := p.Do(ctx, "u", u.address(), newRequest("1")); err != nil && ctx.Err() == nil {
					cut.Add(1)
				}
				cancel()
			}
		})
	}
	running.Wait()
	if got := cut.Load(); got != 0 {
		t.Errorf("got %d requests cut off by the context of another, want none", got)
	}
}
