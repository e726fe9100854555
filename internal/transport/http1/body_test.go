package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"celerypin.example/celerypin/pkg/state/clock"
)

// bodySize is larger than what is buffered of a body and what sockets hold.
const bodySize = 6 << 20

// patternOf returns a body of which each part stands at one place only.
func patternOf(n int) []byte {
	rng := rand.NewChaCha8([32]byte{})
	data := make([]byte, n)
	_, _ = rng.Read(data)
	return data
}

// startProxy starts a server that forwards each call to u by a pool of its own.
func startProxy(t *testing.T, u *testUpstream) *testServer {
	t.Helper()
	p := newPool()
	return startServer(t, func(ctx context.Context, c *Call) Reply {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		r := newRequest("1")
		r.Method, r.Body, r.Rest, r.Length = http.MethodPost, c.Body, c.Rest, c.Request.ContentLength
		answer, err := p.Do(ctx, "u", u.address(), r)
		if err != nil {
			return Reply{Status: http.StatusBadGateway, Header: http.Header{}}
		}
		return Reply{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	})
}

// TestBodyHasOneReader guards against two goroutines that read a client's connection at a
// time: the process ends by a panic, or the upstream gets other bytes than the client sent.
// The upstream answers, breaks off or stops reading in the middle of the body.
func TestBodyHasOneReader(t *testing.T) {
	whole := patternOf(bodySize)
	for _, c := range []struct {
		name string
		// serve continues after the upstream has read a part of the body.
		serve func(conn net.Conn, body io.Reader) []byte
	}{
		{"answers early and reads on", func(conn net.Conn, body io.Reader) []byte {
			_, _ = io.WriteString(conn, okAnswer("1", "early"))
			time.Sleep(20 * time.Millisecond)
			rest, _ := io.ReadAll(body)
			return rest
		}},
		{"answers early and closes", func(conn net.Conn, _ io.Reader) []byte {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return nil
		}},
		{"crashes", func(conn net.Conn, _ io.Reader) []byte {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return nil
		}},
		{"stops reading", func(net.Conn, io.Reader) []byte {
			time.Sleep(100 * time.Millisecond)
			return nil
		}},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", c.name, chunked), func(t *testing.T) {
				const clients = 24
				var mu sync.Mutex
				var got [][]byte
				u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
					request, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					part := make([]byte, maxBufferedBodyBytes+100<<10)
					n, _ := io.ReadFull(request.Body, part)
					rest := c.serve(conn, request.Body)
					mu.Lock()
					defer mu.Unlock()
					got = append(got, append(part[:n], rest...))
				})
				s := startProxy(t, u)
				var running sync.WaitGroup
				for range clients {
					running.Go(func() { sendUpload(t, s, whole, chunked) })
				}
				running.Wait()
				if n := s.guard.Total(); n != 0 {
					t.Errorf("got %d panics, want none", n)
				}
				mu.Lock()
				defer mu.Unlock()
				for _, body := range got {
					if !bytes.HasPrefix(whole, body) {
						t.Errorf("got %d bytes at the upstream that are not the beginning of the client's body", len(body))
					}
				}
			})
		}
	}
}

// sendUpload sends a body at a limited rate on a new connection and reads the answer.
func sendUpload(t *testing.T, s *testServer, body []byte, chunked bool) {
	conn := s.dial(t)
	request, err := http.NewRequest(http.MethodPost, "http://a/", &slowReader{body})
	if err != nil {
		t.Error(err)
		return
	}
	request.ContentLength = int64(len(body))
	if chunked {
		request.ContentLength = -1
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = request.Write(conn)
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("got error %v in place of an answer, want none", err)
		}
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	<-sent
}

// slowReader returns data in parts with pauses between them.
type slowReader struct{ data []byte }

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	const part, pause = 32 << 10, 200 * time.Microsecond
	time.Sleep(pause)
	n := copy(p, r.data[:min(len(r.data), part)])
	r.data = r.data[n:]
	return n, nil
}

