// Package duty decides which host of the fleet holds a duty, which only one host may have at a
// time. The holder is named in one row of the store, which is written only by a transaction
// that is conditional on the version of the row that was read. docs/design/duty.md has the
// reasons and what happens when a part fails.
package duty

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
)

// Token is a fencing token. It rises with each change of the holder or of its incarnation.
type Token uint64

// Record is the row of a duty.
type Record struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	Token       Token          `json:"token"`
	// Released is set if the holder has given the duty up.
	Released bool `json:"released"`
}

// Valid reports whether the record names a holder. The zero Record stands for a row that
// cannot be decoded.
func (r Record) Valid() bool { return r.Host != "" && r.Token > 0 }

// Self is the process that a candidate belongs to.
type Self struct {
	Host        id.Host
	Incarnation id.Incarnation
}

// Terms are the conditions under which a duty is held.
type Terms struct {
	// Lease is the length of a lease, and the time within which two holders must not act in
	// the order A, B, A.
	Lease time.Duration
	// Fenced is set if whoever is called refuses a token lower than one that it has seen.
	Fenced bool
}

// Shares of a lease and waits.
const (
	// clockMargin is the part of a lease by which the holder stops early and its successor
	// waits longer. It covers clocks whose rates differ by some percent.
	clockMargin = 0.1
	// renewFraction is the part of a lease after which it is renewed and after which
	// candidates read the row again. It leaves time to read back a write without an answer.
	renewFraction = 0.5
	// retryFraction is the part of a lease between two attempts of the same call.
	retryFraction = 0.125
	// lateCallAllowance is how long after it was sent a call without an answer may still be
	// carried out: the time-out of a call, 3 s, and as much again at the platform.
	lateCallAllowance = 6 * time.Second
	// roundTripsOfDelay and maxDelay determine how much later a candidate far from the store
	// takes over, so that a nearer one goes first. Four round trips are a read and a write of
	// the nearer one with a margin.
	roundTripsOfDelay = 4
	maxDelay          = 500 * time.Millisecond
)

// ActionKind is what a candidate wants done.
type ActionKind int

// Kinds of actions.
const (
	Nothing ActionKind = iota
	Read
	Write
)

// Action is what a candidate wants done next: Write puts Record into the row if the row has
// the version Expected, whose number is 0 if there must be no row.
type Action struct {
	Kind     ActionKind
	Record   Record
	Expected mirror.Version
}

// Result is the result of a write.
type Result int

// Results of a write.
const (
	// Applied means that the row holds the record.
	Applied Result = iota
	// Conflict means that the row did not have the expected version.
	Conflict
	// Unknown means that the write may have been applied or may still be.
	Unknown
	// Refused means that the store did nothing.
	Refused
)

// write is a write whose result is not known.
type write struct {
	record   Record
	expected mirror.Version
	sentAt   clock.Instant
}

// row is the row as it was last seen.
type row struct {
	known, found bool
	record       Record
	// version is the version of the row or, if there is none, of the store.
	version mirror.Version
	// seenAt is when this version was first seen.
	seenAt clock.Instant
}

// expected is the version on which a write is conditional.
func (r *row) expected() mirror.Version {
	if !r.found {
		return mirror.Version{Era: r.version.Era}
	}
	return r.version
}

// Candidate decides for one process whether it holds a duty. It is used by one goroutine at a
// time.
type Candidate struct {
	self  Self
	terms Terms
	row   row
	// issued is the write that Next returned last, until its result is observed; pending are
	// writes that may still be applied.
	issued  *write
	pending []write
	// doubtful is set while the row must be read before the next write, conflicted while the
	// row is known to have changed as well.
	doubtful, conflicted bool

	// held is set while the row is believed to name this process, also after the lease ended.
	held  bool
	token Token
	// The holder may act from actFrom until leaseUntil. renewedAt is when the write was sent
	// from which the lease counts.
	actFrom, leaseUntil, renewedAt clock.Instant
	// releasing is set from when the holder stops acting until the row says so.
	releasing, leaving bool
	// refused is the highest token of this process that was refused.
	refused Token

	started                            bool
	startedAt, lastReadAt, lastWriteAt clock.Instant
	// eligibleAt is when this host was last eligible, lastActedAt when it last acted.
	eligibleAt, lastActedAt clock.Instant
	acted                   bool
	// quietUntil is the instant before which this host does not take over.
	quietUntil clock.Instant
}

// New returns the candidate of a process.
func New(self Self, terms Terms) *Candidate { return &Candidate{self: self, terms: terms} }

func (c *Candidate) fraction(f float64) time.Duration {
	return time.Duration(f * float64(c.terms.Lease))
}

// Next returns what is to be done now. Eligible states whether this host may take the duty
// over, roundTrip how long a call of the store takes. A holder that is not eligible for the
// length of a lease gives the duty up. The result of an action must be observed before the
// next call; a read that failed is not observed.
func (c *Candidate) Next(eligible bool, roundTrip time.Duration, now clock.Instant) Action {
	if !c.started {
		c.started, c.startedAt, c.eligibleAt = true, now, now
	}
	if c.issued != nil {
		// The caller was interrupted before it observed the result.
		c.setPending(*c.issued)
		c.issued = nil
	}
	if eligible {
		c.eligibleAt = now
	}
	switch {
	case c.held:
		return c.nextOfHolder(now)
	case eligible && !c.leaving:
		return c.nextOfCandidate(roundTrip, now)
	}
	return Action{}
}

