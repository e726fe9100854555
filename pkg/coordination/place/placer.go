package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Placer holds the upstreams of all services. A request reads one snapshot and
// takes no lock.
type Placer struct {
	region        id.Region
	failureDomain id.FailureDomain
	maxShift      float64
	policy        Policy
	services      *rcu.Cell[map[id.Service]*pool]
	timings       *timings
	mu            sync.Mutex
	spreads       map[id.Service]*spread
}

// pool is a snapshot of a service's upstreams.
type pool struct {
	all      []*Upstream
	releases map[id.Release]group
	spread   *spread
	// goal is the part of this host's requests that its region has room for.
	goal float64
}

// New returns a placer without upstreams for a host at the given place. MaxShift
// bounds the part of a region's requests that change the region in which they
// run within two seconds.
func New(region id.Region, domain id.FailureDomain, maxShift float64, policy Policy) *Placer {
	return &Placer{
		region: region, failureDomain: domain, maxShift: maxShift, policy: policy, services: rcu.New(map[id.Service]*pool{}), timings: newTimings(),
		spreads: map[id.Service]*spread{},
	}
}

// Listing is one upstream as it is listed now.
type Listing struct {
	Info fleet.Upstream
	// ColdUntil is the instant until which the upstream is cold.
	ColdUntil clock.Instant
	// ColdPerSecond is this host's part of what the upstream tolerates while cold.
	ColdPerSecond float64
}

// Update replaces the list of upstreams that may get work. Evacuated ones are
// left out by the caller. Demand is the part of all requests that each region has.
func (p *Placer) Update(list []Listing, demand map[id.Region]float64, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]*Upstream{}
	for _, s := range *p.services.Load() {
		for _, u := range s.all {
			known[u.ConnectionKey()] = u
		}
	}
	next := map[id.Service]*pool{}
	for _, l := range list {
		u := keep(known, l.Info, now)
		u.SetCold(l.ColdUntil, l.ColdPerSecond)
		s := next[l.Info.Service]
		if s == nil {
			s = &pool{releases: map[id.Release]group{}, spread: p.spreadOf(l.Info.Service)}
			next[l.Info.Service] = s
		}
		s.all = append(s.all, u)
		if s.releases[l.Info.Release] == nil {
			s.releases[l.Info.Release] = group{}
		}
		g := s.releases[l.Info.Release]
		g[l.Info.Region] = append(g[l.Info.Region], u)
	}
	for _, s := range next {
		s.goal = p.goalOf(s, demand)
	}
	p.services.Store(next)
}

func (p *Placer) spreadOf(service id.Service) *spread {
	if p.spreads[service] == nil {
		p.spreads[service] = newSpread(p.maxShift)
	}
	return p.spreads[service]
}

func keep(known map[string]*Upstream, info fleet.Upstream, now clock.Instant) *Upstream {
	u := &Upstream{Info: info, seed: xxhash.Sum64String(string(info.ID))}
	if old := known[u.ConnectionKey()]; old != nil {
		u.knowledge = old.knowledge
	} else {
		u.knowledge = newKnowledge(now)
	}
	return u
}

// Upstreams returns all upstreams of all services.
func (p *Placer) Upstreams() []*Upstream {
	var out []*Upstream
	for _, s := range *p.services.Load() {
		out = append(out, s.all...)
	}
	return out
}

// Releases returns the number of live upstreams of each release of a service.
func (p *Placer) Releases(service id.Service) map[id.Release]int {
	out := map[id.Release]int{}
	if s := (*p.services.Load())[service]; s != nil {
		for _, u := range s.all {
			out[u.Info.Release]++
		}
	}
	return out
}

const (
	// sameDomainTrip, crossDomainTrip and crossRegionTrip are the round trips
	// assumed for the network.
	sameDomainTrip  = time.Millisecond
	crossDomainTrip = 2 * time.Millisecond
	crossRegionTrip = 60 * time.Millisecond
	// heavyBody is the size of a body, in bytes, from which it matters what the
	// links between regions carry; such requests rather stay in their region, by
	// the factor heavyStays.
	heavyBody  = 16 << 10
	heavyStays = 3
	// coldAhead is the part of the requests ahead in a queue that are taken to be
	// about cold objects.
	coldAhead = 0.2
	// coldUpstreamFactor is how much longer a cold upstream takes.
	coldUpstreamFactor = 2.0
)

