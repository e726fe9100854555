package usage

import (
	"maps"
	"slices"

	"celerypin.example/celerypin/pkg/state/id"
)

// Report is what a host sends to the collectors of its region, what a hub sends to the
// other regions' hubs, and the answer of a collector.
type Report struct {
	Incarnation id.Incarnation
	Sequence    id.Sequence
	// Base is the sequence of an earlier report of the same incarnation. Counts that did not
	// change since then are left out. 0 means that all counts are stated.
	Base id.Sequence
	// Wall is the sender's wall clock.
	Wall Time
	// Agreed is the agreed time at the sender, 0 if there is none.
	Agreed Time
	// Ack is the sequence of the last report that the sender of this one has applied, 0 if
	// there is none. A message with Ack holds no counts.
	Ack id.Sequence
	// Answers reports whether the message is the answer of a collector.
	Answers bool
	// Through is the agreed time through which the counts are complete, Started that of the
	// start of the process.
	Through, Started Time
	// Region is the region whose sum this is, empty for the counts of one host.
	Region  id.Region
	Windows []WindowCounts
}

// WindowCounts are the counts of one window.
type WindowCounts struct {
	Window Window
	Counts Counts
	// Missing is the estimated number of requests of the region that are not in the counts;
	// 0 in the report of a host.
	Missing float64
}

// maxUnconfirmed is the number of reports whose counts are kept until receivers confirm
// them. A receiver that confirms none of them gets all counts.
const maxUnconfirmed = 8

// Reporter composes the reports of one sender so that each receiver gets the counts that
// changed since the last report that it confirmed. It is used by one goroutine.
type Reporter struct {
	incarnation id.Incarnation
	sequence    id.Sequence
	// sent holds the counts of the last reports.
	sent map[id.Sequence][]WindowCounts
	// confirmed holds the last report that each receiver confirmed.
	confirmed map[id.Host]id.Sequence
}

// NewReporter returns a reporter that has sent nothing.
func NewReporter(incarnation id.Incarnation) *Reporter {
	return &Reporter{incarnation: incarnation, sent: map[id.Sequence][]WindowCounts{}, confirmed: map[id.Host]id.Sequence{}}
}

// Confirm records the answer of a receiver.
func (r *Reporter) Confirm(receiver id.Host, ack id.Sequence) { r.confirmed[receiver] = ack }

// Next returns the next report for each receiver. The report has the sequence, incarnation
// and windows; the caller sets the other fields in it.
func (r *Reporter) Next(report Report, windows []WindowCounts, receivers []id.Host) map[id.Host]*Report {
	r.sequence++
	r.sent[r.sequence] = windows
	delete(r.sent, r.sequence-maxUnconfirmed)
	maps.DeleteFunc(r.confirmed, func(h id.Host, _ id.Sequence) bool { return !slices.Contains(receivers, h) })
	report.Incarnation, report.Sequence = r.incarnation, r.sequence
	out := map[id.Host]*Report{}
	for _, receiver := range receivers {
		next := report
		next.Windows = windows
		if base := r.confirmed[receiver]; base > 0 && r.sent[base] != nil {
			next.Base, next.Windows = base, r.changed(base, windows)
		}
		out[receiver] = &next
	}
	return out
}

// changed returns the windows without the counts that have been the same in all reports
// since base.
func (r *Reporter) changed(base id.Sequence, windows []WindowCounts) []WindowCounts {
	out := make([]WindowCounts, 0, len(windows))
	for _, w := range windows {
		next := WindowCounts{Window: w.Window, Missing: w.Missing, Counts: Counts{}}
		for s := base; s < r.sequence; s++ {
			before := countsOf(r.sent[s], w.Window)
			for account, n := range w.Counts {
				if before[account] != n {
					next.Counts[account] = n
				}
			}
			for account := range before {
				if w.Counts[account] == 0 {
					next.Counts[account] = 0
				}
			}
		}
		out = append(out, next)
	}
	return out
}

func countsOf(windows []WindowCounts, w Window) Counts {
	for _, c := range windows {
		if c.Window == w {
			return c.Counts
		}
	}
	return nil
}

// HostReport returns the windows that a host reports: those whose reports are not due yet,
// each until now, the instant of the agreed time through which the counts are complete.
func HostReport(m *Meter, terms Terms, offset Offset, through Time) []WindowCounts {
	var out []WindowCounts
	first, last := terms.open(through)
	for w := first; w <= last; w++ {
		to := min(terms.End(w), through)
		out = append(out, WindowCounts{Window: w, Counts: m.Counts(offset.Instant(terms.Start(w)), offset.Instant(to))})
	}
	return out
}
