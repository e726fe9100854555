// Package quota keeps client accounts within their rates over all hosts
// together. Each host has a share of each account's rate and burst, in
// proportion to the demand that reaches it, and spends it without asking.
package quota

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
	"celerypin.example/celerypin/pkg/state/unit"
)

const (
	// smoothing is the time constant over which demand is averaged.
	smoothing = 1500 * time.Millisecond
	// evenPart is the part of a quota that is divided evenly, so that a host
	// which had no demand has something for the first requests.
	evenPart = 0.25
	// firstPart is the part of its burst that a new bucket holds. Hosts that
	// restart together must not get their whole bursts twice.
	firstPart = 0.6
	// growth is the part of the way to a larger share that one step goes; others
	// may not have heard yet that theirs are smaller.
	growth = 0.4
	// toldKept is how many of the last demands told the farthest hosts may not have
	// heard; the bound's slack covers what is older.
	toldKept = 2
	// slackPart is the part of the slack of the bound that is given out as burst;
	// the rest is for what hosts spend while their views of the demand differ.
	slackPart = 0.65
)

// Tolerance tells how strictly quotas are judged: in each window an account may
// have its rate and burst, a part more, and a number of requests more.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// extra returns the requests beyond rate and burst that an account may have.
func (b Tolerance) extra(a *desired.Account) float64 {
	return slackPart * (b.Excess*(a.Rate*b.Window.Seconds()+a.Burst) + b.Slack)
}

// Shares holds this host's part of each account's quota. Requests read one
// snapshot and take no lock.
type Shares struct {
	bound     Tolerance
	accounts  *rcu.Cell[map[id.Account]*share]
	steppedAt clock.Instant
}

type share struct {
	bucket *budget.Bucket[unit.Tokens]
	// asked counts the requests that came.
	asked atomic.Int64
	// counted is what of asked is in demand already; only Step uses it.
	counted int64
	// demand is the requests a second, as the bits of a float64.
	demand atomic.Uint64
	// bound tells whether the account has a quota.
	bound atomic.Bool
	// told is the demand that the other hosts have been told, the last first.
	told [toldKept]float64
	// part is this host's part of the quota; only Step uses it.
	part float64
	set  budget.Share[unit.Tokens]
}

// New returns shares of no account.
func New(bound Tolerance, now clock.Instant) *Shares {
	return &Shares{bound: bound, accounts: rcu.New(map[id.Account]*share{}), steppedAt: now}
}

// Take admits a request of an account, or returns how long to wait.
func (s *Shares) Take(account id.Account, now clock.Instant) (ok bool, wait time.Duration) {
	sh := (*s.accounts.Load())[account]
	if sh == nil {
		return false, unknownWait
	}
	sh.asked.Add(1)
	if !sh.bound.Load() || sh.bucket.Spend(unit.Token, now) {
		return true, 0
	}
	rate := max(float64(sh.bucket.Share().Rate)/float64(unit.Token), leastRate)
	return false, time.Duration(float64(time.Second) / rate)
}

// Share returns this host's part of an account's rate and burst, in requests a
// second and requests.
func (s *Shares) Share(account id.Account) (rate, burst float64) {
	sh := (*s.accounts.Load())[account]
	if sh == nil {
		return 0, 0
	}
	part := sh.bucket.Share()
	return float64(part.Rate) / float64(unit.Token), float64(part.Burst) / float64(unit.Token)
}

// unknownWait is when to come back if the account is not known here yet.
const unknownWait = 250 * time.Millisecond

// leastRate bounds the wait that a refusal names, in requests a second.
const leastRate = 0.5

// Report is what a host tells the others, by account: the requests a second that
// reach it, and the part of the quota that it uses.
type Report struct {
	Demand map[id.Account]float64
	Part   map[id.Account]float64
}

// Report returns what to tell the other hosts.
func (s *Shares) Report() Report {
	out := Report{Demand: map[id.Account]float64{}, Part: map[id.Account]float64{}}
	for account, sh := range *s.accounts.Load() {
		copy(sh.told[1:], sh.told[:])
		sh.told[0] = math.Float64frombits(sh.demand.Load())
		if d := math.Float64frombits(sh.demand.Load()); d > leastDemand {
			out.Demand[account] = d
		}
		if sh.bound.Load() {
			out.Part[account] = sh.part
		}
	}
	return out
}

