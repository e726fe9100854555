package release

import (
	"fmt"
	"math"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Evaluator compares a new release with the old one at the same time, for each
// route on its own. It is fed with the fleet's counts and looks at several
// spans, so that it sees what is bad at once as well as what turns bad later.
// It is not safe for concurrent use.
type Evaluator struct {
	snapshots []snapshot
}

type snapshot struct {
	at     clock.Instant
	counts map[Subject]Counts
}

// Spans and intervals of judging.
const (
	snapshotInterval = 500 * time.Millisecond
	longestSpan      = 30 * time.Second
)

var spans = []time.Duration{2 * time.Second, 8 * time.Second, longestSpan}

// Bounds of the comparison. The score is how many standard deviations of the
// old release's proportion the new one lies above it. A release is looked at
// many times on several spans and routes, hence the high limit.
const (
	scoreLimit = 4.5
	// leastGap is the least difference of the proportions that matters.
	leastGap = 0.05
	// leastBad is the least number of bad requests that condemns a release.
	leastBad = 4
	// leastProportion is the least proportion that the old release is taken to have.
	leastProportion = 0.005
	// leastUsual is the number of requests of the old release in a span below
	// which all that is known of it serves for the comparison.
	leastUsual = 50
	// leastFair is the number of requests of the new release from which a step
	// counts as judged.
	leastFair = 30
)

// Observe takes the fleet's counts at now.
func (j *Evaluator) Observe(now clock.Instant, counts map[Subject]Counts) {
	if n := len(j.snapshots); n > 0 && now.Sub(j.snapshots[n-1].at) < snapshotInterval {
		return
	}
	j.snapshots = append(j.snapshots, snapshot{now, counts})
	for len(j.snapshots) > 1 && now.Sub(j.snapshots[0].at) > longestSpan {
		j.snapshots = j.snapshots[1:]
	}
}

// Regressed tells whether the new release of a service is bad, and why.
func (j *Evaluator) Regressed(service id.Service, old, next id.Release) (reason string, bad bool) {
	if len(j.snapshots) < 2 {
		return "", false
	}
	last := j.snapshots[len(j.snapshots)-1]
	for _, span := range spans {
		first := j.at(last.at.Add(-span))
		for subject, counts := range last.counts {
			if subject.Service != service || subject.Release != next {
				continue
			}
			before := Subject{service, old, subject.Route}
			gained := counts.Sub(first.counts[subject])
			usual := last.counts[before].Sub(first.counts[before])
			if usual.Requests < leastUsual {
				usual = last.counts[before]
			}
			if what, worse := compare(gained, usual); worse {
				return fmt.Sprintf("route %s, %v: %s", subject.Route, span, what), true
			}
		}
	}
	return "", false
}

// at returns the latest snapshot that is not after t, or the first one.
func (j *Evaluator) at(t clock.Instant) snapshot {
	found := j.snapshots[0]
	for _, s := range j.snapshots {
		if s.at <= t {
			found = s
		}
	}
	return found
}

func compare(gained, usual Counts) (string, bool) {
	if worse(gained.Failed, gained.Requests, usual.Failed, usual.Requests) {
		return fmt.Sprintf("%d of %d failed, of the old release %d of %d", gained.Failed, gained.Requests, usual.Failed, usual.Requests), true
	}
	if worse(gained.Slow, gained.Requests, usual.Slow, usual.Requests) {
		return fmt.Sprintf("%d of %d were slow, of the old release %d of %d", gained.Slow, gained.Requests, usual.Slow, usual.Requests), true
	}
	return "", false
}

// worse tells whether a proportion is clearly above the usual one.
func worse(bad, n, usualBad, usualN uint64) bool {
	if bad < leastBad || bad > n {
		return false
	}
	usual := max(float64(usualBad+1)/float64(usualN+2), leastProportion)
	if usualN == 0 {
		usual = leastProportion
	}
	proportion := float64(bad) / float64(n)
	if proportion-usual < leastGap {
		return false
	}
	deviation := math.Sqrt(usual * (1 - usual) / float64(n))
	return (proportion-usual)/deviation > scoreLimit
}

// Requests returns how many requests the new release has had since an instant.
func (j *Evaluator) Requests(service id.Service, next id.Release, since clock.Instant) uint64 {
	if len(j.snapshots) == 0 {
		return 0
	}
	first, last := j.at(since), j.snapshots[len(j.snapshots)-1]
	sum := uint64(0)
	for subject, counts := range last.counts {
		if subject.Service == service && subject.Release == next {
			sum += counts.Requests - first.counts[subject].Requests
		}
	}
	return sum
}
