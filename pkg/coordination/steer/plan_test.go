package steer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// fixedRandom makes delays and choices of targets repeatable.
type fixedRandom struct{}

func (fixedRandom) Float64() float64 { return 0.5 }
func (fixedRandom) IntN(int) int     { return 0 }

// inquiries are requests by path and account, with the key of the account.
var inquiries = []struct {
	name, path, key string
	account         id.Account
}{
	{"served", "/look/1", "k", "choir"},
	{"no route", "/other/1", "k", "choir"},
	{"no account", "/look/1", "", ""},
	{"unknown account", "/look/1", "x", "nobody"},
	{"open route", "/open/1", "", ""},
	{"home region", "/look/2", "h", "homed"},
	{"small quota", "/look/3", "s", "small"},
	{"small quota used up", "/look/3", "s", "small"},
	{"two services", "/split/1", "k", "choir"},
}

func newPlanFixture() *fixture {
	f := newFixture()
	f.Dependencies.Random = fixedRandom{}
	f.Splits.Set([]table.ReleaseChange{{Service: "viewer", Old: "v1", New: "v2", Share: 300}}, func(release.ID) bool { return false })
	return f
}

// TestPlanAgreesWithServe guards against a plan that differs from the decision on the next
// request, and against plans that change decisions: of two equal hosts, one plans each
// request several times before it serves it.
func TestPlanAgreesWithServe(t *testing.T) {
	planned, plain := newPlanFixture(), newPlanFixture()
	var out strings.Builder
	for round := range 4 {
		for _, q := range inquiries {
			inquiry := &Inquiry{VirtualHost: "a.example", Path: q.path, Account: q.account, Object: "17"}
			for range 3 {
				planned.Plan(inquiry)
			}
			plan := planned.Plan(inquiry)
			got := planned.Serve(context.Background(), planned.request(q.path, q.key))
			want := plain.Serve(context.Background(), plain.request(q.path, q.key))
			if got.Outcome != want.Outcome || got.Upstream != want.Upstream || got.Release != want.Release || got.RetryAfter != want.RetryAfter {
				t.Fatalf("round %d, %s: got %+v, want %+v as without plans", round, q.name, got, want)
			}
			refusal, upstream := plan.Refusal, id.Upstream("")
			if len(plan.Services) > 0 {
				s := plan.Services[0]
				refusal = s.Refusal
				if s.Status == place.Chosen {
					upstream = s.Candidates[0].Info.ID
				}
			}
			if refusal != (Refusal{Outcome: want.Outcome, Reason: want.Reason, RetryAfter: want.RetryAfter}) || upstream != want.Upstream {
				t.Errorf("round %d, %s: got %+v, upstream %s in the plan, want %s, %+v", round, q.name, refusal, upstream, want.Upstream, want)
			}
			if round == 0 {
				writePlan(&out, q.name, plan)
			}
		}
	}
	golden.Check(t, "plans.golden", []byte(out.String()))
}

func writePlan(out *strings.Builder, name string, p Plan) {
	fmt.Fprintf(out, "%s: account %q, quota %+v, %s %q, retry after %v\n", name, p.Account, p.Quota, outcomeNames[p.Refusal.Outcome], p.Refusal.Reason, p.Refusal.RetryAfter)
	for _, s := range p.Services {
		fmt.Fprintf(out, "  %s %s, share %.2f: %s %q, retry after %v\n", s.Service, s.Release, s.Share, outcomeNames[s.Refusal.Outcome], s.Refusal.Reason, s.Refusal.RetryAfter)
		for _, c := range s.Candidates {
			fmt.Fprintf(out, "    %s rank %d, wait %v, work %v, round trip %v, known %t: %q\n", c.Info.ID, c.Rank, c.Wait, c.Work.Round(time.Millisecond), c.RoundTrip, c.Known, c.Excluded)
		}
	}
}

// TestPlanWithPoolIsConditional guards against a plan that refuses a request for which the
// region's pool may grant a token, or that takes the token.
func TestPlanWithPoolIsConditional(t *testing.T) {
	f := newPlanFixture()
	f.Draw = func(context.Context, id.Account) (bool, time.Duration) {
		t.Error("got a token drawn by a plan, want none")
		return true, 0
	}
	inquiry := &Inquiry{VirtualHost: "a.example", Path: "/look/1", Account: "small", Pool: "hub"}
	if p := f.Plan(inquiry); p.Pool != "" || len(p.Services) != 1 {
		t.Errorf("got %+v with a token left, want no use of the pool", p)
	}
	f.Shares.Take("small", f.clock.Now())
	if p := f.Plan(inquiry); p.Pool != "hub" || p.Refusal.Outcome != Delivered || len(p.Services) != 1 {
		t.Errorf("got %+v without a token, want a plan that depends on the pool", p)
	}
}
