package quota

import (
	"maps"

	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// Totals sums the reports of a number of hosts. Where hosts exchange messages through
// hubs, they receive only the totals of each region, not the reports of its hosts.
type Totals struct {
	// Weight is the sum of the weights of the live hosts.
	Weight float64
	// Unreported is the part reserved for the hosts that have reported nothing yet: the
	// sum of their even parts.
	Unreported float64
	// Stale reports that the last report of some live hosts is old. Both sides of a
	// partition see this of the other, and must not grow into each other's parts.
	Stale bool
	// Demand and Part are sums over the live hosts, by account. Silent is the part of each
	// account reserved for hosts that are silent but may still be serving.
	Demand, Part, Silent map[id.Account]float64
}

// NewTotals returns totals without any host.
func NewTotals() Totals {
	return Totals{Demand: map[id.Account]float64{}, Part: map[id.Account]float64{}, Silent: map[id.Account]float64{}}
}

// AddLive adds the report of a live host.
func (t *Totals) AddLive(report Report, weight float64) {
	t.Weight += weight
	addAll(t.Demand, report.Demand, 1)
	addAll(t.Part, report.Part, 1)
}

// AddSilent adds a silent host with its last report. For an account that the report
// lacks, the host has evenPart reserved.
func (t *Totals) AddSilent(accounts []*desired.Account, report Report, evenPart float64) {
	for _, a := range accounts {
		part, known := report.Part[a.ID]
		if !known {
			part = evenPart
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

// MissingParts returns, given previous totals of the same hosts, the parts of those hosts
// that are not in t.
func (t *Totals) MissingParts(previous Totals) map[id.Account]float64 {
	out := map[id.Account]float64{}
	addAll(out, previous.Part, 1)
	addAll(out, previous.Silent, 1)
	addAll(out, t.Part, -1)
	addAll(out, t.Silent, -1)
	maps.DeleteFunc(out, func(_ id.Account, n float64) bool { return n <= 0 })
	return out
}

// AsSilent returns the totals with all hosts counted as silent.
func (t *Totals) AsSilent() Totals {
	out := NewTotals()
	out.Unreported = t.Unreported
	addAll(out.Silent, t.Part, 1)
	addAll(out.Silent, t.Silent, 1)
	return out
}

// AsCutOff returns the totals of hosts that may use up to their even part of each
// account's quota by now, whatever they reported.
func (t *Totals) AsCutOff(accounts []*desired.Account, evenPart float64) Totals {
	silent := t.AsSilent()
	out := NewTotals()
	for _, a := range accounts {
		out.Silent[a.ID] = max(silent.Silent[a.ID]+silent.Unreported, evenPart)
	}
	return out
}

// Without returns the totals without one of the live hosts.
func (t *Totals) Without(report Report, weight float64) Totals {
	out := NewTotals()
	out.Add(*t)
	out.Weight = max(out.Weight-weight, 0)
	addAll(out.Demand, report.Demand, -1)
	addAll(out.Part, report.Part, -1)
	for _, m := range []map[id.Account]float64{out.Demand, out.Part} {
		maps.DeleteFunc(m, func(_ id.Account, n float64) bool { return n <= 0 })
	}
	return out
}

// addAll adds the values of one map, times sign, to another.
func addAll(to, from map[id.Account]float64, sign float64) {
	for account, n := range from {
		to[account] += sign * n
	}
}

// Peers is a host's view of the other hosts that may be serving, and its own weight
// among them.
type Peers struct {
	// EvenPart is the host's part of what is divided evenly between all hosts,
	// EvenPartLive of what is divided evenly between the live hosts.
	EvenPart, EvenPartLive float64
	// Pooled reports whether the host can deposit tokens in a pool and draw from it.
	Pooled bool
	Totals
}

// NewPeers returns the peers of a host of the given weight, whose part of what is
// divided evenly between all hosts is evenPart.
func NewPeers(others Totals, weight, evenPart float64) Peers {
	return Peers{EvenPart: evenPart, EvenPartLive: weight / (weight + others.Weight), Totals: others}
}

// NoPeers returns the peers of a single host without others.
func NoPeers() Peers { return NewPeers(NewTotals(), 1, 1) }
