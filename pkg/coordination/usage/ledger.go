package usage

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/mirror"
)

const (
	// Slots is the number of rows that hold closed windows. Window k is in slot k mod Slots,
	// so that a row stays for 40 s at windows of 5 s, longer than its report is due.
	Slots = 8
	// closeReserve is the time before a report is due at which its window is closed with what
	// is known. It covers the write to the store and a call with one repeat.
	closeReserve = 2500 * time.Millisecond
	// settleFraction is the fraction of the time until a report is due after which a complete
	// window is closed. Until then exchanges end whose requests prove not to have run.
	settleFraction = 0.25
	// missingFraction is the fraction of the tolerance up to which counts may be missing. The
	// other half is for requests whose beginning is estimated wrong.
	missingFraction = 0.5
	// retryInterval is the interval between attempts to close a window that is not complete: a
	// sum over 200 hosts with 1,000 accounts takes some 20 ms.
	retryInterval = 500 * time.Millisecond
)

// Reason is why a window is left out.
type Reason string

// Reasons to leave a window out.
const (
	// ReasonMissing means that more than half of the tolerance may be missing.
	ReasonMissing Reason = "missing"
	// ReasonNotCovered means that no host ran before the window.
	ReasonNotCovered Reason = "not_covered"
	// ReasonOverdue means that the window could not be closed before its report was due.
	ReasonOverdue Reason = "overdue"
	// ReasonSlot means that a later window is in the window's row.
	ReasonSlot Reason = "slot_taken"
)

// ClosedWindow is a window whose counts are final.
type ClosedWindow struct {
	Window Window
	Counts Counts
	// Version is the version of the window's row; before the window is closed, the version
	// that the row must have, 0 if there must be none.
	Version mirror.Version
}

// LeftOut is a window that is not reported, and why.
type LeftOut struct {
	Window  Window
	Reason  Reason
	Total   Count
	Missing float64
}

// Ledger decides, on the host that holds the duty, which windows are closed and reported.
// It is used by one goroutine.
type Ledger struct {
	terms Terms
	slots [Slots]ledgerSlot
	// next is the first window that is neither closed nor left out, valid if begun.
	next    Window
	begun   bool
	leftOut []LeftOut
	// retryAt is when the next window is considered again.
	retryAt Time
}

type ledgerSlot struct {
	ClosedWindow
	// used reports whether the slot holds a closed window; a slot with a version only holds a
	// row that could not be decoded.
	used, reported bool
}

// NewLedger returns a ledger without closed windows.
func NewLedger(terms Terms) *Ledger { return &Ledger{terms: terms} }

// SlotOf returns the slot of a window.
func SlotOf(w Window) int { return int(((w % Slots) + Slots) % Slots) }

// Restore replaces the closed windows by those that the store holds. Call it on a new ledger,
// after RestoreInvalid. Those whose reports
// are not due yet will be reported again, because it is not known whether they were.
func (l *Ledger) Restore(rows []ClosedWindow, now Time) {
	for _, r := range rows {
		l.slots[SlotOf(r.Window)] = ledgerSlot{ClosedWindow: r, used: true, reported: now >= l.terms.DueAt(r.Window)}
	}
	l.begun = false
}

// RestoreInvalid notes the version of a row that could not be decoded; the row is replaced.
func (l *Ledger) RestoreInvalid(slot int, version mirror.Version) {
	l.slots[slot] = ledgerSlot{ClosedWindow: ClosedWindow{Version: version}}
}

// NextClose returns the next window that can be closed, with its final counts and the
// version that its row must have. The caller writes it and calls ConfirmClose; after a
// conflict or an unknown result it lists the rows and calls Restore.
func (l *Ledger) NextClose(c *Collector, now clock.Instant) (ClosedWindow, bool) {
	at, agreed := c.time.Now(now)
	if !agreed {
		return ClosedWindow{}, false
	}
	first := l.firstOpen(at)
	if !l.begun {
		l.next, l.begun = first, true
	}
	for l.next < first {
		// More than this many windows pass only while the process is paused.
		l.next = max(l.next, first-Slots)
		l.leave(l.next, ReasonOverdue, Tally{})
	}
	for ; l.terms.End(l.next) <= at; l.next++ {
		slot := &l.slots[SlotOf(l.next)]
		switch {
		case slot.used && slot.Window == l.next:
			continue
		case slot.used && slot.Window > l.next:
			l.leftOut = append(l.leftOut, LeftOut{Window: l.next, Reason: ReasonSlot})
			continue
		case at < l.settled(l.next), at < l.retryAt && at < l.latest(l.next):
			return ClosedWindow{}, false
		}
		total := c.Total(l.next)
		limit := l.terms.Tolerance * missingFraction * float64(total.Counts.Total())
		complete := total.Missing <= 0 && total.Covered
		switch {
		case complete, at >= l.latest(l.next) && total.Covered && total.Missing < limit:
			return ClosedWindow{Window: l.next, Counts: total.Counts, Version: slot.Version}, true
		case at < l.latest(l.next):
			l.retryAt = at.Add(retryInterval)
			return ClosedWindow{}, false
		case !total.Covered:
			l.leftOut = append(l.leftOut, LeftOut{l.next, ReasonNotCovered, total.Counts.Total(), total.Missing})
		default:
			l.leftOut = append(l.leftOut, LeftOut{l.next, ReasonMissing, total.Counts.Total(), total.Missing})
		}
	}
	return ClosedWindow{}, false
}

// firstOpen returns the first window whose report is not due yet.
func (l *Ledger) firstOpen(at Time) Window {
	return l.terms.At(at.Add(-l.terms.Due-l.terms.Window)) + 1
}

// leave leaves out the next window unless it is closed.
func (l *Ledger) leave(w Window, reason Reason, t Tally) {
	if slot := &l.slots[SlotOf(w)]; !slot.used || slot.Window != w {
		l.leftOut = append(l.leftOut, LeftOut{w, reason, t.Counts.Total(), t.Missing})
	}
	l.next = w + 1
}

// settled returns when a window may be closed if it is complete.
func (l *Ledger) settled(w Window) Time {
	return l.terms.End(w).Add(time.Duration(settleFraction * float64(l.terms.Due)))
}

// latest returns when a window is closed with what is known.
func (l *Ledger) latest(w Window) Time {
	return max(l.terms.DueAt(w).Add(-closeReserve), l.settled(w))
}

// ConfirmClose records that a window's row was written with a version.
func (l *Ledger) ConfirmClose(w ClosedWindow, version mirror.Version) {
	w.Version = version
	l.slots[SlotOf(w.Window)] = ledgerSlot{ClosedWindow: w, used: true}
	l.next = max(l.next, w.Window+1)
}

// NextReport returns the earliest closed window that is to be reported.
func (l *Ledger) NextReport() (ClosedWindow, bool) {
	var next *ledgerSlot
	for i := range l.slots {
		if s := &l.slots[i]; s.used && !s.reported && (next == nil || s.Window < next.Window) {
			next = s
		}
	}
	if next == nil {
		return ClosedWindow{}, false
	}
	return next.ClosedWindow, true
}

// ConfirmReport records that the platform has accepted the report of a window.
func (l *Ledger) ConfirmReport(w Window) {
	if s := &l.slots[SlotOf(w)]; s.used && s.Window == w {
		s.reported = true
	}
}

// TakeLeftOut returns the windows that were left out since the last call.
func (l *Ledger) TakeLeftOut() []LeftOut {
	out := l.leftOut
	l.leftOut = nil
	return out
}
