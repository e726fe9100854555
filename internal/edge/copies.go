package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

// Timeouts and intervals of reading the store. One host of each region, the
// reader, reads for the others and reports the age of its copies. A host whose
// copy is stale reads for itself, so that changes arrive in time when the reader
// or the network between hosts fails.
const (
	// feedTimeout is how long the reader's reads wait for a change. It limits how
	// long a silent connection goes unnoticed.
	feedTimeout = 900 * time.Millisecond
	// coordinationFeedTimeout is the feed timeout of the coordination table, whose
	// changes need not be applied within seconds.
	coordinationFeedTimeout = 2500 * time.Millisecond
	// coordinationReadDelay is the delay after a read that found changes in the
	// coordination table. When all hosts start, each writes a row.
	coordinationReadDelay = 600 * time.Millisecond
	// minStaleAge is the lower limit of the age from which a copy is stale. It covers
	// the reader's feed timeout, the interval between digests, and the network delay.
	minStaleAge = 1500 * time.Millisecond
	// maxStaleAge is the upper limit of the age from which a copy is stale.
	maxStaleAge = 2500 * time.Millisecond
	// coordinationStaleAge is the age from which the copy of the coordination table is stale.
	coordinationStaleAge = 5 * time.Second
	// upstreamDelayFraction is the delay after a read that found changed upstreams,
	// as a fraction of the time in which changes must be applied. Upstreams change
	// many times a second.
	upstreamDelayFraction = 0.125
	// applyAllowance is the time that a host needs to apply a change after reading it.
	applyAllowance = 500 * time.Millisecond
	// rewriteTime is how long rows that the store has lost are kept after the beginning of an
	// era, and entries of upstreams that have expired after the return of the store. Their
	// writers write them again by then; upstreams take up to 2 s.
	rewriteTime = 2200 * time.Millisecond
	// maxListDelay limits the delay before a host that is not the reader of its region lists
	// a table of a new era. The reader's listing may arrive first.
	maxListDelay = 500 * time.Millisecond
	// staleCheckInterval is the interval between checks of a copy's age.
	staleCheckInterval = 100 * time.Millisecond
	// minBackoff is the backoff after the first failed read.
	minBackoff = 150 * time.Millisecond
	// maxBackoff limits the backoff after repeated failed reads.
	maxBackoff = 900 * time.Millisecond
)

// copies keeps this host's copies of the store's tables up to date. It is safe for
// concurrent use: the goroutines that read the store and those of the mesh apply rows, and
// the control loop takes the changes.
type copies struct {
	store  *platform.Store
	clock  clock.Clock
	log    *logging.Log
	tables map[platform.TableName]*tableCopy

	// reading is set while this host is the reader of its region.
	reading atomic.Bool
	// onRead is called with the rows that this host has read as the reader of its region.
	onRead func(name platform.TableName, changes mirror.Changes)

	mu sync.Mutex
	// pending holds the changes that the controller has not taken yet.
	pending map[platform.TableName][]mirror.Row
}

// tableCopy is the local copy of one table.
type tableCopy struct {
	*mirror.Table
	// feedTimeout is how long a read waits for a change, readDelay the delay after a
	// read that found changes, and staleAge the age from which the copy is stale.
	feedTimeout, readDelay, staleAge time.Duration
	// failing is set while reads fail.
	failing atomic.Bool
	// recoveredAt is the instant of the first read that succeeded after one that had failed,
	// 0 if none has failed.
	recoveredAt atomic.Int64
	// listed is set once the whole table has been read from the store.
	listed atomic.Bool
	// freshAt is the last instant at which the copy was known to be complete.
	freshAt atomic.Int64
	// eraBeganAt is the instant at which the copy came to its era, or 0 if it has known one
	// era only. Until the copy's rows of earlier eras are dropped, keepsEarlier is set.
	eraBeganAt   atomic.Int64
	keepsEarlier atomic.Bool
}

// markStale makes the copy count as stale, so that it is read again.
func (t *tableCopy) markStale() { t.freshAt.Store(0) }

