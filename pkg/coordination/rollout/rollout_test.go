package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/table"
)

// behaviour gives the fractions of a release's requests that fail, are slow, are rejected or
// are turned away.
type behaviour struct {
	failed, slow, rejected, turnedAway float64
	// from is the time after the start from which the fractions apply. All requests
	// before it succeed.
	from time.Duration
	// fromShare is the share from which the fractions apply.
	fromShare table.Milli
}

// simulation runs one rollout: requests arrive at a constant rate and are divided
// by the agreed share, and the controller's writes take effect at once.
type simulation struct {
	controller *Controller
	clock      *clock.Fake
	order      Order
	records    map[id.Service]Record
	counts     map[release.RouteRelease]release.Counts
	random     *rand.Rand
	requests   int
	exposed    int
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		controller: New(0.1), clock: clock.NewFake(), random: rand.New(rand.NewPCG(seed, 1)),
		order:   Order{Service: "viewer", To: "v2", Within: 15 * time.Second, Version: mirror.Version{Number: 7}},
		records: map[id.Service]Record{}, counts: map[release.RouteRelease]release.Counts{},
	}
}

const tick = 100 * time.Millisecond

// run simulates the time of the order at a request rate and returns the final state.
func (s *simulation) run(perSecond int, old, next behaviour) table.ReleaseState {
	for elapsed := time.Duration(0); elapsed < s.order.Within; elapsed += tick {
		share := s.records["viewer"].Change.Share
		for range perSecond / 10 {
			s.requests++
			if table.Milli(s.random.IntN(1000)) < share {
				s.exposed++
				s.count("v2", next, elapsed, share)
				continue
			}
			s.count("v1", old, elapsed, share)
		}
		s.controller.AddCounts("host", 1, s.counts)
		for _, w := range s.controller.Decide(s.input(), s.clock.Now()) {
			w.Record.Version.Number++
			s.records["viewer"] = w.Record
		}
		s.clock.Advance(tick)
	}
	return s.records["viewer"].Change.State
}

func (s *simulation) input() Input {
	return Input{
		Orders: []Order{s.order}, Records: s.records, Leader: true,
		Approved: map[id.Service]id.Release{"viewer": "v1"}, Complete: true,
	}
}

func (s *simulation) count(name id.Release, b behaviour, elapsed time.Duration, share table.Milli) {
	rr := release.RouteRelease{Service: "viewer", Release: name, Route: "lookup"}
	c := release.Counts{Requests: 1}
	if elapsed >= b.from && share >= b.fromShare {
		switch p := s.random.Float64(); {
		case p < b.failed:
			c.Failed = 1
		case p < b.failed+b.slow:
			c.Slow = 1
		case p < b.failed+b.slow+b.rejected:
			c.Rejected = 1
		case p < b.failed+b.slow+b.rejected+b.turnedAway:
			c = release.Counts{TurnedAway: 1}
		}
	}
	s.counts[rr] = s.counts[rr].Add(c)
}

// TestRollouts runs each rollout with 100 seeds. A good release must be finished in
// time; a bad one must be taken back, and must have served at most 50 requests more
// than a tenth of all.
func TestRollouts(t *testing.T) {
	cases := []struct {
		name      string
		old, next behaviour
		want      table.ReleaseState
	}{
		{"good release", behaviour{failed: 0.001}, behaviour{failed: 0.001}, table.ReleaseDone},
		{"good release under overload", behaviour{slow: 0.35}, behaviour{slow: 0.35}, table.ReleaseDone},
		{"half of the answers fail", behaviour{}, behaviour{failed: 0.5}, table.ReleaseRetreated},
		{"half of the answers fail while the old release times out", behaviour{slow: 0.37}, behaviour{failed: 0.5, slow: 0.2}, table.ReleaseRetreated},
		{"fails after three seconds", behaviour{}, behaviour{failed: 0.5, from: 3 * time.Second}, table.ReleaseRetreated},
		{"slow from the start", behaviour{slow: 0.02}, behaviour{slow: 0.5}, table.ReleaseRetreated},
		{"half of the answers are rejections", behaviour{}, behaviour{rejected: 0.5}, table.ReleaseRetreated},
		{"half of the answers are rejections, of the old release a tenth", behaviour{rejected: 0.1}, behaviour{rejected: 0.5}, table.ReleaseRetreated},
		{"as many rejections as of the old release", behaviour{rejected: 0.33}, behaviour{rejected: 0.33}, table.ReleaseDone},
		{"half as many rejections as of the old release", behaviour{rejected: 0.5}, behaviour{rejected: 0.25}, table.ReleaseDone},
		{"all requests are turned away", behaviour{}, behaviour{turnedAway: 1}, table.ReleaseRetreated},
		{"as many are turned away as by the old release", behaviour{turnedAway: 0.6}, behaviour{turnedAway: 0.6}, table.ReleaseDone},
		{"a third is turned away", behaviour{}, behaviour{turnedAway: 0.33}, table.ReleaseDone},
		{"fails from a quarter of the traffic", behaviour{}, behaviour{failed: 0.5, fromShare: 250}, table.ReleaseRetreated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(100) {
				s := newSimulation(seed)
				if got := s.run(250, c.old, c.next); got != c.want {
					t.Errorf("seed %d: got %s, want %s", seed, got, c.want)
				}
				if limit := s.requests/10 + 50; c.want == table.ReleaseRetreated && s.exposed > limit {
					t.Errorf("seed %d: got %d of %d requests at the bad release, want at most %d", seed, s.exposed, s.requests, limit)
				}
			}
		})
	}
}

