package queue

import (
	"context"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
)

// enqueue starts a request of a flow and returns when it is in the queue. At its turn,
// it sends the flow to served.
func enqueue(f *Fair[string], flow string, served chan<- string, work *sync.WaitGroup) {
	before := f.size.Load()
	work.Go(func() {
		if f.Wait(context.Background(), flow, time.Hour) {
			served <- flow
		}
	})
	for f.size.Load() == before {
		time.Sleep(50 * time.Microsecond)
	}
}

// TestFloodDoesNotDelayOthers enqueues forty requests of one flow, then two of
// another: these get the second and the fourth turn.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	f := New[string](clock.System{})
	served := make(chan string)
	var work sync.WaitGroup
	for range 40 {
		enqueue(f, "flood", served, &work)
	}
	enqueue(f, "small", served, &work)
	enqueue(f, "small", served, &work)
	var got []string
	for range 42 {
		f.Signal()
		got = append(got, <-served)
	}
	work.Wait()
	if got[1] != "small" || got[3] != "small" {
		t.Errorf("got turns %v, want the small flow's second and fourth", got[:6])
	}
}

// TestPromiseTurnsAreFair checks, for random numbers of waiting requests, that no
// flow gets two turns more than another one that is still waiting.
func TestPromiseTurnsAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New[string](clock.System{})
		served := make(chan string)
		var work sync.WaitGroup
		pending := map[string]int{}
		total := 0
		for _, flow := range []string{"a", "b", "c"} {
			pending[flow] = rapid.IntRange(0, 6).Draw(t, flow)
			total += pending[flow]
			for range pending[flow] {
				enqueue(f, flow, served, &work)
			}
		}
		turns := map[string]int{}
		for range total {
			f.Signal()
			flow := <-served
			turns[flow]++
			pending[flow]--
			for other, n := range pending {
				if n > 0 && turns[flow] > turns[other]+1 {
					t.Errorf("got %d turns for %s and %d for %s, which is still waiting, want at most one more", turns[flow], flow, turns[other], other)
				}
			}
		}
		work.Wait()
		if !f.Empty() || len(f.order) != 0 || len(f.waiting) != 0 {
			t.Errorf("got %v still waiting, want the queue empty", f.order)
		}
	})
}

// TestTurnOfCancelledWaiterIsNotLost cancels the first of two waiters and checks that
// the next turn goes to the other one.
func TestTurnOfCancelledWaiterIsNotLost(t *testing.T) {
	f := New[string](clock.System{})
	served := make(chan string, 1)
	var work sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan bool)
	go func() { cancelled <- f.Wait(ctx, "cancelled", time.Hour) }()
	for f.Empty() {
		time.Sleep(50 * time.Microsecond)
	}
	enqueue(f, "remaining", served, &work)
	cancel()
	if <-cancelled {
		t.Error("got a turn for a cancelled request, want none")
	}
	f.Signal()
	work.Wait()
	if got := <-served; got != "remaining" {
		t.Errorf("got the turn for %s, want it for the remaining one", got)
	}
}

// TestWaitTimesOut waits without a signal.
func TestWaitTimesOut(t *testing.T) {
	c := clock.NewFake()
	f := New[string](c)
	done := make(chan bool)
	go func() { done <- f.Wait(context.Background(), "a", time.Second) }()
	for waiting := true; waiting; {
		c.Advance(time.Second)
		select {
		case turn := <-done:
			waiting = false
			if !turn {
				t.Error("got no turn after the timeout, want one")
			}
		case <-time.After(time.Millisecond):
		}
	}
	if !f.Empty() {
		t.Error("got the queue not empty after the wait, want it empty")
	}
}
