// Package steer decides what becomes of a request: which route and account it
// belongs to, whether it is admitted, which upstream gets it, when it is sent
// again, and what the client is told. It knows no encoding: senders carry
// requests, and callers of Serve encode what it returns.
package steer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Request is one attempt of a client.
type Request struct {
	Attempt     id.Attempt
	VirtualHost string
	Path        string
	Object      id.Object
	Key         string
	HasKey      bool
	// Remaining is how long the client waits, from Arrived on; 0 if it did not say.
	Remaining time.Duration
	Arrived   clock.Instant
	BodyBytes int64
	// Replayable tells whether the body can be sent again.
	Replayable bool
	// EarlierDone is closed when all earlier requests of the connection are answered.
	EarlierDone <-chan struct{}
}

// Result tells how an exchange with an upstream ended.
type Result int

// Results of an exchange.
const (
	// Answered means that the upstream answered.
	Answered Result = iota
	// AnsweredFailure means that it answered with a failure of its own; it ran the request.
	AnsweredFailure
	// AnsweredTimeout means that it answered that its time was up; it may have run the request.
	AnsweredTimeout
	// Shed means that the upstream refused the request as full; it has not run it.
	Shed
	// Misdirected means that another upstream has the address; nothing has run.
	Misdirected
	// NotSent means that the upstream has got no byte of the request.
	NotSent
	// NoAnswer means that no whole answer came; the request may have run.
	NoAnswer
)

// Exchange is what came of sending a request to an upstream.
type Exchange[A any] struct {
	Result Result
	Answer A
	// Leaving tells that the upstream said it is leaving.
	HasLoad          bool
	Running, Waiting int
	// ReusedConnection tells that the exchange used a kept connection.
	ReusedConnection bool
	Err              error
}

