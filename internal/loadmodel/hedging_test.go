package loadmodel

import (
	"bytes"
	"context"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// TestHedgedRunsAreEqualAndWithinTheirBound guards against runs with copies that depend on
// anything but their seed, and against more copies than the bound allows.
func TestHedgedRunsAreEqualAndWithinTheirBound(t *testing.T) {
	p, err := PatternByName("heavy_runs")
	if err != nil {
		t.Fatal(err)
	}
	p.WarmUp, p.Duration = 25*time.Second, 10*time.Second
	const bound = 0.05
	a, b := run(p, Policies()[0], bound, 1).withSummary(), run(p, Policies()[0], bound, 1).withSummary()
	if !reflect.DeepEqual(a, b) {
		t.Errorf("got %+v and %+v, want the same", a, b)
	}
	hosts := regions * domainsPerRegion * hostsPerDomain
	if allowed := bound*float64(a.Requests) + float64(hosts*len(groups)); a.copies == 0 || a.copiesWon == 0 || float64(a.copies) > allowed {
		t.Errorf("got %d copies, %d of them used, want some of each and at most %.0f", a.copies, a.copiesWon, allowed)
	}
}

// TestCancelledJobsGiveTheirSlotBack guards against simulated upstreams that go on with
// cancelled work to its end, or whose cancelled requests wait in the queue.
func TestCancelledJobsGiveTheirSlotBack(t *testing.T) {
	s := newSimulation()
	u := &upstream{sim: s, rng: rand.New(rand.NewPCG(1, 1)), info: fleet.Upstream{ID: "u", Slots: 1}, maxQueue: 1, warm: map[id.Object]clock.Instant{}, maxWarm: 1, slowdown: 100}
	send := &sender{&model{simulation: s, byID: map[id.Upstream]*upstream{"u": u}}, &entryHost{}}
	start, ended := s.now, []time.Duration{}
	ctx, cancel := s.WithCancel(context.Background())
	waiting, cancelWaiting := s.WithCancel(context.Background())
	for _, c := range []context.Context{ctx, waiting} {
		s.spawn(func() {
			e := send.Send(c, &steer.Request{Path: "/check/"}, steer.SendParams{Upstream: &place.Upstream{Info: u.info}, Remaining: time.Minute})
			if e.Result != steer.NoAnswer {
				t.Errorf("got result %v, want no answer", e.Result)
			}
			ended = append(ended, s.now.Sub(start))
		})
	}
	s.after(time.Second, func() {
		cancel(context.Canceled)
		cancelWaiting(context.Canceled)
	})
	s.run(start.Add(time.Second + cancelledRunTime - 1))
	if len(ended) != 2 || ended[0] != time.Second || ended[1] != time.Second || len(u.queue) != 0 || u.running != 1 {
		t.Errorf("got callers released after %v, %d waiting, %d running, want all after 1s, 0 and 1", ended, len(u.queue), u.running)
	}
	s.run(start.Add(time.Second + cancelledRunTime))
	if u.running != 0 {
		t.Errorf("got %d running after the time for cancelled work, want none", u.running)
	}
}

// TestHedgeTableAndPlot compares the table of a fixed comparison with its golden file, and
// checks that the plot has a line for each quantile.
func TestHedgeTableAndPlot(t *testing.T) {
	c := HedgeComparison{Pattern: "heavy_runs", Policy: "default", Seeds: []uint64{1, 2}, Bounds: []BoundRuns{
		{Requests: 1000, P50: 100, P99: 900, P999: 1800, SlotTime: 1, Unserved: 3, Earned: 0.8},
		{Fraction: 0.05, Requests: 1001, P50: 101, P99: 500, P999: 1200, Copies: 0.031, Won: 0.6, SlotTime: 1.02, Unserved: 2, Earned: 0.82,
			Suppressed: map[hedge.Reason]int{hedge.ReasonFraction: 7, hedge.ReasonTooSlow: 12}},
	}}
	var text, plot bytes.Buffer
	if err := c.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "hedging.golden", text.Bytes())
	if err := c.WriteSVG(&plot); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "p50", "p99", "p99.9"} {
		if !strings.Contains(plot.String(), want) {
			t.Errorf("got a plot without %q", want)
		}
	}
}
