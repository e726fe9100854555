package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/confine"
)

// waitTimeout bounds the wait for an expected event; it is no performance target.
const waitTimeout = 10 * time.Second

var testLimits = Limits{HeaderBytes: 4 << 10, MaxBodyBytes: 8 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}

// errTestStop is the cause with which tests stop a server.
var errTestStop = errors.New("the test stops the server")

// newGuard returns a guard that reports nothing.
func newGuard() *confine.Guard { return confine.New(clock.System{}, func(confine.Panic) {}) }

// handlerFunc adapts a function to Handler.
type handlerFunc func(ctx context.Context, c *Call) Reply

func (f handlerFunc) Handle(ctx context.Context, c *Call) Reply { return f(ctx, c) }

func textReply(s string) Reply {
	return Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte(s)}
}

// testServer is a Server that listens at address.
type testServer struct {
	*Server
	address string
}

func startServer(t *testing.T, h handlerFunc) *testServer {
	t.Helper()
	return startServerOn(t, listen(t), h)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func startServerOn(t *testing.T, listener net.Listener, h handlerFunc) *testServer {
	t.Helper()
	s := NewServer(h, func() Limits { return testLimits }, clock.System{}, newGuard())
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		s.Stop(ctx, errTestStop, answerTimeout)
	})
	return &testServer{s, listener.Addr().String()}
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return conn
}

// TestPanicOfOneRequestIsConfined panics in the handling of one of three pipelined
// requests. It must get an answer that promises nothing, and the others their own.
func TestPanicOfOneRequestIsConfined(t *testing.T) {
	s := startServer(t, func(_ context.Context, c *Call) Reply {
		if c.Request.URL.Path == "/2" {
			panic("second request")
		}
		return textReply(c.Request.URL.Path)
	})
	conn := s.dial(t)
	_, _ = io.WriteString(conn, get("/1")+get("/2")+get("/3"))
	in := bufio.NewReader(conn)
	for _, want := range []struct {
		status int
		body   string
	}{{http.StatusOK, "/1"}, {http.StatusBadGateway, ""}, {http.StatusOK, "/3"}} {
		response, body := readAnswer(t, in)
		if response.StatusCode != want.status || body != want.body {
			t.Errorf("got %d %q, want %d %q", response.StatusCode, body, want.status, want.body)
		}
	}
	if got, want := s.guard.Total(), int64(1); got != want {
		t.Errorf("got %d panics counted, want %d", got, want)
	}
}

// panickingReader panics when it is read.
type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic("read") }
func (panickingReader) Close() error             { return nil }

// TestPanicWhileAnswerIsWritten panics in the middle of a streamed answer. The client
// must not take the answer for complete, and the server must serve others.
func TestPanicWhileAnswerIsWritten(t *testing.T) {
	s := startServer(t, func(_ context.Context, c *Call) Reply {
		if c.Request.URL.Path == "/sound" {
			return textReply("sound")
		}
		return Reply{Status: http.StatusOK, Header: http.Header{}, Rest: newBodyReader(panickingReader{}), Length: 100}
	})
	conn := s.dial(t)
	_, _ = io.WriteString(conn, get("/torn"))
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		if body, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("got a complete body %q, want an error", body)
		}
	}
	second := s.dial(t)
	_, _ = io.WriteString(second, get("/sound"))
	if _, body := readAnswer(t, bufio.NewReader(second)); body != "sound" {
		t.Errorf("got %q, want %q", body, "sound")
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// readAnswer reads an answer with its body.
func readAnswer(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	s := startServer(t, func(_ context.Context, c *Call) Reply {
		if c.Request.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		return textReply(c.Request.URL.Path)
	})
	conn := s.dial(t)
	_, _ = io.WriteString(conn, get("/1")+get("/2"))
	in := bufio.NewReader(conn)
	for _, want := range []string{"/1", "/2"} {
		if _, got := readAnswer(t, in); got != want {
			t.Errorf("got answer %q, want %q", got, want)
		}
	}
}

func TestEarlierDoneIsClosedWhenEarlierRequestsAreAnswered(t *testing.T) {
	var mu sync.Mutex
	var order []string
	record := func(s string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, s)
	}
	s := startServer(t, func(_ context.Context, c *Call) Reply {
		<-c.EarlierDone
		time.Sleep(20 * time.Millisecond)
		record(c.Request.URL.Path)
		return textReply("")
	})
	conn := s.dial(t)
	_, _ = io.WriteString(conn, get("/1")+get("/2")+get("/3"))
	in := bufio.NewReader(conn)
	for range 3 {
		readAnswer(t, in)
	}
	mu.Lock()
	defer mu.Unlock()
	if got, want := strings.Join(order, " "), "/1 /2 /3"; got != want {
		t.Errorf("got order %q, want %q", got, want)
	}
}

