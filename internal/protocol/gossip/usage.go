package gossip

import (
	"maps"
	"slices"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/id"
)

// usageReport is a message of its own, because an earlier build refuses a message with a
// field that it does not know as a whole.
type usageReport struct {
	Incarnation id.Incarnation `cbor:"incarnation"`
	Sequence    id.Sequence    `cbor:"sequence,omitempty"`
	Base        id.Sequence    `cbor:"base,omitempty"`
	WallMS      int64          `cbor:"wall_ms"`
	AgreedMS    int64          `cbor:"agreed_ms,omitempty"`
	Ack         id.Sequence    `cbor:"ack,omitempty"`
	Answers     bool           `cbor:"answers,omitempty"`
	ThroughMS   int64          `cbor:"through_ms,omitempty"`
	StartedMS   int64          `cbor:"started_ms,omitempty"`
	Region      id.Region      `cbor:"region,omitempty"`
	Windows     []usageWindow  `cbor:"windows,omitempty"`
}

// usageWindow has numbers for the names of its fields in the encoding.
type usageWindow struct {
	Window  usage.Window               `cbor:"1,keyasint"`
	Counts  codec.Arrays[accountCount] `cbor:"2,keyasint,omitempty"`
	Missing float32                    `cbor:"3,keyasint,omitempty"`
}

// accountCount is encoded as an array, because a message holds many.
type accountCount struct {
	_       struct{} `cbor:",toarray"`
	Account id.Account
	Count   usage.Count
}

// Ranges of the numbers in usage messages.
const (
	// maxTimeMS is the year 2286: a time of day in milliseconds has at most 13 digits.
	maxTimeMS = 1e13
	// maxUsageWindows is above the number of windows whose reports are not due yet, four at
	// windows of 5 s and a time of 10 s.
	maxUsageWindows = 64
)

func usageToWire(r *usage.Report) *usageReport {
	out := &usageReport{
		Incarnation: r.Incarnation, Sequence: r.Sequence, Base: r.Base, WallMS: r.Wall.Millis(), AgreedMS: r.Agreed.Millis(),
		Ack: r.Ack, Answers: r.Answers, ThroughMS: r.Through.Millis(), StartedMS: r.Started.Millis(), Region: r.Region,
	}
	for _, w := range r.Windows {
		next := usageWindow{Window: w.Window, Missing: float32(w.Missing)}
		for _, account := range slices.Sorted(maps.Keys(w.Counts)) {
			next.Counts = append(next.Counts, accountCount{Account: account, Count: w.Counts[account]})
		}
		out.Windows = append(out.Windows, next)
	}
	return out
}

func usageFromWire(r *usageReport) *usage.Report {
	out := &usage.Report{
		Incarnation: r.Incarnation, Sequence: r.Sequence, Base: r.Base, Wall: usage.TimeOfMillis(r.WallMS),
		Agreed: usage.TimeOfMillis(r.AgreedMS), Ack: r.Ack, Answers: r.Answers,
		Through: usage.TimeOfMillis(r.ThroughMS), Started: usage.TimeOfMillis(r.StartedMS), Region: r.Region,
	}
	for _, w := range r.Windows {
		next := usage.WindowCounts{Window: w.Window, Counts: usage.Counts{}, Missing: positive(w.Missing)}
		for _, c := range w.Counts {
			next.Counts[c.Account] = c.Count
		}
		out.Windows = append(out.Windows, next)
	}
	return out
}

// checkUsage notes the first number of a usage message that is out of range.
func (r *ranges) checkUsage(u *usageReport) {
	for _, t := range []struct {
		field string
		got   int64
	}{{"usage.wall_ms", u.WallMS}, {"usage.agreed_ms", u.AgreedMS}, {"usage.through_ms", u.ThroughMS}, {"usage.started_ms", u.StartedMS}} {
		r.checkWhole(t.field, t.got, maxTimeMS)
	}
	r.checkWhole("usage.windows", int64(len(u.Windows)), maxUsageWindows)
	for _, w := range u.Windows {
		r.checkWhole("usage.windows.window", int64(w.Window), maxTimeMS)
		r.check("usage.windows.missing", w.Missing)
		for _, c := range w.Counts {
			r.checkWhole("usage.windows.counts", int64(min(c.Count, 2*maxRate)), maxRate)
		}
	}
}

// checkWhole notes a number that is negative or above the largest one.
func (r *ranges) checkWhole(field string, got, largest int64) {
	if r.err == nil && (got < 0 || got > largest) {
		r.err = rangeError(field, got)
	}
}
