package place

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// Room is the capacity of a release's upstreams in one region that may get requests now.
type Room struct {
	// Slots are all slots, Free those without a request by the estimate of the load.
	Slots, Free float64
}

// ChooseSecond chooses the upstream for a second copy of a request whose first copy runs
// where first says, and takes a slot there. Only an upstream with a free slot comes into
// question that is usable and not cold, in the host's own region or that of the first copy.
// It compares the first Policy.Candidates of them in the order of ownership and all that know
// the object, so that copies do not spread an object over many upstreams. The room is that of
// the chosen region without the copy, or zero if there is no such upstream, and then the choice is nil.
func (p *Placer) ChooseSecond(q *Query, first *Choice, now clock.Instant) (*Choice, Room) {
	s := (*p.services.Load())[q.Service]
	if s == nil {
		return nil, Room{}
	}
	g, object, t := s.releases[q.Release], objectHash(q), p.timings.get(q.Service, q.Route)
	regions := []id.Region{first.Upstream.Info.Region}
	if regions[0] != p.region {
		regions = append(regions, p.region)
	}
	var best *Choice
	for _, region := range regions {
		if !q.allows(region) {
			continue
		}
		if c := p.secondIn(g[region], q, object, t, now); c != nil && (best == nil || c.Expected() < best.Expected()) {
			best = c
		}
	}
	if best == nil {
		return nil, Room{}
	}
	room := roomOf(g[best.Upstream.Info.Region], now)
	best.Upstream.inFlight.Add(1)
	return best, room
}

// secondIn returns the upstream of the list that is expected to answer first, or nil.
func (p *Placer) secondIn(list []*Upstream, q *Query, object uint64, t *timing, now clock.Instant) *Choice {
	var best *Choice
	compared := 0
	for i, u := range byOwnership(list, q, object, now) {
		if u.Cold(now) || u.Load(now)+1 > float64(u.Info.Slots) || (compared >= p.policy.Candidates && !u.Knows(object)) {
			continue
		}
		c, _ := p.estimate(u, q, object, t, 0, now)
		if c == nil {
			continue
		}
		c.rank = i
		compared++
		if best == nil || c.Expected() < best.Expected() {
			best = c
		}
	}
	return best
}

// roomOf returns the room of the upstreams of a list. One that may get no requests now has
// slots, but none that are free.
func roomOf(list []*Upstream, now clock.Instant) Room {
	room := Room{}
	for _, u := range list {
		if u.Info.State != fleet.UpstreamLive || u.Draining() {
			continue
		}
		slots := float64(u.Info.Slots)
		room.Slots += slots
		if u.usable(now) {
			room.Free += max(slots-u.Load(now), 0)
		}
	}
	return room
}

// RecordAtLeast records that the exchange was cancelled after elapsed, because another one
// gave the answer. It says nothing about failures, and makes the upstream slower only if the
// answer was already late.
func (c *Choice) RecordAtLeast(elapsed time.Duration, now clock.Instant) {
	expected := c.expectedElsewhere(c.paceOfRun(now))
	if elapsed > time.Duration(float64(expected)*c.Upstream.observedSlowness(now)) {
		c.Upstream.recordLatency(elapsed, expected, now)
	}
}
