// Package rollout moves a service to a new release in steps that all hosts
// agree on. Raising the share of a release needs a committed record. A retreat
// needs no agreement: a host that finds a release bad stops sending to it at once.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/table"
)

// Order is an operator's order to roll out a release, with the version of the row
// that holds it.
type Order struct {
	Service id.Service
	To      id.Release
	// Within is the time in which a good release should serve all traffic.
	Within  time.Duration
	Version mirror.Version
}

// Record is the agreed state of the releases of a service.
type Record struct {
	Service id.Service `json:"service"`
	// Current is the release that serves the traffic outside a rollout.
	Current id.Release `json:"current"`
	// OrderVersion is the version of the order that Change executes.
	OrderVersion mirror.Version `json:"-"`
	// Revision counts the writes of the record. It shows which of two records is the later
	// one where the store has lost some.
	Revision uint64              `json:"revision,omitempty"`
	Step     int                 `json:"step"`
	Change   table.ReleaseChange `json:"change"`
	// Version is the version of the row, which the next write requires.
	Version mirror.Version `json:"-"`
}

// executes reports whether the record is that of an order. An order that the store has lost
// with an era, and that the operator has written again, is the same order.
func (r *Record) executes(o Order) bool {
	return r.OrderVersion == o.Version ||
		!r.isBaseline() && r.OrderVersion.Era < o.Version.Era && r.Change.New == o.To && r.Change.Deadline == config.Duration(o.Within)
}

// Behind reports whether the record is earlier than last, which was read in an earlier era.
// A change that has ended does not begin again because the store has lost its end.
func (r *Record) Behind(last *Record) bool {
	sameChange := r.Change.New == last.Change.New && r.Change.Old == last.Change.Old && r.Change.Deadline == last.Change.Deadline
	if sameChange && last.Change.State != table.ReleaseGrowing {
		return r.Change.State == table.ReleaseGrowing
	}
	return r.Revision < last.Revision
}

// isBaseline reports whether the record only states which release carries the service.
func (r *Record) isBaseline() bool { return r.Current != "" && r.OrderVersion.IsZero() }

// ErrInvalid means that a record cannot have been written by a Controller.
var ErrInvalid = errors.New("invalid rollout record")

// Validate returns an error that names the field if the record cannot have been written
// by a Controller. Rows are written by other hosts, some with other versions of this
// program.
func (r *Record) Validate() error {
	invalid := func(field string, got any) error {
		return fmt.Errorf("%w: service %.100q: field %s: got %.100s", ErrInvalid, r.Service, field, fmt.Sprint(got))
	}
	switch {
	case r.Service == "":
		return invalid("service", r.Service)
	case r.Current == "":
		return invalid("current", r.Current)
	case r.Step < 0 || r.Step >= len(stepShares):
		return invalid("step", r.Step)
	case r.Change.Service != r.Service:
		return invalid("change.service", r.Change.Service)
	case r.Change.New == "":
		return invalid("change.new", r.Change.New)
	case r.Change.Share < 0 || r.Change.Share > table.Whole:
		return invalid("change.share", r.Change.Share)
	case r.Change.State != table.ReleaseGrowing && r.Change.State != table.ReleaseDone && r.Change.State != table.ReleaseRetreated:
		return invalid("change.state", r.Change.State)
	}
	return nil
}

// Write is a record to be committed if its row still has Version.
type Write struct {
	Record Record
	// Publish is set if the state of the change is also to be reported to operators.
	Publish bool
}

// stepShares are the shares of a new release, by step. Up to lastLimitedStep they stay
// below the exposure limit of an unproven release, so that faults that appear only
// some seconds after the start appear at a small share.
var stepShares = []table.Milli{50, 90, 90, 90, 250, 500, 750, table.Whole}

const (
	// lastLimitedStep is the index of the last step with a share below the exposure limit.
	lastLimitedStep = 3
	// stepsTimeFraction is the fraction of the order's time that all steps take together.
	stepsTimeFraction = 0.62
	// minRequests is the number of requests that a release must have served before
	// its share exceeds that of lastLimitedStep.
	minRequests = 25
	// maxStepFactor bounds the wait for minRequests, in multiples of the step duration.
	maxStepFactor = 2.5
	// maxFailureRatio is the ratio of failed requests above which the share of a
	// release is not raised, whatever the ratio of the old release.
	maxFailureRatio = 0.1
	// exposureMargin keeps the shares up to lastLimitedStep below the exposure limit.
	exposureMargin = 0.9
)

