// Package hedge decides when a second copy of a slow request, the hedge, may be sent to
// another upstream: after a delay that is learnt from response times, within a share of the
// requests of the service, and while the service has room. It knows neither upstreams nor
// messages; package steer sends the copy and package place chooses where to.
package hedge

import (
	"errors"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Fraction is the share of a service's requests for which a copy may be sent.
type Fraction float64

// Bounds of a fraction other than 0. The limit counts in thousandths; beyond a tenth, the
// copies themselves would be a load.
const (
	MinFraction Fraction = 0.001
	MaxFraction Fraction = 0.1
)

// ErrFraction means that a fraction is out of its bounds.
var ErrFraction = errors.New("the fraction of hedged requests is out of its bounds")

// Validate returns an error that matches ErrFraction unless f is 0 or within its bounds.
func (f Fraction) Validate() error {
	if f == 0 || (f >= MinFraction && f <= MaxFraction) {
		return nil
	}
	return fmt.Errorf("%w: must be 0 or from %v to %v, got %v", ErrFraction, float64(MinFraction), float64(MaxFraction), float64(f))
}

// Reason is why no copy was sent after the delay.
type Reason string

// Reasons; ReasonNone is that of a copy that was sent.
const (
	ReasonNone       Reason = ""
	ReasonWithdrawn  Reason = "withdrawn"
	ReasonClientLeft Reason = "client_left"
	ReasonCapacity   Reason = "no_capacity"
	ReasonNoUpstream Reason = "no_upstream"
	ReasonTooSlow    Reason = "too_slow"
	ReasonFraction   Reason = "fraction"
	ReasonBudget     Reason = "retry_budget"
)

const (
	// minObservations is the number of response times without which no delay is known: two
	// of them are then above the quantile of 0.95.
	minObservations = 50
	// minFreeFraction is the fraction of the region's slots that must be free.
	minFreeFraction = 0.1
	// refusalPause is the time without copies after a refusal for lack of capacity, some
	// times the round of load reports between upstreams and hosts.
	refusalPause = time.Second
	// gainFactor is how many times sooner than the first exchange the copy must be expected
	// to end: a copy that gains less is not worth its work.
	gainFactor = 2
	// budgetFraction is the fraction of the service's retry budget that must be left, so
	// that copies do not use up what failures need.
	budgetFraction = 0.5
	// burst is the number of copies of a service that a host may send at once.
	burst = 1
)

// Key identifies a stream of response times.
type Key struct {
	Service id.Service
	Route   id.Route
	// Known reports whether the upstream was expected to know the object.
	Known bool
}

// service is the state of one service.
type service struct {
	limit *limit.Ratio
	// refusedAt is the instant of the last refusal for lack of capacity, 0 if none.
	refusedAt atomic.Int64
}

// Hedger decides on copies. Each host bounds the copies of its own requests, so the bound
// holds for all hosts together without messages. It is safe for concurrent use, and a nil
// Hedger sends none.
type Hedger struct {
	streams  table[Key, *Quantiles]
	services table[id.Service, *service]
}

// New returns a hedger for a valid fraction, nil if it is 0.
func New(f Fraction) *Hedger {
	if f == 0 {
		return nil
	}
	return &Hedger{
		streams: newTable[Key](NewQuantiles),
		services: newTable[id.Service](func() *service {
			return &service{limit: limit.NewRatio(float64(f), burst)}
		}),
	}
}

// Earn counts a request of a service.
func (h *Hedger) Earn(s id.Service) {
	if h != nil {
		h.services.get(s).limit.Earn()
	}
}

// RecordRefusal records that an upstream or this host refused a request of a service for
// lack of capacity.
func (h *Hedger) RecordRefusal(s id.Service, now clock.Instant) {
	if h != nil {
		h.services.get(s).refusedAt.Store(int64(now))
	}
}

// Observe counts the response time of a first exchange.
func (h *Hedger) Observe(k Key, elapsed time.Duration) { h.streams.get(k).Observe(elapsed) }

// ObserveAtLeast counts a first exchange that ended without an answer after elapsed, because
// it was cancelled or the deadline passed.
func (h *Hedger) ObserveAtLeast(k Key, elapsed time.Duration) {
	h.streams.get(k).ObserveAtLeast(elapsed)
}

// Delay returns the time after which a copy is considered, or false while too few response
// times are known.
func (h *Hedger) Delay(k Key) (time.Duration, bool) {
	s := h.streams.get(k).Summary()
	return s.Delay, s.Observations >= minObservations
}

// Situation is what is known of a request when its delay has passed.
type Situation struct {
	// Elapsed is the time since the first exchange began, Remaining that until the deadline.
	Elapsed, Remaining time.Duration
	// Expected is the time that the copy is expected to take.
	Expected time.Duration
	// Slots are the slots of the service in the region, Free those without a request.
	Slots, Free float64
	Now         clock.Instant
}

// Decide reports whether the copy may be sent, and counts it if so. budget is that of the
// service's retries.
func (h *Hedger) Decide(k Key, s Situation, budget *limit.Ratio) Reason {
	state := h.services.get(k.Service)
	refusedAt := state.refusedAt.Load()
	switch {
	case s.Free < minFreeFraction*s.Slots, refusedAt != 0 && s.Now.Sub(clock.Instant(refusedAt)) < refusalPause:
		return ReasonCapacity
	case s.Expected > s.Remaining, gainFactor*s.Expected > h.streams.get(k).Summary().Tail-s.Elapsed:
		return ReasonTooSlow
	case !state.limit.Take():
		return ReasonFraction
	case !budget.TakeAbove(budgetFraction):
		state.limit.Return()
		return ReasonBudget
	}
	return ReasonNone
}

// table holds one value for each key that was asked for. Readers load a snapshot; the first
// get of a key replaces it.
type table[K comparable, V any] struct {
	cell   *rcu.Cell[map[K]V]
	create func() V
}

func newTable[K comparable, V any](create func() V) table[K, V] {
	return table[K, V]{rcu.New(map[K]V{}), create}
}

// get returns the value of a key. It takes a lock only if there is none yet.
func (t table[K, V]) get(key K) V {
	if v, ok := (*t.cell.Load())[key]; ok {
		return v
	}
	t.cell.Update(func(old map[K]V) map[K]V {
		if _, ok := old[key]; ok {
			return old
		}
		next := maps.Clone(old)
		next[key] = t.create()
		return next
	})
	return (*t.cell.Load())[key]
}
