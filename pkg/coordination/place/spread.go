package place

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/state/clock"
)

// spread is the part of a service's requests that run in the host's own region.
// It follows the room that the regions have, in small steps: the part of a
// region's requests that may change their region at a time is bounded.
type spread struct {
	// local is the part as the bits of a float64.
	local atomic.Uint64
	// overflow admits requests that run elsewhere because their region is full.
	overflow *limit.Ratio
	// tight and easy count the placements since the last step for which the own
	// region had too little room, and enough.
	tight, easy atomic.Int64

	mu        sync.Mutex
	started   bool
	steppedAt clock.Instant
}

const (
	// spreadStep is the interval at which the part changes.
	spreadStep = 250 * time.Millisecond
	// spreadMargin lets a region carry somewhat more than its part of the room.
	spreadMargin = 1.0
	// spreadRate is the most that the part changes in a second; two seconds of it
	// stay below half of the bound on moved requests, which leaves room for chance.
	spreadRate = 0.025
	// overflowPart and overflowReserve bound the requests that do not fit: a part
	// of all, and a few at once.
	overflowPart, overflowReserve = 0.05, 1
	// tightPart is the part of placements that must lack room before more leave.
	tightPart = 0.15
)

func newSpread() *spread {
	s := &spread{overflow: limit.NewRatio(overflowPart, overflowReserve)}
	s.store(1)
	return s
}

// count counts a placement for which the own region lacked room, or had it.
func (s *spread) count(tight bool) {
	if tight {
		s.tight.Add(1)
		return
	}
	s.easy.Add(1)
}

func (s *spread) load() float64 { return math.Float64frombits(s.local.Load()) }

func (s *spread) store(part float64) { s.local.Store(math.Float64bits(part)) }

// step moves the part towards goal, the part that the room allows, and below it
// while the own region is short of room.
func (s *spread) step(goal float64, now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started = true
		s.steppedAt = now
		s.store(goal)
		return
	}
	elapsed := now.Sub(s.steppedAt)
	if elapsed < spreadStep {
		return
	}
	s.steppedAt = now
	tight, easy := s.tight.Swap(0), s.easy.Swap(0)
	most := spreadRate * min(elapsed, time.Second).Seconds()
	part := s.load()
	switch {
	case tight+easy > 0 && float64(tight) > tightPart*float64(tight+easy):
		part -= most
	case part < goal:
		part += min(most, goal-part)
	case part > goal:
		part -= min(most, part-goal)
	}
	s.store(min(max(part, 0), 1))
}
