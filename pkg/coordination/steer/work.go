package steer

import (
	"context"
	"time"

	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// work is the way of one request through its attempts.
type work[A any] struct {
	*Steerer[A]
	request  *Request
	route    *desired.Route
	account  *desired.Account
	deadline clock.Instant
	decision Decision[A]

	service id.Service
	release id.Release
	tried   []*place.Upstream
	// ran tells whether an upstream may have run the request.
	ran bool
	// fresh asks for a new connection, after a kept one has failed.
	fresh bool
}

// Pauses that refusals name.
const (
	// fullPause is when room is likely again: about the time of one warm request.
	fullPause = 150 * time.Millisecond
	// absentPause is when upstreams may be back.
	absentPause = 500 * time.Millisecond
)

// leastUseful is the time left below which a request is not sent any more; no
// upstream answers sooner.
const leastUseful = 15 * time.Millisecond

func (w *work[A]) run(ctx context.Context) Decision[A] {
	if !w.route.Repeatable() && !w.awaitTurn(ctx) {
		return w.end(ClientLeft, ReasonClientLeft, 0)
	}
	w.service = w.target(w.route.Targets)
	w.decision.Service = w.service
	w.repeatsOf(w.service).Earn()
	for {
		now := w.Clock.Now()
		left := w.deadline.Sub(now)
		w.decision.Remaining = left
		if ctx.Err() != nil {
			return w.end(ClientLeft, ReasonClientLeft, 0)
		}
		if left < leastUseful {
			return w.late()
		}
		w.chooseRelease()
		choice, verdict := w.Placer.Choose(w.ask(left), now)
		if verdict != place.Chosen {
			return w.noRoom(verdict)
		}
		exchange := w.send(ctx, choice, left)
		if decision, done := w.conclude(ctx, choice, exchange); done {
			return decision
		}
	}
}

// awaitTurn waits until the earlier requests of the connection are answered. A
// request that cannot be repeated must not run behind an answer that ends the
// connection, because the client would send it again.
func (w *work[A]) awaitTurn(ctx context.Context) bool {
	if w.request.EarlierDone == nil {
		return true
	}
	select {
	case <-w.request.EarlierDone:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// target chooses one of a route's services by weight.
func (s *Steerer[A]) target(targets []desired.Target) id.Service {
	if len(targets) == 1 {
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

// chooseRelease chooses between the releases of a service at the first attempt.
// Later attempts go to the release that carries the service, so that repeats
// add nothing to what a new release gets.
func (w *work[A]) chooseRelease() {
	approved := w.Approved(w.service)
	split, divided := w.Splits.Get(w.service)
	switch {
	case !divided:
		w.release = approved
	case w.release == "":
		w.release = split.Next()
	case split.Share < fullShare:
		w.release = split.Old
	default:
		w.release = split.New
	}
	w.decision.Release = w.release
}

// fullShare is the share of a release that carries all traffic, in thousandths.
const fullShare = 1000

func (w *work[A]) ask(left time.Duration) *place.Query {
	homes, bound := desired.AllowedRegions(w.route, w.account)
	return &place.Query{
		Service: w.service, Release: w.release, Route: w.route, Object: w.request.Object,
		Homes: homes, HasHomes: bound, Remaining: left, Tried: w.tried, BodyBytes: w.request.BodyBytes,
	}
}

func (w *work[A]) send(ctx context.Context, c *place.Choice, left time.Duration) Exchange[A] {
	defer c.Done()
	ctx, cancel := context.WithTimeoutCause(ctx, left, errTimeUp)
	defer cancel()
	w.decision.Attempts++
	w.decision.Upstream = c.Upstream.Info.ID
	w.decision.Expected, w.decision.Warm = c.Expected(), c.Warm()
	w.decision.Rank = c.Rank()
	w.decision.Load, w.decision.LoadAge = c.Load(w.Clock.Now())
	w.tried = append(w.tried, c.Upstream)
	order := SendParams{Upstream: c.Upstream, Remaining: left, NewConnection: w.fresh}
	if w.account != nil {
		order.Account = w.account.ID
	}
	began := w.Clock.Now()
	e := w.Sender.Send(ctx, w.request, order)
	w.learn(ctx, c, e, w.Clock.Now().Sub(began))
	return e
}

// learn takes what an exchange tells about the upstream and the release.
func (w *work[A]) learn(ctx context.Context, c *place.Choice, e Exchange[A], took time.Duration) {
	now := w.Clock.Now()
	u := c.Upstream
	if e.HasLoad {
		// The request itself is still counted as under way.
		u.Report(e.Running+1, e.Waiting, now)
	}
	gone := ctx.Err() != nil && context.Cause(ctx) != errTimeUp
	switch {
	case gone && e.Result != Answered:
		return
	case e.Result == Answered:
		c.RecordAnswer(took, now)
	case e.Result == Shed:
		u.RecordShed(now)
		return
	case e.Result == Misdirected:
		u.MarkLeaving()
		return
	case e.Result == AnsweredTimeout:
	default:
		u.RecordFailure(now)
		if e.Result == NotSent {
			return
		}
	}
	// A cold upstream is slow whatever its release.
	if u.Cold(now) && e.Result != AnsweredFailure {
		return
	}
	// Only an answer says that the release failed. What takes too long counts as
	// slow: under load that happens to any release.
	latency := c.WarmEquivalent(took)
	if e.Result == NoAnswer || e.Result == AnsweredTimeout {
		latency = max(latency, w.route.Timeout)
	}
	w.Recorder.Record(release.Subject{Service: w.service, Release: u.Info.Release, Route: w.route.Name}, latency, e.Result == AnsweredFailure)
}

// conclude turns an exchange into a decision, or lets another attempt follow.
func (w *work[A]) conclude(ctx context.Context, c *place.Choice, e Exchange[A]) (Decision[A], bool) {
	w.decision.Err = e.Err
	if e.Result == Answered {
		w.decision.Answer = e.Answer
		return w.end(Delivered, ReasonNone, 0), true
	}
	w.fresh = e.ReusedConnection && (e.Result == NoAnswer || e.Result == NotSent)
	harmless := e.Result == Shed || e.Result == Misdirected || e.Result == NotSent
	w.ran = w.ran || !harmless
	again := (harmless || w.route.Repeatable()) && w.mayRepeat(e.Result)
	switch {
	case ctx.Err() != nil:
		return w.end(ClientLeft, ReasonClientLeft, 0), true
	case again:
		return w.decision, false
	case e.Result == AnsweredFailure || e.Result == AnsweredTimeout:
		w.decision.Answer = e.Answer
		return w.end(Delivered, ReasonNone, 0), true
	case w.deadline.Sub(w.Clock.Now()) < leastUseful:
		return w.late(), true
	case w.ran:
		return w.end(Failed, ReasonLost, 0), true
	case e.Result == Shed:
		return w.end(Refused, ReasonShed, fullPause), true
	default:
		return w.end(Refused, ReasonUnreachable, fullPause), true
	}
}

// mayRepeat tells whether one more attempt is within the bounds.
func (w *work[A]) mayRepeat(Result) bool {
	return w.request.Replayable && w.decision.Attempts < w.route.MaxAttempts &&
		w.deadline.Sub(w.Clock.Now()) >= leastUseful && w.repeatsOf(w.service).Take()
}

func (w *work[A]) noRoom(v place.Status) Decision[A] {
	switch {
	case w.ran:
		return w.end(Failed, ReasonLost, 0)
	case v == place.NoUpstream:
		return w.end(Refused, ReasonAbsent, absentPause)
	default:
		return w.end(Refused, ReasonFull, fullPause)
	}
}

// late ends a request whose time is up.
func (w *work[A]) late() Decision[A] {
	if w.ran {
		return w.end(TimedOut, ReasonLate, 0)
	}
	return w.end(Refused, ReasonLate, fullPause)
}

func (w *work[A]) end(fate Outcome, reason Reason, pause time.Duration) Decision[A] {
	w.decision.Outcome, w.decision.Reason = fate, reason
	if pause > 0 {
		w.decision.RetryAfter = w.spread(pause)
	}
	w.decision.Remaining = w.deadline.Sub(w.Clock.Now())
	return w.decision
}
