package roster

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	// maxMeshHosts is the number of hosts, including this one, up to which all send to
	// each other directly; the number of messages in a mesh grows with the square of its
	// hosts.
	maxMeshHosts = 24
	// hubTimeout is how long a hub may be silent before another one is chosen: about
	// three times hubMessageInterval.
	hubTimeout = 1300 * time.Millisecond
	// suspectTimeout is how long a hub that was silent cannot be chosen again.
	suspectTimeout = 6 * time.Second
	// followerTimeout is how long a host counts as a follower, a remote sender or a direct
	// sender after its last digest or bulletin.
	followerTimeout = 2 * time.Second
	// gatherDelay is how long a new hub receives quota reports from its followers before
	// it sums them.
	gatherDelay = 1200 * time.Millisecond
	// stallThreshold is the time between two rounds of messages above which this process
	// counts as having been paused; the silence of hubs during a pause is ignored.
	stallThreshold = 900 * time.Millisecond
)

// hubs is the state of the hubs in the view of a host, and its own state as a hub. In
// a full mesh it only records what is received.
//
// Another host can have several of these roles for this host. This host chooses the
// first three anew in each round:
//   - The hub is the host of this region that this host follows; it may be this host
//     itself. It gets a digest with Follows set, and answers with bulletins.
//   - The standby is the next best other host of this region. It gets the same digest
//     without Follows, so that it can take over.
//   - A remote hub is the best host of another region. This host chooses remote hubs only
//     while it is a hub itself, and sends them bulletins about its own region.
//
// The others follow from what a host has sent to this one within followerTimeout:
//   - A follower sent a digest with Follows set. It gets bulletins about all hosts. A host
//     that has followers is a hub, even if it has chosen another one for itself.
//   - A remote sender is a host of another region that sent a bulletin. It gets the same
//     as a remote hub, but only while this host is a hub.
//   - A direct sender sent a digest without Follows. It gets a digest in reply, unless
//     another role brings it a message.
//
// Hosts choose by the same rule but each from its own view, so two hosts may disagree for
// a while. Followers therefore get bulletins whichever hub this host has chosen.
type hubs struct {
	// hub and standby are set by chooseHubs, and empty before its first call; standby is
	// also empty if there is no other host to choose.
	hub, standby id.Host
	// chosenSince is the instant since which each other host has been chosen without a
	// break, as the hub, the standby or a remote hub.
	chosenSince map[id.Host]clock.Instant
	// lastContact is when each host last sent a message directly.
	lastContact map[id.Host]clock.Instant
	// suspectUntil is the end of the suspect timeout of each hub that was silent.
	suspectUntil map[id.Host]clock.Instant
	// followers and directSenders hold the instant of the last digest with and without
	// Follows of each host; older entries stay and no longer count.
	followers, directSenders map[id.Host]clock.Instant
	// remoteSenders holds the instant of the last bulletin of each host of another region.
	remoteSenders map[id.Host]clock.Instant
	// countsUsage holds the hosts whose last digest, sent directly, had CountsUsage. Earlier
	// builds close a connection on which they receive a message that they do not know.
	countsUsage map[id.Host]bool
	// hubSince is when this host became a hub, 0 while it is none.
	hubSince clock.Instant
	// totals are the last totals of each region, received from a hub or, for the own
	// region of a hub, summed by this host.
	totals map[id.Region]regionTotals
	// inherited are the last totals of this region received from another hub.
	inherited regionTotals
	// lastRoundAt is when the last round of messages began.
	lastRoundAt clock.Instant
	// runningSince is when this process started or last resumed after a pause.
	runningSince clock.Instant
	// lostAttempts counts the attempts to contact lost hosts.
	lostAttempts int
}

func newHubs(now clock.Instant) hubs {
	return hubs{
		chosenSince: map[id.Host]clock.Instant{}, lastContact: map[id.Host]clock.Instant{}, suspectUntil: map[id.Host]clock.Instant{},
		followers: map[id.Host]clock.Instant{}, directSenders: map[id.Host]clock.Instant{}, remoteSenders: map[id.Host]clock.Instant{},
		countsUsage: map[id.Host]bool{}, totals: map[id.Region]regionTotals{}, lastRoundAt: now, runningSince: now,
	}
}

// receivedDirectly records a digest that a host sent to this one directly.
func (h *hubs) receivedDirectly(d *Digest, now clock.Instant) {
	h.lastContact[d.Host.ID] = now
	h.countsUsage[d.Host.ID] = d.CountsUsage
	delete(h.suspectUntil, d.Host.ID)
	if d.Follows {
		h.followers[d.Host.ID] = now
	} else {
		h.directSenders[d.Host.ID] = now
	}
}

