package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
)

// statusLines are status lines, most of which HTTP does not allow.
var statusLines = []string{
	"HTTP/1.1 000 Zero", "HTTP/1.1 000", "HTTP/1.1 012 Low", "HTTP/1.1 099 Low", "HTTP/1.1 +20 Signed", "HTTP/1.1 -20 Signed", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
	"HTTP/1.1 20 Short", "HTTP/1.1 2000 Long", "HTTP/1.1 2x0 Letter", "HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 599 Last",
	"HTTP/2.0 200 Version", "HTTP/0.9 200 Version", "ICY 200 OK",
}

// TestMalformedStatusLines guards against clients that get an answer whose status HTTP does
// not define, or the bytes behind it as an answer.
func TestMalformedStatusLines(t *testing.T) {
	var got bytes.Buffer
	for _, line := range statusLines {
		whole := line + "\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\nbody"
		fmt.Fprintf(&got, "%s: %s\n", line, outcomesOf(t, whole))
		empty := line + "\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n"
		fmt.Fprintf(&got, "%s, then an answer: %s\n", line, outcomesOf(t, empty+okAnswer("1", "next")))
	}
	golden.Check(t, "status_lines.golden", got.Bytes())
}

// outcomesOf returns what a pool and a Transport make of an upstream's raw answer.
func outcomesOf(t *testing.T, rawAnswer string) string {
	t.Helper()
	u := newUpstream(t, answerEach(rawAnswer))
	pooled := "no answer"
	if answer, err := do(t, newPool(), u, newRequest("1")); err == nil {
		pooled = fmt.Sprintf("%d %q", answer.Status, answer.Body)
	} else if errors.Is(err, ErrAnswerMalformed) {
		pooled = "malformed"
	}
	return fmt.Sprintf("pool %s, transport %s", pooled, roundTrip(t, u))
}

// roundTrip returns what a Transport makes of an upstream's answer.
func roundTrip(t *testing.T, u *testUpstream) string {
	t.Helper()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.address(), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	var body []byte
	if err == nil {
		defer response.Body.Close()
		body, err = io.ReadAll(response.Body)
	}
	switch {
	case errors.Is(err, ErrAnswerMalformed):
		return "malformed"
	case err != nil:
		return "no answer"
	}
	return fmt.Sprintf("%d %q", response.StatusCode, body)
}

// TestConnectionOfMalformedAnswerIsClosed guards against a later request on a connection
// whose upstream does not keep to the protocol.
func TestConnectionOfMalformedAnswerIsClosed(t *testing.T) {
	malformed := "HTTP/1.1 000 Zero\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n"
	u := newUpstream(t, answerEach(malformed, okAnswer("2", "next")))
	p := newPool()
	if _, err := do(t, p, u, newRequest("1")); !errors.Is(err, ErrAnswerMalformed) || !errors.Is(err, ErrNoAnswer) {
		t.Errorf("got error %v, want %v and %v", err, ErrAnswerMalformed, ErrNoAnswer)
	}
	if got := p.getIdle("u"); got != nil {
		t.Error("got the connection in the pool, want it closed")
	}
	client := http.Client{Transport: NewTransport(&http.Transport{}), Timeout: time.Second}
	defer client.CloseIdleConnections()
	for range 2 {
		response, err := client.Get("http://" + u.address())
		if err == nil {
			_ = response.Body.Close()
		}
		if !errors.Is(err, ErrAnswerMalformed) {
			t.Errorf("got error %v, want %v, the first answer of each connection", err, ErrAnswerMalformed)
		}
	}
}
