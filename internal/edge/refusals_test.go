package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
	"celerypin.example/celerypin/platform/standin"
)

// scriptedUpstream is an upstream that writes raw answers, one function call for each
// request, and counts the attempts that it ran.
type scriptedUpstream struct {
	mu  sync.Mutex
	ran map[id.Attempt]int
	// serve answers the n-th request of a connection, which is of the given attempt.
	serve func(conn net.Conn, n int, attempt id.Attempt)
}

// count notes that an attempt is run.
func (u *scriptedUpstream) count(attempt id.Attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ran[attempt]++
}

// runs returns how often an attempt was run.
func (u *scriptedUpstream) runs(attempt id.Attempt) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[attempt]
}

// startScripted starts a scripted upstream and registers it.
func (d *testDeployment) startScripted(name id.Upstream, domain id.FailureDomain, u *scriptedUpstream) {
	d.t.Helper()
	d.startRaw(name, domain, u.run)
}

// startRaw starts an upstream that serves each connection by serve, and registers it.
func (d *testDeployment) startRaw(name id.Upstream, domain id.FailureDomain, serve func(net.Conn)) {
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
			go serve(conn)
		}
	}()
	d.store.PutUpstream(name, standin.RawUpstream{Address: listener.Addr().String(), Service: "desk", Domain: domain, Slots: "16", Cold: "0", Incarnation: 1}.Value())
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
		u.serve(conn, n, standin.AttemptOf(r))
	}
}

// served returns the answer to a request that has run.
func served(attempt id.Attempt) string {
	return standin.RawAnswer{Status: "200 OK", Attempt: attempt, Authentic: true}.String()
}

// requestInterval spreads requests over the backoffs of an upstream that refuses.
const requestInterval = 20 * time.Millisecond

// post sends a request that may not run twice, and returns the answer's status or 0.
func (d *testDeployment) post(path string, attempt id.Attempt) int {
	status, _ := d.send(startTimeout, http.MethodPost, path, attempt)
	return status
}

// TestRepeatedRefusalIsNotTheNextAnswer guards against clients that are told "not run" for
// requests that have run, and against such requests that run twice, because an upstream
// writes an earlier refusal once more on a kept connection.
func TestRepeatedRefusalIsNotTheNextAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		refusal standin.RawAnswer
	}{
		{"full", standin.RawAnswer{Status: "503 Full", NotRun: true}}, {"too many", standin.RawAnswer{Status: "429 Many", NotRun: true}},
		{"with a MAC", standin.RawAnswer{Status: "503 Full", NotRun: true, Authentic: true}}, {"without a mark", standin.RawAnswer{Status: "503 Full"}},
		{"without an attempt", standin.RawAnswer{Status: "400 No", NotRun: true}},
	} {
		for _, named := range []bool{true, false} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, named %v, pause %v", c.name, named, pause), func(t *testing.T) {
					d := startDeployment(t, map[string]float64{"graceS": 0.2})
					u := &scriptedUpstream{ran: map[id.Attempt]int{}}
					var repeated atomic.Int64
					u.serve = func(conn net.Conn, n int, attempt id.Attempt) {
						if attempt == "first" {
							_, _ = io.WriteString(conn, served(attempt))
							return
						}
						if n == 0 {
							own := c.refusal
							own.Attempt = attempt
							_, _ = io.WriteString(conn, own.String())
							return
						}
						u.count(attempt)
						repeated.Add(1)
						earlier := c.refusal
						if named {
							earlier.Attempt = "earlier"
						}
						_, _ = io.WriteString(conn, earlier.String())
						time.Sleep(pause)
						_, _ = io.WriteString(conn, served(attempt))
					}
					d.startScripted("u-1", "d", u)
					d.startScripted("u-2", "d", u)
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
		u.serve = func(conn net.Conn, _ int, attempt id.Attempt) {
			u.count(attempt)
			if attempt == "first" {
				_, _ = io.WriteString(conn, served(attempt))
				return
			}
			_, _ = io.WriteString(conn, standin.RawAnswer{Status: status, Attempt: attempt, Authentic: true}.String())
		}
		d.startScripted("u-1", "d", u)
		d.awaitServing()
		if got, want := d.post("/swap/1", "a"), http.StatusBadGateway; got != want || u.runs("a") != 1 {
			t.Errorf("%s: got status %d after %d runs, want %d after one", status, got, u.runs("a"), want)
		}
	}
}
