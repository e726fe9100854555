package roster

import (
	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// ColdSenders are the hosts of a region that may send to its cold upstreams.
type ColdSenders struct {
	self  id.Host
	hosts []id.Host
}

// ColdSenders returns the strong hosts of this region, which its clients use. All
// hosts compute the same set.
func (r *Roster) ColdSenders(now clock.Instant) ColdSenders {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := r.allHosts(now)
	strong := strongHostSet(hosts)
	out := ColdSenders{self: r.self.ID}
	for _, h := range hosts {
		if h.Region == r.self.Region && strong[h.ID] {
			out.hosts = append(out.hosts, h.ID)
		}
	}
	return out
}

// Share returns this host's part of the rate that a cold upstream of its region may
// receive: one over the number of senders, or 0 if only other hosts send. Each sender
// may send one request at once beyond its rate, so the upstream's bound allows at most
// maxSenders hosts to send. All hosts compute the same senders, those with the highest
// coldRank.
func (s ColdSenders) Share(upstream id.Upstream, maxSenders int) float64 {
	higherRanked, listed := 0, false
	ownRank := coldRank(s.self, upstream)
	for _, h := range s.hosts {
		listed = listed || h == s.self
		if coldRank(h, upstream) > ownRank {
			higherRanked++
		}
	}
	senders := min(len(s.hosts), max(maxSenders, 1))
	if !listed || higherRanked >= senders {
		return 0
	}
	return 1 / float64(senders)
}

// coldRank returns the rank of a host as a sender to a cold upstream.
func coldRank(host id.Host, upstream id.Upstream) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(upstream))
}

// DemandParts returns the part of all requests that reaches each region, given the rate
// of requests that reach this host, per second.
func (r *Roster) DemandParts(ownRate float64, regions []id.Region, now clock.Instant) map[id.Region]float64 {
	// baseRate is added to the rate of each region, in requests per second, so that one
	// without known requests keeps some capacity.
	const baseRate = 5.0
	out := map[id.Region]float64{}
	total := 0.0
	for _, region := range regions {
		out[region] = baseRate
		total += baseRate
	}
	add := func(region id.Region, rate float64) {
		if _, known := out[region]; known {
			out[region] += rate
			total += rate
		}
	}
	add(r.self.Region, ownRate)
	for _, d := range r.Live(now) {
		add(d.Host.Region, d.RequestRate)
	}
	for region := range out {
		out[region] /= max(total, 1)
	}
	return out
}

// IsLeader reports whether this host has the lowest ID of the live hosts that are not
// leaving. The leader takes the steps that only one host should take. Several hosts may
// be leader in their own view, so their writes must be conditional.
func (r *Roster) IsLeader(leaving bool, now clock.Instant) bool {
	if leaving {
		return false
	}
	for _, d := range r.Live(now) {
		if !d.Leaving && d.Host.ID < r.self.ID {
			return false
		}
	}
	return true
}

// Reader returns the host of this region that reads the store for the others: its hub
// or, in a full mesh, the live host with the lowest ID that is not leaving and can read
// the store. It returns this host if there is no such host.
func (r *Roster) Reader(readsFailing, leaving bool, now clock.Instant) id.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.meshed() && r.hubs.hub != "" {
		return r.hubs.hub
	}
	for _, d := range r.live(now) {
		if d.Host.Region != r.self.Region || d.Leaving || d.ReadsFailing {
			continue
		}
		if readsFailing || leaving || d.Host.ID < r.self.ID {
			return d.Host.ID
		}
		break
	}
	return r.self.ID
}
