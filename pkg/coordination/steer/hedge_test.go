package steer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/coordination/limit"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
)

// hedgeFixture is a fixture whose requests run against a script of two exchanges. The timer
// of the copy fires when the script says so.
type hedgeFixture struct {
	*fixture
	task   func()
	timers int
	// onFire is called when the timer fires.
	onFire    func()
	discarded atomic.Int64
	// running counts the copies whose goroutine has not ended.
	running sync.WaitGroup
	sends   atomic.Int64
	// firstSent is the upstream of the first exchange.
	firstSent *place.Upstream
	// exchanges are the first exchange and the copy.
	exchanges [2]func(ctx context.Context) Result
}

// hedgeDelay is the delay that the response times of newHedgeFixture lead to, about.
const hedgeDelay = 100 * time.Millisecond

func newHedgeFixture() *hedgeFixture {
	f := &hedgeFixture{fixture: newFixture(), onFire: func() {}}
	f.Sender = f
	f.Hedging = Hedging[string]{Hedger: hedge.New(hedge.MaxFraction), Runner: f, Discard: func(string) { f.discarded.Add(1) }}
	for i := range 320 {
		elapsed := []time.Duration{50 * time.Millisecond, hedgeDelay, 3 * time.Second}[max(i%32-29, 0)]
		f.Hedger.Observe(hedge.Key{Service: "viewer", Route: "look"}, elapsed)
		f.Hedger.Observe(hedge.Key{Service: "viewer", Route: "swap"}, elapsed)
	}
	return f
}

// After implements Runner.
func (f *hedgeFixture) After(_ time.Duration, task func()) (stop func() bool) {
	f.timers++
	f.task = task
	return func() bool {
		stopped := f.task != nil
		f.task = nil
		return stopped
	}
}

// fire lets the delay pass and runs the copy until it ends, or beside the first exchange.
func (f *hedgeFixture) fire(beside bool) {
	f.clock.Advance(hedgeDelay)
	f.onFire()
	task := f.task
	f.task = nil
	if !beside {
		task()
		return
	}
	f.running.Go(task)
	for f.sends.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
}

func (f *hedgeFixture) WithCancel(parent context.Context) (context.Context, context.CancelCauseFunc) {
	return context.WithCancelCause(parent)
}

func (f *hedgeFixture) NewLatch() Latch { return testLatch(make(chan struct{})) }

type testLatch chan struct{}

func (l testLatch) Open() { close(l) }
func (l testLatch) Wait() { <-l }

func (f *hedgeFixture) Send(ctx context.Context, _ *Request, p SendParams) Exchange[string] {
	n := f.sends.Add(1) - 1
	if n == 0 {
		f.firstSent = p.Upstream
	}
	if n >= 2 {
		return Exchange[string]{Result: Answered, Answer: "retry"}
	}
	return Exchange[string]{Result: f.exchanges[n](ctx), Answer: []string{"first", "copy"}[n], ReusedConnection: true}
}

