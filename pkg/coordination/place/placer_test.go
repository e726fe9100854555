package place

import (
	"fmt"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	service = id.Service("viewer")
	current = id.Release("v1")
)

// upstreams returns n live upstreams in each failure domain, of four slots each.
func upstreams(n int, domains ...id.FailureDomain) []Listing {
	var out []Listing
	for _, d := range domains {
		for i := range n {
			out = append(out, Listing{Info: fleet.Upstream{
				ID: id.Upstream(fmt.Sprintf("%s-%d", d, i)), Service: service, Release: current, Region: id.Region(d[:1]),
				FailureDomain: d, Address: fmt.Sprintf("%s-%d:80", d, i), Slots: 4, State: fleet.UpstreamLive,
			}})
		}
	}
	return out
}

// lookup returns a route with a timeout of 800 ms and an objective of 300 ms.
func lookup() *desired.Route {
	return &desired.Route{Name: "lookup", Timeout: 800 * time.Millisecond, Objective: 300 * time.Millisecond, MaxAttempts: 2}
}

// newPlacer returns a placer for a host in region a, failure domain a1.
func newPlacer(now clock.Instant, list []Listing) *Placer {
	p := New("a", "a1", 0.15, DefaultPolicy())
	p.Update(list, map[id.Region]float64{"a": 0.5, "b": 0.5}, now)
	return p
}

func newQuery(object id.Object) *Query {
	return &Query{Service: service, Release: current, Route: lookup(), Object: object, Remaining: 800 * time.Millisecond}
}

// TestRouteWithObjectiveAboveTimeoutIsTried guards against a first estimate above the
// timeout, with which the route would never be tried.
func TestRouteWithObjectiveAboveTimeoutIsTried(t *testing.T) {
	now := clock.NewFake().Now()
	p := newPlacer(now, upstreams(2, "a1"))
	q := newQuery("x")
	q.Route.Objective = 2 * time.Second
	if _, got := p.Choose(q, now); got != Chosen {
		t.Errorf("got status %v, want %v", got, Chosen)
	}
}

func TestHostsAgreeOnOwner(t *testing.T) {
	now := clock.NewFake().Now()
	list := upstreams(4, "a1", "a2")
	first, second := newPlacer(now, list), newPlacer(now, list)
	for i := range 50 {
		object := id.Object(fmt.Sprint(i))
		a, _ := first.Choose(newQuery(object), now)
		b, _ := second.Choose(newQuery(object), now)
		if got, want := b.Upstream.Info.ID, a.Upstream.Info.ID; got != want {
			t.Errorf("object %s: got owner %s, want %s", object, got, want)
		}
		a.Done()
		b.Done()
	}
}

// TestNewUpstreamMovesFewObjects adds an eighth upstream. Objects may move only to it,
// about one in eight.
func TestNewUpstreamMovesFewObjects(t *testing.T) {
	now := clock.NewFake().Now()
	list := upstreams(8, "a1")
	before, after := newPlacer(now, list[:7]), newPlacer(now, list)
	moved := 0
	const objects = 400
	for i := range objects {
		object := id.Object(fmt.Sprint(i))
		a, _ := before.Choose(newQuery(object), now)
		b, _ := after.Choose(newQuery(object), now)
		if a.Upstream.Info.ID != b.Upstream.Info.ID {
			moved++
			if got, want := b.Upstream.Info.ID, list[7].Info.ID; got != want {
				t.Errorf("object %s moved to %s, want only moves to %s", object, got, want)
			}
		}
		a.Done()
		b.Done()
	}
	if want := objects / 8 * 2; moved > want {
		t.Errorf("got %d objects moved, want at most %d", moved, want)
	}
}

// TestFullOwnerSpillsToNextUpstream takes sixteen slots for one object at two
// upstreams of four slots each.
func TestFullOwnerSpillsToNextUpstream(t *testing.T) {
	now := clock.NewFake().Now()
	p := newPlacer(now, upstreams(2, "a1"))
	seen := map[id.Upstream]int{}
	for range 16 {
		if c, got := p.Choose(newQuery("hot"), now); got == Chosen {
			seen[c.Upstream.Info.ID]++
		}
	}
	if got, want := len(seen), 2; got != want {
		t.Errorf("got %d upstreams for a hot object, want %d: %v", got, want, seen)
	}
}

// TestHomesAreEnforcedWhenFull sends forty requests to a home region with four slots.
func TestHomesAreEnforcedWhenFull(t *testing.T) {
	now := clock.NewFake().Now()
	p := newPlacer(now, upstreams(1, "a1", "b1"))
	q := newQuery("x")
	q.Homes, q.HasHomes = []id.Region{"b"}, true
	for range 40 {
		c, status := p.Choose(q, now)
		if status == Chosen && c.Upstream.Info.Region != "b" {
			t.Fatalf("got region %s, want b", c.Upstream.Info.Region)
		}
	}
}

