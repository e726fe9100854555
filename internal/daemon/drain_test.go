package daemon

import (
	"net/http"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/pkg/state/fleet"
)

// TestPromiseLeavingUpstreamGetsNoNewWork drains one of two upstreams while only one
// source reports it, and checks that every request is served and that the draining
// upstream soon receives no more requests. It logs how long that took.
func TestPromiseLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		drain func(*deployment, settings.Worker)
	}{
		{"by its own answers, with a false load report", func(d *deployment, s settings.Worker) {
			d.workers[s.ID].SetKnobs(upstream.Knobs{Draining: true, Mislead: true})
		}},
		{"by its report", func(d *deployment, s settings.Worker) { d.workers[s.ID].SetKnobs(upstream.Knobs{Draining: true}) }},
		{"by the list alone", func(d *deployment, s settings.Worker) {
			leaving := s.Upstream(d.workers[s.ID].Address())
			leaving.State = fleet.UpstreamDraining
			d.registerUpstream(leaving)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t, 2)
			s := settings.Worker{ID: "reads-2", Service: "reads", Release: "v1", Region: "r0", FailureDomain: "r0-a", Listen: "127.0.0.1:0", Slots: 64}
			d.startWorker(s)
			w := d.workers[s.ID]
			d.eventually("the upstream to receive requests", func() bool { return d.sendReads(t, 10) == 10 && len(w.Journal()) > 0 })
			c.drain(d, s)
			start := time.Now()
			d.eventually("the upstream to receive no new requests", func() bool {
				before := len(w.Journal())
				if got := d.sendReads(t, 60); got != 60 {
					t.Fatalf("got %d of 60 requests served while an upstream drains, want all", got)
				}
				return len(w.Journal()) == before
			})
			t.Logf("no new requests %v after the upstream began to drain", time.Since(start).Round(time.Millisecond))
			before := len(w.Journal())
			d.sendReads(t, 200)
			if got := len(w.Journal()) - before; got != 0 {
				t.Errorf("got %d more requests at the drained upstream, want none", got)
			}
		})
	}
}

// sendReads sends n reads, to each host in turn, and returns how many were served.
func (d *deployment) sendReads(t *testing.T, n int) int {
	t.Helper()
	served := 0
	for i := range n {
		if got := d.request(i%len(d.hosts), http.MethodGet, "/read/x", nil, nil); got.StatusCode == http.StatusOK {
			served++
		}
	}
	return served
}
