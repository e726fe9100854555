// Package shift moves clients from one region to another through look-ups, in steps
// of at most a cap per interval.
package shift

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/table"
)

// Next returns the record after the next step and true, or the same record and false if
// no step is due, given how long the controller has seen the record unchanged. A new
// controller starts this time at zero, so a change of the controller can only slow down
// a shift.
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

// Undo returns the record that starts the undo of a shift. The undo uses the same
// steps, because returning clients add load to their region, too.
func Undo(s table.Shift) table.Shift {
	s.State = table.ShiftUndoing
	if s.Moved == 0 {
		s.State = table.ShiftUndone
	}
	return s
}

// Limiter limits the changes of the share of clients in force at one host to the cap
// per interval, whichever steps the committed records took. A host that receives several
// steps at once puts them in force one after the other.
type Limiter struct {
	// inForce is the fraction of the clients that this host moves.
	inForce table.Milli
	// steppedAt is when inForce last changed, 0 before the first change.
	steppedAt clock.Instant
	// initialized reports whether inForce is valid. If not, the next record is put in force
	// at once.
	initialized bool
}

// NewLimiter returns the limiter of a host that has just received the first record of
// a shift. A host that has already answered look-ups has moved no clients and starts
// from zero. On a host that has not, the record is in force at once, because the other
// hosts already answer by it.
func NewLimiter(answered bool) *Limiter { return &Limiter{initialized: answered} }

// Advance takes the step towards the committed record that is due at now, if any, and
// returns the share in force.
func (l *Limiter) Advance(s table.Shift, now clock.Instant) table.Milli {
	if !l.initialized {
		l.initialized = true
		l.inForce, l.steppedAt = s.Moved, now
		return l.inForce
	}
	tooEarly := l.steppedAt != 0 && now.Sub(l.steppedAt) < s.Interval.Std()
	if l.inForce == s.Moved || tooEarly {
		return l.inForce
	}
	l.steppedAt = now
	if s.Moved > l.inForce {
		l.inForce = min(l.inForce+s.Cap, s.Moved)
	} else {
		l.inForce = max(l.inForce-s.Cap, s.Moved)
	}
	return l.inForce
}
