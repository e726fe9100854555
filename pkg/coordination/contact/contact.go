// Package contact tracks which other hosts are in contact, and the age of this
// host's copy of the platform's table.
//
// It decides two questions. Keyed requests may be served only while this host
// cannot have missed a withdrawal for longer than the freshness limit. A share
// whose lease has expired may still be spent only while the table is unavailable
// for a majority of the hosts, so that no host can have granted the share to another.
package contact

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Limits are the ages up to which contacts and reads of the table count as current.
type Limits struct {
	// Contact is the age of the last message of another host up to which it counts as in
	// contact.
	Contact time.Duration
	// Freshness is the age of the last read of the table up to which keyed requests are served.
	Freshness time.Duration
	// Outage is the age of the last read of the table, by this host or any that reported
	// one to it, above which the table counts as unavailable.
	Outage time.Duration
}

// noInstant stands for an event that has not occurred; it is older than every limit.
const noInstant = clock.Instant(-1 << 62)

// peer is the state of another host.
type peer struct {
	incarnation id.Incarnation
	// lastContact is the earliest instant at which the peer can have sent its last message.
	lastContact clock.Instant
	// syncedAt is the last instant as of which this host knows all withdrawals that the
	// peer knew.
	syncedAt clock.Instant
	// acknowledgedAt is when this host sent the last of its messages that the peer has
	// acknowledged.
	acknowledgedAt clock.Instant
	// refusedAt is when a connection to the peer's address was last refused, which proves
	// that no process listens there.
	refusedAt clock.Instant
	// tableUnavailableAt is when the table last answered the peer that it is unavailable.
	tableUnavailableAt clock.Instant
}

// Tracker holds the contact state. It is not safe for concurrent use; its owner
// publishes the results that requests need.
//
// All instants are by this host's clock. The instants of events at other hosts are the
// earliest at which the events can have occurred, as the owner derives them from
// heartbeats (agent.updateContact). Each only advances: a method that records an earlier
// instant than the one known changes nothing.
type Tracker struct {
	self   id.Host
	limits Limits
	// members are the hosts of the committed list, with their committed incarnations.
	members map[id.Host]id.Incarnation
	// peers holds the other hosts, whether members or not.
	peers map[id.Host]*peer

	// readAt is the last instant as of which this host's copy of the table is complete, by
	// an own read or a relayed one.
	readAt clock.Instant
	// anyReadAt is the last instant as of which any host, this one included, is known to
	// have read the table.
	anyReadAt clock.Instant
	// ownReadAt is the last instant as of which this host itself read the table.
	ownReadAt clock.Instant
	// tableUnavailableAt is when the table last answered this host that it is unavailable.
	tableUnavailableAt clock.Instant
	// attested are the incarnations that an operator has attested to have ended.
	attested map[id.Host]id.Incarnation
}

// New returns a tracker without any contact or read.
func New(self id.Host, limits Limits) *Tracker {
	return &Tracker{
		self: self, limits: limits,
		members: map[id.Host]id.Incarnation{}, peers: map[id.Host]*peer{}, attested: map[id.Host]id.Incarnation{},
		readAt: noInstant, anyReadAt: noInstant, ownReadAt: noInstant, tableUnavailableAt: noInstant,
	}
}

// SetMembers replaces the committed list of the hosts whose incarnation has not ended.
func (t *Tracker) SetMembers(members map[id.Host]id.Incarnation) { t.members = members }

// MemberCount returns the number of hosts in the committed list.
func (t *Tracker) MemberCount() int { return len(t.members) }

// ensurePeer returns the state of a host, and adds it if it is missing.
func (t *Tracker) ensurePeer(h id.Host) *peer {
	p := t.peers[h]
	if p == nil {
		p = &peer{lastContact: noInstant, syncedAt: noInstant, acknowledgedAt: noInstant, refusedAt: noInstant, tableUnavailableAt: noInstant}
		t.peers[h] = p
	}
	return p
}

// RecordMessage records a message that an incarnation of a host sent at earliestSent or
// later. Messages of earlier incarnations are ignored.
func (t *Tracker) RecordMessage(h id.Host, inc id.Incarnation, earliestSent clock.Instant) {
	p := t.ensurePeer(h)
	if inc < p.incarnation {
		return
	}
	p.incarnation = inc
	p.lastContact = max(p.lastContact, earliestSent)
}