func TestBeginWaitsForAnUpstream(t *testing.T) {
	c := New(0.1)
	in := Input{
		Orders: []Order{{Service: "viewer", To: "v2", Within: time.Second, Version: mirror.Version{Number: 3}}}, Leader: true,
		Complete: true,
	}
	if got := c.Decide(in, clock.NewFake().Now()); len(got) != 0 {
		t.Errorf("got %d writes without any upstream, want none", len(got))
	}
}

// TestReportWithoutCountsKeepsTotals adds an empty report without an incarnation,
// as hubs send for hosts without counts, between two reports with counts.
func TestReportWithoutCountsKeepsTotals(t *testing.T) {
	rr := release.RouteRelease{Service: "desk", Release: "v2", Route: "swaps"}
	c := newCounter()
	c.add("h", 5, map[release.RouteRelease]release.Counts{rr: {Requests: 10}})
	c.add("h", 0, nil)
	c.add("h", 5, map[release.RouteRelease]release.Counts{rr: {Requests: 12}})
	if got, want := c.counts()[rr].Requests, uint64(12); got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
}

// TestLateReportOfAnEarlierIncarnation guards against requests that count twice, because a
// report of a host's last start arrives after one of its next.
func TestLateReportOfAnEarlierIncarnation(t *testing.T) {
	rr := release.RouteRelease{Service: "s", Release: "v2", Route: "r"}
	c := newCounter()
	for _, report := range []struct {
		inc      id.Incarnation
		requests uint64
	}{{5, 100}, {6, 10}, {5, 100}, {6, 12}, {5, 101}, {6, 12}} {
		c.add("h", report.inc, map[release.RouteRelease]release.Counts{rr: {Requests: report.requests}})
	}
	if got, want := c.sum("s", "v2").Requests, uint64(113); got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
}

func TestIncarnationsOfAHostAreBounded(t *testing.T) {
	rr := release.RouteRelease{Service: "s", Release: "v2", Route: "r"}
	c := newCounter()
	for inc := id.Incarnation(1); inc <= 100; inc++ {
		c.add("h", inc, map[release.RouteRelease]release.Counts{rr: {Requests: 1}})
	}
	if got, want := c.sum("s", "v2").Requests, uint64(100); got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
	if got := len(c.hosts["h"]); got > maxIncarnations {
		t.Errorf("got %d incarnations kept, want at most %d", got, maxIncarnations)
	}
}

// TestStoreEraOrderWrittenAgainIsTheSame guards against a rollout that begins anew because the
// store has lost the order and the operator has written it again.
func TestStoreEraOrderWrittenAgainIsTheSame(t *testing.T) {
	first := Order{Service: "viewer", To: "v2", Within: 15 * time.Second, Version: mirror.Version{Era: 1, Number: 90}}
	again, other, older := first, first, first
	again.Version = mirror.Version{Era: 2, Number: 40}
	other.Version, other.To = again.Version, "v3"
	older.Version = mirror.Version{Era: 1, Number: 95}
	for _, c := range []struct {
		name  string
		order Order
		// state is that of the record in era 2, and want the state that is written.
		state, want table.ReleaseState
	}{
		{"written again while it grows", again, table.ReleaseGrowing, table.ReleaseGrowing},
		{"written again after it completed", again, table.ReleaseDone, table.ReleaseDone},
		{"written again after it was rolled back", again, table.ReleaseRetreated, table.ReleaseRetreated},
		{"another order", other, table.ReleaseDone, table.ReleaseGrowing},
		{"restored unchanged", Order{Service: "viewer", To: "v2", Within: first.Within, Version: mirror.Version{Era: 2, Number: 90}}, table.ReleaseDone, ""},
	} {
		share := map[table.ReleaseState]table.Milli{table.ReleaseGrowing: 500, table.ReleaseDone: table.Whole}[c.state]
		record := Record{
			Service: "viewer", Current: "v1", OrderVersion: first.Version, Revision: 7, Step: 5, Version: mirror.Version{Era: 2, Number: 30},
			Change: table.ReleaseChange{Service: "viewer", Old: "v1", New: "v2", Share: share, State: c.state, Deadline: config.Duration(first.Within)},
		}
		in := Input{
			Orders: []Order{c.order}, Records: map[id.Service]Record{"viewer": record}, Leader: true,
			Approved: map[id.Service]id.Release{"viewer": "v1"}, Complete: true,
		}
		writes := New(0.1).Decide(in, clock.NewFake().Now())
		switch {
		case c.want == "":
			if len(writes) != 0 {
				t.Errorf("%s: got %+v, want no write", c.name, writes)
			}
		case len(writes) != 1:
			t.Errorf("%s: got %d writes, want 1", c.name, len(writes))
		default:
			got := writes[0].Record
			if got.Change.State != c.want || got.OrderVersion != c.order.Version || (c.order == again && got.Change.Share != share) {
				t.Errorf("%s: got %+v, want state %s with share %d", c.name, got, c.want, share)
			}
		}
	}
	record := Record{OrderVersion: again.Version, Current: "v1"}
	in := Input{Orders: []Order{older}, Records: map[id.Service]Record{"viewer": record}, Leader: true}
	if got := New(0.1).Decide(in, clock.NewFake().Now()); len(got) != 0 {
		t.Errorf("an order of an earlier era than the record: got %+v, want no write", got)
	}
}

