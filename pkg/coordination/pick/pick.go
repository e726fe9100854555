// Package pick chooses the upstream that a request is sent to: the less loaded of
// two random ones.
//
// Hosts that package daemon runs use this package: package caller picks upstreams for
// requests, and package upstream polls them for their load. Requests to these hosts name
// no object, so only region, load and release make one upstream better than another. A
// host sends an upstream at most as many requests as it has slots; further requests wait
// at the host. Hosts that package edge runs know the objects of requests and the queues
// of upstreams, and use package place.
package pick

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Upstream is one upstream with this host's local state about it. All snapshots
// that list the upstream share the local state.
type Upstream struct {
	Info fleet.Upstream
	*localState
}

// localState is what this host has observed of one upstream. It is updated with
// atomics and shared by all snapshots.
type localState struct {
	// inFlight is the number of requests that this host has at the upstream.
	inFlight atomic.Int64
	// reported is the number of busy slots in the upstream's last report.
	reported atomic.Int64
	// reportedAt is the instant of the last report.
	reportedAt atomic.Int64
	// avoidUntil is the instant until which the upstream gets no requests, because it
	// shed load or failed.
	avoidUntil atomic.Int64
	// failures counts failures since the last success.
	failures atomic.Int64
	// draining is never reset.
	draining atomic.Bool
	// identifies reports whether the last answer identified its exchange.
	identifies atomic.Bool
}

// RecordReport records a load report of the upstream: its busy slots, and whether it is
// draining, which is final.
func (u *Upstream) RecordReport(busy int, draining bool, now clock.Instant) {
	u.reported.Store(int64(busy))
	u.reportedAt.Store(int64(now))
	if draining {
		u.draining.Store(true)
	}
}

// MarkDraining records that the upstream is draining, which is final.
func (u *Upstream) MarkDraining() { u.draining.Store(true) }

// RecordIdentified records whether an answer of the upstream identified its exchange.
func (u *Upstream) RecordIdentified(identified bool) { u.identifies.Store(identified) }

// IdentifiesAnswers reports whether the upstream's answers identify their exchanges, so
// that one that belongs to another request is detected.
func (u *Upstream) IdentifiesAnswers() bool { return u.identifies.Load() }

// RecordShed records that the upstream refused a request and asked for a backoff.
func (u *Upstream) RecordShed(backoff time.Duration, now clock.Instant) { u.avoid(now.Add(backoff)) }

// failureBackoff is the backoff after the first failure; it doubles with each
// further one.
const failureBackoff = 100 * time.Millisecond

// maxDoublings is the number of times that the backoff doubles at most.
const maxDoublings = 6

// RecordFailure records that a request failed. The backoff that follows applies even
// if the upstream reports free slots.
func (u *Upstream) RecordFailure(now clock.Instant) {
	n := min(u.failures.Add(1)-1, maxDoublings)
	u.avoid(now.Add(failureBackoff << n))
}

// RecordSuccess records that a request was answered. It does not end a backoff.
func (u *Upstream) RecordSuccess() {
	if u.failures.Load() != 0 {
		u.failures.Store(0)
	}
}

