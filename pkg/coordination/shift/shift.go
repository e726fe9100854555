// Package shift moves callers from one region to another by look-ups, in steps
// that never exceed a cap for each interval.
package shift

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/table"
)

// Next returns the record after the next step, and whether one is due, for a
// record that has been seen unchanged for the given time. A controller that has
// just taken over sees a record anew, so a change of the controller only makes
// a shift slower.
func Next(s table.Shift, unchanged time.Duration) (table.Shift, bool) {
	if unchanged < s.Interval.Std() {
		return s, false
	}
	next := s
	switch s.State {
	case table.ShiftMoving:
		next.Moved = min(s.Moved+s.Cap, s.Target)
		if next.Moved == s.Target {
			next.State = table.ShiftFinished
		}
	case table.ShiftUndoing:
		next.Moved = max(s.Moved-s.Cap, 0)
		if next.Moved == 0 {
			next.State = table.ShiftUndone
		}
	default:
		return s, false
	}
	return next, true
}

// Undo returns the record of a shift that is to be taken back. It moves back in
// the same steps, because callers who return are a load, too.
func Undo(s table.Shift) table.Shift {
	s.State = table.ShiftUndoing
	if s.Moved == 0 {
		s.State = table.ShiftUndone
	}
	return s
}

// Limiter keeps what is in force at one host within the cap, whatever the
// committed records say: a host that learns of several steps at once puts them
// in force one after the other.
type Limiter struct {
	inForce table.Milli
	// stepped is when inForce last changed, 0 if it never did.
	stepped clock.Instant
	known   bool
}

// NewLimiter returns the limiter of a host that has just seen the first record
// of a shift. If it has answered look-ups before, it has moved nobody, and goes
// on from there. If it has not, that record is in force at once: the other hosts
// already answer by it.
func NewLimiter(answered bool) *Limiter { return &Limiter{known: answered} }

// InForce returns the share to put in force at now for the committed record.
func (l *Limiter) InForce(s table.Shift, now clock.Instant) table.Milli {
	if !l.known {
		l.known = true
		l.inForce, l.stepped = s.Moved, now
		return l.inForce
	}
	waiting := l.stepped != 0 && now.Sub(l.stepped) < s.Interval.Std()
	if l.inForce == s.Moved || waiting {
		return l.inForce
	}
	l.stepped = now
	if s.Moved > l.inForce {
		l.inForce = min(l.inForce+s.Cap, s.Moved)
	} else {
		l.inForce = max(l.inForce-s.Cap, s.Moved)
	}
	return l.inForce
}
