package release

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/table"
)

const now = clock.Instant(time.Hour)

// record returns the record of a rollout from v1 to v2 within a minute.
func record(share table.Milli, state table.ReleaseState) table.ReleaseChange {
	return table.ReleaseChange{Service: "s", Old: "v1", New: "v2", Share: share, State: state, Deadline: config.Duration(time.Minute)}
}

// noneBad is the argument of Splits.Set if no release is marked as bad.
func noneBad(ID) bool { return false }

// TestPromiseUnprovedShareIsBounded checks, for random shares and marks, that for
// each committed share the new release gets at most this share of a host's
// requests plus one.
func TestPromiseUnprovedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		splits := NewSplits()
		changes := rapid.IntRange(1, 6).Draw(t, "changes")
		for range changes {
			share := table.Milli(rapid.IntRange(0, 1000).Draw(t, "share"))
			bad := rapid.Bool().Draw(t, "bad")
			splits.Set([]table.ReleaseChange{record(share, table.ReleaseGrowing)}, func(ID) bool { return bad })
			n := rapid.IntRange(1, 3000).Draw(t, "requests")
			got := 0
			for range n {
				split, _ := splits.Get("s")
				if split.Next() == "v2" {
					got++
				}
			}
			limit := n*int(share)/int(table.Whole) + 1
			if bad {
				limit = 0
			}
			if got > limit {
				t.Errorf("got %d of %d requests for the new release with a share of %d, bad %v, want at most %d", got, n, share, bad, limit)
			}
		}
	})
}

func TestRetreatedReleaseGetsNoRequests(t *testing.T) {
	splits := NewSplits()
	splits.Set([]table.ReleaseChange{record(500, table.ReleaseRetreated)}, noneBad)
	for range 1000 {
		if split, _ := splits.Get("s"); split.Next() != "v1" {
			t.Fatal("got a request for a retreated release, want none")
		}
	}
}

// TestStepsMeetTheDeadline takes each step after its minimum duration.
func TestStepsMeetTheDeadline(t *testing.T) {
	r := record(FirstShare(table.Whole), table.ReleaseGrowing)
	elapsed := time.Duration(0)
	for r.State == table.ReleaseGrowing {
		next, due := NextStep(r, Progress{Elapsed: MinStepDuration(r), Requests: minStepRequests})
		if !due {
			t.Fatalf("got no step after %v, want one", MinStepDuration(r))
		}
		if next.Share <= r.Share {
			t.Fatalf("got share %d after %d, want more", next.Share, r.Share)
		}
		elapsed += MinStepDuration(r)
		r = next
	}
	if r.Share != table.Whole || elapsed > r.Deadline.Std() {
		t.Errorf("got share %d after %v, want all within %v", r.Share, elapsed, r.Deadline.Std())
	}
}

func TestStepConditions(t *testing.T) {
	r := record(10, table.ReleaseGrowing)
	for _, c := range []struct {
		name string
		p    Progress
		r    table.ReleaseChange
		want bool
	}{
		{"before the minimum duration", Progress{MinStepDuration(r) - 1, 1000}, r, false},
		{"too few requests", Progress{MinStepDuration(r), minStepRequests - 1}, r, false},
		{"too few requests for twice the duration", Progress{2 * MinStepDuration(r), 0}, r, true},
		{"enough requests", Progress{MinStepDuration(r), minStepRequests}, r, true},
		{"done", Progress{time.Hour, 1000}, record(1000, table.ReleaseDone), false},
		{"retreated", Progress{time.Hour, 1000}, record(0, table.ReleaseRetreated), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, got := NextStep(c.r, c.p); got != c.want {
				t.Errorf("got step due %v, want %v", got, c.want)
			}
		})
	}
}

