package loadmodel

import (
	"math/rand/v2"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// upstream is one worker: it runs as many requests at once as it has slots,
// queues a few, turns others away, and is fast with objects that it has served
// lately.
type upstream struct {
	world *world
	rng   *rand.Rand
	info  fleet.Upstream
	queue []*job
	most  int
	// running counts the jobs in the slots.
	running int
	// warm holds when objects were used last; the oldest gives way.
	warm  map[id.Object]clock.Instant
	keeps int
	// slowBy is how many times longer it takes than usual, failing the part of its
	// requests that it fails.
	slowBy, failing float64
	// coldUntil is the end of its start, in which it is slow.
	coldUntil clock.Instant
	served    int
}

// job is one request at an upstream.
type job struct {
	class  *class
	object id.Object
	until  clock.Instant
	caller *process
	// outcome is set when the caller is woken.
	outcome outcome
	done    bool
}

type outcome int

const (
	outcomeServed outcome = iota
	outcomeFailed
	outcomeShed
	outcomeLate
)

const (
	// workSpread is the range of the time that requests take, as a part of it.
	workSpread = 0.15
	// coldFactor is how much longer an upstream takes that has just started.
	coldFactor = 2
	// failTime is how soon a failing upstream answers.
	failTime = 20 * time.Millisecond
)

// arrive takes a request; the caller's process waits until it is woken. It
// returns false if the request is turned away.
func (u *upstream) arrive(j *job) bool {
	if u.running >= u.info.Slots && len(u.queue) >= u.most {
		return false
	}
	u.queue = append(u.queue, j)
	u.world.after(j.until.Sub(u.world.now), func() { u.expire(j) })
	u.next()
	return true
}

// expire gives a request up that has waited too long.
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

func (u *upstream) finish(j *job, o outcome) {
	j.done, j.outcome = true, o
	u.world.wake(j.caller)
}

// next begins queued requests while slots are free.
func (u *upstream) next() {
	for u.running < u.info.Slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		u.begin(j)
	}
}

func (u *upstream) begin(j *job) {
	outcome, took := outcomeServed, u.workOf(j)
	if u.rng.Float64() < u.failing {
		outcome, took = outcomeFailed, failTime
	}
	u.world.after(took, func() {
		u.running--
		if outcome == outcomeServed {
			u.keep(j.object)
			u.served++
		}
		if !j.done {
			u.finish(j, outcome)
		}
		u.next()
	})
}

// workOf returns how long a request takes.
func (u *upstream) workOf(j *job) time.Duration {
	work := float64(j.class.Work) * (1 + workSpread*(2*u.rng.Float64()-1))
	if _, known := u.warm[j.object]; known {
		work *= 1 - j.class.WarmGain
	}
	if u.world.now < u.coldUntil {
		work *= coldFactor
	}
	return time.Duration(work * u.slowBy)
}

func (u *upstream) keep(object id.Object) {
	u.warm[object] = u.world.now
	if len(u.warm) <= u.keeps {
		return
	}
	oldest, at := object, u.world.now
	for o, used := range u.warm {
		if used < at || (used == at && o < oldest) {
			oldest, at = o, used
		}
	}
	delete(u.warm, oldest)
}

// load returns what the upstream tells of its load.
func (u *upstream) load() (running, waiting int) { return u.running, len(u.queue) }
