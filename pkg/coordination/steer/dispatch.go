package steer

import (
	"context"
	"errors"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// dispatch is the state of one request across its attempts.
type dispatch[A any] struct {
	*Steerer[A]
	request *Request
	// state is the desired state by which route and account were last checked.
	state    *desired.State
	route    *desired.Route
	account  *desired.Account
	deadline clock.Instant
	decision Decision[A]

	service id.Service
	release id.Release
	tried   []*place.Upstream
	// mayHaveRun reports whether an upstream may have run the request.
	mayHaveRun bool
	// newConnection reports whether the next attempt must not use a pooled
	// connection, because one failed in the last attempt.
	newConnection bool
	// dryRun is set if the request is not sent and must change nothing.
	dryRun bool
}

// Delays after which clients of refused requests are asked to retry.
const (
	// fullRetryDelay is about the time of one warm request, after which a slot is
	// likely to be free.
	fullRetryDelay = 150 * time.Millisecond
	// noUpstreamRetryDelay applies when no upstream may serve the request; one may be
	// back after it.
	noUpstreamRetryDelay = 500 * time.Millisecond
	// stoppingRetryDelay applies when this host stops. Other hosts serve; the delay spreads
	// the clients that come to them at once.
	stoppingRetryDelay = 100 * time.Millisecond
)

// minRemaining is the minimum remaining time with which a request is sent; no
// upstream answers faster.
const minRemaining = 15 * time.Millisecond

// execute sends the request to one upstream after the other until an attempt gives
// the answer, or no further attempt is allowed or possible.
func (d *dispatch[A]) execute(ctx context.Context) Decision[A] {
	if !d.route.Retryable() && !d.awaitEarlier(ctx) {
		return d.interrupted(ctx)
	}
	d.service = d.chooseTarget(d.route.Targets)
	d.decision.Service = d.service
	d.retryLimit(d.service).Earn()
	d.Hedger.Earn(d.service)
	for {
		now := d.Clock.Now()
		remaining := d.deadline.Sub(now)
		d.decision.Remaining = remaining
		if ctx.Err() != nil {
			return d.interrupted(ctx)
		}
		if remaining < minRemaining {
			return d.deadlinePassed()
		}
		if outcome, reason := d.recheck(now); reason != ReasonNone {
			return d.withdrawn(outcome, reason)
		}
		d.chooseRelease()
		choice, status := d.Placer.Choose(d.query(remaining), now)
		if status != place.Chosen {
			return d.noUpstream(status)
		}
		exchange := d.sendHedged(ctx, choice, remaining)
		if decision, done := d.conclude(ctx, choice, exchange); done {
			return decision
		}
	}
}

// recheck repeats the checks that may have another result after a wait: for tokens, for
// earlier requests of the connection, or for an upstream. Its reason is ReasonNone if the
// request may be sent.
func (d *dispatch[A]) recheck(now clock.Instant) (Outcome, Reason) {
	if !d.Current(now) {
		return Refused, ReasonPaused
	}
	state := *d.State.Load()
	if state == d.state {
		return Delivered, ReasonNone
	}
	route, ok := state.Match(d.request.VirtualHost, d.request.Path)
	if !ok {
		return UnknownRoute, ReasonNoRoute
	}
	account, ok := authenticate(state, route, d.request)
	if !ok {
		return UnknownKey, ReasonKey
	}
	if accountID(account) != d.decision.Account {
		// The key is another account's now, which has not paid for the request.
		return Refused, ReasonKey
	}
	d.state, d.route, d.account = state, route, account
	d.decision.Version, d.decision.Route = state.Version, route.Name
	if !slices.ContainsFunc(route.Targets, func(t desired.Target) bool { return t.Service == d.service }) {
		d.service, d.release = d.chooseTarget(route.Targets), ""
		d.decision.Service = d.service
	}
	return Delivered, ReasonNone
}

// accountID returns the ID of an account, empty if there is none.
func accountID(a *desired.Account) id.Account {
	if a == nil {
		return ""
	}
	return a.ID
}

// withdrawn ends a request that may not be sent any more.
func (d *dispatch[A]) withdrawn(outcome Outcome, reason Reason) Decision[A] {
	switch {
	case d.mayHaveRun:
		return d.finish(Failed, reason, 0)
	case outcome == Refused:
		return d.finish(outcome, reason, notReadyRetryDelay)
	}
	return d.finish(outcome, reason, 0)
}

// awaitEarlier waits until the earlier requests of the connection are answered
// and reports whether the client is still there. A request that cannot be
// retried must not run after an answer that ends the connection, because the
// client would send the request again.
func (d *dispatch[A]) awaitEarlier(ctx context.Context) bool {
	if d.request.EarlierDone == nil {
		return true
	}
	select {
	case <-d.request.EarlierDone:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// chooseTarget chooses one of a route's services at random, by weight. If all
// weights are zero, it chooses the first one.
func (s *Steerer[A]) chooseTarget(targets []desired.Target) id.Service {
	switch len(targets) {
	case 0:
		return ""
	case 1:
		return targets[0].Service
	}
	sum := 0
	for _, t := range targets {
		sum += max(t.Weight, 0)
	}
	if sum == 0 {
		return targets[0].Service
	}
	n := s.Random.IntN(sum)
	for _, t := range targets {
		if n -= max(t.Weight, 0); n < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

// chooseRelease sets the release for the next attempt. At the first attempt, it is
// chosen by the service's split. Later attempts go to the old release until the new
// one carries all traffic, because retries must not increase a new release's share.
func (d *dispatch[A]) chooseRelease() {
	approved := d.Approved(d.service)
	split, isSplit := d.Splits.Get(d.service)
	switch {
	case !isSplit:
		d.release = approved
	case d.release == "":
		d.release = d.nextRelease(split)
	case split.Share < wholeShare:
		d.release = split.Old
	default:
		d.release = split.New
	}
	d.decision.Release = d.release
}

// wholeShare is the share of a release that carries all traffic, in thousandths.
const wholeShare = 1000

// query returns the requirements of the request for its next upstream.
func (d *dispatch[A]) query(remaining time.Duration) *place.Query {
	homes, hasHomes := desired.AllowedRegions(d.route, d.account)
	return &place.Query{
		Service: d.service, Release: d.release, Route: d.route, Object: d.request.Object,
		Homes: homes, HasHomes: hasHomes, Remaining: remaining, Tried: d.tried, BodyBytes: d.request.BodyBytes,
	}
}

// send makes one attempt at the chosen upstream and releases its slot afterwards.
func (d *dispatch[A]) send(ctx context.Context, c *place.Choice, remaining time.Duration) Exchange[A] {
	defer c.Done()
	ctx, cancel := context.WithTimeoutCause(ctx, remaining, errDeadline)
	defer cancel()
	d.decision.Attempts++
	d.decision.Upstream = c.Upstream.Info.ID
	d.decision.Expected, d.decision.Warm = c.Expected(), c.Warm()
	d.decision.Rank = c.Rank()
	d.decision.Load, d.decision.LoadAge = c.Load(d.Clock.Now())
	d.tried = append(d.tried, c.Upstream)
	params := SendParams{Upstream: c.Upstream, Remaining: remaining, NewConnection: d.newConnection}
	if d.account != nil {
		params.Account = d.account.ID
	}
	subject := release.RouteRelease{Service: d.service, Release: c.Upstream.Info.Release, Route: d.route.Name}
	params.Broken = func() {
		c.Upstream.RecordFailure(d.Clock.Now())
		d.Recorder.RecordBroken(subject)
	}
	start := d.Clock.Now()
	mark := d.Meter.Begin(params.Account, start.Add(min(c.UntilRun(), usage.MaxWait)))
	e := d.Sender.Send(ctx, d.request, params)
	d.settle(&mark, e.Result)
	d.record(ctx, c, subject, e, d.Clock.Now().Sub(start))
	return e
}

// conclude turns an exchange into a decision, or returns false if another attempt
// follows.
func (d *dispatch[A]) conclude(ctx context.Context, c *place.Choice, e Exchange[A]) (Decision[A], bool) {
	d.decision.Err = e.Err
	if e.Result == Answered {
		d.decision.Answer = e.Answer
		return d.finish(Delivered, ReasonNone, 0), true
	}
	d.newConnection = e.ReusedConnection && (e.Result == NoAnswer || e.Result == NotSent)
	notRun := e.Result.notRun()
	d.mayHaveRun = d.mayHaveRun || !notRun
	retry := (notRun || d.route.Retryable()) && d.mayRetry(e.Result)
	switch {
	case ctx.Err() != nil:
		return d.interrupted(ctx), true
	case retry:
		return d.decision, false
	case e.Result == AnsweredFailure || e.Result == AnsweredTimeout:
		d.decision.Answer = e.Answer
		return d.finish(Delivered, ReasonNone, 0), true
	case d.deadline.Sub(d.Clock.Now()) < minRemaining:
		return d.deadlinePassed(), true
	case d.mayHaveRun:
		return d.finish(Failed, ReasonLost, 0), true
	case e.Result == Shed:
		return d.finish(Refused, ReasonShed, fullRetryDelay), true
	default:
		return d.finish(Refused, ReasonUnreachable, fullRetryDelay), true
	}
}

// mayRetry reports whether one more attempt is within the limits of the request,
// the route and the service. If it is, it counts against the service's limit.
func (d *dispatch[A]) mayRetry(Result) bool {
	return d.request.Replayable && d.decision.Attempts < d.route.MaxAttempts &&
		d.deadline.Sub(d.Clock.Now()) >= minRemaining && d.retryLimit(d.service).Take()
}

// noUpstream ends a request for which no upstream was chosen.
func (d *dispatch[A]) noUpstream(status place.Status) Decision[A] {
	switch {
	case d.mayHaveRun:
		return d.finish(Failed, ReasonLost, 0)
	case status == place.NoUpstream:
		return d.finish(Refused, ReasonNoUpstream, noUpstreamRetryDelay)
	}
	decision := d.finish(Refused, ReasonFull, fullRetryDelay)
	// Clients that come back before an upstream takes requests are refused again.
	now := d.Clock.Now()
	d.Hedger.RecordRefusal(d.service, now)
	decision.RetryAfter += d.Placer.MayServeFrom(d.query(decision.Remaining), now).Sub(now)
	return decision
}

// interrupted ends a request whose context has ended before its deadline: the client has
// left, or the host stops.
func (d *dispatch[A]) interrupted(ctx context.Context) Decision[A] {
	switch {
	case !errors.Is(context.Cause(ctx), ErrHostStopping):
		return d.finish(ClientLeft, ReasonClientLeft, 0)
	case d.mayHaveRun:
		return d.finish(Failed, ReasonStopping, 0)
	}
	return d.finish(Refused, ReasonStopping, stoppingRetryDelay)
}

// deadlinePassed ends a request that has too little time for another attempt.
func (d *dispatch[A]) deadlinePassed() Decision[A] {
	if d.mayHaveRun {
		return d.finish(TimedOut, ReasonDeadline, 0)
	}
	return d.finish(Refused, ReasonDeadline, fullRetryDelay)
}

// finish returns the decision with the given outcome. retryAfter is 0 if the client
// is not asked to retry.
func (d *dispatch[A]) finish(outcome Outcome, reason Reason, retryAfter time.Duration) Decision[A] {
	d.decision.Outcome, d.decision.Reason = outcome, reason
	if retryAfter > 0 {
		d.decision.RetryAfter = d.jitter(retryAfter)
	}
	d.decision.Remaining = d.deadline.Sub(d.Clock.Now())
	return d.decision
}
