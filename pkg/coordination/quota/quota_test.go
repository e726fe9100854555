package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

var bound = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

const account = id.Account("choir")

// fleet is a few hosts that hear of each other's demand after a lag.
type fleet struct {
	clock *clock.Fake
	hosts []*Shares
	quota []*desired.Account
	told  []*Report
	// live tells whether one host hears another; unheard ones keep what they told.
	live func(by, of int) bool
	// kept is what each host has last heard of each other one.
	kept   [][]*Report
	admits []time.Duration
	asked  int
	since  time.Duration
	// lag is how many steps later hosts of the other half hear what one told; past
	// holds what was told before.
	lag  int
	past [][]*Report
}

// step is the interval at which the hosts set their shares.
const step = 250 * time.Millisecond

func newFleet(hosts int, rate, burst float64) *fleet {
	f := &fleet{clock: clock.NewFake(), quota: []*desired.Account{{ID: account, Rate: rate, Burst: burst}}}
	for range hosts {
		f.hosts = append(f.hosts, New(bound, f.clock.Now()))
		f.told = append(f.told, nil)
		f.kept = append(f.kept, make([]*Report, hosts))
	}
	f.live = func(int, int) bool { return true }
	return f
}

// run lets requests come at a rate to each host, with the others' demand heard
// one step late.
func (f *fleet) run(d time.Duration, perSecond []float64) {
	const tick = 10 * time.Millisecond
	due := make([]float64, len(f.hosts))
	for end := f.since + d; f.since < end; f.since += tick {
		if f.since%step == 0 {
			f.share()
		}
		for i, h := range f.hosts {
			for due[i] += perSecond[i] * tick.Seconds(); due[i] >= 1; due[i]-- {
				f.asked++
				if ok, _ := h.Take(account, f.clock.Now()); ok {
					f.admits = append(f.admits, f.since)
				}
			}
		}
		f.clock.Advance(tick)
	}
}

func (f *fleet) share() {
	for i, h := range f.hosts {
		others, even := NewTotals(), 1/float64(len(f.hosts))
		for j := range f.hosts {
			if j == i {
				continue
			}
			live := f.live(i, j)
			if live {
				f.kept[i][j] = f.heard(i, j)
			}
			switch kept := f.kept[i][j]; {
			case kept == nil:
				others.Unreported += even
			case live:
				others.AddLive(*kept, 1)
			default:
				others.AddSilent(f.quota, *kept, even)
			}
		}
		h.Rebalance(f.quota, NewPeers(others, 1, even), f.clock.Now())
	}
	for i, h := range f.hosts {
		told := h.Report()
		f.told[i] = &told
	}
	f.past = append(f.past, slices.Clone(f.told))
}

// heard returns what one host has heard of another: what that told last, or, in
// the other half, some steps before.
func (f *fleet) heard(by, of int) *Report {
	half := len(f.hosts) / 2
	if steps := len(f.past); f.lag > 0 && (by < half) != (of < half) && steps > 0 {
		return f.past[max(steps-1-f.lag, 0)][of]
	}
	return f.told[of]
}

// most returns the most requests admitted in any window.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.admits {
		for f.admits[first] <= at-bound.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *fleet) allowed() int {
	a := f.quota[0]
	return int((a.Rate*bound.Window.Seconds()+a.Burst)*(1+bound.Excess) + bound.Slack)
}

// TestHotAccountStaysWithinItsQuota lets an account send several times its
// usual to hosts that change at random.
func TestHotAccountStaysWithinItsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		rate := rapid.Float64Range(2, 200).Draw(t, "rate")
		f := newFleet(hosts, rate, rate)
		for range rapid.IntRange(1, 4).Draw(t, "spells") {
			load := make([]float64, hosts)
			for i := range load {
				load[i] = rapid.Float64Range(0, 8*rate/float64(hosts)).Draw(t, "load")
			}
			f.run(4*time.Second, load)
		}
		if got, want := f.most(), f.allowed(); got > want {
			t.Fatalf("got %d requests in a window, want at most %d", got, want)
		}
	})
}

