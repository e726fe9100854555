package budget

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/state/unit"
)

// Equal divides a total into equal parts, whatever the demand.
type Equal[U unit.Amount] struct{}

// Divide gives each host the same share.
func (Equal[U]) Divide(total Share[U], hosts []Standing[U]) []Share[U] {
	out := make([]Share[U], len(hosts))
	for i := range out {
		out[i] = Share[U]{Rate: total.Rate / U(len(hosts)), Burst: total.Burst / U(len(hosts))}
	}
	return out
}

// ByDemand divides a total in proportion to demand, with a floor for each
// chosen host. A budget that is too small for all hosts is divided among few:
// those with the highest rendezvous hash of Seed, so that every host and every
// look-up names the same ones.
type ByDemand[U unit.Amount] struct {
	// Seed names the budget.
	Seed string
	// Grain is the least burst a host gets; it should admit a few requests.
	Grain U
	// Fewest is the least number of hosts that get a share.
	Fewest int
}

// floorParts is the part of the total that is divided evenly, as one over floorParts.
const floorParts = 4

// Divide gives each chosen host a floor and a part in proportion to its demand.
func (p ByDemand[U]) Divide(total Share[U], hosts []Standing[U]) []Share[U] {
	out := make([]Share[U], len(hosts))
	chosen := p.choose(total, hosts)
	if len(chosen) == 0 {
		return out
	}
	var demand U
	for _, i := range chosen {
		demand += hosts[i].Demand
	}
	n := U(len(chosen))
	for _, i := range chosen {
		out[i] = Share[U]{
			Rate:  part(total.Rate, hosts[i].Demand, demand, n),
			Burst: part(total.Burst, hosts[i].Demand, demand, n),
		}
	}
	return out
}

func part[U unit.Amount](total, demand, all, n U) U {
	if all == 0 {
		return total / n
	}
	floor := total / floorParts
	rest := total - floor
	return floor/n + U(float64(rest)*(float64(demand)/float64(all)))
}

// choose returns the indices of the hosts that get a share.
func (p ByDemand[U]) choose(total Share[U], hosts []Standing[U]) []int {
	count := len(hosts)
	if p.Grain > 0 {
		count = min(count, max(p.Fewest, int(total.Burst/p.Grain)))
	}
	indices := make([]int, len(hosts))
	for i := range indices {
		indices[i] = i
	}
	slices.SortFunc(indices, func(a, b int) int {
		return cmp.Compare(p.weight(hosts[b]), p.weight(hosts[a]))
	})
	return indices[:count]
}

func (p ByDemand[U]) weight(s Standing[U]) uint64 {
	return xxhash.Sum64String(p.Seed + "\x00" + string(s.Host))
}
