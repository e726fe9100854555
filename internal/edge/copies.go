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
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

// Times of reading the store.
const (
	// feedWait is how long a read waits for a change. It bounds how long a silent
	// connection stays unnoticed.
	feedWait = 4 * time.Second
	// upstreamsInterval is the interval between two reads of the upstreams' rows,
	// which change with each of their heartbeats, so that waiting is of no use.
	upstreamsInterval = 900 * time.Millisecond
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

	mu sync.Mutex
	// pending holds the changes that the keeper has not taken yet.
	pending map[platform.Table][]mirror.Row
}

// copied is the copy of one table.
type copied struct {
	*mirror.Table
	// waits is how long a read waits for changes; 0 means to read at intervals.
	waits time.Duration
	// failing is set while reads fail; troubleAt is when one last failed.
	failing   atomic.Bool
	troubleAt atomic.Int64
	// listed is set when the table has been read once.
	listed atomic.Bool
}

func newCopies(store *platform.Store, c clock.Clock, log *logging.Log) *copies {
	return &copies{
		store: store, clock: c, log: log, pending: map[platform.Table][]mirror.Row{},
		tables: map[platform.Table]*copied{
			platform.Operator:  {Table: mirror.New(), waits: feedWait},
			platform.Upstreams: {Table: mirror.New()},
			platform.Own:       {Table: mirror.New(), waits: feedWait},
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
		}
		pause = firstPause
		if table.waits == 0 {
			c.clock.Sleep(ctx, jitter(upstreamsInterval))
		}
	}
	return nil
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// read takes what has changed, or the whole table if it was not read before or
// the history is gone.
func (c *copies) read(ctx context.Context, name platform.Table, table *copied) ([]mirror.Row, error) {
	if table.listed.Load() {
		after := table.Version()
		rows, version, err := c.store.Changes(ctx, name, after, table.waits)
		if err == nil {
			return table.Apply(rows, after, version), nil
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
func (c *copies) relayed(name platform.Table, rows []mirror.Row, base, version mirror.Version) bool {
	table := c.tables[name]
	if table == nil {
		return false
	}
	changed := table.Apply(rows, base, version)
	c.add(name, changed)
	return len(changed) > 0
}

// versions returns the versions as of which the copies are complete.
func (c *copies) versions() map[string]mirror.Version {
	out := map[string]mirror.Version{}
	for name, table := range c.tables {
		out[string(name)] = table.Version()
	}
	return out
}
