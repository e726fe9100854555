package where

import (
	"encoding/json"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
)

// TestAnswerOfPlan compares the answer of a plan with the golden file. It guards against a
// measure under another one's name, and against a compared upstream that is left out.
func TestAnswerOfPlan(t *testing.T) {
	chosen := place.Candidate{
		Info: fleet.Upstream{ID: "u-1", Release: "v1", Region: "r", FailureDomain: "d", Slots: 4}, Load: 2.5, LoadAge: 30 * time.Millisecond, HasReport: true,
		Known: true, HasEstimate: true, Wait: 5 * time.Millisecond, Work: 80 * time.Millisecond, RoundTrip: time.Millisecond, Pace: 1.5,
	}
	full, late := chosen, chosen
	full.Info.ID, full.Excluded, full.Rank, full.HasEstimate, full.HasReport = "u-2", place.ExcludedFull, 1, false, false
	late.Info.ID, late.Excluded, late.Rank, late.Cold, late.Backoff = "u-3", place.ExcludedBackoff, -1, true, time.Second
	refusal := steer.Refusal{Outcome: steer.Refused, Reason: steer.ReasonFull, RetryAfter: 150 * time.Millisecond}
	plan := steer.Plan{
		Version: 9, Route: &desired.Route{Name: "look"}, Account: "choir", Pool: "b", Quota: quota.State{Known: true, Limited: true, Rate: 2, Burst: 4, Available: 0.5},
		Services: []steer.ServicePlan{
			{Service: "s", Share: 0.75, Release: "v1", Survey: place.Survey{LocalShare: 0.9, Candidates: []place.Candidate{chosen, full, late, late}}},
			{Service: "t", Share: 0.25, Release: "v2", Survey: place.Survey{Status: place.Full}, Refusal: refusal},
		},
	}
	data, err := json.MarshalIndent(FromPlan("a", plan, 1), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "answer.golden", append(data, '\n'))
}
