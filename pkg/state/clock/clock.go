// Package clock provides the time that decisions use. Decisions never read the
// wall clock themselves; they are given an Instant or a Clock.
package clock

import (
	"context"
	"sync"
	"time"
)

// Instant is a point on a clock that never goes back and that keeps counting
// while the process or the whole machine is suspended, in nanoseconds since an
// arbitrary origin. Instants of different machines cannot be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Clock is the source of time that is passed to every part.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Wall returns the calendar time, for display and for records only.
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

// Fake is a clock that moves only when told to. It is safe for concurrent use.
type Fake struct {
	mu       sync.Mutex
	now      Instant
	sleepers []sleeper
}

type sleeper struct {
	until Instant
	wake  chan struct{}
}

// NewFake returns a fake clock that shows one hour after its origin.
func NewFake() *Fake { return &Fake{now: Instant(time.Hour)} }

// Now returns the instant the clock shows.
func (f *Fake) Now() Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Wall returns a calendar time derived from the instant.
func (f *Fake) Wall() time.Time { return time.Unix(0, int64(f.Now())).UTC() }

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	kept := f.sleepers[:0]
	for _, s := range f.sleepers {
		if s.until <= f.now {
			close(s.wake)
			continue
		}
		kept = append(kept, s)
	}
	f.sleepers = kept
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
