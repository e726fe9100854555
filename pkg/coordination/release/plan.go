package release

import (
	"time"

	"celerypin.example/celerypin/pkg/state/table"
)

// steps are the shares of the rollout steps, in thousandths.
var steps = []table.Milli{10, 30, 100, 250, 500, table.Whole}

// FirstShare returns the share with which a new release starts: that of the first
// step, or limit if that is lower.
func FirstShare(limit table.Milli) table.Milli { return min(steps[0], limit) }

// MinStepDuration returns the minimum duration of each step. With it, all steps
// together take at most half of the time until the deadline, because a change of the
// controller restarts the current step and must not make the rollout miss the
// deadline.
func MinStepDuration(r table.ReleaseChange) time.Duration {
	return r.Deadline.Std() / time.Duration(2*len(steps))
}

// Progress is the progress of the current step.
type Progress struct {
	// Elapsed is how long this controller has observed the step.
	Elapsed time.Duration
	// Requests is the number of requests of the new release in the step, at all hosts.
	Requests uint64
}

// NextStep returns the record after the next step, and whether the step is due. It
// is due after MinStepDuration if the new release has had minStepRequests, and
// after twice MinStepDuration in any case, so that the deadline is met. Only a
// growing release has a next step.
func NextStep(r table.ReleaseChange, p Progress) (table.ReleaseChange, bool) {
	if r.State != table.ReleaseGrowing || p.Elapsed < MinStepDuration(r) {
		return r, false
	}
	if p.Requests < minStepRequests && p.Elapsed < 2*MinStepDuration(r) {
		return r, false
	}
	next := r
	for _, share := range steps {
		if share > r.Share {
			next.Share = share
			break
		}
	}
	if next.Share >= table.Whole {
		next.State = table.ReleaseDone
	}
	return next, next != r
}
