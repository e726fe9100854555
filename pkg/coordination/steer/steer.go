// Package steer decides how a request is handled: which route and account it
// belongs to, whether it is admitted, which upstream gets it, when it is
// retried, and what the client receives. The package is independent of
// encodings: a Sender sends requests, and callers of Serve encode the Decision.
package steer

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Request is a request as received from a client. A client that retries sends a new
// one with another Attempt.
type Request struct {
	Attempt     id.Attempt
	VirtualHost string
	Path        string
	Object      id.Object
	Key         string
	HasKey      bool
	// Remaining is how long the client waits, counted from Arrived; 0 if not stated.
	Remaining time.Duration
	Arrived   clock.Instant
	BodyBytes int64
	// Replayable reports whether the body can be sent again.
	Replayable bool
	// EarlierDone is closed when all earlier requests of the connection are answered.
	EarlierDone <-chan struct{}
}

// Result is how an exchange with an upstream ended.
type Result int

// Results of an exchange.
const (
	// Answered means that the upstream answered.
	Answered Result = iota
	// AnsweredFailure means that the upstream ran the request and answered that it failed.
	AnsweredFailure
	// AnsweredTimeout means that the upstream answered that the deadline passed; it
	// may have run the request.
	AnsweredTimeout
	// Shed means that the upstream is full and has not run the request.
	Shed
	// Misdirected means that another upstream has the address; the request has not run.
	Misdirected
	// NotSent means that the upstream has received no byte of the request.
	NotSent
	// NoAnswer means that no complete answer was received; the request may have run.
	NoAnswer
)

// Exchange is the result of sending a request to an upstream.
type Exchange[A any] struct {
	Result Result
	Answer A
	// HasLoad reports whether the answer states the upstream's load.
	HasLoad bool
	// Running and Waiting are the numbers of requests at the upstream, without the
	// one that is answered; valid if HasLoad.
	Running, Waiting int
	// Pace is how long work takes at the upstream now, in multiples of the usual; 0 if the
	// answer does not state it.
	Pace place.Pace
	// QuietFor is how long the upstream wants no request of this host, 0 if it does not
	// say so.
	QuietFor time.Duration
	// Rejected is set if the upstream answered neither with success nor with a failure of its
	// own; valid if Answered.
	Rejected bool
	// ReusedConnection reports whether the exchange used a pooled connection.
	ReusedConnection bool
	Err              error
}

// SendParams are the parameters of one attempt to send a request to an upstream.
type SendParams struct {
	Upstream *place.Upstream
	// Account is empty for a request without a known key.
	Account id.Account
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// NewConnection forbids the use of a pooled connection.
	NewConnection bool
	// Broken is to be called if the upstream breaks off an answer that counted as Answered.
	Broken func()
}

// Sender sends requests to upstreams. A is the type of answers.
type Sender[A any] interface {
	Send(ctx context.Context, r *Request, p SendParams) Exchange[A]
}

// Reason is why a request is not answered by an upstream.
type Reason string

// Reasons of decisions; ReasonNone is that of a delivered answer.
const (
	ReasonNone        Reason = ""
	ReasonNoState     Reason = "no_desired_state"
	ReasonPaused      Reason = "host_paused"
	ReasonNoRoute     Reason = "no_route"
	ReasonKey         Reason = "key_unknown"
	ReasonQuota       Reason = "quota"
	ReasonFull        Reason = "upstreams_full"
	ReasonNoUpstream  Reason = "no_upstream"
	ReasonShed        Reason = "upstreams_shed"
	ReasonUnreachable Reason = "upstreams_unreachable"
	ReasonDeadline    Reason = "deadline"
	ReasonLost        Reason = "answer_lost"
	ReasonClientLeft  Reason = "client_left"
	ReasonStopping    Reason = "host_stopping"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	ReasonNone, ReasonNoState, ReasonPaused, ReasonNoRoute, ReasonKey, ReasonQuota, ReasonFull, ReasonNoUpstream, ReasonShed, ReasonUnreachable,
	ReasonDeadline, ReasonLost, ReasonClientLeft, ReasonStopping,
}

// Outcome is how the handling of a request ended.
type Outcome int

// Outcomes of a request.
const (
	// Delivered means that an upstream's answer is passed on.
	Delivered Outcome = iota
	// UnknownRoute means that no route of the desired state matches the request.
	UnknownRoute
	// UnknownKey means that the request has no key that the desired state knows, and
	// its route is not open.
	UnknownKey
	// OverQuota means that this host's share of the account's quota is used up, or that
	// it has no share yet. The request has not run and will not run.
	OverQuota
	// Refused means that the request has not run and will not run, for another reason.
	Refused
	// Failed means that the request may have run and its answer was lost.
	Failed
	// TimedOut means that the request may have run and the deadline passed.
	TimedOut
	// ClientLeft means that the client no longer waits for an answer; the request may
	// have run.
	ClientLeft
)

