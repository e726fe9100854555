package place

import (
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// Query states the requirements of one request for an upstream.
type Query struct {
	Service id.Service
	Release id.Release
	Route   *desired.Route
	Object  id.Object
	// Homes are the regions that may serve the request, if HasHomes.
	Homes    []id.Region
	HasHomes bool
	// Remaining is the time until the request must be answered.
	Remaining time.Duration
	// Tried are the upstreams that the request has already been sent to.
	Tried []*Upstream
	// BodyBytes is the size of the request's body.
	BodyBytes int64

	// dryRun is set while Survey runs.
	dryRun *dryRun
}

func (q *Query) allows(region id.Region) bool { return !q.HasHomes || slices.Contains(q.Homes, region) }

func (q *Query) tried(u *Upstream) bool {
	for _, t := range q.Tried {
		if t.localState == u.localState {
			return true
		}
	}
	return false
}

// Status is the result of Choose.
type Status int

// Results of Choose.
const (
	Chosen Status = iota
	// Full means that upstreams exist, but none can take the request and answer in
	// time.
	Full
	// NoUpstream means that no upstream may serve the request.
	NoUpstream
)

// Choice is the upstream chosen for a request, with a slot taken there. The caller
// must call Done.
type Choice struct {
	Upstream *Upstream
	// object is the object's hash.
	object uint64
	// timing is that of the route at the service.
	timing *timing
	// known reports whether the object is expected to be warm at the upstream.
	known bool
	// wait is the expected time in the upstream's queue, roundTrip that of the
	// network, work that of the request itself; wait and work include slowdown.
	wait, roundTrip, work time.Duration
	// slowdown is how many times longer the upstream takes than others.
	slowdown float64
	// pace is the part of slowdown that the upstream has stated, paceWeight the part of
	// the statement that still counted.
	pace       Pace
	paceWeight float64
	// rank is the upstream's position in the order of ownership, 0 for the owner.
	rank int
	// load is the estimated number of requests at the upstream, without this one.
	load float64
}

// Rank returns the upstream's position in the order of ownership, 0 for the owner.
func (c *Choice) Rank() int { return c.rank }

// Load returns the number of requests at the upstream as estimated for the choice,
// without this one, and the age of the upstream's last report.
func (c *Choice) Load(now clock.Instant) (load float64, age time.Duration) {
	return c.load, now.Sub(clock.Instant(c.Upstream.reportedAt.Load()))
}

// Expected returns the time that the answer is expected to take.
func (c *Choice) Expected() time.Duration { return c.roundTrip + c.wait + c.work }

// UntilRun returns the time after which the upstream is expected to begin the request.
func (c *Choice) UntilRun() time.Duration { return c.roundTrip/2 + c.wait }

// Warm reports whether the upstream is expected to know the object.
func (c *Choice) Warm() bool { return c.known }

// WarmEquivalent converts the latency of an answer to that of a warm object, so
// that upstreams can be compared regardless of what they have served before.
func (c *Choice) WarmEquivalent(latency time.Duration) time.Duration {
	if c.known {
		return latency
	}
	return time.Duration(float64(latency) * float64(c.timing.warm.Load()) / float64(max(c.timing.cold.Load(), 1)))
}

// Done releases the slot.
func (c *Choice) Done() { c.Upstream.inFlight.Add(-1) }

// RecordAnswer updates the timing of the route and the local state of the upstream
// with an answer. A cold upstream does not change the timing. The pace that the answer
// states is recorded before.
func (c *Choice) RecordAnswer(latency time.Duration, now clock.Instant) {
	work := max(latency-c.wait-c.roundTrip, time.Millisecond)
	ran := c.paceOfRun(now)
	if !c.Upstream.Cold(now) {
		// The pace is replaced by that of the run; neither is part of the timing.
		slowdown := c.slowdown / float64(c.pace) * ran
		c.timing.observe(c.known, time.Duration(float64(work)/max(slowdown, 1)))
	}
	expected := c.expectedElsewhere(ran)
	c.Upstream.RecordAnswer(c.object, latency, expected, now)
}

// paceOfRun returns the pace at which the request has probably run, if it ended at now.
func (c *Choice) paceOfRun(now clock.Instant) float64 {
	answered, _ := c.Upstream.pace.at(now)
	return float64(paceOfRun(c.pace, answered, c.paceWeight))
}

// expectedElsewhere returns the time that other upstreams would take at the pace of the run.
// The upstream's slowness is relative to it; the pace itself must not count as slowness as
// well.
func (c *Choice) expectedElsewhere(ran float64) time.Duration {
	return c.roundTrip + time.Duration(float64(c.wait+c.work)/c.slowdown*ran)
}
