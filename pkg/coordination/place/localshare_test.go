package place

import (
	"fmt"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// TestRegionShiftIsBounded fails if the part of the requests that run in another
// region grows by more than the bound from one window of two seconds to the next.
// From the fifth window on, the own region's upstreams report that they are full and
// have a queue, so that requests must move in the end.
func TestRegionShiftIsBounded(t *testing.T) {
	const bound = 0.15
	c := clock.NewFake()
	p := New("a", "a1", bound, DefaultPolicy())
	p.Update(upstreams(3, "a1", "b1"), map[id.Region]float64{"a": 0.5, "b": 0.5}, c.Now())
	var movedShare []float64
	for window := range 12 {
		moved, all := 0, 0
		for i := range 400 {
			if window >= 4 && i%20 == 0 {
				for _, u := range p.Upstreams() {
					if u.Info.Region == "a" {
						u.RecordReport(u.Info.Slots, 1, c.Now())
					}
				}
			}
			if choice, status := p.Choose(newQuery(id.Object(fmt.Sprint(i%50))), c.Now()); status == Chosen {
				all++
				if choice.Upstream.Info.Region != "a" {
					moved++
				}
				choice.Done()
			}
			c.Advance(5 * time.Millisecond)
		}
		if all > 0 {
			movedShare = append(movedShare, float64(moved)/float64(all))
		}
	}
	for i := 1; i < len(movedShare); i++ {
		if got := movedShare[i] - movedShare[i-1]; got > bound {
			t.Errorf("window %d: got %.2f of the requests moved, want at most %.2f: %.2f", i, got, bound, movedShare)
		}
	}
	if got := movedShare[len(movedShare)-1]; got < 0.1 {
		t.Errorf("got %.2f of the requests moved in the last window, want some: %.2f", got, movedShare)
	}
}

// TestRegionWithoutUpstreamsIsAvoidedAtOnce checks that the bound on moved requests
// does not apply if all upstreams of the own region are leaving.
func TestRegionWithoutUpstreamsIsAvoidedAtOnce(t *testing.T) {
	c := clock.NewFake()
	p := New("a", "a1", 0.15, DefaultPolicy())
	list := upstreams(2, "a1", "b1")
	p.Update(list, map[id.Region]float64{"a": 0.5, "b": 0.5}, c.Now())
	for i := range list {
		if list[i].Info.Region == "a" {
			list[i].Info.State = fleet.UpstreamDraining
		}
	}
	p.Update(list, map[id.Region]float64{"a": 0.5, "b": 0.5}, c.Now())
	for i := range 20 {
		choice, status := p.Choose(newQuery(id.Object(fmt.Sprint(i))), c.Now())
		if status != Chosen || choice.Upstream.Info.Region != "b" {
			t.Fatalf("object %d: got status %v, want an upstream of the other region", i, status)
		}
		choice.Done()
	}
}
