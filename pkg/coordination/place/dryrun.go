package place

import (
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// dryRun replaces the effects that a choice has on shared state, and notes what the choice
// compares. Its methods with a nil receiver are those of a real choice, so that both run
// the same code: each effect of Choose and of what it calls is a method here.
type dryRun struct {
	now clock.Instant
	// share is the local share that the choice sees.
	share float64
	// notes are the upstreams that were compared.
	notes map[*localState]*note
	// regions are the regions that were tried, in their order.
	regions []id.Region
	// overflowing are the regions that the limit on overflow excluded.
	overflowing map[id.Region]bool
	// route is the timing that the choice used, nil if it found no upstream before.
	route *timing
}

// note is what a dry run saw of one upstream.
type note struct {
	// choice is nil if the upstream can take no more requests.
	choice *Choice
	// coldRefused is set if the upstream was the best one but may get no request now,
	// because it is cold.
	coldRefused bool
}

// begin counts a request to the service.
func (d *dryRun) begin(s *pool, now clock.Instant) {
	if d != nil {
		d.share = s.localShare.preview(s.localGoal, now)
		return
	}
	s.localShare.step(s.localGoal, now)
	s.localShare.overflow.Earn()
}

// localPart returns the local share of the service.
func (d *dryRun) localPart(s *pool) float64 {
	if d != nil {
		return d.share
	}
	return s.localShare.load()
}

// timing returns the timing of the request's route, which a dry run does not store.
func (d *dryRun) timing(t *timings, q *Query) *timing {
	if d == nil {
		return t.get(q.Service, q.Route)
	}
	if d.route = (*t.cell.Load())[timingKey{q.Service, q.Route.Name}]; d.route == nil {
		d.route = newTiming(q.Route)
	}
	return d.route
}

// compared notes an upstream and its estimate, nil if it is full.
func (d *dryRun) compared(u *Upstream, c *Choice) {
	if d == nil {
		return
	}
	if n := len(d.regions); n == 0 || d.regions[n-1] != u.Info.Region {
		d.regions = append(d.regions, u.Info.Region)
	}
	if old := d.notes[u.localState]; old != nil {
		// After a cold upstream was refused, the others are compared again.
		old.choice = c
		return
	}
	d.notes[u.localState] = &note{choice: c}
}

// countPlacement counts a placement in the own region.
func (d *dryRun) countPlacement(s *pool, short bool) {
	if d == nil {
		s.localShare.countPlacement(short)
	}
}

// takeCold reports whether a cold upstream may get a request now.
func (d *dryRun) takeCold(u *Upstream, now clock.Instant) bool {
	if d == nil {
		return u.coldBucket.Take(now)
	}
	ok := u.coldBucket.WouldTake(now)
	d.notes[u.localState].coldRefused = !ok
	return ok
}

// takeOverflow reports whether a request may overflow into a region.
func (d *dryRun) takeOverflow(s *pool, to id.Region) bool {
	if d == nil {
		return s.localShare.overflow.Take()
	}
	ok := s.localShare.overflow.WouldTake()
	d.overflowing[to] = !ok
	return ok
}

// takeSlot counts a request at the upstream.
func (d *dryRun) takeSlot(u *Upstream) {
	if d == nil {
		u.inFlight.Add(1)
	}
}
