package place

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// Exclusion is why an upstream was not chosen.
type Exclusion string

// Exclusions, in the order in which they are checked; ExcludedNot is that of the chosen
// upstream.
const (
	ExcludedNot Exclusion = ""
	// ExcludedRelease means that the upstream runs another release.
	ExcludedRelease Exclusion = "other_release"
	// ExcludedHome means that its region is not a home region of the account and the route.
	ExcludedHome Exclusion = "region_not_allowed"
	// ExcludedLeaving means that it is not live or has said that it is leaving.
	ExcludedLeaving Exclusion = "leaving"
	// ExcludedBackoff means that it gets no request for a time, after it failed, refused a
	// request or asked for quiet.
	ExcludedBackoff Exclusion = "backoff"
	// ExcludedRegion means that a region before its own has the chosen upstream.
	ExcludedRegion Exclusion = "later_region"
	// ExcludedRank means that upstreams before it could take the request, or that it is not
	// one of the first owners and has not just reported idle slots.
	ExcludedRank Exclusion = "later_rank"
	// ExcludedFull means that its queue is full.
	ExcludedFull Exclusion = "full"
	// ExcludedCold means that it is cold and this host's rate to it is used up.
	ExcludedCold Exclusion = "cold_rate"
	// ExcludedOverflow means that too many requests moved to its region lately.
	ExcludedOverflow Exclusion = "overflow_limit"
	// ExcludedLate means that it is expected to answer too late.
	ExcludedLate Exclusion = "too_late"
	// ExcludedCost means that the chosen upstream is expected to cost less.
	ExcludedCost Exclusion = "higher_cost"
)

// Candidate is an upstream of the service as a choice sees it.
type Candidate struct {
	Info     fleet.Upstream
	Excluded Exclusion
	// Backoff is how long it gets no requests.
	Backoff time.Duration
	// Rank is its position among those of its region that may get the request, in the
	// order of ownership; -1 if it may not.
	Rank int
	// Load is the estimated number of requests at it, LoadAge the age of the last report.
	Load      float64
	LoadAge   time.Duration
	HasReport bool
	Cold      bool
	// Known reports whether it is expected to know the object.
	Known bool
	// HasEstimate is set if the times below are estimated. They are not if it is full.
	HasEstimate           bool
	Wait, Work, RoundTrip time.Duration
	// Pace is how many times longer than usual it is assumed to take.
	Pace float64
}

// Survey is the result of a choice without its effects.
type Survey struct {
	Status Status
	// LocalShare is the part of the objects whose requests run in the host's own region.
	LocalShare float64
	// Candidates are all upstreams of the service: the chosen one, then those that were
	// compared, then the others.
	Candidates []Candidate
}

// Survey returns what Choose would do now, by the same code and the same snapshot. It takes
// no slot and no token, and changes no statistics.
func (p *Placer) Survey(q *Query, now clock.Instant) Survey {
	d := &dryRun{now: now, notes: map[*localState]*note{}, overflowing: map[id.Region]bool{}}
	dry := *q
	dry.dryRun = d
	choice, status := p.Choose(&dry, now)
	out := Survey{Status: status, LocalShare: d.share}
	s := (*p.services.Load())[q.Service]
	if s == nil {
		return out
	}
	if d.route == nil {
		d.timing(p.timings, q)
	}
	ranks := map[*localState]int{}
	object := objectHash(q)
	for _, list := range s.releases[q.Release] {
		for i, u := range byOwnership(list, q, object, now) {
			ranks[u.localState] = i
		}
	}
	for _, u := range s.all {
		out.Candidates = append(out.Candidates, p.candidate(u, &dry, choice, ranks, object))
	}
	slices.SortStableFunc(out.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(d.order(&a), d.order(&b)), cmp.Compare(a.Info.Region, b.Info.Region), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Info.ID, b.Info.ID))
	})
	return out
}

// candidate describes one upstream after the dry run of q.
func (p *Placer) candidate(u *Upstream, q *Query, choice *Choice, ranks map[*localState]int, object uint64) Candidate {
	d := q.dryRun
	reported := u.reportedAt.Load()
	c := Candidate{
		Info: u.Info, Excluded: d.exclusion(u, q, choice), Rank: -1, Load: u.Load(d.now), Cold: u.Cold(d.now), Known: u.Knows(object),
		Backoff: max(clock.Instant(u.avoidUntil.Load()).Sub(d.now), 0), HasReport: reported != 0, Pace: u.slowdown(d.now),
	}
	if c.HasReport {
		c.LoadAge = d.now.Sub(clock.Instant(reported))
	}
	if rank, ok := ranks[u.localState]; ok {
		c.Rank = rank
	}
	var estimate *Choice
	if seen := d.notes[u.localState]; seen != nil {
		estimate = seen.choice
	} else {
		// Those that were not compared are estimated without the penalty for cold starts,
		// which changes the cost only.
		estimate, _ = p.estimate(u, q, object, d.route, 0, d.now)
	}
	if estimate != nil {
		c.HasEstimate, c.Wait, c.Work, c.RoundTrip, c.Pace = true, estimate.wait, estimate.work, estimate.roundTrip, estimate.slowdown
	}
	return c
}

// exclusion returns why an upstream was not chosen.
func (d *dryRun) exclusion(u *Upstream, q *Query, choice *Choice) Exclusion {
	seen := d.notes[u.localState]
	switch {
	case choice != nil && choice.Upstream.localState == u.localState:
		return ExcludedNot
	case u.Info.Release != q.Release:
		return ExcludedRelease
	case !q.allows(u.Info.Region):
		return ExcludedHome
	case u.Draining() || u.Info.State != fleet.UpstreamLive:
		return ExcludedLeaving
	case !u.usable(d.now):
		return ExcludedBackoff
	case seen == nil && !slices.Contains(d.regions, u.Info.Region):
		return ExcludedRegion
	case seen == nil:
		return ExcludedRank
	case seen.choice == nil:
		return ExcludedFull
	case seen.coldRefused:
		return ExcludedCold
	case d.overflowing[u.Info.Region]:
		return ExcludedOverflow
	case seen.choice.Expected() > q.Remaining:
		return ExcludedLate
	}
	return ExcludedCost
}

// order returns the place of a candidate in a survey: the chosen one, those of each region
// tried, and the others.
func (d *dryRun) order(c *Candidate) int {
	if c.Excluded == ExcludedNot {
		return -1
	}
	if i := slices.Index(d.regions, c.Info.Region); i >= 0 && c.Rank >= 0 {
		return i
	}
	return len(d.regions)
}

// Compared reports whether the choice compared the upstream with others.
func (c *Candidate) Compared() bool {
	switch c.Excluded {
	case ExcludedNot, ExcludedFull, ExcludedCold, ExcludedOverflow, ExcludedLate, ExcludedCost:
		return true
	}
	return false
}
