package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// TestSurveyAgreesWithChoiceAndChangesNothing guards against an answer to an operator that
// differs from what requests get, and against inquiries that change where requests go. Two
// equal placers serve the same random requests; only one is surveyed, before each of them.
func TestSurveyAgreesWithChoiceAndChangesNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	c := clock.NewFake()
	list := upstreams(3, "a1", "a2", "b1", "b2", "b3")
	list[1].ColdUntil, list[1].ColdPerSecond = c.Now().Add(20*time.Second), 2
	// A large bound on shifts lets the local share change quickly.
	surveyed, plain := New("a", "a1", 1, DefaultPolicy()), New("a", "a1", 1, DefaultPolicy())
	for _, p := range []*Placer{surveyed, plain} {
		p.Update(list, map[id.Region]float64{"a": 0.5, "b": 0.5}, c.Now())
	}
	counts := map[Exclusion]int{}
	var open [][2]*Choice
	for i := range 4000 {
		c.Advance(time.Duration(random.IntN(20)) * time.Millisecond)
		now := c.Now()
		q := newQuery(id.Object(fmt.Sprint(random.IntN(400))))
		q.BodyBytes = int64(random.IntN(2)) * largeBody
		q.Remaining = time.Duration(100+random.IntN(700)) * time.Millisecond
		if i%5 == 0 {
			q.Homes, q.HasHomes = []id.Region{"b"}, true
		}
		survey := surveyed.Survey(q, now)
		got, status := surveyed.Choose(q, now)
		want, wantStatus := plain.Choose(q, now)
		if status != wantStatus || survey.Status != wantStatus {
			t.Fatalf("request %d: got status %d and %d in the survey, want %d", i, status, survey.Status, wantStatus)
		}
		for j, s := range survey.Candidates {
			counts[s.Excluded]++
			if chosen := status == Chosen && s.Info.ID == want.Upstream.Info.ID; chosen != (s.Excluded == ExcludedNot) || chosen != (j == 0 && status == Chosen) {
				t.Fatalf("request %d: got %+v at %d in the survey, chosen %t", i, s, j, chosen)
			}
		}
		if status == Chosen {
			if got.Upstream.Info.ID != want.Upstream.Info.ID || got.Expected() != want.Expected() {
				t.Fatalf("request %d: got %s, %v, want %s, %v as without surveys", i, got.Upstream.Info.ID, got.Expected(), want.Upstream.Info.ID, want.Expected())
			}
			open = append(open, [2]*Choice{got, want})
		}
		for len(open) > 0 && (len(open) > 45 || random.IntN(3) == 0) {
			latency, result := time.Duration(50+random.IntN(600))*time.Millisecond, random.IntN(12)
			for _, choice := range open[0] {
				choice.Done()
				switch result {
				case 0:
					choice.Upstream.RecordFailure(now)
				case 1:
					choice.Upstream.RecordReport(6, 3, now)
				default:
					choice.RecordAnswer(latency, now)
				}
			}
			open = open[1:]
		}
	}
	for _, e := range []Exclusion{ExcludedHome, ExcludedBackoff, ExcludedRegion, ExcludedFull, ExcludedCold, ExcludedOverflow, ExcludedLate, ExcludedCost} {
		if counts[e] == 0 {
			t.Errorf("got no upstream excluded as %s in %v, want some", e, counts)
		}
	}
}
