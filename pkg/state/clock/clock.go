// Package clock provides the time that decisions are based on. Code that decides
// never reads the wall clock itself; it receives an Instant or a Clock.
package clock

import (
	"context"
	"sync"
	"time"
)

// Instant is a point in time in nanoseconds since an arbitrary origin, on a
// monotonic clock that also advances while the process or the whole machine is
// suspended. Instants of different machines cannot be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Clock is a source of time.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Wall returns the calendar time, for display and records, for the numbering of
	// incarnations, and for comparison with the deadlines of contexts.
	Wall() time.Time
	// Sleep waits for d and returns true, or returns false when ctx ends first.
	Sleep(ctx context.Context, d time.Duration) bool
}

// System is the machine's own clock.
type System struct{}

// Now returns the time since boot, including suspended time.
func (System) Now() Instant { return bootTime() }

// Wall returns the calendar time.
func (System) Wall() time.Time { return time.Now() }

// Sleep waits on a timer.
func (System) Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Fake is a clock that advances only by calls of Advance. It is safe for
// concurrent use.
type Fake struct {
	mu       sync.Mutex
	now      Instant
	sleepers []sleeper
}

type sleeper struct {
	until Instant
	wake  chan struct{}
}

// NewFake returns a fake clock that is set to one hour after its origin.
func NewFake() *Fake { return &Fake{now: Instant(time.Hour)} }

// Now returns the instant to which the clock is set.
func (f *Fake) Now() Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Wall returns a calendar time derived from the instant.
func (f *Fake) Wall() time.Time { return time.Unix(0, int64(f.Now())).UTC() }

// Advance moves the clock forward by d and wakes the sleepers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	remaining := f.sleepers[:0]
	for _, s := range f.sleepers {
		if s.until <= f.now {
			close(s.wake)
			continue
		}
		remaining = append(remaining, s)
	}
	f.sleepers = remaining
}

// Sleep waits until the clock has been advanced by d.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	s := sleeper{until: f.now.Add(d), wake: make(chan struct{})}
	f.sleepers = append(f.sleepers, s)
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-s.wake:
		return true
	}
}
