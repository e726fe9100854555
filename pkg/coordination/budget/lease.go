package budget

import (
	"sync/atomic"

	"celerypin.example/celerypin/pkg/state/clock"
)

// Lease bounds the time during which a pool may be spent from. Every spend reads
// it, so a process that resumes after a suspension sees an expired lease before
// its first spend. The zero Lease has expired.
type Lease struct{ until atomic.Int64 }

// Extend moves the end of the lease to until; it never moves it back.
func (l *Lease) Extend(until clock.Instant) {
	for {
		old := l.until.Load()
		if int64(until) <= old || l.until.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// Revoke ends the lease at once.
func (l *Lease) Revoke() { l.until.Store(0) }

// Valid reports whether the lease covers now.
func (l *Lease) Valid(now clock.Instant) bool { return int64(now) <= l.until.Load() }

// Until returns the last instant that the lease covers, 0 if it was revoked or never
// extended.
func (l *Lease) Until() clock.Instant { return clock.Instant(l.until.Load()) }
