package roster

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Approximate cost of a request for a host.
const (
	// cpuPerRequest is processor time, including the operating system and garbage
	// collection.
	cpuPerRequest = 1500 * time.Microsecond
	// bitsPerRequest is the number of bits on the link in each direction.
	bitsPerRequest = 50e3
)

// EstimateCapacity returns the request rate that a host can carry, given its
// processor time in cores and its link in Mbit/s; 0 if neither is known.
func EstimateCapacity(cores, linkMbit float64) unit.PerSecond {
	byCPU, byLink := cores/cpuPerRequest.Seconds(), linkMbit*1e6/bitsPerRequest
	switch {
	case cores <= 0:
		return unit.PerSecond(byLink)
	case linkMbit <= 0:
		return unit.PerSecond(byCPU)
	default:
		return unit.PerSecond(min(byCPU, byLink))
	}
}

// minStrongPart is the minimum capacity of a strong host, as a part of the capacity of
// the strongest host of its failure domain. Clients choose at random among the hosts
// that they are given, so these must have about equal capacity.
const minStrongPart = 0.5

// strongHostSet returns the set of the strong hosts of all failure domains. They carry
// the requests of their failure domains while all hosts are live.
func strongHostSet(hosts []fleet.Host) map[id.Host]bool {
	domains := map[id.FailureDomain][]fleet.Host{}
	for _, h := range hosts {
		domains[h.FailureDomain] = append(domains[h.FailureDomain], h)
	}
	out := map[id.Host]bool{}
	for _, domainHosts := range domains {
		for _, h := range strongHosts(domainHosts) {
			out[h.ID] = true
		}
	}
	return out
}

// strongHosts returns the hosts with at least minStrongPart of the greatest capacity,
// or all hosts if these are fewer than minRedundantHosts, because a single one may fail.
func strongHosts(hosts []fleet.Host) []fleet.Host {
	maxCapacity := unit.PerSecond(0)
	for _, h := range hosts {
		maxCapacity = max(maxCapacity, h.Capacity)
	}
	var out []fleet.Host
	for _, h := range hosts {
		if float64(h.Capacity) >= minStrongPart*float64(maxCapacity) {
			out = append(out, h)
		}
	}
	if len(out) < minRedundantHosts {
		return hosts
	}
	return out
}

// allHosts returns all hosts that are listed or live, this host first.
func (r *Roster) allHosts(now clock.Instant) []fleet.Host {
	out := []fleet.Host{r.self.Host}
	for _, m := range r.members() {
		out = append(out, m.Host)
	}
	for _, d := range r.live(now) {
		if _, listed := r.listed[d.Host.ID]; !listed {
			out = append(out, d.Host)
		}
	}
	return out
}

// Nearby returns the addresses of the live hosts that a client of a region and a failure
// domain should use: the strong ones of the failure domain if there are at least
// minRedundantHosts, otherwise those of the region, and those of all regions only if the
// region has none. leaving reports whether this host is leaving; its own address is
// returned nevertheless if there is no other host.
func (r *Roster) Nearby(region id.Region, domain id.FailureDomain, leaving bool, now clock.Instant) []string {
	var hosts []fleet.Host
	if !leaving {
		hosts = append(hosts, r.self.Host)
	}
	for _, d := range r.Live(now) {
		if !d.Leaving {
			hosts = append(hosts, d.Host)
		}
	}
	if len(hosts) == 0 {
		return []string{r.self.Address}
	}
	addressesWhere := func(wanted func(fleet.Host) bool) []string {
		var found []fleet.Host
		for _, h := range hosts {
			if wanted(h) {
				found = append(found, h)
			}
		}
		var out []string
		for _, h := range strongHosts(found) {
			out = append(out, h.Address)
		}
		return out
	}
	if addresses := addressesWhere(func(h fleet.Host) bool { return h.FailureDomain == domain }); len(addresses) >= minRedundantHosts {
		return addresses
	}
	if addresses := addressesWhere(func(h fleet.Host) bool { return h.Region == region }); len(addresses) > 0 {
		return addresses
	}
	return addressesWhere(func(fleet.Host) bool { return true })
}

// StrongHosts returns the number of strong hosts of all failure domains, which carry the
// requests while all hosts are live.
func (r *Roster) StrongHosts(now clock.Instant) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(strongHostSet(r.allHosts(now)))
}

// minRedundantHosts is the number of hosts needed to survive the loss of one.
const minRedundantHosts = 2