// RecordSync records that this host knows all withdrawals which host h knew at the
// instant at.
func (t *Tracker) RecordSync(h id.Host, at clock.Instant) {
	p := t.ensurePeer(h)
	p.syncedAt = max(p.syncedAt, at)
}

// RecordAcknowledgement records that a host acknowledged a message which this host sent at sentAt.
func (t *Tracker) RecordAcknowledgement(h id.Host, sentAt clock.Instant) {
	p := t.ensurePeer(h)
	p.acknowledgedAt = max(p.acknowledgedAt, sentAt)
}

// RecordRefusedConnection records that a connection to the host's address was refused, which
// proves that no process listens there.
func (t *Tracker) RecordRefusedConnection(h id.Host, now clock.Instant) {
	t.ensurePeer(h).refusedAt = now
}

// RecordTableUnavailable records that the table answered this host that it is unavailable.
func (t *Tracker) RecordTableUnavailable(now clock.Instant) { t.tableUnavailableAt = now }

// RecordPeerTableUnavailable records a host's report that the table answered, as of at, that it
// is unavailable.
func (t *Tracker) RecordPeerTableUnavailable(h id.Host, at clock.Instant) {
	p := t.ensurePeer(h)
	p.tableUnavailableAt = max(p.tableUnavailableAt, at)
}

// Attest records an operator's attestation that an incarnation has ended.
func (t *Tracker) Attest(h id.Host, inc id.Incarnation) { t.attested[h] = max(t.attested[h], inc) }

// RecordRead records that this host read the table as of at.
func (t *Tracker) RecordRead(at clock.Instant) {
	t.ownReadAt = max(t.ownReadAt, at)
	t.anyReadAt = max(t.anyReadAt, at)
	t.readAt = max(t.readAt, at)
}

// RecordPeerRead records that another host read the table as of at, whether or not this
// host has the rows that it read.
func (t *Tracker) RecordPeerRead(at clock.Instant) { t.anyReadAt = max(t.anyReadAt, at) }

// AnyReadAt returns the last instant as of which any host read the table; ok is false
// while none is known.
func (t *Tracker) AnyReadAt() (at clock.Instant, ok bool) {
	return t.anyReadAt, t.anyReadAt != noInstant
}

// RecordRelay records that a peer has relayed all changes of the table up to at.
func (t *Tracker) RecordRelay(at clock.Instant) {
	t.readAt = max(t.readAt, at)
	t.anyReadAt = max(t.anyReadAt, at)
}

// ReadAge returns the age of this host's copy of the table; it exceeds every limit while
// the host has none.
func (t *Tracker) ReadAge(now clock.Instant) time.Duration {
	if t.readAt == noInstant {
		return time.Duration(1<<62 - 1)
	}
	return now.Sub(t.readAt)
}

// ReadAt returns the last instant as of which this host's copy of the table is complete;
// ok is false while the host has none.
func (t *Tracker) ReadAt() (at clock.Instant, ok bool) { return t.readAt, t.readAt != noInstant }

// OwnReadAge returns the time since this host itself read the table; it exceeds every
// limit before the first read.
func (t *Tracker) OwnReadAge(now clock.Instant) time.Duration {
	if t.ownReadAt == noInstant {
		return time.Duration(1<<62 - 1)
	}
	return now.Sub(t.ownReadAt)
}

// LastContactAge returns the time since the last message of a host; it reports false if
// there was none.
func (t *Tracker) LastContactAge(h id.Host, now clock.Instant) (time.Duration, bool) {
	p, ok := t.peers[h]
	if !ok || p.lastContact == noInstant {
		return 0, false
	}
	return now.Sub(p.lastContact), true
}

// InContact reports whether a host counts as in contact: its last message is recent, and
// its address has refused no connection since. This host itself always does.
func (t *Tracker) InContact(h id.Host, now clock.Instant) bool {
	if h == t.self {
		return true
	}
	age, ok := t.LastContactAge(h, now)
	return ok && age <= t.limits.Contact && !t.refusedSince(h)
}

// refusedSince reports whether the address of a host refused a connection after the last
// message of that host.
func (t *Tracker) refusedSince(h id.Host) bool {
	p := t.peers[h]
	return p != nil && p.refusedAt > p.lastContact
}

// confirmedEnded reports whether the committed incarnation of a member is known to
// have ended: its address refused connections after its last message, or an operator
// attested the end.
func (t *Tracker) confirmedEnded(h id.Host) bool {
	if inc, ok := t.attested[h]; ok && inc >= t.members[h] {
		return true
	}
	return t.refusedSince(h)
}