// newCopies returns empty copies. Changes must be applied on all hosts within
// applyWithin.
func newCopies(store *platform.Store, c clock.Clock, log *logging.Log, applyWithin time.Duration) *copies {
	staleAge := min(max(applyWithin-applyAllowance, minStaleAge), maxStaleAge)
	return &copies{
		store: store, clock: c, log: log, pending: map[platform.TableName][]mirror.Row{},
		tables: map[platform.TableName]*tableCopy{
			platform.Operator:     {Table: mirror.New(), feedTimeout: feedTimeout, staleAge: staleAge},
			platform.Upstreams:    {Table: mirror.New(), feedTimeout: feedTimeout, readDelay: time.Duration(upstreamDelayFraction * float64(applyWithin)), staleAge: staleAge},
			platform.Coordination: {Table: mirror.New(), feedTimeout: coordinationFeedTimeout, readDelay: coordinationReadDelay, staleAge: coordinationStaleAge},
		},
	}
}

// apply applies changes from the store or from another host, and returns the rows that
// changed. A copy that they show to be of an earlier era counts as stale.
func (c *copies) apply(name platform.TableName, table *tableCopy, changes mirror.Changes) []mirror.Row {
	before := table.Version()
	changed := table.ApplyChanges(changes)
	after := table.Version()
	switch {
	case before.IsZero() || before.Era == after.Era:
		if after.Era < changes.Version.Era {
			table.markStale()
		}
	default:
		table.eraBeganAt.Store(int64(c.clock.Now()))
		table.keepsEarlier.Store(true)
		c.log.With("table", name).With("era", after.Era).With("era_before", before.Era).With("version", after).With("version_before", before).
			With("changed", len(changed)).Warn("The store has come back from an older copy; the table was listed.")
	}
	return changed
}

// rewritten reports whether the writers have had the time to write again what the store has
// lost with the last era.
func (t *tableCopy) rewritten(now clock.Instant) bool { return longAgo(t.eraBeganAt.Load(), now) }

// settled reports whether they have also had the time to write again what has expired while
// the store was unavailable.
func (t *tableCopy) settled(now clock.Instant) bool {
	return !t.failing.Load() && longAgo(t.recoveredAt.Load(), now) && t.rewritten(now)
}

// longAgo reports whether an instant, 0 if there is none, was rewriteTime ago.
func longAgo(at int64, now clock.Instant) bool {
	return at == 0 || now.Sub(clock.Instant(at)) >= rewriteTime
}

// dropEarlier queues the deletion of the rows that the store has lost and that nobody has
// written again.
func (c *copies) dropEarlier(now clock.Instant) {
	for name, table := range c.tables {
		if !table.keepsEarlier.Load() || !table.rewritten(now) {
			continue
		}
		table.keepsEarlier.Store(false)
		if dropped := table.DropEarlier(); len(dropped) > 0 {
			c.log.With("table", name).With("rows", len(dropped)).Warn("Rows that the store has lost were not written again.")
			c.add(name, dropped)
		}
	}
}

// follow reads a table repeatedly until ctx ends. It calls changed after it has queued
// changes.
func (c *copies) follow(ctx context.Context, name platform.TableName, table *tableCopy, changed func()) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		rows, err := c.read(ctx, name, table)
		if ctx.Err() != nil {
			return nil
		}
		c.recordResult(name, table, err)
		switch {
		case err != nil:
			c.clock.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		case len(rows) > 0:
			c.add(name, rows)
			changed()
			c.clock.Sleep(ctx, table.readDelay)
		}
		backoff = minBackoff
		c.waitUntilStale(ctx, table)
	}
	return nil
}

// waitUntilStale waits until the copy is stale or this host is the reader of its
// region.
func (c *copies) waitUntilStale(ctx context.Context, table *tableCopy) {
	for !c.reading.Load() && c.clock.Now().Sub(clock.Instant(table.freshAt.Load())) < table.staleAge {
		if !c.clock.Sleep(ctx, staleCheckInterval) {
			return
		}
	}
}

