// Package contact tracks which hosts this host hears, and how old its
// knowledge of the platform's table is.
//
// Two questions are answered from it. "May keyed requests be served?" A host
// serves them only while it cannot have missed a withdrawal for longer than
// the freshness limit. "May a lapsed share still be spent?" Only while the
// table is out for a majority of the hosts, so that nobody can have given the
// share away.
package contact

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Limits are the ages up to which knowledge counts as current.
type Limits struct {
	// Contact is the age up to which another host counts as in contact.
	Contact time.Duration
	// Freshness is the age of the latest read of the table up to which keyed requests are served.
	Freshness time.Duration
	// Outage is the age of the latest read of the table, by any host in
	// contact, from which the table counts as out.
	Outage time.Duration
}

// never stands for "not yet", older than every limit.
const never = clock.Instant(-1 << 62)

// peer is what is known of another host.
type peer struct {
	incarnation id.Incarnation
	heard       clock.Instant
	// synced is like heard, but only for messages from a time when this host knew
	// all the withdrawals that the peer knew.
	synced clock.Instant
	// acknowledged is the latest send instant of ours that the peer has confirmed.
	acknowledged clock.Instant
	// refusedAt is when the peer's address last proved that no process listens there.
	refusedAt clock.Instant
	// outSeen is when the peer last reported an explicit refusal by the table.
	outSeen clock.Instant
}

// Tracker keeps contact state. It is not safe for concurrent use; the owner
// publishes what requests need.
type Tracker struct {
	self    id.Host
	limits  Limits
	members map[id.Host]id.Incarnation
	peers   map[id.Host]*peer

	// readAt is the latest instant as of which the table is known, own or relayed.
	readAt clock.Instant
	// upAt is the latest instant as of which some host is known to have read the table.
	upAt clock.Instant
	// ownReadAt is the latest instant as of which this host itself read the table.
	ownReadAt clock.Instant
	// refusedByTable is when the table last answered this host that it is out.
	refusedByTable clock.Instant
	// attested are incarnations that an operator declared ended.
	attested map[id.Host]id.Incarnation
}

// New returns a tracker that has heard nobody and read nothing.
func New(self id.Host, limits Limits) *Tracker {
	return &Tracker{
		self: self, limits: limits,
		members: map[id.Host]id.Incarnation{}, peers: map[id.Host]*peer{}, attested: map[id.Host]id.Incarnation{},
		readAt: never, upAt: never, ownReadAt: never, refusedByTable: never,
	}
}

// SetMembers replaces the committed list of hosts that have not ended.
func (t *Tracker) SetMembers(members map[id.Host]id.Incarnation) { t.members = members }

// Members returns the number of committed hosts.
func (t *Tracker) Members() int { return len(t.members) }

func (t *Tracker) peer(h id.Host) *peer {
	p := t.peers[h]
	if p == nil {
		p = &peer{heard: never, synced: never, acknowledged: never, refusedAt: never, outSeen: never}
		t.peers[h] = p
	}
	return p
}

// Received records a message of a host that was received at now.
func (t *Tracker) Received(h id.Host, inc id.Incarnation, now clock.Instant) {
	p := t.peer(h)
	if inc < p.incarnation {
		return
	}
	p.incarnation = inc
	p.heard = max(p.heard, now)
}

// Synced records that this host knows all withdrawals which the host knew at that instant.
func (t *Tracker) Synced(h id.Host, at clock.Instant) {
	p := t.peer(h)
	p.synced = max(p.synced, at)
}

// Acknowledged records that a host confirmed a message which this host sent at sentAt.
func (t *Tracker) Acknowledged(h id.Host, sentAt clock.Instant) {
	p := t.peer(h)
	p.acknowledged = max(p.acknowledged, sentAt)
}

// ConnectionRefused records that the host's address answered that no process listens there.
func (t *Tracker) ConnectionRefused(h id.Host, now clock.Instant) { t.peer(h).refusedAt = now }

// TableUnavailable records that the table answered explicitly that it is out.
func (t *Tracker) TableUnavailable(now clock.Instant) { t.refusedByTable = now }

// PeerTableUnavailable records that a host reported an explicit refusal as of at.
func (t *Tracker) PeerTableUnavailable(h id.Host, at clock.Instant) {
	p := t.peer(h)
	p.outSeen = max(p.outSeen, at)
}

// Attest records an operator's word that an incarnation has ended.
func (t *Tracker) Attest(h id.Host, inc id.Incarnation) { t.attested[h] = max(t.attested[h], inc) }

// Read records that the table was read as of at by this host.
func (t *Tracker) Read(at clock.Instant) {
	t.ownReadAt = max(t.ownReadAt, at)
	t.upAt = max(t.upAt, at)
	t.readAt = max(t.readAt, at)
}

// PeerRead records that some host read the table as of at, whether or not
// what it read is known here.
func (t *Tracker) PeerRead(at clock.Instant) { t.upAt = max(t.upAt, at) }

// AnyReadAt returns the instant as of which some host read the table; ok is false before the first word of it.
func (t *Tracker) AnyReadAt() (at clock.Instant, ok bool) { return t.upAt, t.upAt != never }

// Relayed records that all changes of the table up to at are known through a peer.
func (t *Tracker) Relayed(at clock.Instant) {
	t.readAt = max(t.readAt, at)
	t.upAt = max(t.upAt, at)
}

