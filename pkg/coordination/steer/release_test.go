package steer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// startRollout replaces the upstreams by six of each of two releases of a service, of
// which the new one gets half of the requests.
func (f *fixture) startRollout(service id.Service) {
	var list []place.Listing
	for _, name := range []id.Release{"v1", "v2"} {
		for i := range 6 {
			list = append(list, place.Listing{Info: fleet.Upstream{
				ID: id.Upstream(fmt.Sprintf("%s-%s-%d", service, name, i)), Service: service, Release: name, Region: "a", FailureDomain: "a",
				Address: fmt.Sprint(name, i), Slots: 4, State: fleet.UpstreamLive,
			}})
		}
	}
	f.Placer.Update(list, map[id.Region]float64{"a": 0.5, "b": 0.5}, f.clock.Now())
	f.Splits.Set([]table.ReleaseChange{{
		Service: service, Old: "v1", New: "v2", Share: table.Whole / 2, State: table.ReleaseGrowing, Deadline: config.Duration(time.Minute),
	}}, func(release.ID) bool { return false })
}

// TestReleaseThatRunsIntoTheTimeoutIsSlow guards against a release that is never found
// bad because the route's timeout, 800 ms, ends its requests before they exceed three
// times the usual latency, 300 ms.
func TestReleaseThatRunsIntoTheTimeoutIsSlow(t *testing.T) {
	// The usual latency is a mean over some hundred requests.
	const learned, requests = 600, 40
	var out strings.Builder
	for _, path := range []string{"/look/1", "/swap/1", "/photo/1"} {
		for _, c := range []struct {
			name   string
			result Result
		}{{"answered", Answered}, {"upstream gives up", AnsweredTimeout}, {"no answer", NoAnswer}, {"answered that it failed", AnsweredFailure}, {"not run", Shed}} {
			f := newFixture()
			f.sender.latency = 300 * time.Millisecond
			for range learned {
				f.Serve(context.Background(), f.request(path, "k"))
				f.clock.Advance(time.Second)
			}
			f.startRollout("viewer")
			f.sender.resultOf = func(u *place.Upstream) Result {
				if u.Info.Release == "v2" {
					return c.result
				}
				return Answered
			}
			for range requests {
				f.Serve(context.Background(), f.request(path, "k"))
				f.clock.Advance(time.Second)
			}
			route := id.Route(strings.Split(path, "/")[1])
			got := f.Recorder.Counts()[release.RouteRelease{Service: "viewer", Release: "v2", Route: route}]
			fmt.Fprintf(&out, "%-6s %-24s %d requests, %d failed, %d slow\n", route, c.name, got.Requests, got.Failed, got.Slow)
		}
	}
	golden.Check(t, "release_counts.golden", []byte(out.String()))
}
