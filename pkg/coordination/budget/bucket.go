package budget

import (
	"slices"
	"sync"
	"sync/atomic"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// maxReceivedLoans is the number of received loans that a bucket can spend at the same time.
const maxReceivedLoans = 8

// Share is the part of a budget that a bucket may use: a rate per second and
// the largest amount that can accumulate for a burst.
type Share[U unit.Amount] struct {
	Rate  U
	Burst U
}

// Bucket is a host's share of one budget.
//
// The state of the bucket's own share is one atomic number in a limiter.
// Spending loads the current limiter and changes that number with one
// compare-and-swap. Changes of the share and loans take the mutex, close the
// limiter and replace it, so that no spend uses a share that is no longer valid.
//
// A bucket gains tokens in two ways: at the share's rate, up to the burst less
// the amounts lent to other hosts; and by loans from other hosts, which are
// held separately and expire. Raising the share adds no tokens.
type Bucket[U unit.Amount] struct {
	limiter  atomic.Pointer[limiter[U]]
	received [maxReceivedLoans]receivedLoan

	// spent sums the granted amounts, requested all amounts asked for.
	spent     atomic.Int64
	requested atomic.Int64

	mu    sync.Mutex
	share Share[U]
	lent  []lentLoan[U]
}

// receivedLoan is a loan that this bucket may spend until it expires. The mutex of
// the bucket guards the fields that are not atomic.
type receivedLoan struct {
	tokens atomic.Int64
	until  atomic.Int64

	loan     id.Loan
	lender   id.Host
	settleBy clock.Instant
	// active is set from the receipt of the loan until its settlement.
	active bool
}

// Settlement ends a loan: the lender may use the reserved burst again, and the
// unspent amount returns to the lender.
type Settlement[U unit.Amount] struct {
	Loan    id.Loan
	Lender  id.Host
	Unspent U
}

// lentLoan reserves a part of the burst until the borrower can no longer spend it.
type lentLoan[U unit.Amount] struct {
	loan     id.Loan
	borrower id.Host
	amount   U
	until    clock.Instant
}

// NewBucket returns an empty bucket that fills at the share's rate from now on.
func NewBucket[U unit.Amount](share Share[U], now clock.Instant) *Bucket[U] {
	b := &Bucket[U]{share: share}
	b.limiter.Store(newLimiter(share, 0, now))
	return b
}

// Spend debits amount if the bucket has it, and reports whether it did.
func (b *Bucket[U]) Spend(amount U, now clock.Instant) bool {
	b.requested.Add(int64(amount))
	if b.spend(amount, now) {
		b.spent.Add(int64(amount))
		return true
	}
	return false
}

// Retry is Spend for an amount that an earlier Spend has refused. It does not count
// the amount as requested again.
func (b *Bucket[U]) Retry(amount U, now clock.Instant) bool {
	if !b.spend(amount, now) {
		return false
	}
	b.spent.Add(int64(amount))
	return true
}

// spend debits amount from a received loan or from the bucket's own tokens.
func (b *Bucket[U]) spend(amount U, now clock.Instant) bool {
	if b.spendLoan(amount, now) {
		return true
	}
	granted, closed := b.limiter.Load().spend(amount, now)
	if closed {
		// Limiters are replaced under the mutex, so the one loaded here is open.
		b.mu.Lock()
		granted, _ = b.limiter.Load().spend(amount, now)
		b.mu.Unlock()
	}
	return granted
}

// spendLoan spends from a received loan. Loans are spent before the bucket's own
// tokens, because they expire.
func (b *Bucket[U]) spendLoan(amount U, now clock.Instant) bool {
	for i := range b.received {
		slot := &b.received[i]
		if slot.tokens.Load() < int64(amount) || int64(now) > slot.until.Load() {
			continue
		}
		if subtract(&slot.tokens, int64(amount)) {
			return true
		}
	}
	return false
}

// subtract lowers tokens by amount if they suffice, and reports whether it did.
func subtract(tokens *atomic.Int64, amount int64) bool {
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

// replaceLimiter installs a limiter for the current share less the lent amounts.
// It starts with the old limiter's tokens as modified by change. The caller holds the
// mutex.
func (b *Bucket[U]) replaceLimiter(now clock.Instant, change func(tokens U) U) {
	tokens := change(b.limiter.Load().close(now))
	available := Share[U]{Rate: b.share.Rate, Burst: b.availableBurst(now)}
	b.limiter.Store(newLimiter(available, min(tokens, available.Burst), now))
}

// availableBurst drops expired loans and returns the burst less the lent amounts. The
// caller holds the mutex.
func (b *Bucket[U]) availableBurst(now clock.Instant) U {
	b.lent = slices.DeleteFunc(b.lent, func(l lentLoan[U]) bool { return now > l.until })
	burst := b.share.Burst
	for _, l := range b.lent {
		burst -= l.amount
	}
	return max(burst, 0)
}

func unchanged[U unit.Amount](tokens U) U { return tokens }

// SetShare replaces the share. Tokens above a lowered burst are dropped; a
// raised share adds no tokens.
func (b *Bucket[U]) SetShare(share Share[U], now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.replaceLimiter(now, unchanged)
}

// Reclaim makes the burst that was reserved for expired loans usable again. The
// burst stays reserved after a loan has expired, until the limiter is replaced.
func (b *Bucket[U]) Reclaim(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.ContainsFunc(b.lent, func(l lentLoan[U]) bool { return now > l.until }) {
		b.replaceLimiter(now, unchanged)
	}
}

// WithinShare reports whether the outstanding loans fit into the share's burst.
// If they do, the amount by which the share was lowered can be granted to
// another host.
func (b *Bucket[U]) WithinShare(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var outstanding U
	for _, l := range b.lent {
		if now <= l.until {
			outstanding += l.amount
		}
	}
	return outstanding <= b.share.Burst
}

// LoanRequest is a borrower's request for a loan.
type LoanRequest[U unit.Amount] struct {
	ID     id.Loan
	To     id.Host
	Amount U
	// Granularity is the smallest useful amount; only multiples of it are lent.
	Granularity U
}

// Lend debits as much of the requested amount as it can without leaving fewer than
// reserve tokens. An equal part of the burst stays reserved through until, so that
// it does not fill while the borrower can spend the loan. Lend returns the debited
// amount, which is 0 for a repeated request.
func (b *Bucket[U]) Lend(req LoanRequest[U], reserve U, now, until clock.Instant) U {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.ContainsFunc(b.lent, func(l lentLoan[U]) bool { return l.loan == req.ID && l.borrower == req.To }) {
		return 0
	}
	if b.limiter.Load().level(now) < reserve+req.Granularity {
		return 0
	}
	var amount U
	b.replaceLimiter(now, func(tokens U) U {
		amount = max(0, min(req.Amount, tokens-reserve))
		amount -= amount % max(req.Granularity, 1)
		if amount > 0 {
			b.lent = append(b.lent, lentLoan[U]{loan: req.ID, borrower: req.To, amount: amount, until: until})
		}
		return tokens - amount
	})
	return amount
}

// Receive adds a loan that can be spent through until and should be settled by
// settleBy. It returns false if maxReceivedLoans are active already.
func (b *Bucket[U]) Receive(loan id.Loan, lender id.Host, amount U, now, settleBy, until clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.received {
		slot := &b.received[i]
		if slot.active && int64(now) <= slot.until.Load() {
			continue
		}
		// No tokens are available while until changes, so that a concurrent spend
		// cannot use the old loan's tokens within the new loan's time.
		slot.tokens.Store(0)
		slot.until.Store(int64(until))
		slot.loan, slot.lender, slot.settleBy, slot.active = loan, lender, settleBy, true
		slot.tokens.Store(int64(amount))
		return true
	}
	return false
}

// Settle ends the received loans that are spent or due for settlement, and returns
// the settlements to be sent to their lenders. An expired loan needs none: its lender
// stops reserving the burst without it, and the unspent amount is lost.
func (b *Bucket[U]) Settle(now clock.Instant) []Settlement[U] {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Settlement[U]
	for i := range b.received {
		slot := &b.received[i]
		if !slot.active || (slot.tokens.Load() > 0 && now < slot.settleBy) {
			continue
		}
		slot.active = false
		unspent := slot.tokens.Swap(0)
		if int64(now) <= slot.until.Load() {
			out = append(out, Settlement[U]{Loan: slot.loan, Lender: slot.lender, Unspent: U(unspent)})
		}
	}
	return out
}

// ApplyRepayment ends a lent loan that its borrower has settled, and takes back the
// unspent amount. A repeated call changes nothing.
func (b *Bucket[U]) ApplyRepayment(loan id.Loan, borrower id.Host, unspent U, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, l := range b.lent {
		if l.loan != loan || l.borrower != borrower {
			continue
		}
		b.lent = slices.Delete(b.lent, i, i+1)
		if now <= l.until {
			b.replaceLimiter(now, func(tokens U) U { return tokens + max(0, min(unspent, l.amount)) })
		}
		return
	}
}

// Level returns the tokens that can be spent now, including received loans.
func (b *Bucket[U]) Level(now clock.Instant) U {
	level := b.limiter.Load().level(now)
	for i := range b.received {
		if int64(now) <= b.received[i].until.Load() {
			level += U(b.received[i].tokens.Load())
		}
	}
	return level
}

// OwnLevel returns the tokens that can be lent now: those of the bucket's own
// share, without received loans.
func (b *Bucket[U]) OwnLevel(now clock.Instant) U { return b.limiter.Load().level(now) }

// Share returns the current share.
func (b *Bucket[U]) Share() Share[U] {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share
}

// Counts returns the total amounts requested and spent.
func (b *Bucket[U]) Counts() (requested, spent U) {
	return U(b.requested.Load()), U(b.spent.Load())
}
