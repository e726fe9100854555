package place

import (
	"maps"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// timing is the estimated time that a route's requests take at an upstream of a
// service, without queueing and network, in nanoseconds. It is updated with atomics.
type timing struct {
	// warm is the time for warm objects, cold that for cold ones.
	warm, cold atomic.Int64
}

const (
	// initialWarmRatio is the time assumed for warm objects before the first request,
	// as a fraction of the latency objective.
	initialWarmRatio = 0.5
	// initialColdRatio is the same for cold objects.
	initialColdRatio = 1.6
	// maxInitialWarmTimeoutRatio bounds the time first assumed for warm objects to a
	// fraction of the route's timeout. A route whose estimate exceeds its timeout
	// would never be tried and its estimate never be corrected.
	maxInitialWarmTimeoutRatio = 0.2
	// maxInitialColdTimeoutRatio is the same for cold objects.
	maxInitialColdTimeoutRatio = 0.6
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

// observe updates the estimate with one request. The estimate for warm objects never
// exceeds that for cold ones. Of two concurrent observations one may be lost.
func (t *timing) observe(warm bool, elapsed time.Duration) {
	cell := &t.cold
	if warm {
		cell = &t.warm
	}
	old := cell.Load()
	observed := min(int64(elapsed), maxObservationRatio*old)
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

// get returns the timing of a route at a service. It takes a lock only if there is
// none yet.
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