// nextOfHolder renews the lease, or gives the duty up.
func (c *Candidate) nextOfHolder(now clock.Instant) Action {
	c.releasing = c.releasing || c.leaving || now.Sub(c.eligibleAt) >= c.terms.Lease
	switch {
	case c.doubtful:
		return c.read(now)
	case c.releasing:
		return c.write(c.releasedRecord(), now)
	case now.Sub(c.renewedAt) >= c.fraction(renewFraction):
		return c.write(c.ownRecord(), now)
	}
	return Action{}
}

// nextOfCandidate takes the duty over if it may, and reads the row otherwise.
func (c *Candidate) nextOfCandidate(roundTrip time.Duration, now clock.Instant) Action {
	switch {
	case c.doubtful || !c.row.known:
		return c.read(now)
	case c.mayReplace(roundTrip, now):
		return c.write(Record{Host: c.self.Host, Incarnation: c.self.Incarnation, Token: c.nextToken()}, now)
	case now.Sub(c.lastReadAt) >= c.fraction(renewFraction):
		return c.read(now)
	}
	return Action{}
}

// read asks for the row, unless it was asked for a moment ago.
func (c *Candidate) read(now clock.Instant) Action {
	if c.lastReadAt != 0 && now.Sub(c.lastReadAt) < c.fraction(retryFraction) {
		return Action{}
	}
	c.lastReadAt = now
	return Action{Kind: Read}
}

// write asks for a write, unless one was asked for a moment ago.
func (c *Candidate) write(r Record, now clock.Instant) Action {
	if c.lastWriteAt != 0 && now.Sub(c.lastWriteAt) < c.fraction(retryFraction) {
		return Action{}
	}
	c.lastWriteAt = now
	c.issued = &write{record: r, expected: c.row.expected(), sentAt: now}
	return Action{Kind: Write, Record: r, Expected: c.issued.expected}
}

// ownRecord is the record of the holder.
func (c *Candidate) ownRecord() Record {
	return Record{Host: c.self.Host, Incarnation: c.self.Incarnation, Token: c.token}
}

// releasedRecord is the record by which the holder gives the duty up. If its token was refused,
// the next one must be above a token that nobody knows. The row's version is the highest
// candidate: with steps of one, holders would be refused one after the other.
func (c *Candidate) releasedRecord() Record {
	r := c.ownRecord()
	r.Released = true
	if c.refused >= c.token {
		r.Token = max(c.token, firstToken(c.row.version))
	}
	return r
}

// mayReplace reports whether the record may be replaced by one of this host.
func (c *Candidate) mayReplace(roundTrip time.Duration, now clock.Instant) bool {
	if now < c.quietUntil {
		return false
	}
	// An earlier process of this host may have acted just before another host did. This
	// process does not know that, so it waits as if it had lost the duty when it started.
	if r := c.row.record; c.row.found && r.Host != c.self.Host && now.Sub(c.startedAt) < c.terms.Lease+lateCallAllowance {
		return false
	}
	wait := min(roundTripsOfDelay*roundTrip, maxDelay)
	if c.row.found && !(c.row.record.Valid() && c.row.record.Released) {
		wait += c.fraction(1 + clockMargin)
	}
	return now.Sub(c.row.seenAt) >= wait
}

// nextToken returns the token of the next holder. A version serves as a token where the last
// one is not known: the store numbers all writes by one counter, so it is above each token so
// far.
func (c *Candidate) nextToken() Token {
	next := c.row.record.Token + 1
	earlierEra := next <= firstToken(mirror.Version{Era: c.row.version.Era})
	if !c.row.found || !c.row.record.Valid() || earlierEra {
		next = max(firstToken(c.row.version), 1)
	}
	return max(next, c.refused+1)
}

// eraBits is the number of bits of a token below those of the era. Era and number together
// have fewer than 53 bits, which every decoder of JSON numbers keeps.
const eraBits = 40

// firstToken returns a token above all those that were given out before a version. The store
// may have lost the last ones of the era before.
func firstToken(v mirror.Version) Token { return Token(v.Era)<<eraBits + Token(v.Number) }

// MayAct reports whether this process may act for the duty now, and with which token. It must
// be called immediately before each call and each write of the duty.
func (c *Candidate) MayAct(now clock.Instant) (Token, bool) {
	if !c.Active(now) {
		return 0, false
	}
	c.acted, c.lastActedAt = true, now
	return c.token, true
}

// Active reports whether this process may act now. Unlike MayAct, it does not announce a call.
func (c *Candidate) Active(now clock.Instant) bool {
	return c.held && !c.releasing && !c.leaving && !c.conflicted && now >= c.actFrom && now < c.leaseUntil
}

// Held returns the token of this process and the version of its row while the row names it.
// The lease may have ended all the same.
func (c *Candidate) Held() (Token, mirror.Version, bool) {
	if !c.held {
		return 0, mirror.Version{}, false
	}
	return c.token, c.row.version, true
}

// Leave makes the process give the duty up for good.
func (c *Candidate) Leave() { c.leaving = true }