// Decision is what the client receives, and why.
type Decision[A any] struct {
	Outcome    Outcome
	Answer     A
	Reason     Reason
	RetryAfter time.Duration

	// The fields below are for the log.

	Version  desired.Version
	Route    id.Route
	Account  id.Account
	Service  id.Service
	Release  id.Release
	Upstream id.Upstream
	// Attempts is the number of times that this host sent the request to an upstream.
	Attempts int
	// Remaining is the time until the deadline at the end.
	Remaining time.Duration
	// Expected is the latency that was expected of the last attempt.
	Expected time.Duration
	// Warm reports whether the upstream was expected to know the object.
	Warm bool
	// Rank is the upstream's position in the order of ownership, 0 for the owner.
	Rank int
	// Load is the estimated number of requests at the upstream.
	Load float64
	// LoadAge is the age of the upstream's last load report.
	LoadAge time.Duration
	// Hedge describes the second copy of the request, if one was considered.
	Hedge HedgeRecord
	// ShareRate and ShareBurst are this host's share of the account's quota, set if
	// the outcome is OverQuota.
	ShareRate, ShareBurst float64
	Err                   error
}

// Dependencies are the components that a Steerer uses.
type Dependencies[A any] struct {
	State  *rcu.Cell[*desired.State]
	Shares *quota.Shares
	// Draw takes a token from other hosts for a request that Shares refuses, and may wait
	// for it. Without one, it returns how long the client should wait, or 0 to leave the
	// delay to Shares.
	Draw func(ctx context.Context, account id.Account) (ok bool, delay time.Duration)
	// Current reports whether the snapshots that requests read are kept up to date. They
	// are not just after this process was paused: what they permit may have run out.
	Current func(now clock.Instant) bool
	// Accepts reports whether this host takes a request that arrived and may last until
	// these instants. A host that stops takes none that it would have to break off.
	Accepts  func(arrived, deadline clock.Instant) bool
	Placer   *place.Placer
	Splits   *release.Splits
	Recorder *release.Recorder
	// Approved returns the release that carries a service.
	Approved func(id.Service) id.Release
	Sender   Sender[A]
	Clock    clock.Clock
	Random   Random
	// Meter counts the requests of the accounts; nil if they are not counted.
	Meter *usage.Meter
	// RetryRatio is the number of retries that each request to a service allows this
	// host, RetryReserve the number of retries allowed at once until SetRetryReserve.
	RetryRatio, RetryReserve float64
	Hedging[A]
}

// Random is a source of random numbers. It is safe for concurrent use.
type Random interface {
	Float64() float64
	IntN(n int) int
}

// SystemRandom is the Random of math/rand/v2.
type SystemRandom struct{}

// Float64 returns a number in the half-open interval from 0 to 1.
func (SystemRandom) Float64() float64 { return rand.Float64() }

// IntN returns a number from 0 to n-1.
func (SystemRandom) IntN(n int) int { return rand.IntN(n) }

// Steerer decides on requests. It is safe for concurrent use. Requests read
// snapshots of the desired state, the splits and the retry limits without a lock;
// the first request of a service replaces the map of retry limits.
type Steerer[A any] struct {
	Dependencies[A]
	retryLimits *rcu.Cell[map[id.Service]*limit.Ratio]
	// retryReserve holds the bits of a float64.
	retryReserve atomic.Uint64
}

// New returns a steerer that uses the given dependencies.
func New[A any](d Dependencies[A]) *Steerer[A] {
	s := &Steerer[A]{Dependencies: d, retryLimits: rcu.New(map[id.Service]*limit.Ratio{})}
	s.SetRetryReserve(d.RetryReserve)
	return s
}

// SetRetryReserve sets the number of retries for each service that this host allows at
// once.
func (s *Steerer[A]) SetRetryReserve(reserve float64) {
	s.retryReserve.Store(math.Float64bits(reserve))
	for _, l := range *s.retryLimits.Load() {
		l.SetReserve(reserve)
	}
}

// defaultTimeout applies to requests that state no remaining time.
const defaultTimeout = 10 * time.Second

// notReadyRetryDelay is the retry delay while a starting host has no desired state.
const notReadyRetryDelay = 300 * time.Millisecond

