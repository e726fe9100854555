package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/duty"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
)

const (
	// dutyInterval is the interval between steps of the duty's loop. It is short beside the
	// time from the renewal to the end of a lease, 1.2 s of the usual 3 s.
	dutyInterval = 100 * time.Millisecond
	// dutyTimeoutFraction limits the store's calls for the duty, as a fraction of the lease:
	// a renewal without an answer can be read back, and tried again, within the lease.
	dutyTimeoutFraction = 0.25
	// dutyRetryInterval is the pause after a failed step of the task. The platform asks for a
	// second after a call over its rate.
	dutyRetryInterval = time.Second
	// dutyRoundTripWeight is the weight of the last call in the measured round trip.
	dutyRoundTripWeight = 0.25
)

// DutyTask is the work of a duty. Its calls are made one at a time, in a goroutine apart from
// the renewal of the lease.
type DutyTask interface {
	// Acquired prepares the work after each acquisition of the duty. It is called again if
	// it fails.
	Acquired(ctx context.Context) error
	// Step makes at most one write to the store or one call to the platform, and calls mayAct
	// immediately before it. It is called several times a second while this host may act. An
	// error that matches platform.ErrFenced ends the holding.
	Step(ctx context.Context, mayAct func() (duty.Token, bool)) error
}

// dutyRunner executes what the candidate for a duty decides. One goroutine runs it; the task's
// calls run in another, which the loop starts.
type dutyRunner struct {
	host *Host
	name platform.DutyName
	log  *logging.Log
	// lease is the length of the lease.
	lease time.Duration
	// task does the work; without one the duty is held and nothing is done. Ready is a
	// further condition for taking the duty over. Both are set before Start.
	task  DutyTask
	ready func() bool

	// roundTrip, token and stepAt are used by the loop only.
	roundTrip time.Duration
	// token is the token that this host holds, or 0.
	token  duty.Token
	stepAt clock.Instant

	// released is closed once the host is stopping and does not hold the duty.
	released    chan struct{}
	releaseOnce sync.Once

	// mu protects the fields below. It is held for moments only.
	mu        sync.Mutex
	candidate *duty.Candidate
	// prepared is the token for which the task was prepared.
	prepared duty.Token
	// working is closed when the running call of the task ends; nil if none runs.
	working chan struct{}
	failed  bool
}

func newDutyRunner(h *Host, name platform.DutyName, incarnation id.Incarnation, log *logging.Log) *dutyRunner {
	s := h.settings.Load()
	return &dutyRunner{
		host: h, name: name, log: log.With("duty", name), lease: s.Bounds.Lease, ready: func() bool { return true }, released: make(chan struct{}),
		candidate: duty.New(duty.Self{Host: s.Host, Incarnation: incarnation}, duty.Terms{Lease: s.Bounds.Lease, Fenced: s.Bounds.Fenced}),
	}
}

// key is the key of the row that names the holder.
func (d *dutyRunner) key() string { return string(d.name) + "/holder" }

// run runs the duty until ctx ends.
func (d *dutyRunner) run(ctx context.Context) error {
	for d.host.clock.Sleep(ctx, dutyInterval) {
		d.step(ctx)
	}
	return nil
}

// step does what the candidate wants done next, and starts the next call of the task.
func (d *dutyRunner) step(ctx context.Context) {
	leaving := d.host.leaving.Load()
	if leaving {
		d.awaitWork(ctx)
	}
	// A host that cannot read the store may not be the one that reads for its region.
	eligible := d.host.copies.reading.Load() && !d.host.copies.failing() && !leaving && d.ready()
	action := d.next(eligible, leaving)
	switch action.Kind {
	case duty.Read:
		d.read(ctx)
	case duty.Write:
		if action.Record.Released {
			d.awaitWork(ctx)
		}
		d.write(ctx, action)
	case duty.Nothing:
	}
	d.noteHolder(action.Kind == duty.Write && action.Record.Released)
	if leaving && d.token == 0 {
		d.releaseOnce.Do(func() { close(d.released) })
	}
	d.startWork(ctx)
}

