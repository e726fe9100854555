package budget

import (
	"cmp"
	"slices"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Grant is the part of a budget that one host incarnation has. Share is what
// it should use, Held the most it may still be using; Share never exceeds Held.
type Grant[U unit.Amount] struct {
	Host        id.Host
	Incarnation id.Incarnation
	Share       Share[U]
	Held        Share[U]
}

// Division is how a budget's total is divided. The sum of Held never exceeds
// Total, except while a lowered Total waits for its holders' confirmation.
type Division[U unit.Amount] struct {
	Total  Share[U]
	Grants []Grant[U]
}

// HostStatus is what the controller knows of one host and one budget.
type HostStatus[U unit.Amount] struct {
	Host        id.Host
	Incarnation id.Incarnation
	Region      id.Region
	// Demand is what the host's callers ask for, per second.
	Demand U
	// Confirmed tells that the host uses no more than the Share of the division at hand.
	Confirmed bool
	// Eligible tells that the host may be given a share.
	Eligible bool
}

// Policy decides how a total is best divided among eligible hosts.
type Policy[U unit.Amount] interface {
	// Divide returns one share per standing, in the same order; the sum is at most total.
	Divide(total Share[U], hosts []HostStatus[U]) []Share[U]
}

// Ended tells whether an incarnation is proven to spend no more.
type Ended func(id.Host, id.Incarnation) bool

// Planner plans the moves of one kind of budget. It keeps no state: all that a
// successor needs is in the division.
type Planner[U unit.Amount, P Policy[U]] struct {
	policy P
}

// Shares of a host's rate, in percent, that decide whether a move is worthwhile.
// Every move empties a part of the buckets, so shares stay where they are while
// they are good enough; loans cover what is short-lived.
const (
	// needy is the demand from which a host is short of rate.
	needy = 85
	// better is the least change of a short host's rate.
	better = 125
	// idle is the demand below which a host can do without a part of its rate.
	idle = 60
)

// NewPlanner returns a ledger that divides by policy.
func NewPlanner[U unit.Amount, P Policy[U]](policy P) *Planner[U, P] {
	return &Planner[U, P]{policy: policy}
}

// Plan returns the next division and whether it differs from d.
//
// Each step takes before it gives: grants of ended incarnations are dropped,
// confirmed reductions become free, and only what is free is given out. A
// reduction that no one confirmed stays counted as held.
func (l *Planner[U, P]) Plan(d Division[U], total Share[U], hosts []HostStatus[U], ended Ended) (Division[U], bool) {
	next := Division[U]{Total: total, Grants: slices.Clone(d.Grants)}
	next.Grants = slices.DeleteFunc(next.Grants, func(g Grant[U]) bool { return ended(g.Host, g.Incarnation) })
	pending := confirm(next.Grants, hosts)
	if !pending {
		l.redivide(&next, hosts)
	}
	l.giveFree(&next, hosts)
	slices.SortFunc(next.Grants, compareGrants[U])
	return next, !equal(d, next)
}

// confirm frees what holders have given up and tells whether any reduction is still open.
func confirm[U unit.Amount](grants []Grant[U], hosts []HostStatus[U]) bool {
	pending := false
	for i := range grants {
		g := &grants[i]
		if g.Share == g.Held {
			continue
		}
		if standing := find(hosts, g.Host, g.Incarnation); standing != nil && standing.Confirmed {
			g.Held = g.Share
			continue
		}
		pending = true
	}
	return pending
}

// redivide lowers the shares of hosts that have more than the policy gives them.
func (l *Planner[U, P]) redivide(d *Division[U], hosts []HostStatus[U]) {
	eligible := eligibleOf(hosts)
	want := l.policy.Divide(d.Total, eligible)
	if !l.worthMoving(d, eligible, want) {
		return
	}
	for i := range d.Grants {
		g := &d.Grants[i]
		target := Share[U]{}
		for j, s := range eligible {
			if s.Host == g.Host && s.Incarnation == g.Incarnation {
				target = want[j]
			}
		}
		g.Share = Share[U]{Rate: min(g.Share.Rate, target.Rate), Burst: min(g.Share.Burst, target.Burst)}
	}
}

// worthMoving tells whether the division has to change: because it exceeds the
// total, names hosts that should have no share or lacks ones that should, or
// because a host is short of rate that others can do without.
func (l *Planner[U, P]) worthMoving(d *Division[U], eligible []HostStatus[U], want []Share[U]) bool {
	held := Sum(d.Grants)
	if held.Rate > d.Total.Rate || held.Burst > d.Total.Burst {
		return true
	}
	short, spare := false, false
	for j, s := range eligible {
		have := Share[U]{}
		if g := grantOf(d.Grants, s.Host, s.Incarnation); g != nil {
			have = g.Share
		}
		if (have == Share[U]{}) != (want[j] == Share[U]{}) {
			return true
		}
		short = short || (s.Demand*100 > have.Rate*needy && want[j].Rate*100 > have.Rate*better)
		spare = spare || (s.Demand*100 < have.Rate*idle && want[j].Rate*better < have.Rate*100)
	}
	return short && spare
}

// giveFree raises shares towards the policy's division out of what nobody holds.
func (l *Planner[U, P]) giveFree(d *Division[U], hosts []HostStatus[U]) {
	held := Sum(d.Grants)
	free := Share[U]{Rate: d.Total.Rate - held.Rate, Burst: d.Total.Burst - held.Burst}
	if free.Rate <= 0 && free.Burst <= 0 {
		return
	}
	eligible := eligibleOf(hosts)
	want := l.policy.Divide(d.Total, eligible)
	for j, s := range eligible {
		g := grantOf(d.Grants, s.Host, s.Incarnation)
		if g == nil {
			if want[j] == (Share[U]{}) {
				continue
			}
			d.Grants = append(d.Grants, Grant[U]{Host: s.Host, Incarnation: s.Incarnation})
			g = &d.Grants[len(d.Grants)-1]
		}
		if g.Share != g.Held {
			continue
		}
		rate := max(0, min(want[j].Rate-g.Share.Rate, free.Rate))
		burst := max(0, min(want[j].Burst-g.Share.Burst, free.Burst))
		g.Share = Share[U]{Rate: g.Share.Rate + rate, Burst: g.Share.Burst + burst}
		g.Held = g.Share
		free.Rate -= rate
		free.Burst -= burst
	}
	d.Grants = slices.DeleteFunc(d.Grants, func(g Grant[U]) bool { return g.Held == Share[U]{} })
}

// Sum returns the sum of what the grants may be using.
func Sum[U unit.Amount](grants []Grant[U]) Share[U] {
	var sum Share[U]
	for _, g := range grants {
		sum.Rate += g.Held.Rate
		sum.Burst += g.Held.Burst
	}
	return sum
}

func eligibleOf[U unit.Amount](hosts []HostStatus[U]) []HostStatus[U] {
	out := make([]HostStatus[U], 0, len(hosts))
	for _, h := range hosts {
		if h.Eligible {
			out = append(out, h)
		}
	}
	return out
}

func find[U unit.Amount](hosts []HostStatus[U], h id.Host, i id.Incarnation) *HostStatus[U] {
	for j := range hosts {
		if hosts[j].Host == h && hosts[j].Incarnation == i {
			return &hosts[j]
		}
	}
	return nil
}

func grantOf[U unit.Amount](grants []Grant[U], h id.Host, i id.Incarnation) *Grant[U] {
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

func equal[U unit.Amount](a, b Division[U]) bool {
	return a.Total == b.Total && slices.Equal(a.Grants, b.Grants)
}
