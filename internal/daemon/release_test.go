package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	protocol "celerypin.example/celerypin/internal/protocol/operator"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/table"
)

// TestFailingReleaseRetreats starts a release that fails every request, and checks over
// real connections that both hosts take it back and that its upstream receives no more
// requests.
func TestFailingReleaseRetreats(t *testing.T) {
	d := newDeployment(t, 2)
	d.startWorker(settings.Worker{ID: "reads-2", Service: "reads", Release: "v2", Region: "r0", FailureDomain: "r0-a", Listen: "127.0.0.1:0", Slots: 64})
	failing := d.workers["reads-2"]
	failing.SetKnobs(upstream.Knobs{FailPercent: 100})
	start := protocol.ReleaseStart{Service: "reads", Old: "v1", New: "v2", Deadline: config.Duration(10 * time.Second)}
	if _, err := operator.Send[protocol.ReleaseStart, protocol.ReleaseEntry](context.Background(), d.operator(0), http.MethodPost, protocol.ReleasesPath, start); err != nil {
		t.Fatal(err)
	}
	d.eventually("the failing release to be taken back", func() bool {
		for range 20 {
			d.request(0, http.MethodGet, "/read/x", nil, nil)
			d.request(1, http.MethodGet, "/read/x", nil, nil)
		}
		return d.releaseState(0) == table.ReleaseRetreated && d.releaseState(1) == table.ReleaseRetreated
	})
	before := len(failing.Journal())
	for range 200 {
		if got := d.request(1, http.MethodGet, "/read/x", nil, nil); got.StatusCode != http.StatusOK {
			t.Fatalf("got status %d after the retreat, want 200", got.StatusCode)
		}
	}
	if got := len(failing.Journal()) - before; got != 0 {
		t.Errorf("got %d requests at the failing release after its retreat, want none", got)
	}
	if _, err := operator.Send[protocol.ReleaseStart, protocol.ReleaseEntry](context.Background(), d.operator(0), http.MethodPost, protocol.ReleasesPath, start); err == nil {
		t.Error("got a retreated release started again, want it refused")
	}
}

func (d *deployment) releaseState(n int) table.ReleaseState {
	list, err := operator.Get[protocol.ReleaseList](context.Background(), d.operator(n), protocol.ReleasesPath)
	if err != nil || len(list.Releases) != 1 {
		return ""
	}
	return list.Releases[0].Release.State
}
