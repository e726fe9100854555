package loadmodel

import (
	"bytes"
	"math"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/state/clock"
)

// TestOverloadEarnsAtMostUpperBound guards against a bound that a run exceeds: a scheduler
// that knows everything cannot earn less than the hosts.
func TestOverloadEarnsAtMostUpperBound(t *testing.T) {
	for i, p := range OverloadPatterns() {
		// Those with many hosts take long, and the short form uses every third pattern.
		if p.overload.unlimited || (testing.Short() && i%3 != 0) {
			continue
		}
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			r := runExperiment(t, p.Name, 1, "default").Policies[0].Runs[0]
			if r.UpperBound < r.Earned || r.UpperBound > 1 {
				t.Errorf("got %.3f earned and a bound of %.3f", r.Earned, r.UpperBound)
			}
			if r.TurnedAway > r.UpstreamArrivals {
				t.Errorf("got %d of %d arrivals turned away", r.TurnedAway, r.UpstreamArrivals)
			}
		})
	}
}

// TestUpperBoundOfShortCapacity offers two requests for each that one slot can work in ten
// seconds. Those whose objective has passed must not delay the others, and earn the worth
// of late ones only from capacity that is left.
func TestUpperBoundOfShortCapacity(t *testing.T) {
	p, err := PatternByName("steady")
	if err != nil {
		t.Fatal(err)
	}
	c := &p.overload.classes[0]
	for slots, want := range map[float64]float64{1: 0.55, 2: 1, 0: 0} {
		m := &model{pattern: p, measuredFrom: clock.Instant(time.Hour)}
		first := m.measuredFrom.Add(-p.WarmUp)
		for at := time.Duration(0); at < 10*time.Second; at += knownTime(c) / 2 {
			m.records = append(m.records, arrival{at: first.Add(at), work: float64(knownTime(c))})
		}
		for range 20 * time.Second / boundStep {
			m.capacity = append(m.capacity, slots)
		}
		if got := m.upperBound(); math.Abs(got-want) > 0.05 {
			t.Errorf("%v slots: got %.3f, want about %.2f", slots, got, want)
		}
	}
}

// TestSampledReportsLowerRefusals guards against questions for the load that do not reach
// the placement: with young reports, upstreams turn away fewer requests of a burst.
func TestSampledReportsLowerRefusals(t *testing.T) {
	o := runExperiment(t, "metastable", 1, "default", "sampled_reports")
	without, with := o.Policies[0].Runs[0], o.Policies[1].Runs[0]
	if without.ReportBytes != 0 || with.ReportBytes == 0 {
		t.Errorf("got %d bytes of questions without and %d with them, want none and some", without.ReportBytes, with.ReportBytes)
	}
	if with.TurnedAway >= without.TurnedAway {
		t.Errorf("got %d arrivals turned away with young reports and %d without, want fewer", with.TurnedAway, without.TurnedAway)
	}
}

// TestOverloadTable compares the text table of a fixed comparison with its golden file.
func TestOverloadTable(t *testing.T) {
	o := Comparison{Pattern: "metastable", Seeds: []uint64{4, 5}, Policies: []PolicyRuns{{
		Policy: Policies()[0], MeanEarned: 0.75,
		Runs: []Result{
			{Requests: 10, InTime: 7, UpperBound: 1, LastEarned: 0.5, MedianMs: 300, P99Ms: 900, UpstreamArrivals: 20, TurnedAway: 5},
			{Requests: 10, InTime: 8, UpperBound: 0.9, LastEarned: 1, MedianMs: 200, P99Ms: 700, UpstreamArrivals: 10, ReportBytes: 40},
		},
	}}}
	var text bytes.Buffer
	if err := o.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "overload.golden", text.Bytes())
}
