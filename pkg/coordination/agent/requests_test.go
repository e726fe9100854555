package agent

import (
	"time"

	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// spend tries to admit one request at a host, and records it if admitted.
func (f *simFleet) spend(h *simHost, account id.Account) budget.Result {
	now := f.localTime(h)
	if !f.mayServe(h) {
		return budget.LeaseExpired
	}
	result := h.agent.View().Pool.Spend(account, unit.Token, now)
	if result == budget.Granted {
		f.admitted[account] = append(f.admitted[account], admission{f.now, h.id})
	}
	return result
}

func (f *simFleet) mayServe(h *simHost) bool {
	return f.ignoreKeyedLease || h.agent.View().KeyedLease.Valid(f.localTime(h))
}

// request sends one request to a host, and calls done with its result.
func (f *simFleet) request(h *simHost, account id.Account, timeout time.Duration, done func(admitted bool)) {
	if h.dead || h.paused {
		done(false)
		return
	}
	if f.spend(h, account) == budget.Granted {
		done(true)
		return
	}
	f.awaitLoan(h, &simRequest{account: account, deadline: f.now.Add(timeout), done: done})
}

// awaitLoan makes a request wait until a loan has been decided.
func (f *simFleet) awaitLoan(h *simHost, r *simRequest) {
	ch, out := h.agent.AwaitLoan(f.localTime(h), r.account)
	if ch == nil {
		f.execute(h, out)
		r.done(false)
		return
	}
	r.ch = ch
	h.waiting = append(h.waiting, r)
	process := h.process
	f.after(r.deadline.Sub(f.now), func() {
		f.onHost(h, process, func() { f.timeOut(h, r) })
	})
	f.execute(h, out)
}

func (f *simFleet) timeOut(h *simHost, r *simRequest) {
	for i, other := range h.waiting {
		if other == r {
			h.waiting = append(h.waiting[:i:i], h.waiting[i+1:]...)
			h.agent.EndLoanWait(r.account)
			r.done(false)
			return
		}
	}
}

// retryWaiting retries the requests whose loans have been decided.
func (f *simFleet) retryWaiting(h *simHost) {
	var ready, rest []*simRequest
	for _, r := range h.waiting {
		select {
		case <-r.ch:
			ready = append(ready, r)
		default:
			rest = append(rest, r)
		}
	}
	h.waiting = rest
	for _, r := range ready {
		h.agent.EndLoanWait(r.account)
		now := f.localTime(h)
		if !f.mayServe(h) || f.now >= r.deadline {
			r.done(false)
			continue
		}
		if h.agent.View().Pool.Retry(r.account, unit.Token, now) == budget.Granted {
			f.admitted[r.account] = append(f.admitted[r.account], admission{f.now, h.id})
			r.done(true)
			continue
		}
		f.awaitLoan(h, r)
	}
}

// firstExcess returns the index of the first admission that one ideal token bucket
// would not have granted, or -1. The bucket starts full.
func firstExcess(admitted []admission, rate, burst int64) int {
	const scale = int64(time.Second)
	tokens := burst * scale
	var last clock.Instant
	for i, a := range admitted {
		at := a.at
		if i > 0 {
			elapsed := min(int64(at-last), burst*scale/rate+1)
			tokens = min(tokens+elapsed*rate, burst*scale)
		}
		last = at
		if tokens < scale {
			return i
		}
		tokens -= scale
	}
	return -1
}
