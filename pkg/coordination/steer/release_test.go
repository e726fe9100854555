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

// TestClientsThatLeaveCountAgainstASlowRelease guards against a release that is never
// found bad because clients give up just before the deadline at the host. Clients wait
// for 700 ms, less than the route's 800 ms.
func TestClientsThatLeaveCountAgainstASlowRelease(t *testing.T) {
	const learned, requests = 600, 40
	var out strings.Builder
	for _, c := range []struct {
		name string
		// usual is the latency of the old release, left how long clients wait for the new one.
		usual, left time.Duration
	}{
		{"after their whole time, below the slow latency", 300 * time.Millisecond, 695 * time.Millisecond},
		{"after their whole time, above the slow latency", 100 * time.Millisecond, 695 * time.Millisecond},
		{"early, above the slow latency", 20 * time.Millisecond, 400 * time.Millisecond},
		{"early, below the slow latency", 300 * time.Millisecond, 400 * time.Millisecond},
	} {
		f := newFixture()
		f.sender.latency = c.usual
		asked := 0
		ask := func(ctx context.Context) {
			r := f.request("/swap/1", "k")
			r.Remaining = 700 * time.Millisecond
			// Each object twice, so that the latencies of known and unknown ones are learned.
			asked++
			r.Object = id.Object(fmt.Sprint(asked / 2))
			f.Serve(ctx, r)
			f.clock.Advance(time.Second)
		}
		for range learned {
			ask(context.Background())
		}
		f.startRollout("viewer")
		ctx, cancel := context.WithCancel(context.Background())
		f.sender.resultOf = func(u *place.Upstream) Result {
			if u.Info.Release == "v1" {
				return Answered
			}
			f.clock.Advance(c.left - c.usual)
			cancel()
			return NoAnswer
		}
		for range requests {
			ask(ctx)
			ctx, cancel = context.WithCancel(context.Background())
		}
		cancel()
		got := f.Recorder.Counts()[release.RouteRelease{Service: "viewer", Release: "v2", Route: "swap"}]
		fmt.Fprintf(&out, "%-47s %d requests, %d failed, %d slow\n", c.name, got.Requests, got.Failed, got.Slow)
	}
	golden.Check(t, "abandoned_counts.golden", []byte(out.String()))
}

// TestRefusalsCountAgainstARelease guards against a release that is never found bad because
// none of its answers counts: those that are no success, from cold upstreams as well, those
// that are broken off, and requests that it does not take.
func TestRefusalsCountAgainstARelease(t *testing.T) {
	const requests = 40
	var out strings.Builder
	for _, c := range []struct {
		name     string
		exchange Exchange[string]
		cold     bool
		broken   bool
	}{
		{"answered", Exchange[string]{}, false, false},
		{"rejected", Exchange[string]{Rejected: true}, false, false},
		{"rejected by cold upstreams", Exchange[string]{Rejected: true}, true, false},
		{"broken off", Exchange[string]{}, false, true},
		{"not run", Exchange[string]{Result: Shed}, false, false},
		{"not run by cold upstreams", Exchange[string]{Result: Shed}, true, false},
		{"connection refused", Exchange[string]{Result: NotSent}, false, false},
		{"another upstream", Exchange[string]{Result: Misdirected}, false, false},
	} {
		f := newFixture()
		f.startRollout("viewer")
		f.sender.change = func(p SendParams, e *Exchange[string]) {
			if p.Upstream.Info.Release != "v2" {
				return
			}
			if c.cold {
				p.Upstream.SetCold(f.clock.Now().Add(time.Minute), 1000)
			}
			if c.broken {
				p.Broken()
			}
			e.Result, e.Rejected = c.exchange.Result, c.exchange.Rejected
		}
		for range requests {
			f.Serve(context.Background(), f.request("/swap/1", "k"))
			f.clock.Advance(time.Second)
		}
		got := f.Recorder.Counts()[release.RouteRelease{Service: "viewer", Release: "v2", Route: "swap"}]
		fmt.Fprintf(&out, "%-26s %d requests, %d failed, %d rejected, %d turned away\n", c.name, got.Requests, got.Failed, got.Rejected, got.TurnedAway)
	}
	golden.Check(t, "refusal_counts.golden", []byte(out.String()))
}
