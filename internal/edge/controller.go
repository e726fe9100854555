package edge

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/rollout"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

// Intervals of the control loop and prefixes of the rows that it writes.
const (
	// tickInterval is the interval between steps of the loop when nothing wakes it.
	tickInterval = 200 * time.Millisecond
	// maxStepAge is the age of the loop's last step from which requests are refused. Other
	// hosts stop sending clients to a host that was silent for a shorter time.
	maxStepAge = 3 * time.Second
	// relayInterval is the minimum interval between relays of a table to one host.
	relayInterval = 400 * time.Millisecond
	// hostPrefix is the key prefix of the rows by which hosts find each other.
	hostPrefix = "host/"
	// releasePrefix is the key prefix of the rollout records.
	releasePrefix = "release/"
	// registerRetryInterval is the interval between attempts to write the host's row.
	registerRetryInterval = 500 * time.Millisecond
	// settleDelay is how long a host that has just started does not act as reader,
	// because another host may be better placed. Its own copies are fresh during this
	// time, because it reads the tables itself when it starts.
	settleDelay = 1200 * time.Millisecond
	// relistDelay is the delay between the writing of the host's row and the next read of
	// the table, which then holds the rows of the hosts that started with this one.
	relistDelay = 700 * time.Millisecond
	// pruneInterval is the interval between checks for rows of hosts that are down.
	pruneInterval = 30 * time.Second
)

// controller turns the changes from the store and the messages from other hosts
// into the snapshots on which requests are decided. One goroutine runs it, the control
// loop. Host states what the loop shares with requests.
//
// Other goroutines do not wait for the loop. Those that read the store and those of the
// mesh queue rows in Host.copies and digests in received, and relay rows themselves. The
// loop does not wait for the store: write runs each write in a goroutine of its own.
type controller struct {
	// The fields up to wakeUps are set once and used by all goroutines; rollouts and
	// upstreams are used by the loop only.
	host *Host
	self roster.Member
	log  *logging.Log
	// started is the instant at which the host's process started.
	started clock.Instant
	// steppedAt is the instant at which the loop last completed a step.
	steppedAt atomic.Int64
	// wakeUps holds a value while a step is requested.
	wakeUps   chan struct{}
	rollouts  *rollout.Controller
	upstreams *upstreamList

	// mu protects the fields up to registered. The fields below are used by the loop only.
	mu sync.Mutex
	// received holds the digests that the loop has not applied yet.
	received []receivedDigest
	// sentAt holds when rows of a table were last relayed to a host.
	sentAt map[relayKey]clock.Instant
	// writing holds the keys of the rows that are being written.
	writing map[string]bool
	// registered is set while this host's row is known to be in the store, as of an era.
	registered    bool
	registeredEra mirror.Era

	// reader is the host of the region that reads the store for the others.
	reader id.Host
	// live holds the hosts that are in contact.
	live    map[id.Host]bool
	orders  map[id.Service]rollout.Order
	records map[id.Service]rollout.Record
	// unrecorded holds the records that the store has lost, and since when that is known.
	unrecorded    map[id.Service]clock.Instant
	sequence      id.Sequence
	digestsSentAt clock.Instant
	// quotaReport is the last report of the accounts' quotas to the other hosts.
	quotaReport    quota.Report
	nextRegisterAt clock.Instant
	nextPruneAt    clock.Instant
	// approved is the map that was last stored in Host.approved.
	approved map[id.Service]id.Release
}

// receivedDigest is another host's digest, with its bulletin if that host is a hub.
type receivedDigest struct {
	digest   *roster.Digest
	bulletin *roster.Bulletin
}

// relayKey identifies the relays of a table to a host.
type relayKey struct {
	host  id.Host
	table string
}

func newController(h *Host, self roster.Member, log *logging.Log) *controller {
	return &controller{
		host: h, self: self, log: log, started: h.clock.Now(), wakeUps: make(chan struct{}, 1),
		rollouts: rollout.New(h.settings.Load().Bounds.ExposureShare), upstreams: newUpstreamList(h, log),
		sentAt: map[relayKey]clock.Instant{}, writing: map[string]bool{}, orders: map[id.Service]rollout.Order{}, records: map[id.Service]rollout.Record{}, unrecorded: map[id.Service]clock.Instant{},
		approved: map[id.Service]id.Release{},
	}
}

// wake makes the loop run a step at once.
func (c *controller) wake() {
	select {
	case c.wakeUps <- struct{}{}:
	default:
	}
}