// TestSmallAccountOverManyHostsIsServed lets an account with a few requests a
// second reach all hosts, each of which has a small part of its quota.
func TestSmallAccountOverManyHostsIsServed(t *testing.T) {
	f := newFleet(11, 8, 8)
	load := make([]float64, 11)
	for i := range load {
		load[i] = 5.0 / 11
	}
	f.run(30*time.Second, load)
	refused := f.asked - len(f.admits)
	if want := f.asked / 50; refused > want {
		t.Errorf("got %d of %d refused, want at most %d", refused, f.asked, want)
	}
}

// TestRestartGivesNoSecondBurst restarts all hosts at once under a hot account.
func TestRestartGivesNoSecondBurst(t *testing.T) {
	f := newFleet(6, 60, 60)
	load := []float64{80, 80, 80, 80, 80, 80}
	f.run(6*time.Second, load)
	for i := range f.hosts {
		f.hosts[i] = New(bound, f.clock.Now())
		f.told[i] = nil
		f.kept[i] = make([]*Report, len(f.hosts))
	}
	f.run(6*time.Second, load)
	if got, want := f.most(), f.allowed(); got > want {
		t.Errorf("got %d requests in a window, want at most %d", got, want)
	}
}

// TestHotAccountDuringAPartition cuts some hosts off from the others just before
// an account sends several times its usual to all of them.
func TestHotAccountDuringAPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 12
		rate := rapid.Float64Range(20, 250).Draw(t, "rate")
		cut := rapid.IntRange(1, 6).Draw(t, "cut")
		f := newFleet(hosts, rate, rate)
		calm, hot := make([]float64, hosts), make([]float64, hosts)
		for i := range calm {
			calm[i] = rapid.Float64Range(0.2, 1).Draw(t, "calm") * rate / hosts
			hot[i] = 7 * calm[i]
		}
		f.run(6*time.Second, calm)
		f.live = func(by, of int) bool { return (by < cut) == (of < cut) }
		f.run(time.Second, calm)
		f.run(7*time.Second, hot)
		if got, want := f.most(), f.allowed(); got > want {
			t.Fatalf("got %d requests in a window, want at most %d", got, want)
		}
	})
}

// TestNoGrowthWhileOthersAreQuiet lets the demand at one host rise while the last
// that it heard of the others is getting old.
func TestNoGrowthWhileOthersAreQuiet(t *testing.T) {
	f := newFleet(2, 100, 100)
	f.run(5*time.Second, []float64{30, 30})
	before, _ := f.hosts[0].Share(account)
	others := NewTotals()
	others.AddLive(*f.told[1], 1)
	others.Stale = true
	for range 20 {
		for range 30 {
			f.hosts[0].Take(account, f.clock.Now())
		}
		f.clock.Advance(step)
		f.hosts[0].Report()
		f.hosts[0].Rebalance(f.quota, NewPeers(others, 1, 0.5), f.clock.Now())
	}
	if after, _ := f.hosts[0].Share(account); after > before*1.03 {
		t.Errorf("got a rate of %.1f, want no more than the %.1f before", after, before)
	}
}

// TestSuddenDemandHeardLate lets an account that sent nothing send several times
// its rate to all hosts, half of which hear of the others up to a second late.
func TestSuddenDemandHeardLate(t *testing.T) {
	for _, rate := range []float64{20, 100} {
		for lag := range 5 {
			f := newFleet(6, rate, rate)
			f.lag = lag
			f.run(2*time.Second, make([]float64, 6))
			load := make([]float64, 6)
			for i := range load {
				load[i] = rate * 0.6
			}
			f.run(8*time.Second, load)
			if got, want := f.most(), f.allowed(); got > want {
				t.Errorf("rate %v, %v late: got %d requests in a window, want at most %d", rate, time.Duration(lag)*step, got, want)
			}
			owed := rate*bound.Window.Seconds() + rate
			if got, want := float64(f.most()), 0.9*owed; got < want {
				t.Errorf("rate %v, %v late: got %.0f requests in a window, want at least %.0f of the %.0f owed", rate, time.Duration(lag)*step, got, want, owed)
			}
		}
	}
}
