// Package release moves the traffic of a service from one release of its
// upstreams to another: in committed steps with bounded shares, evaluated by the
// outcomes of requests, and with an immediate retreat if the new release is bad.
package release

import (
	"cmp"
	"sync/atomic"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
	"celerypin.example/celerypin/pkg/state/table"
)

// ID identifies a release of a service.
type ID struct {
	Service id.Service
	Release id.Release
}

// Compare orders releases by service, then by release.
func Compare(a, b ID) int {
	if c := cmp.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return cmp.Compare(a.Release, b.Release)
}

// Split is the division of a service's requests between two releases.
type Split struct {
	Old, New id.Release
	// Share is the new release's fraction of the requests.
	Share table.Milli
	// count is the number of requests that Next has divided; splits with the same new
	// release share it.
	count *atomic.Uint64
}

// Next returns the release for the next request. Of any n consecutive requests at
// this host the new release gets at most n times its share plus one. It takes no lock.
func (s Split) Next() id.Release { return s.nth(s.count.Add(1)) }

// Peek returns what Next would return now. It counts nothing.
func (s Split) Peek() id.Release { return s.nth(s.count.Load() + 1) }

// nth returns the release for the nth request.
func (s Split) nth(n uint64) id.Release {
	share := uint64(s.Share)
	if n*share/uint64(table.Whole) > (n-1)*share/uint64(table.Whole) {
		return s.New
	}
	return s.Old
}

// Splits holds the split of each service that has one. Set replaces the whole map,
// so that Get takes no lock.
type Splits struct {
	cell *rcu.Cell[map[id.Service]Split]
}

// NewSplits returns Splits without any service.
func NewSplits() *Splits { return &Splits{cell: rcu.New(map[id.Service]Split{})} }

// Get returns the split of a service, if it has one.
func (s *Splits) Get(service id.Service) (Split, bool) {
	split, ok := (*s.cell.Load())[service]
	return split, ok
}

// Set replaces all splits by those of the committed records. A new release that was
// retreated or is marked as bad gets no requests, regardless of its committed share.
func (s *Splits) Set(records []table.ReleaseChange, bad func(ID) bool) {
	s.cell.Update(func(old map[id.Service]Split) map[id.Service]Split {
		next := make(map[id.Service]Split, len(records))
		for _, r := range records {
			split := Split{Old: r.Old, New: r.New, Share: r.Share, count: &atomic.Uint64{}}
			if known, ok := old[r.Service]; ok && known.New == r.New {
				split.count = known.count
			}
			if r.State == table.ReleaseRetreated || bad(ID{r.Service, r.New}) {
				split.Share = 0
			}
			next[r.Service] = split
		}
		return next
	})
}
