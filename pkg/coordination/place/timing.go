package place

import (
	"maps"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// timing is how long requests of a route take at a service.
type timing struct {
	warm, cold atomic.Int64
}

const (
	// firstWarm and firstCold are the times assumed before any request was seen,
	// as parts of the latency objective, but not above parts of the route's timeout:
	// a route that seems to have no time would never be tried, and never be learned.
	firstWarm, firstCold                   = 0.5, 1.6
	firstWarmOfTimeout, firstColdOfTimeout = 0.2, 0.6
	// timingWeight is the weight of one observation, as one over timingWeight.
	timingWeight = 16
	// timingMost bounds one observation by a multiple of what is known.
	timingMost = 3
)

func newTiming(r *desired.Route) *timing {
	warm, cold := firstWarm*float64(r.Objective), firstCold*float64(r.Objective)
	if r.Timeout > 0 {
		warm = min(warm, firstWarmOfTimeout*float64(r.Timeout))
		cold = min(cold, firstColdOfTimeout*float64(r.Timeout))
	}
	t := &timing{}
	t.warm.Store(int64(warm))
	t.cold.Store(int64(cold))
	return t
}

func (t *timing) observe(warm bool, took time.Duration) {
	cell := &t.cold
	if warm {
		cell = &t.warm
	}
	old := cell.Load()
	seen := min(int64(took), timingMost*old)
	cell.Store(old + (seen-old)/timingWeight)
	if w, c := t.warm.Load(), t.cold.Load(); w > c {
		t.warm.Store(c)
	}
}

type timingKey struct {
	service id.Service
	route   id.Route
}

// timings holds the timing of each route at each service.
type timings struct {
	cell *rcu.Cell[map[timingKey]*timing]
}

func newTimings() *timings { return &timings{rcu.New(map[timingKey]*timing{})} }

func (t *timings) of(service id.Service, r *desired.Route) *timing {
	key := timingKey{service, r.Name}
	if known := (*t.cell.Load())[key]; known != nil {
		return known
	}
	t.cell.Update(func(old map[timingKey]*timing) map[timingKey]*timing {
		if old[key] != nil {
			return old
		}
		next := maps.Clone(old)
		next[key] = newTiming(r)
		return next
	})
	return (*t.cell.Load())[key]
}
