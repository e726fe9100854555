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

// releaseDeadline is the time in which a good release should carry the traffic.
const releaseDeadline = 2 * time.Minute

// behaviour tells how a release does: whether a request fails and how long it takes.
type behaviour func(f *simFleet, r *releaseRun, route id.Route) (failed bool, latency time.Duration)

const usualLatency = 10 * time.Millisecond

func healthy(f *simFleet, _ *releaseRun, _ id.Route) (bool, time.Duration) {
	return f.rng.IntN(1000) < 3, time.Duration(f.rng.ExpFloat64() * float64(usualLatency))
}

// worseWhen is healthy, but fails or slows down in a part of the requests, in
// percent, when a condition holds.
func worseWhen(percent int, slow bool, when func(f *simFleet, r *releaseRun, route id.Route) bool) behaviour {
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

// releaseRun drives the requests of one service through a change of release.
type releaseRun struct {
	f       *simFleet
	new     behaviour
	started clock.Instant
	total   int
	toNew   int
	// sentAfter counts requests for the new release after every host knew of the retreat.
	sentAfter int
}

func startRelease(f *simFleet, b behaviour) *releaseRun {
	r := &releaseRun{f: f, new: b, started: f.now}
	rec := table.ReleaseChange{
		Service: "s", Old: "v1", New: "v2", Share: release.FirstShare(table.Whole), State: table.ReleaseGrowing, Deadline: config.Duration(releaseDeadline),
	}
	_, _ = f.table.Commit(context.Background(), table.Txn{Operation: "start", Puts: []table.Row{{Key: table.ReleaseKey("s"), Release: &rec}}})
	r.next()
	return r
}

// next sends one request to a random live host, at 100 requests a second.
func (r *releaseRun) next() {
	f := r.f
	f.at(time.Duration(f.rng.ExpFloat64()*float64(10*time.Millisecond)), func() {
		r.next()
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		if !h.dead && !h.frozen {
			r.send(h)
		}
	})
}

func (r *releaseRun) send(h *simHost) {
	view := h.agent.View()
	route := id.Route([]string{"a", "b", "c"}[r.f.rng.IntN(3)])
	split, ok := view.Splits.Get("s")
	if !ok {
		return
	}
	chosen := split.Next()
	behave := healthy
	r.total++
	if chosen == split.New {
		behave = r.new
		r.toNew++
		if r.retreatedEverywhere() {
			r.sentAfter++
		}
	}
	failed, latency := behave(r.f, r, route)
	life := h.life
	r.f.at(latency, func() {
		r.f.onHost(h, life, func() {
			view.Recorder.Record(release.Subject{Service: "s", Release: chosen, Route: route}, latency, failed)
		})
	})
}

func (r *releaseRun) row() table.ReleaseChange {
	rows, _ := r.f.table.Rows(context.Background(), []table.Key{table.ReleaseKey("s")})
	return *rows[0].Release
}

func (r *releaseRun) retreatedEverywhere() bool {
	return r.f.all(func(h *simHost) bool {
		return h.dead || h.agent.marks.releases.Contains(release.ID{Service: "s", Release: "v2"})
	})
}

// TestMeasureReleases lets good and bad releases through changes over many seeds,
// and holds what became of them in a golden file. The bounds are the promises: a
// good release carries the traffic in time, a bad one is taken back.
func TestMeasureReleases(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	const seeds = 16
	late := func(_ *simFleet, r *releaseRun, _ id.Route) bool { return r.f.now.Sub(r.started) > 40*time.Second }
	cases := []struct {
		name string
		b    behaviour
		bad  bool
	}{
		{"good", healthy, false},
		{"fails always", worseWhen(100, false, always), true},
		{"fails in 30 %", worseWhen(30, false, always), true},
		{"slow in 50 %", worseWhen(50, true, always), true},
		{"fails in 50 % after 40 s", worseWhen(50, false, late), true},
		{"fails in 60 % on one route", worseWhen(60, false, func(_ *simFleet, _ *releaseRun, route id.Route) bool { return route == "b" }), true},
		{"fails in 50 % under load", worseWhen(50, false, func(_ *simFleet, r *releaseRun, _ id.Route) bool { return r.row().Share >= 250 }), true},
	}
	var text strings.Builder
	out := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "release\truns\tdone in time\ttaken back\tmedian until done or back\trequests it got %\tafter all hosts knew")
	for _, c := range cases {
		done, back, toNew, total, after := 0, 0, 0, 0, 0
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
				back++
			}
			toNew, total, after = toNew+r.toNew, total+r.total, after+r.sentAfter
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%v\t%.2f\t%d\n", c.name, seeds, done, back, median(times).Round(100*time.Millisecond), 100*float64(toNew)/float64(total), after)
		if c.bad && back != seeds {
			t.Errorf("%s: got %d of %d taken back, want all", c.name, back, seeds)
		}
		if !c.bad && done != seeds {
			t.Errorf("%s: got %d of %d done in time, want all", c.name, done, seeds)
		}
		if after != 0 {
			t.Errorf("%s: got %d requests for the release after every host knew of its retreat, want none", c.name, after)
		}
	}
	_ = out.Flush()
	golden.Check(t, "releases.golden", []byte(text.String()))
}

// TestPromiseRetreatNeedsNoTable takes a bad release back while the table is
// silent, and after a host has restarted; it never returns.
func TestPromiseRetreatNeedsNoTable(t *testing.T) {
	f := newFleet(2, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(5 * time.Second)
	r := startRelease(f, worseWhen(80, false, always))
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
