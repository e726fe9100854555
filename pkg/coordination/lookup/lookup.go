// Package lookup answers look-ups: it decides which hosts a client should use.
package lookup

import (
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// MaxHosts is the maximum number of hosts in an answer.
const MaxHosts = 3

// maxPreferredHolders is the number of hosts with shares of an account's budget up to
// which look-ups send the account's clients to these hosts first.
const maxPreferredHolders = 4

// Answer holds the first Count of Hosts, in the order in which a client should try them.
type Answer struct {
	Hosts [MaxHosts]*fleet.Host
	Count int
	// TTL is how long the client may use the answer.
	TTL time.Duration
}

// add appends a host unless the answer holds it already or is full.
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
	Host id.Host
	// Weight is the host's weight in the choice of the first host of an answer.
	Weight int64
}

// Inputs is what a Table is built from.
type Inputs struct {
	// Hosts are the hosts that clients may be sent to.
	Hosts []fleet.Host
	// Holders are the hosts that have shares of the budget of each account.
	Holders map[id.Account][]Holder
	// Shifts move clients between regions, at most one from each region.
	Shifts []Shift
	// TTL is the TTL of all answers.
	TTL time.Duration
}

// Shift sends a fraction of a region's clients to another region.
type Shift struct {
	From, To id.Region
	// Share is the fraction of the clients that is sent to To.
	Share table.Milli
}

// Table answers look-ups. It is immutable after New and is read without allocation,
// so any number of goroutines may share it.
type Table struct {
	all      []*fleet.Host
	regions  map[id.Region][]*fleet.Host
	accounts map[id.Account]weightedHosts
	shifts   map[id.Region]Shift
	ttl      time.Duration
}

// weightedHosts is a list of hosts with the cumulative sums of their weights.
type weightedHosts struct {
	hosts      []*fleet.Host
	cumulative []int64
}

// New builds a table.
func New(in Inputs) Table {
	t := Table{regions: map[id.Region][]*fleet.Host{}, accounts: map[id.Account]weightedHosts{}, shifts: map[id.Region]Shift{}, ttl: in.TTL}
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
		if w := newWeightedHosts(holders, byID); len(w.hosts) > 0 && len(w.hosts) <= maxPreferredHolders {
			t.accounts[account] = w
		}
	}
	return t
}

// newWeightedHosts returns the known holders with positive weights, ordered by host ID.
func newWeightedHosts(holders []Holder, byID map[id.Host]*fleet.Host) weightedHosts {
	var w weightedHosts
	var total int64
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
		total += holder.Weight
		w.hosts = append(w.hosts, h)
		w.cumulative = append(w.cumulative, total)
	}
	return w
}

// HostCount returns the number of hosts in the table.
func (t *Table) HostCount() int { return len(t.all) }

// Lookup returns the hosts for a client of an account in a region: first the holders of
// the account's budget if they are few, then hosts of the region to which the client
// belongs or is shifted, then any others. The seed spreads clients over hosts: clients
// with equal seeds get equal answers. The account is empty if it is unknown.
func (t *Table) Lookup(region id.Region, account id.Account, seed uint64) Answer {
	answer := Answer{TTL: t.ttl}
	if w, preferred := t.accounts[account]; preferred {
		w.addTo(&answer, seed)
	}
	region = t.Shifted(region, seed)
	addRotated(&answer, t.regions[region], seed)
	addRotated(&answer, t.all, seed)
	return answer
}

// Shifted returns the region to which a shift sends a client, or the client's own region.
func (t *Table) Shifted(region id.Region, seed uint64) id.Region {
	if s, shifted := t.shifts[region]; shifted && shiftPosition(seed) < s.Share {
		return s.To
	}
	return region
}

// shiftPosition returns a client's position, at least 0 and below table.Whole; a shift
// applies to the positions below its share. The bits of the seed are mixed by the first
// steps of MurmurHash3's 64-bit finalizer, because the low bits also choose hosts.
func shiftPosition(seed uint64) table.Milli {
	seed ^= seed >> 33
	seed *= 0xff51afd7ed558ccd
	seed ^= seed >> 33
	return table.Milli(seed % uint64(table.Whole))
}

// addTo adds the hosts to the answer, beginning with the one that the seed selects by weight.
func (w weightedHosts) addTo(answer *Answer, seed uint64) {
	total := uint64(w.cumulative[len(w.cumulative)-1])
	point := int64(seed % total)
	first, _ := slices.BinarySearch(w.cumulative, point+1)
	for i := range w.hosts {
		answer.add(w.hosts[(first+i)%len(w.hosts)])
	}
}

// addRotated adds hosts until the answer is full, beginning at the one that the seed selects.
func addRotated(answer *Answer, hosts []*fleet.Host, seed uint64) {
	for i := 0; i < len(hosts) && answer.Count < MaxHosts; i++ {
		answer.add(hosts[(seed+uint64(i))%uint64(len(hosts))])
	}
}
