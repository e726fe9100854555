package place

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

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
	return min(1, (local/total)/demand[p.region])
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
func (p *Placer) regions(s *pool, g group, a *Query, object uint64) []id.Region {
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