// Controller decides on the releases of all services. It is used by one goroutine.
type Controller struct {
	evaluator *release.Evaluator
	counter   *counter
	// bad holds the reason for each release that is known to be bad.
	bad map[release.ID]string
	// stepStarts records when this host first saw the current step of each service.
	stepStarts map[id.Service]stepStart
	// maxExposure is the largest share up to lastLimitedStep.
	maxExposure table.Milli
}

type stepStart struct {
	orderVersion mirror.Version
	step         int
	at           clock.Instant
}

// New returns a controller that limits an unproven release to the fraction exposure
// of the requests.
func New(exposure float64) *Controller {
	return &Controller{
		evaluator: &release.Evaluator{}, counter: newCounter(), bad: map[release.ID]string{}, stepStarts: map[id.Service]stepStart{},
		maxExposure: table.Milli(exposure * exposureMargin * float64(table.Whole)),
	}
}

// Input is the state that Decide evaluates.
type Input struct {
	Orders  []Order
	Records map[id.Service]Record
	// Approved holds the release that carries each service outside a rollout, as Approved
	// returns it.
	Approved map[id.Service]id.Release
	// Complete is set if all upstreams are listed. Entries of upstreams that run may be missing
	// for a while after an outage of the store.
	Complete bool
	// Leader is set if this host writes the records.
	Leader bool
}

// AddCounts takes the request counts of a host since it started.
func (c *Controller) AddCounts(host id.Host, inc id.Incarnation, counts map[release.RouteRelease]release.Counts) {
	c.counter.add(host, inc, counts)
}

// MarkBad notes that another host has found a release bad. A reason that is already
// known stays.
func (c *Controller) MarkBad(r release.ID) {
	if c.bad[r] == "" {
		c.bad[r] = "another host found it bad"
	}
}

// Counts returns the counts of a release on all routes, as reported by all hosts.
func (c *Controller) Counts(service id.Service, r id.Release) release.Counts {
	return c.counter.sum(service, r)
}

// Bad returns the releases that are known to be bad, sorted.
func (c *Controller) Bad() []release.ID {
	out := make([]release.ID, 0, len(c.bad))
	for r := range c.bad {
		out = append(out, r)
	}
	slices.SortFunc(out, release.Compare)
	return out
}

// IsBad reports whether a release is known to be bad.
func (c *Controller) IsBad(r release.ID) bool { return c.bad[r] != "" }

