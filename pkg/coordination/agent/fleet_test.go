package agent

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// simFleet drives real agents over fake links, a fake table and a fake clock. It has
// no threads: all that happens is an event at an instant, and equal seeds give equal
// runs.
type simFleet struct {
	now    clock.Instant
	events eventQueue
	serial int
	rng    *rand.Rand
	delays delays
	timing Timing
	policy PolicyFor

	table    *table.Memory
	store    storeFault
	hosts    []*simHost
	admitted map[id.Account][]admission
	messages int
	// ignoreKeyedLease makes hosts spend whether or not they may serve keyed requests,
	// to test budgets alone.
	ignoreKeyedLease bool
	// linkFaults applies to every message between hosts.
	linkFaults linkFaults
}

// admission is one admitted request.
type admission struct {
	at   clock.Instant
	host id.Host
}

// delays holds the one-way network delays of a deployment.
type delays struct {
	domain, region time.Duration
	storeRegion    id.Region
}

var pushpaDelays = delays{domain: 500 * time.Microsecond, region: 12 * time.Millisecond, storeRegion: "r0"}
var hangRaoDelays = delays{domain: 500 * time.Microsecond, region: 55 * time.Millisecond, storeRegion: "r0"}

// storeMode is how the table answers calls: at once, with a refusal, never, or late.
type storeMode int

const (
	storeUp storeMode = iota
	storeRefusing
	storeSilent
	storeSlow
)

type storeFault struct {
	mode storeMode
	// loseAnswersPercent is the percentage of answers that are lost after the call took
	// effect.
	loseAnswersPercent int
}

// linkFaults holds the percentages of messages that are lost, duplicated and delayed.
type linkFaults struct{ losePercent, duplicatePercent, delayPercent int }

// simHost is one host slot and its current process.
type simHost struct {
	id     id.Host
	region id.Region
	domain id.FailureDomain
	// clockOffset makes the clocks of hosts incomparable.
	clockOffset clock.Instant
	agent       *Agent
	// process numbers the processes of the slot, from 1.
	process      int
	dead         bool
	paused       bool
	cutFromStore bool
	cutFrom      map[id.Host]bool
	waiting      []*simRequest
	deferred     []func()
	log          []string
}

// simRequest is a request that waits for a loan.
type simRequest struct {
	account  id.Account
	deadline clock.Instant
	ch       <-chan struct{}
	done     func(admitted bool)
}

