package duty

import (
	"slices"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/mirror"
)

// ObserveRead takes in the row, as a read returned it that was sent at sentAt. If there is no
// row, version is that of the store; a row that cannot be decoded has the zero Record.
func (c *Candidate) ObserveRead(record Record, version mirror.Version, found bool, _, now clock.Instant) {
	if !found {
		record = Record{}
	}
	changed := !c.row.known || found != c.row.found || (found && version != c.row.version)
	eraChanged := c.row.known && version.Era != c.row.version.Era
	changed = changed || eraChanged
	seenAt := c.row.seenAt
	if changed {
		seenAt = now
	}
	c.row = row{known: true, found: found, record: record, version: version, seenAt: seenAt}
	c.doubtful, c.conflicted = false, false
	// The store may have lost another host's record that replaced this one after the lease.
	lost := eraChanged && now >= c.leaseUntil
	switch sentAt, written := c.sentAtOf(record, version); {
	case c.held && lost:
		c.lose(now)
	case c.held && found && record == c.ownRecord():
		if changed && written {
			c.extend(sentAt)
		}
	case c.held:
		c.lose(now)
	case found && written && !record.Released:
		c.acquire(record.Token, sentAt, now)
	}
	expected := c.row.expected()
	c.pending = slices.DeleteFunc(c.pending, func(w write) bool { return w.expected != expected })
}

// sentAtOf returns when the record at a version was written, if a pending write of this
// process did so: the earliest instant at which one of these writes was sent. The condition
// of a write says nothing about the row of a later era.
func (c *Candidate) sentAtOf(record Record, version mirror.Version) (sentAt clock.Instant, written bool) {
	for _, w := range c.pending {
		sameEra := w.expected.Era == version.Era
		if w.record == record && sameEra && w.expected.Number < version.Number && (!written || w.sentAt < sentAt) {
			sentAt, written = w.sentAt, true
		}
	}
	return sentAt, written
}

// ObserveWrite takes in the result of the write that Next returned. SentAt is an instant
// before the write was sent; version is that of the row if the write was applied, or the
// zero Version if the store did not state it.
func (c *Candidate) ObserveWrite(result Result, version mirror.Version, sentAt, now clock.Instant) {
	w := c.issued
	if w == nil {
		return
	}
	c.issued = nil
	w.sentAt = sentAt
	// In a later era another row may have the expected number: the write replaced what this
	// process has not read.
	if result == Applied && (version.IsZero() || version.Era != w.expected.Era) {
		result = Unknown
	}
	switch result {
	case Applied:
		c.row = row{known: true, found: true, record: w.record, version: version, seenAt: now}
		c.pending = nil
		switch {
		case w.record.Released:
			c.lose(now)
		case c.held:
			c.extend(sentAt)
		default:
			c.acquire(w.record.Token, sentAt, now)
		}
	case Conflict:
		c.doubtful, c.conflicted = true, true
	case Unknown:
		c.setPending(*w)
	case Refused:
	}
}

// setPending notes a write that may still be applied. Of equal writes the earliest counts.
func (c *Candidate) setPending(w write) {
	c.doubtful = true
	for _, p := range c.pending {
		if p.record == w.record && p.expected == w.expected {
			return
		}
	}
	c.pending = append(c.pending, w)
}

// Refused notes that a call with a token was refused because a higher one was seen. This
// process does not use the token again and gives the duty up.
func (c *Candidate) Refused(token Token, now clock.Instant) {
	c.refused = max(c.refused, token)
	if c.held && token == c.token {
		c.releasing = true
	}
}

// acquire begins to hold the duty by a write that was sent at sentAt. Where tokens are not
// checked, a call of the last holder may be carried out for a while, and must come first.
func (c *Candidate) acquire(token Token, sentAt, now clock.Instant) {
	c.held, c.token, c.releasing, c.leaseUntil = true, token, false, 0
	c.eligibleAt, c.actFrom = now, now
	if !c.terms.Fenced {
		c.actFrom = now.Add(lateCallAllowance)
	}
	c.extend(sentAt)
}

// extend counts the lease from when its write was sent, because the store may have applied it
// at once.
func (c *Candidate) extend(sentAt clock.Instant) {
	c.renewedAt = sentAt
	c.leaseUntil = max(c.leaseUntil, sentAt.Add(c.fraction(1-clockMargin)))
}

// lose ends the holding. This host is quiet for a lease, so that it does not act again soon
// after its successor, and until that lease has passed since its last call may be carried out.
func (c *Candidate) lose(now clock.Instant) {
	c.held, c.releasing = false, false
	c.quietUntil = now.Add(c.terms.Lease)
	if c.acted {
		c.quietUntil = max(c.quietUntil, c.lastActedAt.Add(lateCallAllowance+c.terms.Lease))
	}
}
