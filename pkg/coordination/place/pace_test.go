package place

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	noisyPace   = Pace(2.5)
	noisyPeriod = 600 * time.Millisecond
)

// noisyRun is the result of playNoisy.
type noisyRun struct {
	// slowRuns counts the requests sent to an upstream during one of its slow periods.
	slowRuns, requests int
	// meanError is the mean of the error of the expected time, in parts of the actual time,
	// over the requests to noisy upstreams.
	meanError float64
	placer    *Placer
}

// playNoisy sends a request every 4 ms for 30 s. Of 20 upstreams 3 take 2.5 times as long
// in every second period of 600 ms, each in a phase of its own. Upstreams state their pace
// with each answer if stated. Every fifth request is about an object of its own.
func playNoisy(stated bool) noisyRun {
	const step = 4 * time.Millisecond
	type running struct {
		choice *Choice
		sent   clock.Instant
		work   float64
	}
	c := clock.NewFake()
	start := c.Now()
	r := noisyRun{placer: newPlacer(start, upstreams(20, "a1"))}
	noisy := map[id.Upstream]time.Duration{}
	for i, u := range r.placer.Upstreams()[:3] {
		noisy[u.Info.ID] = time.Duration(i) * 400 * time.Millisecond
	}
	paceOf := func(u *Upstream) Pace {
		phase, ok := noisy[u.Info.ID]
		if ok && (c.Now().Sub(start)+phase)/noisyPeriod%2 == 1 {
			return noisyPace
		}
		return usualPace
	}
	var pending []*running
	errors, observed := 0.0, 0
	for i := range 7500 {
		pending = slices.DeleteFunc(pending, func(p *running) bool {
			if p.work -= float64(step) / float64(paceOf(p.choice.Upstream)); p.work > 0 {
				return false
			}
			p.choice.Done()
			if stated {
				p.choice.Upstream.RecordPace(paceOf(p.choice.Upstream), c.Now())
			}
			latency := c.Now().Sub(p.sent)
			if _, ok := noisy[p.choice.Upstream.Info.ID]; ok && i > 1000 {
				errors += math.Abs(float64(p.choice.Expected()-latency)) / float64(latency)
				observed++
			}
			p.choice.RecordAnswer(latency, c.Now())
			return true
		})
		object := id.Object(fmt.Sprint(i * 7919 % 300))
		if i%5 == 0 {
			object = id.Object(fmt.Sprint("single-", i))
		}
		if choice, status := r.placer.Choose(newQuery(object), c.Now()); status == Chosen {
			work := 240 * time.Millisecond
			if choice.Warm() {
				work = 80 * time.Millisecond
			}
			if paceOf(choice.Upstream) > usualPace {
				r.slowRuns++
			}
			r.requests++
			pending = append(pending, &running{choice, c.Now(), float64(work)})
		}
		c.Advance(step)
	}
	r.meanError = errors / float64(observed)
	return r
}

// TestNoisyUpstreamsAreEstimatedByPace guards against requests that are sent, by an
// observation of the latency that is too old, into the slow periods of 15 in 100
// upstreams that are 2.5 times slower in alternating periods of 600 ms.
func TestNoisyUpstreamsAreEstimatedByPace(t *testing.T) {
	without, with := playNoisy(false), playNoisy(true)
	t.Logf("slow runs %d and %d of %d, error %.3f and %.3f", without.slowRuns, with.slowRuns, with.requests, without.meanError, with.meanError)
	if with.slowRuns >= without.slowRuns {
		t.Errorf("got %d requests in slow periods with stated paces, want fewer than %d", with.slowRuns, without.slowRuns)
	}
	if with.meanError >= without.meanError*0.9 {
		t.Errorf("got an error of %.3f with stated paces, want less than nine tenths of %.3f", with.meanError, without.meanError)
	}
}

// TestPaceIsNotCountedAsSlowness guards against counting a stated pace a second time in the
// observed slowness of the noisy upstreams or in the timing of the route.
func TestPaceIsNotCountedAsSlowness(t *testing.T) {
	r := playNoisy(true)
	for _, u := range r.placer.Upstreams()[:3] {
		if got := float64(u.slowness.Load()) / normalSlowness; got < 0.7 || got > 1.3 {
			t.Errorf("upstream %s: got slowness %.2f, want about 1", u.Info.ID, got)
		}
	}
	known := r.placer.timings.get(service, lookup())
	if got, want := time.Duration(known.cold.Load()), 240*time.Millisecond; math.Abs(float64(got-want)) > 0.1*float64(want) {
		t.Errorf("got %v for unknown objects, want about %v", got, want)
	}
}

// TestPaceDecaysToObservedSlowness guards against an old pace that keeps requests away from
// an upstream, and against a pace where none is stated.
func TestPaceDecaysToObservedSlowness(t *testing.T) {
	c := clock.NewFake()
	u := newPlacer(c.Now(), upstreams(1, "a1")).Upstreams()[0]
	u.RecordPace(0, c.Now())
	u.RecordPace(Pace(math.NaN()), c.Now())
	if got := u.slowdown(c.Now()); got != 1 {
		t.Errorf("nothing stated: got slowdown %v, want 1", got)
	}
	u.slowness.Store(normalSlowness / 2)
	u.RecordPace(3, c.Now())
	for _, want := range []float64{1.5, 1, 0.75} {
		if got := u.slowdown(c.Now()); math.Abs(got-want) > 0.01 {
			t.Errorf("got slowdown %.3f, want %v", got, want)
		}
		c.Advance(paceHalfLife)
	}
}
