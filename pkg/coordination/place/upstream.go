// Package place chooses the upstream that a request is sent to: the owner of
// the object that the request is about, unless another upstream is expected to
// answer sooner. Owners follow from rendezvous hashing, so that all hosts agree on
// them without communication.
//
// An object is warm at an upstream that has recently served it, and cold at others;
// requests about cold objects take longer. An upstream as a whole is cold for a time
// after its start or the end of its evacuation, and gets few requests then.
//
// Hosts that package edge runs use this package, by way of package steer, and the load
// model simulates it. Requests to them can name an object, and the answers of upstreams
// report how many requests run and wait there. From this the package estimates when each
// upstream would answer, and may send an upstream more requests than it has slots. Hosts
// that package daemon runs know neither and use package pick. The two packages share no
// types, because they observe different things about an upstream.
package place

import (
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// Upstream is one upstream with this host's local state about it. Snapshots that
// list the same incarnation share the local state.
type Upstream struct {
	Info   fleet.Upstream
	idHash uint64
	*localState
}

// objectTableSize is the size of the table of objects that an upstream has
// recently served. It is a few times the number that upstreams keep warm; a
// collision only makes a warm object look cold.
const objectTableSize = 256

// localState is what this host has observed of one incarnation of an upstream. It
// is updated with atomics and shared by all snapshots.
type localState struct {
	// inFlight is the number of requests that this host has at the upstream.
	inFlight atomic.Int64
	// otherLoad is the number of requests of other hosts at the last report.
	otherLoad atomic.Int64
	// reportedAt is the instant of the last report.
	reportedAt atomic.Int64
	// slowness is the ratio of actual to expected latency, in thousandths. The expected
	// latency includes the pace that the upstream states.
	slowness atomic.Int64
	// slownessAt is the instant at which slowness was last updated.
	slownessAt atomic.Int64
	// pace is how long work takes at the upstream as it last stated.
	pace paceReport
	// avoidUntil is the instant until which the upstream gets no requests.
	avoidUntil atomic.Int64
	// failures counts failures since the last answer.
	failures atomic.Int64
	draining atomic.Bool
	// coldUntil is the instant until which the upstream is cold.
	coldUntil atomic.Int64
	// coldBucket bounds the rate of requests while the upstream is cold.
	coldBucket *limit.Bucket
	// objects holds the hashes of known objects, each at its hash modulo the size.
	objects [objectTableSize]atomic.Uint64
}

func newLocalState(now clock.Instant) *localState {
	s := &localState{coldBucket: limit.NewBucket(1, 1, now)}
	s.slowness.Store(normalSlowness)
	return s
}

const (
	// normalSlowness is the slowness of an upstream as fast as expected.
	normalSlowness = 1000
	// minSlowness is the lower bound of one observation.
	minSlowness = 500
	// maxSlowness is the upper bound of one observation.
	maxSlowness = 12000
	// slownessSmoothing is the inverse of the weight of one observation.
	slownessSmoothing = 4
	// slownessHalvingAge is the age at which the excess of slowness over normal counts
	// half, so that a slow upstream is tried again.
	slownessHalvingAge = 5 * time.Second
	// maxReportAge is the age at which a load report no longer counts; its weight
	// decreases linearly until then. Where a dozen hosts share an upstream, each gets about
	// one report a second from it; requests of the others must not count as gone sooner.
	maxReportAge = 5 * time.Second
	// freshReportAge is the age up to which a report tells what is idle now: about the time
	// in which an upstream completes a request.
	freshReportAge = 250 * time.Millisecond
)

// RecordReport records the load that the upstream reports: requests running and waiting,
// including those of this host.
func (u *Upstream) RecordReport(running, waiting int, now clock.Instant) {
	u.otherLoad.Store(max(int64(running+waiting)-u.inFlight.Load(), 0))
	u.reportedAt.Store(int64(now))
}

// Load estimates the number of requests at the upstream: those of this host, and
// those of other hosts at the last report, which count less the older it is.
func (u *Upstream) Load(now clock.Instant) float64 {
	load := float64(u.inFlight.Load())
	age := now.Sub(clock.Instant(u.reportedAt.Load()))
	if age < maxReportAge {
		load += float64(u.otherLoad.Load()) * float64(maxReportAge-age) / float64(maxReportAge)
	}
	return load
}

// reportedIdle reports whether the upstream has said within freshReportAge that at most the
// given part of its slots is in use.
func (u *Upstream) reportedIdle(part float64, now clock.Instant) bool {
	return now.Sub(clock.Instant(u.reportedAt.Load())) < freshReportAge && u.Load(now) <= part*float64(u.Info.Slots)
}

// InFlight returns the number of requests that this host has at the upstream.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// MarkDraining records that the incarnation is leaving, which is final: it gets no
// requests any more. It reports whether that was not known.
func (u *Upstream) MarkDraining() bool { return !u.draining.Swap(true) }

// Draining reports whether the incarnation has been marked as leaving.
func (u *Upstream) Draining() bool { return u.draining.Load() }

const (
	// failureBackoff is the backoff after the first failure; each further failure
	// doubles it.
	failureBackoff = 150 * time.Millisecond
	// maxDoublings is the number of times that the backoff doubles at most.
	maxDoublings = 5
	// shedBackoff is the backoff after an upstream has refused a request as full.
	shedBackoff = 60 * time.Millisecond
)

// RecordFailure records that the upstream failed a request or could not be reached.
func (u *Upstream) RecordFailure(now clock.Instant) {
	n := min(u.failures.Add(1)-1, maxDoublings)
	u.avoid(now.Add(failureBackoff << n))
}

// RecordShed records that the upstream refused a request because it is full.
func (u *Upstream) RecordShed(now clock.Instant) { u.avoid(now.Add(shedBackoff)) }

// RecordQuiet records that the upstream wants no requests of this host until an instant.
func (u *Upstream) RecordQuiet(until clock.Instant) { u.avoid(until) }

// avoid extends the backoff to until; an instant before its end changes nothing.
func (u *Upstream) avoid(until clock.Instant) {
	for {
		old := u.avoidUntil.Load()
		if int64(until) <= old || u.avoidUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// RecordAnswer records that the upstream answered a request about an object, with
// the actual and the expected latency.
func (u *Upstream) RecordAnswer(object uint64, latency, expected time.Duration, now clock.Instant) {
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
	if object != 0 {
		u.objects[object%objectTableSize].Store(object)
	}
	u.recordLatency(latency, expected, now)
}

// recordLatency updates the slowness. Of two concurrent updates one may be lost.
func (u *Upstream) recordLatency(latency, expected time.Duration, now clock.Instant) {
	if expected <= 0 {
		return
	}
	observed := min(max(int64(latency)*normalSlowness/int64(expected), minSlowness), maxSlowness)
	old := int64(u.observedSlowness(now) * normalSlowness)
	u.slowness.Store(old + (observed-old)/slownessSmoothing)
	u.slownessAt.Store(int64(now))
}

// observedSlowness returns the ratio of actual to expected latency. An excess over 1
// decreases with its age: it counts half at slownessHalvingAge, a third at twice it.
func (u *Upstream) observedSlowness(now clock.Instant) float64 {
	s := float64(u.slowness.Load()) / normalSlowness
	if s <= 1 {
		return s
	}
	age := now.Sub(clock.Instant(u.slownessAt.Load()))
	return 1 + (s-1)/(1+float64(age)/float64(slownessHalvingAge))
}

// Knows reports whether the upstream has recently served the object for this host.
func (u *Upstream) Knows(object uint64) bool {
	return object != 0 && u.objects[object%objectTableSize].Load() == object
}

// SetCold records until when the upstream is cold, and how many requests per
// second this host may send to it until then.
func (u *Upstream) SetCold(until clock.Instant, perSecond float64) {
	u.coldBucket.Set(perSecond, 1)
	u.coldUntil.Store(int64(until))
}

// Cold reports whether the upstream is cold.
func (u *Upstream) Cold(now clock.Instant) bool { return int64(now) < u.coldUntil.Load() }

// usable reports whether the upstream may get requests: it is listed as live, has
// not been marked as leaving, and is not in backoff.
func (u *Upstream) usable(now clock.Instant) bool {
	return !u.draining.Load() && u.Info.State == fleet.UpstreamLive && int64(now) >= u.avoidUntil.Load()
}

// mayServeFrom returns the instant from which the upstream may get requests, or false if
// it is leaving.
func (u *Upstream) mayServeFrom() (clock.Instant, bool) {
	return clock.Instant(u.avoidUntil.Load()), !u.draining.Load() && u.Info.State == fleet.UpstreamLive
}

// ConnectionKey identifies the incarnation, so that connections to an earlier one
// are not reused.
func (u *Upstream) ConnectionKey() string {
	return string(u.Info.ID) + "/" + u.Info.Incarnation.String() + "/" + u.Info.Address
}

// group lists upstreams of a service by region.
type group map[id.Region][]*Upstream
