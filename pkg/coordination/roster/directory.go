package roster

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// What a request costs a host, about: processor time with what the system and
// the collection of garbage take, and bytes on the link each way.
const (
	cpuPerRequest = 1500 * time.Microsecond
	bitPerRequest = 50e3
)

// EstimateCapacity returns the requests a second that a host can carry, given its
// processor time in cores and its link in Mbit/s; 0 if neither is known.
func EstimateCapacity(cores, linkMbit float64) unit.PerSecond {
	byCPU, byLink := cores/cpuPerRequest.Seconds(), linkMbit*1e6/bitPerRequest
	switch {
	case cores <= 0:
		return unit.PerSecond(byLink)
	case linkMbit <= 0:
		return unit.PerSecond(byCPU)
	default:
		return unit.PerSecond(min(byCPU, byLink))
	}
}

// strongPart is the part of the capacity of the strongest host of a failure
// domain that others must have to be used beside it. Clients choose at random
// among the hosts that are named, so these must be about equal.
const strongPart = 0.5

// strongest returns the hosts that carry the requests of their failure domains
// while all live: those of about the greatest capacity, or all if that is one
// alone.
func strongest(hosts []fleet.Host) map[id.Host]bool {
	domains := map[id.FailureDomain][]fleet.Host{}
	for _, h := range hosts {
		domains[h.FailureDomain] = append(domains[h.FailureDomain], h)
	}
	out := map[id.Host]bool{}
	for _, in := range domains {
		for _, h := range strong(in) {
			out[h.ID] = true
		}
	}
	return out
}

// strong returns the hosts of about the greatest capacity, or all if that is one
// alone, which might be lost.
func strong(hosts []fleet.Host) []fleet.Host {
	most := unit.PerSecond(0)
	for _, h := range hosts {
		most = max(most, h.Capacity)
	}
	var out []fleet.Host
	for _, h := range hosts {
		if float64(h.Capacity) >= strongPart*float64(most) {
			out = append(out, h)
		}
	}
	if len(out) < nearEnough {
		return hosts
	}
	return out
}

// known returns all hosts that are listed or live, this one included.
func (r *Roster) known(now clock.Instant) []fleet.Host {
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

// Nearby returns the addresses of the live hosts that a client should use: the
// strong ones of its failure domain if there are a few, those of its region
// otherwise, and only if there are none those of other regions.
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
	in := func(wanted func(fleet.Host) bool) []string {
		var found []fleet.Host
		for _, h := range hosts {
			if wanted(h) {
				found = append(found, h)
			}
		}
		var out []string
		for _, h := range strong(found) {
			out = append(out, h.Address)
		}
		return out
	}
	if near := in(func(h fleet.Host) bool { return h.FailureDomain == domain }); len(near) >= nearEnough {
		return near
	}
	if near := in(func(h fleet.Host) bool { return h.Region == region }); len(near) > 0 {
		return near
	}
	return in(func(fleet.Host) bool { return true })
}

// nearEnough is the number of hosts of a failure domain that bear the loss of one.
const nearEnough = 2