// leastDemand is the demand below which nothing is told, in requests a second.
const leastDemand = 0.05

// RequestRate returns the requests a second of all accounts.
func (s *Shares) RequestRate() float64 {
	sum := 0.0
	for _, sh := range *s.accounts.Load() {
		sum += math.Float64frombits(sh.demand.Load())
	}
	return sum
}

// Rebalance measures demand and sets the shares anew, given the accounts and what is
// known of the other hosts. Rebalance and Tell may be called by one goroutine only.
func (s *Shares) Rebalance(accounts []*desired.Account, peers Peers, now clock.Instant) {
	s.add(accounts, peers.EvenPart, now)
	elapsed := now.Sub(s.steppedAt)
	if elapsed <= 0 {
		return
	}
	s.steppedAt = now
	current := *s.accounts.Load()
	for _, a := range accounts {
		sh := current[a.ID]
		sh.measure(elapsed)
		sh.bound.Store(a.Rate > 0)
		if a.Rate > 0 {
			sh.replace(s.divide(a, sh, &peers), now)
		}
	}
}

// add makes buckets for new accounts and drops those of accounts that are gone.
func (s *Shares) add(accounts []*desired.Account, even float64, now clock.Instant) {
	old := *s.accounts.Load()
	next := make(map[id.Account]*share, len(accounts))
	changed := len(accounts) != len(old)
	for _, a := range accounts {
		if next[a.ID] = old[a.ID]; next[a.ID] != nil {
			continue
		}
		changed = true
		first := budget.Share[unit.Tokens]{
			Rate: tokens(a.Rate * even), Burst: tokens(max(a.Burst*firstPart*even, 1)),
		}
		sh := &share{bucket: budget.NewBucket(first, now.Add(-fillTime(first)))}
		sh.bound.Store(a.Rate > 0)
		next[a.ID] = sh
	}
	if changed {
		s.accounts.Store(maps.Clone(next))
	}
}

// fillTime returns how long an empty bucket takes to fill.
func fillTime(s budget.Share[unit.Tokens]) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(s.Burst) / float64(s.Rate) * float64(time.Second))
}

func (sh *share) measure(elapsed time.Duration) {
	asked := sh.asked.Load()
	rate := float64(asked-sh.counted) / elapsed.Seconds()
	sh.counted = asked
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	old := math.Float64frombits(sh.demand.Load())
	sh.demand.Store(math.Float64bits(old + (rate-old)*weight))
}

// heardByAll returns the least of the demands that others may have heard last.
// While demand rises everywhere, a host that compared its latest with older ones
// of others would take more than its part, and so would they.
func (sh *share) heardByAll() float64 { return slices.Min(sh.told[:]) }

// divide returns this host's part of an account's quota. Own demand counts as
// all others have heard it, so that all divide by the same figures. What a
// silent host used is left to it, because it may serve on behind a partition; a
// host that has told nothing is left an even part.
func (s *Shares) divide(a *desired.Account, sh *share, peers *Peers) budget.Share[unit.Tokens] {
	free := max(1-peers.Unreported-peers.Silent[a.ID], 0)
	own := sh.heardByAll()
	all := own + peers.Demand[a.ID]
	goal := free * peers.EvenPartLive
	if all > 0 {
		goal = free * (evenPart*peers.EvenPartLive + (1-evenPart)*own/all)
	}
	if sh.part == 0 {
		sh.part = peers.EvenPart
	}
	switch {
	case goal <= sh.part:
	case peers.Stale:
		goal = sh.part
	default:
		goal = sh.part + (goal-sh.part)*growth
	}
	sh.part = goal
	burst := a.Burst*goal + s.bound.extra(a)*peers.EvenPart
	return budget.Share[unit.Tokens]{Rate: tokens(a.Rate * goal), Burst: tokens(max(burst, 1))}
}

// replace sets the share if it has changed enough to matter.
func (sh *share) replace(next budget.Share[unit.Tokens], now clock.Instant) {
	if near(next.Rate, sh.set.Rate) && near(next.Burst, sh.set.Burst) {
		return
	}
	sh.set = next
	sh.bucket.SetShare(next, now)
}

// near tells whether two amounts differ by less than one in fifty.
func near(a, b unit.Tokens) bool { return max(a, b)-min(a, b) <= max(a, b)/50 }

func tokens(n float64) unit.Tokens { return unit.Tokens(n * float64(unit.Token)) }
