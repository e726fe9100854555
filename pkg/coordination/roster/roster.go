// Package roster tracks the other hosts: which ones exist, which are live, and
// the last digest of each. It also chooses the hubs through which many hosts
// exchange their digests, and composes the messages between hosts.
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

// Member is a host as listed in the store.
type Member struct {
	fleet.Host
	PeerAddress string
	Incarnation id.Incarnation
}

// Digest is the state that a host reports about itself at regular intervals.
type Digest struct {
	Incarnation id.Incarnation
	Sequence    id.Sequence
	Host        fleet.Host
	Leaving     bool
	// Follows asks the receiver to send bulletins about all other hosts to the sender.
	Follows bool
	// Versions are the versions up to which the host's copies of the tables are
	// complete, by table.
	Versions map[string]mirror.Version
	// LastChange is the version as of which a copy of each table must be complete to have all
	// changes up to Versions; see mirror.Table.
	LastChange map[string]mirror.Version
	// CopyAges are the times since the copies were last known to be complete.
	CopyAges map[string]time.Duration
	// ReadsFailing reports whether the host's reads of the store fail.
	ReadsFailing bool
	// HoldsPool reports whether the host holds a pool of tokens while it is a hub.
	HoldsPool bool
	// CountsUsage reports whether the host takes messages with counts of requests.
	CountsUsage bool
	// QuotaKept is set if Quota is left out because the last report stays in use.
	QuotaKept bool
	// Quota is the host's report on the quotas of the accounts.
	Quota quota.Report
	// RequestRate is the rate of requests that reach the host, per second.
	RequestRate float64
	// ReleaseCounts are the request counts of the services whose release changes.
	ReleaseCounts map[release.RouteRelease]release.Counts
	// BadReleases are the releases that the host considers bad.
	BadReleases []release.ID
	// Unheard holds the failure domains of which the host hears no host, with the mean even
	// part of the quotas that it reserves for each host there.
	Unheard map[id.FailureDomain]float64
}

// Timeouts after which a silent host is treated differently.
const (
	// reorderWindow is how long after a digest an older one counts as late; after this
	// silence any digest counts as new. It is longer than the transmission of a digest
	// and shorter than the restart of a process.
	reorderWindow = 700 * time.Millisecond
	// liveTimeout is how long a host counts as live after its last digest. It spans
	// several message intervals, because a lossy link may drop a digest.
	liveTimeout = 2 * time.Second
	// relayTimeout is how long the report of a hub about another host is valid. It is
	// long enough for the change to another hub.
	relayTimeout = 3500 * time.Millisecond
	// expiryTimeout is how long a listed host may be silent before its row is removed;
	// the host adds its row again if it returns.
	expiryTimeout = 3 * time.Minute
	// reservationTimeout is how long the quota shares that a silent host last reported stay
	// reserved: it may still be serving behind a partition. After it, each side of a
	// partition goes over to the even parts, which both know.
	reservationTimeout = 40 * time.Second
	// growthTimeout is how long each side keeps the larger of both reserved, so that the
	// other has reduced its parts before one grows. The sides notice a partition within
	// relayTimeout of each other.
	growthTimeout = reservationTimeout + 10*time.Second
)

// Roster holds the local view of all other hosts. It is safe for concurrent use.
//
// Up to maxMeshHosts hosts send their digests to each other directly. Above that,
// each host follows one host of its region, the hub, and receives the state of the
// others from its bulletins; hubs exchange bulletins about their regions. Hubs are not
// elected: each host chooses one by the same rule, and a host is a hub while it chooses
// itself or has followers.
type Roster struct {
	self      Member
	startedAt clock.Instant
	// mu guards the fields below.
	mu     sync.Mutex
	listed map[id.Host]Member
	// domains are the failure domains of the listed hosts and of this one.
	domains map[id.FailureDomain]bool
	// sorted holds the listed members ordered by ID; it is replaced, never modified.
	sorted []Member
	// states also holds hosts that have sent a digest and are not listed.
	states map[id.Host]*hostState
	// contactParts are the even parts of the quotas that the listed hosts had when they were
	// last in contact.
	contactParts map[id.Host]float64
	// rounds counts the rounds of messages.
	rounds int
	hubs   hubs
}

