package roster

import (
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// division is how the evenly divided part of quotas is split over all listed hosts.
type division struct {
	// weights are the weights of all hosts; total is their sum.
	weights map[id.Host]float64
	total   float64
	// parts are the even parts of the other hosts.
	parts map[id.Host]float64
	// inContact are the failure domains of this host and of the live ones.
	inContact map[id.FailureDomain]bool
}

// divide returns the current division. A host that is silent keeps the part that it had
// when it was last in contact, because it may not know which hosts have joined or left
// since. One that has not been in contact since this host started has the part that live
// hosts reserve in its failure domain, if that is larger.
func (r *Roster) divide(now clock.Instant) division {
	weights, total := r.weights(now)
	v := division{weights, total, make(map[id.Host]float64, len(r.listed)), r.domainsInContact(now)}
	reserved := map[id.FailureDomain]float64{}
	for _, m := range r.members() {
		v.parts[m.ID] = weights[m.ID] / total
		h, known := r.states[m.ID]
		live := known && h.isLive(now)
		if last, known := r.lastEvenParts[m.ID]; known && (!live || r.hearsNot(&h.digest)) {
			v.parts[m.ID] = last
		}
		if !live {
			continue
		}
		for domain, part := range h.digest.Unheard {
			reserved[domain] = max(reserved[domain], part)
		}
	}
	for _, m := range r.members() {
		if part := reserved[m.FailureDomain]; part > v.parts[m.ID] && !v.inContact[m.FailureDomain] {
			v.parts[m.ID] = part
		}
	}
	r.lastEvenParts = v.parts
	return v
}

// domainsInContact returns the failure domains of this host and of the live ones.
func (r *Roster) domainsInContact(now clock.Instant) map[id.FailureDomain]bool {
	out := map[id.FailureDomain]bool{r.self.FailureDomain: true}
	for _, h := range r.states {
		if h.isLive(now) {
			out[h.digest.Host.FailureDomain] = true
		}
	}
	return out
}

// sum returns the sum of the even parts of the hosts.
func (v *division) sum(hosts []fleet.Host) float64 {
	even := 0.0
	for _, m := range hosts {
		even += v.parts[m.ID]
	}
	return even
}

// unheard returns the mean even part of the hosts of each failure domain of which no host
// is live. It returns none while this host may not have heard from them yet.
func (r *Roster) unheard(v division, now clock.Instant) map[id.FailureDomain]float64 {
	if now.Sub(r.hubs.runningSince) < relayTimeout {
		return nil
	}
	out, hosts := map[id.FailureDomain]float64{}, map[id.FailureDomain]float64{}
	for _, m := range r.members() {
		if domain := m.FailureDomain; !v.inContact[domain] {
			out[domain] += v.parts[m.ID]
			hosts[domain]++
		}
	}
	for domain, n := range hosts {
		out[domain] /= n
	}
	return out
}

// hearsNot reports whether a host hears none of this host's failure domain. It then
// counts the parts of this side as those of silent hosts, so this side must, too.
func (r *Roster) hearsNot(d *Digest) bool {
	_, unheard := d.Unheard[r.self.FailureDomain]
	return unheard
}