// event is an action at an instant. serial orders the events of the same instant.
type event struct {
	at     clock.Instant
	serial int
	action func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if c := cmp.Compare(q[i].at, q[j].at); c != 0 {
		return c < 0
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newFleet starts hosts in regions r0, r1, ... with two failure domains each.
func newFleet(seed uint64, regions, hostsPerRegion int, d delays, policy PolicyFor, accounts []config.Account) *simFleet {
	f := &simFleet{
		now: clock.Instant(time.Hour), rng: rand.New(rand.NewPCG(seed, seed)), delays: d, timing: DefaultTiming(),
		policy: policy, table: table.NewMemory(), admitted: map[id.Account][]admission{},
	}
	for r := range regions {
		for n := range hostsPerRegion {
			region := id.Region(fmt.Sprintf("r%d", r))
			f.hosts = append(f.hosts, &simHost{
				id: id.Host(fmt.Sprintf("h%d%d", r, n)), region: region,
				domain:      id.FailureDomain(fmt.Sprintf("%s-%d", region, n%2)),
				clockOffset: clock.Instant(f.rng.Int64N(int64(time.Hour))), cutFrom: map[id.Host]bool{},
			})
		}
	}
	f.applyConfig(accounts)
	for _, h := range f.hosts {
		f.start(h)
	}
	return f
}

func (f *simFleet) applyConfig(accounts []config.Account) {
	cfg := config.Config{Accounts: accounts}
	_, _ = f.table.Commit(context.Background(), table.Txn{Operation: "config", Puts: []table.Row{{Key: table.ConfigKey, Config: &cfg}}})
}

// start starts a new process in a host's slot.
func (f *simFleet) start(h *simHost) {
	h.process++
	h.dead, h.paused, h.deferred, h.waiting = false, false, nil, nil
	self := Identity{Host: h.id, Incarnation: id.Incarnation(h.process * 10), Region: h.region, FailureDomain: h.domain}
	h.agent = New(self, f.timing, f.policy, func(kind timeline.Kind, subject, reason string) {
		h.log = append(h.log, fmt.Sprintf("%v %s %s %s: %s", time.Duration(f.now-clock.Instant(time.Hour)), h.id, kind, subject, reason))
	})
	for _, other := range f.hosts {
		h.agent.AddPeer(other.id)
	}
	f.tick(h, h.process)
}

func (f *simFleet) localTime(h *simHost) clock.Instant { return f.now + h.clockOffset }

func (f *simFleet) after(d time.Duration, action func()) {
	f.serial++
	heap.Push(&f.events, &event{at: f.now.Add(d), serial: f.serial, action: action})
}

// onHost runs an action on a process of a host. A paused process runs it when it is
// resumed.
func (f *simFleet) onHost(h *simHost, process int, action func()) {
	switch {
	case h.process != process || h.dead:
	case h.paused:
		h.deferred = append(h.deferred, action)
	default:
		action()
	}
}

const simTick = 50 * time.Millisecond

func (f *simFleet) tick(h *simHost, process int) {
	f.after(simTick, func() {
		f.onHost(h, process, func() {
			f.execute(h, h.agent.Tick(f.localTime(h)))
			f.tick(h, process)
		})
	})
}

// execute sends an agent's messages and calls, subject to the faults.
func (f *simFleet) execute(h *simHost, out Output) {
	for _, s := range out.Messages {
		f.sendMessage(h, s)
	}
	for _, c := range out.Calls {
		f.callStore(h, c)
	}
	f.retryWaiting(h)
}

func (f *simFleet) sendMessage(from *simHost, o Outgoing) {
	to := f.host(o.To)
	f.messages++
	if to == nil || from.cutFrom[to.id] || to.cutFrom[from.id] || f.percent(f.linkFaults.losePercent) {
		return
	}
	copies := 1
	if f.percent(f.linkFaults.duplicatePercent) {
		copies = 2
	}
	for range copies {
		delay := f.delay(from.region, to.region)
		if f.percent(f.linkFaults.delayPercent) {
			delay += time.Duration(f.rng.Int64N(int64(5 * time.Second)))
		}
		process, sender := to.process, from.id
		f.after(delay, func() {
			f.onHost(to, process, func() { f.execute(to, to.agent.Receive(f.localTime(to), sender, o.Message)) })
		})
	}
}

func (f *simFleet) delay(a, b id.Region) time.Duration {
	if a == b {
		return f.delays.domain
	}
	return f.delays.region
}

// callStore sends a call to the table and delivers its answer.
func (f *simFleet) callStore(h *simHost, c Call) {
	process := h.process
	delay := f.delay(h.region, f.delays.storeRegion)
	answered := false
	answer := func(a Answer) {
		a.ID = c.ID
		if !answered {
			answered = true
			f.execute(h, h.agent.HandleAnswer(f.localTime(h), a))
		}
	}
	f.after(f.timing.CallTimeout, func() {
		f.onHost(h, process, func() { answer(Answer{Err: table.ErrUnavailable}) })
	})
	if h.cutFromStore || f.store.mode == storeSilent {
		return
	}
	if f.store.mode == storeSlow {
		delay += time.Duration(f.rng.Int64N(int64(3 * time.Second)))
	}
	f.after(delay, func() {
		a, lost := f.executeCall(c)
		if lost || h.cutFromStore {
			return
		}
		f.after(delay, func() { f.onHost(h, process, func() { answer(a) }) })
	})
}

func (f *simFleet) executeCall(c Call) (a Answer, lost bool) {
	switch f.store.mode {
	case storeSilent:
		return a, true
	case storeRefusing:
		return Answer{Err: table.ErrRefused, Refused: true}, false
	}
	ctx := context.Background()
	if c.Read != nil {
		a.Changes, a.Err = f.table.Changes(ctx, c.Read.After)
		return a, f.percent(f.store.loseAnswersPercent)
	}
	a.Revision, a.Err = f.table.Commit(ctx, *c.Txn)
	if conflict, ok := a.Err.(*table.ConflictError); ok {
		a.Rows = conflict.Rows
	}
	return a, f.percent(f.store.loseAnswersPercent)
}

func (f *simFleet) percent(n int) bool { return n > 0 && f.rng.IntN(100) < n }

func (f *simFleet) host(name id.Host) *simHost {
	for _, h := range f.hosts {
		if h.id == name {
			return h
		}
	}
	return nil
}

// run advances the simulation by d.
func (f *simFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		e.action()
	}
	f.now = end
}

// pause stops a process, and resume continues it. A resumed process first spends, as a
// request in flight would.
func (f *simFleet) pause(h *simHost) { h.paused = !h.dead }

func (f *simFleet) resume(h *simHost) {
	if !h.paused || h.dead {
		return
	}
	h.paused = false
	for _, account := range h.agent.View().Pool.Keys() {
		f.spend(h, account)
	}
	deferred := h.deferred
	h.deferred = nil
	for _, action := range deferred {
		action()
	}
}

// withdraw withdraws a key at a host.
func (f *simFleet) withdraw(h *simHost, hash key.Hash) {
	f.execute(h, h.agent.Withdraw(f.localTime(h), hash))
}

// accepts reports whether a host would authenticate a key now.
func (f *simFleet) accepts(h *simHost, hash key.Hash) bool {
	if h.dead || h.paused || !h.agent.View().KeyedLease.Valid(f.localTime(h)) {
		return false
	}
	_, ok := h.agent.View().Ring.Load().Account(hash)
	return ok
}

// median returns the median of durations.
func median(times []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2]
}