// hostState is the last known state of a host.
type hostState struct {
	digest Digest
	// reportedAt is when the host sent the digest, dated by its arrival or, if it was
	// relayed, by the age in the notice. confirmedAt is when the digest arrived or, if it
	// was relayed, when the last bulletin arrived whose hub had no later one.
	reportedAt, confirmedAt clock.Instant
	// direct reports whether the host sent the digest to this one. The state counts as
	// relayed once the digest is too old and a bulletin confirms it.
	direct bool
}

// isLive reports whether the host counts as live. A relayed digest must have been recent
// when a hub last confirmed it, and the bulletin of that hub must be recent itself.
func (h *hostState) isLive(now clock.Instant) bool {
	if h.direct {
		return now.Sub(h.reportedAt) < liveTimeout
	}
	return h.confirmedAt.Sub(h.reportedAt) < liveTimeout && now.Sub(h.confirmedAt) < relayTimeout
}

// New returns the roster of a host that knows only itself.
func New(self Member, now clock.Instant) *Roster {
	return &Roster{self: self, startedAt: now, listed: map[id.Host]Member{}, domains: map[id.FailureDomain]bool{self.FailureDomain: true}, states: map[id.Host]*hostState{}, hubs: newHubs(now)}
}

// SetListed replaces the hosts that the store lists, and reports whether they are
// few enough for a full mesh.
func (r *Roster) SetListed(members []Member) (meshed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = map[id.Host]Member{}
	r.domains = map[id.FailureDomain]bool{r.self.FailureDomain: true}
	for _, m := range members {
		if m.ID != r.self.ID {
			r.listed[m.ID] = m
			r.domains[m.FailureDomain] = true
		}
	}
	r.sorted = slices.SortedFunc(maps.Values(r.listed), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return r.meshed()
}

// Expired returns the listed hosts that were silent for expiryTimeout and count as
// removed. A failure domain that is silent as a whole is cut off rather than removed: its
// hosts may be serving, and keep their parts of quotas. Expired returns none while no
// other host is live, because this host may be the one that is partitioned, nor within
// expiryTimeout of its own start.
func (r *Roster) Expired(now clock.Instant) []id.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.startedAt) < expiryTimeout || len(r.live(now)) == 0 {
		return nil
	}
	inContact := r.domainsInContact(now)
	var out []id.Host
	for _, m := range r.members() {
		h, known := r.states[m.ID]
		if silent := !known || now.Sub(h.reportedAt) >= expiryTimeout; silent && inContact[m.FailureDomain] {
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

// members returns the other hosts that the store lists, ordered by ID.
func (r *Roster) members() []Member { return r.sorted }

// ReceiveDigest stores the digest of a host and reports whether it was new. A digest
// older than the last one is ignored. Incarnations follow the time of day, which may
// be set back, so after a silence of reorderWindow any digest counts as new.
func (r *Roster) ReceiveDigest(d Digest, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.states[d.Host.ID]
	known = known && now.Sub(old.reportedAt) < reorderWindow
	if known && (d.Incarnation < old.digest.Incarnation ||
		(d.Incarnation == old.digest.Incarnation && d.Sequence <= old.digest.Sequence)) {
		return false
	}
	if old := r.states[d.Host.ID]; d.QuotaKept && old != nil && old.digest.Incarnation == d.Incarnation {
		d.Quota = old.digest.Quota
	}
	r.hubs.receivedDirectly(&d, now)
	r.states[d.Host.ID] = &hostState{digest: d, reportedAt: now, confirmedAt: now, direct: true}
	return true
}

// Live returns the digests of the other live hosts, ordered by host ID. They must
// not be modified.
func (r *Roster) Live(now clock.Instant) []*Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.live(now)
}

// live is Live for callers that hold the mutex.
func (r *Roster) live(now clock.Instant) []*Digest {
	out := make([]*Digest, 0, len(r.states))
	for _, m := range r.members() {
		if h, known := r.states[m.ID]; known && h.isLive(now) {
			out = append(out, &h.digest)
		}
	}
	listedCount := len(out)
	for host, h := range r.states {
		if _, listed := r.listed[host]; !listed && h.isLive(now) {
			out = append(out, &h.digest)
		}
	}
	if len(out) > listedCount {
		slices.SortFunc(out, func(a, b *Digest) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	}
	return out
}
