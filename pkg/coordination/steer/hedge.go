package steer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Hedging is what a Steerer needs to send a second copy of slow requests. Without a Hedger
// no copy is sent, and the other fields are not used.
type Hedging[A any] struct {
	Hedger *hedge.Hedger
	// Runner runs the copies.
	Runner Runner
	// Discard releases an answer that is not delivered, because the other exchange gave its
	// answer first.
	Discard func(A)
}

// Runner runs work beside the goroutine of a request. Its methods are safe for concurrent
// use.
type Runner interface {
	// After runs task once d has passed. stop prevents that, or returns false if the task
	// has begun. A panic of the task ends only the task.
	After(d time.Duration, task func()) (stop func() bool)
	// WithCancel returns a context that ends with cancel or with its parent.
	WithCancel(parent context.Context) (context.Context, context.CancelCauseFunc)
	// NewLatch returns a latch that is not open.
	NewLatch() Latch
}

// Latch is opened once.
type Latch interface {
	Open()
	// Wait waits until the latch is open.
	Wait()
}

// HedgeRecord describes, for the log and the metrics, what became of a request whose first
// exchange was slow.
type HedgeRecord struct {
	// Delay is the time after which a copy was considered, 0 if none was.
	Delay time.Duration
	// Suppressed is why no copy was sent.
	Suppressed hedge.Reason
	// Sent reports whether a copy was sent, Won whether its answer was used, Upstream where it
	// was sent.
	Sent, Won bool
	Upstream  id.Upstream
	// Wasted is how long the exchange ran whose answer was not used.
	Wasted time.Duration
}

// errOtherAnswered is the cause of the context of an exchange that ended because the other
// exchange of the request gave its answer.
var errOtherAnswered = errors.New("the other copy of the request was answered")

// States of a hedged request. The first exchange runs in the request's own goroutine, the
// copy in one of the Runner; they agree by changing the state.
const (
	// stateWaiting is the state until the delay has passed.
	stateWaiting int32 = iota
	// stateSuppressed means that no copy is sent, because hedged.suppressed forbids it.
	stateSuppressed
	// stateFirstDone means that the first exchange ended without a copy.
	stateFirstDone
	// stateCopied means that the copy is sent and neither exchange has given its answer.
	stateCopied
	// stateFirstWon and stateCopyWon mean that an exchange has given its answer.
	stateFirstWon
	stateCopyWon
)

// hedged is an exchange for which a second copy may be sent.
type hedged[A any] struct {
	// copy is the state of the request as the copy sees it. Its own goroutine changes it
	// until ended is open.
	copy  dispatch[A]
	key   hedge.Key
	delay time.Duration
	first *place.Choice
	start clock.Instant

	state atomic.Int32
	// The fields below are set before the state says that a copy is suppressed or sent.
	suppressed hedge.Reason
	second     *place.Choice
	sentAt     clock.Instant
	// exchange is how the copy ended; it is set before ended is opened.
	exchange Exchange[A]
	ended    Latch

	cancelFirst, cancelCopy context.CancelCauseFunc
}

// errCopyPanicked is the error of a copy whose goroutine panicked.
var errCopyPanicked = errors.New("the exchange of the copy panicked")

// sendHedged makes one attempt at the chosen upstream and, if it is slow and the request may
// run twice, sends a copy to another upstream. It returns the exchange that counts.
func (d *dispatch[A]) sendHedged(ctx context.Context, c *place.Choice, remaining time.Duration) Exchange[A] {
	if d.Hedger == nil || !d.route.Retryable() {
		return d.send(ctx, c, remaining)
	}
	key := hedge.Key{Service: d.service, Route: d.route.Name, Known: c.Warm()}
	delay, known := d.Hedger.Delay(key)
	mayCopy := known && !d.decision.Hedge.Sent && d.request.Replayable && d.decision.Attempts+1 < d.route.MaxAttempts && delay+minRemaining < remaining
	start := d.Clock.Now()
	if !mayCopy {
		e := d.send(ctx, c, remaining)
		d.observe(key, e, d.Clock.Now().Sub(start))
		return e
	}
	h := &hedged[A]{copy: *d, key: key, delay: delay, first: c, start: start, ended: d.Runner.NewLatch()}
	h.copy.tried = append(append([]*place.Upstream(nil), d.tried...), c.Upstream)
	h.copy.decision.Attempts++
	firstCtx, cancelFirst := d.Runner.WithCancel(ctx)
	defer cancelFirst(nil)
	copyCtx, cancelCopy := d.Runner.WithCancel(ctx)
	// A copy that is still running has been recorded as the loser.
	defer cancelCopy(errOtherAnswered)
	h.cancelFirst, h.cancelCopy = cancelFirst, cancelCopy
	stop := d.Runner.After(delay, func() { h.run(copyCtx) })
	e := d.send(firstCtx, c, remaining)
	elapsed := d.Clock.Now().Sub(start)
	if context.Cause(firstCtx) == errOtherAnswered && e.Result != Answered {
		d.Hedger.ObserveAtLeast(key, elapsed)
	} else {
		d.observe(key, e, elapsed)
	}
	return d.settleHedge(h, e, elapsed, stop)
}

