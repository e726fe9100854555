package quota

import (
	"sync"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Deposits are the tokens that a host hands to the holder of its region's pool, by account.
type Deposits map[id.Account]unit.Tokens

// Ask asks the holder of a pool for the tokens of some requests of an account.
type Ask struct {
	Account  id.Account
	Requests int
}

// Grant answers an Ask. The requests beyond Requests are refused: the first may return
// after RetryAfter, each further one Interval later.
type Grant struct {
	Account    id.Account
	Requests   int
	RetryAfter time.Duration
	Interval   time.Duration
}

const (
	// poolBurstPart is the part of the burst that accumulates in pools instead of at the
	// hosts whose shares it belongs to.
	poolBurstPart = 0.5
	// inflowTimeConstant is the time constant over which deposits are averaged.
	inflowTimeConstant = 2 * time.Second
	// minInflow is the assumed rate of deposits, per second, from which a delay is
	// computed.
	minInflow = 0.5
	// poolValidity is how long after the last deposit a pool grants. A holder that was
	// paused or has lost its hosts finds its tokens expired.
	poolValidity = 2 * time.Second
	// maxPoolDelay limits the delay after a refusal.
	maxPoolDelay = 3 * time.Second
)

// Pool holds tokens that hosts have deposited with this one, so that an account whose
// requests are spread over many hosts finds them wherever its next request arrives.
//
// Tokens are moved, never created: a host debits its share before it deposits, and the
// pool debits itself before it grants. All hosts together therefore admit no more than
// their shares allow, whichever hosts hold pools at a time. What a lost holder has is
// lost. Pool is safe for concurrent use.
type Pool struct {
	tolerance Tolerance

	mu      sync.Mutex
	entries map[id.Account]*poolEntry
}

// poolEntry is the pool of one account.
type poolEntry struct {
	tokens, capacity unit.Tokens
	// inflow is the average rate of deposits, in requests per second, as of inflowAt.
	inflow   float64
	inflowAt clock.Instant
	// nextReturn is when the next refused client may return.
	nextReturn clock.Instant
}

// NewPool returns a pool that holds nothing.
func NewPool(t Tolerance) *Pool {
	return &Pool{tolerance: t, entries: map[id.Account]*poolEntry{}}
}

// PoolParts are the parts of quotas that the hosts have which deposit with one holder.
type PoolParts struct {
	// Even is the sum of their parts of what is divided evenly between all hosts.
	Even float64
	// Used are the sums of the parts that they use, by account.
	Used map[id.Account]float64
}

// SetParts sets how much may accumulate for each account, given the parts of the hosts
// that deposit here. Tokens above that are dropped.
func (p *Pool) SetParts(accounts []*desired.Account, parts PoolParts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[id.Account]*poolEntry, len(accounts))
	for _, a := range accounts {
		if a.Rate <= 0 {
			continue
		}
		e := p.entries[a.ID]
		if e == nil {
			e = &poolEntry{}
		}
		e.capacity = tokens(poolBurstPart * (a.Burst*min(parts.Used[a.ID], 1) + p.tolerance.extra(a)*min(parts.Even, 1)))
		e.tokens = min(e.tokens, e.capacity)
		next[a.ID] = e
	}
	p.entries = next
}

// Clear drops all tokens. A host calls it when it is no longer a holder.
func (p *Pool) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.entries)
}

// Deposit adds tokens, up to the capacity of each account.
func (p *Pool) Deposit(d Deposits, now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for account, amount := range d {
		e := p.entries[account]
		if e == nil || amount <= 0 {
			continue
		}
		e.expire(now)
		e.tokens = min(e.tokens+amount, e.capacity)
		e.countInflow(float64(amount)/float64(unit.Token), now)
	}
}

// expire drops the tokens if nothing was deposited within poolValidity.
func (e *poolEntry) expire(now clock.Instant) {
	if now.Sub(e.inflowAt) > poolValidity {
		e.tokens = 0
	}
}

// countInflow adds a deposit to the average rate: each decays with the time constant.
func (e *poolEntry) countInflow(requests float64, now clock.Instant) {
	e.inflow = e.inflowNow(now) + requests/inflowTimeConstant.Seconds()
	e.inflowAt = now
}

// inflowNow returns the average rate of deposits at now.
func (e *poolEntry) inflowNow(now clock.Instant) float64 {
	elapsed := now.Sub(e.inflowAt).Seconds()
	return e.inflow * max(1-elapsed/inflowTimeConstant.Seconds(), 0)
}

// Draw grants an ask as far as the tokens go.
func (p *Pool) Draw(a Ask, now clock.Instant) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := Grant{Account: a.Account}
	e := p.entries[a.Account]
	if e == nil {
		g.RetryAfter, g.Interval = unknownAccountDelay, unknownAccountDelay
		return g
	}
	e.expire(now)
	g.Requests = min(a.Requests, int(e.tokens/unit.Token))
	e.tokens -= unit.Whole(int64(g.Requests))
	if refused := a.Requests - g.Requests; refused > 0 {
		g.Interval = time.Duration(float64(time.Second) / max(e.inflowNow(now), minInflow))
		e.nextReturn = min(max(e.nextReturn, now).Add(g.Interval), now.Add(maxPoolDelay))
		g.RetryAfter = e.nextReturn.Sub(now)
		e.nextReturn = min(e.nextReturn.Add(time.Duration(refused-1)*g.Interval), now.Add(maxPoolDelay))
	}
	return g
}