// run runs a step at each wake-up, and at the latest every tickInterval, until ctx ends.
func (c *controller) run(ctx context.Context) error {
	ticks := make(chan struct{})
	go func() {
		defer close(ticks)
		for c.host.clock.Sleep(ctx, tickInterval) {
			select {
			case ticks <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeUps:
		case <-ticks:
		}
		c.step(ctx, c.host.clock.Now())
		c.steppedAt.Store(int64(c.host.clock.Now()))
		c.host.failing.Store(false)
	}
}

// current reports whether the loop keeps the snapshots up to date: it does not while this
// process is paused, and until the first step after that.
func (c *controller) current(now clock.Instant) bool {
	return now.Sub(clock.Instant(c.steppedAt.Load())) < maxStepAge
}

// restart prepares the loop for another run after a panic: all rows are applied again.
func (c *controller) restart() {
	c.host.failing.Store(true)
	c.host.copies.requeue()
}

// step applies the queued input, updates the snapshots, and writes and sends what is
// due.
func (c *controller) step(ctx context.Context, now clock.Instant) {
	c.applyReceived(now)
	c.host.copies.dropEarlier(now)
	for name, rows := range c.host.copies.take() {
		c.applyRows(name, rows, now)
	}
	c.updateHosts(now)
	c.host.copies.reading.Store(c.reader == c.self.ID && now.Sub(c.started) >= settleDelay && c.listsSelf())
	c.updateRollouts(ctx, now)
	c.upstreams.step(now)
	c.updateShares(now)
	c.register(ctx, now)
	c.prune(ctx, now)
	if c.host.roster.Due(c.digestsSentAt, now) || c.host.leaving.Load() {
		c.digestsSentAt = now
		c.sendDigests(now)
	}
	c.host.usage.step(now)
}

// updateHosts updates the live hosts and the region's reader, and logs changes.
func (c *controller) updateHosts(now clock.Instant) {
	live := map[id.Host]bool{}
	for _, d := range c.host.roster.Live(now) {
		live[d.Host.ID] = true
		if !c.live[d.Host.ID] {
			c.log.With("other", d.Host.ID).With("leaving", d.Leaving).Info("Another host is heard.")
		}
	}
	for name := range c.live {
		if !live[name] {
			c.log.With("other", name).With("live", len(live)).Warn("Another host is not heard any more.")
		}
	}
	c.live = live
	reader := c.host.roster.Reader(c.host.copies.failing(), c.host.leaving.Load(), now)
	if reader != c.reader {
		c.log.With("reader", reader).With("before", c.reader).Info("The reader of the store has changed.")
		c.reader = reader
	}
}

// applyRows applies changed rows of the store.
func (c *controller) applyRows(name platform.TableName, rows []mirror.Row, now clock.Instant) {
	for _, row := range rows {
		c.host.guard.Run(taskRow, func() { c.applyRow(name, row, now) })
	}
}

// applyRow applies one changed row of the store.
func (c *controller) applyRow(name platform.TableName, row mirror.Row, now clock.Instant) {
	switch name {
	case platform.Operator:
		c.applyOperatorRow(row, now)
	case platform.Upstreams:
		c.upstreams.applyRow(row, now)
	case platform.Coordination:
		c.applyCoordinationRow(row, now)
	}
}

func (c *controller) applyOperatorRow(row mirror.Row, now clock.Instant) {
	if platform.IsDesiredState(row.Key) {
		c.applyDesired(row, now)
		return
	}
	if domain, ok := platform.ParseEvacuation(row.Key); ok {
		c.upstreams.setEvacuated(domain, !row.Deleted, now)
		c.log.With("failure_domain", domain).With("evacuated", !row.Deleted).With("version", row.Version).Info("Evacuation changed.")
		return
	}
	order, ok, err := platform.ParseRollout(row.Key, row.Value)
	switch {
	case !ok:
	case row.Deleted:
		delete(c.orders, order.Service)
	case err != nil:
		c.log.With("error", err.Error()).Warn("A rollout order could not be decoded.")
	default:
		c.orders[order.Service] = rollout.Order{Service: order.Service, To: order.To, Within: order.Within, Version: row.Version}
		c.log.With("service", order.Service).With("release", order.To).With("version", row.Version).Info("Rollout ordered.")
	}
}

func (c *controller) applyDesired(row mirror.Row, now clock.Instant) {
	if row.Deleted {
		c.log.Warn("The desired state was deleted; the last one stays in force.")
		return
	}
	next, err := platform.ParseDesired(row.Value)
	if err != nil {
		c.log.With("error", err.Error()).Error("The desired state could not be decoded; the last one stays in force.")
		return
	}
	if current := *c.host.state.Load(); current != nil && next.Version <= current.Version {
		return
	}
	// The quotas take effect before the accounts that they limit.
	c.divideQuotas(next, now)
	c.host.state.Store(next)
	c.upstreams.changed = true
	for _, u := range next.Unsupported {
		c.log.With("route", u.Route).With("field", u.Field).With("value", u.Value).Warn("A route has a value that this build does not know; its requests are handled as not idempotent, or refused if it names no service.")
	}
	c.log.With("state_version", next.Version).With("version", row.Version).With("routes", len(next.Routes)).Info("Desired state in force.")
}

func (c *controller) applyCoordinationRow(row mirror.Row, now clock.Instant) {
	switch {
	case strings.HasPrefix(row.Key, hostPrefix):
		c.applyMembers()
		if row.Deleted && row.Key == hostPrefix+string(c.self.ID) {
			c.setRegistered(false)
		}
	case strings.HasPrefix(row.Key, releasePrefix):
		c.applyRecord(id.Service(strings.TrimPrefix(row.Key, releasePrefix)), row, now)
	}
}
