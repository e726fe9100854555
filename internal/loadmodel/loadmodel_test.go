package loadmodel

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"celerypin.example/celerypin/internal/golden"
)

func experiment(t *testing.T, pattern string, seeds int, policies ...string) Outcome {
	t.Helper()
	p, err := PatternByName(pattern)
	if err != nil {
		t.Fatal(err)
	}
	e := Experiment{Pattern: p}
	for _, name := range policies {
		policy, err := PolicyByName(name)
		if err != nil {
			t.Fatal(err)
		}
		e.Policies = append(e.Policies, policy)
	}
	for i := range seeds {
		e.Seeds = append(e.Seeds, uint64(i+1))
	}
	return e.Run()
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	a, b := experiment(t, "burst", 1, "default"), experiment(t, "burst", 1, "default")
	if !reflect.DeepEqual(a.Policies[0].Runs[0], b.Policies[0].Runs[0]) {
		t.Errorf("got %+v and %+v, want the same", a.Policies[0].Runs[0], b.Policies[0].Runs[0])
	}
}

// TestOrderOfPoliciesIsThatOfTheBench holds that the model orders policies as
// plays of whole days on the users' bench did; docs/LOAD.md has the rounds. A
// model that disagrees is of no use.
func TestOrderOfPoliciesIsThatOfTheBench(t *testing.T) {
	runs := 3
	if testing.Short() {
		runs = 1
	}
	cases := []struct{ name, pattern, better, worse string }{
		{"four upstreams for each object keep everything cold", "calm", "default", "four_candidates"},
		{"four upstreams for each object keep everything cold, under a burst", "burst", "default", "four_candidates"},
		{"a cold start elsewhere costs others", "calm", "default", "free_cold"},
		{"unknown objects that never wait are refused, though they could be served", "start", "default", "shallow_unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := experiment(t, c.pattern, runs, c.better, c.worse)
			if better, worse := o.Policies[0].Mean, o.Policies[1].Mean; better <= worse {
				t.Errorf("got %.3f for %s and %.3f for %s, want the first to be better", better, c.better, worse, c.worse)
			}
		})
	}
}

// TestPatternsAreServed plays each pattern. The bound is the aim for the days of
// the users' bench: 0.60 of the worth. All objects are cold in the first seconds,
// when no policy reaches it.
func TestPatternsAreServed(t *testing.T) {
	const aim = 0.60
	for i, p := range Patterns() {
		// The short form, under the race detector, plays every third pattern.
		if p.Name == "start" || (testing.Short() && i%3 != 0) {
			continue
		}
		t.Run(p.Name, func(t *testing.T) {
			o := experiment(t, p.Name, 1, "default")
			if got := o.Policies[0].Mean; got < aim {
				t.Errorf("got %.3f of the worth earned, want at least %.2f", got, aim)
			}
			r := o.Policies[0].Runs[0]
			if got, most := r.Refused+r.Failed, r.Asked/10; got > most {
				t.Errorf("got %d of %d refused or failed, want at most %d", got, r.Asked, most)
			}
		})
	}
}

func TestUnknownNamesAreErrors(t *testing.T) {
	if _, err := PatternByName("storm"); !errors.Is(err, ErrPattern) {
		t.Errorf("got %v, want ErrPattern", err)
	}
	if _, err := PolicyByName("luck"); !errors.Is(err, ErrPattern) {
		t.Errorf("got %v, want ErrPattern", err)
	}
}

func TestPlotHasALineForEachPolicy(t *testing.T) {
	var plot bytes.Buffer
	o := experiment(t, "start", 1, "default", "owner_only")
	if err := o.WriteSVG(&plot); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "default", "owner_only"} {
		if !strings.Contains(plot.String(), want) {
			t.Errorf("got a plot without %q", want)
		}
	}
}

// TestTable holds the form of the table, with figures of a result that is set.
func TestTable(t *testing.T) {
	o := Outcome{Pattern: "calm", Seeds: []uint64{4, 5}, Policies: []PolicyOutcome{{
		Policy: Policies()[0], Mean: 0.9, WorstRegion: 0.8, WorstSecond: 0.7, WorstAccount: 0.6,
		Runs: []Result{{Asked: 10, InTime: 6, Late: 2, Refused: 1, Failed: 1}, {Asked: 5, InTime: 4, OverQuota: 1}},
	}}}
	var text bytes.Buffer
	if err := o.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "table.golden", text.Bytes())
}
