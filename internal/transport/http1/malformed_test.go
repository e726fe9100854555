package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
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

// fieldLines are lines of a head or of a trailer, most of which HTTP does not allow. The
// names of the last ones are of fields that frame a body.
var fieldLines = []string{
	"X Y: v", "X : v", " X: v", "X\tY: v", "X\t: v", "X\x00: v", "\x1bX: v", "X\x7f: v", "X\rY: v", "X(: v", "\xc3\xa9: v", ": v", "X",
	"X: a\x00b", "X: a\x7fb", "X: a\rb", "X: a\tb", "X: \xc3\xa9", "X: a\r\n b",
	"Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked", "Attempt : 2",
}

// TestMalformedFields guards against clients that get an answer with a field whose name HTTP
// does not allow, without that field or with a body that it does not frame as the upstream
// meant. The fields stand in the answer's head, in that of an interim response or of an
// answer to another request before it, or in its trailer.
func TestMalformedFields(t *testing.T) {
	var got bytes.Buffer
	for _, line := range fieldLines {
		head := "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
		fmt.Fprintf(&got, "%q\n", line)
		fmt.Fprintf(&got, "  head: %s\n", outcomesOf(t, head+"Content-Length: 4\r\n"+line+"\r\n\r\nbody"))
		fmt.Fprintf(&got, "  head without length: %s\n", outcomesOf(t, head+line+"\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
		fmt.Fprintf(&got, "  trailer: %s\n", outcomesOf(t, head+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+line+"\r\n\r\n"))
		fmt.Fprintf(&got, "  interim head: pool %s\n", pooledOutcome(t, "HTTP/1.1 103 Early Hints\r\nA: b\r\n"+line+"\r\n\r\n"+okAnswer("1", "own")))
		fmt.Fprintf(&got, "  skipped head: pool %s\n", pooledOutcome(t, "HTTP/1.1 200 OK\r\nAttempt: 9\r\nContent-Length: 4\r\n"+line+"\r\n\r\nbody"+okAnswer("1", "own")))
	}
	golden.Check(t, "fields.golden", got.Bytes())
}

// framedHeads are heads that state how long their body is more than once, or in a way that
// their version does not know.
var framedHeads = []string{
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\nContent-Length: 5\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4, 5\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: +4\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\nContent-Length: 4\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: gzip, chunked\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nX: y\r\n Transfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nX: y\r\n\tContent-Length: 4\r\n",
	"HTTP/1.0 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\nAttempt: 1\nTransfer-Encoding: chunked\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nX: " + strings.Repeat("x", 2*readBufferBytes) + "\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nAttempt: 1\r\nX: " + strings.Repeat("x", 2*readBufferBytes) + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n",
}

// TestContradictoryFraming guards against clients that get a body that its upstream did not
// send, because the head of the answer frames it in two ways. The answer is the first of its
// connection, or follows an interim head or an answer to another request.
func TestContradictoryFraming(t *testing.T) {
	const body = "\r\n4\r\nbody\r\n0\r\n\r\n"
	var got bytes.Buffer
	for _, head := range framedHeads {
		fmt.Fprintf(&got, "%.120q\n", head)
		fmt.Fprintf(&got, "  first: %s\n", outcomesOf(t, head+body))
		fmt.Fprintf(&got, "  after an interim head: %s\n", outcomesOf(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+head+body))
		fmt.Fprintf(&got, "  after another's answer: pool %s\n", pooledOutcome(t, okAnswer("9", "x")+head+body))
	}
	golden.Check(t, "framing.golden", got.Bytes())
}

// TestMalformedTrailerOfStreamedAnswer guards against a large answer that looks complete
// although its trailer is malformed.
func TestMalformedTrailerOfStreamedAnswer(t *testing.T) {
	const size = maxBufferedAnswerBytes + 1000
	for line, want := range map[string]error{"X Y: v": ErrAnswerMalformed, "X: v": nil} {
		head := "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
		rawAnswer := fmt.Sprintf("%s%x\r\n%s\r\n0\r\n%s\r\n\r\n", head, size, strings.Repeat("b", size), line)
		// The upstream keeps the connection open for a second request.
		u := newUpstream(t, answerEach(rawAnswer, ""))
		p := newPool()
		answer, err := do(t, p, u, newRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, answer.Rest)
		answer.Rest.Close()
		if !errors.Is(err, want) || n != size {
			t.Errorf("%q: got %d bytes and error %v, want %d and %v", line, n, err, size, want)
		}
		if pooled := p.getIdle("u") != nil; pooled != (want == nil) {
			t.Errorf("%q: got the connection pooled %v, want %v", line, pooled, want == nil)
		}
	}
}

// outcomesOf returns what a pool and a Transport make of an upstream's raw answer.
func outcomesOf(t *testing.T, rawAnswer string) string {
	t.Helper()
	return fmt.Sprintf("pool %s, transport %s", pooledOutcome(t, rawAnswer), roundTrip(t, newUpstream(t, answerEach(rawAnswer))))
}

// pooledOutcome returns what a pool makes of an upstream's raw answer.
func pooledOutcome(t *testing.T, rawAnswer string) string {
	t.Helper()
	answer, err := do(t, newPool(), newUpstream(t, answerEach(rawAnswer)), newRequest("1"))
	return outcome(err, func() string { return fmt.Sprintf("%d %q", answer.Status, answer.Body) })
}

// outcome returns the text of an answer, or the kind of the error in its place.
func outcome(err error, text func() string) string {
	switch {
	case errors.Is(err, ErrAnswerMalformed):
		return "malformed"
	case err != nil:
		return "no answer"
	}
	return text()
}

// roundTrip returns what a Transport makes of an upstream's answer.
func roundTrip(t *testing.T, u *testUpstream) string {
	t.Helper()
	transport := NewTransport(NewDialer(time.Second), &http.Transport{})
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
	return outcome(err, func() string { return fmt.Sprintf("%d %q", response.StatusCode, body) })
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
	client := http.Client{Transport: NewTransport(NewDialer(time.Second), &http.Transport{}), Timeout: time.Second}
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

// requestHeads are heads of requests. Those that HTTP does not allow make recipients disagree
// on whether what follows belongs to the body.
var requestHeads = []string{
	"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length : %d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nContent Length: %d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\n Content-Length: %d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nX: y\r\n\tContent-Length: %d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length\x00: %d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %[1]d\r\nContent-Length: 0\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: +%d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\ncontent-length: %d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\nX: %d\r\n",
	"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\nX: %d\r\n",
	"POST /a HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nX: %d\r\n",
	"POST 100 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n",
	"GET /a HTTP/1.1\r\nHost: a\r\nX: %d\r\n",
}

// TestMalformedRequestsHideNoOther guards against a body that is handled as a request of its
// own, because the field that frames it is malformed and was ignored.
func TestMalformedRequestsHideNoOther(t *testing.T) {
	handled := make(chan string, 10)
	s := startServer(t, func(_ context.Context, c *Call) Reply {
		handled <- fmt.Sprintf("%s %s %q", c.Request.Method, c.Request.URL.Path, c.Body)
		return textReply("")
	})
	const hidden, last = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n", "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	var got bytes.Buffer
	for _, head := range requestHeads {
		// The head arrives on its own or behind another request.
		for _, before := range []string{"", "GET /before HTTP/1.1\r\nHost: a\r\n\r\n"} {
			conn := s.dial(t)
			_, _ = io.WriteString(conn, before+fmt.Sprintf(head, len(hidden))+"\r\n"+hidden+last)
			in := bufio.NewReader(conn)
			var statuses []int
			for response, err := http.ReadResponse(in, nil); err == nil; response, err = http.ReadResponse(in, nil) {
				statuses = append(statuses, response.StatusCode)
				_, _ = io.Copy(io.Discard, response.Body)
			}
			var requests []string
			for len(handled) > 0 {
				requests = append(requests, <-handled)
			}
			slices.Sort(requests)
			fmt.Fprintf(&got, "%q, behind another: %v\n  statuses %v, handled %s\n", head, before != "", statuses, requests)
		}
	}
	golden.Check(t, "requests.golden", got.Bytes())
}
