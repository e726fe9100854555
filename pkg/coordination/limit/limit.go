// Package limit bounds rates without locks: token buckets whose one variable
// is the instant at which they are full.
package limit

import (
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// Bucket admits events at a rate, and a few at once after a pause. It is safe
// for concurrent use; its rate may be changed at any time.
type Bucket struct {
	// interval is the time that one event takes up, in nanoseconds; 0 admits nothing.
	interval atomic.Int64
	// span is the time that a full bucket holds.
	span   atomic.Int64
	fullAt atomic.Int64
}

// NewBucket returns an empty bucket.
func NewBucket(perSecond, burst float64, now clock.Instant) *Bucket {
	b := &Bucket{}
	b.Set(perSecond, burst)
	b.fullAt.Store(int64(now) + b.span.Load())
	return b
}

// Set changes the rate and the number of events that may come at once.
func (b *Bucket) Set(perSecond, burst float64) {
	if perSecond <= 0 {
		b.interval.Store(0)
		return
	}
	interval := float64(time.Second) / perSecond
	b.interval.Store(int64(interval))
	b.span.Store(int64(interval * max(burst, 1)))
}

// Take admits one event if it may happen at now.
func (b *Bucket) Take(now clock.Instant) bool {
	interval := b.interval.Load()
	if interval == 0 {
		return false
	}
	span := b.span.Load()
	for {
		full := b.fullAt.Load()
		next := max(full, int64(now)) + interval
		if next-int64(now) > span {
			return false
		}
		if b.fullAt.CompareAndSwap(full, next) {
			return true
		}
	}
}

// Wait returns how long it takes until Take could admit an event.
func (b *Bucket) Wait(now clock.Instant) time.Duration {
	interval := b.interval.Load()
	if interval == 0 {
		return time.Second
	}
	next := max(b.fullAt.Load(), int64(now)) + interval
	return time.Duration(max(next-int64(now)-b.span.Load(), 0))
}

// Ratio admits extra events in proportion to usual ones, and a few at once. It
// bounds repeats: each request earns a part of one.
type Ratio struct {
	part     int64
	capacity int64
	level    atomic.Int64
}

// ratioUnit is one event in the units of Ratio's level.
const ratioUnit = 1000

// NewRatio returns a full Ratio: part of an extra event for each usual one, and
// reserve extra events at once.
func NewRatio(part, reserve float64) *Ratio {
	r := &Ratio{part: int64(part * ratioUnit), capacity: int64(max(reserve, 1) * ratioUnit)}
	r.level.Store(r.capacity)
	return r
}

// Earn counts a usual event.
func (r *Ratio) Earn() {
	for {
		level := r.level.Load()
		next := min(level+r.part, r.capacity)
		if next == level || r.level.CompareAndSwap(level, next) {
			return
		}
	}
}

// Take admits an extra event.
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