// TestColdUpstreamStaysWithinRate chooses for two seconds at a cold upstream that
// tolerates two requests per second from this host, and one at once.
func TestColdUpstreamStaysWithinRate(t *testing.T) {
	c := clock.NewFake()
	list := upstreams(1, "a1")
	list[0].ColdUntil, list[0].ColdPerSecond = c.Now().Add(3*time.Second), 2
	p := newPlacer(c.Now(), list)
	got := 0
	for range 100 {
		if choice, status := p.Choose(newQuery("x"), c.Now()); status == Chosen {
			got++
			choice.Done()
		}
		c.Advance(20 * time.Millisecond)
	}
	if want := 5; got > want || got == 0 {
		t.Errorf("got %d requests in two seconds, want between 1 and %d", got, want)
	}
}

func TestLeavingUpstreamIsNotChosen(t *testing.T) {
	now := clock.NewFake().Now()
	p := newPlacer(now, upstreams(1, "a1"))
	p.Upstreams()[0].MarkDraining()
	if _, got := p.Choose(newQuery("x"), now); got != NoUpstream {
		t.Errorf("got status %v, want %v", got, NoUpstream)
	}
}

// TestSlowUpstreamIsAvoided multiplies the latency of one of two upstreams by five
// after the first 20 of 100 requests.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	c := clock.NewFake()
	p := newPlacer(c.Now(), upstreams(2, "a1"))
	slow := p.Upstreams()[0].Info.ID
	got := 0
	for i := range 100 {
		choice, status := p.Choose(newQuery(id.Object(fmt.Sprint(i%10))), c.Now())
		if status != Chosen {
			t.Fatalf("got status %v, want %v", status, Chosen)
		}
		latency := 480 * time.Millisecond
		if choice.Warm() {
			latency = 144 * time.Millisecond
		}
		if choice.Upstream.Info.ID == slow && i >= 20 {
			got++
			latency *= 5
		}
		choice.Done()
		c.Advance(20 * time.Millisecond)
		choice.RecordAnswer(latency, c.Now())
	}
	if want := 15; got > want {
		t.Errorf("got %d of 80 requests at the slow upstream, want at most %d", got, want)
	}
}

// TestKnownObjectsHavePriorityWhenFull fills an upstream of four slots to 1.5 times
// its slots, the bound for objects that it does not know. Then it refuses another
// one, but takes an object that it knows.
func TestKnownObjectsHavePriorityWhenFull(t *testing.T) {
	c := clock.NewFake()
	p := newPlacer(c.Now(), upstreams(1, "a1"))
	first, _ := p.Choose(newQuery("known"), c.Now())
	first.Done()
	first.RecordAnswer(400*time.Millisecond, c.Now())
	for i := range 6 {
		if _, got := p.Choose(newQuery(id.Object(fmt.Sprint(i))), c.Now()); got != Chosen {
			t.Fatalf("request %d: got status %v, want %v", i, got, Chosen)
		}
	}
	if _, got := p.Choose(newQuery("another"), c.Now()); got != Full {
		t.Errorf("unknown object: got status %v, want %v", got, Full)
	}
	if _, got := p.Choose(newQuery("known"), c.Now()); got != Chosen {
		t.Errorf("known object: got status %v, want %v", got, Chosen)
	}
}

// TestSharedUpstreamIsFullForSeldomReports guards against queues that fill because a host
// counts the requests of a dozen others as gone before it hears from the upstream again.
func TestSharedUpstreamIsFullForSeldomReports(t *testing.T) {
	now := clock.NewFake().Now()
	p := newPlacer(now, upstreams(1, "a1"))
	u := p.Upstreams()[0]
	u.RecordReport(4, 8, now)
	if _, got := p.Choose(newQuery("x"), now.Add(1300*time.Millisecond)); got != Full {
		t.Errorf("got status %v 1.3 s after a report of 4 running and 8 waiting at 4 slots, want %v", got, Full)
	}
	if _, got := p.Choose(newQuery("x"), now.Add(maxReportAge)); got != Chosen {
		t.Errorf("got status %v once the report is too old, want %v", got, Chosen)
	}
}

// TestOverloadKeepsObjectsAtTheirOwners guards against an overload that does not end with the
// burst that caused it: if the first owners of an object are full, another upstream gets the
// request only while half of its slots are idle.
func TestOverloadKeepsObjectsAtTheirOwners(t *testing.T) {
	now := clock.NewFake().Now()
	p := newPlacer(now, upstreams(6, "a1"))
	q := newQuery("x")
	ranked := byOwnership(p.Upstreams(), q, objectHash(q), now)
	for i, u := range ranked {
		switch {
		case i < p.policy.Candidates:
			u.RecordReport(u.Info.Slots, 3*u.Info.Slots, now)
		case i == 2:
			// Without a recent report, its load is not known.
			u.RecordReport(0, 0, now.Add(-time.Second))
		default:
			u.RecordReport(3, 0, now)
		}
	}
	if c, got := p.Choose(q, now); got != Full {
		t.Errorf("got status %v, upstream %v while no upstream says that half of its slots are idle, want %v", got, c.Upstream.Info.ID, Full)
	}
	idle := ranked[4]
	idle.RecordReport(2, 0, now)
	c, got := p.Choose(q, now)
	if got != Chosen || c.Upstream.localState != idle.localState {
		t.Errorf("got status %v, want the upstream with half of its slots idle", got)
	}
}
