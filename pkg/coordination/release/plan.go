package release

import (
	"time"

	"celerypin.example/celerypin/pkg/state/table"
)

// steps are the shares that a new release goes through, in thousandths.
var steps = []table.Milli{10, 30, 100, 250, 500, table.Whole}

// FirstShare returns the share with which a new release starts: the first step, or
// its cap if that is lower.
func FirstShare(limit table.Milli) table.Milli { return min(steps[0], limit) }

// MinStepDuration returns how long each step lasts at least. All steps together take
// half of the time that is given, so that a change of the controller, which
// begins a step anew, does not miss the deadline.
func MinStepDuration(r table.ReleaseChange) time.Duration {
	return r.Deadline.Std() / time.Duration(2*len(steps))
}

// Progress is what is known of the current step.
type Progress struct {
	// Elapsed is how long the step has lasted under the eyes of this controller.
	Elapsed time.Duration
	// Requests is what the new release has had in the step.
	Requests uint64
}

// NextStep returns the record after the next step, and whether one is due. A step
// is due after its time if enough requests were judged; without enough
// requests it waits for up to twice its time more, as the deadline demands.
func NextStep(r table.ReleaseChange, p Progress) (table.ReleaseChange, bool) {
	if r.State != table.ReleaseGrowing || p.Elapsed < MinStepDuration(r) {
		return r, false
	}
	if p.Requests < leastFair && p.Elapsed < 2*MinStepDuration(r) {
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
