// Package mark provides sets of marks that only grow. A mark withdraws a key or a
// release. Any host may add one without agreement, because a mark only reduces
// risk; it spreads from host to host and is recorded in the platform's table once
// the table answers.
package mark

import (
	"slices"

	"celerypin.example/celerypin/pkg/state/id"
)

// Set holds the marks that one host knows, those of them that are not known to be
// in the table, and the hosts that have confirmed each. It is not safe for
// concurrent use.
type Set[K comparable] struct {
	compare    func(a, b K) int
	marks      map[K]bool
	unrecorded map[K]bool
	confirmed  map[K]map[id.Host]bool
}

// New returns an empty set whose marks are sorted by compare.
func New[K comparable](compare func(a, b K) int) *Set[K] {
	return &Set[K]{compare: compare, marks: map[K]bool{}, unrecorded: map[K]bool{}, confirmed: map[K]map[id.Host]bool{}}
}

// Add adds marks and returns those that the set did not contain.
func (s *Set[K]) Add(marks []K) []K {
	var added []K
	for _, k := range marks {
		if s.marks[k] {
			continue
		}
		s.marks[k] = true
		s.unrecorded[k] = true
		s.confirmed[k] = map[id.Host]bool{}
		added = append(added, k)
	}
	return added
}

// Contains reports whether the set contains a mark.
func (s *Set[K]) Contains(k K) bool { return s.marks[k] }

// All returns all marks, sorted.
func (s *Set[K]) All() []K { return s.sorted(s.marks) }

// Unrecorded returns the marks that are not known to be in the table, sorted.
func (s *Set[K]) Unrecorded() []K { return s.sorted(s.unrecorded) }

// Recorded reports whether the set contains a mark that is known to be in the table.
func (s *Set[K]) Recorded(k K) bool { return s.marks[k] && !s.unrecorded[k] }

// UpdateRecorded drops the marks for which recorded returns true from the unrecorded
// ones.
func (s *Set[K]) UpdateRecorded(recorded func(K) bool) {
	for k := range s.unrecorded {
		if recorded(k) {
			delete(s.unrecorded, k)
		}
	}
}

// Confirm notes that a host holds the marks; it ignores marks that are not in the set.
func (s *Set[K]) Confirm(marks []K, h id.Host) {
	for _, k := range marks {
		if hosts := s.confirmed[k]; hosts != nil {
			hosts[h] = true
		}
	}
}

// Confirmed reports whether a host is known to hold a mark.
func (s *Set[K]) Confirmed(k K, h id.Host) bool { return s.confirmed[k][h] }

// Missing returns the marks that a host is not known to hold, sorted.
func (s *Set[K]) Missing(h id.Host) []K {
	missing := map[K]bool{}
	for k := range s.marks {
		if !s.confirmed[k][h] {
			missing[k] = true
		}
	}
	return s.sorted(missing)
}

// ResetHost drops the confirmations of a host that has restarted, because its new
// process may not hold the marks.
func (s *Set[K]) ResetHost(h id.Host) {
	for _, hosts := range s.confirmed {
		delete(hosts, h)
	}
}

func (s *Set[K]) sorted(set map[K]bool) []K {
	var out []K
	for k := range set {
		out = append(out, k)
	}
	slices.SortFunc(out, s.compare)
	return out
}
