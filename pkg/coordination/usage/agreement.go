package usage

import (
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	// clockSamples is the number of readings of another host's clock of which the largest is
	// used: delays only reduce a reading, and a queue in the network lasts for some messages.
	clockSamples = 4
	// clockTimeout is how long a host's clock is used after its last message. It covers two
	// of the longest intervals between messages at windows of 5 s.
	clockTimeout = 5 * time.Second
	// clockTolerance is the largest difference from the median of a clock that agrees with it:
	// clocks that are synchronized differ by milliseconds, and messages take up to 150 ms.
	clockTolerance = 250 * time.Millisecond
	// minClocks is the number of clocks of which more than half must agree, also if fewer are
	// heard, in a fleet of as many hosts. A host that hears two others could otherwise take a
	// time on which only two clocks that jumped together agree.
	minClocks = 5
	// pauseThreshold is the time between two calls of Running above which this process
	// counts as having been paused; the control loop calls it every 200 ms.
	pauseThreshold = 900 * time.Millisecond
	// backlogPeriod is the time after a pause in which received times are ignored: messages
	// that arrived during the pause show clocks that seem slow.
	backlogPeriod = time.Second
)

// TimeAgreement is a host's view of the time of day on which the hosts agree. A clock that
// jumped is outvoted by the others, the host's own included. It is used by one goroutine.
type TimeAgreement struct {
	clocks map[id.Host]*clockReadings
	// offered holds the agreed times that collectors sent.
	offered map[id.Host]*clockReadings
	offset  Offset
	agreed  bool
	// runningAt is the instant of the last call of Running, ignoredUntil the end of
	// backlogPeriod after a pause.
	runningAt, ignoredUntil clock.Instant
}

// clockReadings are the last readings of a host's clock.
type clockReadings struct {
	last    [clockSamples]Offset
	n       int
	heardAt clock.Instant
}

func (r *clockReadings) add(o Offset, now clock.Instant) {
	r.last[r.n%clockSamples] = o
	r.n++
	r.heardAt = now
}

func (r *clockReadings) largest() Offset { return slices.Max(r.last[:min(r.n, clockSamples)]) }

// NewTimeAgreement returns a view without an agreement.
func NewTimeAgreement() *TimeAgreement {
	return &TimeAgreement{clocks: map[id.Host]*clockReadings{}, offered: map[id.Host]*clockReadings{}}
}

// Offset returns the agreed offset of this host's clock, if there is one.
func (a *TimeAgreement) Offset() (Offset, bool) { return a.offset, a.agreed }

// Now returns the agreed time at an instant.
func (a *TimeAgreement) Now(now clock.Instant) (Time, bool) { return a.offset.At(now), a.agreed }

// Running notes that this process runs. After a pause it drops what it has received.
func (a *TimeAgreement) Running(now clock.Instant) {
	if a.runningAt != 0 && now.Sub(a.runningAt) > pauseThreshold {
		clear(a.clocks)
		clear(a.offered)
		a.ignoredUntil = now.Add(backlogPeriod)
	}
	a.runningAt = now
}

// Heard records the wall clock of another host.
func (a *TimeAgreement) Heard(host id.Host, wall Time, now clock.Instant) {
	a.record(a.clocks, host, wall, now)
}

// Offered records the agreed time that a collector sent.
func (a *TimeAgreement) Offered(collector id.Host, agreed Time, now clock.Instant) {
	a.record(a.offered, collector, agreed, now)
}

func (a *TimeAgreement) record(set map[id.Host]*clockReadings, host id.Host, t Time, now clock.Instant) {
	if now < a.ignoredUntil {
		return
	}
	r := set[host]
	if r == nil {
		r = &clockReadings{}
		set[host] = r
	}
	r.add(Offset(int64(t)-int64(now)), now)
}

// Agree renews the agreement of a collector from the clocks that it hears and its own,
// given the number of hosts of the fleet. If the clocks do not agree, the last agreement
// stays in use, because monotonic clocks do not jump; without one, a time that another
// collector offers is used.
func (a *TimeAgreement) Agree(own Time, hosts int, now clock.Instant) {
	offsets := []Offset{Offset(int64(own) - int64(now))}
	for host, r := range a.clocks {
		if now.Sub(r.heardAt) > clockTimeout {
			delete(a.clocks, host)
			continue
		}
		offsets = append(offsets, r.largest())
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2]
	agreeing := 0
	for _, o := range offsets {
		if time.Duration(max(o-median, median-o)) <= clockTolerance {
			agreeing++
		}
	}
	if 2*agreeing > max(len(offsets), min(hosts, minClocks)) {
		a.offset, a.agreed = median, true
		return
	}
	if !a.agreed {
		a.Follow(nil, now)
	}
}

// Follow takes the time that the first of the host's collectors offers; if there are none,
// that of any collector.
func (a *TimeAgreement) Follow(collectors []id.Host, now clock.Instant) {
	for host, r := range a.offered {
		if now.Sub(r.heardAt) > clockTimeout {
			delete(a.offered, host)
		} else if len(collectors) == 0 {
			a.offset, a.agreed = r.largest(), true
		}
	}
	for _, host := range collectors {
		if r := a.offered[host]; r != nil {
			a.offset, a.agreed = r.largest(), true
			return
		}
	}
}
