// Package lookup decides which hosts a caller should use.
package lookup

import (
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// MaxHosts is the most hosts that an answer names.
const MaxHosts = 3

// fewHolders is the most hosts that may share an account's budget for look-ups
// to send its callers to just these.
const fewHolders = 4

// Answer names hosts in the order in which a caller should try them.
type Answer struct {
	Hosts [MaxHosts]*fleet.Host
	Count int
	// TTL is how long the caller may use the answer.
	TTL time.Duration
}

func (a *Answer) add(h *fleet.Host) {
	for i := range a.Count {
		if a.Hosts[i] == h {
			return
		}
	}
	if a.Count < MaxHosts {
		a.Hosts[a.Count] = h
		a.Count++
	}
}

// Holder is a host that has a share of an account's budget.
type Holder struct {
	Host   id.Host
	Weight int64
}

// Inputs is what a Table is built from.
type Inputs struct {
	// Hosts are the hosts that callers may be sent to.
	Hosts []fleet.Host
	// Holders are, for each account, the hosts that have shares of its budget.
	Holders map[id.Account][]Holder
	// Shifts move callers between regions.
	Shifts []Shift
	TTL    time.Duration
}

// Shift sends a part of a region's callers to another region.
type Shift struct {
	From, To id.Region
	Share    table.Milli
}

// Table answers look-ups. It is immutable after New and costs no allocation to
// read, so that any number of threads may share it.
type Table struct {
	all      []*fleet.Host
	regions  map[id.Region][]*fleet.Host
	accounts map[id.Account]weighted
	shifts   map[id.Region]Shift
	keep     time.Duration
}

// weighted is a list of hosts with the running sums of their weights.
type weighted struct {
	hosts []*fleet.Host
	sums  []int64
}

// New builds a table.
func New(in Inputs) Table {
	t := Table{regions: map[id.Region][]*fleet.Host{}, accounts: map[id.Account]weighted{}, shifts: map[id.Region]Shift{}, keep: in.TTL}
	for _, s := range in.Shifts {
		t.shifts[s.From] = s
	}
	byID := map[id.Host]*fleet.Host{}
	for i := range in.Hosts {
		h := &in.Hosts[i]
		byID[h.ID] = h
		t.all = append(t.all, h)
		t.regions[h.Region] = append(t.regions[h.Region], h)
	}
	for account, holders := range in.Holders {
		if w := weigh(holders, byID); len(w.hosts) > 0 && len(w.hosts) <= fewHolders {
			t.accounts[account] = w
		}
	}
	return t
}

func weigh(holders []Holder, byID map[id.Host]*fleet.Host) weighted {
	var w weighted
	var sum int64
	holders = slices.Clone(holders)
	slices.SortFunc(holders, func(a, b Holder) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	for _, holder := range holders {
		h := byID[holder.Host]
		if h == nil || holder.Weight <= 0 {
			continue
		}
		sum += holder.Weight
		w.hosts = append(w.hosts, h)
		w.sums = append(w.sums, sum)
	}
	return w
}

// Hosts returns the number of hosts that the table can name.
func (t *Table) Hosts() int { return len(t.all) }

// Lookup returns the hosts for a caller of an account in a region. Seed spreads
// callers over hosts: callers with equal seeds get equal answers. A caller whose
// account is unknown passes the empty account.
func (t *Table) Lookup(region id.Region, account id.Account, seed uint64) Answer {
	answer := Answer{TTL: t.keep}
	if w, few := t.accounts[account]; few {
		w.fill(&answer, seed)
	}
	region = t.Shifted(region, seed)
	rotate(&answer, t.regions[region], seed)
	rotate(&answer, t.all, seed)
	return answer
}

// Shifted returns the region that a shift sends a caller to, or its own.
func (t *Table) Shifted(region id.Region, seed uint64) id.Region {
	if s, shifted := t.shifts[region]; shifted && part(seed) < s.Share {
		return s.To
	}
	return region
}

// part returns a caller's place in the whole, which decides whether a shift takes
// it. The seed is mixed, because its low bits choose hosts.
func part(seed uint64) table.Milli {
	seed ^= seed >> 33
	seed *= 0xff51afd7ed558ccd
	seed ^= seed >> 33
	return table.Milli(seed % uint64(table.Whole))
}

// fill names the hosts beginning with the one that seed selects by weight.
func (w weighted) fill(answer *Answer, seed uint64) {
	total := uint64(w.sums[len(w.sums)-1])
	point := int64(seed % total)
	first, _ := slices.BinarySearch(w.sums, point+1)
	for i := range w.hosts {
		answer.add(w.hosts[(first+i)%len(w.hosts)])
	}
}

func rotate(answer *Answer, hosts []*fleet.Host, seed uint64) {
	for i := 0; i < len(hosts) && answer.Count < MaxHosts; i++ {
		answer.add(hosts[(seed+uint64(i))%uint64(len(hosts))])
	}
}
