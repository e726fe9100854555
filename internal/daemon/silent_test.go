package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"celerypin.example/celerypin/internal/faultnet"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// TestSilentConnectionsToUpstreams makes all open connections to the upstreams silent at
// once, and checks that all requests are still served in time: reads are retried on new
// connections, and swaps never use a pooled one.
func TestSilentConnectionsToUpstreams(t *testing.T) {
	d := newDeployment(t, 1)
	var relays []*faultnet.Relay
	for _, c := range []struct {
		upstream id.Upstream
		service  id.Service
	}{{"reads-1", "reads"}, {"swaps-1", "swaps"}} {
		relay, err := faultnet.New(d.workers[c.upstream].Address())
		if err != nil {
			t.Fatal(err)
		}
		defer relay.Close()
		relays = append(relays, relay)
		d.registerUpstream(fleet.Upstream{ID: c.upstream, Service: c.service, Release: "v1", Region: "r0", Address: relay.Address(), Slots: 64, State: fleet.UpstreamLive})
	}
	d.eventually("requests to pass through the relays", func() bool {
		d.request(0, http.MethodGet, "/read/x", nil, nil)
		d.post(0, "/once/x", fmt.Sprint("warm-", relays[0].Accepted(), relays[1].Accepted()), "x")
		return relays[0].Accepted() > 0 && relays[1].Accepted() > 0
	})
	d.sendBurst(t, 20)
	for _, relay := range relays {
		relay.Blackhole()
	}
	if failed := d.sendBurst(t, 20); failed != 0 {
		t.Errorf("got %d of 40 requests not served after all connections went silent, want none", failed)
	}
}

// sendBurst sends n reads and n swaps concurrently, and returns how many were not served.
func (d *deployment) sendBurst(t *testing.T, n int) int {
	t.Helper()
	var mu sync.Mutex
	failed := 0
	var work sync.WaitGroup
	count := func(got answer) {
		mu.Lock()
		defer mu.Unlock()
		if got.err != nil || got.StatusCode != http.StatusOK {
			failed++
		}
	}
	before := d.totalExecutions()
	for i := range n {
		work.Go(func() { count(d.request(0, http.MethodGet, "/read/x", nil, nil)) })
		work.Go(func() {
			header := http.Header{"Request-Id": {fmt.Sprint("burst-", before, "-", i)}}
			count(d.request(0, http.MethodPost, "/once/x", header, strings.NewReader("x")))
		})
	}
	work.Wait()
	return failed
}
