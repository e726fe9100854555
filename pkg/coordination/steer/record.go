package steer

import (
	"context"
	"time"

	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/clock"
)

// settle withdraws the count of a request that has not run, which its exchange shows.
func (d *dispatch[A]) settle(mark *usage.Mark, result Result) {
	if result.notRun() {
		mark.Withdraw()
		return
	}
	mark.Ended(result != NoAnswer, d.Clock.Now())
}

// record updates the state of the upstream and the counts of its release after an
// exchange.
func (d *dispatch[A]) record(ctx context.Context, c *place.Choice, subject release.RouteRelease, e Exchange[A], elapsed time.Duration) {
	now := d.Clock.Now()
	u := c.Upstream
	if e.HasLoad {
		// The report leaves out this request, which still counts as in flight here.
		u.RecordReport(e.Running+1, e.Waiting, now)
	}
	u.RecordPace(e.Pace, now)
	if e.QuietFor > 0 {
		u.RecordQuiet(now.Add(e.QuietFor))
	}
	interrupted := ctx.Err() != nil && context.Cause(ctx) != errDeadline
	switch {
	case context.Cause(ctx) == errOtherAnswered && e.Result == NoAnswer:
		// Counts against the release below if it was slow already.
		c.RecordAtLeast(elapsed, now)
	case interrupted && e.Result == NoAnswer:
		// Says nothing about the upstream, but may count against its release.
	case interrupted && e.Result != Answered:
		return
	case e.Result == Answered:
		c.RecordAnswer(elapsed, now)
	case e.Result == Shed:
		u.RecordShed(now)
		d.Hedger.RecordRefusal(d.service, now)
		d.recordTurnedAway(u, subject, now)
		return
	case e.Result == Misdirected:
		u.MarkDraining()
		return
	case e.Result == AnsweredTimeout:
		// The upstream works; the timeout counts as a slow request below.
	default:
		u.RecordFailure(now)
		if e.Result == NotSent {
			d.recordTurnedAway(u, subject, now)
			return
		}
	}
	rejected := e.Result == Answered && e.Rejected
	// A cold upstream is slow regardless of its release.
	if u.Cold(now) && e.Result != AnsweredFailure && !rejected {
		return
	}
	latency, outcome := c.WarmEquivalent(elapsed), release.Answered
	switch {
	case e.Result == AnsweredFailure:
		outcome = release.Failed
	case rejected:
		outcome = release.Rejected
	case interrupted && e.Result == NoAnswer && !d.waitedFully(now):
		outcome = release.Abandoned
	case e.Result == NoAnswer, e.Result == AnsweredTimeout:
		latency, outcome = max(latency, d.route.Timeout), release.Unanswered
	}
	d.Recorder.Record(subject, latency, outcome)
}

// recordTurnedAway counts a request that an upstream did not take. A cold one takes few.
func (d *dispatch[A]) recordTurnedAway(u *place.Upstream, subject release.RouteRelease, now clock.Instant) {
	if !u.Cold(now) {
		d.Recorder.RecordTurnedAway(subject)
	}
}

// fullWaitFraction is the fraction of a request's time from which a client that leaves has
// waited for all of it. The client counts from when it sent the request, so that it always
// leaves some milliseconds before the deadline here.
const fullWaitFraction = 0.9

// waitedFully reports whether a client that leaves at now has waited as long as it had
// stated or the route allows.
func (d *dispatch[A]) waitedFully(now clock.Instant) bool {
	whole := d.deadline.Sub(d.request.Arrived)
	return now.Sub(d.request.Arrived) >= time.Duration(fullWaitFraction*float64(whole))
}
