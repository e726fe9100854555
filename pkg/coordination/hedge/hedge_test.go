package hedge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/state/clock"
)

var lookups = Key{Service: "viewer", Route: "lookup", Known: true}

// load is a load pattern at one host: the response time of each request, and what is known
// when its delay has passed.
type load struct {
	name     string
	latency  func(r *rand.Rand, i int) time.Duration
	expected func(i int) time.Duration
	free     float64
	paused   time.Duration
	// refused is the interval between refusals for lack of capacity, 0 if there are none.
	refused time.Duration
}

// TestLoadPatterns compares the copies under each load pattern with the golden file. It
// guards against copies that add load where they cannot help: a service that is slow as a
// whole, one without room, and requests whose host was paused. Under a tail of heavy work
// it guards against an estimate that forgets the tail because copies cut it off.
func TestLoadPatterns(t *testing.T) {
	const usual, requests, fraction = 50 * time.Millisecond, 20000, 0.05
	around := func(r *rand.Rand, d time.Duration) time.Duration {
		return time.Duration(float64(d) * (0.85 + 0.3*r.Float64()))
	}
	heavy := func(r *rand.Rand, i int) time.Duration {
		if r.Float64() < 0.03 {
			return around(r, 7*usual)
		}
		return around(r, usual)
	}
	usually := func(int) time.Duration { return usual }
	slowdown := func(i int) time.Duration { return []time.Duration{1, 5}[i/(requests/2)] }
	var out strings.Builder
	oneSlow := func(r *rand.Rand, i int) time.Duration {
		if i%40 == 0 {
			return around(r, 5*usual)
		}
		return around(r, usual)
	}
	later := func(r *rand.Rand, i int) time.Duration { return around(r, slowdown(i)*usual) }
	for _, l := range []load{
		{"one slow upstream of forty", oneSlow, usually, 0.5, 0, 0},
		{"a tail of heavy work", heavy, usually, 0.5, 0, 0},
		{"a whole service slow from half", later, func(i int) time.Duration { return slowdown(i) * usual }, 0.5, 0, 0},
		{"a service without room", heavy, usually, 0.09, 0, 0},
		{"a service that refuses", heavy, usually, 0.5, 0, refusalPause},
		{"a service that refused a while ago", heavy, usually, 0.5, 0, 2 * refusalPause},
		{"a host paused while it waits", heavy, usually, 0.5, 3 * time.Second, 0},
	} {
		copies, reasons := l.play(fraction, requests)
		fmt.Fprintf(&out, "%-35s requests %d, copies %d, not sent: %v\n", l.name, requests, copies, reasons)
	}
	golden.Check(t, "patterns.golden", []byte(out.String()))
}

// play sends requests of the pattern and returns the copies and why others were not sent.
func (l *load) play(f Fraction, requests int) (copies int, reasons map[Reason]int) {
	h, budget, r, now := New(f), limit.NewRatio(0.2, 5), rand.New(rand.NewPCG(1, 1)), clock.NewFake().Now()
	reasons = map[Reason]int{}
	for i := range requests {
		h.Earn(lookups.Service)
		budget.Earn()
		if now = now.Add(10 * time.Millisecond); l.refused > 0 && time.Duration(now)%l.refused == 0 {
			h.RecordRefusal(lookups.Service, now)
		}
		latency := l.latency(r, i)
		delay, ok := h.Delay(lookups)
		if !ok || latency <= delay {
			h.Observe(lookups, latency)
			continue
		}
		elapsed := delay + l.paused
		s := Situation{Elapsed: elapsed, Remaining: time.Second - elapsed, Expected: l.expected(i), Slots: 100, Free: 100 * l.free, Now: now}
		reason := h.Decide(lookups, s, budget)
		reasons[reason]++
		if answered := elapsed + l.expected(i); reason == ReasonNone && answered < latency {
			h.ObserveAtLeast(lookups, answered)
		} else {
			h.Observe(lookups, latency)
		}
	}
	copies = reasons[ReasonNone]
	delete(reasons, ReasonNone)
	return copies, reasons
}

