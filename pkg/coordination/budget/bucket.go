package budget

import (
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// loanSlots bounds the loans that one bucket has received and may spend at the same time.
const loanSlots = 8

// refillInterval is the least time between two refills.
const refillInterval = 200 * time.Microsecond

// Share is the part of a budget that a bucket may use: an amount per second
// and the most that may be kept for one burst.
type Share[U unit.Amount] struct {
	Rate  U
	Burst U
}

// Bucket is a host's part of one budget.
//
// Spending takes tokens with one compare-and-swap and never waits. Only
// refills, changes of the share and loans take the mutex, and a refill that
// would have to wait is left to whoever holds it. Tokens enter a bucket in
// three ways: by the share's rate, up to the burst less what is out on loan;
// by a loan from another host, which is kept apart and expires; and not at
// all when the share grows, because a grown share starts without tokens.
type Bucket[U unit.Amount] struct {
	tokens atomic.Int64
	loans  [loanSlots]received

	// spent counts all that was granted, for the measurement of demand.
	spent atomic.Int64
	// wanted counts all that was asked for.
	wanted atomic.Int64
	// refilledAt is the instant up to which the rate has been credited.
	refilledAt atomic.Int64

	mu    sync.Mutex
	share Share[U]
	lent  []lent[U]
}

// received is a loan that this bucket may spend until it expires.
type received struct {
	tokens atomic.Int64
	until  atomic.Int64
}

// lent is room that stays empty until the borrower can no longer spend it.
type lent[U unit.Amount] struct {
	loan   id.Loan
	to     id.Host
	amount U
	until  clock.Instant
}

// NewBucket returns an empty bucket that fills at share's rate from now on.
func NewBucket[U unit.Amount](share Share[U], now clock.Instant) *Bucket[U] {
	b := &Bucket[U]{share: share}
	b.refilledAt.Store(int64(now))
	return b
}

// Spend takes amount if the bucket has it, and tells whether it did.
func (b *Bucket[U]) Spend(amount U, now clock.Instant) bool {
	b.wanted.Add(int64(amount))
	if b.take(amount, now) {
		b.spent.Add(int64(amount))
		return true
	}
	return false
}

// Retry is Spend for a request that was already counted as wanted.
func (b *Bucket[U]) Retry(amount U, now clock.Instant) bool {
	if !b.take(amount, now) {
		return false
	}
	b.spent.Add(int64(amount))
	return true
}

func (b *Bucket[U]) take(amount U, now clock.Instant) bool {
	if b.takeLoan(amount, now) {
		return true
	}
	if takeFrom(&b.tokens, int64(amount)) {
		return true
	}
	if !b.tryRefill(now) {
		return false
	}
	return takeFrom(&b.tokens, int64(amount))
}

// takeLoan spends received loans first, because they expire.
func (b *Bucket[U]) takeLoan(amount U, now clock.Instant) bool {
	for i := range b.loans {
		slot := &b.loans[i]
		if slot.tokens.Load() < int64(amount) || int64(now) > slot.until.Load() {
			continue
		}
		if takeFrom(&slot.tokens, int64(amount)) {
			return true
		}
	}
	return false
}

func takeFrom(tokens *atomic.Int64, amount int64) bool {
	for {
		have := tokens.Load()
		if have < amount {
			return false
		}
		if tokens.CompareAndSwap(have, have-amount) {
			return true
		}
	}
}

func (b *Bucket[U]) tryRefill(now clock.Instant) bool {
	if now.Sub(clock.Instant(b.refilledAt.Load())) < refillInterval {
		return false
	}
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	b.refill(now)
	return true
}

// refill credits the rate since the last refill. The caller holds the mutex.
func (b *Bucket[U]) refill(now clock.Instant) {
	elapsed := now.Sub(clock.Instant(b.refilledAt.Load()))
	if elapsed <= 0 {
		return
	}
	b.refilledAt.Store(int64(now))
	room := int64(b.room(now))
	credit := int64(unit.Over(b.share.Rate, elapsed))
	for {
		have := b.tokens.Load()
		next := min(have+min(credit, room), room)
		if b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// room returns the burst less what is out on loan. The caller holds the mutex.
func (b *Bucket[U]) room(now clock.Instant) U {
	room := b.share.Burst
	kept := b.lent[:0]
	for _, l := range b.lent {
		if now <= l.until {
			room -= l.amount
			kept = append(kept, l)
		}
	}
	b.lent = kept
	return max(room, 0)
}

// SetShare replaces the share. What a lowered burst no longer has room for is
// dropped; a raised one gains no tokens.
func (b *Bucket[U]) SetShare(share Share[U], now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.share = share
	b.clip(int64(b.room(now)))
}

// Settled tells whether the bucket, with all it has lent, is within its share,
// so that what a lowered share gave up can be given to another host.
func (b *Bucket[U]) Settled(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out U
	for _, l := range b.lent {
		if now <= l.until {
			out += l.amount
		}
	}
	return out <= b.share.Burst
}

func (b *Bucket[U]) clip(room int64) {
	for {
		have := b.tokens.Load()
		if have <= room || b.tokens.CompareAndSwap(have, room) {
			return
		}
	}
}

// Lend debits up to amount, but never leaves less than keep, and keeps the
// room for it empty until the given instant. It returns what was debited; a
// repeated loan id gets nothing.
func (b *Bucket[U]) Lend(loan id.Loan, to id.Host, amount, keep U, now, until clock.Instant) U {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	for _, l := range b.lent {
		if l.loan == loan && l.to == to {
			return 0
		}
	}
	for {
		have := b.tokens.Load()
		part := min(int64(amount), have-int64(keep))
		if part <= 0 {
			return 0
		}
		if b.tokens.CompareAndSwap(have, have-part) {
			b.lent = append(b.lent, lent[U]{loan: loan, to: to, amount: U(part), until: until})
			return U(part)
		}
	}
}

// Receive adds a loan that may be spent up to the given instant. A loan for
// which no slot is free is lost.
func (b *Bucket[U]) Receive(amount U, now, until clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.loans {
		slot := &b.loans[i]
		if slot.tokens.Load() > 0 && int64(now) <= slot.until.Load() {
			continue
		}
		slot.tokens.Store(0)
		slot.until.Store(int64(until))
		slot.tokens.Store(int64(amount))
		return true
	}
	return false
}

// Level returns the tokens that can be spent now, loans included.
func (b *Bucket[U]) Level(now clock.Instant) U {
	b.tryRefill(now)
	level := U(b.tokens.Load())
	for i := range b.loans {
		if int64(now) <= b.loans[i].until.Load() {
			level += U(b.loans[i].tokens.Load())
		}
	}
	return level
}

// Share returns the current share.
func (b *Bucket[U]) Share() Share[U] {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share
}

// Counts returns how much was wanted and how much was spent so far.
func (b *Bucket[U]) Counts() (wanted, spent U) {
	return U(b.wanted.Load()), U(b.spent.Load())
}
