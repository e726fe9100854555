// Package rollout moves a service to a new release in steps that all hosts
// agree on. Growing needs a committed record; taking back needs nobody: a host
// that finds a release bad stops sending to it at once.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/table"
)

// Order is an operator's order, with the version of the row that holds it.
type Order struct {
	Service id.Service
	To      id.Release
	Within  time.Duration
	Version mirror.Version
}

// Record is what hosts agree on about the releases of a service.
type Record struct {
	Service id.Service `json:"service"`
	// Current is the release that carries the service.
	Current id.Release `json:"current"`
	// Order is the version of the order that Change carries out.
	Order  mirror.Version      `json:"order"`
	Step   int                 `json:"step"`
	Change table.ReleaseChange `json:"change"`
	// Version is that of the row; it is the condition of the next write.
	Version mirror.Version `json:"-"`
}

// Write is a record to be committed if its row still has Version.
type Write struct {
	Record Record
	// Publish is set if operators are to be told of the state.
	Publish bool
}

// steps are the shares of a new release, in thousandths. Up to observed it gets
// less than the part that an unjudged release may get; faults that show only
// some seconds after the start show there.
var steps = []table.Milli{50, 90, 90, 90, 250, 500, 750, table.Whole}

const (
	observed = 3
	// stepsPart is the part of the given time that all steps take together.
	stepsPart = 0.62
	// leastSeen is the number of requests that a release must have had before it
	// gets more than the observed share.
	leastSeen = 25
	// patience is how many times longer a step may wait for them.
	patience = 2.5
	// holdPart is the part of failed requests from which a release gets no larger
	// share, whatever the old one shows.
	holdPart = 0.1
	// exposureMargin keeps the observed share below the bound.
	exposureMargin = 0.9
)

// Controller decides on the releases of all services. It is used by one goroutine.
type Controller struct {
	judge *release.Evaluator
	tally *tally
	bad   map[release.ID]string
	// since is when this host first saw the current step of a service.
	since map[id.Service]seen
	cap   table.Milli
}

type seen struct {
	order mirror.Version
	step  int
	at    clock.Instant
}

// New returns a keeper that gives an unjudged release at most a part of the requests.
func New(exposure float64) *Controller {
	return &Controller{
		judge: &release.Evaluator{}, tally: newTally(), bad: map[release.ID]string{}, since: map[id.Service]seen{},
		cap: table.Milli(exposure * exposureMargin * float64(table.Whole)),
	}
}

// Input is what a step of the keeper goes by.
type Input struct {
	Orders  []Order
	Records map[id.Service]Record
	// Releases returns the number of upstreams of each release of a service.
	Releases func(id.Service) map[id.Release]int
	// Leader tells whether this host writes.
	Leader bool
}

// AddOutcomes takes the outcomes that a host has counted.
func (k *Controller) AddOutcomes(host id.Host, inc id.Incarnation, outcomes map[release.Subject]release.Counts) {
	k.tally.hear(host, inc, outcomes)
}

// MarkBad takes another host's word that a release is bad.
func (k *Controller) MarkBad(r release.ID) {
	if k.bad[r] == "" {
		k.bad[r] = "another host found it bad"
	}
}

// Bad returns the releases that are taken to be bad.
func (k *Controller) Bad() []release.ID {
	out := make([]release.ID, 0, len(k.bad))
	for r := range k.bad {
		out = append(out, r)
	}
	slices.SortFunc(out, release.Compare)
	return out
}

// IsBad tells whether a release is taken to be bad.
func (k *Controller) IsBad(r release.ID) bool { return k.bad[r] != "" }

// Step returns the writes that are due.
func (k *Controller) Step(in Input, now clock.Instant) []Write {
	k.judge.Observe(now, k.tally.counts())
	var writes []Write
	for _, o := range in.Orders {
		if w, due := k.stepOrder(o, in, now); due && in.Leader {
			writes = append(writes, w)
		}
	}
	return writes
}

func (k *Controller) stepOrder(o Order, in Input, now clock.Instant) (Write, bool) {
	r, known := in.Records[o.Service]
	if !known || r.Order != o.Version {
		return k.begin(o, r, known, in.Releases(o.Service))
	}
	if r.Change.State != table.ReleaseGrowing {
		return Write{}, false
	}
	change := release.ID{Service: o.Service, Release: r.Change.New}
	if reason, bad := k.judge.Regressed(o.Service, r.Change.Old, r.Change.New); bad && k.bad[change] == "" {
		k.bad[change] = reason
	}
	if reason := k.bad[change]; reason != "" {
		r.Change.State, r.Change.Share, r.Change.Reason = table.ReleaseRetreated, 0, reason
		return Write{Record: r, Publish: true}, true
	}
	return k.advance(o, r, now)
}

// begin starts to carry out an order.
func (k *Controller) begin(o Order, r Record, known bool, releases map[id.Release]int) (Write, bool) {
	current := r.Current
	if !known {
		if current = MostDeployed(releases, o.To); current == "" {
			return Write{}, false
		}
	}
	next := Record{Service: o.Service, Current: current, Order: o.Version, Version: r.Version, Change: table.ReleaseChange{
		Service: o.Service, Old: current, New: o.To, Share: k.share(0), State: table.ReleaseGrowing, Deadline: config.Duration(o.Within),
	}}
	if current == o.To {
		next.Change.State, next.Change.Share = table.ReleaseDone, table.Whole
	}
	return Write{Record: next, Publish: true}, true
}

func (k *Controller) share(step int) table.Milli {
	if step <= observed {
		return min(steps[step], k.cap)
	}
	return steps[step]
}

// advance goes on to the next step if the current one has lasted long enough.
func (k *Controller) advance(o Order, r Record, now clock.Instant) (Write, bool) {
	s := k.since[o.Service]
	if s.order != r.Order || s.step != r.Step {
		k.since[o.Service] = seen{r.Order, r.Step, now}
		return Write{}, false
	}
	stepTime := time.Duration(float64(o.Within) * stepsPart / float64(len(steps)))
	lasted := now.Sub(s.at)
	if lasted < stepTime {
		return Write{}, false
	}
	if r.Step >= observed && k.tally.requests(o.Service, r.Change.New) < leastSeen && lasted < time.Duration(patience*float64(stepTime)) {
		return Write{}, false
	}
	if r.Step >= observed && k.tally.failing(o.Service, r.Change.New) > holdPart {
		return Write{}, false
	}
	if r.Step++; r.Step >= len(steps) {
		r.Step = len(steps) - 1
		r.Change.State, r.Current = table.ReleaseDone, r.Change.New
		return Write{Record: r, Publish: true}, true
	}
	r.Change.Share = k.share(r.Step)
	return Write{Record: r}, true
}

// MostDeployed returns the release with the most upstreams, other than one that is
// not approved yet if there is another.
func MostDeployed(releases map[id.Release]int, unapproved id.Release) id.Release {
	names := make([]id.Release, 0, len(releases))
	for name := range releases {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b id.Release) int {
		if a == unapproved || b == unapproved {
			return cmp.Compare(boolToInt(a == unapproved), boolToInt(b == unapproved))
		}
		if c := cmp.Compare(releases[b], releases[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
