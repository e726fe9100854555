package loadmodel

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/id"
)

// Result counts the requests of one run by their outcome, as the callers observed it.
// withSummary sets Earned and the exported fields after it.
type Result struct {
	Requests int `json:"asked"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// OverQuota counts the requests refused because the account's quota was used up.
	OverQuota int `json:"over_quota"`
	// Earned is the earned fraction of the total worth of all requests. WorstRegion,
	// WorstAccount and WorstSecond are the lowest such fractions of any region, account
	// and second.
	Earned       float64 `json:"earned"`
	WorstRegion  float64 `json:"worst_region"`
	WorstAccount float64 `json:"worst_account"`
	WorstSecond  float64 `json:"worst_second"`
	// MedianMs and P99Ms are latencies of the answered requests, in milliseconds.
	MedianMs int64 `json:"median_ms"`
	P99Ms    int64 `json:"p99_ms"`
	// The following fields are set for patterns of overload only. UpperBound is the fraction
	// of the worth that one scheduler with full knowledge would earn at most, LastEarned the
	// fraction earned in the last recoverySeconds.
	UpperBound float64 `json:"upper_bound,omitempty"`
	LastEarned float64 `json:"last_earned,omitempty"`
	// UpstreamArrivals counts the requests that reached upstreams, TurnedAway those of them
	// that the upstreams did not accept.
	UpstreamArrivals int `json:"upstream_arrivals,omitempty"`
	TurnedAway       int `json:"turned_away,omitempty"`
	// ReportBytes is the size of the messages that the policy has added.
	ReportBytes int `json:"report_bytes,omitempty"`

	all       worth
	byRegion  map[id.Region]*worth
	byAccount map[id.Account]*worth
	bySecond  []worth
	latencies []time.Duration
	// repeatable are the latencies of the answered requests that may run twice.
	repeatable []time.Duration
	// copies counts the second copies of requests, copiesWon those whose answer was used.
	copies, copiesWon int
	// suppressed counts the slow requests without a copy by the reason.
	suppressed map[hedge.Reason]int
	// busy is the time for which slots of upstreams were used, warm-up included.
	busy time.Duration
}

// worth sums what requests earned, and what they would have earned within their
// latency objectives.
type worth struct{ earned, total float64 }

// fraction returns the earned fraction, 1 if there was nothing to earn.
func (w *worth) fraction() float64 {
	if w.total == 0 {
		return 1
	}
	return w.earned / w.total
}

func newResult(duration time.Duration) Result {
	return Result{
		suppressed: map[hedge.Reason]int{},
		byRegion:   map[id.Region]*worth{}, byAccount: map[id.Account]*worth{}, bySecond: make([]worth, int(duration/time.Second)+1),
	}
}

// add counts one request that ended elapsed after the warm-up. Requests beyond an
// account's quota do not count towards the worth.
func (r *Result) add(c *class, account id.Account, region id.Region, outcome steer.Outcome, reason steer.Reason, latency, elapsed time.Duration) {
	r.Requests++
	if reason == steer.ReasonQuota {
		r.OverQuota++
		return
	}
	earned := 0.0
	switch {
	case outcome == steer.Delivered && latency <= c.Objective:
		r.InTime++
		earned = c.Worth
	case outcome == steer.Delivered && latency <= c.Deadline:
		r.Late++
		earned = c.LateWorth
	case outcome == steer.Refused:
		r.Refused++
	default:
		r.Failed++
	}
	if outcome == steer.Delivered {
		r.latencies = append(r.latencies, latency)
		if c.Idempotent {
			r.repeatable = append(r.repeatable, latency)
		}
	}
	if r.byRegion[region] == nil {
		r.byRegion[region] = &worth{}
	}
	if r.byAccount[account] == nil {
		r.byAccount[account] = &worth{}
	}
	for _, w := range []*worth{&r.all, r.byRegion[region], r.byAccount[account], &r.bySecond[int(elapsed/time.Second)]} {
		w.earned += earned
		w.total += c.Worth
	}
}

// minWorth is the total worth of an account or a second below which its fraction is
// ignored, because it rests on too few requests.
const minWorth = 20

// withSummary returns the result with its fractions and latency percentiles computed.
func (r Result) withSummary() Result {
	r.Earned = r.all.fraction()
	r.WorstRegion, r.WorstAccount, r.WorstSecond = 1, 1, 1
	for _, w := range r.byRegion {
		r.WorstRegion = min(r.WorstRegion, w.fraction())
	}
	for _, w := range r.byAccount {
		if w.total >= minWorth {
			r.WorstAccount = min(r.WorstAccount, w.fraction())
		}
	}
	if r.UpperBound > 0 {
		var last worth
		end := len(r.bySecond) - 1
		for _, w := range r.bySecond[end-recoverySeconds : end] {
			last.earned += w.earned
			last.total += w.total
		}
		r.LastEarned = last.fraction()
	}
	for i := range r.bySecond {
		if r.bySecond[i].total >= minWorth {
			r.WorstSecond = min(r.WorstSecond, r.bySecond[i].fraction())
		}
	}
	slices.SortFunc(r.latencies, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	if n := len(r.latencies); n > 0 {
		r.MedianMs, r.P99Ms = r.latencies[n/2].Milliseconds(), r.latencies[n*99/100].Milliseconds()
	}
	return r
}
