package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Placer holds the upstreams of all services. A request reads one snapshot and
// takes no lock.
type Placer struct {
	region        id.Region
	failureDomain id.FailureDomain
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

// New returns a placer without upstreams for a host at the given place.
func New(region id.Region, domain id.FailureDomain) *Placer {
	return &Placer{
		region: region, failureDomain: domain, services: rcu.New(map[id.Service]*pool{}), timings: newTimings(),
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
		p.spreads[service] = newSpread()
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

// goalOf returns the part of the region's requests that its upstreams can
// carry, if the regions share the load according to their room.
func (p *Placer) goalOf(s *pool, demand map[id.Region]float64) float64 {
	total, local := 0.0, 0.0
	for _, u := range s.all {
		if u.Info.State != fleet.UpstreamLive {
			continue
		}
		total += float64(u.Info.Slots)
		if u.Info.Region == p.region {
			local += float64(u.Info.Slots)
		}
	}
	if total == 0 || demand[p.region] <= 0 {
		return 1
	}
	return min(1, spreadMargin*(local/total)/demand[p.region])
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

// Ask is what a request needs.
type Ask struct {
	Service id.Service
	Release id.Release
	Route   *desired.Route
	Object  id.Object
	// Homes are the regions that may serve the request, if HasHomes.
	Homes    []id.Region
	HasHomes bool
	// Left is the time until the request must be answered.
	Left time.Duration
	// Tried are the upstreams that the request was sent to already.
	Tried []*Upstream
	// BodyBytes is the size of the request's body.
	BodyBytes int64
}

func (a *Ask) allows(region id.Region) bool { return !a.HasHomes || slices.Contains(a.Homes, region) }

func (a *Ask) tried(u *Upstream) bool {
	for _, t := range a.Tried {
		if t.knowledge == u.knowledge {
			return true
		}
	}
	return false
}

// Verdict tells why no upstream was chosen.
type Verdict int

// Verdicts of Choose.
const (
	Chosen Verdict = iota
	// Full means that upstreams exist, but none can answer in time.
	Full
	// Absent means that there is no upstream that may serve the request.
	Absent
)

// Choice is the upstream for a request, with a slot taken there. Done must be
// called on it.
type Choice struct {
	Upstream *Upstream
	object   uint64
	timing   *timing
	known    bool
	// wait is the expected time in the upstream's queue, trip that of the network,
	// work that of the request itself; wait and work include slow.
	wait, trip, work time.Duration
	// slow is how many times longer the upstream takes than others.
	slow float64
	// rank is the upstream's place in the order of ownership, 0 for the owner.
	rank int
	load float64
}

// Rank returns the upstream's place in the order of ownership, 0 for the owner.
func (c *Choice) Rank() int { return c.rank }

// Load returns the load that the upstream was taken to have, and the age of its
// last report.
func (c *Choice) Load(now clock.Instant) (load float64, age time.Duration) {
	return c.load, now.Sub(clock.Instant(c.Upstream.reportedAt.Load()))
}

// Expected returns the time that the answer is expected to take.
func (c *Choice) Expected() time.Duration { return c.trip + c.wait + c.work }

// Warm tells whether the upstream is expected to know the object.
func (c *Choice) Warm() bool { return c.known }

// Relative returns how long an answer took as if the object had been warm, to
// compare upstreams whatever they have served before.
func (c *Choice) Relative(took time.Duration) time.Duration {
	if c.known {
		return took
	}
	return time.Duration(float64(took) * float64(c.timing.warm.Load()) / float64(max(c.timing.cold.Load(), 1)))
}

// Done gives the slot back.
func (c *Choice) Done() { c.Upstream.inFlight.Add(-1) }

// Served records an answer.
func (c *Choice) Served(took time.Duration, now clock.Instant) {
	work := max(took-c.wait-c.trip, time.Millisecond)
	if !c.Upstream.Cold(now) {
		c.timing.observe(c.known, time.Duration(float64(work)/max(c.slow, 1)))
	}
	// What is learned of the upstream is compared with what others would take.
	usual := c.trip + time.Duration(float64(c.wait+c.work)/c.slow)
	c.Upstream.Serve(c.object, took, usual, now)
}

const (
	// candidates is how many upstreams in the order of ownership are compared.
	candidates = 2
	// queueDepth bounds the load of an upstream, in multiples of its slots: what
	// runs and what waits. Upstreams queue a few requests for each slot.
	queueDepth = 3.0
	// unknownDepth is the same for objects that the upstream does not know. Each of
	// them takes the time of several known ones, so they are turned away first.
	unknownDepth = 1.5
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
	// coldPenalty weighs the work of a cold start beyond the request's own wait:
	// it takes a place in the upstream's memory and time of its slots.
	coldPenalty = 1.0
	// coldAhead is the part of the requests ahead in a queue that are taken to be
	// about cold objects.
	coldAhead = 0.2
	// coldUpstreamFactor is how much longer a cold upstream takes.
	coldUpstreamFactor = 2.0
)

// Choose chooses the upstream of a request and takes a slot there.
func (p *Placer) Choose(a *Ask, now clock.Instant) (*Choice, Verdict) {
	s := (*p.services.Load())[a.Service]
	if s == nil || s.releases[a.Release] == nil {
		return nil, Absent
	}
	s.spread.step(s.goal, now)
	s.spread.overflow.Earn()
	g := s.releases[a.Release]
	object := objectHash(a)
	t := p.timings.of(a.Service, a.Route)
	order := p.regions(s, g, a, object)
	if len(order) == 0 {
		return nil, Absent
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

// mayMove tells whether a request may run in another region than the spread
// says: if the own region has no upstream left, and else for a few requests,
// so that what does not fit is served without moving much at once.
func (p *Placer) mayMove(s *pool, to id.Region, g group) bool {
	if !hasLive(g[p.region]) || !hasLive(g[to]) {
		return true
	}
	return s.spread.overflow.Take()
}

// regions returns the regions to try: the one that the object falls to first.
func (p *Placer) regions(s *pool, g group, a *Ask, object uint64) []id.Region {
	var allowed []id.Region
	for region, list := range g {
		if a.allows(region) && hasLive(list) {
			allowed = append(allowed, region)
		}
	}
	// Upstreams that are passed over for a moment count, or objects would move.
	weight := func(region id.Region) float64 {
		slots := 0
		for _, u := range g[region] {
			if u.Info.State == fleet.UpstreamLive {
				slots += u.Info.Slots
			}
		}
		if region == p.region {
			return math.Inf(1)
		}
		return rendezvous(xxhash.Sum64String(string(region))^object, float64(slots))
	}
	scores := map[id.Region]float64{}
	for _, r := range allowed {
		scores[r] = weight(r)
	}
	slices.SortFunc(allowed, func(x, y id.Region) int {
		switch {
		case scores[x] > scores[y]:
			return -1
		case scores[x] < scores[y]:
			return 1
		default:
			return 0
		}
	})
	local := len(allowed) > 1 && allowed[0] == p.region
	stays := s.spread.load()
	if a.BodyBytes >= heavyBody {
		stays *= heavyStays
	}
	if local && unit(mix(object^regionSeed)) >= stays {
		allowed = append(allowed[1:], p.region)
	}
	return allowed
}

func hasLive(list []*Upstream) bool {
	for _, u := range list {
		if u.Info.State == fleet.UpstreamLive && !u.leaving.Load() {
			return true
		}
	}
	return false
}

// best returns the upstream that is expected to answer first, of those that
// come first in the order of ownership. An upstream that is cold is only taken
// within its bound. If none is expected to answer in time, one with a free slot
// is taken all the same: expectations may be wrong, and the slot is idle.
func (p *Placer) best(list []*Upstream, a *Ask, object uint64, t *timing, now clock.Instant) *Choice {
	var best, idle *Choice
	bestCost, idleCost := math.Inf(1), math.Inf(1)
	penalty := 0.0
	for i, u := range rank(list, a, object, now) {
		if i >= candidates && best != nil {
			break
		}
		c, cost := p.weigh(u, a, object, t, penalty, now)
		if i == 0 {
			// A slow owner is no reason to keep others from learning the object.
			penalty = coldPenalty / max(u.slow(now), 1)
		}
		if c != nil {
			c.rank = i
		}
		switch {
		case c == nil:
		case c.Expected() <= a.Left && cost < bestCost:
			best, bestCost = c, cost
		case c.Expected() > a.Left && c.wait == 0 && cost < idleCost:
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
func (p *Placer) weigh(u *Upstream, a *Ask, object uint64, t *timing, penalty float64, now clock.Instant) (*Choice, float64) {
	slots := float64(u.Info.Slots)
	load := u.Load(now)
	known := u.Knows(object)
	depth := queueDepth
	if !known {
		depth = unknownDepth
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
func rank(list []*Upstream, a *Ask, object uint64, now clock.Instant) []*Upstream {
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

// rendezvous returns a score that is highest with a probability in proportion to weight.
func rendezvous(hash uint64, weight float64) float64 {
	return -weight / math.Log(unit(mix(hash)))
}

const regionSeed = 0x9e3779b97f4a7c15

// unit maps a hash into the open interval between 0 and 1.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// mix spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// objectHash names the object of a request on its route. A request without an
// object counts as one about the route.
func objectHash(a *Ask) uint64 {
	return xxhash.Sum64String(string(a.Route.Name)+"\x00"+string(a.Object)) | 1
}
