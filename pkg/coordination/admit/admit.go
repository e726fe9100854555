package admit

import (
	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/rcu"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Controller holds what admission reads. All of it is replaced by others while
// requests run; a request loads each snapshot once.
type Controller struct {
	Config   *rcu.Cell[config.Compiled]
	Ring     *rcu.Cell[key.Ring]
	KeyLease *budget.Lease
	Pool     *budget.Pool[id.Account, unit.Tokens]
}

// Request is what admission needs to know of a request.
type Request struct {
	Path   string
	HasKey bool
	Hash   key.Hash
	// RequestID is the caller's own, for requests that must run at most once.
	RequestID id.Request
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
}

// Admission is an admitted request, or one whose account's budget is dry here.
type Admission struct {
	Target  *config.Target
	Account id.Account
}

// Match finds the route of a request, checks its form and authenticates its
// caller. It debits nothing.
func (g *Controller) Match(r *Request, now clock.Instant) (Admission, *Refusal) {
	target, ok := g.Config.Load().Match(r.Path)
	if !ok {
		return Admission{}, ErrNoRoute
	}
	admission := Admission{Target: target}
	if r.Length > target.MaxBody {
		return admission, ErrBodyTooLarge
	}
	if !target.Open {
		account, refusal := g.Authenticate(r, now)
		if refusal != nil {
			return admission, refusal
		}
		admission.Account = account
	}
	if !target.Idempotent && r.RequestID == "" {
		return admission, ErrRequestIDMissing
	}
	return admission, nil
}

// Authenticate returns the account that the request's key belongs to.
func (g *Controller) Authenticate(r *Request, now clock.Instant) (id.Account, *Refusal) {
	if !r.HasKey {
		return "", ErrKeyMissing
	}
	if !g.KeyLease.Valid(now) {
		return "", ErrWithdrawalsUnknown
	}
	account, ok := g.Ring.Load().Account(r.Hash)
	if !ok {
		return "", ErrKeyRejected
	}
	return account, nil
}

// Debit takes one request from the account's budget.
func (g *Controller) Debit(a Admission, now clock.Instant) *Refusal {
	if a.Target.Open {
		return nil
	}
	return refusalOf(g.Pool.Spend(a.Account, unit.Token, now))
}

// RetryDebit is Debit for a request that Debit has refused before.
func (g *Controller) RetryDebit(a Admission, now clock.Instant) *Refusal {
	return refusalOf(g.Pool.Retry(a.Account, unit.Token, now))
}

// Reauthenticate authenticates a request again that had to wait after Match.
func (g *Controller) Reauthenticate(r *Request, a Admission, now clock.Instant) *Refusal {
	if a.Target.Open {
		return nil
	}
	account, refusal := g.Authenticate(r, now)
	if refusal == nil && account != a.Account {
		return ErrKeyRejected
	}
	return refusal
}

func refusalOf(r budget.Result) *Refusal {
	switch r {
	case budget.Granted:
		return nil
	case budget.LeaseExpired:
		return ErrShareLapsed
	default:
		return ErrOverLimit
	}
}
