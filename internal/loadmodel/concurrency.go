package loadmodel

import (
	"context"
	"time"

	"celerypin.example/celerypin/pkg/coordination/steer"
)

// cancellationKey is the context key of the cancellation of a simulated exchange.
type cancellationKey struct{}

// cancellation calls a hook, as an event of its own, when a context is cancelled. A hook of
// the context itself would run at a time that the seed does not determine.
type cancellation struct {
	sim  *simulation
	hook func()
}

// onCancel sets the hook of the context's cancellation, if it has one.
func onCancel(ctx context.Context, hook func()) {
	if c, ok := ctx.Value(cancellationKey{}).(*cancellation); ok {
		c.hook = hook
	}
}

// After implements steer.Runner. The task is a process of its own.
func (s *simulation) After(d time.Duration, task func()) (stop func() bool) {
	stopped, begun := false, false
	s.after(d, func() {
		if begun = !stopped; begun {
			s.spawn(task)
		}
	})
	return func() bool {
		stopped = true
		return !begun
	}
}

// WithCancel implements steer.Runner.
func (s *simulation) WithCancel(parent context.Context) (context.Context, context.CancelCauseFunc) {
	c := &cancellation{sim: s}
	ctx, cancel := context.WithCancelCause(context.WithValue(parent, cancellationKey{}, c))
	return ctx, func(cause error) {
		cancel(cause)
		if c.hook != nil {
			s.after(0, c.hook)
			c.hook = nil
		}
	}
}

// NewLatch implements steer.Runner.
func (s *simulation) NewLatch() steer.Latch { return &latch{sim: s} }

// latch is a steer.Latch for which one process waits.
type latch struct {
	sim    *simulation
	open   bool
	waiter *process
}

// Open implements steer.Latch.
func (l *latch) Open() {
	l.open = true
	if p := l.waiter; p != nil {
		l.sim.after(0, func() { l.sim.wake(p) })
	}
}

// Wait implements steer.Latch.
func (l *latch) Wait() {
	if !l.open {
		l.waiter = l.sim.current
		l.sim.yield()
	}
}
