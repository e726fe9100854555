// Package quota keeps client accounts within their rates over all hosts
// together. Each host has a share of each account's rate and burst, in
// proportion to the demand that reaches it, and spends the share without
// communication on the path of a request. In a fleet of many hosts, most of an account's
// shares are smaller than a request; hosts then deposit tokens in pools, and a request
// that finds none at its host draws one from there.
//
// A host's part is its fraction of an account's quota, between 0 and 1; its share is the
// rate and burst that the part comes to.
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
	// demandTimeConstant is the time constant over which demand is averaged.
	demandTimeConstant = 1500 * time.Millisecond
	// evenlyDividedPart is the part of a quota that is divided evenly, so that a host
	// without demand can admit the first requests.
	evenlyDividedPart = 0.25
	// initialBurstPart is the part of the usual burst that a new bucket gets, so that
	// hosts that restart together do not admit the whole burst a second time.
	initialBurstPart = 0.6
	// growthPart is the part of an increase that one rebalancing applies, because the
	// other hosts may not have decreased their parts yet.
	growthPart = 0.4
	// unseenReports is the number of this host's last reports that the most distant
	// hosts may not have received. The tolerance's slack covers longer delays.
	unseenReports = 2
	// toleranceBurstPart is the part of the tolerance that is granted as additional burst.
	// The rest covers what hosts spend while their views of the demand differ.
	toleranceBurstPart = 0.65
)

// Tolerance is how far an account may exceed its quota: in each window it may send
// what its rate and burst allow, times 1 + Excess, plus Slack requests.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// extra returns the number of requests beyond rate and burst that all hosts together
// grant to an account.
func (t Tolerance) extra(a *desired.Account) float64 {
	return toleranceBurstPart * (t.Excess*(a.Rate*t.Window.Seconds()+a.Burst) + t.Slack)
}

// Shares holds this host's share of each account's quota. Requests read one snapshot
// and take no lock; Rebalance replaces the snapshot when the accounts change.
type Shares struct {
	tolerance    Tolerance
	accounts     *rcu.Cell[map[id.Account]*share]
	rebalancedAt clock.Instant
}

// share is this host's share of the quota of one account.
type share struct {
	bucket *budget.Bucket[unit.Tokens]
	// requests counts the requests received, refused ones included.
	requests atomic.Int64
	// measuredRequests is the value of requests at the last measurement of demand; only
	// Rebalance uses it.
	measuredRequests int64
	// demand is the average request rate per second, as the bits of a float64.
	demand atomic.Uint64
	// limited reports whether the account has a quota; without one all is admitted.
	limited atomic.Bool
	// reported holds the demand in the last reports to the other hosts, the latest first.
	reported [unseenReports]float64
	// part is this host's part of the quota, 0 before the first rebalancing; only
	// Rebalance writes it.
	part float64
	// applied is the share last set in the bucket.
	applied budget.Share[unit.Tokens]
	// surplus holds the tokens above the last lowered burst until the next deposit; only
	// the goroutine of Rebalance uses it.
	surplus unit.Tokens
}

// New returns shares without any account.
func New(tolerance Tolerance, now clock.Instant) *Shares {
	return &Shares{tolerance: tolerance, accounts: rcu.New(map[id.Account]*share{}), rebalancedAt: now}
}

// Take admits a request of an account, or returns how long the client should wait.
func (s *Shares) Take(account id.Account, now clock.Instant) (ok bool, delay time.Duration) {
	sh := (*s.accounts.Load())[account]
	if sh == nil {
		return false, unknownAccountDelay
	}
	sh.requests.Add(1)
	if !sh.limited.Load() || sh.bucket.Spend(unit.Token, now) {
		return true, 0
	}
	rate, _ := s.Share(account)
	return false, retryDelay(rate)
}

// retryDelay returns how long a client should wait that finds a share of the given rate
// used up.
func retryDelay(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate, minRetryRate))
}