// jitter returns d changed at random by up to 20 %.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// read reads the changes since the copy's version, or the whole table if it was not read
// before, the store has compacted its history, or a new era has begun. It returns the rows that
// were new to the copy.
func (c *copies) read(ctx context.Context, name platform.TableName, table *tableCopy) ([]mirror.Row, error) {
	if table.listed.Load() {
		after := table.Version()
		timeout := time.Duration(0)
		if c.reading.Load() {
			timeout = table.feedTimeout
		}
		rows, version, err := c.store.Changes(ctx, name, after, timeout)
		if err == nil {
			table.freshAt.Store(int64(c.clock.Now()))
			changed := c.apply(name, table, mirror.Changes{Rows: rows, Base: after, Version: version})
			// Rows that this host received earlier from another host may be new to the
			// other hosts of the region, so all rows that were read are relayed.
			if len(rows) > 0 && c.reading.Load() {
				c.onRead(name, mirror.Changes{Rows: rows, Base: after, Version: version})
			}
			return changed, nil
		}
		switch {
		case errors.Is(err, platform.ErrCompacted):
			c.log.With("table", name).Warn("The store has compacted its history; reading the whole table.")
		case !errors.Is(err, platform.ErrEarlierEra):
			return nil, err
		case !c.reading.Load():
			if c.clock.Sleep(ctx, rand.N(maxListDelay)); table.Version().Era > after.Era {
				return nil, nil
			}
		}
	}
	rows, version, err := c.store.List(ctx, name)
	if err != nil {
		return nil, err
	}
	table.listed.Store(true)
	table.freshAt.Store(int64(c.clock.Now()))
	return c.apply(name, table, mirror.Changes{Rows: rows, Version: version, Full: true}), nil
}

// known reports whether a table was read from the store or received in full from
// another host.
func (c *copies) known(name platform.TableName) bool {
	table := c.tables[name]
	return table.listed.Load() || !table.Version().IsZero()
}

// recordResult notes the result of a read, and logs when reads begin to fail and
// when they succeed again.
func (c *copies) recordResult(name platform.TableName, table *tableCopy, err error) {
	if err == nil && table.failing.Load() {
		table.recoveredAt.Store(int64(c.clock.Now()))
	}
	if failing := err != nil; table.failing.Swap(failing) != failing {
		if failing {
			c.log.With("table", name).With("error", err.Error()).Warn("Reads fail; the last copy stays in force.")
			return
		}
		c.log.With("table", name).With("version", table.Version()).Info("Reads succeed again.")
	}
}

// add queues changes for the controller.
func (c *copies) add(name platform.TableName, rows []mirror.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[name] = append(c.pending[name], rows...)
}

// requeue queues all rows, those of deletions included, so that they are applied again.
func (c *copies) requeue() {
	for name, table := range c.tables {
		c.add(name, table.AllRows())
	}
}

// take returns the changes queued since the last call.
func (c *copies) take() map[platform.TableName][]mirror.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.pending
	c.pending = map[platform.TableName][]mirror.Row{}
	return out
}

// applyRelayed applies rows that another host has sent, and reports whether any
// was new.
func (c *copies) applyRelayed(name platform.TableName, changes mirror.Changes) bool {
	table := c.tables[name]
	if table == nil {
		return false
	}
	changed := c.apply(name, table, changes)
	c.add(name, changed)
	return len(changed) > 0
}

// confirm applies the report of the region's reader: the versions as of which the
// reader's copies are complete, and their ages. A local copy that has the last
// change that the reader has is as complete as the reader's.
func (c *copies) confirm(d *roster.Digest, now clock.Instant) {
	for name, table := range c.tables {
		age, reported := d.CopyAges[string(name)]
		if reported && table.Confirm(d.LastChange[string(name)], d.Versions[string(name)]) {
			table.freshAt.Store(max(table.freshAt.Load(), int64(now.Add(-age))))
		}
	}
}

// ages returns the time since each copy was last known to be complete.
func (c *copies) ages(now clock.Instant) map[string]time.Duration {
	out := map[string]time.Duration{}
	for name, table := range c.tables {
		if at := table.freshAt.Load(); at > 0 {
			out[string(name)] = now.Sub(clock.Instant(at))
		}
	}
	return out
}

// failing reports whether reads of any table fail.
func (c *copies) failing() bool {
	for _, table := range c.tables {
		if table.failing.Load() {
			return true
		}
	}
	return false
}

// versions returns the versions as of which the copies are complete, and the
// versions of their last changes.
func (c *copies) versions() (complete, changed map[string]mirror.Version) {
	complete, changed = map[string]mirror.Version{}, map[string]mirror.Version{}
	for name, table := range c.tables {
		complete[string(name)], changed[string(name)] = table.Version(), table.LastChange()
	}
	return complete, changed
}
