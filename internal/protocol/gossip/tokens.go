package gossip

import (
	"maps"
	"math"
	"slices"
	"time"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Tokens are the messages between a host and the holder of its region's pool.
type Tokens struct {
	Deposits quota.Deposits
	Asks     []quota.Ask
	Grants   []quota.Grant
}

type tokens struct {
	Deposits codec.Arrays[deposit] `cbor:"deposits,omitempty"`
	Asks     codec.Arrays[ask]     `cbor:"asks,omitempty"`
	Grants   codec.Arrays[grant]   `cbor:"grants,omitempty"`
}

type deposit struct {
	_       struct{} `cbor:",toarray"`
	Account id.Account
	// MicroRequests is the deposit in millionths of a request.
	MicroRequests int64
}

type ask struct {
	_        struct{} `cbor:",toarray"`
	Account  id.Account
	Requests uint32
}

type grant struct {
	_            struct{} `cbor:",toarray"`
	Account      id.Account
	Requests     uint32
	RetryAfterMS uint32
	IntervalMS   uint32
}

func tokensToWire(t *Tokens) *tokens {
	out := &tokens{}
	for _, account := range slices.Sorted(maps.Keys(t.Deposits)) {
		out.Deposits = append(out.Deposits, deposit{Account: account, MicroRequests: int64(t.Deposits[account])})
	}
	for _, a := range t.Asks {
		out.Asks = append(out.Asks, ask{Account: a.Account, Requests: uint32(max(a.Requests, 0))})
	}
	for _, g := range t.Grants {
		out.Grants = append(out.Grants, grant{
			Account: g.Account, Requests: uint32(max(g.Requests, 0)), RetryAfterMS: toMillis(g.RetryAfter), IntervalMS: toMillis(g.Interval),
		})
	}
	return out
}

// toMillis returns a duration in milliseconds, rounded up so that none becomes zero.
func toMillis(d time.Duration) uint32 {
	ms := (d + time.Millisecond - 1).Milliseconds()
	return uint32(max(min(ms, math.MaxUint32), 0))
}

func tokensFromWire(t *tokens) *Tokens {
	out := &Tokens{Deposits: quota.Deposits{}}
	for _, d := range t.Deposits {
		out.Deposits[d.Account] += unit.Tokens(max(d.MicroRequests, 0))
	}
	for _, a := range t.Asks {
		out.Asks = append(out.Asks, quota.Ask{Account: a.Account, Requests: int(min(a.Requests, maxRequestsPerAsk))})
	}
	for _, g := range t.Grants {
		out.Grants = append(out.Grants, quota.Grant{
			Account: g.Account, Requests: int(min(g.Requests, maxRequestsPerAsk)),
			RetryAfter: time.Duration(g.RetryAfterMS) * time.Millisecond, Interval: time.Duration(g.IntervalMS) * time.Millisecond,
		})
	}
	return out
}

// maxRequestsPerAsk bounds the requests of one ask, whatever the message says.
const maxRequestsPerAsk = 10_000
