// Package roster keeps what a host knows of the others: which there are, which
// live, and what each has last said of itself.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

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
	// Follows asks the receiver to tell the sender about all other hosts.
	Follows bool
	// Versions are those as of which the host's copies of the tables are complete.
	Versions map[string]mirror.Version
	// LastChange are those of the last changes of the tables.
	LastChange map[string]mirror.Version
	// CopyAges are how long ago the copies were known to be complete.
	CopyAges map[string]time.Duration
	// ReadsFailing tells that the host cannot read the store.
	ReadsFailing bool
	// Quota is what the host tells of the accounts' quotas.
	Quota quota.Report
	// RequestRate is the requests a second that reach the host.
	RequestRate float64
	// Outcomes are those of the services whose release changes.
	Outcomes map[release.Subject]release.Counts
	// BadReleases are the releases that the host takes to be bad.
	BadReleases []release.ID
}

// Times after which a silent host counts as less.
const (
	// restartTime is less than a process takes to end and start, and more than a
	// digest is under way.
	restartTime = 700 * time.Millisecond
	// liveFor is a few intervals between digests; a lossy link may lose one.
	liveFor = 2 * time.Second
	// relayedFor is how long what a hub said of another host holds. It covers the
	// change to another hub.
	relayedFor = 3500 * time.Millisecond
	// forgetAfter is how long a listed host may be silent before its row is removed;
	// it announces itself again if it returns.
	forgetAfter = 3 * time.Minute
	// reservedFor is how long a silent host is taken to use its shares: it may
	// serve on behind a partition.
	reservedFor = 40 * time.Second
)

// Roster is safe for concurrent use.
//
// Few hosts tell each other all directly. Of many, each follows one host of its
// region, the hub, and hears of the others from it; hubs tell each other about
// their regions. Nobody appoints a hub: a host is one while others follow it.
type Roster struct {
	self    Member
	started clock.Instant
	mu      sync.Mutex
	listed  map[id.Host]Member
	// ordered is the same by name; it is replaced, never changed.
	ordered []Member
	digests map[id.Host]*heard
	// rounds counts the rounds of letters while there are no hubs.
	rounds int
	hubs   hubs
}

// heard is the last that is known of a host.
type heard struct {
	digest Digest
	// at is when the host said it, asOf when the one from whom it was heard had
	// heard nothing later; the two differ if it was not heard directly.
	at, asOf clock.Instant
	direct   bool
}

func (h *heard) lives(now clock.Instant) bool {
	if h.direct {
		return now.Sub(h.at) < liveFor
	}
	return h.asOf.Sub(h.at) < liveFor && now.Sub(h.asOf) < relayedFor
}

// New returns the roster of a host that knows only itself.
func New(self Member, now clock.Instant) *Roster {
	return &Roster{self: self, started: now, listed: map[id.Host]Member{}, digests: map[id.Host]*heard{}, hubs: newHubs(now)}
}

// SetListed replaces the hosts that the store lists, and tells whether they are
// few enough to be connected to all.
func (r *Roster) SetListed(members []Member) (meshed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = map[id.Host]Member{}
	for _, m := range members {
		if m.ID != r.self.ID {
			r.listed[m.ID] = m
		}
	}
	r.ordered = slices.SortedFunc(maps.Values(r.listed), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return r.meshed()
}

// Expired returns the listed hosts that were silent for so long that they are
// taken to be removed for good. While no other host is heard, this one may be
// the one that is cut off.
func (r *Roster) Expired(now clock.Instant) []id.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.started) < forgetAfter || len(r.live(now)) == 0 {
		return nil
	}
	var out []id.Host
	for _, m := range r.members() {
		if h, known := r.digests[m.ID]; !known || now.Sub(h.at) >= forgetAfter {
			out = append(out, m.ID)
		}
	}
	return out
}

// Listed returns the other hosts that the store lists.
func (r *Roster) Listed() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.members())
}

// members returns the other hosts that the store lists, by name.
func (r *Roster) members() []Member { return r.ordered }

// ReceiveDigest takes a digest. Older ones than the last change nothing, but incarnations
// follow the time of day, which may be set back: once a host has been silent for
// a while, whatever it says is new.
func (r *Roster) ReceiveDigest(d Digest, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.digests[d.Host.ID]
	known = known && now.Sub(old.at) < restartTime
	if known && (d.Incarnation < old.digest.Incarnation ||
		(d.Incarnation == old.digest.Incarnation && d.Sequence <= old.digest.Sequence)) {
		return false
	}
	r.hubs.heardDirectly(&d, now)
	r.digests[d.Host.ID] = &heard{digest: d, at: now, asOf: now, direct: true}
	return true
}

// Live returns the digests of the other hosts that live, by name. They are not to
// be changed.
func (r *Roster) Live(now clock.Instant) []*Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.live(now)
}

func (r *Roster) live(now clock.Instant) []*Digest {
	out := make([]*Digest, 0, len(r.digests))
	for _, m := range r.members() {
		if h, known := r.digests[m.ID]; known && h.lives(now) {
			out = append(out, &h.digest)
		}
	}
	listed := len(out)
	for name, h := range r.digests {
		if _, known := r.listed[name]; !known && h.lives(now) {
			out = append(out, &h.digest)
		}
	}
	if len(out) > listed {
		slices.SortFunc(out, func(a, b *Digest) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	}
	return out
}