// ReadAge returns how old the knowledge of the table is.
func (t *Tracker) ReadAge(now clock.Instant) time.Duration {
	if t.readAt == never {
		return time.Duration(1<<62 - 1)
	}
	return now.Sub(t.readAt)
}

// ReadAt returns the instant as of which the table is known; ok is false before the first read.
func (t *Tracker) ReadAt() (at clock.Instant, ok bool) { return t.readAt, t.readAt != never }

// OwnReadAge returns how long ago this host itself read the table.
func (t *Tracker) OwnReadAge(now clock.Instant) time.Duration {
	if t.ownReadAt == never {
		return time.Duration(1<<62 - 1)
	}
	return now.Sub(t.ownReadAt)
}

// LastContactAge returns how long ago a host was heard.
func (t *Tracker) LastContactAge(h id.Host, now clock.Instant) (time.Duration, bool) {
	p, ok := t.peers[h]
	if !ok || p.heard == never {
		return 0, false
	}
	return now.Sub(p.heard), true
}

// InContact tells whether a host counts as in contact.
func (t *Tracker) InContact(h id.Host, now clock.Instant) bool {
	if h == t.self {
		return true
	}
	age, ok := t.LastContactAge(h, now)
	return ok && age <= t.limits.Contact && !t.refusedSince(h)
}

func (t *Tracker) refusedSince(h id.Host) bool {
	p := t.peers[h]
	return p != nil && p.refusedAt > p.heard
}

// provenEnded tells whether the committed incarnation of a member is known to
// run no more: its address refused connections after it was last heard, or an
// operator said so.
func (t *Tracker) provenEnded(h id.Host) bool {
	if inc, ok := t.attested[h]; ok && inc >= t.members[h] {
		return true
	}
	return t.refusedSince(h)
}

// majority is the least number of members, this host included, that two groups cannot both have.
func (t *Tracker) majority() int { return len(t.members)/2 + 1 }

// MajorityUntil returns the instant up to which the hosts heard so far remain a
// majority of the members, this host included.
func (t *Tracker) MajorityUntil(now clock.Instant) clock.Instant {
	return t.nthUntil(t.majority(), now, func(p *peer) clock.Instant { return p.heard })
}

// MajorityAcknowledged tells whether a majority of the members has confirmed
// recent messages of this host.
func (t *Tracker) MajorityAcknowledged(now clock.Instant) bool {
	return t.nthUntil(t.majority(), now, func(p *peer) clock.Instant { return p.acknowledged }) >= now
}

// nthUntil returns the instant up to which the n latest of this host's and the
// members' instants count as current.
func (t *Tracker) nthUntil(n int, now clock.Instant, when func(*peer) clock.Instant) clock.Instant {
	times := []clock.Instant{now}
	for h := range t.members {
		if h == t.self {
			continue
		}
		if p := t.peers[h]; p != nil && when(p) != never {
			times = append(times, when(p))
		}
	}
	if len(times) < n || len(t.members) == 0 {
		return never
	}
	slices.SortFunc(times, func(a, b clock.Instant) int { return cmp.Compare(b, a) })
	return times[n-1].Add(t.limits.Contact)
}

// allUntil returns the instant up to which every member that is not proven
// ended counts as heard.
func (t *Tracker) allUntil(now clock.Instant) clock.Instant {
	until := now.Add(t.limits.Contact)
	for h := range t.members {
		if h == t.self || t.provenEnded(h) {
			continue
		}
		p := t.peers[h]
		if p == nil || p.synced == never {
			return never
		}
		until = min(until, p.synced.Add(t.limits.Contact))
	}
	return until
}

// TableUnavailableForAll tells whether the table counts as out: neither this host nor
// any host in contact has read it within the outage limit.
func (t *Tracker) TableUnavailableForAll(now clock.Instant) bool {
	return t.upAt != never && now.Sub(t.upAt) > t.limits.Outage
}

// SharesUntil returns the instant up to which a share whose lease has lapsed may
// still be spent, because the table is out for a majority.
func (t *Tracker) SharesUntil(now clock.Instant) clock.Instant {
	if !t.TableUnavailableForAll(now) {
		return never
	}
	return t.MajorityUntil(now)
}

// KeyedUntil returns the instant up to which keyed requests may be served.
//
// While the table is read, by this host or by one that relays, it is the
// freshness limit. While it is not, it is the time during which every member
// is heard that could have taken a withdrawal; a majority is enough when the
// table itself answers that it is out.
func (t *Tracker) KeyedUntil(now clock.Instant) clock.Instant {
	if t.readAt == never {
		return never
	}
	until := t.readAt.Add(t.limits.Freshness)
	if until >= now {
		return until
	}
	until = max(until, t.allUntil(now))
	if t.explicitOutage(now) {
		until = max(until, t.nthUntil(t.majority(), now, func(p *peer) clock.Instant { return p.synced }))
	}
	return until
}

// explicitOutage tells whether the table has answered this host, or one in
// contact, that it is out.
func (t *Tracker) explicitOutage(now clock.Instant) bool {
	if now.Sub(t.refusedByTable) <= t.limits.Freshness && t.refusedByTable != never {
		return true
	}
	for h, p := range t.peers {
		if p.outSeen != never && now.Sub(p.outSeen) <= t.limits.Freshness && t.InContact(h, now) {
			return true
		}
	}
	return false
}

// TableUnavailableAt returns when the table last answered this host that it is out.
func (t *Tracker) TableUnavailableAt() (at clock.Instant, ok bool) {
	return t.refusedByTable, t.refusedByTable != never
}
