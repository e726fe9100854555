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

// shiftState is this host's state of the shifts of clients between regions.
type shiftState struct {
	// firstSeen holds when this host first saw each row at its current revision.
	firstSeen map[id.Region]observation
	limiters  map[id.Region]*shift.Limiter
	// hostsNamed is set once this host has published a look-up table that names hosts.
	hostsNamed bool
}

func newShiftState() shiftState {
	return shiftState{firstSeen: map[id.Region]observation{}, limiters: map[id.Region]*shift.Limiter{}}
}

func (a *Agent) applyShift(row table.Row) {
	a.publishDue = true
	if s := row.Shift; s != nil {
		a.record(timeline.ShiftStepped, string(s.From)+" to "+string(s.To), fmt.Sprintf("%s, %d of 1000 moved", s.State, s.Moved))
	}
}

// planShifts adds the due steps of all shifts to the transaction. A step is due only
// if the row has been seen unchanged for the interval of the shift.
func (a *Agent) planShifts(now clock.Instant, txn *table.Txn) {
	for _, row := range a.replica.Rows(table.ShiftPrefix) {
		seen, seenBefore := a.shifts.firstSeen[row.Shift.From]
		if !seenBefore || seen.revision != row.Revision {
			a.shifts.firstSeen[row.Shift.From] = observation{row.Revision, now}
			continue
		}
		if next, due := shift.Next(*row.Shift, now.Sub(seen.since)); due {
			a.addConditionalPut(txn, table.Row{Key: row.Key, Shift: &next})
		}
	}
}

// shiftsInForce returns the shares of clients that look-ups at this host must shift.
func (a *Agent) shiftsInForce(now clock.Instant) []lookup.Shift {
	var out []lookup.Shift
	for _, row := range a.replica.Rows(table.ShiftPrefix) {
		s := *row.Shift
		l := a.shifts.limiters[s.From]
		if l == nil {
			l = shift.NewLimiter(a.shifts.hostsNamed)
			a.shifts.limiters[s.From] = l
		}
		out = append(out, lookup.Shift{From: s.From, To: s.To, Share: l.Advance(s, now)})
	}
	return out
}