// SendParams is what a sender is asked to do.
type SendParams struct {
	Upstream  *place.Upstream
	Account   id.Account
	Remaining time.Duration
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Sender carries requests to upstreams. A is the type of answers.
type Sender[A any] interface {
	Send(ctx context.Context, r *Request, o SendParams) Exchange[A]
}

// Reason tells why a request is not answered by an upstream.
type Reason string

// The reasons; ReasonNone is that of a delivered answer.
const (
	ReasonNone        Reason = ""
	ReasonNoState     Reason = "no_desired_state"
	ReasonNoRoute     Reason = "no_route"
	ReasonKey         Reason = "key_unknown"
	ReasonQuota       Reason = "quota"
	ReasonFull        Reason = "upstreams_full"
	ReasonAbsent      Reason = "no_upstream"
	ReasonShed        Reason = "upstreams_shed"
	ReasonUnreachable Reason = "upstreams_unreachable"
	ReasonLate        Reason = "deadline"
	ReasonLost        Reason = "answer_lost"
	ReasonClientLeft  Reason = "client_left"
)

// Reasons lists them all.
var Reasons = []Reason{
	ReasonNone, ReasonNoState, ReasonNoRoute, ReasonKey, ReasonQuota, ReasonFull, ReasonAbsent, ReasonShed, ReasonUnreachable,
	ReasonLate, ReasonLost, ReasonClientLeft,
}

// Outcome is the kind of a decision's outcome.
type Outcome int

// Fates of a request.
const (
	// Delivered means that an upstream's answer is passed on.
	Delivered Outcome = iota
	// Unknown names a request that no desired state allows: no route or key.
	UnknownRoute
	UnknownKey
	// OverQuota and Refused mean that the request has not run and never will.
	OverQuota
	Refused
	// Failed means that the request may have run, and its outcome is not known.
	Failed
	// TimedOut is Failed because time is up.
	TimedOut
	// ClientLeft means that the client has left.
	ClientLeft
)

// Decision is what the client is told, and why.
type Decision[A any] struct {
	Outcome    Outcome
	Answer     A
	Reason     Reason
	RetryAfter time.Duration

	// What decided it, for the log.
	Version   desired.Version
	Route     id.Route
	Account   id.Account
	Service   id.Service
	Release   id.Release
	Upstream  id.Upstream
	Attempts  int
	Remaining time.Duration
	Expected  time.Duration
	// Warm tells whether the upstream was expected to know the object.
	Warm bool
	// Rank is the upstream's place in the order of ownership; Load is what it was
	// taken to have, LoadAge the age of its last report.
	Rank    int
	Load    float64
	LoadAge time.Duration
	// ShareRate and ShareBurst are this host's part of the account's quota, if
	// that decided.
	ShareRate, ShareBurst float64
	Err                   error
}

// Dependencies is what a Steerer is made of.
type Dependencies[A any] struct {
	State    *rcu.Cell[*desired.State]
	Shares   *quota.Shares
	Placer   *place.Placer
	Splits   *release.Splits
	Recorder *release.Recorder
	// Approved returns the release that carries a service.
	Approved func(id.Service) id.Release
	Sender   Sender[A]
	Clock    clock.Clock
	Random   Random
	// RepeatRatio and RepeatReserve bound repeats of this host for each service.
	RepeatRatio, RepeatReserve float64
}

// Random is the source of chance. It is safe for concurrent use.
type Random interface {
	Float64() float64
	IntN(n int) int
}

// SystemRandom is the source that programs use.
type SystemRandom struct{}

// Float64 returns a number in the half-open interval from 0 to 1.
func (SystemRandom) Float64() float64 { return rand.Float64() }

// IntN returns a number from 0 to n-1.
func (SystemRandom) IntN(n int) int { return rand.IntN(n) }

// Steerer decides on requests. It is safe for concurrent use.
type Steerer[A any] struct {
	Dependencies[A]
	repeats *rcu.Cell[map[id.Service]*limit.Ratio]
}

// New returns a steerer made of parts.
func New[A any](p Dependencies[A]) *Steerer[A] {
	return &Steerer[A]{Dependencies: p, repeats: rcu.New(map[id.Service]*limit.Ratio{})}
}

// defaultWait is how long a request without a time of its own may take.
const defaultWait = 10 * time.Second

// notReadyPause is when clients should come back to a host that is starting.
const notReadyPause = 300 * time.Millisecond

// Serve decides on one request and carries the decision out.
func (s *Steerer[A]) Serve(ctx context.Context, r *Request) Decision[A] {
	state := *s.State.Load()
	if state == nil {
		return Decision[A]{Outcome: Refused, Reason: ReasonNoState, RetryAfter: s.spread(notReadyPause)}
	}
	d := Decision[A]{Version: state.Version}
	route, ok := state.Match(r.VirtualHost, r.Path)
	if !ok {
		d.Outcome, d.Reason = UnknownRoute, ReasonNoRoute
		return d
	}
	d.Route = route.Name
	account, ok := authenticate(state, route, r)
	if !ok {
		d.Outcome, d.Reason = UnknownKey, ReasonKey
		return d
	}
	if account != nil {
		d.Account = account.ID
		if ok, wait := s.Shares.Take(account.ID, s.Clock.Now()); !ok {
			d.Outcome, d.Reason, d.RetryAfter = OverQuota, ReasonQuota, s.spread(wait)
			d.ShareRate, d.ShareBurst = s.Shares.Share(account.ID)
			return d
		}
	}
	w := &work[A]{Steerer: s, request: r, route: route, account: account, decision: d}
	w.deadline = r.Arrived.Add(timeFor(route, r))
	return w.run(ctx)
}

func timeFor(route *desired.Route, r *Request) time.Duration {
	limit := defaultWait
	if r.Remaining > 0 {
		limit = r.Remaining
	}
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	return limit
}

// authenticate finds the account of a request. A route that is open to all
// serves requests without a known key, too.
func authenticate(state *desired.State, route *desired.Route, r *Request) (*desired.Account, bool) {
	if r.HasKey {
		if a, ok := state.Account(r.Key); ok {
			return a, true
		}
	}
	return nil, route.Open || len(state.Accounts) == 0
}

// spread varies a time, so that those who are told to come back do not come together.
func (s *Steerer[A]) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.7 + 0.6*s.Random.Float64()))
}

// repeatsOf returns the bound on repeats for a service.
func (s *Steerer[A]) repeatsOf(service id.Service) *limit.Ratio {
	if known := (*s.repeats.Load())[service]; known != nil {
		return known
	}
	s.repeats.Update(func(old map[id.Service]*limit.Ratio) map[id.Service]*limit.Ratio {
		next := make(map[id.Service]*limit.Ratio, len(old)+1)
		for k, v := range old {
			next[k] = v
		}
		if next[service] == nil {
			next[service] = limit.NewRatio(s.RepeatRatio, s.RepeatReserve)
		}
		return next
	})
	return (*s.repeats.Load())[service]
}

var errTimeUp = errors.New("the time for the request is up")
