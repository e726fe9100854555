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

// releaseState is what this host knows of the releases under change.
type releaseState struct {
	judge *release.Evaluator
	// counts holds what each incarnation of each host has counted. Ended ones
	// stay, so that sums never go down.
	counts map[incarnationOf]map[release.Subject]release.Counts
	// since holds when this host first saw each row as it is.
	since map[id.Service]observation
	next  clock.Instant
}

func newReleaseState() releaseState {
	return releaseState{
		judge: &release.Evaluator{}, counts: map[incarnationOf]map[release.Subject]release.Counts{}, since: map[id.Service]observation{},
	}
}

// judgeInterval is the interval between two looks at the releases.
const judgeInterval = 250 * time.Millisecond

// Outcome is what one host counted of one release on one route.
type Outcome struct {
	Subject release.Subject
	Counts  release.Counts
}

// ownOutcomes returns this host's counts in a fixed order.
func (a *Agent) ownOutcomes() []Outcome {
	var out []Outcome
	for subject, counts := range a.view.Recorder.Counts() {
		out = append(out, Outcome{subject, counts})
	}
	slices.SortFunc(out, func(x, y Outcome) int {
		if c := release.Compare(release.ID{Service: x.Subject.Service, Release: x.Subject.Release}, release.ID{Service: y.Subject.Service, Release: y.Subject.Release}); c != 0 {
			return c
		}
		return compareRoutes(x.Subject.Route, y.Subject.Route)
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

// noteOutcomes keeps what a host has counted.
func (a *Agent) noteOutcomes(h id.Host, inc id.Incarnation, outcomes []Outcome) {
	if len(outcomes) == 0 {
		return
	}
	life := incarnationOf{h, inc}
	if a.releases.counts[life] == nil {
		a.releases.counts[life] = map[release.Subject]release.Counts{}
	}
	for _, o := range outcomes {
		a.releases.counts[life][o.Subject] = o.Counts
	}
}

// judgeReleases looks at the fleet's counts; a bad release is withdrawn at once,
// by whichever host sees it first.
func (a *Agent) judgeReleases(now clock.Instant) {
	rows := a.replica.Rows(table.ReleasePrefix)
	if len(rows) == 0 || now < a.releases.next {
		return
	}
	a.releases.next = now.Add(judgeInterval)
	a.noteOutcomes(a.self.Host, a.self.Incarnation, a.ownOutcomes())
	sums := map[release.Subject]release.Counts{}
	for _, counts := range a.releases.counts {
		for subject, c := range counts {
			sums[subject] = sums[subject].Add(c)
		}
	}
	a.releases.judge.Observe(now, sums)
	for _, row := range rows {
		a.judgeRelease(now, row.Release)
	}
}

func (a *Agent) judgeRelease(now clock.Instant, r *table.ReleaseChange) {
	this := release.ID{Service: r.Service, Release: r.New}
	if r.State == table.ReleaseRetreated || a.marks.releases.Contains(this) {
		return
	}
	reason, bad := a.releases.judge.Regressed(r.Service, r.Old, r.New)
	if !bad {
		return
	}
	a.retreat(now, this, reason)
}

func (a *Agent) retreat(now clock.Instant, r release.ID, reason string) {
	a.marks.reasons[r] = reason
	a.hold(Marks{Releases: []release.ID{r}})
	a.spreadAtOnce(now)
}

// Retreat takes a release back on an operator's word.
func (a *Agent) Retreat(now clock.Instant, r release.ID) Output {
	a.retreat(now, r, "withdrawn by an operator")
	return a.take()
}

// planReleases adds the due steps of all releases to the transaction.
func (a *Agent) planReleases(now clock.Instant, txn *table.Txn) []string {
	var grown []string
	for _, row := range a.replica.Rows(table.ReleasePrefix) {
		r := *row.Release
		seen, known := a.releases.since[r.Service]
		if !known || seen.revision != row.Revision {
			a.releases.since[r.Service] = observation{row.Revision, now}
			continue
		}
		if a.marks.releases.Contains(release.ID{Service: r.Service, Release: r.New}) {
			continue
		}
		progress := release.Progress{Elapsed: now.Sub(seen.since), Requests: a.releases.judge.Requests(r.Service, r.New, seen.since)}
		next, due := release.NextStep(r, progress)
		if !due {
			continue
		}
		a.addPut(txn, table.Row{Key: row.Key, Release: &next})
		grown = append(grown, string(r.Service)+" "+string(r.New))
	}
	return grown
}

// publishSplits puts the committed shares and the marks in force.
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
