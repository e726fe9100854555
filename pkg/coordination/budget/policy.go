package budget

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/state/unit"
)

// EqualShares divides a total into equal parts, whatever the demand.
type EqualShares[U unit.Amount] struct{}

// Divide gives each host the same share.
func (EqualShares[U]) Divide(total Share[U], hosts []HostStatus[U]) []Share[U] {
	out := make([]Share[U], len(hosts))
	for i := range out {
		out[i] = Share[U]{Rate: total.Rate / U(len(hosts)), Burst: total.Burst / U(len(hosts))}
	}
	return out
}

// ByDemand divides a total in proportion to demand, with a floor for each
// selected host. A budget that is too small for all hosts is divided among a few,
// of one region if it has enough, because these can lend to each other at low
// latency. Region and hosts are chosen by the highest rendezvous hash with Seed, so
// that every host selects the same ones.
type ByDemand[U unit.Amount] struct {
	// Seed is the name of the budget.
	Seed string
	// MinBurst is the average burst per host below which a budget counts as too small
	// for all hosts. It should admit a few requests. 0 selects all hosts.
	MinBurst U
	// MinHosts and MaxHosts bound the number of hosts that share a small budget.
	MinHosts, MaxHosts int
}

// floorDivisor sets the part of the total that is divided evenly: 1/floorDivisor.
const floorDivisor = 4

// Divide gives each selected host an equal floor and a part in proportion to its demand.
func (p ByDemand[U]) Divide(total Share[U], hosts []HostStatus[U]) []Share[U] {
	out := make([]Share[U], len(hosts))
	selected := p.selectHosts(total, hosts)
	if len(selected) == 0 {
		return out
	}
	var demand U
	for _, i := range selected {
		demand += hosts[i].Demand
	}
	n := U(len(selected))
	for _, i := range selected {
		out[i] = Share[U]{
			Rate:  hostShare(total.Rate, hosts[i].Demand, demand, n),
			Burst: hostShare(total.Burst, hosts[i].Demand, demand, n),
		}
	}
	return out
}

// hostShare returns the part of total that one of n hosts gets: an equal part of the
// floor, and a part of the rest in proportion to its demand. Without any demand, all
// parts are equal.
func hostShare[U unit.Amount](total, demand, totalDemand, n U) U {
	if totalDemand == 0 {
		return total / n
	}
	floor := total / floorDivisor
	rest := total - floor
	return floor/n + U(float64(rest)*(float64(demand)/float64(totalDemand)))
}

// selectHosts returns the indices of the hosts that get a share.
func (p ByDemand[U]) selectHosts(total Share[U], hosts []HostStatus[U]) []int {
	indices := make([]int, len(hosts))
	for i := range indices {
		indices[i] = i
	}
	if p.MinBurst <= 0 || int64(total.Burst/p.MinBurst) >= int64(len(hosts)) {
		return indices
	}
	slices.SortFunc(indices, func(a, b int) int {
		if c := cmp.Compare(p.rendezvousHash(string(hosts[b].Region)), p.rendezvousHash(string(hosts[a].Region))); c != 0 {
			return c
		}
		return cmp.Compare(p.rendezvousHash(string(hosts[b].Host)), p.rendezvousHash(string(hosts[a].Host)))
	})
	count := max(p.MinHosts, min(p.MaxHosts, int(total.Burst/p.MinBurst)))
	return indices[:min(count, len(indices))]
}

func (p ByDemand[U]) rendezvousHash(name string) uint64 {
	return xxhash.Sum64String(p.Seed + "\x00" + name)
}
