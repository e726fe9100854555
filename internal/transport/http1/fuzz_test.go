package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// fuzzTimeout bounds one exchange with arbitrary bytes.
const fuzzTimeout = 5 * time.Second

// FuzzAnswer reads arbitrary bytes as the answer of an upstream. An answer that is taken
// must name the request or none.
func FuzzAnswer(f *testing.F) {
	for _, e := range endlessAnswers {
		f.Add([]byte(e.prefix + e.repeated))
	}
	for _, line := range statusLines {
		f.Add([]byte(line + "\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n"))
	}
	for _, line := range fieldLines {
		f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"))
	}
	for _, head := range framedHeads {
		f.Add([]byte(head + "\r\n4\r\nbody\r\n0\r\n\r\n"))
	}
	f.Add([]byte(okAnswer("1", "body")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okAnswer("2", "foreign") + okAnswer("1", "own")))
	f.Fuzz(func(t *testing.T, data []byte) {
		server, client := net.Pipe()
		go func() {
			_, _ = server.Write(data)
			_ = server.Close()
		}()
		defer client.Close()
		_ = client.SetDeadline(time.Now().Add(fuzzTimeout))
		p := newPool()
		answer, _, err := p.newConn(client).read(newRequest("1"), DefaultAnswerLimits, time.Now().Add(fuzzTimeout))
		if err != nil {
			return
		}
		if got := answer.Header.Get("Attempt"); got != "1" && got != "" {
			t.Errorf("got the answer of attempt %q, want that of the request", got)
		}
		if answer.Status < http.StatusOK || answer.Status > maxStatus {
			t.Errorf("got status %d, want that of a final answer", answer.Status)
		}
		for name := range answer.Header {
			if strings.ContainsAny(name, " \t\x00\x01\x7f") {
				t.Errorf("got the field name %q, want one without blanks and control bytes", name)
			}
		}
		if answer.Rest != nil {
			_, _ = io.Copy(io.Discard, answer.Rest)
		}
	})
}

// FuzzRequests reads arbitrary bytes as the requests of a client.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(get("/1") + get("/2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nab"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		guard := newGuard()
		s := NewServer(handlerFunc(func(_ context.Context, c *Call) Reply {
			return Reply{Status: http.StatusOK, Header: http.Header{}, Body: c.Body}
		}), func() Limits { return testLimits }, clock.System{}, guard)
		server, client := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			newServerConn(s, server).run()
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetDeadline(time.Now().Add(fuzzTimeout))
		_, _ = client.Write(data)
		_ = client.Close()
		<-done
		if got := guard.Total(); got != 0 {
			t.Errorf("got %d panics, want none", got)
		}
	})
}
