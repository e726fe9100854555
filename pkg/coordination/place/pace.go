package place

import (
	"math"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// Pace is how long work takes at an upstream, in multiples of the usual, as the
// upstream states it.
type Pace float64

const (
	// usualPace is the pace of an upstream that works as fast as usual, and the one
	// assumed for an upstream that does not state it.
	usualPace Pace = 1
	// minPace and maxPace bound a stated pace. Beyond them one wrong figure would decide
	// alone where requests go.
	minPace, maxPace Pace = 0.1, 100
	// paceHalfLife is the age at which the deviation of a stated pace from the usual
	// counts half. Paces change in periods of some 600 ms.
	paceHalfLife = 300 * time.Millisecond
)

// paceReport is the last pace that an upstream stated, with the instant of the report.
// Both share one atomic word, so that a reader never combines the pace of one report with
// the instant of another. The zero value means that the upstream has not stated any.
type paceReport struct{ packed atomic.Uint64 }

const (
	// paceBits is the width of the pace in the word, in thousandths: maxPace needs 17
	// bits. The other bits hold the instant in milliseconds.
	paceBits    = 20
	paceDivisor = 1000
)

// record stores a pace that the upstream stated at now. A pace of 0 or one that is no
// number is ignored.
func (p *paceReport) record(stated Pace, now clock.Instant) {
	if !(stated > 0) {
		return
	}
	milli := uint64(math.Round(float64(min(max(stated, minPace), maxPace)) * paceDivisor))
	p.packed.Store(uint64(now)/uint64(time.Millisecond)<<paceBits | milli)
}

// at returns the pace to expect at now, and the part of the stated pace's deviation that
// still counts, between 0 and 1. An upstream that has not stated a pace has the usual one.
func (p *paceReport) at(now clock.Instant) (expected Pace, weight float64) {
	word := p.packed.Load()
	if word == 0 {
		return usualPace, 0
	}
	stated := Pace(word&(1<<paceBits-1)) / paceDivisor
	age := max(now.Sub(clock.Instant(word>>paceBits)*clock.Instant(time.Millisecond)), 0)
	weight = math.Exp2(-float64(age) / float64(paceHalfLife))
	return usualPace + (stated-usualPace)*Pace(weight), weight
}

// paceOfRun returns the pace at which a request has probably run: the mean of the paces
// expected when it was sent and when it was answered. The former counts less the older
// the report was on which it was based.
func paceOfRun(sent, answered Pace, weight float64) Pace {
	return answered + (sent-answered)*Pace(weight)/2
}

// RecordPace records how long work takes at the upstream now, as it states.
func (u *Upstream) RecordPace(stated Pace, now clock.Instant) { u.pace.record(stated, now) }

// slowdown returns how many times longer work is expected to take at the upstream than
// at others: what this host has observed, multiplied by the pace that the upstream states.
func (u *Upstream) slowdown(now clock.Instant) float64 {
	pace, _ := u.pace.at(now)
	return u.observedSlowness(now) * float64(pace)
}
