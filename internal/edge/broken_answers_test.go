package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// brokenAnswers are answers to a request that has run, whose heads HTTP does not allow.
var brokenAnswers = []standin.RawAnswer{
	{Status: "000 Zero"}, {Status: "099 Low"}, {Status: "600 High"},
	{Status: "200 OK", Line: "X Y: v"}, {Status: "200 OK", Line: "X : v"}, {Status: "200 OK", Line: "X\x01: v"}, {Status: "200 OK", Line: "X\tY: v"},
	{Status: "200 OK", Line: "Transfer-Encoding : chunked"}, {Status: "200 OK", Line: "X: y\r\n Z: v"}, {Status: "200 OK", Line: "Transfer-Encoding: chunked"}, {Status: "503 Full", NotRun: true, Line: "X Y: v"},
}

// TestBrokenAnswerReachesNoClient guards against clients that get an upstream's malformed
// answer, or wait for another one until their deadline. The host's own answer must not
// promise that the request has not run.
func TestBrokenAnswerReachesNoClient(t *testing.T) {
	for _, broken := range brokenAnswers {
		for method, path := range map[string]string{http.MethodPost: "/swap/1", http.MethodGet: "/look/1"} {
			d := startDeployment(t, map[string]float64{"graceS": 0.2})
			u := &scriptedUpstream{ran: map[id.Attempt]int{}}
			u.serve = func(conn net.Conn, _ int, attempt id.Attempt) {
				u.count(attempt)
				if attempt == "first" {
					_, _ = io.WriteString(conn, served(attempt))
					return
				}
				answer := broken
				answer.Attempt, answer.Authentic = attempt, true
				_, _ = io.WriteString(conn, answer.String())
			}
			d.startScripted("u-1", "d", u)
			d.awaitServing()
			// Half of the route's timeout.
			const allowed = 5 * time.Second
			startedAt := time.Now()
			if got, _ := d.send(allowed, method, path, "a"); got != http.StatusBadGateway {
				t.Errorf("%q to %s: got status %d after %v, want %d", broken, method, got, time.Since(startedAt), http.StatusBadGateway)
			}
			if got, want := u.runs("a"), 1; method == http.MethodPost && got != want {
				t.Errorf("%q: got %d runs of a request that may run once, want %d", broken, got, want)
			}
		}
	}
}

// TestPartOfAnswerToUploadReachesNoClient guards against clients that get a part of an answer
// as a complete one: the upstream answers an upload without a length before it has read the
// body, sends a part of its own body, and resets the connection.
func TestPartOfAnswerToUploadReachesNoClient(t *testing.T) {
	d := startDeployment(t, map[string]float64{"graceS": 0.2})
	var resets atomic.Int64
	breakOff := func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		attempt := standin.AttemptOf(r)
		if attempt == "first" {
			_, _ = io.WriteString(conn, served(attempt))
			return
		}
		head, _, _ := strings.Cut(served(attempt), "Content-Length")
		_, _ = io.WriteString(conn, head+"\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		resets.Add(1)
	}
	// An upstream gets no request for some time after a failure.
	const tries = 30
	for i := range tries {
		d.startRaw(id.Upstream(fmt.Sprint("u-", i)), "d", breakOff)
	}
	d.awaitServing()
	complete := 0
	for i, end := 0, time.Now().Add(startTimeout); resets.Load() < tries && time.Now().Before(end); i++ {
		if status, err := d.upload(id.Attempt(fmt.Sprint("a-", i)), 8<<20); err == nil && status == http.StatusOK {
			complete++
		}
	}
	if got := resets.Load(); got < tries || complete > 0 {
		t.Errorf("got %d of %d reset answers as complete ones, want none of %d", complete, got, tries)
	}
}

// upload sends an upload of n bytes on a new connection. It returns the status of a complete
// answer.
func (d *testDeployment) upload(attempt id.Attempt, n int) (status int, err error) {
	d.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+d.address+"/photo/1", strings.NewReader(strings.Repeat("x", n)))
	if err != nil {
		d.t.Fatal(err)
	}
	r.Host, r.Close = testVirtualHost, true
	standin.SetAttempt(r.Header, attempt)
	client := http.Client{Timeout: startTimeout}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
