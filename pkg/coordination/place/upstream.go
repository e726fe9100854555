// Package place chooses the upstream that a request is sent to: the owner of
// the object that the request is about, unless another one serves it sooner.
// All hosts name the same owner without talking.
package place

import (
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// Upstream is one upstream with what this host knows of it. Snapshots that list
// the same incarnation share the knowledge.
type Upstream struct {
	Info fleet.Upstream
	seed uint64
	*knowledge
}

// objectSlots is the size of the table of objects that an upstream has served
// lately. It is a few times what upstreams keep warm; a collision only makes a
// warm object look cold.
const objectSlots = 256

// knowledge is what this host has learned of one incarnation of an upstream.
type knowledge struct {
	inFlight atomic.Int64
	// others is the load that other hosts had there at the last report.
	others     atomic.Int64
	reportedAt atomic.Int64
	// slowness is how much longer the upstream takes than expected, in thousandths.
	slowness   atomic.Int64
	slownessAt atomic.Int64
	// avoidUntil is the instant until which the upstream gets no work.
	avoidUntil atomic.Int64
	failures   atomic.Int64
	leaving    atomic.Bool
	coldUntil  atomic.Int64
	cold       *limit.Bucket
	objects    [objectSlots]atomic.Uint64
}

func newKnowledge(now clock.Instant) *knowledge {
	k := &knowledge{cold: limit.NewBucket(1, 1, now)}
	k.slowness.Store(unhurried)
	return k
}

const (
	// unhurried is the slowness of an upstream that takes as long as expected.
	unhurried = 1000
	// slownessLeast and slownessMost bound what one observation can say.
	slownessLeast, slownessMost = 500, 12000
	// slownessWeight is the weight of one observation, as one over slownessWeight.
	slownessWeight = 4
	// slownessFade is the time in which half of the slowness is forgotten, so that
	// a slow upstream is tried again.
	slownessFade = 5 * time.Second
	// othersFade is the time after which a load report says nothing.
	othersFade = 1500 * time.Millisecond
)

// Report records the load that the upstream tells: requests running and waiting.
func (u *Upstream) Report(running, waiting int, now clock.Instant) {
	u.others.Store(max(int64(running+waiting)-u.inFlight.Load(), 0))
	u.reportedAt.Store(int64(now))
}

// Load estimates the requests that the upstream has.
func (u *Upstream) Load(now clock.Instant) float64 {
	load := float64(u.inFlight.Load())
	age := now.Sub(clock.Instant(u.reportedAt.Load()))
	if age < othersFade {
		load += float64(u.others.Load()) * float64(othersFade-age) / float64(othersFade)
	}
	return load
}

// InFlight returns the requests that this host has at the upstream.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// MarkLeaving records that the upstream said it is leaving. It never returns.
func (u *Upstream) MarkLeaving() { u.leaving.Store(true) }

// Pauses after failures: the first one, and how often it doubles at most.
const (
	failurePause = 150 * time.Millisecond
	maxDoublings = 5
	// shedPause is the pause after an upstream has refused a request as full.
	shedPause = 60 * time.Millisecond
)

// RecordFailure records that the upstream failed a request or could not be reached.
func (u *Upstream) RecordFailure(now clock.Instant) {
	n := min(u.failures.Add(1)-1, maxDoublings)
	u.avoid(now.Add(failurePause << n))
}

// RecordShed records that the upstream refused a request because it is full.
func (u *Upstream) RecordShed(now clock.Instant) { u.avoid(now.Add(shedPause)) }

func (u *Upstream) avoid(until clock.Instant) {
	for {
		old := u.avoidUntil.Load()
		if int64(until) <= old || u.avoidUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// RecordAnswer records that the upstream answered a request about an object, and how
// long that took compared with what was expected.
func (u *Upstream) RecordAnswer(object uint64, took, expected time.Duration, now clock.Instant) {
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
	if object != 0 {
		u.objects[object%objectSlots].Store(object)
	}
	if expected <= 0 {
		return
	}
	seen := min(max(int64(took)*unhurried/int64(expected), slownessLeast), slownessMost)
	old := int64(u.slow(now) * unhurried)
	u.slowness.Store(old + (seen-old)/slownessWeight)
	u.slownessAt.Store(int64(now))
}

// slow returns how many times longer the upstream takes than expected.
func (u *Upstream) slow(now clock.Instant) float64 {
	s := float64(u.slowness.Load()) / unhurried
	if s <= 1 {
		return s
	}
	age := now.Sub(clock.Instant(u.slownessAt.Load()))
	return 1 + (s-1)/(1+float64(age)/float64(slownessFade))
}

// Knows tells whether the upstream has served the object for this host lately.
func (u *Upstream) Knows(object uint64) bool {
	return object != 0 && u.objects[object%objectSlots].Load() == object
}

// SetCold records until when the upstream is cold, and how many requests a
// second this host may send it meanwhile.
func (u *Upstream) SetCold(until clock.Instant, perSecond float64) {
	u.cold.Set(perSecond, 1)
	u.coldUntil.Store(int64(until))
}

// Cold tells whether the upstream is cold.
func (u *Upstream) Cold(now clock.Instant) bool { return int64(now) < u.coldUntil.Load() }

// usable tells whether the upstream may be given work.
func (u *Upstream) usable(now clock.Instant) bool {
	return !u.leaving.Load() && u.Info.State == fleet.UpstreamLive && int64(now) >= u.avoidUntil.Load()
}

// ConnectionKey names the incarnation, so that connections to an earlier one
// are not used for it.
func (u *Upstream) ConnectionKey() string {
	return string(u.Info.ID) + "/" + u.Info.Incarnation.String() + "/" + u.Info.Address
}

// Group lists upstreams of a service by region.
type group map[id.Region][]*Upstream
