// Package mark provides sets of marks that only grow. A mark takes risk away:
// it withdraws a key or a release. Any host may raise one by itself; it spreads
// from host to host and is recorded in the platform's table when that answers.
package mark

import (
	"slices"

	"celerypin.example/celerypin/pkg/state/id"
)

// Set holds the marks that one host knows, which of them the table is not known
// to hold, and which hosts have confirmed them. It is not safe for concurrent use.
type Set[K comparable] struct {
	compare    func(a, b K) int
	held       map[K]bool
	unrecorded map[K]bool
	confirmed  map[K]map[id.Host]bool
}

// New returns an empty set whose marks are ordered by compare.
func New[K comparable](compare func(a, b K) int) *Set[K] {
	return &Set[K]{compare: compare, held: map[K]bool{}, unrecorded: map[K]bool{}, confirmed: map[K]map[id.Host]bool{}}
}

// Add adds marks and returns those that were new.
func (s *Set[K]) Add(marks []K) []K {
	var fresh []K
	for _, k := range marks {
		if s.held[k] {
			continue
		}
		s.held[k] = true
		s.unrecorded[k] = true
		s.confirmed[k] = map[id.Host]bool{}
		fresh = append(fresh, k)
	}
	return fresh
}

// Contains tells whether a mark is held.
func (s *Set[K]) Contains(k K) bool { return s.held[k] }

// All returns all marks in order.
func (s *Set[K]) All() []K { return s.ordered(s.held) }

// Unrecorded returns the marks that the table is not known to hold, in order.
func (s *Set[K]) Unrecorded() []K { return s.ordered(s.unrecorded) }

// Recorded tells whether a mark is held and known to be in the table.
func (s *Set[K]) Recorded(k K) bool { return s.held[k] && !s.unrecorded[k] }

// UpdateRecorded drops the marks from the unrecorded ones for which recorded returns true.
func (s *Set[K]) UpdateRecorded(recorded func(K) bool) {
	for k := range s.unrecorded {
		if recorded(k) {
			delete(s.unrecorded, k)
		}
	}
}

// Confirm notes that a host holds the marks.
func (s *Set[K]) Confirm(marks []K, h id.Host) {
	for _, k := range marks {
		if hosts := s.confirmed[k]; hosts != nil {
			hosts[h] = true
		}
	}
}

// Confirmed tells whether a host is known to hold a mark.
func (s *Set[K]) Confirmed(k K, h id.Host) bool { return s.confirmed[k][h] }

// Missing returns the marks that a host is not known to hold, in order.
func (s *Set[K]) Missing(h id.Host) []K {
	missing := map[K]bool{}
	for k := range s.held {
		if !s.confirmed[k][h] {
			missing[k] = true
		}
	}
	return s.ordered(missing)
}

// ResetHost drops the confirmations of a host that has started anew.
func (s *Set[K]) ResetHost(h id.Host) {
	for _, hosts := range s.confirmed {
		delete(hosts, h)
	}
}

func (s *Set[K]) ordered(set map[K]bool) []K {
	var out []K
	for k := range set {
		out = append(out, k)
	}
	slices.SortFunc(out, s.compare)
	return out
}
