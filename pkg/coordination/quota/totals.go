package quota

import (
	"maps"

	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// Totals sums up what a number of hosts told. Hosts that are far apart tell each
// other only these.
type Totals struct {
	// Weight is the sum of the weights of the hosts that live.
	Weight float64
	// Unreported is the even part of those that have told nothing yet.
	Unreported float64
	// Stale tells that some of those that live were not heard for a while. Both sides
	// of a cut see that of the other, and must not grow into each other's parts.
	Stale bool
	// Demand and Part are those of the hosts that live, by account. Silent is the
	// parts that are left to hosts which were not heard lately, but may serve on.
	Demand, Part, Silent map[id.Account]float64
}

// NewTotals returns the totals of no host.
func NewTotals() Totals {
	return Totals{Demand: map[id.Account]float64{}, Part: map[id.Account]float64{}, Silent: map[id.Account]float64{}}
}

// AddLive adds a host that lives.
func (t *Totals) AddLive(told Report, weight float64) {
	t.Weight += weight
	addAll(t.Demand, told.Demand, 1)
	addAll(t.Part, told.Part, 1)
}

// AddSilent adds a host that was not heard lately. Of an account of which it told
// nothing it is left the part even.
func (t *Totals) AddSilent(accounts []*desired.Account, told Report, even float64) {
	for _, a := range accounts {
		part, known := told.Part[a.ID]
		if !known {
			part = even
		}
		t.Silent[a.ID] += part
	}
}

// Add adds the totals of other hosts.
func (t *Totals) Add(other Totals) {
	t.Weight += other.Weight
	t.Unreported += other.Unreported
	t.Stale = t.Stale || other.Stale
	addAll(t.Demand, other.Demand, 1)
	addAll(t.Part, other.Part, 1)
	addAll(t.Silent, other.Silent, 1)
}

// Missing returns what is left of earlier totals of the same hosts for those of them
// that are not in t.
func (t *Totals) Missing(earlier Totals) map[id.Account]float64 {
	out := map[id.Account]float64{}
	addAll(out, earlier.Part, 1)
	addAll(out, earlier.Silent, 1)
	addAll(out, t.Part, -1)
	addAll(out, t.Silent, -1)
	maps.DeleteFunc(out, func(_ id.Account, n float64) bool { return n <= 0 })
	return out
}

// AsSilent returns the totals as they count when none of the hosts was heard
// lately.
func (t *Totals) AsSilent() Totals {
	out := NewTotals()
	out.Unreported = t.Unreported
	addAll(out.Silent, t.Part, 1)
	addAll(out.Silent, t.Silent, 1)
	return out
}

// Without returns the totals less one of the hosts.
func (t *Totals) Without(told Report, weight float64) Totals {
	out := NewTotals()
	out.Add(*t)
	out.Weight = max(out.Weight-weight, 0)
	addAll(out.Demand, told.Demand, -1)
	addAll(out.Part, told.Part, -1)
	for _, m := range []map[id.Account]float64{out.Demand, out.Part} {
		maps.DeleteFunc(m, func(_ id.Account, n float64) bool { return n <= 0 })
	}
	return out
}

func addAll(to, from map[id.Account]float64, sign float64) {
	for account, n := range from {
		to[account] += sign * n
	}
}

// Peers is what a host knows of the others that may serve, and its own place
// among them.
type Peers struct {
	// EvenPart is the part that the host has of what is divided evenly between all
	// hosts, EvenPartLive between those that live.
	EvenPart, EvenPartLive float64
	Totals
}

// NewPeers returns the peers of a host of the given weight, which gets the part
// even of what is divided between all.
func NewPeers(others Totals, weight, even float64) Peers {
	return Peers{EvenPart: even, EvenPartLive: weight / (weight + others.Weight), Totals: others}
}

// NoPeers returns the peers of a host that is the only one.
func NoPeers() Peers { return NewPeers(NewTotals(), 1, 1) }
