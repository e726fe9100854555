package roster

import (
	"maps"
	"slices"

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
	// inContact are the listed failure domains in which a host is live, and the own one.
	inContact map[id.FailureDomain]bool
}

// divide returns the current division. A host that is silent keeps the part that it had
// when it was last in contact, because it may not know which hosts have joined or left
// since. The hosts of a failure domain that has not been in contact since this host
// started have what live hosts reserve for them, if that is larger.
func (r *Roster) divide(now clock.Instant) division {
	weights, total := r.weights(now)
	v := division{weights, total, make(map[id.Host]float64, len(r.listed)), r.domainsInContact(now)}
	contactParts := make(map[id.Host]float64, len(r.contactParts))
	remembered := map[id.FailureDomain]bool{}
	reserved := map[id.FailureDomain]float64{}
	for _, m := range r.members() {
		part := weights[m.ID] / total
		h, known := r.states[m.ID]
		live := known && h.isLive(now)
		if live {
			for domain, mean := range h.digest.Unheard {
				reserved[domain] = max(reserved[domain], mean)
			}
		}
		last, contacted := r.contactParts[m.ID]
		if contacted && (!live || r.hearsNot(&h.digest)) {
			part = last
		}
		if contacted || live {
			contactParts[m.ID] = part
			remembered[m.FailureDomain] = true
		}
		v.parts[m.ID] = part
	}
	r.contactParts = contactParts
	if len(reserved) > 0 {
		maps.DeleteFunc(reserved, func(domain id.FailureDomain, _ float64) bool { return remembered[domain] })
		r.raise(v, reserved)
	}
	return v
}

// raise raises the parts of the hosts of each failure domain, in proportion, until their
// mean is the reserved one if that is larger.
func (r *Roster) raise(v division, reserved map[id.FailureDomain]float64) {
	means := r.unheardMeans(v)
	for _, m := range r.members() {
		if mean := means[m.FailureDomain]; mean > 0 && reserved[m.FailureDomain] > mean {
			v.parts[m.ID] *= reserved[m.FailureDomain] / mean
		}
	}
}

// domainsInContact returns the listed failure domains in which a host is live, and this
// host's own. It stops once it has found all, which is soon if most hosts are live.
func (r *Roster) domainsInContact(now clock.Instant) map[id.FailureDomain]bool {
	out := map[id.FailureDomain]bool{r.self.FailureDomain: true}
	for _, h := range r.states {
		if len(out) == len(r.domains) {
			break
		}
		if domain := h.digest.Host.FailureDomain; r.domains[domain] && h.isLive(now) {
			out[domain] = true
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
func (r *Roster) unheard(now clock.Instant) map[id.FailureDomain]float64 {
	inContact := r.domainsInContact(now)
	isUnheard := func(m Member) bool { return !inContact[m.FailureDomain] }
	if now.Sub(r.hubs.runningSince) < relayTimeout || !slices.ContainsFunc(r.members(), isUnheard) {
		return nil
	}
	return r.unheardMeans(r.divide(now))
}

func (r *Roster) unheardMeans(v division) map[id.FailureDomain]float64 {
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