// NoPool is the Draw of a host that draws no tokens from others.
func NoPool(context.Context, id.Account) (bool, time.Duration) { return false, 0 }

// AlwaysCurrent is the Current of a host that is never paused.
func AlwaysCurrent(clock.Instant) bool { return true }

// AcceptsAll is the Accepts of a host that never stops.
func AcceptsAll(_, _ clock.Instant) bool { return true }

// Serve decides on one request and sends it to upstreams as decided.
func (s *Steerer[A]) Serve(ctx context.Context, r *Request) Decision[A] {
	state := *s.State.Load()
	if state == nil {
		return Decision[A]{Outcome: Refused, Reason: ReasonNoState, RetryAfter: s.jitter(notReadyRetryDelay)}
	}
	if !s.Current(s.Clock.Now()) {
		return Decision[A]{Outcome: Refused, Reason: ReasonPaused, RetryAfter: s.jitter(notReadyRetryDelay)}
	}
	decision := Decision[A]{Version: state.Version}
	route, ok := state.Match(r.VirtualHost, r.Path)
	if !ok {
		decision.Outcome, decision.Reason = UnknownRoute, ReasonNoRoute
		return decision
	}
	decision.Route = route.Name
	account, ok := authenticate(state, route, r)
	if !ok {
		decision.Outcome, decision.Reason = UnknownKey, ReasonKey
		return decision
	}
	deadline := r.Arrived.Add(timeoutOf(route, r))
	if !s.Accepts(r.Arrived, deadline) {
		decision.Outcome, decision.Reason, decision.RetryAfter = Refused, ReasonStopping, s.jitter(stoppingRetryDelay)
		return decision
	}
	if account != nil {
		decision.Account = account.ID
		if ok, delay := s.admit(ctx, account.ID); !ok {
			decision.Outcome, decision.Reason, decision.RetryAfter = OverQuota, ReasonQuota, s.jitter(delay)
			decision.ShareRate, decision.ShareBurst = s.Shares.Share(account.ID)
			return decision
		}
	}
	d := &dispatch[A]{Steerer: s, request: r, state: state, route: route, account: account, decision: decision, deadline: deadline}
	return d.execute(ctx)
}

// admit takes a token for a request of an account from this host's share or from other
// hosts, or returns how long the client should wait.
func (s *Steerer[A]) admit(ctx context.Context, account id.Account) (ok bool, delay time.Duration) {
	ok, delay = s.Shares.Take(account, s.Clock.Now())
	if ok {
		return true, 0
	}
	drawn, poolDelay := s.Draw(ctx, account)
	if drawn || poolDelay == 0 {
		return drawn, delay
	}
	return false, poolDelay
}

// timeoutOf returns how long the request may take, counted from its arrival: as long
// as the client waits, but not longer than the route's timeout.
func timeoutOf(route *desired.Route, r *Request) time.Duration {
	timeout := defaultTimeout
	if r.Remaining > 0 {
		timeout = r.Remaining
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

// authenticate returns the account of a request. An open route, and any route while
// the desired state has no accounts, also serves requests without a known key; their
// account is nil.
func authenticate(state *desired.State, route *desired.Route, r *Request) (*desired.Account, bool) {
	if r.HasKey {
		if a, ok := state.Account(r.Key); ok {
			return a, true
		}
	}
	return nil, route.Open || len(state.Accounts) == 0
}

// jitter varies a delay by up to 30 percent, so that clients do not retry all at once.
func (s *Steerer[A]) jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.7 + 0.6*s.Random.Float64()))
}

// retryLimit returns the limit on retries for a service.
func (s *Steerer[A]) retryLimit(service id.Service) *limit.Ratio {
	if known := (*s.retryLimits.Load())[service]; known != nil {
		return known
	}
	s.retryLimits.Update(func(old map[id.Service]*limit.Ratio) map[id.Service]*limit.Ratio {
		next := make(map[id.Service]*limit.Ratio, len(old)+1)
		for k, v := range old {
			next[k] = v
		}
		if next[service] == nil {
			next[service] = limit.NewRatio(s.RetryRatio, math.Float64frombits(s.retryReserve.Load()))
		}
		return next
	})
	return (*s.retryLimits.Load())[service]
}

// ErrHostStopping is the cause of the context of a request that must end because the host
// stops. A context that ends with another cause, and not at the deadline, means that the
// client has left.
var ErrHostStopping = errors.New("the host stops")

// errDeadline is the cause of a context that ended at the deadline.
var errDeadline = errors.New("the request's deadline has passed")
