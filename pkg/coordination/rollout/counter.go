package rollout

import (
	"maps"
	"math"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/id"
)

// counter sums the request counts of all hosts. The totals never fall, although the
// counts of a host start at zero again when it restarts.
type counter struct {
	// hosts holds the last counts of the latest incarnations of each host, the latest last.
	hosts  map[id.Host][]*hostCounts
	totals map[release.RouteRelease]release.Counts
}

type hostCounts struct {
	incarnation id.Incarnation
	counts      map[release.RouteRelease]release.Counts
}

func newCounter() *counter {
	return &counter{hosts: map[id.Host][]*hostCounts{}, totals: map[release.RouteRelease]release.Counts{}}
}

// add takes the counts of a host since its start.
func (ctr *counter) add(host id.Host, inc id.Incarnation, counts map[release.RouteRelease]release.Counts) {
	if len(counts) == 0 {
		// Reports without counts carry no incarnation.
		return
	}
	last := ctr.incarnation(host, inc)
	for rr, c := range counts {
		previous := last.counts[rr]
		if !c.Covers(previous) {
			// Counts of one incarnation only grow, so this report is an older one.
			continue
		}
		ctr.totals[rr] = ctr.totals[rr].Add(c.Sub(previous))
		last.counts[rr] = c
	}
}

// maxIncarnations is the number of incarnations of a host whose counts are kept. Reports
// are late by seconds at most, and no host restarts that often in them.
const maxIncarnations = 4

// incarnation returns the counts of an incarnation of a host. Those of earlier ones stay
// known, because a hub may relay an earlier report later.
func (ctr *counter) incarnation(host id.Host, inc id.Incarnation) *hostCounts {
	known := ctr.hosts[host]
	for _, h := range known {
		if h.incarnation == inc {
			return h
		}
	}
	h := &hostCounts{incarnation: inc, counts: map[release.RouteRelease]release.Counts{}}
	ctr.hosts[host] = append(known[max(len(known)-maxIncarnations+1, 0):], h)
	return h
}

func (ctr *counter) counts() map[release.RouteRelease]release.Counts { return maps.Clone(ctr.totals) }

// sum returns the counts of a release on all routes.
func (ctr *counter) sum(service id.Service, r id.Release) release.Counts {
	sum := release.Counts{}
	for rr, c := range ctr.totals {
		if rr.Service == service && rr.Release == r {
			sum = sum.Add(c)
		}
	}
	return sum
}

// failureRatio returns the ratio of a release's requests that failed, or were rejected beyond
// the ratio of the old release, on the route with the highest ratio; it is 0 without a route of
// minRouteRequests.
func (ctr *counter) failureRatio(service id.Service, old, r id.Release) float64 {
	highest := 0.0
	for rr, c := range ctr.totals {
		if rr.Service == service && rr.Release == r && c.Requests >= minRouteRequests {
			before := ctr.totals[release.RouteRelease{Service: service, Release: old, Route: rr.Route}]
			usual := float64(before.Rejected) / float64(max(before.Requests, 1))
			n := float64(c.Requests)
			// The first requests of a release deviate from the old one's ratio by chance.
			usual += rejectionDeviations * math.Sqrt(usual*(1-usual)/n)
			highest = max(highest, float64(c.Failed)/n+max(float64(c.Rejected)/n-usual, 0))
		}
	}
	return highest
}

// rejectionDeviations is the number of standard deviations by which a release's ratio of
// rejected requests may exceed the old one's.
const rejectionDeviations = 2

// minRouteRequests is the number of requests from which a route's failure ratio is
// meaningful.
const minRouteRequests = 10