// TestStoreEraEarlierRecordIsBehind guards against a completed rollout that is in progress
// again, and against a record that loses steps, as of an older copy of the store.
func TestStoreEraEarlierRecordIsBehind(t *testing.T) {
	record := func(revision uint64, state table.ReleaseState) Record {
		return Record{Revision: revision, Change: table.ReleaseChange{Old: "v1", New: "v2", State: state}}
	}
	for _, c := range []struct {
		name       string
		read, last Record
		want       bool
	}{
		{"an earlier step", record(3, table.ReleaseGrowing), record(4, table.ReleaseGrowing), true},
		{"a later step", record(5, table.ReleaseGrowing), record(4, table.ReleaseGrowing), false},
		{"a step of a completed change", record(9, table.ReleaseGrowing), record(4, table.ReleaseDone), true},
		{"the same end", record(4, table.ReleaseDone), record(4, table.ReleaseDone), false},
	} {
		if got := c.read.Behind(&c.last); got != c.want {
			t.Errorf("%s: got behind %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOrderWaitsForMissingEntries guards against a rollout that is reported completed at once,
// because the entries of the release that carries the service have expired with an outage of
// the store and are not back yet.
func TestOrderWaitsForMissingEntries(t *testing.T) {
	const old, next = id.Release("v1"), id.Release("v2")
	order := Order{Service: "viewer", To: next, Within: 15 * time.Second, Version: mirror.Version{Number: 7}}
	onlyNext, both := map[id.Release]int{next: 3}, map[id.Release]int{old: 3, next: 3}
	for _, c := range []struct {
		name     string
		record   Record
		last     id.Release
		listed   map[id.Release]int
		complete bool
		// want is the release that the rollout replaces, "" if none begins.
		want id.Release
	}{
		{"entries are missing", Record{}, old, onlyNext, false, ""},
		{"entries are missing after a restart", Record{}, "", onlyNext, false, ""},
		{"entries are missing, and the release was recorded", Record{Current: old}, "", onlyNext, false, ""},
		{"all are back", Record{}, old, both, true, old},
		{"all are back after a restart", Record{Current: old}, "", both, true, old},
		{"the old release is gone", Record{Current: old}, old, onlyNext, true, next},
		{"a rollout was recorded", Record{Current: old, OrderVersion: mirror.Version{Number: 2}}, "", onlyNext, false, old},
		{"nothing is listed", Record{}, old, nil, true, old},
	} {
		in := Input{
			Orders: []Order{order}, Records: map[id.Service]Record{"viewer": c.record}, Complete: c.complete, Leader: true,
			Approved: map[id.Service]id.Release{"viewer": Approved(&c.record, c.last, c.listed, order.To, c.complete)},
		}
		got := id.Release("")
		for _, w := range New(0.1).Decide(in, clock.NewFake().Now()) {
			got = w.Record.Change.Old
			if done := w.Record.Change.State == table.ReleaseDone; done != (got == next) {
				t.Errorf("%s: got state %s in place of %s", c.name, w.Record.Change.State, got)
			}
		}
		if got != c.want {
			t.Errorf("%s: got a rollout in place of %q, want %q", c.name, got, c.want)
		}
	}
}

// TestRestartKeepsRecordedRelease guards against a host that sends requests to a release that
// nothing ordered, because it has started while upstreams of both releases were there.
func TestRestartKeepsRecordedRelease(t *testing.T) {
	approved := Approved(&Record{}, "", map[id.Release]int{"v9": 3}, "", true)
	in := Input{Records: map[id.Service]Record{}, Approved: map[id.Service]id.Release{"viewer": approved}, Complete: true, Leader: true}
	writes := New(0.1).Decide(in, clock.NewFake().Now())
	if len(writes) != 1 || writes[0].Publish {
		t.Fatalf("got writes %+v, want the release that carries the service, without a status", writes)
	}
	record := writes[0].Record
	if err := record.Validate(); err != nil {
		t.Errorf("got %v, want a record that earlier builds accept", err)
	}
	if got, want := Approved(&record, "", map[id.Release]int{"v9": 3, "v10": 3}, "", true), id.Release("v9"); got != want {
		t.Errorf("got release %s after a restart, want %s", got, want)
	}
	in.Records["viewer"] = record
	if got := New(0.1).Decide(in, clock.NewFake().Now()); len(got) != 0 {
		t.Errorf("got %+v for a recorded release, want no write", got)
	}
}