// TestClosedBodyIsNotRead closes a body while a read of it waits for the client. Close must
// end the read and must not return before it.
func TestClosedBodyIsNotRead(t *testing.T) {
	read := make(chan error, 1)
	s := startServer(t, func(_ context.Context, c *Call) Reply {
		begun := make(chan struct{})
		go func() {
			close(begun)
			_, err := io.Copy(io.Discard, c.Rest)
			read <- err
		}()
		<-begun
		time.Sleep(20 * time.Millisecond)
		c.Rest.Close()
		if _, err := c.Rest.Read(make([]byte, 1)); !errors.Is(err, ErrBodyClosed) {
			t.Errorf("got error %v after Close, want %v", err, ErrBodyClosed)
		}
		return textReply("answered")
	})
	conn := s.dial(t)
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 1<<20)
	_, _ = conn.Write(make([]byte, maxBufferedBodyBytes))
	if _, got := readAnswer(t, bufio.NewReader(conn)); got != "answered" {
		t.Errorf("got %q, want the answer", got)
	}
	if err := <-read; err == nil {
		t.Error("got a whole body, want an error")
	}
}

// TestUpstreamThatReadsLateIsNotDead guards against uploads that fail because a sound
// upstream, in whose queue they wait, reads their body later than the user timeout.
func TestUpstreamThatReadsLateIsNotDead(t *testing.T) {
	const late = 2 * userTimeout
	for _, c := range []struct {
		size int
		// smallSend lets the body wait in the host rather than in its kernel.
		smallSend bool
	}{{maxBufferedBodyBytes - 1, false}, {maxBufferedBodyBytes - 1, true}, {bodySize, true}} {
		whole := patternOf(c.size)
		u := newUpstream(t, func(_ int, conn net.Conn, in *bufio.Reader) {
			_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			time.Sleep(late)
			body, err := io.ReadAll(request.Body)
			if err != nil || !bytes.Equal(body, whole) {
				t.Errorf("got %d bytes, error %v, want the %d of the client", len(body), err, c.size)
				return
			}
			_, _ = io.WriteString(conn, okAnswer("1", "kept"))
		})
		d := NewDialer(time.Second)
		if c.smallSend {
			d.Control = func(network, address string, raw syscall.RawConn) error {
				return errors.Join(smallSendBuffer(raw), Control(network, address, raw))
			}
		}
		p := NewPool(d, DefaultAnswerLimits, clock.System{}, newGuard())
		s := startServer(t, func(ctx context.Context, call *Call) Reply {
			r := newRequest("1")
			r.Method, r.Body, r.Rest, r.Length = http.MethodPost, call.Body, call.Rest, call.Request.ContentLength
			answer, err := p.Do(ctx, "u", u.address(), r)
			if err != nil {
				return textReply(err.Error())
			}
			return Reply{Status: answer.Status, Header: answer.Header, Body: answer.Body}
		})
		conn := s.dial(t)
		request, err := http.NewRequest(http.MethodPost, "http://a/", bytes.NewReader(whole))
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = request.Write(conn) }()
		if _, got := readAnswer(t, bufio.NewReader(conn)); got != "kept" {
			t.Errorf("%d bytes, small send buffer %v: got %q, want the upstream's answer", c.size, c.smallSend, got)
		}
	}
}

func TestPeerThatAcknowledgesIsNotDead(t *testing.T) {
	for _, c := range []struct {
		name string
		info unix.TCPInfo
		want bool
	}{
		{"acknowledges all", unix.TCPInfo{Last_ack_recv: 10}, false},
		{"full, answers probes", unix.TCPInfo{Last_ack_recv: 5000, Probes: 1}, false},
		{"full, answers no probe", unix.TCPInfo{Last_ack_recv: 5000, Probes: 2}, true},
		{"a packet was lost", unix.TCPInfo{Last_ack_recv: 300, Retransmits: 1}, false},
		{"acknowledges nothing", unix.TCPInfo{Last_ack_recv: 1000, Retransmits: 2}, true},
		{"idle", unix.TCPInfo{Last_ack_recv: 9000}, false},
	} {
		if got := isDead(&c.info); got != c.want {
			t.Errorf("%s: got dead %v, want %v", c.name, got, c.want)
		}
	}
}
