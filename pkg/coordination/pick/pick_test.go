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

// upstreams returns n live upstreams of service s, alternately in regions r0 and r1.
func upstreams(n, slots int) []fleet.Upstream {
	var out []fleet.Upstream
	for i := range n {
		out = append(out, fleet.Upstream{
			ID: id.Upstream(fmt.Sprint("w", i)), Service: "s", Region: id.Region(fmt.Sprint("r", i%2)),
			Address: "127.0.0.1:1", Slots: slots, State: fleet.UpstreamLive,
		})
	}
	return out
}

// TestSlotsAreNotExceeded picks from several goroutines at once, more often than
// there are slots.
func TestSlotsAreNotExceeded(t *testing.T) {
	p := New(release.NewSplits())
	p.Update(upstreams(4, 3))
	var picked atomic.Int64
	var pickers sync.WaitGroup
	for range 8 {
		pickers.Go(func() {
			for range 10 {
				if _, status := p.Pick("s", "r0", nil, now); status == Picked {
					picked.Add(1)
				}
			}
		})
	}
	pickers.Wait()
	if got, want := picked.Load(), int64(12); got != want {
		t.Errorf("got %d slots taken, want %d", got, want)
	}
}

func TestUnavailableUpstreamsAreAvoided(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Picker, *Upstream)
		after  time.Duration
		want   Status
	}{
		{"healthy", func(*Picker, *Upstream) {}, 0, Picked},
		{"marked as draining", func(_ *Picker, u *Upstream) { u.MarkDraining() }, time.Hour, Busy},
		{"reports that it is draining", func(_ *Picker, u *Upstream) { u.RecordReport(0, true, now) }, time.Hour, Busy},
		{"listed as leaving", func(p *Picker, _ *Upstream) {
			list := upstreams(1, 1)
			list[0].State = fleet.UpstreamDraining
			p.Update(list)
		}, time.Hour, Busy},
		{"shedding", func(_ *Picker, u *Upstream) { u.RecordShed(time.Second, now) }, time.Second - 1, Busy},
		{"shed, backoff ended", func(_ *Picker, u *Upstream) { u.RecordShed(time.Second, now) }, time.Second, Picked},
		{"failing despite a good report", func(_ *Picker, u *Upstream) {
			u.RecordFailure(now)
			u.RecordReport(0, false, now)
		}, failureBackoff - 1, Busy},
		{"failed, backoff ended", func(_ *Picker, u *Upstream) { u.RecordFailure(now) }, failureBackoff, Picked},
		{"not listed", func(p *Picker, _ *Upstream) { p.Update(nil) }, 0, NoUpstream},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(release.NewSplits())
			p.Update(upstreams(1, 1))
			c.change(p, p.Upstreams()[0])
			if _, got := p.Pick("s", "r0", nil, now.Add(c.after)); got != c.want {
				t.Errorf("got status %d, want %d", got, c.want)
			}
		})
	}
}

func TestTriedUpstreamsAreNotPickedAgain(t *testing.T) {
	p := New(release.NewSplits())
	p.Update(upstreams(3, 1))
	var tried []*Upstream
	for range 3 {
		u, status := p.Pick("s", "r0", tried, now)
		if status != Picked {
			t.Fatalf("got status %d, want an upstream that was not tried", status)
		}
		tried = append(tried, u)
		u.Done()
	}
	if _, status := p.Pick("s", "r0", tried, now); status != Busy {
		t.Errorf("got status %d after all were tried, want busy", status)
	}
}

// TestOwnRegionIsPreferred takes all slots; two of the four upstreams, with two slots
// each, are in the own region.
func TestOwnRegionIsPreferred(t *testing.T) {
	p := New(release.NewSplits())
	p.Update(upstreams(4, 2))
	for n := range 8 {
		u, _ := p.Pick("s", "r1", nil, now)
		if inRegion := u.Info.Region == "r1"; inRegion != (n < 4) {
			t.Errorf("pick %d: got an upstream of %s, want the four slots of r1 first", n, u.Info.Region)
		}
	}
}

// TestCountsSurviveUpdate checks that a request in flight still counts after the
// upstream has been listed with fewer slots.
func TestCountsSurviveUpdate(t *testing.T) {
	p := New(release.NewSplits())
	p.Update(upstreams(1, 2))
	u, _ := p.Pick("s", "r0", nil, now)
	changed := upstreams(1, 1)
	p.Update(changed)
	if _, status := p.Pick("s", "r0", nil, now); status != Busy {
		t.Error("got a slot although the one slot is taken, want busy")
	}
	u.Done()
	if _, status := p.Pick("s", "r0", nil, now); status != Picked {
		t.Error("got no slot after the request ended, want one")
	}
}
