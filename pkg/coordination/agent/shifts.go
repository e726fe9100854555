package agent

import (
	"fmt"

	"celerypin.example/celerypin/pkg/coordination/lookup"
	"celerypin.example/celerypin/pkg/coordination/shift"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// shiftState is what this host knows of the shifts of callers.
type shiftState struct {
	// since holds when this host first saw each row as it is.
	since    map[id.Region]observation
	limiters map[id.Region]*shift.Limiter
	// answered is set when look-ups have named hosts.
	answered bool
}

func newShiftState() shiftState {
	return shiftState{since: map[id.Region]observation{}, limiters: map[id.Region]*shift.Limiter{}}
}

func (a *Agent) applyShift(row table.Row) {
	a.publishDue = true
	if s := row.Shift; s != nil {
		a.record(timeline.ShiftStepped, string(s.From)+" to "+string(s.To), fmt.Sprintf("%s, %d of 1000 moved", s.State, s.Moved))
	}
}

// planShifts adds the due steps of all shifts to the transaction. A step is due
// only if the row has been seen unchanged for an interval without a pause.
func (a *Agent) planShifts(now clock.Instant, txn *table.Txn) {
	for _, row := range a.replica.Rows(table.ShiftPrefix) {
		seen, known := a.shifts.since[row.Shift.From]
		if !known || seen.revision != row.Revision {
			a.shifts.since[row.Shift.From] = observation{row.Revision, now}
			continue
		}
		if next, due := shift.Next(*row.Shift, now.Sub(seen.since)); due {
			a.addPut(txn, table.Row{Key: row.Key, Shift: &next})
		}
	}
}

// shiftsInForce returns what look-ups at this host should do.
func (a *Agent) shiftsInForce(now clock.Instant) []lookup.Shift {
	var out []lookup.Shift
	for _, row := range a.replica.Rows(table.ShiftPrefix) {
		s := *row.Shift
		l := a.shifts.limiters[s.From]
		if l == nil {
			l = shift.NewLimiter(a.shifts.answered)
			a.shifts.limiters[s.From] = l
		}
		out = append(out, lookup.Shift{From: s.From, To: s.To, Share: l.InForce(s, now)})
	}
	return out
}
