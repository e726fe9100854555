// Package queue implements fair queueing of requests between flows: a flow with
// many requests delays itself, not other flows.
package queue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// Fair is a queue of requests that wait for a resource. K identifies the flow of a
// request. Turns go to the flows in round-robin order, and within a flow in order of
// arrival. It is safe for concurrent use. Empty, and Signal on an empty queue, take
// no lock.
type Fair[K comparable] struct {
	clock clock.Clock
	// size is the number of waiting requests.
	size atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// waiting holds the waiting requests of each flow that has any.
	waiting map[K][]*waiter
	// order lists the flows with waiting requests; the first one has the next turn.
	order []K
}

// waiter is a waiting request; turn is closed at its turn.
type waiter struct{ turn chan struct{} }

// New returns an empty queue.
func New[K comparable](c clock.Clock) *Fair[K] {
	return &Fair[K]{clock: c, waiting: map[K][]*waiter{}}
}

// Empty reports whether no request is waiting. A request that finds the queue not
// empty must Wait, so that it does not go ahead of waiting ones.
func (f *Fair[K]) Empty() bool { return f.size.Load() == 0 }

// Wait waits for a turn of flow k and returns true, or returns false when ctx ends
// first. It also returns true after timeout, because the resource may have become
// free without a signal. A turn given to a request whose ctx has ended goes to the
// next waiter.
func (f *Fair[K]) Wait(ctx context.Context, k K, timeout time.Duration) bool {
	w := f.add(k)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timedOut := make(chan struct{})
	go func() {
		if f.clock.Sleep(ctx, timeout) {
			close(timedOut)
		}
	}()
	select {
	case <-w.turn:
		return true
	case <-timedOut:
		f.remove(k, w)
		return true
	case <-ctx.Done():
		if !f.remove(k, w) {
			f.Signal()
		}
		return false
	}
}

// add appends a waiter to its flow, and the flow to the order if it had none.
func (f *Fair[K]) add(k K) *waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &waiter{turn: make(chan struct{})}
	if len(f.waiting[k]) == 0 {
		f.order = append(f.order, k)
	}
	f.waiting[k] = append(f.waiting[k], w)
	f.size.Add(1)
	return w
}

// remove removes a waiter and reports whether it was still in the queue; if not, it
// has been given a turn.
func (f *Fair[K]) remove(k K, w *waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.waiting[k] {
		if other == w {
			f.waiting[k] = append(f.waiting[k][:i:i], f.waiting[k][i+1:]...)
			f.size.Add(-1)
			f.dropIfEmpty(k)
			return true
		}
	}
	return false
}

// dropIfEmpty removes a flow without waiters from the order. The caller holds the
// mutex.
func (f *Fair[K]) dropIfEmpty(k K) {
	if len(f.waiting[k]) > 0 {
		return
	}
	delete(f.waiting, k)
	for i, other := range f.order {
		if other == k {
			f.order = append(f.order[:i:i], f.order[i+1:]...)
			return
		}
	}
}

// Signal gives the next waiter its turn, if there is one. It is called when the
// resource may have become free.
func (f *Fair[K]) Signal() {
	if f.Empty() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.order) == 0 {
		return
	}
	k := f.order[0]
	f.order = append(f.order[1:len(f.order):len(f.order)], k)
	w := f.waiting[k][0]
	f.waiting[k] = f.waiting[k][1:]
	f.size.Add(-1)
	f.dropIfEmpty(k)
	close(w.turn)
}
