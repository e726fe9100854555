package place

import (
	"maps"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// timing is the estimated latency of a route's requests at a service, for warm and
// cold objects, in nanoseconds.
type timing struct {
	warm, cold atomic.Int64
}

const (
	// initialWarmRatio and initialColdRatio are the latencies assumed before the first
	// request, as fractions of the latency objective. They are bounded by fractions of
	// the route's timeout, because a route whose estimate exceeds its timeout would
	// never be tried and the estimate never be corrected.
	initialWarmRatio, initialColdRatio                     = 0.5, 1.6
	maxInitialWarmTimeoutRatio, maxInitialColdTimeoutRatio = 0.2, 0.6
	// timingSmoothing is the inverse of the weight of one observation.
	timingSmoothing = 16
	// maxObservationRatio bounds one observation by a multiple of the estimate.
	maxObservationRatio = 3
)

func newTiming(r *desired.Route) *timing {
	warm, cold := initialWarmRatio*float64(r.Objective), initialColdRatio*float64(r.Objective)
	if r.Timeout > 0 {
		warm = min(warm, maxInitialWarmTimeoutRatio*float64(r.Timeout))
		cold = min(cold, maxInitialColdTimeoutRatio*float64(r.Timeout))
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
	observed := min(int64(took), maxObservationRatio*old)
	cell.Store(old + (observed-old)/timingSmoothing)
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

func (t *timings) get(service id.Service, r *desired.Route) *timing {
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
