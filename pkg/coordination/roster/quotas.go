package roster

import (
	"time"

	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// regionTotals is what was last heard of the quotas of a region's hosts.
type regionTotals struct {
	quota.Totals
	at clock.Instant
}

const (
	// unknownHosts is how many other hosts there are taken to be before any is known.
	unknownHosts = 8
	// idleWeight is the weight of a host that the directory does not name while
	// stronger ones of its failure domain live; others have the weight 1.
	idleWeight = 0.1
	// quietFor is how long a host may be silent before others stop growing into what
	// may be its part, and quietTotals the same for the totals of a region, which
	// pass through two hubs.
	quietFor, quietTotals = 1500 * time.Millisecond, 1800 * time.Millisecond
)

// QuotaPeers returns what is known of the other hosts as far as the accounts'
// quotas go, given what this host told last.
func (r *Roster) QuotaPeers(told quota.Report, accounts []*desired.Account, now clock.Instant) quota.Peers {
	r.mu.Lock()
	defer r.mu.Unlock()
	weights, sum := r.weights(now)
	own := weights[r.self.ID]
	others := quota.NewTotals()
	if len(weights) == 1 {
		others.Unreported = unknownHosts / (unknownHosts + 1.0)
		return quota.NewPeers(others, own, 1/(unknownHosts+1.0))
	}
	if r.meshed() {
		others = r.sum(r.known(now)[1:], weights, sum, accounts, now)
		return quota.NewPeers(others, own, own/sum)
	}
	for region, hosts := range r.byRegion() {
		t, known := r.hubs.totals[region]
		switch {
		case !known:
			for _, m := range hosts {
				others.Unreported += weights[m.ID] / sum
			}
			continue
		case region == r.self.Region:
			t.Totals = t.Without(told, own)
		}
		switch age := now.Sub(t.at); {
		case age < relayedFor:
			others.Add(t.Totals)
			others.Stale = others.Stale || age > quietTotals
		case age < reservedFor:
			others.Add(t.AsSilent())
		}
	}
	return quota.NewPeers(others, own, own/sum)
}

// sumRegion returns the totals of this host's region.
func (r *Roster) sumRegion(own quota.Report, accounts []*desired.Account, now clock.Instant) quota.Totals {
	weights, sum := r.weights(now)
	t := r.sum(r.byRegion()[r.self.Region], weights, sum, accounts, now)
	t.AddLive(own, weights[r.self.ID])
	// What the last hub knew of hosts that never told this one stays theirs.
	if t.Unreported > 0 && now.Sub(r.hubs.inherited.at) < reservedFor {
		t.Unreported = 0
		for account, part := range t.Missing(r.hubs.inherited.Totals) {
			t.Silent[account] += part
		}
	}
	return t
}

// sum adds up what hosts told directly.
func (r *Roster) sum(hosts []fleet.Host, weights map[id.Host]float64, all float64, accounts []*desired.Account, now clock.Instant) quota.Totals {
	t := quota.NewTotals()
	for _, m := range hosts {
		h, known := r.digests[m.ID]
		switch even := weights[m.ID] / all; {
		case !known || now.Sub(h.at) >= reservedFor || len(h.digest.Quota.Part) == 0:
			t.Unreported += even
		case h.lives(now):
			t.AddLive(h.digest.Quota, weights[m.ID])
			t.Stale = t.Stale || now.Sub(h.at) > quietFor
		default:
			t.AddSilent(accounts, h.digest.Quota, even)
		}
	}
	return t
}

func (r *Roster) byRegion() map[id.Region][]fleet.Host {
	out := map[id.Region][]fleet.Host{}
	for _, m := range r.members() {
		out[m.Region] = append(out[m.Region], m.Host)
	}
	return out
}

// weights returns the weights of all hosts in the even part of quotas, and their
// sum. They follow from the list of hosts alone, so that all hosts agree.
func (r *Roster) weights(now clock.Instant) (map[id.Host]float64, float64) {
	members := r.known(now)
	strong := strongest(members)
	out := map[id.Host]float64{}
	sum := 0.0
	for _, m := range members {
		out[m.ID] = idleWeight
		if strong[m.ID] {
			out[m.ID] = 1
		}
		sum += out[m.ID]
	}
	return out, sum
}
