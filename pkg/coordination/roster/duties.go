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

// ColdSenders returns the hosts of this region that clients use, which all hosts
// name alike.
func (r *Roster) ColdSenders(now clock.Instant) ColdSenders {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.known(now)
	strong := strongest(known)
	out := ColdSenders{self: r.self.ID}
	for _, h := range known {
		if h.Region == r.self.Region && strong[h.ID] {
			out.hosts = append(out.hosts, h.ID)
		}
	}
	return out
}

// Share returns this host's part of what a cold upstream of its region may get,
// as one over a number of hosts, or 0 if others send. Each sender may send one
// request at once beside its rate, so only as many hosts send as the bound has
// room for; all hosts name the same ones.
func (s ColdSenders) Share(upstream id.Upstream, most int) float64 {
	before, sends := 0, false
	own := coldRank(s.self, upstream)
	for _, h := range s.hosts {
		sends = sends || h == s.self
		if coldRank(h, upstream) > own {
			before++
		}
	}
	senders := min(len(s.hosts), max(most, 1))
	if !sends || before >= senders {
		return 0
	}
	return 1 / float64(senders)
}

func coldRank(host id.Host, upstream id.Upstream) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(upstream))
}

// DemandParts returns the part of all requests that each region has. Regions of
// which nothing is known count like the others.
func (r *Roster) DemandParts(own float64, regions []id.Region, now clock.Instant) map[id.Region]float64 {
	// Each region gets a floor, so that one without requests keeps some room.
	const floor = 5.0
	out := map[id.Region]float64{}
	sum := 0.0
	for _, region := range regions {
		out[region] = floor
		sum += floor
	}
	add := func(region id.Region, rate float64) {
		if _, known := out[region]; known {
			out[region] += rate
			sum += rate
		}
	}
	add(r.self.Region, own)
	for _, d := range r.Live(now) {
		add(d.Host.Region, d.RequestRate)
	}
	for region := range out {
		out[region] /= max(sum, 1)
	}
	return out
}

// IsLeader tells whether this host is the first by name of those that live, which
// takes the steps that one host should take. Several hosts may think so; what
// they write is conditional.
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

// Reader returns the host of this region that reads the store for the others:
// its hub, or, while there are none, the first by name that lives and can.
func (r *Roster) Reader(failing, leaving bool, now clock.Instant) id.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.meshed() && r.hubs.current != "" {
		return r.hubs.current
	}
	for _, d := range r.live(now) {
		if d.Host.Region != r.self.Region || d.Leaving || d.ReadsFailing {
			continue
		}
		if failing || leaving || d.Host.ID < r.self.ID {
			return d.Host.ID
		}
		break
	}
	return r.self.ID
}