// avoid extends the backoff to until; an instant before its end changes nothing.
func (u *Upstream) avoid(until clock.Instant) {
	for {
		old := u.avoidUntil.Load()
		if int64(until) <= old || u.avoidUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// Done releases the slot that Pick has taken.
func (u *Upstream) Done() { u.inFlight.Add(-1) }

// InFlight returns the number of requests that this host has at the upstream.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// Usable reports whether the upstream may get new requests: it is listed as live, is
// not draining, and is not in backoff. It may have no free slot.
func (u *Upstream) Usable(now clock.Instant) bool {
	return !u.draining.Load() && u.Info.State == fleet.UpstreamLive && int64(now) >= u.avoidUntil.Load()
}

// takeSlot takes a slot if this host uses fewer than the upstream has, and reports
// whether it did. Requests of other hosts do not count.
func (u *Upstream) takeSlot() bool {
	for {
		inFlight := u.inFlight.Load()
		if inFlight >= int64(u.Info.Slots) {
			return false
		}
		if u.inFlight.CompareAndSwap(inFlight, inFlight+1) {
			return true
		}
	}
}

// maxReportAge is the age from which a load report no longer counts.
const maxReportAge = 3 * time.Second

// load estimates the used part of the upstream's slots, in thousandths: the slots
// used by this host or those in the last report, whichever is more.
func (u *Upstream) load(now clock.Instant) int64 {
	busy := u.inFlight.Load()
	age := now.Sub(clock.Instant(u.reportedAt.Load()))
	if age < maxReportAge {
		busy = max(busy, u.reported.Load())
	}
	return busy * 1000 / int64(max(u.Info.Slots, 1))
}

// Picker holds the upstreams of all services and chooses among them. It is safe for
// concurrent use. Update replaces the whole snapshot, so that requests read it
// without a lock; slots are taken with atomics.
type Picker struct {
	services *rcu.Cell[map[id.Service]*pool]
	splits   *release.Splits
}

// pool lists a service's upstreams, all of them and those of each release.
type pool struct {
	group
	releases map[id.Release]*group
}

// group lists upstreams, all of them and by region.
type group struct {
	all     []*Upstream
	regions map[id.Region][]*Upstream
}

func (g *group) add(u *Upstream) {
	if g.regions == nil {
		g.regions = map[id.Region][]*Upstream{}
	}
	g.all = append(g.all, u)
	g.regions[u.Info.Region] = append(g.regions[u.Info.Region], u)
}

// New returns a picker without upstreams that divides requests between releases
// according to splits.
func New(splits *release.Splits) *Picker {
	return &Picker{services: rcu.New(map[id.Service]*pool{}), splits: splits}
}

// Update replaces the list of upstreams. Those that were listed before with the same
// address and release keep their local state.
func (p *Picker) Update(list []fleet.Upstream) {
	p.services.Update(func(old map[id.Service]*pool) map[id.Service]*pool {
		known := map[id.Upstream]*Upstream{}
		for _, service := range old {
			for _, u := range service.all {
				known[u.Info.ID] = u
			}
		}
		next := map[id.Service]*pool{}
		for _, info := range list {
			s := next[info.Service]
			if s == nil {
				s = &pool{releases: map[id.Release]*group{}}
				next[info.Service] = s
			}
			if s.releases[info.Release] == nil {
				s.releases[info.Release] = &group{}
			}
			u := newUpstream(known[info.ID], info)
			s.add(u)
			s.releases[info.Release].add(u)
		}
		return next
	})
}

// newUpstream returns known if nothing about it has changed. An upstream with the
// same address and release shares the local state of known; another one under the
// same id starts with an empty local state.
func newUpstream(known *Upstream, info fleet.Upstream) *Upstream {
	switch {
	case known == nil || known.Info.Address != info.Address || known.Info.Release != info.Release:
		return &Upstream{Info: info, localState: &localState{}}
	case known.Info == info:
		return known
	default:
		return &Upstream{Info: info, localState: known.localState}
	}
}

// Upstreams returns all upstreams of all services.
func (p *Picker) Upstreams() []*Upstream {
	var out []*Upstream
	for _, s := range *p.services.Load() {
		out = append(out, s.all...)
	}
	return out
}

// Status is the result of Pick.
type Status int

// Results of Pick.
const (
	Picked Status = iota
	// Busy means that upstreams exist, but none that may get requests has a free slot.
	Busy
	// NoUpstream means that the service has no upstream.
	NoUpstream
)

// ChooseRelease returns the release that the next request of a service goes to, if
// the service's requests are divided between two.
func (p *Picker) ChooseRelease(service id.Service) (chosen id.Release, isSplit bool) {
	split, isSplit := p.splits.Get(service)
	if !isSplit {
		return "", false
	}
	return split.Next(), true
}

// Pick takes a slot of a usable upstream: the less loaded of two random ones in the
// region, otherwise any one in the region, otherwise one elsewhere in the same
// manner. Tried lists upstreams that the request has already been sent to; they are
// not picked. The caller must call Done on the upstream.
func (p *Picker) Pick(service id.Service, region id.Region, tried []*Upstream, now clock.Instant) (*Upstream, Status) {
	s := (*p.services.Load())[service]
	if s == nil || len(s.all) == 0 {
		return nil, NoUpstream
	}
	return s.pick(region, tried, now)
}

// PickRelease is Pick for a request that ChooseRelease has assigned to a release.
// If no upstream of the new release can take the request, the old release does; the
// reverse would exceed the share of the new release.
func (p *Picker) PickRelease(service id.Service, chosen id.Release, region id.Region, tried []*Upstream, now clock.Instant) (*Upstream, Status) {
	s := (*p.services.Load())[service]
	if s == nil || len(s.all) == 0 {
		return nil, NoUpstream
	}
	if g := s.releases[chosen]; g != nil {
		if u, status := g.pick(region, tried, now); status == Picked {
			return u, Picked
		}
	}
	split, isSplit := p.splits.Get(service)
	if !isSplit || chosen != split.New || s.releases[split.Old] == nil {
		return nil, Busy
	}
	return s.releases[split.Old].pick(region, tried, now)
}

// pick takes a slot of an upstream in the region, or else of any upstream.
func (g *group) pick(region id.Region, tried []*Upstream, now clock.Instant) (*Upstream, Status) {
	if u := pickFrom(g.regions[region], tried, now); u != nil {
		return u, Picked
	}
	if u := pickFrom(g.all, tried, now); u != nil {
		return u, Picked
	}
	return nil, Busy
}

// pickFrom takes a slot of the less loaded of two random upstreams, or else of the
// other one, or else of the first that has one, from a random position on.
func pickFrom(upstreams []*Upstream, tried []*Upstream, now clock.Instant) *Upstream {
	n := len(upstreams)
	if n == 0 {
		return nil
	}
	first, second := upstreams[rand.IntN(n)], upstreams[rand.IntN(n)]
	if second.load(now) < first.load(now) {
		first, second = second, first
	}
	if tryTake(first, tried, now) {
		return first
	}
	if tryTake(second, tried, now) {
		return second
	}
	start := rand.IntN(n)
	for i := range n {
		if u := upstreams[(start+i)%n]; tryTake(u, tried, now) {
			return u
		}
	}
	return nil
}

// tryTake takes a slot of the upstream if it is usable and not among the tried ones,
// and reports whether it did.
func tryTake(u *Upstream, tried []*Upstream, now clock.Instant) bool {
	for _, other := range tried {
		if other.localState == u.localState {
			return false
		}
	}
	return u.Usable(now) && u.takeSlot()
}
