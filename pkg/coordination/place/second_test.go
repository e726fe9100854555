package place

import (
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

var testNow = clock.NewFake().Now()

// TestSecondCopyGoesOnlyWhereItIsServedAtOnce guards against second copies that wait, that
// go to upstreams which want or may get no requests, or that leave the allowed regions.
func TestSecondCopyGoesOnlyWhereItIsServedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// change changes the only upstream besides that of the first copy.
		change func(q *Query, l *Listing, u *Upstream)
		want   bool
	}{
		{"usable", func(*Query, *Listing, *Upstream) {}, true},
		{"without a free slot", func(_ *Query, _ *Listing, u *Upstream) { u.inFlight.Store(4) }, false},
		{"with others' requests in all slots", func(_ *Query, _ *Listing, u *Upstream) { u.RecordReport(4, 0, testNow) }, false},
		{"leaving", func(_ *Query, _ *Listing, u *Upstream) { u.MarkDraining() }, false},
		{"quiet", func(_ *Query, _ *Listing, u *Upstream) { u.RecordQuiet(testNow.Add(time.Second)) }, false},
		{"after a failure", func(_ *Query, _ *Listing, u *Upstream) { u.RecordFailure(testNow) }, false},
		{"cold", func(_ *Query, _ *Listing, u *Upstream) { u.SetCold(testNow.Add(time.Second), 100) }, false},
		{"not listed as live", func(_ *Query, l *Listing, _ *Upstream) { l.Info.State = fleet.UpstreamDraining }, false},
		{"of another release", func(_ *Query, l *Listing, _ *Upstream) { l.Info.Release = "next" }, false},
		{"in a third region", func(_ *Query, l *Listing, _ *Upstream) { l.Info.Region = "c" }, false},
		{"in a region that is no home", func(q *Query, _ *Listing, _ *Upstream) { q.HasHomes, q.Homes = true, []id.Region{"b"} }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := append(upstreams(1, "a1"), upstreams(1, "b1")...)
			p := newPlacer(testNow, list)
			byRegion := map[id.Region]*Upstream{}
			for _, u := range p.Upstreams() {
				byRegion[u.Info.Region] = u
			}
			q := newQuery("x")
			c.change(q, &list[0], byRegion["a"])
			if list[0].ColdUntil == 0 && !byRegion["a"].Cold(testNow) {
				p.Update(list, nil, testNow)
			}
			q.Tried = []*Upstream{byRegion["b"]}
			choice, room := p.ChooseSecond(q, &Choice{Upstream: byRegion["b"]}, testNow)
			if got := choice != nil; got != c.want {
				t.Fatalf("got %v, want chosen %v", choice, c.want)
			}
			if choice == nil {
				return
			}
			if got := choice.Upstream.InFlight(); got != 1 || room != (Room{Slots: 4, Free: 4}) {
				t.Errorf("got %d in flight, room %+v, want one slot taken of four that were free", got, room)
			}
			choice.Done()
		})
	}
}

// TestCancelledRunAtStatedPaceIsNotSlow guards against a stated pace that also counts as
// observed slowness, once an exchange that is as slow as stated is cancelled.
func TestCancelledRunAtStatedPaceIsNotSlow(t *testing.T) {
	const statedPace = Pace(2.5)
	p := newPlacer(testNow, upstreams(1, "a1"))
	u := p.Upstreams()[0]
	u.RecordPace(statedPace, testNow)
	choice, status := p.Choose(newQuery("x"), testNow)
	if status != Chosen {
		t.Fatalf("got %v, want an upstream", status)
	}
	defer choice.Done()
	elapsed := choice.Expected() * 21 / 20
	end := testNow.Add(elapsed)
	u.RecordPace(statedPace, end)
	choice.RecordAtLeast(elapsed, end)
	if got := u.observedSlowness(end); got < 1 || got > 1.05 {
		t.Errorf("got an observed slowness of %.3f, want about 1", got)
	}
	// One that is slower than stated still counts.
	choice.RecordAtLeast(4*elapsed, end)
	if got := u.observedSlowness(end); got < 1.1 {
		t.Errorf("got an observed slowness of %.3f, want more than 1.1", got)
	}
}
