// Package block maps blocks of client addresses to regions.
package block

import (
	"net/netip"
	"sort"

	"celerypin.example/celerypin/pkg/state/id"
)

// Entry assigns the clients of one address block to a region.
type Entry struct {
	Prefix netip.Prefix `json:"prefix"`
	Region id.Region    `json:"region"`
}

// Table finds the region of a client by the longest matching prefix. It is
// immutable after New and safe for concurrent use.
type Table struct {
	lengths []int
	regions map[netip.Prefix]id.Region
}

// New builds a table from entries.
func New(entries []Entry) Table {
	t := Table{regions: make(map[netip.Prefix]id.Region, len(entries))}
	used := map[int]bool{}
	for _, e := range entries {
		p := e.Prefix.Masked()
		t.regions[p] = e.Region
		used[p.Bits()] = true
	}
	for bits := range used {
		t.lengths = append(t.lengths, bits)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(t.lengths)))
	return t
}

// Region returns the region of the most specific block that contains addr.
func (t Table) Region(addr netip.Addr) (id.Region, bool) {
	for _, bits := range t.lengths {
		p, err := addr.Prefix(bits)
		if err != nil {
			continue
		}
		if r, ok := t.regions[p]; ok {
			return r, true
		}
	}
	return "", false
}
