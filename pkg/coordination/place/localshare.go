package place

import (
	"math"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/state/clock"
)

// localShare is the share of a service's requests that run in the host's own
// region. It follows the capacity of the regions in small steps, because the part
// of a region's requests that may change region within two seconds is bounded. It is
// safe for concurrent use.
type localShare struct {
	// maxChangePerSecond bounds the change of the share.
	maxChangePerSecond float64
	// share holds the bits of a float64.
	share atomic.Uint64
	// overflow admits requests that run in another region because the region that
	// they would go to first is full.
	overflow *limit.Ratio
	// short counts the placements since the last step for which the own region had
	// too little free capacity, enough the others.
	short, enough atomic.Int64

	// steppedAt is the instant of the last step, 0 before the first. The request that
	// advances it takes the step.
	steppedAt atomic.Int64
}

const (
	// shareStepInterval is the minimum interval between two changes of the share.
	shareStepInterval = 250 * time.Millisecond
	// shareChangeRatio is the largest change of the share in a second, as a fraction
	// of the bound on requests that change region within two seconds. Both seconds
	// together use a quarter of the bound; the rest is for overflow and chance.
	shareChangeRatio = 0.13
	// overflowRatio limits overflow to a part of all requests, as a fraction of the
	// same bound.
	overflowRatio = 0.2
	// overflowReserve is the number of overflowing requests admitted at once.
	overflowReserve = 1
	// defaultMaxShift is the bound, as a part of a region's requests, if the
	// installation sets none.
	defaultMaxShift = 0.15
	// shortageThreshold is the part of placements above which a lack of free capacity
	// reduces the share.
	shortageThreshold = 0.15
)

// newLocalShare returns a share of 1. At most the part maxShift of a region's
// requests changes region within two seconds.
func newLocalShare(maxShift float64) *localShare {
	if maxShift <= 0 {
		maxShift = defaultMaxShift
	}
	s := &localShare{maxChangePerSecond: shareChangeRatio * maxShift, overflow: limit.NewRatio(overflowRatio*maxShift, overflowReserve)}
	s.store(1)
	return s
}

// countPlacement counts a placement; short reports whether the own region lacked
// free capacity.
func (s *localShare) countPlacement(short bool) {
	if short {
		s.short.Add(1)
		return
	}
	s.enough.Add(1)
}

func (s *localShare) load() float64 { return math.Float64frombits(s.share.Load()) }

func (s *localShare) store(share float64) { s.share.Store(math.Float64bits(share)) }

// step moves the share towards goal, the share that capacity allows, and reduces it
// even below goal while the own region is short of free capacity. The first step
// sets the share to goal; steps that follow sooner than shareStepInterval do nothing.
func (s *localShare) step(goal float64, now clock.Instant) {
	last := s.steppedAt.Load()
	if !stepDue(last, now) || !s.steppedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	if last == 0 {
		s.store(goal)
		return
	}
	s.store(s.next(goal, now.Sub(clock.Instant(last)), s.short.Swap(0), s.enough.Swap(0)))
}

// stepDue reports whether a step may follow the last one.
func stepDue(last int64, now clock.Instant) bool {
	return last == 0 || now.Sub(clock.Instant(last)) >= shareStepInterval
}

// preview returns the share that a request would see after its step.
func (s *localShare) preview(goal float64, now clock.Instant) float64 {
	last := s.steppedAt.Load()
	switch {
	case last == 0:
		return goal
	case !stepDue(last, now):
		return s.load()
	}
	return s.next(goal, now.Sub(clock.Instant(last)), s.short.Load(), s.enough.Load())
}

// next returns the share that follows the current one after elapsed, with the given counts
// of placements.
func (s *localShare) next(goal float64, elapsed time.Duration, short, enough int64) float64 {
	maxChange := s.maxChangePerSecond * min(elapsed, time.Second).Seconds()
	share := s.load()
	switch {
	case short+enough > 0 && float64(short) > shortageThreshold*float64(short+enough):
		share -= maxChange
	case share < goal:
		share += min(maxChange, goal-share)
	case share > goal:
		share -= min(maxChange, share-goal)
	}
	return min(max(share, 0), 1)
}