// majority returns the smallest number of members, including this host, that two
// disjoint groups cannot both have.
func (t *Tracker) majority() int { return len(t.members)/2 + 1 }

// MajorityUntil returns the instant up to which the hosts in contact remain a
// majority of the members, including this host, if nothing more is received.
func (t *Tracker) MajorityUntil(now clock.Instant) clock.Instant {
	return t.nthUntil(t.majority(), now, func(p *peer) clock.Instant { return p.lastContact })
}

// MajorityAcknowledged reports whether a majority of the members, including this host,
// has confirmed recent messages of this host.
func (t *Tracker) MajorityAcknowledged(now clock.Instant) bool {
	return t.nthUntil(t.majority(), now, func(p *peer) clock.Instant { return p.acknowledgedAt }) >= now
}

// nthUntil returns the instant up to which at least n members count as current, each for
// the contact limit after its own instant. The instant of this host is now, those of the
// others come from instantOf.
func (t *Tracker) nthUntil(n int, now clock.Instant, instantOf func(*peer) clock.Instant) clock.Instant {
	times := []clock.Instant{now}
	for h := range t.members {
		if h == t.self {
			continue
		}
		if p := t.peers[h]; p != nil && instantOf(p) != noInstant {
			times = append(times, instantOf(p))
		}
	}
	if len(times) < n || len(t.members) == 0 {
		return noInstant
	}
	slices.SortFunc(times, func(a, b clock.Instant) int { return cmp.Compare(b, a) })
	return times[n-1].Add(t.limits.Contact)
}

// allUntil returns the instant up to which every member that is not confirmed to have
// ended counts as synced.
func (t *Tracker) allUntil(now clock.Instant) clock.Instant {
	until := now.Add(t.limits.Contact)
	for h := range t.members {
		if h == t.self || t.confirmedEnded(h) {
			continue
		}
		p := t.peers[h]
		if p == nil || p.syncedAt == noInstant {
			return noInstant
		}
		until = min(until, p.syncedAt.Add(t.limits.Contact))
	}
	return until
}

// TableUnavailableForAll reports whether the table counts as unavailable: neither this
// host nor any host that reported to it has read the table within the outage limit. It is
// false while no read is known.
func (t *Tracker) TableUnavailableForAll(now clock.Instant) bool {
	return t.anyReadAt != noInstant && now.Sub(t.anyReadAt) > t.limits.Outage
}

// SharesUntil returns the instant up to which a share whose lease has expired may
// still be spent, because the table is unavailable for a majority.
func (t *Tracker) SharesUntil(now clock.Instant) clock.Instant {
	if !t.TableUnavailableForAll(now) {
		return noInstant
	}
	return t.MajorityUntil(now)
}

// KeyedUntil returns the instant up to which keyed requests may be served.
//
// While this host or one that relays to it reads the table, the last read plus the
// freshness limit decides. Otherwise keyed requests may be served as long as every member
// that could have accepted a withdrawal counts as synced; a majority is sufficient if the
// table itself answers that it is unavailable.
func (t *Tracker) KeyedUntil(now clock.Instant) clock.Instant {
	if t.readAt == noInstant {
		return noInstant
	}
	until := t.readAt.Add(t.limits.Freshness)
	if until >= now {
		return until
	}
	until = max(until, t.allUntil(now))
	if t.explicitOutage(now) {
		until = max(until, t.nthUntil(t.majority(), now, func(p *peer) clock.Instant { return p.syncedAt }))
	}
	return until
}

// explicitOutage reports whether the table answered this host, or one in contact, within
// the freshness limit that it is unavailable.
func (t *Tracker) explicitOutage(now clock.Instant) bool {
	if now.Sub(t.tableUnavailableAt) <= t.limits.Freshness && t.tableUnavailableAt != noInstant {
		return true
	}
	for h, p := range t.peers {
		if p.tableUnavailableAt != noInstant && now.Sub(p.tableUnavailableAt) <= t.limits.Freshness && t.InContact(h, now) {
			return true
		}
	}
	return false
}

// TableUnavailableAt returns when the table last answered this host that it is
// unavailable; ok is false if it never did.
func (t *Tracker) TableUnavailableAt() (at clock.Instant, ok bool) {
	return t.tableUnavailableAt, t.tableUnavailableAt != noInstant
}
