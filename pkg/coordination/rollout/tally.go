package rollout

import (
	"maps"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/id"
)

// tally sums the outcomes of all hosts. The sums never fall, although a host's
// own counts begin anew when it restarts.
type tally struct {
	hosts map[id.Host]*last
	sums  map[release.Subject]release.Counts
}

type last struct {
	incarnation id.Incarnation
	counts      map[release.Subject]release.Counts
}

func newTally() *tally {
	return &tally{hosts: map[id.Host]*last{}, sums: map[release.Subject]release.Counts{}}
}

func (t *tally) hear(host id.Host, inc id.Incarnation, counts map[release.Subject]release.Counts) {
	if len(counts) == 0 {
		// A host's incarnation is not told without outcomes.
		return
	}
	l := t.hosts[host]
	if l == nil || l.incarnation != inc {
		l = &last{incarnation: inc, counts: map[release.Subject]release.Counts{}}
		t.hosts[host] = l
	}
	for subject, c := range counts {
		before := l.counts[subject]
		if c.Requests < before.Requests || c.Failed < before.Failed || c.Slow < before.Slow {
			continue
		}
		t.sums[subject] = t.sums[subject].Add(c.Sub(before))
		l.counts[subject] = c
	}
}

func (t *tally) counts() map[release.Subject]release.Counts { return maps.Clone(t.sums) }

// requests returns the requests that a release has had on all routes.
func (t *tally) requests(service id.Service, r id.Release) uint64 {
	sum := uint64(0)
	for subject, c := range t.sums {
		if subject.Service == service && subject.Release == r {
			sum += c.Requests
		}
	}
	return sum
}

// failing returns the part of a release's requests that failed, on the route
// where it is the highest.
func (t *tally) failing(service id.Service, r id.Release) float64 {
	most := 0.0
	for subject, c := range t.sums {
		if subject.Service == service && subject.Release == r && c.Requests >= leastJudged {
			most = max(most, float64(c.Failed)/float64(c.Requests))
		}
	}
	return most
}

// leastJudged is the number of requests from which a route's failures say something.
const leastJudged = 10
