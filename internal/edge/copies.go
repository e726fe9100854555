package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

// Times of reading the store. One host of each region reads for the others and
// tells how fresh its copies are; a host reads for itself when that is too old,
// so that a change is known everywhere in time whoever is cut off.
const (
	// feedWait is how long a read waits for a change. It bounds how long a silent
	// connection stays unnoticed.
	feedWait = 900 * time.Millisecond
	// ownWait is the same for the table of this system's own rows, which say nothing
	// that is due within seconds, and ownPause the pause after a read that found
	// some: when all hosts start, each writes one.
	ownWait, ownPause = 2500 * time.Millisecond, 600 * time.Millisecond
	// firstStale and lastStale bound the age from which a host reads for itself. The
	// first is a reader's wait, the interval between digests, and the way.
	firstStale, lastStale = 1500 * time.Millisecond, 2500 * time.Millisecond
	// ownStale is the same for the system's own rows.
	ownStale = 5 * time.Second
	// upstreamPausePart is the pause after a read that found changed upstreams, as a
	// part of the time in which changes are due; they change many times a second.
	upstreamPausePart = 0.125
	// actTime is what a host needs to act on a change that it has read.
	actTime = 500 * time.Millisecond
	// staleCheck is the interval at which the age is looked at.
	staleCheck = 100 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed read.
	firstPause   = 150 * time.Millisecond
	longestPause = 900 * time.Millisecond
)

// copies keeps this host's copies of the store's tables up to date.
type copies struct {
	store  *platform.Store
	clock  clock.Clock
	log    *logging.Log
	tables map[platform.Table]*copied

	// reading tells whether this host reads for its region.
	reading atomic.Bool
	// brought gives the rows that were read to the other hosts of the region.
	brought func(name platform.Table, changes mirror.Changes)

	mu sync.Mutex
	// pending holds the changes that the keeper has not taken yet.
	pending map[platform.Table][]mirror.Row
}

// copied is the copy of one table.
type copied struct {
	*mirror.Table
	// wait is how long a read waits for a change, pause the time after one that found
	// some, stale the age from which a host reads for itself.
	wait, pause, stale time.Duration
	// failing is set while reads fail; troubleAt is when one last failed.
	failing   atomic.Bool
	troubleAt atomic.Int64
	// listed is set when the table has been read once.
	listed atomic.Bool
	// freshAt is when the copy was last known to be complete.
	freshAt atomic.Int64
}

// newCopies returns copies that know nothing yet. Changes are to be in force
// everywhere within due.
func newCopies(store *platform.Store, c clock.Clock, log *logging.Log, due time.Duration) *copies {
	stale := min(max(due-actTime, firstStale), lastStale)
	return &copies{
		store: store, clock: c, log: log, pending: map[platform.Table][]mirror.Row{},
		tables: map[platform.Table]*copied{
			platform.Operator:     {Table: mirror.New(), wait: feedWait, stale: stale},
			platform.Upstreams:    {Table: mirror.New(), wait: feedWait, pause: time.Duration(upstreamPausePart * float64(due)), stale: stale},
			platform.Coordination: {Table: mirror.New(), wait: ownWait, pause: ownPause, stale: ownStale},
		},
	}
}

func (c *copies) start(t *tomb.Tomb, ctx context.Context, changed func()) {
	for name, table := range c.tables {
		t.Go(func() error { return c.follow(ctx, name, table, changed) })
	}
}

// follow reads a table until ctx ends.
func (c *copies) follow(ctx context.Context, name platform.Table, table *copied, changed func()) error {
	pause := firstPause
	for ctx.Err() == nil {
		rows, err := c.read(ctx, name, table)
		if ctx.Err() != nil {
			return nil
		}
		c.note(name, table, err)
		switch {
		case err != nil:
			c.clock.Sleep(ctx, jitter(pause))
			pause = min(2*pause, longestPause)
			continue
		case len(rows) > 0:
			c.add(name, rows)
			changed()
			c.clock.Sleep(ctx, table.pause)
		}
		pause = firstPause
		c.awaitTurn(ctx, table)
	}
	return nil
}

