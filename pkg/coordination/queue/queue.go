// Package queue lets requests wait their turn, fairly between the parties that
// they belong to: a party with many requests waits for itself, not for others.
package queue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// Fair holds waiting requests by their party, K. Turns go round the parties,
// and within a party in the order of arrival. It is safe for concurrent use.
type Fair[K comparable] struct {
	clock clock.Clock
	size  atomic.Int64

	mu      sync.Mutex
	waiting map[K][]*waiter
	// order lists the parties that wait; the first one has the next turn.
	order []K
}

type waiter struct{ turn chan struct{} }

// New returns an empty queue.
func New[K comparable](c clock.Clock) *Fair[K] {
	return &Fair[K]{clock: c, waiting: map[K][]*waiter{}}
}

// Empty tells whether nobody waits. A request that finds the queue not empty
// must not go ahead of those that wait.
func (f *Fair[K]) Empty() bool { return f.size.Load() == 0 }

// Wait waits for a turn of party k and returns true, or returns false when ctx
// ends first. It returns true after patience, too, because what is waited for
// may have become free without a signal.
func (f *Fair[K]) Wait(ctx context.Context, k K, patience time.Duration) bool {
	w := f.enter(k)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := make(chan struct{})
	go func() {
		if f.clock.Sleep(ctx, patience) {
			close(late)
		}
	}()
	select {
	case <-w.turn:
		return true
	case <-late:
		f.leave(k, w)
		return true
	case <-ctx.Done():
		if !f.leave(k, w) {
			f.Signal()
		}
		return false
	}
}

func (f *Fair[K]) enter(k K) *waiter {
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

// leave takes a waiter out and tells whether it was still in; if not, it has a
// turn that it will not use.
func (f *Fair[K]) leave(k K, w *waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.waiting[k] {
		if other == w {
			f.waiting[k] = append(f.waiting[k][:i:i], f.waiting[k][i+1:]...)
			f.size.Add(-1)
			f.dropIfIdle(k)
			return true
		}
	}
	return false
}

// dropIfIdle takes a party without waiters off the order. The caller holds the mutex.
func (f *Fair[K]) dropIfIdle(k K) {
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

// Signal gives the next waiter its turn, if anybody waits.
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
	f.dropIfIdle(k)
	close(w.turn)
}
