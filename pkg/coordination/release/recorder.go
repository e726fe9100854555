package release

import (
	"maps"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Subject is what is judged: a release on one route.
type Subject struct {
	Service id.Service
	Release id.Release
	Route   id.Route
}

// Counts are the outcomes of requests since the start of a host's incarnation.
type Counts struct {
	Requests uint64
	Failed   uint64
	Slow     uint64
}

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	return Counts{Requests: c.Requests + d.Requests, Failed: c.Failed + d.Failed, Slow: c.Slow + d.Slow}
}

// Sub returns what came after an earlier count.
func (c Counts) Sub(d Counts) Counts {
	return Counts{Requests: c.Requests - d.Requests, Failed: c.Failed - d.Failed, Slow: c.Slow - d.Slow}
}

// Recorder counts the outcomes of requests on the path. The set of subjects is
// replaced whole when a new one appears; counting takes no lock.
type Recorder struct {
	splits *Splits
	cell   *rcu.Cell[map[Subject]*tally]
	usual  *rcu.Cell[map[route]*atomic.Int64]
}

type tally struct{ requests, failed, slow atomic.Uint64 }

// route is a service on one route; its usual latency is that of the old release.
type route struct {
	service id.Service
	route   id.Route
}

// NewRecorder returns a recorder without counts.
func NewRecorder(splits *Splits) *Recorder {
	return &Recorder{splits: splits, cell: rcu.New(map[Subject]*tally{}), usual: rcu.New(map[route]*atomic.Int64{})}
}

// A request is slow if it takes longer than slowFactor times the usual latency
// of the old release on its route, and slowSlack.
const (
	slowFactor = 3
	slowSlack  = 10 * time.Millisecond
	// smoothing is the weight of one request in the usual latency, as one over smoothing.
	smoothing = 128
)

// Record counts one request.
func (r *Recorder) Record(s Subject, latency time.Duration, failed bool) {
	t := r.tally(s)
	t.requests.Add(1)
	if failed {
		t.failed.Add(1)
		return
	}
	usual := r.usualOf(route{s.Service, s.Route})
	mean := usual.Load()
	if mean != 0 && int64(latency) > slowFactor*mean+int64(slowSlack) {
		t.slow.Add(1)
	}
	if split, ok := r.splits.Get(s.Service); ok && split.New == s.Release {
		return
	}
	if mean == 0 {
		mean = int64(latency)
	}
	usual.Store(mean + (int64(latency)-mean)/smoothing)
}

func (r *Recorder) tally(s Subject) *tally {
	if t := (*r.cell.Load())[s]; t != nil {
		return t
	}
	r.cell.Update(func(old map[Subject]*tally) map[Subject]*tally {
		next := maps.Clone(old)
		if next[s] == nil {
			next[s] = &tally{}
		}
		return next
	})
	return (*r.cell.Load())[s]
}

func (r *Recorder) usualOf(k route) *atomic.Int64 {
	if u := (*r.usual.Load())[k]; u != nil {
		return u
	}
	r.usual.Update(func(old map[route]*atomic.Int64) map[route]*atomic.Int64 {
		next := maps.Clone(old)
		if next[k] == nil {
			next[k] = &atomic.Int64{}
		}
		return next
	})
	return (*r.usual.Load())[k]
}

// Counts returns the counts of the services that have a split.
func (r *Recorder) Counts() map[Subject]Counts {
	out := map[Subject]Counts{}
	for s, t := range *r.cell.Load() {
		if _, split := r.splits.Get(s.Service); split {
			out[s] = Counts{Requests: t.requests.Load(), Failed: t.failed.Load(), Slow: t.slow.Load()}
		}
	}
	return out
}