// Share returns this host's share of an account's rate and burst, in requests per
// second and in requests.
func (s *Shares) Share(account id.Account) (rate, burst float64) {
	sh := (*s.accounts.Load())[account]
	if sh == nil {
		return 0, 0
	}
	current := sh.bucket.Share()
	return float64(current.Rate) / float64(unit.Token), float64(current.Burst) / float64(unit.Token)
}

// unknownAccountDelay is the delay for a request of an account that this host does not
// know yet.
const unknownAccountDelay = 250 * time.Millisecond

// minRetryRate limits the delay after a refusal, in requests per second.
const minRetryRate = 0.5

// Report is what a host reports to the others, by account: the request rate that
// reaches it, per second, and the part of the quota that it uses.
type Report struct {
	Demand map[id.Account]float64
	Part   map[id.Account]float64
}

// NextReport returns the report to send to the other hosts, and records its demands as
// reported. It must be called once for each report that is sent.
func (s *Shares) NextReport() Report {
	out := Report{Demand: map[id.Account]float64{}, Part: map[id.Account]float64{}}
	for account, sh := range *s.accounts.Load() {
		copy(sh.reported[1:], sh.reported[:])
		sh.reported[0] = math.Float64frombits(sh.demand.Load())
		if d := math.Float64frombits(sh.demand.Load()); d > minReportedDemand {
			out.Demand[account] = d
		}
		if sh.limited.Load() {
			out.Part[account] = sh.part
		}
	}
	return out
}

// minReportedDemand is the demand, in requests per second, up to which an account is
// left out of reports.
const minReportedDemand = 0.05

// RequestRate returns the request rate of all accounts, per second.
func (s *Shares) RequestRate() float64 {
	sum := 0.0
	for _, sh := range *s.accounts.Load() {
		sum += math.Float64frombits(sh.demand.Load())
	}
	return sum
}

// Rebalance measures the demand and recalculates the shares, given the accounts and
// what is known of the other hosts. Rebalance and NextReport must be called from one
// goroutine only.
func (s *Shares) Rebalance(accounts []*desired.Account, peers Peers, now clock.Instant) {
	s.updateAccounts(accounts, peers.EvenPart, now)
	elapsed := now.Sub(s.rebalancedAt)
	if elapsed <= 0 {
		return
	}
	s.rebalancedAt = now
	current := *s.accounts.Load()
	for _, a := range accounts {
		sh := current[a.ID]
		sh.measureDemand(elapsed)
		sh.limited.Store(a.Rate > 0)
		if a.Rate > 0 {
			sh.apply(s.computeShare(a, sh, &peers), peers.Pooled, now)
		}
	}
}

