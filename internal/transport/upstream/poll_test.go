package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
)

// TestReportOfALaterUpstream guards against a host that goes on sending requests to an
// upstream that drains, because the upstream's report has a field more than known.
func TestReportOfALaterUpstream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"upstream":"u","release":"v2","busy":3,"slots":4,"draining":true,"pace":{"percent":250}}`))
	}))
	defer server.Close()
	p := pick.New(release.NewSplits())
	address := strings.TrimPrefix(server.URL, "http://")
	p.Update([]fleet.Upstream{{ID: "u", Service: "s", Region: "r", Address: address, Slots: 4, State: fleet.UpstreamLive}})
	u := p.Upstreams()[0]
	NewPoller(p, clock.System{}).poll(context.Background(), u)
	if u.Usable(clock.System{}.Now()) {
		t.Error("got a usable upstream, want it draining as it reports")
	}
}
