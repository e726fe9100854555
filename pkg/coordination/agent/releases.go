package agent

import (
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// releaseState is this host's state of the releases in rollout.
type releaseState struct {
	evaluator *release.Evaluator
	// counts holds the counts of each incarnation of each host. Those of ended
	// incarnations stay, so that sums never decrease.
	counts map[hostIncarnation]map[release.RouteRelease]release.Counts
	// firstSeen holds when this host first saw each row at its current revision.
	firstSeen      map[id.Service]observation
	nextEvaluation clock.Instant
}

func newReleaseState() releaseState {
	return releaseState{
		evaluator: &release.Evaluator{}, counts: map[hostIncarnation]map[release.RouteRelease]release.Counts{}, firstSeen: map[id.Service]observation{},
	}
}

// evaluationInterval is the interval between two evaluations of the releases.
const evaluationInterval = 250 * time.Millisecond

// ReleaseCounts holds one host's counts for one release on one route.
type ReleaseCounts struct {
	RouteRelease release.RouteRelease
	Counts       release.Counts
}

// ownReleaseCounts returns this host's counts, sorted by service, release and route.
func (a *Agent) ownReleaseCounts() []ReleaseCounts {
	var out []ReleaseCounts
	for rr, counts := range a.view.Recorder.Counts() {
		out = append(out, ReleaseCounts{rr, counts})
	}
	slices.SortFunc(out, func(x, y ReleaseCounts) int {
		if c := release.Compare(release.ID{Service: x.RouteRelease.Service, Release: x.RouteRelease.Release}, release.ID{Service: y.RouteRelease.Service, Release: y.RouteRelease.Release}); c != 0 {
			return c
		}
		return compareRoutes(x.RouteRelease.Route, y.RouteRelease.Route)
	})
	return out
}

func compareRoutes(x, y id.Route) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}

// storeReleaseCounts stores the counts that an incarnation of a host reported.
func (a *Agent) storeReleaseCounts(h id.Host, inc id.Incarnation, counts []ReleaseCounts) {
	if len(counts) == 0 {
		return
	}
	incarnation := hostIncarnation{h, inc}
	if a.releases.counts[incarnation] == nil {
		a.releases.counts[incarnation] = map[release.RouteRelease]release.Counts{}
	}
	for _, c := range counts {
		a.releases.counts[incarnation][c.RouteRelease] = c.Counts
	}
}

// evaluateReleases evaluates the fleet's counts. The first host that detects a bad
// release withdraws it at once.
func (a *Agent) evaluateReleases(now clock.Instant) {
	rows := a.replica.Rows(table.ReleasePrefix)
	if len(rows) == 0 || now < a.releases.nextEvaluation {
		return
	}
	a.releases.nextEvaluation = now.Add(evaluationInterval)
	a.storeReleaseCounts(a.self.Host, a.self.Incarnation, a.ownReleaseCounts())
	sums := map[release.RouteRelease]release.Counts{}
	for _, counts := range a.releases.counts {
		for rr, c := range counts {
			sums[rr] = sums[rr].Add(c)
		}
	}
	a.releases.evaluator.Observe(now, sums)
	for _, row := range rows {
		a.evaluateRelease(now, row.Release)
	}
}

func (a *Agent) evaluateRelease(now clock.Instant, r *table.ReleaseChange) {
	candidate := release.ID{Service: r.Service, Release: r.New}
	if r.State == table.ReleaseRetreated || a.marks.releases.Contains(candidate) {
		return
	}
	reason, bad := a.releases.evaluator.Regressed(r.Service, r.Old, r.New)
	if !bad {
		return
	}
	a.retreat(now, candidate, reason)
}

func (a *Agent) retreat(now clock.Instant, r release.ID, reason string) {
	a.marks.reasons[r] = reason
	a.addMarks(Marks{Releases: []release.ID{r}})
	a.spreadMarksNow(now)
}

// Retreat takes a release back at an operator's request.
func (a *Agent) Retreat(now clock.Instant, r release.ID) Output {
	a.retreat(now, r, "withdrawn by an operator")
	return a.takeOutput()
}

// planReleases adds the due rollout steps of all releases to the transaction, and
// returns the releases that take one.
func (a *Agent) planReleases(now clock.Instant, txn *table.Txn) []string {
	var stepped []string
	for _, row := range a.replica.Rows(table.ReleasePrefix) {
		r := *row.Release
		seen, seenBefore := a.releases.firstSeen[r.Service]
		if !seenBefore || seen.revision != row.Revision {
			a.releases.firstSeen[r.Service] = observation{row.Revision, now}
			continue
		}
		if a.marks.releases.Contains(release.ID{Service: r.Service, Release: r.New}) {
			continue
		}
		progress := release.Progress{Elapsed: now.Sub(seen.since), Requests: a.releases.evaluator.Requests(r.Service, r.New, seen.since)}
		next, due := release.NextStep(r, progress)
		if !due {
			continue
		}
		a.addConditionalPut(txn, table.Row{Key: row.Key, Release: &next})
		stepped = append(stepped, string(r.Service)+" "+string(r.New))
	}
	return stepped
}

// publishSplits puts the committed shares of releases and the marks in force.
func (a *Agent) publishSplits() {
	var records []table.ReleaseChange
	for _, row := range a.replica.Rows(table.ReleasePrefix) {
		records = append(records, *row.Release)
	}
	a.view.Splits.Set(records, a.marks.releases.Contains)
}

func (a *Agent) applyRelease(row table.Row) {
	a.publishSplits()
	if row.Release == nil {
		return
	}
	a.record(timeline.ReleaseStepped, string(row.Release.Service)+" "+string(row.Release.New), string(row.Release.State))
}
