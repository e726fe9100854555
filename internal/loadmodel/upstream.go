package loadmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// upstream simulates one upstream: it runs as many requests at once as it has
// slots, queues a few, rejects the others, and is faster with objects that it has
// served recently.
type upstream struct {
	sim      *simulation
	rng      *rand.Rand
	info     fleet.Upstream
	queue    []*job
	maxQueue int
	// running counts the jobs in the slots.
	running int
	// warm holds when each warm object was last used; the least recently used one is
	// evicted.
	warm    map[id.Object]clock.Instant
	maxWarm int
	// slowdown multiplies the service time; failureRate is the fraction of requests
	// that fail.
	slowdown, failureRate float64
	// heavyRuns is the fraction of runs that take heavyFactor times as long.
	heavyRuns float64
	// coldUntil is the end of the slow phase after a start.
	coldUntil clock.Instant
	served    int
	// busy is the time for which slots were used.
	busy time.Duration
	// noisy is set if the upstream is slower in alternating periods, which begin at phase.
	noisy bool
	phase time.Duration
}

// job is one request at an upstream.
type job struct {
	class    *class
	object   id.Object
	deadline clock.Instant
	caller   *process
	// outcome is set when the job is done, before the caller is woken.
	outcome jobOutcome
	done    bool
	// heavy reports whether the request is heavy work at every upstream.
	heavy bool
	// running and ended report whether it has got a slot and whether it has given it back.
	running, ended bool
	startedAt      clock.Instant
}

// jobOutcome is how a request at an upstream ended, as its caller sees it.
type jobOutcome int

const (
	outcomeServed jobOutcome = iota
	outcomeFailed
	outcomeShed
	outcomeLate
	// outcomeCancelled means that the host closed the connection.
	outcomeCancelled
)

const (
	// serviceTimeJitter is the maximum deviation from the mean service time, as a
	// fraction of it.
	serviceTimeJitter = 0.15
	// coldFactor multiplies the service time of an upstream that has just started.
	coldFactor = 2
	// failureLatency is the time after which an upstream answers a request that fails.
	failureLatency = 20 * time.Millisecond
	// heavyFactor multiplies the service time of heavy work.
	heavyFactor = 7
	// cancelledRunTime is the time for which an upstream goes on with a request whose
	// connection was closed: the longest that the platform promises.
	cancelledRunTime = 500 * time.Millisecond
)

// enqueue starts or queues a request. The caller's process must then yield until it
// is woken. enqueue returns false if the slots and the queue are full.
func (u *upstream) enqueue(j *job) bool {
	if u.running >= u.info.Slots && len(u.queue) >= u.maxQueue {
		return false
	}
	u.queue = append(u.queue, j)
	u.sim.after(j.deadline.Sub(u.sim.now), func() { u.expire(j) })
	u.startQueued()
	return true
}

// expire ends a request whose deadline has passed, and removes it from the queue. A
// request that already runs keeps its slot to the end.
func (u *upstream) expire(j *job) {
	if j.done {
		return
	}
	for i, waiting := range u.queue {
		if waiting == j {
			u.queue = append(u.queue[:i], u.queue[i+1:]...)
			break
		}
	}
	u.finish(j, outcomeLate)
}

// cancel ends a request whose connection was closed. If it runs, its slot is free after
// cancelledRunTime.
func (u *upstream) cancel(j *job) {
	if j.done {
		return
	}
	if i := slices.Index(u.queue, j); i >= 0 {
		u.queue = slices.Delete(u.queue, i, i+1)
	}
	if j.running {
		u.sim.after(cancelledRunTime, func() {
			if u.release(j) {
				u.startQueued()
			}
		})
	}
	u.finish(j, outcomeCancelled)
}

// release gives back the slot of a job, and reports whether it had one.
func (u *upstream) release(j *job) bool {
	if j.ended {
		return false
	}
	j.ended = true
	u.running--
	u.busy += u.sim.now.Sub(j.startedAt)
	return true
}

func (u *upstream) finish(j *job, o jobOutcome) {
	j.done, j.outcome = true, o
	u.sim.wake(j.caller)
}

// startQueued starts queued requests while slots are free.
func (u *upstream) startQueued() {
	for u.running < u.info.Slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		u.execute(j)
	}
}

// execute runs a request in a slot that startQueued has counted in running.
func (u *upstream) execute(j *job) {
	outcome, duration := outcomeServed, u.serviceTime(j)
	if u.rng.Float64() < u.failureRate {
		outcome, duration = outcomeFailed, failureLatency
	}
	j.running, j.startedAt = true, u.sim.now
	u.sim.after(duration, func() {
		if !u.release(j) {
			return
		}
		if outcome == outcomeServed && j.outcome != outcomeCancelled {
			u.markWarm(j.object)
			u.served++
		}
		if !j.done {
			u.finish(j, outcome)
		}
		u.startQueued()
	})
}

// serviceTime draws the service time of a request.
func (u *upstream) serviceTime(j *job) time.Duration {
	serviceTime := float64(j.class.ServiceTime) * (1 + serviceTimeJitter*(2*u.rng.Float64()-1))
	if _, warm := u.warm[j.object]; warm {
		serviceTime *= 1 - j.class.WarmSaving
	}
	if u.sim.now < u.coldUntil {
		serviceTime *= coldFactor
	}
	if j.heavy || (u.heavyRuns > 0 && u.rng.Float64() < u.heavyRuns) {
		serviceTime *= heavyFactor
	}
	return u.elapsed(time.Duration(serviceTime * u.slowdown))
}

// markWarm records the use of an object, and evicts the least recently used one if
// more than maxWarm are warm.
func (u *upstream) markWarm(object id.Object) {
	u.warm[object] = u.sim.now
	if len(u.warm) <= u.maxWarm {
		return
	}
	oldest, oldestUse := object, u.sim.now
	for o, lastUsed := range u.warm {
		if lastUsed < oldestUse || (lastUsed == oldestUse && o < oldest) {
			oldest, oldestUse = o, lastUsed
		}
	}
	delete(u.warm, oldest)
}

// load returns the load that the upstream reports with its answers.
func (u *upstream) load() (running, waiting int) { return u.running, len(u.queue) }
