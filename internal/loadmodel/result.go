package loadmodel

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/id"
)

// Result is what the callers of a run saw.
type Result struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// OverQuota are refused because their account's quota was used up.
	OverQuota int `json:"over_quota"`
	// Earned is the part of the worth of all requests that was earned, WorstRegion
	// and WorstAccount the least of any, WorstSecond that of the worst second.
	Earned       float64 `json:"earned"`
	WorstRegion  float64 `json:"worst_region"`
	WorstAccount float64 `json:"worst_account"`
	WorstSecond  float64 `json:"worst_second"`
	MedianMs     int64   `json:"median_ms"`
	P99Ms        int64   `json:"p99_ms"`

	all       worth
	byRegion  map[id.Region]*worth
	byAccount map[id.Account]*worth
	bySecond  []worth
	latencies []time.Duration
}

type worth struct{ earned, owed float64 }

func (w *worth) part() float64 {
	if w.owed == 0 {
		return 1
	}
	return w.earned / w.owed
}

func newResult(length time.Duration) Result {
	return Result{
		byRegion: map[id.Region]*worth{}, byAccount: map[id.Account]*worth{}, bySecond: make([]worth, int(length/time.Second)+1),
	}
}

// add counts one request. What an account asks beyond its quota is not owed.
func (r *Result) add(c *class, who id.Account, from id.Region, fate steer.Outcome, reason steer.Reason, took, at time.Duration) {
	r.Asked++
	if reason == steer.ReasonQuota {
		r.OverQuota++
		return
	}
	earned := 0.0
	switch {
	case fate == steer.Delivered && took <= c.Objective:
		r.InTime++
		earned = c.Worth
	case fate == steer.Delivered && took <= c.Deadline:
		r.Late++
		earned = c.LateWorth
	case fate == steer.Refused:
		r.Refused++
	default:
		r.Failed++
	}
	if fate == steer.Delivered {
		r.latencies = append(r.latencies, took)
	}
	if r.byRegion[from] == nil {
		r.byRegion[from] = &worth{}
	}
	if r.byAccount[who] == nil {
		r.byAccount[who] = &worth{}
	}
	for _, w := range []*worth{&r.all, r.byRegion[from], r.byAccount[who], &r.bySecond[int(at/time.Second)]} {
		w.earned += earned
		w.owed += c.Worth
	}
}

// leastRequests is the worth below which a part is too small to be called worst.
const leastRequests = 20

// summed returns the result with its figures worked out.
func (r Result) summed() Result {
	r.Earned = r.all.part()
	r.WorstRegion, r.WorstAccount, r.WorstSecond = 1, 1, 1
	for _, w := range r.byRegion {
		r.WorstRegion = min(r.WorstRegion, w.part())
	}
	for _, w := range r.byAccount {
		if w.owed >= leastRequests {
			r.WorstAccount = min(r.WorstAccount, w.part())
		}
	}
	for i := range r.bySecond {
		if r.bySecond[i].owed >= leastRequests {
			r.WorstSecond = min(r.WorstSecond, r.bySecond[i].part())
		}
	}
	slices.SortFunc(r.latencies, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	if n := len(r.latencies); n > 0 {
		r.MedianMs, r.P99Ms = r.latencies[n/2].Milliseconds(), r.latencies[n*99/100].Milliseconds()
	}
	return r
}
