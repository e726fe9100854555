package queue

import (
	"context"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
)

// enqueue lets a request of a party wait; its party is sent to served at its turn.
func enqueue(f *Fair[string], party string, served chan<- string, work *sync.WaitGroup) {
	before := f.size.Load()
	work.Go(func() {
		if f.Wait(context.Background(), party, time.Hour) {
			served <- party
		}
	})
	for f.size.Load() == before {
		time.Sleep(50 * time.Microsecond)
	}
}

// TestFloodWaitsForItself lets one account send forty requests before another
// sends two: the other's go second and fourth.
func TestFloodWaitsForItself(t *testing.T) {
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
		t.Errorf("got turns %v, want the small account's second and fourth", got[:6])
	}
}

// TestPromiseTurnsAreFair checks, for random numbers of waiting requests, that
// while parties wait none gets two turns more than another.
func TestPromiseTurnsAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New[string](clock.System{})
		served := make(chan string)
		var work sync.WaitGroup
		left := map[string]int{}
		total := 0
		for _, party := range []string{"a", "b", "c"} {
			left[party] = rapid.IntRange(0, 6).Draw(t, party)
			total += left[party]
			for range left[party] {
				enqueue(f, party, served, &work)
			}
		}
		turns := map[string]int{}
		for range total {
			f.Signal()
			party := <-served
			turns[party]++
			left[party]--
			for other, n := range left {
				if n > 0 && turns[party] > turns[other]+1 {
					t.Errorf("got %d turns for %s and %d for %s, which still waits, want them fair", turns[party], party, turns[other], other)
				}
			}
		}
		work.Wait()
		if !f.Empty() || len(f.order) != 0 || len(f.waiting) != 0 {
			t.Errorf("got %v still waiting, want the queue empty", f.order)
		}
	})
}

// TestTurnOfOneThatGaveUpIsNotLost ends a wait and checks that the next turn goes
// to another one.
func TestTurnOfOneThatGaveUpIsNotLost(t *testing.T) {
	f := New[string](clock.System{})
	served := make(chan string, 1)
	var work sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan bool)
	go func() { gone <- f.Wait(ctx, "gone", time.Hour) }()
	for f.Empty() {
		time.Sleep(50 * time.Microsecond)
	}
	enqueue(f, "stays", served, &work)
	cancel()
	if <-gone {
		t.Error("got a turn for a request that gave up, want none")
	}
	f.Signal()
	work.Wait()
	if got := <-served; got != "stays" {
		t.Errorf("got the turn for %s, want it for the one that stays", got)
	}
}

func TestPatienceEnds(t *testing.T) {
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
				t.Error("got no turn after the patience, want one")
			}
		case <-time.After(time.Millisecond):
		}
	}
	if !f.Empty() {
		t.Error("got the queue not empty after the wait, want it empty")
	}
}