// Choose chooses the upstream of a request and takes a slot there.
func (p *Placer) Choose(a *Query, now clock.Instant) (*Choice, Status) {
	s := (*p.services.Load())[a.Service]
	if s == nil || s.releases[a.Release] == nil {
		return nil, NoUpstream
	}
	s.spread.step(s.goal, now)
	s.spread.overflow.Earn()
	g := s.releases[a.Release]
	object := objectHash(a)
	t := p.timings.of(a.Service, a.Route)
	order := p.regions(s, g, a, object)
	if len(order) == 0 {
		return nil, NoUpstream
	}
	for i, region := range order {
		c := p.best(g[region], a, object, t, now)
		if region == p.region {
			s.spread.count(c == nil || c.wait > a.Route.Objective/4)
		}
		if c == nil {
			continue
		}
		if i > 0 && !p.mayMove(s, region, g) {
			continue
		}
		c.Upstream.inFlight.Add(1)
		return c, Chosen
	}
	return nil, Full
}

// best returns the upstream that is expected to answer first, of those that
// come first in the order of ownership. An upstream that is cold is only taken
// within its bound. If none is expected to answer in time, one with a free slot
// is taken all the same: expectations may be wrong, and the slot is idle.
func (p *Placer) best(list []*Upstream, a *Query, object uint64, t *timing, now clock.Instant) *Choice {
	var best, idle *Choice
	bestCost, idleCost := math.Inf(1), math.Inf(1)
	penalty := 0.0
	for i, u := range rank(list, a, object, now) {
		if i >= p.policy.Candidates && best != nil {
			break
		}
		c, cost := p.weigh(u, a, object, t, penalty, now)
		if i == 0 {
			// A slow owner is no reason to keep others from learning the object.
			penalty = p.policy.ColdPenalty / max(u.slow(now), 1)
		}
		if c != nil {
			c.rank = i
		}
		switch {
		case c == nil:
		case c.Expected() <= a.Remaining && cost < bestCost:
			best, bestCost = c, cost
		case c.Expected() > a.Remaining && c.wait == 0 && cost < idleCost:
			idle, idleCost = c, cost
		}
	}
	if best == nil {
		best = idle
	}
	if best == nil || !best.Upstream.Cold(now) || best.Upstream.cold.Take(now) {
		return best
	}
	return p.best(without(list, best.Upstream), a, object, t, now)
}

func without(list []*Upstream, u *Upstream) []*Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(other *Upstream) bool { return other.knowledge == u.knowledge })
}

// weigh estimates what a request costs at an upstream, or returns nil if that
// can take no more.
func (p *Placer) weigh(u *Upstream, a *Query, object uint64, t *timing, penalty float64, now clock.Instant) (*Choice, float64) {
	slots := float64(u.Info.Slots)
	load := u.Load(now)
	known := u.Knows(object)
	depth := p.policy.QueueDepth
	if !known {
		depth = p.policy.UnknownQueueDepth
	}
	if load >= slots*depth {
		return nil, 0
	}
	warm, cold := float64(t.warm.Load()), float64(t.cold.Load())
	work := cold
	if known {
		work = warm
	}
	slow := u.slow(now)
	if u.Cold(now) {
		slow = max(slow, coldUpstreamFactor)
	}
	wait := max(load+1-slots, 0) / slots * (warm + (cold-warm)*coldAhead) * slow
	work *= slow
	trip := p.trip(u)
	c := &Choice{
		Upstream: u, object: object, timing: t, known: known,
		wait: time.Duration(wait), trip: trip, work: time.Duration(work), slow: slow, load: load,
	}
	cost := wait + work + float64(trip)
	if !known {
		cost += penalty * cold
	}
	return c, cost
}

func (p *Placer) trip(u *Upstream) time.Duration {
	switch {
	case u.Info.FailureDomain == p.failureDomain:
		return sameDomainTrip
	case u.Info.Region == p.region:
		return crossDomainTrip
	default:
		return crossRegionTrip
	}
}

// rank returns the upstreams that may take the request, the owner first.
func rank(list []*Upstream, a *Query, object uint64, now clock.Instant) []*Upstream {
	type scored struct {
		u     *Upstream
		score float64
	}
	found := make([]scored, 0, len(list))
	for _, u := range list {
		if u.usable(now) && !a.tried(u) {
			found = append(found, scored{u, rendezvous(u.seed^object, float64(u.Info.Slots))})
		}
	}
	slices.SortFunc(found, func(x, y scored) int {
		switch {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		default:
			return 0
		}
	})
	out := make([]*Upstream, len(found))
	for i, f := range found {
		out[i] = f.u
	}
	return out
}
