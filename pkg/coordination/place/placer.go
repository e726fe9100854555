package place

import (
	"maps"
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

// Placer holds the upstreams of all services and chooses among them. It is safe for
// concurrent use. A request reads one snapshot of the upstreams and takes no lock, but for
// the first request of a route at a service, which takes that of the timings.
type Placer struct {
	region        id.Region
	failureDomain id.FailureDomain
	maxShift      float64
	policy        Policy
	services      *rcu.Cell[map[id.Service]*pool]
	timings       *timings

	// mu serializes Update and guards the fields below; requests do not take it.
	mu          sync.Mutex
	localShares map[id.Service]*localShare
	// left holds the connection keys of incarnations that were marked as leaving, so that
	// one whose row lapses and returns is not used again.
	left map[string]bool
}

// maxLeft bounds the incarnations that are remembered as leaving; beyond it, those that
// are not listed are forgotten.
const maxLeft = 4096

// pool is a snapshot of a service's upstreams.
type pool struct {
	all        []*Upstream
	releases   map[id.Release]group
	localShare *localShare
	// localGoal is the part of this host's requests that its region can carry.
	localGoal float64
}

// New returns a placer without upstreams for a host in the given region and
// failure domain. MaxShift bounds the part of a region's requests that change the
// region in which they run within two seconds.
func New(region id.Region, domain id.FailureDomain, maxShift float64, policy Policy) *Placer {
	return &Placer{
		region: region, failureDomain: domain, maxShift: maxShift, policy: policy, services: rcu.New(map[id.Service]*pool{}), timings: newTimings(),
		localShares: map[id.Service]*localShare{}, left: map[string]bool{},
	}
}

// Listing is one upstream in a list for Update.
type Listing struct {
	Info fleet.Upstream
	// ColdUntil is the instant until which the upstream is cold.
	ColdUntil clock.Instant
	// ColdPerSecond is this host's share of the requests per second that the upstream
	// tolerates while cold.
	ColdPerSecond float64
}

// Update replaces the list of upstreams that may get requests; the caller leaves
// out evacuated ones. Listed incarnations that were listed before keep their local
// state. Demand is each region's part of all requests.
func (p *Placer) Update(list []Listing, demand map[id.Region]float64, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]*Upstream{}
	for _, s := range *p.services.Load() {
		for _, u := range s.all {
			known[u.ConnectionKey()] = u
			// Without an incarnation, a row that returns may be that of a new start.
			if u.Draining() && u.Info.Incarnation != 0 {
				p.left[u.ConnectionKey()] = true
			}
		}
	}
	if len(p.left) > maxLeft {
		maps.DeleteFunc(p.left, func(key string, _ bool) bool { return known[key] == nil })
	}
	next := map[id.Service]*pool{}
	for _, l := range list {
		u := newUpstream(known, l.Info, now)
		if p.left[u.ConnectionKey()] {
			u.MarkDraining()
		}
		u.SetCold(l.ColdUntil, l.ColdPerSecond)
		s := next[l.Info.Service]
		if s == nil {
			s = &pool{releases: map[id.Release]group{}, localShare: p.localShareOf(l.Info.Service)}
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
		s.localGoal = p.localGoalOf(s, demand)
	}
	p.services.Store(next)
}

func (p *Placer) localShareOf(service id.Service) *localShare {
	if p.localShares[service] == nil {
		p.localShares[service] = newLocalShare(p.maxShift)
	}
	return p.localShares[service]
}

// newUpstream returns an upstream that shares the local state of the known one of
// the same incarnation, if there is one.
func newUpstream(known map[string]*Upstream, info fleet.Upstream, now clock.Instant) *Upstream {
	u := &Upstream{Info: info, idHash: xxhash.Sum64String(string(info.ID))}
	if old := known[u.ConnectionKey()]; old != nil {
		u.localState = old.localState
	} else {
		u.localState = newLocalState(now)
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

// Releases returns the number of listed upstreams of each release of a service.
func (p *Placer) Releases(service id.Service) map[id.Release]int {
	out := map[id.Release]int{}
	if s := (*p.services.Load())[service]; s != nil {
		for _, u := range s.all {
			out[u.Info.Release]++
		}
	}
	return out
}

// Round-trip times assumed for the network.
const (
	// sameDomainRoundTrip applies within a failure domain.
	sameDomainRoundTrip = time.Millisecond
	// crossDomainRoundTrip applies between failure domains of a region.
	crossDomainRoundTrip = 2 * time.Millisecond
	// crossRegionRoundTrip applies between regions.
	crossRegionRoundTrip = 60 * time.Millisecond
)

const (
	// largeBody is the size of a body, in bytes, from which the capacity of the links
	// between regions matters.
	largeBody = 16 << 10
	// largeBodyLocalFactor multiplies the local share for requests with a large body,
	// so that more of them stay in their region.
	largeBodyLocalFactor = 3
	// coldShareAhead is the part of the requests ahead in a queue that are assumed to
	// be about cold objects.
	coldShareAhead = 0.2
	// coldUpstreamFactor is the minimum slowdown assumed for a cold upstream.
	coldUpstreamFactor = 2.0
)

// Choose chooses the upstream for a request and takes a slot there. It tries the
// regions in order; beyond the first one, it takes an upstream only if mayOverflow
// allows it.
func (p *Placer) Choose(q *Query, now clock.Instant) (*Choice, Status) {
	s := (*p.services.Load())[q.Service]
	if s == nil || s.releases[q.Release] == nil {
		return nil, NoUpstream
	}
	q.dryRun.begin(s, now)
	g := s.releases[q.Release]
	object := objectHash(q)
	t := q.dryRun.timing(p.timings, q)
	order := p.regionOrder(s, g, q, object)
	if len(order) == 0 {
		return nil, NoUpstream
	}
	for i, region := range order {
		c := p.chooseIn(g[region], q, object, t, now)
		if region == p.region {
			q.dryRun.countPlacement(s, c == nil || c.wait > q.Route.Objective/4)
		}
		if c == nil {
			continue
		}
		if i > 0 && !p.mayOverflow(s, region, g, q) {
			continue
		}
		q.dryRun.takeSlot(c.Upstream)
		return c, Chosen
	}
	return nil, Full
}

// MayServeFrom returns the instant from which the first of the upstreams that may serve a
// request takes requests again, or now if one does already or none may serve it.
func (p *Placer) MayServeFrom(q *Query, now clock.Instant) clock.Instant {
	s := (*p.services.Load())[q.Service]
	if s == nil {
		return now
	}
	first := clock.Instant(math.MaxInt64)
	for region, list := range s.releases[q.Release] {
		if !q.allows(region) {
			continue
		}
		for _, u := range list {
			if from, ok := u.mayServeFrom(); ok {
				first = min(first, from)
			}
		}
	}
	if first == math.MaxInt64 {
		return now
	}
	return max(first, now)
}

// chooseIn returns the upstream of the list with the lowest expected cost, or nil.
// It compares the first Policy.Candidates in the order of ownership. If none of them is
// expected to answer in time, it returns one with a free slot, because the estimate may be
// wrong and the slot is idle. If they can take no request, it goes on to upstreams that
// have just reported idle slots: a request takes several times the slot time where its
// object is not known, and displaces objects that are. Under overload, sending it to any
// upstream keeps all objects unknown, and the overload does not end with the burst that
// caused it.
// It returns a cold upstream only within that upstream's rate.
func (p *Placer) chooseIn(list []*Upstream, q *Query, object uint64, t *timing, now clock.Instant) *Choice {
	var best, idle *Choice
	bestCost, idleCost := math.Inf(1), math.Inf(1)
	penalty := 0.0
	for i, u := range byOwnership(list, q, object, now) {
		if i >= p.policy.Candidates {
			if best != nil || idle != nil {
				break
			}
			if !u.reportedIdle(p.policy.IdleLoad, now) {
				continue
			}
		}
		c, cost := p.estimate(u, q, object, t, penalty, now)
		if i == 0 {
			// The penalty applies from the second upstream on. A slow owner lowers it, so
			// that others may serve the object.
			penalty = p.policy.ColdPenalty / max(u.slowdown(now), 1)
		}
		if c != nil {
			c.rank = i
		}
		q.dryRun.compared(u, c)
		switch {
		case c == nil:
		case c.Expected() <= q.Remaining && cost < bestCost:
			best, bestCost = c, cost
		case c.Expected() > q.Remaining && c.wait == 0 && cost < idleCost:
			idle, idleCost = c, cost
		}
	}
	if best == nil {
		best = idle
	}
	if best == nil || !best.Upstream.Cold(now) || q.dryRun.takeCold(best.Upstream, now) {
		return best
	}
	return p.chooseIn(without(list, best.Upstream), q, object, t, now)
}

// without returns a copy of list that lacks u.
func without(list []*Upstream, u *Upstream) []*Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(other *Upstream) bool { return other.localState == u.localState })
}

// estimate returns the expected times and the cost, in nanoseconds, of a request at
// an upstream, or nil if the upstream can take no more requests. penalty is the
// weight of a cold start beyond the request's own latency.
func (p *Placer) estimate(u *Upstream, q *Query, object uint64, t *timing, penalty float64, now clock.Instant) (*Choice, float64) {
	slots := float64(u.Info.Slots)
	load := u.Load(now)
	known := u.Knows(object)
	depth := p.policy.QueueDepth
	if !known {
		depth = p.policy.UnknownDepth
	}
	if load >= slots*depth {
		return nil, 0
	}
	warm, cold := float64(t.warm.Load()), float64(t.cold.Load())
	work := cold
	if known {
		work = warm
	}
	slowdown := u.slowdown(now)
	pace, paceWeight := u.pace.at(now)
	if u.Cold(now) {
		slowdown = max(slowdown, coldUpstreamFactor)
	}
	wait := max(load+1-slots, 0) / slots * (warm + (cold-warm)*coldShareAhead) * slowdown
	work *= slowdown
	roundTrip := p.roundTrip(u)
	c := &Choice{
		Upstream: u, object: object, timing: t, known: known,
		wait: time.Duration(wait), roundTrip: roundTrip, work: time.Duration(work), slowdown: slowdown, load: load,
		pace: pace, paceWeight: paceWeight,
	}
	cost := wait + work + float64(roundTrip)
	if !known {
		cost += penalty * cold
	}
	return c, cost
}

// roundTrip returns the round-trip time assumed for the upstream.
func (p *Placer) roundTrip(u *Upstream) time.Duration {
	switch {
	case u.Info.FailureDomain == p.failureDomain:
		return sameDomainRoundTrip
	case u.Info.Region == p.region:
		return crossDomainRoundTrip
	default:
		return crossRegionRoundTrip
	}
}

// byOwnership returns the upstreams that may take the request in the order of
// ownership, the owner first.
func byOwnership(list []*Upstream, q *Query, object uint64, now clock.Instant) []*Upstream {
	type scored struct {
		u     *Upstream
		score float64
	}
	found := make([]scored, 0, len(list))
	for _, u := range list {
		if u.usable(now) && !q.tried(u) {
			found = append(found, scored{u, rendezvous(u.idHash^object, float64(u.Info.Slots))})
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
