// Package roster keeps what a host knows of the others: which there are, which
// live, and what each has last said of itself.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
)

// Member is a host as the store lists it.
type Member struct {
	fleet.Host
	PeerAddress string
	Incarnation id.Incarnation
}

// Digest is what a host says of itself at intervals.
type Digest struct {
	Incarnation id.Incarnation
	Sequence    id.Sequence
	Host        fleet.Host
	Leaving     bool
	// Versions are those as of which the host's copies of the tables are complete.
	Versions map[string]mirror.Version
	// Ages are how long ago the copies were known to be complete.
	Ages map[string]time.Duration
	// Failing tells that the host cannot read the store.
	Failing bool
	// Quota is what the host tells of the accounts' quotas.
	Quota quota.Told
	// Requests is the requests a second that reach the host.
	Requests float64
	// Outcomes are those of the services whose release changes.
	Outcomes map[release.Subject]release.Counts
	// Bad are the releases that the host takes to be bad.
	Bad []release.ID
}

// Times after which a silent host counts as less.
const (
	// restartTime is less than a process takes to end and start, and more than a
	// digest is under way.
	restartTime = 700 * time.Millisecond
	// liveFor is a few intervals between digests; a lossy link may lose one.
	liveFor = 2 * time.Second
	// forgetAfter is how long a listed host may be silent before its row is removed;
	// it announces itself again if it returns.
	forgetAfter = 3 * time.Minute
	// reservedFor is how long a silent host is taken to use its shares: it may
	// serve on behind a partition.
	reservedFor = 40 * time.Second
)

// Roster is safe for concurrent use.
type Roster struct {
	self    Member
	started clock.Instant
	mu      sync.Mutex
	listed  map[id.Host]Member
	digests map[id.Host]heard
}

type heard struct {
	digest Digest
	at     clock.Instant
}

// New returns the roster of a host that knows only itself.
func New(self Member, now clock.Instant) *Roster {
	return &Roster{self: self, started: now, listed: map[id.Host]Member{}, digests: map[id.Host]heard{}}
}

// SetListed replaces the hosts that the store lists.
func (r *Roster) SetListed(members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = map[id.Host]Member{}
	for _, m := range members {
		if m.ID != r.self.ID {
			r.listed[m.ID] = m
		}
	}
}

// Forgotten returns the listed hosts that were silent for so long that they are
// taken to be removed for good. While no other host is heard, this one may be
// the one that is cut off.
func (r *Roster) Forgotten(now clock.Instant) []id.Host {
	if now.Sub(r.started) < forgetAfter || len(r.Live(now)) == 0 {
		return nil
	}
	heard := map[id.Host]bool{}
	for _, d := range r.within(forgetAfter, now) {
		heard[d.Host.ID] = true
	}
	var out []id.Host
	for _, m := range r.Listed() {
		if !heard[m.ID] {
			out = append(out, m.ID)
		}
	}
	return out
}

// Listed returns the other hosts that the store lists.
func (r *Roster) Listed() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Member, 0, len(r.listed))
	for _, m := range r.listed {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Hear takes a digest. Older ones than the last change nothing, but incarnations
// follow the time of day, which may be set back: once a host has been silent for
// a while, whatever it says is new.
func (r *Roster) Hear(d Digest, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.digests[d.Host.ID]
	known = known && now.Sub(old.at) < restartTime
	if known && (d.Incarnation < old.digest.Incarnation ||
		(d.Incarnation == old.digest.Incarnation && d.Sequence <= old.digest.Sequence)) {
		return false
	}
	r.digests[d.Host.ID] = heard{d, now}
	return true
}

// Live returns the digests of the other hosts that live, by name.
func (r *Roster) Live(now clock.Instant) []Digest { return r.within(liveFor, now) }

// Reserved returns the digests of the other hosts that live, or may serve on
// unheard.
func (r *Roster) Reserved(now clock.Instant) []Digest { return r.within(reservedFor, now) }

func (r *Roster) within(limit time.Duration, now clock.Instant) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Digest
	for _, h := range r.digests {
		if now.Sub(h.at) < limit {
			out = append(out, h.digest)
		}
	}
	slices.SortFunc(out, func(a, b Digest) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return out
}

// Silent returns how many hosts may serve that are not among those that told
// something. While none are known there may be several.
func (r *Roster) Silent(told []Digest) int {
	heard := map[id.Host]bool{}
	for _, d := range told {
		heard[d.Host.ID] = true
	}
	listed := r.Listed()
	if len(listed)+len(told) == 0 {
		return unknownHosts
	}
	silent := 0
	for _, m := range listed {
		if !heard[m.ID] {
			silent++
		}
	}
	return silent
}

// unknownHosts is how many other hosts there are taken to be before any is known.
const unknownHosts = 8

// ColdShare returns this host's part of what a cold upstream of its region may
// get, as one over a number of hosts, or 0 if others send. Each sender may send
// one request at once beside its rate, so only as many hosts send as the bound
// has room for; all hosts name the same ones.
func (r *Roster) ColdShare(upstream id.Upstream, most int, now clock.Instant) float64 {
	names := map[id.Host]bool{r.self.ID: true}
	for _, m := range r.Listed() {
		if m.Region == r.self.Region {
			names[m.ID] = true
		}
	}
	for _, d := range r.Live(now) {
		if d.Host.Region == r.self.Region {
			names[d.Host.ID] = true
		}
	}
	senders := min(len(names), max(most, 1))
	before := 0
	own := coldRank(r.self.ID, upstream)
	for name := range names {
		if coldRank(name, upstream) > own {
			before++
		}
	}
	if before >= senders {
		return 0
	}
	return 1 / float64(senders)
}

func coldRank(host id.Host, upstream id.Upstream) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(upstream))
}

// Demand returns the part of all requests that each region has. Regions of
// which nothing is known count like the others.
func (r *Roster) Demand(own float64, regions []id.Region, now clock.Instant) map[id.Region]float64 {
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
		add(d.Host.Region, d.Requests)
	}
	for region := range out {
		out[region] /= max(sum, 1)
	}
	return out
}

// Leads tells whether this host is the first by name of those that live, which
// takes the steps that one host should take. Several hosts may think so; what
// they write is conditional.
func (r *Roster) Leads(leaving bool, now clock.Instant) bool {
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
// the first by name that lives and can.
func (r *Roster) Reader(failing, leaving bool, now clock.Instant) id.Host {
	for _, d := range r.Live(now) {
		if d.Host.Region != r.self.Region || d.Leaving || d.Failing {
			continue
		}
		if failing || leaving || d.Host.ID < r.self.ID {
			return d.Host.ID
		}
		break
	}
	return r.self.ID
}

// Nearby returns the addresses of the live hosts that a client should use: those
// of its failure domain if there are a few, those of its region otherwise, and
// only if there are none those of other regions.
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
		var out []string
		for _, h := range hosts {
			if wanted(h) {
				out = append(out, h.Address)
			}
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
