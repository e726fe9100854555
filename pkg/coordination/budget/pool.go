// Package budget divides fleet-wide amounts into shares that hosts spend
// without asking each other.
//
// A Pool is the part of one host: it spends its shares with atomic operations,
// lends to and borrows from other hosts. A Ledger is the part of whichever
// host does the control work: it moves shares between hosts in steps that
// debit before they credit. Both are generic over what is budgeted, so that
// the same code serves the rate of an account, the headroom of a region, the
// cap of a shift, the bandwidth of a link or the traffic of an unproved release.
package budget

import (
	"maps"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/rcu"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Result tells what became of an attempt to spend.
type Result int

// Results of a spend.
const (
	// Granted means that the amount was debited.
	Granted Result = iota
	// Exhausted means that this host has too little left.
	Exhausted
	// LeaseExpired means that this host may not spend, because its lease has ended.
	LeaseExpired
	// Unknown means that this host has no share in the budget.
	Unknown
)

// String returns the result's name in snake case.
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

// Pool holds a host's shares of all budgets of one kind, keyed by K. The set
// of budgets is replaced whole on change; a spend loads it once.
type Pool[K comparable, U unit.Amount] struct {
	lease   *Lease
	buckets *rcu.Cell[map[K]*Bucket[U]]
}

// New returns a pool without budgets that may be spent from while lease is valid.
func New[K comparable, U unit.Amount](lease *Lease) *Pool[K, U] {
	return &Pool[K, U]{lease: lease, buckets: rcu.New(map[K]*Bucket[U]{})}
}

// Spend takes amount from the host's share of the budget k.
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

// Retry is Spend for a request that Spend has already refused.
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

// Keys returns the budgets of the pool in no particular order.
func (p *Pool[K, U]) Keys() []K {
	buckets := *p.buckets.Load()
	keys := make([]K, 0, len(buckets))
	for k := range buckets {
		keys = append(keys, k)
	}
	return keys
}

// Set gives the budget k the share, and creates its bucket if need be.
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
