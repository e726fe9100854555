package agent

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// releaseDeadline is the time within which a good release should carry all traffic.
const releaseDeadline = 2 * time.Minute

// releaseBehaviour determines whether a request to a release fails and how long it
// takes.
type releaseBehaviour func(f *simFleet, r *releaseRun, route id.Route) (failed bool, latency time.Duration)

const usualLatency = 10 * time.Millisecond

func healthy(f *simFleet, _ *releaseRun, _ id.Route) (bool, time.Duration) {
	return f.rng.IntN(1000) < 3, time.Duration(f.rng.ExpFloat64() * float64(usualLatency))
}

// degradedWhen returns a behaviour that is healthy, except that it fails or delays the
// given percentage of the requests for which a condition holds.
func degradedWhen(percent int, slow bool, when func(f *simFleet, r *releaseRun, route id.Route) bool) releaseBehaviour {
	return func(f *simFleet, r *releaseRun, route id.Route) (bool, time.Duration) {
		failed, latency := healthy(f, r, route)
		if !when(f, r, route) || !f.percent(percent) {
			return failed, latency
		}
		if slow {
			return failed, latency + 10*usualLatency
		}
		return true, latency
	}
}

func always(*simFleet, *releaseRun, id.Route) bool { return true }

// releaseRun drives the requests of one service through a rollout.
type releaseRun struct {
	fleet        *simFleet
	newBehaviour releaseBehaviour
	started      clock.Instant
	// total counts all requests, toNew those to the new release.
	total int
	toNew int
	// sentAfterRetreat counts requests for the new release after every host knew of the
	// retreat.
	sentAfterRetreat int
}

func startRelease(f *simFleet, b releaseBehaviour) *releaseRun {
	r := &releaseRun{fleet: f, newBehaviour: b, started: f.now}
	rec := table.ReleaseChange{
		Service: "s", Old: "v1", New: "v2", Share: release.FirstShare(table.Whole), State: table.ReleaseGrowing, Deadline: config.Duration(releaseDeadline),
	}
	_, _ = f.table.Commit(context.Background(), table.Txn{Operation: "start", Puts: []table.Row{{Key: table.ReleaseKey("s"), Release: &rec}}})
	r.scheduleNext()
	return r
}

// scheduleNext sends one request to a random live host, at 100 requests a second.
func (r *releaseRun) scheduleNext() {
	f := r.fleet
	f.after(time.Duration(f.rng.ExpFloat64()*float64(10*time.Millisecond)), func() {
		r.scheduleNext()
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		if !h.dead && !h.paused {
			r.send(h)
		}
	})
}

func (r *releaseRun) send(h *simHost) {
	view := h.agent.View()
	route := id.Route([]string{"a", "b", "c"}[r.fleet.rng.IntN(3)])
	split, ok := view.Splits.Get("s")
	if !ok {
		return
	}
	chosen := split.Next()
	behaviour := healthy
	r.total++
	if chosen == split.New {
		behaviour = r.newBehaviour
		r.toNew++
		if r.retreatedEverywhere() {
			r.sentAfterRetreat++
		}
	}
	failed, latency := behaviour(r.fleet, r, route)
	process := h.process
	r.fleet.after(latency, func() {
		r.fleet.onHost(h, process, func() {
			outcome := release.Answered
			if failed {
				outcome = release.Failed
			}
			view.Recorder.Record(release.RouteRelease{Service: "s", Release: chosen, Route: route}, latency, outcome)
		})
	})
}

func (r *releaseRun) row() table.ReleaseChange {
	rows, _ := r.fleet.table.Rows(context.Background(), []table.Key{table.ReleaseKey("s")})
	return *rows[0].Release
}

func (r *releaseRun) retreatedEverywhere() bool {
	return r.fleet.allHosts(func(h *simHost) bool {
		return h.dead || h.agent.marks.releases.Contains(release.ID{Service: "s", Release: "v2"})
	})
}

