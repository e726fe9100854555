package roster

import (
	"cmp"
	"maps"
	"slices"

	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// meshCollectors is the number of hosts of a region that collect its usage in a full mesh.
const meshCollectors = 2

// UsageRoles states with whom this host exchanges counts of requests.
type UsageRoles struct {
	// Collectors get the counts of this host; it may be one of them.
	Collectors []id.Host
	// SumReceivers get the sum of this host's region. There are none unless this host is a
	// collector.
	SumReceivers []id.Host
	// Collects reports whether this host is a collector, so that its own counts belong to
	// the sum of its region.
	Collects bool
}

// UsageRoles returns this host's roles. With hubs, the collectors are this host's hub and
// standby, and hubs send the sums. In a full mesh they are the two best hosts of the region:
// those that stay and can read the store before the others, each in the order of names. The
// reader of the store, which may hold the duty, is then always one of them. Hosts whose build
// does not count usage have no role.
func (r *Roster) UsageRoles(readsFailing, leaving bool, now clock.Instant) UsageRoles {
	r.mu.Lock()
	defer r.mu.Unlock()
	roles := r.allUsageRoles(readsFailing, leaving, now)
	unknowing := func(h id.Host) bool { return h != r.self.ID && !r.hubs.countsUsage[h] }
	roles.Collectors = slices.DeleteFunc(roles.Collectors, unknowing)
	roles.SumReceivers = slices.DeleteFunc(roles.SumReceivers, unknowing)
	return roles
}

// allUsageRoles returns the roles whether or not the other hosts count usage.
func (r *Roster) allUsageRoles(readsFailing, leaving bool, now clock.Instant) UsageRoles {
	if !r.meshed() && r.hubs.hub != "" {
		return r.hubUsageRoles(now)
	}
	candidates := map[id.Region][]usageCandidate{r.self.Region: {{r.self.ID, leaving, readsFailing}}}
	for _, d := range r.live(now) {
		region := d.Host.Region
		candidates[region] = append(candidates[region], usageCandidate{d.Host.ID, d.Leaving, d.ReadsFailing})
	}
	var roles UsageRoles
	for _, region := range slices.Sorted(maps.Keys(candidates)) {
		best := bestCollectors(candidates[region])
		if region == r.self.Region {
			roles.Collectors = best
		}
		roles.SumReceivers = append(roles.SumReceivers, best...)
	}
	roles.Collects = slices.Contains(roles.Collectors, r.self.ID)
	roles.SumReceivers = slices.DeleteFunc(roles.SumReceivers, func(h id.Host) bool { return h == r.self.ID || !roles.Collects })
	return roles
}

// hubUsageRoles returns the roles where there are hubs. A hub may have another hub than
// itself while the choice changes; it then still gets the reports of its followers.
func (r *Roster) hubUsageRoles(now clock.Instant) UsageRoles {
	h := &r.hubs
	roles := UsageRoles{Collectors: []id.Host{h.hub}, Collects: h.isHub(r.self.ID, now)}
	if h.standby != "" {
		roles.Collectors = append(roles.Collectors, h.standby)
	}
	if !roles.Collects {
		return roles
	}
	others := append(r.chooseRemoteHubs(now), recent(h.remoteSenders, followerTimeout, now)...)
	others = append(others, roles.Collectors...)
	slices.Sort(others)
	roles.SumReceivers = slices.DeleteFunc(slices.Compact(others), func(other id.Host) bool { return other == r.self.ID })
	return roles
}

// usageCandidate is a host that may collect the usage of its region.
type usageCandidate struct {
	host                  id.Host
	leaving, readsFailing bool
}

// bestCollectors returns the collectors of a region, the best first.
func bestCollectors(candidates []usageCandidate) []id.Host {
	slices.SortFunc(candidates, func(a, b usageCandidate) int {
		return cmp.Or(cmp.Compare(boolToInt(a.leaving), boolToInt(b.leaving)),
			cmp.Compare(boolToInt(a.readsFailing), boolToInt(b.readsFailing)), cmp.Compare(a.host, b.host))
	})
	var out []id.Host
	for _, c := range candidates[:min(len(candidates), meshCollectors)] {
		out = append(out, c.host)
	}
	return out
}

// ServingHosts returns this host and the others that are listed or heard, with their last
// known rate of requests. A silent host whose failure domain is in contact has stopped. A
// failure domain that is silent as a whole may be cut off and serve requests; after
// expiryTimeout it counts as stopped, too. Hosts that refuse connections have ended.
func (r *Roster) ServingHosts(ownRate float64, refused map[id.Host]clock.Instant, now clock.Instant) []usage.ServingHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	inContact := r.domainsInContact(now)
	out := []usage.ServingHost{{Host: r.self.ID, Region: r.self.Region, Rate: ownRate, HeardAt: now}}
	add := func(h fleet.Host) {
		s := usage.ServingHost{Host: h.ID, Region: h.Region}
		state, heard := r.states[h.ID]
		live := heard && state.isLive(now)
		last := r.startedAt
		if heard {
			s.HeardAt, s.Incarnation, s.Rate, last = state.reportedAt, state.digest.Incarnation, state.digest.RequestRate, state.reportedAt
		}
		refusedAt, isRefused := refused[h.ID]
		silent := now.Sub(last)
		switch {
		case isRefused && refusedAt > last:
			s.Presence = usage.Ended
		case !live && silent >= relayTimeout && inContact[h.FailureDomain], !live && silent >= expiryTimeout:
			s.Presence = usage.Ended
		}
		out = append(out, s)
	}
	for _, m := range r.members() {
		add(m.Host)
	}
	for host, state := range r.states {
		if _, listed := r.listed[host]; !listed && state.isLive(now) {
			add(state.digest.Host)
		}
	}
	return out
}
