package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/state/clock"
)

// startRaw starts an upstream that sends a raw answer to each request.
func startRaw(t *testing.T, rawAnswer string) *pick.Upstream {
	t.Helper()
	return startServing(t, func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, rawAnswer)
		}
	})
}

// startServing starts an upstream that serves each connection by serve.
func startServing(t *testing.T, serve func(net.Conn)) *pick.Upstream {
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
			go serve(conn)
		}
	}()
	return pickUpstream(t, listener.Addr().String())
}

// TestMalformedAnswerIsNoAnswer guards against callers that get an answer that HTTP does not
// allow, and against a request that counts as not run because its answer is malformed.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for _, rawAnswer := range []string{
		"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 000 Zero\r\nCelerypin-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01: v\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX: y\r\n Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nCelerypin-Not-Run: true\r\nX Y: v\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, idempotent := range []bool{false, true} {
			f := NewForwarder("h", 1, clock.System{})
			defer f.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r := &Request{Method: http.MethodGet, Target: "/", Header: http.Header{}, Idempotent: idempotent, Remaining: 10 * time.Second}
			response, err := f.Do(ctx, startRaw(t, rawAnswer), r)
			if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotRun) {
				t.Errorf("%q, idempotent %v: got answer %v, error %v, want %v", rawAnswer, idempotent, response, err, ErrOutcomeUnknown)
			}
		}
	}
}

// TestAnswerResetDuringUploadIsIncomplete guards against callers that get a part of an answer
// without length as a complete one, because its upstream resets the connection while the
// request is being written.
func TestAnswerResetDuringUploadIsIncomplete(t *testing.T) {
	u := startServing(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	f := NewForwarder("h", 1, clock.System{})
	defer f.Close()
	const tries, size = 40, 16 << 20
	complete := 0
	for range tries {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		body := strings.NewReader(strings.Repeat("x", size))
		response, err := f.Do(ctx, u, &Request{Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: body, Length: size, Remaining: 10 * time.Second})
		if err != nil {
			continue
		}
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			complete++
		}
		_ = response.Body.Close()
	}
	if complete > 0 {
		t.Errorf("got %d of %d reset answers as complete ones, want none", complete, tries)
	}
}

// TestAnswerWithoutEndIsGivenUp guards against a host that keeps what an upstream sends
// without end, until its memory is used up.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	// maxTaken is the host's limit of a head and what the sockets hold: their receive buffer
	// grows to 6 MiB.
	const maxTaken = 8 << 20
	for name, raw := range map[string]struct{ prefix, repeated string }{
		"status line":     {"HTTP/1.1 200 ", strings.Repeat("O", 1000)},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1000)},
		"header lines":    {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 100)},
		"interim heads":   {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 20)},
		"no protocol":     {"", strings.Repeat("garbage ", 100)},
		"chunk extension": {chunked + "5;", strings.Repeat("e", 1000)},
		"trailer":         {chunked + "1\r\na\r\n0\r\n", strings.Repeat("T: y\r\n", 100)},
	} {
		sent := make(chan int, 1)
		u := startServing(t, func(conn net.Conn) {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
			total := 0
			for part := raw.prefix + raw.repeated; ; part = raw.repeated {
				n, err := io.WriteString(conn, part)
				if total += n; err != nil {
					sent <- total
					return
				}
			}
		})
		f := NewForwarder("h", 1, clock.System{})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		response, err := f.Do(ctx, u, &Request{Method: http.MethodGet, Target: "/", Header: http.Header{}, Idempotent: true, Remaining: 10 * time.Second})
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err == nil || ctx.Err() != nil {
			t.Errorf("%s: got error %v, %v of the context, want an error before the deadline", name, err, ctx.Err())
		}
		if got := <-sent; got > maxTaken {
			t.Errorf("%s: got %d bytes taken, want at most %d", name, got, maxTaken)
		}
		cancel()
		f.Close()
	}
}