// updateAccounts adds buckets for new accounts, full to their initial burst, and removes
// those of deleted accounts.
func (s *Shares) updateAccounts(accounts []*desired.Account, evenPart float64, now clock.Instant) {
	old := *s.accounts.Load()
	next := make(map[id.Account]*share, len(accounts))
	differs := len(accounts) != len(old)
	for _, a := range accounts {
		if next[a.ID] = old[a.ID]; next[a.ID] != nil {
			continue
		}
		differs = true
		initial := budget.Share[unit.Tokens]{
			Rate: tokens(a.Rate * evenPart), Burst: tokens(max(a.Burst*initialBurstPart*evenPart, 1)),
		}
		sh := &share{bucket: budget.NewBucket(initial, now.Add(-fillTime(initial)))}
		sh.limited.Store(a.Rate > 0)
		next[a.ID] = sh
	}
	if differs {
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

// measureDemand updates the exponential average of the request rate.
func (sh *share) measureDemand(elapsed time.Duration) {
	requests := sh.requests.Load()
	rate := float64(requests-sh.measuredRequests) / elapsed.Seconds()
	sh.measuredRequests = requests
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	old := math.Float64frombits(sh.demand.Load())
	sh.demand.Store(math.Float64bits(old + (rate-old)*weight))
}

// lowestReported returns the lowest demand that another host may have as the latest from
// this one. While demand rises everywhere, a host that compared its own current demand
// with older demands of the others would take more than its part, and so would they.
func (sh *share) lowestReported() float64 { return slices.Min(sh.reported[:]) }

// computeShare returns this host's share of an account's quota. It uses this host's own
// demand as the others have received it, so that all hosts divide by the same figures.
// The part that a silent host used stays reserved, because it may still be serving
// behind a partition; a host that has reported nothing has an even part reserved.
func (s *Shares) computeShare(a *desired.Account, sh *share, peers *Peers) budget.Share[unit.Tokens] {
	free := max(1-peers.Unreported-peers.Silent[a.ID], 0)
	ownDemand := sh.lowestReported()
	totalDemand := ownDemand + peers.Demand[a.ID]
	target := free * peers.EvenPartLive
	if totalDemand > 0 {
		target = free * (evenlyDividedPart*peers.EvenPartLive + (1-evenlyDividedPart)*ownDemand/totalDemand)
	}
	if sh.part == 0 {
		sh.part = peers.EvenPart
	}
	switch {
	case target <= sh.part:
	case peers.Stale:
		target = sh.part
	default:
		target = sh.part + (target-sh.part)*growthPart
	}
	sh.part = target
	burst := a.Burst*target + s.tolerance.extra(a)*peers.EvenPart
	if peers.Pooled {
		return budget.Share[unit.Tokens]{Rate: tokens(a.Rate * target), Burst: tokens((1 - poolBurstPart) * burst)}
	}
	return budget.Share[unit.Tokens]{Rate: tokens(a.Rate * target), Burst: tokens(max(burst, 1))}
}

// TakeSurplus takes the tokens that this host does not need before the next deposit, to be
// deposited with the holder of its region's pool. What the host's requests need in that
// interval stays if it is a request or more.
func (s *Shares) TakeSurplus(interval time.Duration, now clock.Instant) Deposits {
	out := Deposits{}
	for account, sh := range *s.accounts.Load() {
		if !sh.limited.Load() {
			continue
		}
		kept := tokens(keptIntervals * interval.Seconds() * math.Float64frombits(sh.demand.Load()))
		if kept < unit.Token {
			kept = 0
		}
		surplus := sh.bucket.OwnLevel(now) - kept
		if surplus+sh.surplus < minDeposit || (surplus > 0 && !sh.bucket.Spend(surplus, now)) {
			continue
		}
		out[account] = max(surplus, 0) + sh.surplus
		sh.surplus = 0
	}
	return out
}

const (
	// keptIntervals is the number of intervals between deposits for which a host keeps
	// tokens.
	keptIntervals = 1.5
	// minDeposit is the smallest deposit; smaller surpluses accumulate.
	minDeposit = unit.Token / 20
)

// apply sets the share of the bucket unless it is nearly equal to the one applied. If the
// tokens are pooled, those that a lowered burst cuts off are kept for the next deposit.
func (sh *share) apply(next budget.Share[unit.Tokens], pooled bool, now clock.Instant) {
	if nearlyEqual(next.Rate, sh.applied.Rate) && nearlyEqual(next.Burst, sh.applied.Burst) {
		return
	}
	if excess := sh.bucket.OwnLevel(now) - next.Burst; pooled && excess > 0 && sh.bucket.Spend(excess, now) {
		sh.surplus += excess
	}
	sh.applied = next
	sh.bucket.SetShare(next, now)
}

// nearlyEqual reports whether two amounts differ by at most 2 % of the larger one.
func nearlyEqual(a, b unit.Tokens) bool { return max(a, b)-min(a, b) <= max(a, b)/50 }

func tokens(n float64) unit.Tokens { return unit.Tokens(n * float64(unit.Token)) }