// TestHedgedOutcomes compares how requests end whose first exchange is slow with the golden
// file. It guards against two answers, an answer that is not released, a slot that stays
// taken, retries that a failed exchange costs while the other still runs, and copies of
// requests that must not or need not run twice.
func TestHedgedOutcomes(t *testing.T) {
	ends := func(r Result) func(context.Context) Result { return func(context.Context) Result { return r } }
	awaitCancel := func(ctx context.Context) {
		<-ctx.Done()
		if got := context.Cause(ctx); !errors.Is(got, errOtherAnswered) {
			t.Errorf("got an exchange that ended with %v, want it cancelled by the other's answer", got)
		}
	}
	cancelled := func(ctx context.Context) Result {
		awaitCancel(ctx)
		return NoAnswer
	}
	late := func(ctx context.Context) Result {
		awaitCancel(ctx)
		return Answered
	}
	var out strings.Builder
	for _, c := range []struct {
		name, path string
		copy       func(context.Context) Result
		// beside runs the copy beside the rest of the first exchange.
		beside  bool
		first   func(context.Context) Result
		prepare func(f *hedgeFixture, r *Request, leave func())
	}{
		{"the copy answers first", "/look/1", ends(Answered), false, cancelled, nil},
		{"the first answers, the copy is cancelled", "/look/1", cancelled, true, ends(Answered), nil},
		{"the first answers, the copy just after", "/look/1", late, true, ends(Answered), nil},
		{"the copy answers, the first just after", "/look/1", ends(Answered), false, late, nil},
		{"the first fails, the copy answers", "/look/1", ends(Answered), false, ends(NotSent), nil},
		{"the copy is shed, the first answers", "/look/1", ends(Shed), false, ends(Answered), nil},
		{"both fail", "/look/1", ends(NoAnswer), false, ends(NoAnswer), nil},
		{"both fail, the copy with an answer", "/look/1", ends(AnsweredFailure), false, ends(NoAnswer), nil},
		{"both fail, both with an answer", "/look/1", ends(AnsweredFailure), false, ends(AnsweredFailure), nil},
		{"paused while it waits", "/look/1", nil, false, ends(Answered), func(f *hedgeFixture, _ *Request, _ func()) {
			f.onFire = func() { f.Current = func(clock.Instant) bool { return false } }
		}},
		{"key withdrawn while it waits", "/look/1", nil, false, ends(Answered), func(f *hedgeFixture, _ *Request, _ func()) {
			f.onFire = func() { f.State.Store(f.without("k", "")) }
		}},
		{"client gone while it waits", "/look/1", nil, false, ends(NoAnswer), func(f *hedgeFixture, _ *Request, leave func()) { f.onFire = leave }},
		{"not idempotent", "/swap/1", nil, false, ends(Answered), nil},
		{"body cannot be sent again", "/look/1", nil, false, ends(Answered), func(_ *hedgeFixture, r *Request, _ func()) { r.Replayable = false }},
		{"retry budget used up", "/look/1", nil, false, ends(Answered), func(f *hedgeFixture, _ *Request, _ func()) {
			for f.retryLimit("viewer").Take() {
			}
		}},
		{"off", "/look/1", nil, false, ends(Answered), func(f *hedgeFixture, _ *Request, _ func()) { f.Hedger = nil }},
	} {
		f := newHedgeFixture()
		f.exchanges = [2]func(context.Context) Result{func(ctx context.Context) Result {
			if f.timers > 0 {
				f.fire(c.beside)
			}
			return c.first(ctx)
		}, c.copy}
		ctx, leave := context.WithCancel(context.Background())
		r := f.request(c.path, "k")
		if c.prepare != nil {
			c.prepare(f, r, leave)
		}
		before := retriesLeft(f.retryLimit("viewer"))
		d := f.Serve(ctx, r)
		f.running.Wait()
		leave()
		inFlight := int64(0)
		for _, u := range f.Placer.Upstreams() {
			inFlight += u.InFlight()
		}
		fmt.Fprintf(&out, "%-40s %-11s %q, sends %d, attempts %d, timers %d, sent %v, won %v, suppressed %q, discarded %d, retries spent %d, in flight %d\n", c.name,
			outcomeNames[d.Outcome], d.Answer, f.sends.Load(), d.Attempts, f.timers, d.Hedge.Sent, d.Hedge.Won, d.Hedge.Suppressed, f.discarded.Load(), before-retriesLeft(f.retryLimit("viewer")), inFlight)
	}
	golden.Check(t, "hedged.golden", []byte(out.String()))
}

// retriesLeft returns the number of retries that a limit admits at once.
func retriesLeft(l *limit.Ratio) (n int) {
	for l.Take() {
		n++
	}
	for range n {
		l.Return()
	}
	return n
}

// TestCancelledExchangeIsNoFailure guards against an upstream that is avoided because its
// exchange was cancelled when the other one answered, and against a slow release that is not
// found because copies answer its slow requests.
func TestCancelledExchangeIsNoFailure(t *testing.T) {
	f := newHedgeFixture()
	f.exchanges = [2]func(context.Context) Result{
		func(ctx context.Context) Result {
			f.fire(false)
			<-ctx.Done()
			return NoAnswer
		},
		func(context.Context) Result { return Answered },
	}
	f.startRollout("viewer")
	f.Recorder.Record(release.RouteRelease{Service: "viewer", Release: "v1", Route: "look"}, time.Microsecond, release.Answered)
	d := f.Serve(context.Background(), f.request("/look/1", "k"))
	slow, failed := int64(0), int64(0)
	for _, c := range f.Recorder.Counts() {
		slow, failed = slow+int64(c.Slow), failed+int64(c.Failed)
	}
	if slow != 1 || failed != 0 {
		t.Errorf("got %d slow, %d failed, want one slow request", slow, failed)
	}
	if !d.Hedge.Won {
		t.Fatalf("got %+v, want the copy's answer", d)
	}
	route, _ := (*f.State.Load()).Match("a.example", "/look/1")
	q := &place.Query{Service: "viewer", Release: f.firstSent.Info.Release, Route: route, Object: "17", Remaining: time.Second}
	for _, u := range f.Placer.Upstreams() {
		if u.Info.ID != f.firstSent.Info.ID {
			q.Tried = append(q.Tried, u)
		}
	}
	if _, got := f.Placer.Choose(q, f.clock.Now()); got != place.Chosen {
		t.Errorf("got status %v for the upstream of the cancelled exchange alone, want it chosen", got)
	}
}
