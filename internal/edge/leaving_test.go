package edge

import (
	"fmt"
	"io"
	"net"
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
