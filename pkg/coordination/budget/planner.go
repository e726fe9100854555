package budget

import (
	"cmp"
	"slices"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Grant is the part of a budget that one host incarnation has. Share is the part
// it should use, Held the largest part it may still be using; Share never exceeds
// Held.
type Grant[U unit.Amount] struct {
	Host        id.Host
	Incarnation id.Incarnation
	Share       Share[U]
	Held        Share[U]
}

// Division is the division of a budget's total among hosts. The sum of Held never
// exceeds Total, except while holders have yet to confirm a lowered Total.
type Division[U unit.Amount] struct {
	Total  Share[U]
	Grants []Grant[U]
}

// HostStatus is the controller's view of one host's use of one budget.
type HostStatus[U unit.Amount] struct {
	Host        id.Host
	Incarnation id.Incarnation
	Region      id.Region
	// Demand is the amount per second that the host's clients request.
	Demand U
	// Confirmed is set if the host uses no more than its Share in the current division.
	Confirmed bool
	// Eligible is set if the host may be given a share.
	Eligible bool
}

// Policy computes the target division of a total among eligible hosts.
type Policy[U unit.Amount] interface {
	// Divide returns one share per host, in the same order; the sum is at most total.
	Divide(total Share[U], hosts []HostStatus[U]) []Share[U]
}

// Ended reports whether an incarnation is proven to spend no more.
type Ended func(id.Host, id.Incarnation) bool

// Planner computes the changes of division for one kind of budget. It is
// stateless: a succeeding controller needs only the division.
type Planner[U unit.Amount, P Policy[U]] struct {
	policy P
}

// Thresholds for moving shares between hosts, in percent. Every move empties a part
// of the buckets, so shares are moved only for a clear gain; loans cover short peaks.
const (
	// shortPercent is the demand above which a host is short of rate, in percent of
	// its current rate.
	shortPercent = 85
	// minChangePercent is the ratio that a move must exceed: for the host that gains,
	// of its new rate to its current one; for the host that loses, the reverse.
	minChangePercent = 125
	// sparePercent is the demand below which a host can spare a part of its rate, in
	// percent of its current rate.
	sparePercent = 60
)

// NewPlanner returns a planner that divides by policy.
func NewPlanner[U unit.Amount, P Policy[U]](policy P) *Planner[U, P] {
	return &Planner[U, P]{policy: policy}
}

// Plan returns the next division and whether it differs from d.
//
// Each step debits before it credits: grants of ended incarnations are dropped,
// confirmed reductions become free, and only free amounts are given out. A
// reduction that its holder has not confirmed stays counted as held.
func (p *Planner[U, P]) Plan(d Division[U], total Share[U], hosts []HostStatus[U], ended Ended) (Division[U], bool) {
	next := Division[U]{Total: total, Grants: slices.Clone(d.Grants)}
	next.Grants = slices.DeleteFunc(next.Grants, func(g Grant[U]) bool { return ended(g.Host, g.Incarnation) })
	pending := applyConfirmations(next.Grants, hosts)
	if !pending {
		p.reduceShares(&next, hosts)
	}
	p.distributeFree(&next, hosts)
	slices.SortFunc(next.Grants, compareGrants[U])
	return next, !equalDivisions(d, next)
}

// applyConfirmations lowers Held to Share for holders that have confirmed their
// reduction, and reports whether any reduction is still unconfirmed.
func applyConfirmations[U unit.Amount](grants []Grant[U], hosts []HostStatus[U]) bool {
	pending := false
	for i := range grants {
		g := &grants[i]
		if g.Share == g.Held {
			continue
		}
		if status := findStatus(hosts, g.Host, g.Incarnation); status != nil && status.Confirmed {
			g.Held = g.Share
			continue
		}
		pending = true
	}
	return pending
}

// reduceShares lowers the shares that exceed the policy's target.
func (p *Planner[U, P]) reduceShares(d *Division[U], hosts []HostStatus[U]) {
	eligible := filterEligible(hosts)
	targets := p.policy.Divide(d.Total, eligible)
	if !p.needsReduction(d, eligible, targets) {
		return
	}
	for i := range d.Grants {
		g := &d.Grants[i]
		target := Share[U]{}
		for j, s := range eligible {
			if s.Host == g.Host && s.Incarnation == g.Incarnation {
				target = targets[j]
			}
		}
		g.Share = Share[U]{Rate: min(g.Share.Rate, target.Rate), Burst: min(g.Share.Burst, target.Burst)}
	}
}

// needsReduction reports whether shares must be lowered: because the division
// exceeds the total, because a host without a target has a share or a host with a
// target has none, or because one host is short of rate and another can spare some.
func (p *Planner[U, P]) needsReduction(d *Division[U], eligible []HostStatus[U], targets []Share[U]) bool {
	held := Sum(d.Grants)
	if held.Rate > d.Total.Rate || held.Burst > d.Total.Burst {
		return true
	}
	short, spare := false, false
	for j, s := range eligible {
		have := Share[U]{}
		if g := findGrant(d.Grants, s.Host, s.Incarnation); g != nil {
			have = g.Share
		}
		if (have == Share[U]{}) != (targets[j] == Share[U]{}) {
			return true
		}
		short = short || (s.Demand*100 > have.Rate*shortPercent && targets[j].Rate*100 > have.Rate*minChangePercent)
		spare = spare || (s.Demand*100 < have.Rate*sparePercent && targets[j].Rate*minChangePercent < have.Rate*100)
	}
	return short && spare
}

// distributeFree raises shares towards the policy's targets out of the amount that
// no host holds.
func (p *Planner[U, P]) distributeFree(d *Division[U], hosts []HostStatus[U]) {
	held := Sum(d.Grants)
	free := Share[U]{Rate: d.Total.Rate - held.Rate, Burst: d.Total.Burst - held.Burst}
	if free.Rate <= 0 && free.Burst <= 0 {
		return
	}
	eligible := filterEligible(hosts)
	targets := p.policy.Divide(d.Total, eligible)
	for j, s := range eligible {
		g := findGrant(d.Grants, s.Host, s.Incarnation)
		if g == nil {
			if targets[j] == (Share[U]{}) {
				continue
			}
			d.Grants = append(d.Grants, Grant[U]{Host: s.Host, Incarnation: s.Incarnation})
			g = &d.Grants[len(d.Grants)-1]
		}
		if g.Share != g.Held {
			// A reduction is pending.
			continue
		}
		rate := max(0, min(targets[j].Rate-g.Share.Rate, free.Rate))
		burst := max(0, min(targets[j].Burst-g.Share.Burst, free.Burst))
		g.Share = Share[U]{Rate: g.Share.Rate + rate, Burst: g.Share.Burst + burst}
		g.Held = g.Share
		free.Rate -= rate
		free.Burst -= burst
	}
	d.Grants = slices.DeleteFunc(d.Grants, func(g Grant[U]) bool { return g.Held == Share[U]{} })
}

// Sum returns the sum of Held over the grants.
func Sum[U unit.Amount](grants []Grant[U]) Share[U] {
	var sum Share[U]
	for _, g := range grants {
		sum.Rate += g.Held.Rate
		sum.Burst += g.Held.Burst
	}
	return sum
}

func filterEligible[U unit.Amount](hosts []HostStatus[U]) []HostStatus[U] {
	out := make([]HostStatus[U], 0, len(hosts))
	for _, h := range hosts {
		if h.Eligible {
			out = append(out, h)
		}
	}
	return out
}

func findStatus[U unit.Amount](hosts []HostStatus[U], h id.Host, i id.Incarnation) *HostStatus[U] {
	for j := range hosts {
		if hosts[j].Host == h && hosts[j].Incarnation == i {
			return &hosts[j]
		}
	}
	return nil
}

func findGrant[U unit.Amount](grants []Grant[U], h id.Host, i id.Incarnation) *Grant[U] {
	for j := range grants {
		if grants[j].Host == h && grants[j].Incarnation == i {
			return &grants[j]
		}
	}
	return nil
}

func compareGrants[U unit.Amount](a, b Grant[U]) int {
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

func equalDivisions[U unit.Amount](a, b Division[U]) bool {
	return a.Total == b.Total && slices.Equal(a.Grants, b.Grants)
}