// Decide evaluates the releases of all orders and returns the writes that are due. A
// host that is not the leader gets no writes, but finds bad releases too.
func (c *Controller) Decide(in Input, now clock.Instant) []Write {
	c.evaluator.Observe(now, c.counter.counts())
	var writes []Write
	for _, o := range in.Orders {
		if w, due := c.decideOrder(o, in, now); due && in.Leader {
			w.Record.Revision++
			writes = append(writes, w)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(in.Approved)) {
		if w, due := baseline(service, in); due && in.Leader {
			w.Record.Revision++
			writes = append(writes, w)
		}
	}
	return writes
}

// baseline returns the record of the release that carries a service which has no order.
// Hosts that start later have not seen which release was there first.
func baseline(service id.Service, in Input) (Write, bool) {
	r, approved := in.Records[service], in.Approved[service]
	ordered := slices.ContainsFunc(in.Orders, func(o Order) bool { return o.Service == service })
	if ordered || !in.Complete || approved == "" || approved == r.Current || (r.Current != "" && !r.isBaseline()) {
		return Write{}, false
	}
	return Write{Record: Record{
		Service: service, Current: approved, Revision: r.Revision, Version: r.Version,
		Change: table.ReleaseChange{Service: service, Old: approved, New: approved, Share: table.Whole, State: table.ReleaseDone},
	}}, true
}

func (c *Controller) decideOrder(o Order, in Input, now clock.Instant) (Write, bool) {
	r, hasRecord := in.Records[o.Service]
	// A record that holds only its version takes the place of an invalid row.
	hasRecord = hasRecord && r.Current != ""
	switch {
	case hasRecord && o.Version.Era < r.OrderVersion.Era:
		// The order is that of a copy which has not been read in this era.
		return Write{}, false
	case !hasRecord || !r.executes(o):
		return c.begin(o, r, in)
	case r.OrderVersion.Number != o.Version.Number:
		r.OrderVersion = o.Version
		return Write{Record: r, Publish: true}, true
	}
	if r.Change.State != table.ReleaseGrowing {
		return Write{}, false
	}
	change := release.ID{Service: o.Service, Release: r.Change.New}
	if reason, bad := c.evaluator.Regressed(o.Service, r.Change.Old, r.Change.New); bad && c.bad[change] == "" {
		c.bad[change] = reason
	}
	if reason, turnsAway := c.evaluator.TurnsAway(o.Service, r.Change.Old, r.Change.New); turnsAway && r.Step <= lastLimitedStep && c.bad[change] == "" {
		c.bad[change] = reason
	}
	if reason := c.bad[change]; reason != "" {
		r.Change.State, r.Change.Share, r.Change.Reason = table.ReleaseRetreated, 0, reason
		return Write{Record: r, Publish: true}, true
	}
	return c.advance(o, r, now)
}

// begin returns the first record of an order. It returns false as long as it is not known
// which release carries the service.
func (c *Controller) begin(o Order, r Record, in Input) (Write, bool) {
	current := r.Current
	if current == "" || r.isBaseline() {
		if current = in.Approved[o.Service]; current == "" || !in.Complete {
			return Write{}, false
		}
	}
	next := Record{Service: o.Service, Current: current, OrderVersion: o.Version, Revision: r.Revision, Version: r.Version, Change: table.ReleaseChange{
		Service: o.Service, Old: current, New: o.To, Share: c.share(0), State: table.ReleaseGrowing, Deadline: config.Duration(o.Within),
	}}
	if current == o.To {
		next.Change.State, next.Change.Share = table.ReleaseDone, table.Whole
	}
	return Write{Record: next, Publish: true}, true
}

func (c *Controller) share(step int) table.Milli {
	if step <= lastLimitedStep {
		return min(stepShares[step], c.maxExposure)
	}
	return stepShares[step]
}

// advance moves to the next step if the current one has lasted long enough. From
// lastLimitedStep on, the release must also have served minRequests, or have had the
// time for them, and must not fail too often.
func (c *Controller) advance(o Order, r Record, now clock.Instant) (Write, bool) {
	s := c.stepStarts[o.Service]
	if s.orderVersion != r.OrderVersion || s.step != r.Step {
		c.stepStarts[o.Service] = stepStart{r.OrderVersion, r.Step, now}
		return Write{}, false
	}
	stepDuration := time.Duration(float64(o.Within) * stepsTimeFraction / float64(len(stepShares)))
	elapsed := now.Sub(s.at)
	if elapsed < stepDuration {
		return Write{}, false
	}
	if r.Step >= lastLimitedStep && c.counter.sum(o.Service, r.Change.New).Requests < minRequests && elapsed < time.Duration(maxStepFactor*float64(stepDuration)) {
		return Write{}, false
	}
	if r.Step >= lastLimitedStep && c.counter.failureRatio(o.Service, r.Change.Old, r.Change.New) > maxFailureRatio {
		return Write{}, false
	}
	if r.Step++; r.Step >= len(stepShares) {
		r.Step = len(stepShares) - 1
		r.Change.State, r.Current = table.ReleaseDone, r.Change.New
		return Write{Record: r, Publish: true}, true
	}
	r.Change.Share = c.share(r.Step)
	return Write{Record: r}, true
}

// Approved returns the release that carries a service outside a rollout: that of its record
// or, without the record of a rollout, the last one as long as it has upstreams, and then the
// release of most upstreams. Complete states whether all upstreams are listed; an entry that
// is missing may otherwise come back.
func Approved(r *Record, last id.Release, releases map[id.Release]int, ordered id.Release, complete bool) id.Release {
	if r.Current != "" {
		if !r.isBaseline() {
			return r.Current
		}
		last = r.Current
	}
	most := mostDeployed(releases, ordered)
	if last != "" && (!complete || most == "" || releases[last] > 0) {
		return last
	}
	return most
}

// mostDeployed returns the release with the largest number of upstreams, or "" if
// there is none. The unapproved release is returned only if there is no other.
func mostDeployed(releases map[id.Release]int, unapproved id.Release) id.Release {
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
