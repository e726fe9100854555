package pick

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

const now = clock.Instant(time.Hour)

func workers(n, slots int) []fleet.Upstream {
	var out []fleet.Upstream
	for i := range n {
		out = append(out, fleet.Upstream{
			ID: id.Upstream(fmt.Sprint("w", i)), Service: "s", Region: id.Region(fmt.Sprint("r", i%2)),
			Address: "127.0.0.1:1", Slots: slots, State: fleet.UpstreamLive,
		})
	}
	return out
}

// TestSlotsAreNeverExceeded picks from several threads.
func TestSlotsAreNeverExceeded(t *testing.T) {
	p := New(release.NewSplits())
	p.Update(workers(4, 3))
	var picked atomic.Int64
	var threads sync.WaitGroup
	for range 8 {
		threads.Go(func() {
			for range 10 {
				if _, verdict := p.Pick("s", "r0", nil, now); verdict == Picked {
					picked.Add(1)
				}
			}
		})
	}
	threads.Wait()
	if got, want := picked.Load(), int64(12); got != want {
		t.Errorf("got %d slots taken, want %d", got, want)
	}
}

func TestWorkersThatAreAvoided(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(*Picker, *Upstream)
		after time.Duration
		want  Status
	}{
		{"healthy", func(*Picker, *Upstream) {}, 0, Picked},
		{"draining by its own word", func(_ *Picker, w *Upstream) { w.MarkDraining() }, time.Hour, Busy},
		{"draining by its report", func(_ *Picker, w *Upstream) { w.Report(0, true, now) }, time.Hour, Busy},
		{"leaving by the list", func(p *Picker, _ *Upstream) {
			list := workers(1, 1)
			list[0].State = fleet.UpstreamLeaving
			p.Update(list)
		}, time.Hour, Busy},
		{"shedding", func(_ *Picker, w *Upstream) { w.RecordShed(time.Second, now) }, time.Second - 1, Busy},
		{"shed before", func(_ *Picker, w *Upstream) { w.RecordShed(time.Second, now) }, time.Second, Picked},
		{"failing although its report is good", func(_ *Picker, w *Upstream) {
			w.RecordFailure(now)
			w.Report(0, false, now)
		}, failurePause - 1, Busy},
		{"failed before", func(_ *Picker, w *Upstream) { w.RecordFailure(now) }, failurePause, Picked},
		{"gone from the list", func(p *Picker, _ *Upstream) { p.Update(nil) }, 0, NoUpstream},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(release.NewSplits())
			p.Update(workers(1, 1))
			c.spoil(p, p.Upstreams()[0])
			if _, got := p.Pick("s", "r0", nil, now.Add(c.after)); got != c.want {
				t.Errorf("got verdict %d, want %d", got, c.want)
			}
		})
	}
}

func TestTriedWorkersAreNotPickedAgain(t *testing.T) {
	p := New(release.NewSplits())
	p.Update(workers(3, 1))
	var tried []*Upstream
	for range 3 {
		w, verdict := p.Pick("s", "r0", tried, now)
		if verdict != Picked {
			t.Fatalf("got verdict %d, want a worker that was not tried", verdict)
		}
		tried = append(tried, w)
		w.Done()
	}
	if _, verdict := p.Pick("s", "r0", tried, now); verdict != Busy {
		t.Errorf("got verdict %d after all were tried, want busy", verdict)
	}
}

func TestOwnRegionGoesFirst(t *testing.T) {
	p := New(release.NewSplits())
	p.Update(workers(4, 2))
	for n := range 8 {
		w, _ := p.Pick("s", "r1", nil, now)
		if inRegion := w.Info.Region == "r1"; inRegion != (n < 4) {
			t.Errorf("pick %d: got a worker of %s, want the four slots of r1 first", n, w.Info.Region)
		}
	}
}

// TestCountsOutliveTheList holds that requests under way still count after the
// list has been read again.
func TestCountsOutliveTheList(t *testing.T) {
	p := New(release.NewSplits())
	p.Update(workers(1, 2))
	w, _ := p.Pick("s", "r0", nil, now)
	changed := workers(1, 1)
	p.Update(changed)
	if _, verdict := p.Pick("s", "r0", nil, now); verdict != Busy {
		t.Error("got a slot although the one slot is taken, want busy")
	}
	w.Done()
	if _, verdict := p.Pick("s", "r0", nil, now); verdict != Picked {
		t.Error("got no slot after the request has ended, want one")
	}
}