// TestEvaluator compares a new release with an old one after one second.
func TestEvaluator(t *testing.T) {
	old, next := RouteRelease{"s", "v1", "a"}, RouteRelease{"s", "v2", "a"}
	for _, c := range []struct {
		name     string
		old, new Counts
		want     bool
	}{
		{"no requests", Counts{Requests: 1000, Failed: 0, Slow: 0}, Counts{}, false},
		{"good", Counts{Requests: 1000, Failed: 1, Slow: 1}, Counts{Requests: 50, Failed: 0, Slow: 0}, false},
		{"a few failures", Counts{Requests: 1000, Failed: 1, Slow: 1}, Counts{Requests: 50, Failed: 3, Slow: 0}, false},
		{"as bad as the old one", Counts{Requests: 1000, Failed: 300, Slow: 0}, Counts{Requests: 100, Failed: 35, Slow: 0}, false},
		{"fails", Counts{Requests: 1000, Failed: 1, Slow: 0}, Counts{Requests: 20, Failed: 8, Slow: 0}, true},
		{"is slow", Counts{Requests: 1000, Failed: 0, Slow: 2}, Counts{Requests: 20, Failed: 0, Slow: 10}, true},
		{"fails while the old one is not used", Counts{}, Counts{Requests: 20, Failed: 8, Slow: 0}, true},
		{"rejects", Counts{Requests: 1000}, Counts{Requests: 20, Rejected: 8}, true},
		{"rejects and fails", Counts{Requests: 1000, Failed: 1}, Counts{Requests: 40, Failed: 3, Rejected: 3}, true},
		{"rejects as many as the old one", Counts{Requests: 1000, Rejected: 500}, Counts{Requests: 100, Rejected: 55}, false},
		{"rejects fewer than the old one", Counts{Requests: 1000, Rejected: 500}, Counts{Requests: 100}, false},
		{"fails where the old one rejects", Counts{Requests: 1000, Rejected: 500}, Counts{Requests: 20, Failed: 8}, true},
		{"clearly worse than a bad old one", Counts{Requests: 1000, Failed: 300, Slow: 0}, Counts{Requests: 100, Failed: 80, Slow: 0}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var e Evaluator
			e.Observe(now, map[RouteRelease]Counts{})
			e.Observe(now.Add(time.Second), map[RouteRelease]Counts{old: c.old, next: c.new})
			if reason, got := e.Regressed("s", "v1", "v2"); got != c.want {
				t.Errorf("got regressed %v (%s), want %v", got, reason, c.want)
			}
		})
	}
}

// TestRecorderCountsSlowRequests sets a usual latency of 10 ms, so that requests over
// 3*10 + 10 = 40 ms are slow. Counting is on the path of requests and must not
// allocate.
func TestRecorderCountsSlowRequests(t *testing.T) {
	splits := NewSplits()
	splits.Set([]table.ReleaseChange{record(500, table.ReleaseGrowing)}, noneBad)
	r := NewRecorder(splits)
	for range 100 {
		r.Record(RouteRelease{"s", "v1", "a"}, 10*time.Millisecond, Answered)
	}
	r.Record(RouteRelease{"s", "v2", "a"}, 39*time.Millisecond, Answered)
	r.Record(RouteRelease{"s", "v2", "a"}, 41*time.Millisecond, Answered)
	r.Record(RouteRelease{"s", "v2", "a"}, time.Second, Failed)
	want := Counts{Requests: 3, Failed: 1, Slow: 1}
	if got := r.Counts()[RouteRelease{"s", "v2", "a"}]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := testing.AllocsPerRun(100, func() { r.Record(RouteRelease{"s", "v1", "a"}, time.Millisecond, Answered) }); got != 0 {
		t.Errorf("got %v allocations for a count, want 0", got)
	}
}

// TestUnansweredRequestIsSlow guards against requests that never count as slow because
// their time ends before they exceed three times the usual latency.
func TestUnansweredRequestIsSlow(t *testing.T) {
	splits := NewSplits()
	splits.Set([]table.ReleaseChange{record(500, table.ReleaseGrowing)}, noneBad)
	r := NewRecorder(splits)
	r.Record(RouteRelease{"s", "v1", "a"}, 500*time.Millisecond, Answered)
	r.Record(RouteRelease{"s", "v2", "a"}, time.Second, Answered)
	r.Record(RouteRelease{"s", "v2", "a"}, time.Second, Unanswered)
	want := Counts{Requests: 2, Slow: 1}
	if got := r.Counts()[RouteRelease{"s", "v2", "a"}]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
