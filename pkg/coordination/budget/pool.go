// Package budget divides fleet-wide amounts into shares that hosts spend
// without contacting each other.
//
// A Pool belongs to one host: it spends the host's shares with atomic operations,
// lends to other hosts and borrows from them. A Planner belongs to the controller:
// it moves shares between hosts in steps that debit before they credit. Both are
// generic over the budgeted amount, so that the same code serves the rate of an
// account, the headroom of a region, the cap of a shift, the bandwidth of a link
// or the traffic of an unproven release.
package budget

import (
	"maps"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/rcu"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Result is the outcome of a spend.
type Result int

// Results of a spend.
const (
	// Granted means that the amount was debited.
	Granted Result = iota
	// Exhausted means that this host's share has too few tokens left.
	Exhausted
	// LeaseExpired means that this host may not spend, because its lease has expired.
	LeaseExpired
	// Unknown means that this host has no share in the budget.
	Unknown
)

// String returns the outer name of the result, which stays when a constant is renamed.
func (r Result) String() string {
	switch r {
	case Granted:
		return "granted"
	case Exhausted:
		return "dry"
	case LeaseExpired:
		return "lapsed"
	default:
		return "unknown"
	}
}

// Pool holds a host's shares of all budgets of one kind, keyed by K. A change
// replaces the whole set of budgets; a spend loads it once.
type Pool[K comparable, U unit.Amount] struct {
	lease   *Lease
	buckets *rcu.Cell[map[K]*Bucket[U]]
}

// New returns a pool without budgets; it can be spent from while lease is valid.
func New[K comparable, U unit.Amount](lease *Lease) *Pool[K, U] {
	return &Pool[K, U]{lease: lease, buckets: rcu.New(map[K]*Bucket[U]{})}
}

// Spend debits amount from the host's share of the budget k.
func (p *Pool[K, U]) Spend(k K, amount U, now clock.Instant) Result {
	b := (*p.buckets.Load())[k]
	if b == nil {
		return Unknown
	}
	if !p.lease.Valid(now) {
		return LeaseExpired
	}
	if !b.Spend(amount, now) {
		return Exhausted
	}
	return Granted
}

// Retry is Spend for an amount that an earlier Spend has refused. It does not count
// the amount as requested again.
func (p *Pool[K, U]) Retry(k K, amount U, now clock.Instant) Result {
	b := (*p.buckets.Load())[k]
	if b == nil {
		return Unknown
	}
	if !p.lease.Valid(now) {
		return LeaseExpired
	}
	if !b.Retry(amount, now) {
		return Exhausted
	}
	return Granted
}

// Bucket returns the bucket of the budget k, or nil.
func (p *Pool[K, U]) Bucket(k K) *Bucket[U] { return (*p.buckets.Load())[k] }

// Keys returns the keys of the pool's budgets in no particular order.
func (p *Pool[K, U]) Keys() []K {
	buckets := *p.buckets.Load()
	keys := make([]K, 0, len(buckets))
	for k := range buckets {
		keys = append(keys, k)
	}
	return keys
}

// Set sets the share of the budget k, and creates its bucket if there is none.
func (p *Pool[K, U]) Set(k K, share Share[U], now clock.Instant) {
	if b := p.Bucket(k); b != nil {
		b.SetShare(share, now)
		return
	}
	p.buckets.Update(func(old map[K]*Bucket[U]) map[K]*Bucket[U] {
		next := maps.Clone(old)
		if next[k] == nil {
			next[k] = NewBucket(share, now)
		}
		return next
	})
}