func TestClientDisconnectCancelsItsRequests(t *testing.T) {
	cases := []struct{ name, sent string }{
		{"one request", get("/")},
		{"requests behind it", get("/") + get("/") + get("/")},
		{"last request of the connection", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{}, 8)
			s := startServer(t, func(ctx context.Context, _ *Call) Reply {
				<-ctx.Done()
				ended <- struct{}{}
				return Reply{Abort: true}
			})
			conn := s.dial(t)
			_, _ = io.WriteString(conn, c.sent)
			time.Sleep(50 * time.Millisecond)
			_ = conn.Close()
			for range strings.Count(c.sent, "GET") {
				select {
				case <-ended:
				case <-time.After(500 * time.Millisecond):
					t.Fatal("a request was not cancelled within half a second after its client disconnected")
				}
			}
		})
	}
}

func TestDrainClosesWithTheAnswer(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(context.Context, *Call) Reply {
		close(begun)
		<-finish
		return textReply("whole")
	})
	conn := s.dial(t)
	_, _ = io.WriteString(conn, get("/"))
	<-begun
	s.Drain()
	close(finish)
	in := bufio.NewReader(conn)
	response, got := readAnswer(t, in)
	if want := "whole"; got != want || !response.Close {
		t.Errorf("got %q, closing %v, want %q and true", got, response.Close, want)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("got %v after the last answer, want %v", err, io.EOF)
	}
}

func TestStopWaitsForRequestsAndEndsIdleConnections(t *testing.T) {
	begun := make(chan struct{})
	s := startServer(t, func(context.Context, *Call) Reply {
		close(begun)
		time.Sleep(200 * time.Millisecond)
		return textReply("whole")
	})
	idle, busy := s.dial(t), s.dial(t)
	_, _ = io.WriteString(busy, get("/"))
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s.Stop(ctx, errTestStop, answerTimeout)
	if _, got := readAnswer(t, bufio.NewReader(busy)); got != "whole" {
		t.Errorf("got %q, want the whole answer", got)
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got %v on the idle connection, want %v", err, io.EOF)
	}
}

func TestLargeBodiesAreStreamed(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789abcdef"), 100<<10)
	s := startServer(t, func(_ context.Context, c *Call) Reply {
		rest, err := io.ReadAll(c.Rest)
		if err != nil {
			return Reply{Abort: true}
		}
		return textReply(fmt.Sprint(bytes.Equal(append(c.Body, rest...), want)))
	})
	for _, chunked := range []bool{false, true} {
		conn := s.dial(t)
		request, _ := http.NewRequest(http.MethodPost, "http://a/", bytes.NewReader(want))
		if chunked {
			request.ContentLength = -1
		}
		go func() { _ = request.Write(conn) }()
		if _, got := readAnswer(t, bufio.NewReader(conn)); got != "true" {
			t.Errorf("chunked %v: got body equal %s, want true", chunked, got)
		}
	}
}

func TestRejectedRequests(t *testing.T) {
	s := startServer(t, func(context.Context, *Call) Reply { return textReply("") })
	cases := []struct{ name, sent string }{
		{"no request", "nonsense\r\n\r\n"},
		{"head too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 32<<10) + "\r\n\r\n"},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"},
		{"head that does not end", "GET / HTTP/1.1\r\nHost: a\r\n"},
	}
	var out strings.Builder
	for _, c := range cases {
		conn := s.dial(t)
		_, _ = io.WriteString(conn, c.sent)
		response, _ := readAnswer(t, bufio.NewReader(conn))
		fmt.Fprintf(&out, "%s: %d\n", c.name, response.StatusCode)
	}
	golden.Check(t, "rejected.golden", []byte(out.String()))
}

// TestRequestCutAnywhereIsNotHandled guards against a request that is handled although its
// client closed in the middle of it.
func TestRequestCutAnywhereIsNotHandled(t *testing.T) {
	var handled atomic.Int64
	s := startServer(t, func(context.Context, *Call) Reply {
		handled.Add(1)
		return textReply("")
	})
	for _, whole := range []string{
		get("/"),
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		for cut := range len(whole) {
			conn := s.dial(t)
			_, _ = io.WriteString(conn, whole[:cut])
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.ReadAll(conn)
			if got := handled.Swap(0); got != 0 {
				t.Errorf("%q: got it handled, want it refused", whole[:cut])
			}
		}
	}
}
