package release

import (
	"maps"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// RouteRelease is a release of a service on one route. Requests are counted, and
// releases evaluated, for each RouteRelease separately.
type RouteRelease struct {
	Service id.Service
	Release id.Release
	Route   id.Route
}

// Counts are the numbers of requests by outcome since the start of a host's
// incarnation.
type Counts struct {
	// Requests includes all but those that were turned away.
	Requests uint64
	Failed   uint64
	// Slow does not include failed and rejected requests.
	Slow uint64
	// Rejected are the requests that were answered neither with success nor with a failure of
	// the upstream. They may be the clients' fault, also all of them.
	Rejected uint64
	// TurnedAway are the requests that did not run because the upstream refused them or the
	// connection.
	TurnedAway uint64
}

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	return Counts{
		Requests: c.Requests + d.Requests, Failed: c.Failed + d.Failed, Slow: c.Slow + d.Slow,
		Rejected: c.Rejected + d.Rejected, TurnedAway: c.TurnedAway + d.TurnedAway,
	}
}

// Sub returns the difference to earlier counts, which must not exceed c.
func (c Counts) Sub(d Counts) Counts {
	return Counts{
		Requests: c.Requests - d.Requests, Failed: c.Failed - d.Failed, Slow: c.Slow - d.Slow,
		Rejected: c.Rejected - d.Rejected, TurnedAway: c.TurnedAway - d.TurnedAway,
	}
}

// Covers reports whether no count is below that of d, as of a later report of an incarnation.
func (c Counts) Covers(d Counts) bool {
	return c.Requests >= d.Requests && c.Failed >= d.Failed && c.Slow >= d.Slow && c.Rejected >= d.Rejected && c.TurnedAway >= d.TurnedAway
}

// Recorder counts the outcomes of requests. It is safe for concurrent use. Counting
// is on the path of requests and uses atomics. It takes a lock only for the first
// request of a RouteRelease or of a service on a route, which replaces the whole map.
type Recorder struct {
	splits *Splits
	counts *rcu.Cell[map[RouteRelease]*counters]
	// usualLatency holds the smoothed latency of the old release's requests, in
	// nanoseconds; 0 means that none is known.
	usualLatency *rcu.Cell[map[serviceRoute]*atomic.Int64]
}

type counters struct{ requests, failed, slow, rejected, turnedAway atomic.Uint64 }

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

// An answer is slow if its latency exceeds slowFactor times the usual latency of the
// old release on its route plus slowMargin.
const (
	slowFactor = 3
	slowMargin = 10 * time.Millisecond
	// latencySmoothing is the inverse of the weight of one request in the usual latency.
	latencySmoothing = 128
)

// Outcome is how a request ended at its upstream.
type Outcome int

// Outcomes of requests.
const (
	// Answered means that the upstream answered; the latency decides whether it was slow.
	Answered Outcome = iota
	// Failed means that the upstream answered that the request has failed.
	Failed
	// Rejected means that the upstream ran the request and answered neither with success nor
	// with a failure of its own.
	Rejected
	// Unanswered means that no answer arrived in the time that the request had. It counts as
	// slow whatever the usual latency is, because that time may be shorter than the latency
	// from which an answer is slow. It does not count as failed, because any release may be
	// late under load.
	Unanswered
	// Abandoned means that the client left before the time of its request was over. It counts
	// only if the request was slow already, as the client may have left for other reasons.
	Abandoned
)

// Record counts one request. It updates the usual latency unless the request failed
// or was one of a new release. Of two concurrent updates of the usual latency one may
// be lost.
func (r *Recorder) Record(rr RouteRelease, latency time.Duration, outcome Outcome) {
	usual := r.usualLatencyOf(serviceRoute{rr.Service, rr.Route})
	mean := usual.Load()
	slow := mean != 0 && int64(latency) > slowFactor*mean+int64(slowMargin)
	if outcome == Abandoned && !slow {
		return
	}
	c := r.countersOf(rr)
	c.requests.Add(1)
	switch outcome {
	case Failed:
		c.failed.Add(1)
		return
	case Rejected:
		c.rejected.Add(1)
		return
	}
	if slow || outcome == Unanswered {
		c.slow.Add(1)
	}
	if outcome == Abandoned {
		return
	}
	if split, ok := r.splits.Get(rr.Service); ok && split.New == rr.Release {
		return
	}
	if mean == 0 {
		mean = int64(latency)
	}
	usual.Store(mean + (int64(latency)-mean)/latencySmoothing)
}

// RecordTurnedAway counts a request that did not run because the upstream refused it or the
// connection.
func (r *Recorder) RecordTurnedAway(rr RouteRelease) { r.countersOf(rr).turnedAway.Add(1) }

// RecordBroken notes that the upstream broke off the answer to a request that was counted as
// answered.
func (r *Recorder) RecordBroken(rr RouteRelease) { r.countersOf(rr).failed.Add(1) }

func (r *Recorder) countersOf(rr RouteRelease) *counters {
	if c := (*r.counts.Load())[rr]; c != nil {
		return c
	}
	r.counts.Update(func(old map[RouteRelease]*counters) map[RouteRelease]*counters {
		next := maps.Clone(old)
		if next[rr] == nil {
			next[rr] = &counters{}
		}
		return next
	})
	return (*r.counts.Load())[rr]
}

func (r *Recorder) usualLatencyOf(k serviceRoute) *atomic.Int64 {
	if usual := (*r.usualLatency.Load())[k]; usual != nil {
		return usual
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
	for rr, c := range *r.counts.Load() {
		if _, isSplit := r.splits.Get(rr.Service); isSplit {
			out[rr] = Counts{
				Requests: c.requests.Load(), Failed: c.failed.Load(), Slow: c.slow.Load(), Rejected: c.rejected.Load(), TurnedAway: c.turnedAway.Load(),
			}
		}
	}
	return out
}