// recent returns the hosts of a set whose instant is within the timeout, ordered by ID.
func recent(set map[id.Host]clock.Instant, timeout time.Duration, now clock.Instant) []id.Host {
	var out []id.Host
	for h, at := range set {
		if now.Sub(at) < timeout {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

// meshed reports whether the hosts are few enough for a full mesh without hubs.
func (r *Roster) meshed() bool { return len(r.listed)+1 <= maxMeshHosts }

// hubStatus is the part of a host's own state that decides whether it can be a hub.
type hubStatus struct{ readsFailing, leaving bool }

// hubCandidates returns the hosts of a region that may be its hub, the best first: those
// that can read the store before the others, and by decreasing capacity within each group.
func (r *Roster) hubCandidates(region id.Region, own hubStatus, now clock.Instant) []id.Host {
	type candidate struct {
		Member
		readsFailing bool
	}
	var candidates, silent []candidate
	for _, m := range r.members() {
		if m.Region != region || now < r.hubs.suspectUntil[m.ID] {
			continue
		}
		h, known := r.states[m.ID]
		switch {
		case !known || !h.isLive(now):
			silent = append(silent, candidate{Member: m})
		case !h.digest.Leaving:
			candidates = append(candidates, candidate{m, h.digest.ReadsFailing})
		}
	}
	// Silent hosts are candidates only while no other host of the region is live: if one is
	// live, the other reachable hosts are live, too, or will soon be known from bulletins.
	if len(candidates) == 0 {
		candidates = silent
	}
	if region == r.self.Region && !own.leaving {
		candidates = append(candidates, candidate{r.self, own.readsFailing})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.readsFailing != b.readsFailing {
			return cmp.Compare(boolToInt(a.readsFailing), boolToInt(b.readsFailing))
		}
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	out := make([]id.Host, len(candidates))
	for i, c := range candidates {
		out[i] = c.ID
	}
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// noteRound begins a round of messages and notes whether this process was paused before it.
func (h *hubs) noteRound(now clock.Instant) {
	if now.Sub(h.lastRoundAt) > stallThreshold {
		h.runningSince = now
	}
	h.lastRoundAt = now
}

// chooseHubs suspects the chosen hosts that have been silent for longer
// than hubTimeout, sets the hub and the standby, and returns the remote hubs if this host
// is a hub.
func (r *Roster) chooseHubs(own hubStatus, now clock.Instant) (remoteHubs []id.Host) {
	h := &r.hubs
	for host, since := range h.chosenSince {
		if now.Sub(max(since, h.lastContact[host], h.runningSince)) > hubTimeout {
			h.suspectUntil[host] = now.Add(suspectTimeout)
		}
	}
	h.hub, h.standby = r.self.ID, ""
	if candidates := r.hubCandidates(r.self.Region, own, now); len(candidates) > 0 {
		h.hub = candidates[0]
		for _, next := range candidates[1:] {
			if next != r.self.ID {
				h.standby = next
				break
			}
		}
	}
	if h.isHub(r.self.ID, now) {
		remoteHubs = r.chooseRemoteHubs(now)
	}
	r.recordChosen(remoteHubs, now)
	return remoteHubs
}

// isHub reports whether this host is a hub: it has chosen itself or has followers.
func (h *hubs) isHub(self id.Host, now clock.Instant) bool {
	return h.hub == self || len(recent(h.followers, followerTimeout, now)) > 0
}

// chooseRemoteHubs returns the best hub candidate of each other region.
func (r *Roster) chooseRemoteHubs(now clock.Instant) []id.Host {
	regions := map[id.Region]bool{}
	for _, m := range r.listed {
		regions[m.Region] = m.Region != r.self.Region
	}
	var out []id.Host
	for region, other := range regions {
		if candidates := r.hubCandidates(region, hubStatus{}, now); other && len(candidates) > 0 {
			out = append(out, candidates[0])
		}
	}
	slices.Sort(out)
	return out
}

// recordChosen updates chosenSince after a choice of the hub, the standby and remote hubs.
func (r *Roster) recordChosen(remoteHubs []id.Host, now clock.Instant) {
	next := map[id.Host]clock.Instant{}
	for _, host := range append([]id.Host{r.hubs.hub, r.hubs.standby}, remoteHubs...) {
		if host == "" || host == r.self.ID {
			continue
		}
		next[host] = now
		if since, known := r.hubs.chosenSince[host]; known {
			next[host] = since
		}
	}
	r.hubs.chosenSince = next
}

// nextLostHost returns, in turn, one host of the region that is listed but not live, if
// there is one. The hub contacts it, because after a partition has ended
// the lost host may still follow another hub.
func (r *Roster) nextLostHost(now clock.Instant) (id.Host, bool) {
	var lost []id.Host
	for _, m := range r.members() {
		if h, known := r.states[m.ID]; m.Region == r.self.Region && (!known || !h.isLive(now)) {
			lost = append(lost, m.ID)
		}
	}
	if len(lost) == 0 {
		return "", false
	}
	r.hubs.lostAttempts++
	// Each host is contacted several times in a row, because connecting takes some time.
	return lost[(r.hubs.lostAttempts/attemptsPerLostHost)%len(lost)], true
}

// attemptsPerLostHost is the number of consecutive attempts to contact a lost host.
const attemptsPerLostHost = 4