// awaitTurn waits until the copy that another host keeps fresh has become
// stale, unless this host reads for its region.
func (c *copies) awaitTurn(ctx context.Context, table *copied) {
	for !c.reading.Load() && c.clock.Now().Sub(clock.Instant(table.freshAt.Load())) < table.stale {
		if !c.clock.Sleep(ctx, staleCheck) {
			return
		}
	}
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// read takes what has changed, or the whole table if it was not read before or
// the history is gone.
func (c *copies) read(ctx context.Context, name platform.Table, table *copied) ([]mirror.Row, error) {
	if table.listed.Load() {
		after := table.Version()
		wait := time.Duration(0)
		if c.reading.Load() {
			wait = table.wait
		}
		rows, version, err := c.store.Changes(ctx, name, after, wait)
		if err == nil {
			table.freshAt.Store(int64(c.clock.Now()))
			changed := table.Apply(rows, after, version)
			// Rows that came here another way may be new to the others.
			if len(rows) > 0 && c.reading.Load() {
				c.brought(name, mirror.Changes{Rows: rows, Base: after, Version: version})
			}
			return changed, nil
		}
		if !errors.Is(err, platform.ErrCompacted) {
			return nil, err
		}
		c.log.With("table", name).Warn("The history is gone; reading the whole table.")
	}
	rows, version, err := c.store.List(ctx, name)
	if err != nil {
		return nil, err
	}
	table.listed.Store(true)
	table.freshAt.Store(int64(c.clock.Now()))
	return table.Reset(rows, version), nil
}

// known tells whether a table was read, or came whole from another host.
func (c *copies) known(name platform.Table) bool {
	table := c.tables[name]
	return table.listed.Load() || table.Version() > 0
}

// note logs when the store is lost and regained.
func (c *copies) note(name platform.Table, table *copied, err error) {
	if err != nil {
		table.troubleAt.Store(int64(c.clock.Now()))
	}
	if failing := err != nil; table.failing.Swap(failing) != failing {
		if failing {
			c.log.With("table", name).With("error", err.Error()).Warn("Reads fail; the last copy stays in force.")
			return
		}
		c.log.With("table", name).With("version", table.Version()).Info("Reads succeed again.")
	}
}

// add queues changes for the keeper.
func (c *copies) add(name platform.Table, rows []mirror.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[name] = append(c.pending[name], rows...)
}

// take returns the changes that came since the last call.
func (c *copies) take() map[platform.Table][]mirror.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.pending
	c.pending = map[platform.Table][]mirror.Row{}
	return out
}

// relayed takes rows that another host has sent.
func (c *copies) relayed(name platform.Table, changes mirror.Changes) bool {
	table := c.tables[name]
	if table == nil {
		return false
	}
	changed := table.ApplyChanges(changes)
	c.add(name, changed)
	return len(changed) > 0
}

// vouched takes the word of the host that reads for this one: its copies are
// complete as of these versions, and were so at these ages. A copy that reflects
// the last change is then as complete as the reader's.
func (c *copies) vouched(d *roster.Digest, now clock.Instant) {
	for name, table := range c.tables {
		age, told := d.CopyAges[string(name)]
		if told && table.Confirm(d.LastChange[string(name)], d.Versions[string(name)]) {
			table.freshAt.Store(max(table.freshAt.Load(), int64(now.Add(-age))))
		}
	}
}

// ages returns how long ago each copy was known to be complete.
func (c *copies) ages(now clock.Instant) map[string]time.Duration {
	out := map[string]time.Duration{}
	for name, table := range c.tables {
		if at := table.freshAt.Load(); at > 0 {
			out[string(name)] = now.Sub(clock.Instant(at))
		}
	}
	return out
}

// failing tells whether the store cannot be read.
func (c *copies) failing() bool {
	for _, table := range c.tables {
		if table.failing.Load() {
			return true
		}
	}
	return false
}

// versions returns the versions as of which the copies are complete, and those of
// their last changes.
func (c *copies) versions() (complete, changed map[string]mirror.Version) {
	complete, changed = map[string]mirror.Version{}, map[string]mirror.Version{}
	for name, table := range c.tables {
		complete[string(name)], changed[string(name)] = table.Version(), table.LastChange()
	}
	return complete, changed
}
