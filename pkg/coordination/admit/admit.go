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

// Controller holds the snapshots that admission reads. Other goroutines replace
// them while requests run. A request keeps the route that Match has found in the
// configuration; each authentication of it loads the key ring anew, and each debit
// the budgets.
type Controller struct {
	Config *rcu.Cell[config.Compiled]
	// Ring holds the granted keys.
	Ring *rcu.Cell[key.Ring]
	// KeyedLease is valid while this host knows which keys are withdrawn.
	KeyedLease *budget.Lease
	// Pool holds this host's shares of the accounts' budgets.
	Pool *budget.Pool[id.Account, unit.Tokens]
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Path   string
	HasKey bool
	// Hash is the hash of the key, if HasKey.
	Hash key.Hash
	// RequestID is chosen by the client, for requests that must run at most once.
	RequestID id.Request
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
}

// Admission is what Match has found out about a request; Debit may still refuse it.
type Admission struct {
	Route *config.CompiledRoute
	// Account is empty if the route is open.
	Account id.Account
}

// Match finds the route of a request, checks the length of its body and its request
// id, and authenticates its client. It debits nothing. With a refusal it returns what
// it has found out so far.
func (c *Controller) Match(r *Request, now clock.Instant) (Admission, *Refusal) {
	route, ok := c.Config.Load().Match(r.Path)
	if !ok {
		return Admission{}, ErrNoRoute
	}
	admission := Admission{Route: route}
	if r.Length > route.MaxBody {
		return admission, ErrBodyTooLarge
	}
	if !route.Open {
		account, refusal := c.Authenticate(r, now)
		if refusal != nil {
			return admission, refusal
		}
		admission.Account = account
	}
	if !route.Idempotent && r.RequestID == "" {
		return admission, ErrRequestIDMissing
	}
	return admission, nil
}

// Authenticate returns the account that the request's key belongs to. It accepts no
// key while this host cannot know which keys are withdrawn.
func (c *Controller) Authenticate(r *Request, now clock.Instant) (id.Account, *Refusal) {
	if !r.HasKey {
		return "", ErrKeyMissing
	}
	if !c.KeyedLease.Valid(now) {
		return "", ErrWithdrawalsUnknown
	}
	account, ok := c.Ring.Load().Account(r.Hash)
	if !ok {
		return "", ErrKeyRejected
	}
	return account, nil
}

// Debit takes one token from the account's budget, unless the route is open.
func (c *Controller) Debit(a Admission, now clock.Instant) *Refusal {
	if a.Route.Open {
		return nil
	}
	return refusalOf(c.Pool.Spend(a.Account, unit.Token, now))
}

// RetryDebit is Debit for a request that Debit has already refused; the request does
// not count as demand a second time.
func (c *Controller) RetryDebit(a Admission, now clock.Instant) *Refusal {
	return refusalOf(c.Pool.Retry(a.Account, unit.Token, now))
}

// Reauthenticate authenticates a request again after it has waited since Match,
// because its key may have been withdrawn.
func (c *Controller) Reauthenticate(r *Request, a Admission, now clock.Instant) *Refusal {
	if a.Route.Open {
		return nil
	}
	account, refusal := c.Authenticate(r, now)
	if refusal == nil && account != a.Account {
		return ErrKeyRejected
	}
	return refusal
}

// refusalOf returns the refusal for a result, or nil if the tokens were granted.
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
