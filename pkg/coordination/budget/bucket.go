package budget

import (
	"slices"
	"sync"
	"sync/atomic"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// loanSlots bounds the loans that one bucket has received and may spend at the same time.
const loanSlots = 8

// Share is the part of a budget that a bucket may use: an amount per second
// and the most that may be kept for one burst.
type Share[U unit.Amount] struct {
	Rate  U
	Burst U
}

// Bucket is a host's part of one budget.
//
// What the bucket holds is one atomic number in a tank (see tank). Spending
// loads the current tank and changes that number with one compare-and-swap.
// Changes of the share and loans take the mutex, close the tank, and put a new
// one in its place, so that no spend goes by a share that is no longer valid.
//
// Tokens enter a bucket in three ways: by the share's rate, up to the burst
// less what is out on loan; by a loan from another host, which is kept apart
// and expires; and not at all when the share grows, because a grown share
// starts without tokens.
type Bucket[U unit.Amount] struct {
	tank  atomic.Pointer[tank[U]]
	loans [loanSlots]received

	// spent counts all that was granted, and wanted all that was asked for.
	spent  atomic.Int64
	wanted atomic.Int64

	mu    sync.Mutex
	share Share[U]
	lent  []lent[U]
}

// received is a loan that this bucket may spend until it expires. The mutex of
// the bucket guards the fields that are not atomic.
type received struct {
	tokens atomic.Int64
	until  atomic.Int64

	loan   id.Loan
	lender id.Host
	due    clock.Instant
	open   bool
}

// Settlement ends a loan: what was spent needs no room with the lender any
// more, and what was not spent goes back.
type Settlement[U unit.Amount] struct {
	Loan    id.Loan
	Lender  id.Host
	Unspent U
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
	b.tank.Store(newTank(share, 0, now))
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
	granted, closed := b.tank.Load().take(amount, now)
	if closed {
		b.mu.Lock()
		granted, _ = b.tank.Load().take(amount, now)
		b.mu.Unlock()
	}
	return granted
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

// refresh puts a new tank in place: with the current share, less what is out
// on loan, and with what change makes of the old tank's tokens. The caller
// holds the mutex.
func (b *Bucket[U]) refresh(now clock.Instant, change func(tokens U) U) {
	tokens := change(b.tank.Load().close(now))
	room := Share[U]{Rate: b.share.Rate, Burst: b.room(now)}
	b.tank.Store(newTank(room, min(tokens, room.Burst), now))
}

// room returns the burst less what is out on loan. The caller holds the mutex.
func (b *Bucket[U]) room(now clock.Instant) U {
	b.lent = slices.DeleteFunc(b.lent, func(l lent[U]) bool { return now > l.until })
	room := b.share.Burst
	for _, l := range b.lent {
		room -= l.amount
	}
	return max(room, 0)
}

func same[U unit.Amount](tokens U) U { return tokens }

// SetShare replaces the share. What a lowered burst no longer has room for is
// dropped; a raised one gains no tokens.
func (b *Bucket[U]) SetShare(share Share[U], now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.refresh(now, same)
}

// Reclaim makes the room of ended loans usable again. Without it the room
// stays empty.
func (b *Bucket[U]) Reclaim(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.ContainsFunc(b.lent, func(l lent[U]) bool { return now > l.until }) {
		b.refresh(now, same)
	}
}

// WithinShare tells whether the bucket, with all it has lent, is within its share,
// so that what a lowered share gave up can be given to another host.
func (b *Bucket[U]) WithinShare(now clock.Instant) bool {
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

// Loan is what a borrower asks for.
type Loan[U unit.Amount] struct {
	ID     id.Loan
	To     id.Host
	Amount U
	// Granularity is the least part that is of use; only multiples of it are lent.
	Granularity U
}

// Lend debits a loan as far as it can, but never leaves less than keep, and
// keeps the room for it empty until the given instant. It returns what was
// debited; a repeated loan gets nothing.
func (b *Bucket[U]) Lend(ask Loan[U], keep U, now, until clock.Instant) U {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.ContainsFunc(b.lent, func(l lent[U]) bool { return l.loan == ask.ID && l.to == ask.To }) {
		return 0
	}
	if b.tank.Load().level(now) < keep+ask.Granularity {
		return 0
	}
	var part U
	b.refresh(now, func(tokens U) U {
		part = max(0, min(ask.Amount, tokens-keep))
		part -= part % max(ask.Granularity, 1)
		if part > 0 {
			b.lent = append(b.lent, lent[U]{loan: ask.ID, to: ask.To, amount: part, until: until})
		}
		return tokens - part
	})
	return part
}

// Receive adds a loan that may be spent up to the given instant, and should be
// settled by due. A loan for which no slot is free is not taken.
func (b *Bucket[U]) Receive(loan id.Loan, lender id.Host, amount U, now, due, until clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.loans {
		slot := &b.loans[i]
		if slot.open && int64(now) <= slot.until.Load() {
			continue
		}
		slot.tokens.Store(0)
		slot.until.Store(int64(until))
		slot.loan, slot.lender, slot.due, slot.open = loan, lender, due, true
		slot.tokens.Store(int64(amount))
		return true
	}
	return false
}

// Settle ends the loans that are spent or due, and returns what to tell their lenders.
func (b *Bucket[U]) Settle(now clock.Instant) []Settlement[U] {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Settlement[U]
	for i := range b.loans {
		slot := &b.loans[i]
		if !slot.open || (slot.tokens.Load() > 0 && now < slot.due) {
			continue
		}
		slot.open = false
		unspent := slot.tokens.Swap(0)
		if int64(now) <= slot.until.Load() {
			out = append(out, Settlement[U]{Loan: slot.loan, Lender: slot.lender, Unspent: U(unspent)})
		}
	}
	return out
}

// ApplyRepayment takes a borrower's word that a loan has ended. A repeated one changes nothing.
func (b *Bucket[U]) ApplyRepayment(loan id.Loan, borrower id.Host, unspent U, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, l := range b.lent {
		if l.loan != loan || l.to != borrower {
			continue
		}
		b.lent = slices.Delete(b.lent, i, i+1)
		if now <= l.until {
			b.refresh(now, func(tokens U) U { return tokens + max(0, min(unspent, l.amount)) })
		}
		return
	}
}

// Level returns the tokens that can be spent now, loans included.
func (b *Bucket[U]) Level(now clock.Instant) U {
	level := b.tank.Load().level(now)
	for i := range b.loans {
		if int64(now) <= b.loans[i].until.Load() {
			level += U(b.loans[i].tokens.Load())
		}
	}
	return level
}

// OwnLevel returns the tokens that can be lent now: those of the share, without loans.
func (b *Bucket[U]) OwnLevel(now clock.Instant) U { return b.tank.Load().level(now) }

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