// observe counts the response time of an exchange that was answered or ran into the deadline.
func (d *dispatch[A]) observe(key hedge.Key, e Exchange[A], elapsed time.Duration) {
	deadlinePassed := e.Result == AnsweredTimeout || (e.Result == NoAnswer && d.deadline.Sub(d.Clock.Now()) < minRemaining)
	switch {
	case e.Result == Answered:
		d.Hedger.Observe(key, elapsed)
	case deadlinePassed:
		d.Hedger.ObserveAtLeast(key, elapsed)
	}
}

// settleHedge returns the exchange that counts after the first one has ended as e.
func (d *dispatch[A]) settleHedge(h *hedged[A], e Exchange[A], elapsed time.Duration, stop func() bool) Exchange[A] {
	stop()
	if h.state.CompareAndSwap(stateWaiting, stateFirstDone) {
		return e
	}
	record := &d.decision.Hedge
	record.Delay = h.delay
	if h.state.Load() == stateSuppressed {
		record.Suppressed = h.suppressed
		return e
	}
	record.Suppressed, record.Sent, record.Upstream = hedge.ReasonNone, true, h.second.Upstream.Info.ID
	d.decision.Attempts++
	d.tried = append(d.tried, h.second.Upstream)
	if e.Result == Answered && h.state.CompareAndSwap(stateCopied, stateFirstWon) {
		record.Wasted = d.Clock.Now().Sub(h.sentAt)
		h.cancelCopy(errOtherAnswered)
		return e
	}
	h.ended.Wait()
	if h.state.Load() == stateCopyWon {
		d.discard(e)
		record.Won, record.Wasted = true, elapsed
		d.adopt(h)
		return h.exchange
	}
	return d.bothFailed(h, e)
}

// adopt makes the copy's upstream that of the decision.
func (d *dispatch[A]) adopt(h *hedged[A]) {
	c := &h.copy.decision
	d.decision.Upstream, d.decision.Expected, d.decision.Warm = c.Upstream, c.Expected, c.Warm
	d.decision.Rank, d.decision.Load, d.decision.LoadAge = c.Rank, c.Load, c.LoadAge
}

// bothFailed returns the exchange from which the request goes on: the copy's if it alone
// has an answer that can be passed on.
func (d *dispatch[A]) bothFailed(h *hedged[A], first Exchange[A]) Exchange[A] {
	other := h.exchange
	if !first.Result.hasAnswer() && other.Result.hasAnswer() {
		d.adopt(h)
		first, other = other, first
	} else {
		d.discard(other)
	}
	d.mayHaveRun = d.mayHaveRun || !other.Result.notRun()
	return first
}

// hasAnswer reports whether the exchange ended with an answer that can be passed on.
func (r Result) hasAnswer() bool {
	return r == Answered || r == AnsweredFailure || r == AnsweredTimeout
}

// notRun reports whether the upstream has not run the request.
func (r Result) notRun() bool { return r == Shed || r == Misdirected || r == NotSent }

// discard releases the answer of an exchange that is not used.
func (d *dispatch[A]) discard(e Exchange[A]) {
	if e.Result.hasAnswer() {
		d.Discard(e.Answer)
	}
}

// run decides on the copy after the delay, and sends it.
func (h *hedged[A]) run(ctx context.Context) {
	h.exchange = Exchange[A]{Result: NoAnswer, Err: errCopyPanicked}
	defer h.ended.Open()
	d := &h.copy
	remaining, reason := h.decide(ctx)
	if reason != hedge.ReasonNone {
		h.suppressed = reason
		h.state.CompareAndSwap(stateWaiting, stateSuppressed)
		return
	}
	h.sentAt = d.Clock.Now()
	if !h.state.CompareAndSwap(stateWaiting, stateCopied) {
		h.second.Done()
		return
	}
	e := d.send(ctx, h.second, remaining)
	if e.Result != Answered {
		h.exchange = e
		return
	}
	if !h.state.CompareAndSwap(stateCopied, stateCopyWon) {
		d.discard(e)
		return
	}
	h.exchange = e
	h.cancelFirst(errOtherAnswered)
}

// decide returns why no copy may be sent, or ReasonNone with its upstream chosen. What was
// checked before the delay is checked again, because this host may have been paused since.
func (h *hedged[A]) decide(ctx context.Context) (remaining time.Duration, reason hedge.Reason) {
	d := &h.copy
	now := d.Clock.Now()
	remaining = d.deadline.Sub(now)
	if ctx.Err() != nil {
		return 0, hedge.ReasonClientLeft
	}
	if remaining < minRemaining {
		return 0, hedge.ReasonTooSlow
	}
	if _, refused := d.recheck(now); refused != ReasonNone || d.service != h.key.Service || !d.route.Retryable() || d.decision.Attempts >= d.route.MaxAttempts {
		return 0, hedge.ReasonWithdrawn
	}
	c, room := d.Placer.ChooseSecond(d.query(remaining), h.first, now)
	if c == nil {
		return 0, hedge.ReasonNoUpstream
	}
	reason = d.Hedger.Decide(h.key, hedge.Situation{
		Elapsed: now.Sub(h.start), Remaining: remaining, Expected: c.Expected(), Slots: room.Slots, Free: room.Free, Now: now,
	}, d.retryLimit(d.service))
	if reason != hedge.ReasonNone {
		c.Done()
		return 0, reason
	}
	h.second = c
	return remaining, hedge.ReasonNone
}
