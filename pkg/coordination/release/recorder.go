package release

import (
	"maps"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// RouteRelease is the unit of evaluation: a release of a service on one route.
type RouteRelease struct {
	Service id.Service
	Release id.Release
	Route   id.Route
}

// Counts are the numbers of requests by outcome since the start of a host's
// incarnation.
type Counts struct {
	Requests uint64
	Failed   uint64
	Slow     uint64
}

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	return Counts{Requests: c.Requests + d.Requests, Failed: c.Failed + d.Failed, Slow: c.Slow + d.Slow}
}

// Sub returns the difference to an earlier count.
func (c Counts) Sub(d Counts) Counts {
	return Counts{Requests: c.Requests - d.Requests, Failed: c.Failed - d.Failed, Slow: c.Slow - d.Slow}
}

// Recorder counts the outcomes of requests. Counting is on the path of requests and
// takes no lock: a new subject replaces the whole map, the counters are atomics.
type Recorder struct {
	splits       *Splits
	counts       *rcu.Cell[map[RouteRelease]*counters]
	usualLatency *rcu.Cell[map[serviceRoute]*atomic.Int64]
}

type counters struct{ requests, failed, slow atomic.Uint64 }

// serviceRoute is a service on one route; its usual latency is that of the old
// release.
type serviceRoute struct {
	service id.Service
	route   id.Route
}

// NewRecorder returns a recorder without counts.
func NewRecorder(splits *Splits) *Recorder {
	return &Recorder{splits: splits, counts: rcu.New(map[RouteRelease]*counters{}), usualLatency: rcu.New(map[serviceRoute]*atomic.Int64{})}
}

// A request is slow if its latency exceeds slowFactor times the usual latency of
// the old release on its route plus slowMargin.
const (
	slowFactor = 3
	slowMargin = 10 * time.Millisecond
	// latencySmoothing is the inverse of the weight of one request in the usual latency.
	latencySmoothing = 128
)

// Record counts one request.
func (r *Recorder) Record(s RouteRelease, latency time.Duration, failed bool) {
	t := r.countersOf(s)
	t.requests.Add(1)
	if failed {
		t.failed.Add(1)
		return
	}
	usual := r.usualLatencyOf(serviceRoute{s.Service, s.Route})
	mean := usual.Load()
	if mean != 0 && int64(latency) > slowFactor*mean+int64(slowMargin) {
		t.slow.Add(1)
	}
	if split, ok := r.splits.Get(s.Service); ok && split.New == s.Release {
		return
	}
	if mean == 0 {
		mean = int64(latency)
	}
	usual.Store(mean + (int64(latency)-mean)/latencySmoothing)
}

func (r *Recorder) countersOf(s RouteRelease) *counters {
	if t := (*r.counts.Load())[s]; t != nil {
		return t
	}
	r.counts.Update(func(old map[RouteRelease]*counters) map[RouteRelease]*counters {
		next := maps.Clone(old)
		if next[s] == nil {
			next[s] = &counters{}
		}
		return next
	})
	return (*r.counts.Load())[s]
}

func (r *Recorder) usualLatencyOf(k serviceRoute) *atomic.Int64 {
	if u := (*r.usualLatency.Load())[k]; u != nil {
		return u
	}
	r.usualLatency.Update(func(old map[serviceRoute]*atomic.Int64) map[serviceRoute]*atomic.Int64 {
		next := maps.Clone(old)
		if next[k] == nil {
			next[k] = &atomic.Int64{}
		}
		return next
	})
	return (*r.usualLatency.Load())[k]
}

// Counts returns the counts of the services that have a split.
func (r *Recorder) Counts() map[RouteRelease]Counts {
	out := map[RouteRelease]Counts{}
	for s, t := range *r.counts.Load() {
		if _, split := r.splits.Get(s.Service); split {
			out[s] = Counts{Requests: t.requests.Load(), Failed: t.failed.Load(), Slow: t.slow.Load()}
		}
	}
	return out
}
