package roster

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	// meshMost is the number of hosts up to which all tell each other directly; the
	// messages of a mesh grow with its square.
	meshMost = 24
	// hubSilence is how long a hub may be silent before another one is chosen: about
	// three intervals between its messages.
	hubSilence = 1300 * time.Millisecond
	// suspectFor is how long a hub that was silent is not chosen again.
	suspectFor = 6 * time.Second
	// followedFor is how long a host that has asked to be told counts as a follower.
	followedFor = 2 * time.Second
	// gatherTime is how long a new hub hears its followers before it sums up what
	// they told.
	gatherTime = 1200 * time.Millisecond
	// stall is a pause between two looks at the hubs which shows that this process
	// stood still; silence in it says nothing of others.
	stall = 900 * time.Millisecond
)

// hubs is what a host knows of the hubs, and of its own part as one.
type hubs struct {
	// current is the host that this one follows, or itself; standby is told the
	// same, so that it can take over.
	current, standby id.Host
	// chosen holds since when hosts are talked to as hubs.
	chosen map[id.Host]clock.Instant
	// spoke is when hosts last said something directly.
	spoke map[id.Host]clock.Instant
	// suspects are hosts that were silent, until when.
	suspects map[id.Host]clock.Instant
	// followers and askers are hosts that want to be told of all others, or of this
	// one, with the time at which they last said so.
	followers, askers map[id.Host]clock.Instant
	// peers are hubs of other regions that have sent bulletins.
	peers map[id.Host]clock.Instant
	// followedSince is since when there are followers.
	followedSince clock.Instant
	totals        map[id.Region]regionTotals
	// inherited are the last totals of this region that another hub has told.
	inherited  regionTotals
	steppedAt  clock.Instant
	awakeSince clock.Instant
	// lostCalls counts the calls on lost hosts.
	lostCalls int
}

func newHubs(now clock.Instant) hubs {
	return hubs{
		chosen: map[id.Host]clock.Instant{}, spoke: map[id.Host]clock.Instant{}, suspects: map[id.Host]clock.Instant{},
		followers: map[id.Host]clock.Instant{}, askers: map[id.Host]clock.Instant{}, peers: map[id.Host]clock.Instant{},
		totals: map[id.Region]regionTotals{}, steppedAt: now, awakeSince: now,
	}
}

func (h *hubs) heardDirectly(d *Digest, now clock.Instant) {
	h.spoke[d.Host.ID] = now
	delete(h.suspects, d.Host.ID)
	if d.Follows {
		h.followers[d.Host.ID] = now
	} else {
		h.askers[d.Host.ID] = now
	}
}

// lately returns the hosts of a set that were entered within a time, by name.
func lately(set map[id.Host]clock.Instant, limit time.Duration, now clock.Instant) []id.Host {
	var out []id.Host
	for h, at := range set {
		if now.Sub(at) < limit {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

// meshed tells whether the hosts are few enough to tell each other all directly.
func (r *Roster) meshed() bool { return len(r.listed)+1 <= meshMost }

// standing is what a host says of itself that decides whether it can be a hub.
type standing struct{ failing, leaving bool }

// hubsOf returns the hosts of a region that may be its hub, the best first.
// Those that cannot read the store come after all others.
func (r *Roster) hubsOf(region id.Region, own standing, now clock.Instant) []id.Host {
	type candidate struct {
		Member
		failing bool
	}
	var found, unheard []candidate
	for _, m := range r.members() {
		if m.Region != region || now < r.hubs.suspects[m.ID] {
			continue
		}
		h, known := r.digests[m.ID]
		switch {
		case !known || !h.lives(now):
			unheard = append(unheard, candidate{Member: m})
		case !h.digest.Leaving:
			found = append(found, candidate{m, h.digest.ReadsFailing})
		}
	}
	// Hosts that were not heard are there, or will be heard of, if any are heard.
	if len(found) == 0 {
		found = unheard
	}
	if region == r.self.Region && !own.leaving {
		found = append(found, candidate{r.self, own.failing})
	}
	slices.SortFunc(found, func(a, b candidate) int {
		if a.failing != b.failing {
			return cmp.Compare(truth(a.failing), truth(b.failing))
		}
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	out := make([]id.Host, len(found))
	for i, c := range found {
		out[i] = c.ID
	}
	return out
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

// choose sets the hub and its standby, and returns the hubs of other regions.
func (r *Roster) choose(own standing, now clock.Instant) (remote []id.Host) {
	h := &r.hubs
	if now.Sub(h.steppedAt) > stall {
		h.awakeSince = now
	}
	h.steppedAt = now
	for name, since := range h.chosen {
		if now.Sub(max(since, h.spoke[name], h.awakeSince)) > hubSilence {
			h.suspects[name] = now.Add(suspectFor)
		}
	}
	h.current, h.standby = r.self.ID, ""
	if near := r.hubsOf(r.self.Region, own, now); len(near) > 0 {
		h.current = near[0]
		for _, next := range near[1:] {
			if next != r.self.ID {
				h.standby = next
				break
			}
		}
	}
	if h.serves(r.self.ID, now) {
		remote = r.remoteHubs(now)
	}
	r.noteChosen(remote, now)
	return remote
}

// serves tells whether a host is a hub.
func (h *hubs) serves(self id.Host, now clock.Instant) bool {
	return h.current == self || len(lately(h.followers, followedFor, now)) > 0
}

// remoteHubs returns the best candidate of each other region.
func (r *Roster) remoteHubs(now clock.Instant) []id.Host {
	regions := map[id.Region]bool{}
	for _, m := range r.listed {
		regions[m.Region] = m.Region != r.self.Region
	}
	var out []id.Host
	for region, other := range regions {
		if candidates := r.hubsOf(region, standing{}, now); other && len(candidates) > 0 {
			out = append(out, candidates[0])
		}
	}
	slices.Sort(out)
	return out
}

func (r *Roster) noteChosen(remote []id.Host, now clock.Instant) {
	next := map[id.Host]clock.Instant{}
	for _, name := range append([]id.Host{r.hubs.current, r.hubs.standby}, remote...) {
		if name == "" || name == r.self.ID {
			continue
		}
		next[name] = now
		if since, known := r.hubs.chosen[name]; known {
			next[name] = since
		}
	}
	r.hubs.chosen = next
}

// lost returns one host of the region that is listed but was not heard lately, in
// turn. A hub calls on it: behind a partition that has healed, it may follow
// another one.
func (r *Roster) lost(now clock.Instant) (id.Host, bool) {
	var out []id.Host
	for _, m := range r.members() {
		if h, known := r.digests[m.ID]; m.Region == r.self.Region && (!known || !h.lives(now)) {
			out = append(out, m.ID)
		}
	}
	if len(out) == 0 {
		return "", false
	}
	r.hubs.lostCalls++
	// Each one is called on several times in a row, as connecting takes a while.
	return out[(r.hubs.lostCalls/callsInARow)%len(out)], true
}

// callsInARow is how many times in a row a lost host is called on.
const callsInARow = 4
