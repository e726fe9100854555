// Package confine confines a panic to the task in which it occurred, so that one
// malformed message or unexpected error does not end the process. docs/DESIGN.md lists
// the tasks.
package confine

import (
	"context"
	"errors"
	"runtime/debug"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// ErrPanicked is returned by a loop that Supervise ended because it kept panicking.
var ErrPanicked = errors.New("a loop kept panicking")

// Task names a kind of work to which a panic is confined.
type Task string

// Panic describes a confined panic.
type Panic struct {
	Task  Task
	Value any
	// Stack is the stack of the panicking goroutine.
	Stack []byte
	// Total is the number of panics that the guard has confined, this one included.
	Total int64
}

// minReportInterval is the minimum interval between two reports, because a stack is long
// and a malformed input may come again and again.
const minReportInterval = time.Second

// Guard runs tasks and confines their panics. It is safe for concurrent use.
type Guard struct {
	clock  clock.Clock
	report func(Panic)
	total  atomic.Int64
	// nextReportAt is the instant from which the next panic is reported.
	nextReportAt atomic.Int64
}

// New returns a guard that passes panics to report, at most one each
// minReportInterval.
func New(c clock.Clock, report func(Panic)) *Guard {
	return &Guard{clock: c, report: report}
}

// Total returns the number of panics confined so far.
func (g *Guard) Total() int64 { return g.total.Load() }

// Run runs f and reports whether it returned without a panic.
func (g *Guard) Run(task Task, f func()) (completed bool) {
	defer func() {
		if completed {
			return
		}
		// After runtime.Goexit, recover returns nil and the goroutine still ends.
		if value := recover(); value != nil {
			g.record(task, value)
		}
	}()
	f()
	return true
}

// Go runs f in a goroutine of its own.
func (g *Guard) Go(task Task, f func()) { go g.Run(task, f) }

func (g *Guard) record(task Task, value any) {
	total := g.total.Add(1)
	now := g.clock.Now()
	next := g.nextReportAt.Load()
	if int64(now) < next || !g.nextReportAt.CompareAndSwap(next, int64(now.Add(minReportInterval))) {
		return
	}
	g.report(Panic{Task: task, Value: value, Stack: debug.Stack(), Total: total})
}

// Pauses of a supervised loop.
const (
	// minPause is the pause after a loop's first panic; it doubles with each further one.
	minPause = 100 * time.Millisecond
	// calmPeriod is how long a loop must run for its panics to be forgotten.
	calmPeriod = 10 * time.Second
	// maxRestarts is the number of restarts of a loop within which it must run calmly.
	maxRestarts = 6
)

// Supervise runs a loop until it returns or ctx ends. After a panic it runs the loop
// again, with a growing pause; beforeRestart restores what the loop works on. A loop that
// keeps panicking is not run again: Supervise then returns ErrPanicked.
func (g *Guard) Supervise(ctx context.Context, task Task, beforeRestart func(), loop func(context.Context) error) error {
	var err error
	pause, restarts := minPause, 0
	for {
		startedAt := g.clock.Now()
		if g.Run(task, func() { err = loop(ctx) }) {
			return err
		}
		if g.clock.Now().Sub(startedAt) >= calmPeriod {
			pause, restarts = minPause, 0
		}
		if restarts++; restarts > maxRestarts {
			return ErrPanicked
		}
		if !g.clock.Sleep(ctx, pause) {
			return nil
		}
		pause *= 2
		beforeRestart()
	}
}
