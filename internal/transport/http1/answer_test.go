package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// endlessAnswers are answers that never end: a prefix, and a part that is repeated until
// the host closes the connection.
var endlessAnswers = []struct{ name, prefix, repeated string }{
	{"StatusLine", "HTTP/1.1 200 ", strings.Repeat("O", 1000)},
	{"HeaderLine", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1000)},
	{"HeaderLines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 100)},
	{"InterimHeads", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 20)},
	{"NoProtocol", "", strings.Repeat("garbage ", 100)},
	{"ForeignAnswers", "", okAnswer("other", strings.Repeat("f", 1000))},
	{"ForeignChunks", "HTTP/1.1 200 OK\r\nAttempt: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("c", 1000) + "\r\n"},
	{"ChunkExtension", "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("e", 1000)},
	{"Trailer", "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", strings.Repeat("T: y\r\n", 100)},
}

// maxEndlessBytes is what a host may take from an upstream that answers without end
// before it closes the connection. It includes the buffers of both sockets.
const maxEndlessBytes = 1 << 20

// endlessUpstream sends an answer without end to each request and counts the bytes that
// the connections took. stopped receives a value when a connection was closed.
func endlessUpstream(t *testing.T, prefix, repeated string) (u *testUpstream, sent *atomic.Int64, stopped chan struct{}) {
	t.Helper()
	sent, stopped = &atomic.Int64{}, make(chan struct{}, 16)
	u = newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		defer func() { stopped <- struct{}{} }()
		_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		for part := prefix + repeated; ; part = repeated {
			n, err := io.WriteString(conn, part)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return u, sent, stopped
}

func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	for _, e := range endlessAnswers {
		t.Run(e.name, func(t *testing.T) {
			u, sent, stopped := endlessUpstream(t, e.prefix, e.repeated)
			p := newSmallPool()
			start := time.Now()
			_, err := do(t, p, u, newRequest("1"))
			if !errors.Is(err, ErrNoAnswer) {
				t.Errorf("got error %v, want ErrNoAnswer", err)
			}
			if got, want := time.Since(start), waitTimeout/2; got > want {
				t.Errorf("gave up after %v, want at most %v", got, want)
			}
			<-stopped
			if got := sent.Load(); got > maxEndlessBytes {
				t.Errorf("got %d bytes taken, want at most %d", got, maxEndlessBytes)
			}
			if got := p.getIdle("u"); got != nil {
				t.Error("got the connection in the pool, want it closed")
			}
		})
	}
}

// newSmallPool returns a pool whose sockets buffer little, so that the bytes that an
// upstream can send are about those that the pool reads.
func newSmallPool() *Pool {
	d := NewDialer(time.Second)
	d.Control = smallReceiveBuffer
	return NewPool(d, DefaultAnswerLimits, clock.System{}, newGuard())
}

// TestBytesBehindAnswerCloseConnection sends bytes without end behind a complete answer,
// with the answer or once its connection is idle.
func TestBytesBehindAnswerCloseConnection(t *testing.T) {
	for _, late := range []time.Duration{0, 50 * time.Millisecond} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			closed := make(chan int, 1)
			u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(late)
				sent := 0
				for {
					n, err := io.WriteString(conn, strings.Repeat("more ", 200))
					if sent += n; err != nil {
						closed <- sent
						return
					}
				}
			})
			p := newSmallPool()
			r := newRequest("1")
			r.Method = method
			if _, err := do(t, p, u, r); err != nil {
				t.Fatal(err)
			}
			if got := awaitClosed(t, p, closed); got > maxEndlessBytes {
				t.Errorf("%s, %v late: got %d bytes taken, want at most %d", method, late, got, maxEndlessBytes)
			}
		}
	}
}

// awaitClosed checks the idle connections of a pool at intervals, as a host does, until
// the upstream reports that its connection was closed.
func awaitClosed(t *testing.T, p *Pool, closed <-chan int) int {
	t.Helper()
	for range int(waitTimeout / checkInterval) {
		p.Retain(func(string) bool { return true })
		select {
		case sent := <-closed:
			return sent
		case <-time.After(checkInterval):
		}
	}
	t.Fatalf("got a connection that is open after %v, want it closed", waitTimeout)
	return 0
}

// checkInterval is the interval between two checks of idle connections.
const checkInterval = 10 * time.Millisecond

// streamLimits are small, so that the tests of streamed answers are short.
var streamLimits = AnswerLimits{
	HeadBytes: 64 << 10, SkippedBytes: 256 << 10, StreamBytes: 3 << 20, StreamBytesPerSecond: 1 << 20, StreamGrace: 500 * time.Millisecond,
}

