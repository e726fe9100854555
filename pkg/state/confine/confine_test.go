package confine

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// steppingClock is a clock whose Sleep advances it at once.
type steppingClock struct{ *clock.Fake }

func (c steppingClock) Sleep(ctx context.Context, d time.Duration) bool {
	c.Advance(d)
	return ctx.Err() == nil
}

func newGuard() (*Guard, *[]Panic, steppingClock) {
	c := steppingClock{clock.NewFake()}
	var reports []Panic
	return New(c, func(p Panic) { reports = append(reports, p) }), &reports, c
}

func TestPanicIsConfinedAndReported(t *testing.T) {
	g, reports, _ := newGuard()
	if !g.Run("calm", func() {}) {
		t.Error("got a panic, want none")
	}
	var missing map[string]int
	if g.Run("message", func() { missing["a"] = 1 }) {
		t.Error("got no panic, want one")
	}
	if len(*reports) != 1 || (*reports)[0].Task != "message" || (*reports)[0].Total != 1 {
		t.Fatalf("got reports %+v, want one of task message", *reports)
	}
	if got := string((*reports)[0].Stack); !strings.Contains(got, "confine_test.go") {
		t.Errorf("got stack %q, want the panicking function in it", got)
	}
}

func TestReportsAreLimitedAndAllPanicsAreCounted(t *testing.T) {
	g, reports, c := newGuard()
	for range 100 {
		g.Run("message", func() { panic("again") })
	}
	c.Advance(minReportInterval)
	g.Run("message", func() { panic("later") })
	if got, want := len(*reports), 2; got != want {
		t.Errorf("got %d reports, want %d", got, want)
	}
	if got, want := g.Total(), int64(101); got != want {
		t.Errorf("got %d panics counted, want %d", got, want)
	}
}

func TestSupervisedLoopIsRestartedWithGrowingPauses(t *testing.T) {
	g, _, c := newGuard()
	var startedAt []clock.Instant
	restored := 0
	err := g.Supervise(context.Background(), "loop", func() { restored++ }, func(context.Context) error {
		startedAt = append(startedAt, c.Now())
		if len(startedAt) < 4 {
			panic("start")
		}
		return nil
	})
	if err != nil || restored != 3 {
		t.Fatalf("got error %v and %d restorations, want none and 3", err, restored)
	}
	for i, want := range []time.Duration{minPause, 2 * minPause, 4 * minPause} {
		if got := startedAt[i+1].Sub(startedAt[i]); got != want {
			t.Errorf("got pause %v before start %d, want %v", got, i+2, want)
		}
	}
}

func TestLoopThatKeepsPanickingIsGivenUp(t *testing.T) {
	g, _, c := newGuard()
	starts := 0
	err := g.Supervise(context.Background(), "loop", func() {}, func(context.Context) error {
		starts++
		if starts == maxRestarts {
			// A calm period forgets what came before it.
			c.Advance(calmPeriod)
		}
		panic("always")
	})
	if !errors.Is(err, ErrPanicked) {
		t.Errorf("got error %v, want ErrPanicked", err)
	}
	if got, want := starts, 2*maxRestarts; got != want {
		t.Errorf("got %d starts, want %d", got, want)
	}
}

func TestSupervisedLoopEndsWithItsContext(t *testing.T) {
	g, _, _ := newGuard()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := g.Supervise(ctx, "loop", func() {}, func(context.Context) error { panic("once") }); err != nil {
		t.Errorf("got error %v, want none", err)
	}
}
