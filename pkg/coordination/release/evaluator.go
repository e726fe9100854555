package release

import (
	"fmt"
	"math"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Evaluator compares a new release with the old one over the same time, for each
// route separately. It compares the counts of the whole fleet over several windows,
// so that it detects a release that is bad at once as well as one that turns bad
// later. It is not safe for concurrent use.
type Evaluator struct {
	// snapshots are ordered by time.
	snapshots []snapshot
}

// snapshot holds the fleet's counts at an instant. Counts never decrease from one
// snapshot to the next.
type snapshot struct {
	at     clock.Instant
	counts map[RouteRelease]Counts
}

const (
	// snapshotInterval is the minimum interval between two snapshots.
	snapshotInterval = 500 * time.Millisecond
	// maxWindow is the age at which snapshots are dropped.
	maxWindow = 30 * time.Second
)

// windows are the spans before the last snapshot over which releases are compared.
var windows = []time.Duration{2 * time.Second, 8 * time.Second, maxWindow}

// Bounds of the comparison.
const (
	// maxScore is the score above which the new release counts as worse: the number
	// of standard deviations by which its proportion of bad requests exceeds that of
	// the old one. It is high because a release is evaluated many times, over several
	// windows and routes.
	maxScore = 4.5
	// minDifference is the smallest difference of the proportions that counts.
	minDifference = 0.05
	// minBadRequests is the smallest number of bad requests of the new release that
	// counts.
	minBadRequests = 4
	// minTurnedAway is the smallest number of requests turned away by the new release that
	// counts, minTurnedAwayDifference the difference to the old one's proportion.
	minTurnedAway           = 20
	minTurnedAwayDifference = 0.7
	// minBaselineProportion is the smallest proportion of bad requests assumed for
	// the old release.
	minBaselineProportion = 0.005
	// minBaselineRequests is the number of requests of the old release in a window
	// below which all its counts in the last snapshot serve as the baseline.
	minBaselineRequests = 50
	// minStepRequests is the number of requests of the new release from which a step
	// counts as evaluated.
	minStepRequests = 30
)

// Observe adds a snapshot of the fleet's counts at now, unless the last one is newer
// than snapshotInterval, and drops the snapshots older than maxWindow.
func (e *Evaluator) Observe(now clock.Instant, counts map[RouteRelease]Counts) {
	if n := len(e.snapshots); n > 0 && now.Sub(e.snapshots[n-1].at) < snapshotInterval {
		return
	}
	e.snapshots = append(e.snapshots, snapshot{now, counts})
	for len(e.snapshots) > 1 && now.Sub(e.snapshots[0].at) > maxWindow {
		e.snapshots = e.snapshots[1:]
	}
}

// Regressed reports whether the release next of a service is worse than the release
// old on a route in a window, and why.
func (e *Evaluator) Regressed(service id.Service, old, next id.Release) (reason string, regressed bool) {
	if len(e.snapshots) < 2 {
		return "", false
	}
	last := e.snapshots[len(e.snapshots)-1]
	for _, window := range windows {
		first := e.snapshotAt(last.at.Add(-window))
		for routeRelease, counts := range last.counts {
			if routeRelease.Service != service || routeRelease.Release != next {
				continue
			}
			oldRouteRelease := RouteRelease{service, old, routeRelease.Route}
			nextCounts := counts.Sub(first.counts[routeRelease])
			baseline := last.counts[oldRouteRelease].Sub(first.counts[oldRouteRelease])
			if baseline.Requests < minBaselineRequests {
				baseline = last.counts[oldRouteRelease]
			}
			if detail, worse := compareCounts(nextCounts, baseline); worse {
				return fmt.Sprintf("route %s, %v: %s", routeRelease.Route, window, detail), true
			}
		}
	}
	return "", false
}

// snapshotAt returns the latest snapshot that is not after t, or the first one.
func (e *Evaluator) snapshotAt(t clock.Instant) snapshot {
	found := e.snapshots[0]
	for _, s := range e.snapshots {
		if s.at <= t {
			found = s
		}
	}
	return found
}

// compareCounts reports whether the new release fails more often or is slow more often
// than the baseline, and describes the difference.
func compareCounts(nextCounts, baseline Counts) (string, bool) {
	if clearlyWorse(nextCounts.Failed, nextCounts.Requests, baseline.Failed, baseline.Requests) {
		return fmt.Sprintf("%d of %d failed, of the old release %d of %d", nextCounts.Failed, nextCounts.Requests, baseline.Failed, baseline.Requests), true
	}
	// A client's mistake is rejected by both releases.
	unsuccessful, baselineUnsuccessful := nextCounts.Failed+nextCounts.Rejected, baseline.Failed+baseline.Rejected
	if clearlyWorse(unsuccessful, nextCounts.Requests, baselineUnsuccessful, baseline.Requests) {
		return fmt.Sprintf("%d of %d had no success, of the old release %d of %d", unsuccessful, nextCounts.Requests, baselineUnsuccessful, baseline.Requests), true
	}
	if clearlyWorse(nextCounts.Slow, nextCounts.Requests, baseline.Slow, baseline.Requests) {
		return fmt.Sprintf("%d of %d were slow, of the old release %d of %d", nextCounts.Slow, nextCounts.Requests, baseline.Slow, baseline.Requests), true
	}
	return "", false
}

// clearlyWorse reports whether the proportion bad/n of bad requests is significantly
// above that of the baseline, baselineBad/baselineN.
func clearlyWorse(bad, n, baselineBad, baselineN uint64) bool {
	// Recorder.Counts reads one counter after the other, so bad may exceed n.
	if bad < minBadRequests || bad > n {
		return false
	}
	baseline := max(float64(baselineBad+1)/float64(baselineN+2), minBaselineProportion)
	samples := 1 / float64(n)
	if baselineN == 0 {
		baseline = minBaselineProportion
	} else {
		// Once the new release has most of the requests, the old one's proportion is the less
		// certain of the two.
		samples += 1 / float64(baselineN)
	}
	proportion := float64(bad) / float64(n)
	if proportion-baseline < minDifference {
		return false
	}
	deviation := math.Sqrt(baseline * (1 - baseline) * samples)
	return (proportion-baseline)/deviation > maxScore
}

// TurnsAway reports whether the release next of a service turns most requests away, unlike the
// release old. It holds for small shares of next only: under load, a release with much of the
// traffic turns requests away that the other one would not get.
func (e *Evaluator) TurnsAway(service id.Service, old, next id.Release) (reason string, turnsAway bool) {
	if len(e.snapshots) < 2 {
		return "", false
	}
	first, last := e.snapshots[0], e.snapshots[len(e.snapshots)-1]
	total := func(r id.Release) (sum Counts) {
		for rr, c := range last.counts {
			if rr.Service == service && rr.Release == r {
				sum = sum.Add(c.Sub(first.counts[rr]))
			}
		}
		return sum
	}
	proportion := func(c Counts) float64 { return float64(c.TurnedAway) / float64(max(c.TurnedAway+c.Requests, 1)) }
	n, b := total(next), total(old)
	if n.TurnedAway < minTurnedAway || proportion(n)-proportion(b) < minTurnedAwayDifference {
		return "", false
	}
	return fmt.Sprintf("%d of %d were turned away, of the old release %d of %d", n.TurnedAway, n.TurnedAway+n.Requests, b.TurnedAway, b.TurnedAway+b.Requests), true
}

// Requests returns the number of requests of the release next since an instant, on
// all routes, as far as the snapshots reach back.
func (e *Evaluator) Requests(service id.Service, next id.Release, since clock.Instant) uint64 {
	if len(e.snapshots) == 0 {
		return 0
	}
	first, last := e.snapshotAt(since), e.snapshots[len(e.snapshots)-1]
	sum := uint64(0)
	for routeRelease, counts := range last.counts {
		if routeRelease.Service == service && routeRelease.Release == next {
			sum += counts.Requests - first.counts[routeRelease].Requests
		}
	}
	return sum
}
