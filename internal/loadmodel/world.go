// Package loadmodel plays patterns of load against the decisions of the entry
// hosts, without a network: upstreams with slots, queues and warm objects, hosts
// that do not see each other's requests, and callers who give up, retry and come
// back when they are told to. It runs the decisions' own code on a clock of its
// own, some thousand times as fast as time passes.
package loadmodel

import (
	"container/heap"
	"context"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// world is the model's time. Requests are processes, of which one runs at a
// time, so that a run follows from its seed alone.
type world struct {
	now    clock.Instant
	events eventQueue
	serial uint64
	// parked is signalled when the running process waits or has ended.
	parked chan struct{}
	// running is the process that runs now.
	running *process
}

// process is a goroutine that runs only while the world waits for it.
type process struct{ resume chan struct{} }

type event struct {
	at     clock.Instant
	serial uint64
	act    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].serial < q[j].serial)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newWorld() *world {
	return &world{now: clock.Instant(time.Hour), parked: make(chan struct{})}
}

// Now implements clock.Clock.
func (w *world) Now() clock.Instant { return w.now }

// Wall implements clock.Clock.
func (w *world) Wall() time.Time { return time.Unix(0, int64(w.now)).UTC() }

// Sleep implements clock.Clock. Only a process may call it.
func (w *world) Sleep(ctx context.Context, d time.Duration) bool {
	p := w.running
	w.after(d, func() { w.wake(p) })
	w.park()
	return ctx.Err() == nil
}

// after runs act when d has passed.
func (w *world) after(d time.Duration, act func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now.Add(max(d, 0)), serial: w.serial, act: act})
}

// every runs act at intervals.
func (w *world) every(d time.Duration, act func()) {
	w.after(d, func() {
		act()
		w.every(d, act)
	})
}

// start runs f as a process, now.
func (w *world) start(f func()) {
	w.after(0, func() {
		p := &process{resume: make(chan struct{})}
		go func() {
			<-p.resume
			f()
			w.parked <- struct{}{}
		}()
		w.wake(p)
	})
}

// wake lets a process run until it waits or ends. Only events may call it.
func (w *world) wake(p *process) {
	w.running = p
	p.resume <- struct{}{}
	<-w.parked
	w.running = nil
}

// park lets the running process wait until it is woken.
func (w *world) park() {
	p := w.running
	w.parked <- struct{}{}
	<-p.resume
}

// run plays all events up to an instant.
func (w *world) run(until clock.Instant) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.act()
	}
	w.now = until
}