// TestStreamedBodyWithoutEnd reads bodies that are too large, too slow or silent.
func TestStreamedBodyWithoutEnd(t *testing.T) {
	const start = maxBufferedAnswerBytes + 1000
	head := "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	for _, e := range []struct {
		name, head string
		pause      time.Duration
		want       error
	}{
		{"Fast", head + "Connection: close\r\n\r\n", 0, ErrAnswerTooLarge},
		{"FastWithLength", head + "Content-Length: 3000000\r\n\r\n", 0, nil},
		{"Drip", head + "Connection: close\r\n\r\n", 50 * time.Millisecond, ErrAnswerTooSlow},
		{"Silent", head + "Connection: close\r\n\r\n", time.Hour, ErrAnswerTooSlow},
	} {
		t.Run(e.name, func(t *testing.T) {
			stop := make(chan struct{})
			defer close(stop)
			u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				_, _ = http.ReadRequest(in)
				part := e.head + strings.Repeat("b", start)
				for {
					if _, err := io.WriteString(conn, part); err != nil {
						return
					}
					part = strings.Repeat("b", 1000)
					select {
					case <-stop:
						return
					case <-time.After(e.pause):
					}
				}
			})
			p := NewPool(NewDialer(time.Second), streamLimits, clock.System{}, newGuard())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r := newRequest("1")
			failures := 0
			r.StreamFailed = func(error) { failures++ }
			answer, err := p.Do(ctx, "u", u.address(), r)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, answer.Rest)
			answer.Rest.Close()
			if !errors.Is(err, e.want) {
				t.Errorf("got error %v, want %v", err, e.want)
			}
			if want := e.want != nil; (failures == 1) != want {
				t.Errorf("got %d failures reported, want one: %t", failures, want)
			}
			if got := p.getIdle("u"); got != nil && e.want != nil {
				t.Error("got the connection in the pool, want it closed")
			}
		})
	}
}

// TestLargeAnswerToSlowClientIsDelivered reads a large answer with pauses, as a slow
// client makes them, for longer than the deadline of the request.
func TestLargeAnswerToSlowClientIsDelivered(t *testing.T) {
	const size = 2 << 20
	u := newUpstream(t, answerEach(okAnswer("1", strings.Repeat("b", size))))
	limits := streamLimits
	limits.StreamGrace = waitTimeout
	p := NewPool(NewDialer(time.Second), limits, clock.System{}, newGuard())
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	answer, err := p.Do(ctx, "u", u.address(), newRequest("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Rest.Close()
	got, buf := 0, make([]byte, size/8)
	for {
		n, err := answer.Rest.Read(buf)
		got += n
		if err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got != size {
		t.Errorf("got %d bytes, want %d", got, size)
	}
}

func TestAnnouncedBodyAboveLimitIsRefusedAtOnce(t *testing.T) {
	u := newUpstream(t, answerEach("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 99999999999\r\n\r\nb"))
	if _, err := do(t, newPool(), u, newRequest("1")); !errors.Is(err, ErrAnswerTooLarge) {
		t.Errorf("got error %v, want ErrAnswerTooLarge", err)
	}
}

// TestUnnamedAnswerOnReusedConnection answers the second request of a connection with a
// head that names no request. It may be the late copy of an earlier answer.
func TestUnnamedAnswerOnReusedConnection(t *testing.T) {
	unnamed := "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	u := newUpstream(t, answerEach(okAnswer("1", "a"), unnamed))
	p := newPool()
	if _, err := do(t, p, u, newRequest("1")); err != nil {
		t.Fatal(err)
	}
	if _, err := do(t, p, u, newRequest("2")); !errors.Is(err, ErrAnswerForeign) {
		t.Errorf("got error %v, want ErrAnswerForeign", err)
	}
	first := newUpstream(t, answerEach(unnamed))
	answer, err := do(t, newPool(), first, newRequest("3"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := answer.Status, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d on a new connection, want %d", got, want)
	}
}

func TestSingleUseConnectionIsNotPooled(t *testing.T) {
	u := newUpstream(t, answerEach(okAnswer("", "a"), okAnswer("", "b")))
	p := newPool()
	r := newRequest("")
	r.SingleUse = true
	if _, err := do(t, p, u, r); err != nil {
		t.Fatal(err)
	}
	if got := p.getIdle("u"); got != nil {
		t.Error("got the connection in the pool, want it closed")
	}
}

// TestLateSecondCopyIsNeverTheNextAnswer sends a second copy of the first answer at
// different moments: behind answers that have no body, cut in two by the next request,
// and whole behind it. The next request must get its own answer or none.
func TestLateSecondCopyIsNeverTheNextAnswer(t *testing.T) {
	noBody := func(status string) string { return "HTTP/1.1 " + status + "\r\nAttempt: 1\r\n\r\n" }
	whole := okAnswer("1", "copy")
	for _, e := range []struct {
		name, method, first, before, after string
	}{
		{"BehindHead", http.MethodHead, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\n", "copy", ""},
		{"BehindHeadLate", http.MethodHead, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\n", "", "copy" + whole},
		{"BehindNoContent", http.MethodGet, noBody("204 No Content"), whole, ""},
		{"BehindNotModifiedLate", http.MethodGet, noBody("304 Not Modified"), "", "copy" + whole},
		{"CutByNextRequest", http.MethodGet, okAnswer("1", "own"), whole[:20], whole[20:]},
		{"Whole", http.MethodGet, okAnswer("1", "own"), "", whole},
		{"WithoutAttempt", http.MethodGet, okAnswer("1", "own"), "", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy"},
	} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(e.name, func(t *testing.T) {
				u := newUpstream(t, func(n int, conn net.Conn, in *bufio.Reader) {
					if n == 0 {
						_, _ = http.ReadRequest(in)
						_, _ = io.WriteString(conn, e.first)
						time.Sleep(pause)
						_, _ = io.WriteString(conn, e.before)
					}
					if _, err := http.ReadRequest(in); err == nil {
						_, _ = io.WriteString(conn, e.after+okAnswer("2", "next"))
					}
				})
				p := newPool()
				first := newRequest("1")
				first.Method = e.method
				if _, err := do(t, p, u, first); err != nil {
					t.Fatal(err)
				}
				time.Sleep(pause / 2)
				answer, err := do(t, p, u, newRequest("2"))
				if err != nil {
					return
				}
				if got, want := string(answer.Body), "next"; got != want {
					t.Errorf("got body %q, want %q", got, want)
				}
			})
		}
	}
}
