// Package usage counts the requests of each account by windows of true time, over all
// hosts. Hosts count in buckets of their own clock (Meter), agree on the time of day
// (TimeAgreement), and send their counts to the collectors of their region (Reporter,
// Collector). The host that holds the duty closes windows (Ledger).
package usage

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Time is an instant of the time of day, in nanoseconds since the start of 1970. Unlike
// clock.Instant, it can be compared between hosts.
type Time int64

// TimeOf converts a calendar time.
func TimeOf(t time.Time) Time { return Time(t.UnixNano()) }

// TimeOfMillis converts milliseconds since the start of 1970.
func TimeOfMillis(ms int64) Time { return Time(ms) * Time(time.Millisecond) }

// Millis returns the milliseconds since the start of 1970.
func (t Time) Millis() int64 { return int64(t) / int64(time.Millisecond) }

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Offset is the time of day at the origin of a host's monotonic clock.
type Offset int64

// At returns the time of day of an instant.
func (o Offset) At(i clock.Instant) Time { return Time(int64(o) + int64(i)) }

// Instant returns the instant of a time of day.
func (o Offset) Instant(t Time) clock.Instant { return clock.Instant(int64(t) - int64(o)) }

// Window numbers the windows: window k begins k window lengths after the start of 1970.
type Window int64

// Count is a number of requests.
type Count uint64

// Counts holds the count of each account; accounts without requests are left out.
type Counts map[id.Account]Count

// Total returns the sum over all accounts.
func (c Counts) Total() Count {
	total := Count(0)
	for _, n := range c {
		total += n
	}
	return total
}

// raise sets each count to at least that of other.
func (c Counts) raise(other Counts) {
	for account, n := range other {
		c[account] = max(c[account], n)
	}
}

// Terms are the deployment's settings of usage reports.
type Terms struct {
	// Window is the length of a window.
	Window time.Duration
	// Due is the time after a window's end at which its report is due.
	Due time.Duration
	// Tolerance is the permitted relative error of a count.
	Tolerance float64
}

// Valid reports whether the terms describe windows.
func (t Terms) Valid() bool { return t.Window > 0 && t.Due > 0 && t.Tolerance > 0 }

// Start returns the beginning of a window.
func (t Terms) Start(w Window) Time { return Time(int64(w) * int64(t.Window)) }

// End returns the end of a window, which is the beginning of the next.
func (t Terms) End(w Window) Time { return t.Start(w + 1) }

// DueAt returns when the report of a window is due.
func (t Terms) DueAt(w Window) Time { return t.End(w).Add(t.Due) }

// At returns the window that holds a time.
func (t Terms) At(at Time) Window {
	w := int64(at) / int64(t.Window)
	if int64(at) < 0 {
		w--
	}
	return Window(w)
}

// open returns the windows whose counts are still needed: the first one and the one that
// holds now.
func (t Terms) open(now Time) (first, last Window) {
	return t.At(now.Add(-t.Due-t.Window)) + 1, t.At(now)
}

const (
	// shortestInterval bounds the interval between reports from below. More messages than
	// the digests need would double the control traffic of small fleets.
	shortestInterval = 500 * time.Millisecond
	// intervalFraction is the fraction of the tolerance that a killed host may lose on
	// average over the strong hosts. A host with four times the mean rate then loses half of
	// the tolerance.
	intervalFraction = 1.0 / 8
)

// Interval returns the interval between the reports of a host, given the number of hosts
// that clients use.
func (t Terms) Interval(strongHosts int) time.Duration {
	d := time.Duration(t.Tolerance * intervalFraction * float64(t.Window) * float64(strongHosts))
	return max(min(d, t.Window/2), shortestInterval)
}