// TestBoundHoldsOverAllHosts guards against more copies than the fraction allows, in any
// window and over all hosts, however requests and slow requests are spread.
func TestBoundHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := float64(rapid.IntRange(1, 100).Draw(t, "thousandths")) / 1000
		hosts := make([]*Hedger, rapid.IntRange(1, 6).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = New(Fraction(fraction))
			for range 100 {
				hosts[i].Observe(lookups, time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms"))*time.Millisecond)
			}
		}
		now, budget := clock.NewFake().Now(), limit.NewRatio(1, 1000)
		// requests and copies count all hosts' up to each step.
		requests, copies := []int{0}, []int{0}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			r, c := requests[len(requests)-1], copies[len(copies)-1]
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				h.Earn(lookups.Service)
				r++
			}
			for range rapid.IntRange(0, 3).Draw(t, "slow") {
				if h.Decide(lookups, Situation{Remaining: time.Second, Slots: 1, Free: 1, Now: now}, budget) == ReasonNone {
					c++
				}
			}
			requests, copies = append(requests, r), append(copies, c)
		}
		for from := range requests {
			for to := from + 1; to < len(requests); to++ {
				got, allowed := copies[to]-copies[from], fraction*float64(requests[to]-requests[from])+float64(len(hosts))
				if float64(got) > allowed+1e-9 {
					t.Fatalf("got %d copies for %d requests at %d hosts, want at most %.2f", got, requests[to]-requests[from], len(hosts), allowed)
				}
			}
		}
	})
}

// TestCopiesLeaveHalfOfTheRetryBudget guards against copies that use up what real retries
// need, and against a fraction that is used up by copies which the budget refuses.
func TestCopiesLeaveHalfOfTheRetryBudget(t *testing.T) {
	h, budget := New(MaxFraction), limit.NewRatio(0, 4)
	for range 100 {
		h.Observe(lookups, time.Second)
	}
	var got []Reason
	for range 4 {
		for range 10 {
			h.Earn(lookups.Service)
		}
		got = append(got, h.Decide(lookups, Situation{Remaining: time.Second, Slots: 1, Free: 1}, budget))
	}
	if want := []Reason{"", "", "", ReasonBudget}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := h.Decide(lookups, Situation{Remaining: time.Second, Slots: 1, Free: 1}, limit.NewRatio(0, 4)); got != ReasonNone {
		t.Errorf("got %q with a full budget, want the copy that the empty one had refused", got)
	}
}

// TestQuantilesFollowTheStream guards against estimates that are off by more than a bucket,
// rest on too few observations, or keep what was observed long ago.
func TestQuantilesFollowTheStream(t *testing.T) {
	h, r := New(MaxFraction), rand.New(rand.NewPCG(2, 2))
	for range minObservations - 1 {
		h.Observe(lookups, time.Second)
	}
	if _, ok := h.Delay(lookups); ok {
		t.Error("got a delay from too few observations")
	}
	for _, scale := range []time.Duration{time.Millisecond, 20 * time.Millisecond} {
		var all []time.Duration
		var observed sync.WaitGroup
		// The third generation covers observations that race with the end of a generation, the
		// last ones a summary that is stored after a later one.
		for range 3 * generation {
			d := time.Duration(r.ExpFloat64() * float64(scale))
			all = append(all, d)
			observed.Go(func() { h.Observe(lookups, d) })
		}
		observed.Wait()
		for _, d := range all[:summaryInterval] {
			h.Observe(lookups, d)
		}
		slices.Sort(all)
		s := h.streams.get(lookups).Summary()
		for p, got := range map[float64]time.Duration{delayQuantile: s.Delay, tailQuantile: s.Tail} {
			want := all[int(p*float64(len(all)))]
			if ratio := float64(got) / float64(want); ratio < 0.85 || ratio > 1.15 {
				t.Errorf("quantile %v: got %v, want about %v", p, got, want)
			}
		}
	}
}
