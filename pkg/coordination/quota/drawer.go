package quota

import (
	"context"
	"sync"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

const (
	// drawTimeout limits the wait for the holder's answer: several round trips within a
	// region, and a small part of what clients wait for an answer.
	drawTimeout = 120 * time.Millisecond
	// unansweredDelay is the delay after a refusal for want of an answer. A new holder is
	// chosen within about a second.
	unansweredDelay = 700 * time.Millisecond
	// maxRefusalAge is how long a refusal of the holder stands for the requests that follow.
	maxRefusalAge = 150 * time.Millisecond
	// spareAge is how long granted tokens that no request waits for can be used.
	spareAge = 500 * time.Millisecond
)

// Drawer draws tokens from the pool of this host's region for requests that find none in
// this host's share. It is safe for concurrent use.
//
// A request that draws waits for the holder's answer at most drawTimeout. One ask at a
// time is under way for an account; requests that arrive meanwhile share the next.
type Drawer struct {
	self  id.Host
	pool  *Pool
	clock clock.Clock
	// send sends an ask to the holder of the pool.
	send func(holder id.Host, a Ask)
	// holder is the host that holds the pool, empty if there is none.
	holder *rcu.Cell[id.Host]

	mu      sync.Mutex
	waiting map[id.Account]*drawQueue
}

// drawQueue holds the requests of one account that wait for tokens.
type drawQueue struct {
	waiters []chan Grant
	// askedAt is when the ask that is under way was sent, 0 if none is.
	askedAt clock.Instant
	// refusal is the holder's last refusal, which stands until refusedUntil.
	refusal      Grant
	refusedUntil clock.Instant
	// spare is the number of granted requests that nobody waited for, until spareUntil.
	spare      int
	spareUntil clock.Instant
}

// NewDrawer returns a drawer of a host that holds pool while it is the holder itself.
func NewDrawer(self id.Host, pool *Pool, c clock.Clock, send func(id.Host, Ask)) *Drawer {
	return &Drawer{self: self, pool: pool, clock: c, send: send, holder: rcu.New(id.Host("")), waiting: map[id.Account]*drawQueue{}}
}

// SetHolder sets the host that holds the region's pool, empty if there is none.
func (d *Drawer) SetHolder(h id.Host) {
	if h != *d.holder.Load() {
		d.holder.Store(h)
	}
}

// Draw takes a token for one request of an account. Without one, it returns how long the
// client should wait, 0 if there is no pool.
func (d *Drawer) Draw(ctx context.Context, account id.Account) (ok bool, delay time.Duration) {
	switch holder := *d.holder.Load(); holder {
	case "":
		return false, 0
	case d.self:
		g := d.pool.Draw(Ask{Account: account, Requests: 1}, d.clock.Now())
		return g.Requests > 0, g.RetryAfter
	default:
		return d.drawFrom(ctx, holder, account)
	}
}

// drawFrom waits for a token from another host.
func (d *Drawer) drawFrom(ctx context.Context, holder id.Host, account id.Account) (bool, time.Duration) {
	result := make(chan Grant, 1)
	ask, settled := d.enqueue(account, result)
	if settled != nil {
		return settled.Requests > 0, settled.RetryAfter
	}
	if ask.Requests > 0 {
		d.send(holder, ask)
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	select {
	case g := <-result:
		return g.Requests > 0, g.RetryAfter
	case <-ctx.Done():
	}
	d.abandon(account, result)
	// The answer may have come with the timeout.
	select {
	case g := <-result:
		return g.Requests > 0, g.RetryAfter
	default:
		return false, unansweredDelay
	}
}

// enqueue settles a request at once, or adds it to the waiting ones and returns the ask to
// send, which is empty while another is under way.
func (d *Drawer) enqueue(account id.Account, result chan Grant) (ask Ask, settled *Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	q := d.waiting[account]
	if q == nil {
		q = &drawQueue{}
		d.waiting[account] = q
	}
	switch {
	case q.spare > 0 && now < q.spareUntil:
		q.spare--
		return Ask{}, &Grant{Account: account, Requests: 1}
	case now < q.refusedUntil:
		q.refusal.RetryAfter = min(q.refusal.RetryAfter+q.refusal.Interval, maxPoolDelay)
		refusal := q.refusal
		return Ask{}, &refusal
	}
	q.waiters = append(q.waiters, result)
	if q.askedAt != 0 && now.Sub(q.askedAt) < drawTimeout {
		return Ask{}, nil
	}
	q.askedAt = now
	return Ask{Account: account, Requests: len(q.waiters)}, nil
}

// abandon removes a request that no longer waits.
func (d *Drawer) abandon(account id.Account, result chan Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.waiting[account]
	for i, w := range q.waiters {
		if w == result {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// Granted hands the answer of the holder to the requests that wait for it.
func (d *Drawer) Granted(from id.Host, g Grant) {
	next := d.settle(g)
	if next.Requests > 0 {
		d.send(from, next)
	}
}

// settle ends the waiting of requests by a grant, and returns the ask for those that came
// after the one that it answers.
func (d *Drawer) settle(g Grant) (next Ask) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	q := d.waiting[g.Account]
	if q == nil {
		return Ask{}
	}
	q.askedAt = 0
	for ; g.Requests > 0 && len(q.waiters) > 0; g.Requests-- {
		q.waiters[0] <- Grant{Account: g.Account, Requests: 1}
		q.waiters = q.waiters[1:]
	}
	if g.Requests > 0 {
		if now >= q.spareUntil {
			q.spare = 0
		}
		q.spare, q.spareUntil = q.spare+g.Requests, now.Add(spareAge)
	}
	if g.RetryAfter > 0 {
		for _, w := range q.waiters {
			w <- g
			g.RetryAfter = min(g.RetryAfter+g.Interval, maxPoolDelay)
		}
		q.waiters = nil
		q.refusal, q.refusedUntil = g, now.Add(min(g.RetryAfter, maxRefusalAge))
	}
	if len(q.waiters) > 0 {
		q.askedAt = now
		return Ask{Account: g.Account, Requests: len(q.waiters)}
	}
	return Ask{}
}
