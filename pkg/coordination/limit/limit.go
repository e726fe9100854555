// Package limit bounds rates without locks. A Bucket admits events at a rate, a Ratio
// admits extra events in proportion to regular ones.
package limit

import (
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// Bucket is a token bucket: it admits events at a rate, and a burst after an idle
// time. Its fill level is stored as the instant at which it is full, so that Take
// changes a single variable. It is safe for concurrent use; its rate may be
// changed at any time.
type Bucket struct {
	// interval is the time between events at the rate, in nanoseconds; 0 admits nothing.
	interval atomic.Int64
	// capacity is the time that an empty bucket takes to fill, in nanoseconds.
	capacity atomic.Int64
	// fullAt is the instant at which the bucket is full.
	fullAt atomic.Int64
}

// NewBucket returns an empty bucket.
func NewBucket(perSecond, burst float64, now clock.Instant) *Bucket {
	b := &Bucket{}
	b.Set(perSecond, burst)
	b.fullAt.Store(int64(now) + b.capacity.Load())
	return b
}

// Set changes the rate and the burst, the number of events admitted at once. A rate
// of 0 admits nothing; a burst below 1 counts as 1. A concurrent Take may use the
// new rate with the old burst.
func (b *Bucket) Set(perSecond, burst float64) {
	if perSecond <= 0 {
		b.interval.Store(0)
		return
	}
	interval := float64(time.Second) / perSecond
	b.interval.Store(int64(interval))
	b.capacity.Store(int64(interval * max(burst, 1)))
}

// Take reports whether an event is admitted at now, and takes its token.
func (b *Bucket) Take(now clock.Instant) bool {
	interval := b.interval.Load()
	if interval == 0 {
		return false
	}
	capacity := b.capacity.Load()
	for {
		fullAt := b.fullAt.Load()
		next := max(fullAt, int64(now)) + interval
		if next-int64(now) > capacity {
			return false
		}
		if b.fullAt.CompareAndSwap(fullAt, next) {
			return true
		}
	}
}

// WouldTake reports whether Take would admit an event at now. It changes nothing.
func (b *Bucket) WouldTake(now clock.Instant) bool {
	return b.interval.Load() != 0 && b.Delay(now) == 0
}

// Delay returns the time until Take may admit an event, or one second if the rate is 0.
func (b *Bucket) Delay(now clock.Instant) time.Duration {
	interval := b.interval.Load()
	if interval == 0 {
		return time.Second
	}
	next := max(b.fullAt.Load(), int64(now)) + interval
	return time.Duration(max(next-int64(now)-b.capacity.Load(), 0))
}

// Ratio admits extra events in proportion to regular ones, and a few at once. It
// bounds retries, for example: each request earns a fraction of one. It is safe for
// concurrent use.
type Ratio struct {
	// earning is what a regular event adds to level, in units of 1/ratioUnit events.
	earning int64
	// capacity bounds level, in the same units.
	capacity atomic.Int64
	// level holds the extra events that may be admitted now, in the same units.
	level atomic.Int64
}

// ratioUnit is one event in the units of Ratio's fields.
const ratioUnit = 1000

// NewRatio returns a full Ratio, which admits ratio extra events for each regular
// one, and reserve extra events at once, at least one.
func NewRatio(ratio, reserve float64) *Ratio {
	r := &Ratio{earning: int64(ratio * ratioUnit)}
	r.SetReserve(reserve)
	r.level.Store(r.capacity.Load())
	return r
}

// SetReserve sets how many extra events are admitted at once, at least one.
func (r *Ratio) SetReserve(reserve float64) {
	r.capacity.Store(int64(max(reserve, 1) * ratioUnit))
	for level := r.level.Load(); level > r.capacity.Load(); level = r.level.Load() {
		r.level.CompareAndSwap(level, r.capacity.Load())
	}
}

// Earn counts a regular event.
func (r *Ratio) Earn() {
	for {
		level := r.level.Load()
		next := max(level, min(level+r.earning, r.capacity.Load()))
		if next == level || r.level.CompareAndSwap(level, next) {
			return
		}
	}
}

// WouldTake reports whether Take would admit an extra event after one more Earn. It changes
// nothing.
func (r *Ratio) WouldTake() bool {
	level := r.level.Load()
	return max(level, min(level+r.earning, r.capacity.Load())) >= ratioUnit
}

// Take reports whether an extra event is admitted, and counts it.
func (r *Ratio) Take() bool {
	for {
		level := r.level.Load()
		if level < ratioUnit {
			return false
		}
		if r.level.CompareAndSwap(level, level-ratioUnit) {
			return true
		}
	}
}