// TestMeasureReleases rolls out good and bad releases with many seeds, and compares the
// results with a golden file. The bounds are: a good release carries all traffic in
// time, and a bad one is taken back.
func TestMeasureReleases(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	const seeds = 16
	late := func(_ *simFleet, r *releaseRun, _ id.Route) bool { return r.fleet.now.Sub(r.started) > 40*time.Second }
	cases := []struct {
		name string
		b    releaseBehaviour
		bad  bool
	}{
		{"good", healthy, false},
		{"fails always", degradedWhen(100, false, always), true},
		{"fails in 30 %", degradedWhen(30, false, always), true},
		{"slow in 50 %", degradedWhen(50, true, always), true},
		{"fails in 50 % after 40 s", degradedWhen(50, false, late), true},
		{"fails in 60 % on one route", degradedWhen(60, false, func(_ *simFleet, _ *releaseRun, route id.Route) bool { return route == "b" }), true},
		{"fails in 50 % under load", degradedWhen(50, false, func(_ *simFleet, r *releaseRun, _ id.Route) bool { return r.row().Share >= 250 }), true},
	}
	var text strings.Builder
	out := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "release\truns\tdone in time\ttaken back\tmedian until done or back\trequests it got %\tafter all hosts knew")
	for _, c := range cases {
		done, takenBack, toNew, total, sentAfterRetreat := 0, 0, 0, 0, 0
		var times []time.Duration
		for seed := range uint64(seeds) {
			f := newFleet(seed, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
			f.run(5 * time.Second)
			r := startRelease(f, c.b)
			for f.now.Sub(r.started) < releaseDeadline && r.row().State == table.ReleaseGrowing {
				f.run(100 * time.Millisecond)
			}
			times = append(times, f.now.Sub(r.started))
			f.run(10 * time.Second)
			switch r.row().State {
			case table.ReleaseDone:
				done++
			case table.ReleaseRetreated:
				takenBack++
			}
			toNew, total, sentAfterRetreat = toNew+r.toNew, total+r.total, sentAfterRetreat+r.sentAfterRetreat
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%v\t%.2f\t%d\n", c.name, seeds, done, takenBack, median(times).Round(100*time.Millisecond), 100*float64(toNew)/float64(total), sentAfterRetreat)
		if c.bad && takenBack != seeds {
			t.Errorf("%s: got %d of %d taken back, want all", c.name, takenBack, seeds)
		}
		if !c.bad && done != seeds {
			t.Errorf("%s: got %d of %d done in time, want all", c.name, done, seeds)
		}
		if sentAfterRetreat != 0 {
			t.Errorf("%s: got %d requests for the release after every host knew of its retreat, want none", c.name, sentAfterRetreat)
		}
	}
	_ = out.Flush()
	golden.Check(t, "releases.golden", []byte(text.String()))
}

// TestPromiseRetreatNeedsNoTable checks that a bad release is taken back while the
// table is silent, and gets no request after that, also when a host restarts.
func TestPromiseRetreatNeedsNoTable(t *testing.T) {
	f := newFleet(2, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(5 * time.Second)
	r := startRelease(f, degradedWhen(80, false, always))
	f.run(2 * time.Second)
	f.store.mode = storeSilent
	f.run(60 * time.Second)
	if !r.retreatedEverywhere() {
		t.Fatal("got the release not taken back on all hosts while the table is silent, want it taken back")
	}
	f.start(f.hosts[3])
	before := r.toNew
	f.run(20 * time.Second)
	f.store.mode = storeUp
	f.run(20 * time.Second)
	if got := r.toNew - before; got != 0 {
		t.Errorf("got %d requests for a release that was taken back, want none", got)
	}
	if got := r.row(); got.State != table.ReleaseRetreated || got.Reason == "" {
		t.Errorf("got state %s for reason %q in the table, want it recorded as retreated with a reason", got.State, got.Reason)
	}
}
