// Package loadmodel simulates patterns of load on the entry hosts without a network.
// It is a discrete-event simulation that runs the decision code of the product on a
// simulated clock, about a thousand times as fast as real time. It models upstreams
// with slots, queues and warm objects, hosts that do not see each other's requests,
// and callers with deadlines that retry, and follow Retry-After or ignore it.
package loadmodel

import (
	"container/heap"
	"context"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// simulation is the event loop of a run and its clock. Requests are processes, of
// which only one runs at a time, so that the seed alone determines a run.
type simulation struct {
	now    clock.Instant
	events eventQueue
	// sequence is the number of the last event. Events of the same instant run in the
	// order of their numbers.
	sequence uint64
	// yielded is signalled when the current process waits or has ended.
	yielded chan struct{}
	// current is the process that runs now; nil while no process runs.
	current *process
}

// process is a goroutine that runs only while the event loop waits for it.
type process struct{ resume chan struct{} }

type event struct {
	at       clock.Instant
	sequence uint64
	action   func()
}

// eventQueue is a heap of events, ordered by instant and sequence.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation() *simulation {
	return &simulation{now: clock.Instant(time.Hour), yielded: make(chan struct{})}
}

// Now implements clock.Clock.
func (s *simulation) Now() clock.Instant { return s.now }

// Wall implements clock.Clock.
func (s *simulation) Wall() time.Time { return time.Unix(0, int64(s.now)).UTC() }

// Sleep implements clock.Clock. Only a process may call it.
func (s *simulation) Sleep(ctx context.Context, d time.Duration) bool {
	p := s.current
	s.after(d, func() { s.wake(p) })
	s.yield()
	return ctx.Err() == nil
}

// after schedules action to run after d.
func (s *simulation) after(d time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(max(d, 0)), sequence: s.sequence, action: action})
}

// every schedules action to run periodically, first after d.
func (s *simulation) every(d time.Duration, action func()) {
	s.after(d, func() {
		action()
		s.every(d, action)
	})
}

// spawn schedules f to run now as a new process, after the other events of this
// instant.
func (s *simulation) spawn(f func()) {
	s.after(0, func() {
		p := &process{resume: make(chan struct{})}
		go func() {
			<-p.resume
			f()
			s.yielded <- struct{}{}
		}()
		s.wake(p)
	})
}

// wake runs a process until it waits or ends. Only the action of an event may call
// it, never a process.
func (s *simulation) wake(p *process) {
	s.current = p
	p.resume <- struct{}{}
	<-s.yielded
	s.current = nil
}

// yield suspends the current process until it is woken.
func (s *simulation) yield() {
	p := s.current
	s.yielded <- struct{}{}
	<-p.resume
}

// run executes all events up to the given instant.
func (s *simulation) run(until clock.Instant) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	s.now = until
}
