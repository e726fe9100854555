package place

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// localGoalOf returns the part of the region's requests that its upstreams can
// carry if the regions share the load in proportion to their capacity.
func (p *Placer) localGoalOf(s *pool, demand map[id.Region]float64) float64 {
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

// mayOverflow reports whether a request may run in the region to, which is not the
// first in its order. That is always allowed if the host's own region or to has no
// live upstream, otherwise only for a few requests, so that overflow is served
// without moving much at once.
func (p *Placer) mayOverflow(s *pool, to id.Region, g group, q *Query) bool {
	if !hasLive(g[p.region]) || !hasLive(g[to]) {
		return true
	}
	return q.dryRun.takeOverflow(s, to)
}

// regionOrder returns the regions to try. The own region is the first one for the
// part of the objects that the local share covers, and the last one for the others.
// The other regions follow by rendezvous hashing, weighted by their live slots.
func (p *Placer) regionOrder(s *pool, g group, q *Query, object uint64) []id.Region {
	var allowed []id.Region
	for region, list := range g {
		if q.allows(region) && hasLive(list) {
			allowed = append(allowed, region)
		}
	}
	// Upstreams in backoff count too; otherwise objects would move between regions.
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
	localPart := q.dryRun.localPart(s)
	if q.BodyBytes >= largeBody {
		localPart *= largeBodyLocalFactor
	}
	if local && unitInterval(mix(object^regionSeed)) >= localPart {
		allowed = append(allowed[1:], p.region)
	}
	return allowed
}

// hasLive reports whether an upstream of the list is live and has not been marked as
// leaving; one in backoff counts.
func hasLive(list []*Upstream) bool {
	for _, u := range list {
		if u.Info.State == fleet.UpstreamLive && !u.draining.Load() {
			return true
		}
	}
	return false
}
