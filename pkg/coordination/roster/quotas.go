package roster

import (
	"time"

	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// regionTotals are the last totals of a region's quota reports.
type regionTotals struct {
	quota.Totals
	receivedAt clock.Instant
}

const (
	// assumedHosts is the number of other hosts assumed before any is known.
	assumedHosts = 8
	// idleWeight is the weight of a host that is not strong: Nearby does not return it
	// while the strong hosts of its failure domain are live. Strong hosts have the weight 1.
	idleWeight = 0.1
	// pooledIdleWeight is its weight where it can draw tokens from a pool.
	pooledIdleWeight = 0.01
	// staleHostAge is the age of a host's last report above which the others stop
	// increasing their parts of quotas, because they might grow into that host's part.
	staleHostAge = 1500 * time.Millisecond
	// staleTotalsAge is the corresponding age for the totals of a region; it is longer
	// because totals pass through two hubs.
	staleTotalsAge = 1800 * time.Millisecond
)

// QuotaPeers returns the quota totals of the other hosts and this host's weight among
// them, given the last report of this host.
func (r *Roster) QuotaPeers(report quota.Report, accounts []*desired.Account, now clock.Instant) quota.Peers {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.divide(now)
	ownWeight := v.weights[r.self.ID]
	others := quota.NewTotals()
	if len(v.weights) == 1 {
		others.Unreported = assumedHosts / (assumedHosts + 1.0)
		return quota.NewPeers(others, ownWeight, 1/(assumedHosts+1.0))
	}
	if r.meshed() {
		others = r.sumReports(r.allHosts(now)[1:], v, accounts, now)
		return quota.NewPeers(others, ownWeight, ownWeight/v.total)
	}
	pooled := r.poolHolder(now) != ""
	for region, hosts := range r.byRegion() {
		even := v.sum(hosts)
		t, known := r.hubs.totals[region]
		if !known {
			others.Unreported += even
			continue
		}
		if region == r.self.Region {
			t.Totals = t.Without(report, ownWeight)
		}
		switch age := now.Sub(t.receivedAt); {
		case age < relayTimeout:
			others.Add(t.Totals)
			others.Stale = others.Stale || age > staleTotalsAge
		case age < reservationTimeout:
			others.Add(t.AsSilent())
		case age < growthTimeout:
			others.Add(t.AsCutOff(accounts, even))
		default:
			others.Unreported += even
		}
	}
	peers := quota.NewPeers(others, ownWeight, ownWeight/v.total)
	peers.Pooled = pooled
	return peers
}

// PoolHolder returns the host that holds the pool of this region's tokens: the hub that
// this host follows. It returns none in a full mesh, and while the hub is silent.
func (r *Roster) PoolHolder(now clock.Instant) id.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poolHolder(now)
}

// poolHolder is PoolHolder for callers that hold the mutex.
func (r *Roster) poolHolder(now clock.Instant) id.Host {
	hub := r.hubs.hub
	if r.meshed() {
		return ""
	}
	if hub == r.self.ID {
		return hub
	}
	if h, known := r.states[hub]; !known || !h.digest.HoldsPool || now.Sub(r.hubs.lastContact[hub]) > hubTimeout {
		return ""
	}
	return hub
}

// PoolParts returns the parts of quotas of the hosts that deposit with this one, this one
// included, given its own last report. It returns false if this host holds no pool.
func (r *Roster) PoolParts(own quota.Report, now clock.Instant) (quota.PoolParts, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meshed() || !r.hubs.isHub(r.self.ID, now) {
		return quota.PoolParts{}, false
	}
	weights, totalWeight := r.weights(now)
	parts := quota.PoolParts{Used: map[id.Account]float64{}}
	add := func(host id.Host, report quota.Report) {
		parts.Even += weights[host] / totalWeight
		for account, part := range report.Part {
			parts.Used[account] += part
		}
	}
	add(r.self.ID, own)
	for _, host := range recent(r.hubs.followers, followerTimeout, now) {
		if h, known := r.states[host]; known && host != r.self.ID {
			add(host, h.digest.Quota)
		}
	}
	return parts, true
}

// sumRegion returns the totals of this host's region, this host included.
func (r *Roster) sumRegion(own quota.Report, accounts []*desired.Account, now clock.Instant) quota.Totals {
	v := r.divide(now)
	t := r.sumReports(r.byRegion()[r.self.Region], v, accounts, now)
	t.AddLive(own, v.weights[r.self.ID])
	// Hosts that have not reported to this host keep the parts that the previous hub knew of.
	if t.Unreported > 0 && now.Sub(r.hubs.inherited.receivedAt) < reservationTimeout {
		t.Unreported = 0
		for account, part := range t.MissingParts(r.hubs.inherited.Totals) {
			t.Silent[account] += part
		}
	}
	return t
}

// sumReports sums the reports that the hosts sent to this one directly.
func (r *Roster) sumReports(hosts []fleet.Host, v division, accounts []*desired.Account, now clock.Instant) quota.Totals {
	t := quota.NewTotals()
	for _, m := range hosts {
		h, known := r.states[m.ID]
		switch evenPart := v.parts[m.ID]; {
		case !known || now.Sub(h.reportedAt) >= growthTimeout || len(h.digest.Quota.Part) == 0:
			t.Unreported += evenPart
		case now.Sub(h.reportedAt) >= reservationTimeout, h.isLive(now) && r.hearsNot(&h.digest):
			for _, a := range accounts {
				t.Silent[a.ID] += max(h.digest.Quota.Part[a.ID], evenPart)
			}
		case h.isLive(now):
			t.AddLive(h.digest.Quota, v.weights[m.ID])
			t.Stale = t.Stale || now.Sub(h.reportedAt) > staleHostAge
		default:
			t.AddSilent(accounts, h.digest.Quota, evenPart)
		}
	}
	return t
}

// byRegion returns the other listed hosts by region.
func (r *Roster) byRegion() map[id.Region][]fleet.Host {
	out := map[id.Region][]fleet.Host{}
	for _, m := range r.members() {
		out[m.Region] = append(out[m.Region], m.Host)
	}
	return out
}

// weights returns the weights by which the evenly divided part of quotas is split over
// all hosts, and their sum. They depend on which hosts exist, not on which are live, so
// that all hosts compute the same weights.
func (r *Roster) weights(now clock.Instant) (map[id.Host]float64, float64) {
	members := r.allHosts(now)
	strong := strongHostSet(members)
	out := map[id.Host]float64{}
	total := 0.0
	idle := idleWeight
	if !r.meshed() {
		idle = pooledIdleWeight
	}
	for _, m := range members {
		out[m.ID] = idle
		if strong[m.ID] {
			out[m.ID] = 1
		}
		total += out[m.ID]
	}
	return out, total
}
