package place

import (
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// Query is what a request needs.
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
	// Tried are the upstreams that the request was sent to already.
	Tried []*Upstream
	// BodyBytes is the size of the request's body.
	BodyBytes int64
}

func (a *Query) allows(region id.Region) bool { return !a.HasHomes || slices.Contains(a.Homes, region) }

func (a *Query) tried(u *Upstream) bool {
	for _, t := range a.Tried {
		if t.knowledge == u.knowledge {
			return true
		}
	}
	return false
}

// Status tells why no upstream was chosen.
type Status int

// Verdicts of Choose.
const (
	Chosen Status = iota
	// Full means that upstreams exist, but none can answer in time.
	Full
	// NoUpstream means that there is no upstream that may serve the request.
	NoUpstream
)

// Choice is the upstream for a request, with a slot taken there. Done must be
// called on it.
type Choice struct {
	Upstream *Upstream
	object   uint64
	timing   *timing
	known    bool
	// wait is the expected time in the upstream's queue, trip that of the network,
	// work that of the request itself; wait and work include slow.
	wait, trip, work time.Duration
	// slow is how many times longer the upstream takes than others.
	slow float64
	// rank is the upstream's place in the order of ownership, 0 for the owner.
	rank int
	load float64
}

// Rank returns the upstream's place in the order of ownership, 0 for the owner.
func (c *Choice) Rank() int { return c.rank }

// Load returns the load that the upstream was taken to have, and the age of its
// last report.
func (c *Choice) Load(now clock.Instant) (load float64, age time.Duration) {
	return c.load, now.Sub(clock.Instant(c.Upstream.reportedAt.Load()))
}

// Expected returns the time that the answer is expected to take.
func (c *Choice) Expected() time.Duration { return c.trip + c.wait + c.work }

// Warm tells whether the upstream is expected to know the object.
func (c *Choice) Warm() bool { return c.known }

// WarmEquivalent returns how long an answer took as if the object had been warm, to
// compare upstreams whatever they have served before.
func (c *Choice) WarmEquivalent(took time.Duration) time.Duration {
	if c.known {
		return took
	}
	return time.Duration(float64(took) * float64(c.timing.warm.Load()) / float64(max(c.timing.cold.Load(), 1)))
}

// Done gives the slot back.
func (c *Choice) Done() { c.Upstream.inFlight.Add(-1) }

// RecordAnswer records an answer.
func (c *Choice) RecordAnswer(took time.Duration, now clock.Instant) {
	work := max(took-c.wait-c.trip, time.Millisecond)
	if !c.Upstream.Cold(now) {
		c.timing.observe(c.known, time.Duration(float64(work)/max(c.slow, 1)))
	}
	// What is learned of the upstream is compared with what others would take.
	usual := c.trip + time.Duration(float64(c.wait+c.work)/c.slow)
	c.Upstream.RecordAnswer(c.object, took, usual, now)
}
