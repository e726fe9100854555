package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
)

// scriptedUpstream is an upstream that writes raw answers, one function call for each
// request, and counts the attempts that it ran.
type scriptedUpstream struct {
	mu  sync.Mutex
	ran map[id.Attempt]int
	// serve answers the n-th request of a connection, which is of the given attempt.
	serve func(conn net.Conn, n int, attempt string)
}

// count notes that an attempt is run.
func (u *scriptedUpstream) count(attempt string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ran[id.Attempt(attempt)]++
}

// runs returns how often an attempt was run.
func (u *scriptedUpstream) runs(attempt id.Attempt) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[attempt]
}

// startScripted starts a scripted upstream and registers it.
func (d *testDeployment) startScripted(name string, u *scriptedUpstream) {
	d.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.run(conn)
		}
	}()
	d.store.Put(string(platform.Upstreams), name, fmt.Appendf(nil,
		`{"address":%q,"info":{"service":"desk","version":"v1","zone":"d","slots":16},"status":{"state":"ready"},"born":1}`, listener.Addr()))
}

func (u *scriptedUpstream) run(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.serve(conn, n, r.Header.Get("Attempt-Id"))
	}
}

// rawAnswer returns an answer; of is the attempt that it names, if any.
func rawAnswer(status, of, header string) string {
	if of != "" {
		header += "Attempt-Id: " + of + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: 2\r\n\r\nok"
}

// requestInterval spreads requests over the backoffs of an upstream that refuses.
const requestInterval = 20 * time.Millisecond

const signed = "Response-Signature: s\r\n"

// post sends a request that may not run twice, and returns the answer's status or 0.
func (d *testDeployment) post(path string, attempt id.Attempt) int {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+path, strings.NewReader("body"))
	if err != nil {
		d.t.Fatal(err)
	}
	r.Host, r.Close = testVirtualHost, true
	r.Header.Set("Attempt-Id", string(attempt))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestRepeatedRefusalIsNotTheNextAnswer guards against clients that are told "not run" for
// requests that have run, and against such requests that run twice, because an upstream
// writes an earlier refusal once more on a kept connection.
func TestRepeatedRefusalIsNotTheNextAnswer(t *testing.T) {
	for _, refusal := range []struct{ name, status, header string }{
		{"full", "503 Full", "Not-Executed: 1\r\n"}, {"too many", "429 Many", "Not-Executed: 1\r\n"},
		{"signed", "503 Full", "Not-Executed: 1\r\n" + signed}, {"without a mark", "503 Full", ""}, {"without an attempt", "400 No", "Not-Executed: 1\r\n"},
	} {
		for _, named := range []bool{true, false} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, named %v, pause %v", refusal.name, named, pause), func(t *testing.T) {
					d := startDeployment(t, map[string]float64{"graceS": 0.2})
					u := &scriptedUpstream{ran: map[id.Attempt]int{}}
					var repeated atomic.Int64
					u.serve = func(conn net.Conn, n int, attempt string) {
						if attempt == "first" {
							_, _ = io.WriteString(conn, rawAnswer("200 OK", attempt, signed))
							return
						}
						if n == 0 {
							_, _ = io.WriteString(conn, rawAnswer(refusal.status, attempt, refusal.header))
							return
						}
						u.count(attempt)
						repeated.Add(1)
						of := ""
						if named {
							of = "earlier"
						}
						_, _ = io.WriteString(conn, rawAnswer(refusal.status, of, refusal.header))
						time.Sleep(pause)
						_, _ = io.WriteString(conn, rawAnswer("200 OK", attempt, signed))
					}
					d.startScripted("u-1", u)
					d.startScripted("u-2", u)
					d.awaitServing()
					end := time.Now().Add(startTimeout)
					for i := 0; repeated.Load() < 3 && time.Now().Before(end); i++ {
						attempt := id.Attempt(fmt.Sprint("a-", i))
						got := d.post("/swap/1", attempt)
						if ran := u.runs(attempt); ran > 1 || ran == 1 && platform.PromisesNotRun(got) {
							t.Fatalf("attempt %s ran %d times and was answered %d, want once at most and no promise that it has not run", attempt, ran, got)
						}
						time.Sleep(requestInterval)
					}
					if repeated.Load() == 0 {
						t.Error("got no request on a connection in use again, want some")
					}
				})
			}
		}
	}
}

// TestStatusThatPromisesTooMuchIsNotPassedOn guards against clients that are told "not run"
// by an upstream that ran the request and answered 503, 429 or 408 without the mark of one
// that has not.
func TestStatusThatPromisesTooMuchIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"503 Failed", "429 Slow Down", "408 Late"} {
		d := startDeployment(t, map[string]float64{"graceS": 0.2})
		u := &scriptedUpstream{ran: map[id.Attempt]int{}}
		u.serve = func(conn net.Conn, _ int, attempt string) {
			u.count(attempt)
			if attempt == "first" {
				_, _ = io.WriteString(conn, rawAnswer("200 OK", attempt, signed))
				return
			}
			_, _ = io.WriteString(conn, rawAnswer(status, attempt, signed))
		}
		d.startScripted("u-1", u)
		d.awaitServing()
		if got, want := d.post("/swap/1", "a"), http.StatusBadGateway; got != want || u.runs("a") != 1 {
			t.Errorf("%s: got status %d after %d runs, want %d after one", status, got, u.runs("a"), want)
		}
	}
}
