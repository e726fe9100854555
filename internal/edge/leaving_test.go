package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// TestLeavingUpstreamGetsNothingNew guards against requests to an upstream that says in an
// answer of any kind that it is leaving. Its row goes on saying that it is ready, is
// written again, and lapses and returns.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(attempt id.Attempt) string
	}{
		{"served", func(a id.Attempt) string {
			return standin.RawAnswer{Status: "200 OK", Attempt: a, Authentic: true, Leaving: true}.String()
		}},
		{"refused", func(a id.Attempt) string {
			return standin.RawAnswer{Status: "503 Full", Attempt: a, NotRun: true, Leaving: true}.String()
		}},
		{"failed", func(a id.Attempt) string {
			return standin.RawAnswer{Status: "500 Failed", Attempt: a, Authentic: true, Leaving: true}.String()
		}},
		{"skipped", func(a id.Attempt) string {
			return standin.RawAnswer{Status: "200 OK", Attempt: "earlier", Authentic: true, Leaving: true}.String() + served(a)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDeployment(t, map[string]float64{"graceS": 0.2})
			var leaves atomic.Bool
			var after atomic.Int64
			leaving := &scriptedUpstream{ran: map[id.Attempt]int{}}
			leaving.serve = func(conn net.Conn, _ int, attempt id.Attempt) {
				if leaves.Swap(true) {
					after.Add(1)
				}
				_, _ = io.WriteString(conn, c.answer(attempt))
			}
			d.startScripted("leaving", "d", leaving)
			for end := time.Now().Add(startTimeout); !leaves.Load() && time.Now().Before(end); time.Sleep(requestInterval) {
				d.get("/look/1", "a")
			}
			row := d.store.Value("leaving")
			d.startUpstream("stays", "d", 0)
			for range 3 {
				time.Sleep(150 * time.Millisecond)
				d.sendAll(20)
				d.store.PutUpstream("leaving", append(row, ' '))
				time.Sleep(150 * time.Millisecond)
				d.sendAll(20)
				d.store.DeleteUpstream("leaving")
				time.Sleep(150 * time.Millisecond)
				d.store.PutUpstream("leaving", row)
			}
			d.sendAll(20)
			if got := after.Load(); got != 0 {
				t.Errorf("got %d requests after the answer, want none", got)
			}
		})
	}
}

// sendAll sends n requests, each about an object that no earlier one was about.
func (d *testDeployment) sendAll(n int) (statuses map[int]int) {
	statuses = map[int]int{}
	for range n {
		d.sent++
		statuses[d.get(fmt.Sprint("/look/", d.sent), id.Attempt(fmt.Sprint("s-", d.sent)))]++
	}
	return statuses
}

// TestQuietUpstreamGetsNothing guards against requests to an upstream in the time for which
// it wants none. The others serve meanwhile, and it is used again afterwards.
func TestQuietUpstreamGetsNothing(t *testing.T) {
	const quiet = time.Second
	d := startDeployment(t, map[string]float64{"graceS": 0.2})
	d.startUpstream("other", "d", 0)
	var refusedAt, early, late atomic.Int64
	u := &scriptedUpstream{ran: map[id.Attempt]int{}}
	u.serve = func(conn net.Conn, _ int, attempt id.Attempt) {
		now := time.Now().UnixNano()
		if refusedAt.CompareAndSwap(0, now) {
			_, _ = io.WriteString(conn, standin.RawAnswer{Status: "503 Full", Attempt: attempt, NotRun: true, RetryAfter: "1.0"}.String())
			return
		}
		if now-refusedAt.Load() < int64(quiet) {
			early.Add(1)
		} else {
			late.Add(1)
		}
		_, _ = io.WriteString(conn, served(attempt))
	}
	d.startScripted("quiet", "d", u)
	d.awaitServing()
	for end := time.Now().Add(startTimeout); late.Load() == 0 && time.Now().Before(end); time.Sleep(requestInterval) {
		if got := d.sendAll(10); refusedAt.Load() != 0 && got[http.StatusOK] != 10 {
			t.Errorf("got statuses %v, want all served", got)
		}
	}
	if got := early.Load(); got != 0 {
		t.Errorf("got %d requests in the time for which the upstream wanted none, want none", got)
	}
	if late.Load() == 0 {
		t.Error("got no request after that time, want some")
	}
}

// TestAllQuietIsRefusedAtOnce guards against clients that wait in vain, or come back too
// early, while all upstreams of a service want no requests.
func TestAllQuietIsRefusedAtOnce(t *testing.T) {
	d := startDeployment(t, map[string]float64{"graceS": 0.2})
	var refusing atomic.Bool
	for _, name := range []id.Upstream{"u-1", "u-2"} {
		u := &scriptedUpstream{ran: map[id.Attempt]int{}}
		u.serve = func(conn net.Conn, _ int, attempt id.Attempt) {
			if !refusing.Load() {
				_, _ = io.WriteString(conn, served(attempt))
				return
			}
			_, _ = io.WriteString(conn, standin.RawAnswer{Status: "503 Full", Attempt: attempt, NotRun: true, RetryAfter: "2"}.String())
		}
		d.startScripted(name, "d", u)
	}
	d.awaitServing()
	refusing.Store(true)
	d.sendAll(6)
	started := time.Now()
	status, retryAfter := d.ask("/look/1", "a")
	if got, want := status, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got := time.Since(started); got > 500*time.Millisecond {
		t.Errorf("got the refusal after %v, want it at once", got)
	}
	if retryAfter < time.Second || retryAfter > 3*time.Second {
		t.Errorf("got a retry after %v, want it when an upstream takes requests, in about 2 s", retryAfter)
	}
}
