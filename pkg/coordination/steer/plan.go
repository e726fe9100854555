package steer

import (
	"time"

	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// Inquiry describes a request whose way is asked for. It names the account and not a key.
type Inquiry struct {
	VirtualHost string
	Path        string
	// Account is empty for a request without a known key.
	Account   id.Account
	Object    id.Object
	BodyBytes int64
	// Pool is the host from which this one draws tokens, empty if there is none.
	Pool id.Host
}

// Plan is where a request would go now, and why.
type Plan struct {
	Version desired.Version
	Route   *desired.Route
	Account id.Account
	// Quota is the state of the account's quota at this host; not set without an account.
	Quota quota.State
	// Pool is set if the request is admitted only if this host grants a token for it.
	Pool id.Host
	// Refusal is set if the request is refused before a service is chosen.
	Refusal Refusal
	// Services are the services of the route's targets that get requests.
	Services []ServicePlan
}

// Refusal is how a request is refused. Its outcome is Delivered if it is not.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter varies from request to request.
	RetryAfter time.Duration
}

// ServicePlan is where a request would go if its service is chosen among the targets.
type ServicePlan struct {
	Service id.Service
	// Share is the part of the route's requests that go to the service.
	Share   float64
	Release id.Release
	place.Survey
	Refusal Refusal
}

// Plan returns what Serve would decide about a request now. It uses the same code and
// snapshots, but takes no token, no slot and no retry, and changes no statistics. A plan
// covers the first attempt; it waits for nothing.
func (s *Steerer[A]) Plan(q *Inquiry) Plan {
	now := s.Clock.Now()
	state := *s.State.Load()
	refused := func(p Plan, outcome Outcome, reason Reason, delay time.Duration) Plan {
		p.Refusal = Refusal{Outcome: outcome, Reason: reason}
		if delay > 0 {
			p.Refusal.RetryAfter = s.jitter(delay)
		}
		return p
	}
	if state == nil {
		return refused(Plan{}, Refused, ReasonNoState, notReadyRetryDelay)
	}
	if !s.Current(now) {
		return refused(Plan{}, Refused, ReasonPaused, notReadyRetryDelay)
	}
	out := Plan{Version: state.Version}
	route, ok := state.Match(q.VirtualHost, q.Path)
	if !ok {
		return refused(out, UnknownRoute, ReasonNoRoute, 0)
	}
	out.Route = route
	r := &Request{VirtualHost: q.VirtualHost, Path: q.Path, Object: q.Object, Arrived: now, BodyBytes: q.BodyBytes}
	account, ok := accountOf(state, route, r, q.Account)
	if !ok {
		return refused(out, UnknownKey, ReasonKey, 0)
	}
	if account != nil {
		out.Account, out.Quota = account.ID, s.Shares.State(account.ID, now)
		switch admitted, delay := out.Quota.Admits(); {
		case admitted:
		case q.Pool == "":
			return refused(out, OverQuota, ReasonQuota, delay)
		default:
			out.Pool = q.Pool
		}
	}
	for i, share := range targetShares(route.Targets) {
		if share > 0 {
			out.Services = append(out.Services, s.planService(state, route, account, r, route.Targets[i].Service, share))
		}
	}
	if len(route.Targets) == 0 {
		out.Services = append(out.Services, s.planService(state, route, account, r, "", 1))
	}
	return out
}

// planService decides on the first attempt of a request at a service.
func (s *Steerer[A]) planService(
	state *desired.State, route *desired.Route, account *desired.Account, r *Request, service id.Service, share float64,
) ServicePlan {
	d := &dispatch[A]{Steerer: s, request: r, state: state, route: route, account: account, service: service, dryRun: true}
	remaining := timeoutOf(route, r)
	d.deadline = r.Arrived.Add(remaining)
	d.decision.Remaining = remaining
	d.chooseRelease()
	out := ServicePlan{Service: service, Share: share, Release: d.release, Survey: s.Placer.Survey(d.query(remaining), r.Arrived)}
	if out.Status != place.Chosen {
		refusal := d.noUpstream(out.Status)
		out.Refusal = Refusal{Outcome: refusal.Outcome, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	return out
}

// accountOf returns the account of an inquiry: the named one, or that of a request without
// a key.
func accountOf(state *desired.State, route *desired.Route, r *Request, name id.Account) (*desired.Account, bool) {
	for _, a := range state.Accounts {
		if name != "" && a.ID == name {
			return a, true
		}
	}
	if name != "" {
		return nil, false
	}
	return authenticate(state, route, r)
}

// targetShares returns the part of the requests that chooseTarget gives each target.
func targetShares(targets []desired.Target) []float64 {
	sum := 0
	for _, t := range targets {
		sum += max(t.Weight, 0)
	}
	out := make([]float64, len(targets))
	for i, t := range targets {
		switch {
		case len(targets) == 1, sum == 0 && i == 0:
			out[i] = 1
		case sum > 0:
			out[i] = float64(max(t.Weight, 0)) / float64(sum)
		}
	}
	return out
}

// nextRelease returns the release of the next request to a service with a split.
func (d *dispatch[A]) nextRelease(split release.Split) id.Release {
	if d.dryRun {
		return split.Peek()
	}
	return split.Next()
}