func (d *dutyRunner) next(eligible, leaving bool) duty.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leaving {
		d.candidate.Leave()
	}
	return d.candidate.Next(eligible, d.roundTrip, d.host.clock.Now())
}

// read reads the row. A row that cannot be decoded counts as held.
func (d *dutyRunner) read(ctx context.Context) {
	ctx, cancel := d.limit(ctx)
	defer cancel()
	sentAt := d.host.clock.Now()
	row, found, err := d.host.store.Get(ctx, platform.DutyRows, d.key())
	if err != nil {
		return
	}
	var record duty.Record
	if found && json.Unmarshal(row.Value, &record) != nil {
		record = duty.Record{}
		d.log.With("version", row.Version).Warn("The row of the duty cannot be decoded; it counts as held.")
	}
	d.measure(sentAt)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidate.ObserveRead(record, row.Version, found, sentAt, d.host.clock.Now())
}

// write writes the row.
func (d *dutyRunner) write(ctx context.Context, a duty.Action) {
	ctx, cancel := d.limit(ctx)
	defer cancel()
	data, err := json.Marshal(a.Record)
	if err != nil {
		d.log.With("error", err).Error("The row of the duty could not be encoded.")
		return
	}
	sentAt := d.host.clock.Now()
	version, err := d.host.store.Commit(ctx, platform.Put{Table: platform.DutyRows, Key: d.key(), Value: data, Conditional: true, Expected: a.Expected})
	result := duty.Unknown
	switch {
	case err == nil:
		result = duty.Applied
		d.measure(sentAt)
	case errors.Is(err, platform.ErrConflict):
		result = duty.Conflict
	case errors.Is(err, platform.ErrRefused):
		result = duty.Refused
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidate.ObserveWrite(result, version, sentAt, d.host.clock.Now())
}

// limit limits a call of the store.
func (d *dutyRunner) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(dutyTimeoutFraction*float64(d.lease)))
}

// measure updates the round trip of the store's calls.
func (d *dutyRunner) measure(sentAt clock.Instant) {
	sample := d.host.clock.Now().Sub(sentAt)
	if d.roundTrip == 0 {
		d.roundTrip = sample
	}
	d.roundTrip += time.Duration(dutyRoundTripWeight * float64(sample-d.roundTrip))
}

// noteHolder logs a change of the holding and updates the metrics.
func (d *dutyRunner) noteHolder(releasing bool) {
	d.mu.Lock()
	token, version, held := d.candidate.Held()
	active := d.candidate.Active(d.host.clock.Now())
	d.mu.Unlock()
	before := d.token
	d.token = token
	switch {
	case token == before:
	case held:
		d.log.With("token", token).With("version", version).With("round_trip_us", d.roundTrip.Microseconds()).Info("The duty was acquired.")
		d.host.metrics.dutyToken.Update(int64(token))
	case releasing:
		d.log.With("token", before).Info("The duty was released.")
	default:
		d.log.With("token", before).Warn("The duty was lost.")
	}
	if active {
		d.host.metrics.dutyHeld.Update(1)
	} else {
		d.host.metrics.dutyHeld.Update(0)
	}
}

// holderRow returns the condition that this process still holds the duty, for transactions of
// the task. Each renewal changes the row's version: a transaction that meets one has a
// conflict and can be repeated.
func (d *dutyRunner) holderRow() (condition platform.Put, held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, version, held := d.candidate.Held()
	return platform.Expect(platform.DutyRows, d.key(), version), held
}

// awaitRelease waits until this host, which is stopping, does not hold the duty.
func (d *dutyRunner) awaitRelease(ctx context.Context) {
	select {
	case <-d.released:
	case <-ctx.Done():
	}
}
