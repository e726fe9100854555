package edge

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
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

// Intervals of the control loop.
const (
	tickInterval = 200 * time.Millisecond
	// relayPause is the least time between two relays of a table to one host.
	relayPause = 400 * time.Millisecond
	// hostPrefix is that of the rows by which hosts find each other, releasePrefix
	// that of what they agreed on about releases.
	hostPrefix    = "host/"
	releasePrefix = "release/"
	// announceInterval is the pause before a failed announcement is repeated.
	announceInterval = 500 * time.Millisecond
	// settleTime is how long a host that has just started leaves reading for others to
	// those that may be better placed; it knows the tables from its start.
	settleTime = 1200 * time.Millisecond
	// pruneInterval is how often rows of hosts that are gone are looked for.
	pruneInterval = 30 * time.Second
)

// keeper turns what comes from the store and from other hosts into the
// snapshots that requests are decided on. One goroutine runs it; what others
// bring waits in queues.
type keeper struct {
	edge *Edge
	self roster.Member
	log  *logging.Log
	// started is when the host's process began.
	started clock.Instant
	rang    chan struct{}
	rolls   *rollout.Controller
	fleet   *upstreamList

	mu    sync.Mutex
	heard []heard
	// sentAt is when rows of a table were last sent to a host.
	sentAt map[relayKey]clock.Instant
	// writing holds the keys of the rows that are being written.
	writing   map[string]bool
	announced bool

	// reader is the host of the region that reads the store for the others, live are
	// the hosts that were heard lately.
	reader      id.Host
	live        map[id.Host]bool
	orders      map[id.Service]rollout.Order
	records     map[id.Service]rollout.Record
	sequence    id.Sequence
	sentLetters clock.Instant
	// told is what the other hosts have been told last of the accounts' quotas.
	told        quota.Report
	announceAt  clock.Instant
	pruneAt     clock.Instant
	releasesNow map[id.Service]id.Release
}

// heard is what another host said of itself, and of others if it is a hub.
type heard struct {
	digest   *roster.Digest
	bulletin *roster.Bulletin
}

type relayKey struct {
	host  id.Host
	table string
}

func newKeeper(e *Edge, self roster.Member, log *logging.Log) *keeper {
	return &keeper{
		edge: e, self: self, log: log, started: e.clock.Now(), rang: make(chan struct{}, 1),
		rolls: rollout.New(e.settings.Load().Bounds.ExposureShare), fleet: newUpstreamList(e, log),
		sentAt: map[relayKey]clock.Instant{}, writing: map[string]bool{}, orders: map[id.Service]rollout.Order{}, records: map[id.Service]rollout.Record{},
		releasesNow: map[id.Service]id.Release{},
	}
}

// wake makes the loop run at once.
func (k *keeper) wake() {
	select {
	case k.rang <- struct{}{}:
	default:
	}
}

func (k *keeper) run(ctx context.Context) error {
	ticks := make(chan struct{})
	go func() {
		defer close(ticks)
		for k.edge.clock.Sleep(ctx, tickInterval) {
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
		case <-k.rang:
		case <-ticks:
		}
		k.step(ctx, k.edge.clock.Now())
	}
}

func (k *keeper) step(ctx context.Context, now clock.Instant) {
	k.takeHeard(now)
	for name, rows := range k.edge.copies.take() {
		for _, row := range rows {
			k.takeRow(name, row, now)
		}
	}
	k.noteHosts(now)
	k.edge.copies.reading.Store(k.reader == k.self.ID && now.Sub(k.started) >= settleTime)
	k.stepReleases(ctx, now)
	k.fleet.step(now)
	k.stepShares(now)
	k.announce(ctx, now)
	k.prune(ctx, now)
	if k.edge.roster.Due(k.sentLetters, now) || k.edge.leaving.Load() {
		k.sentLetters = now
		k.sendLetters(now)
	}
}

// noteHosts looks at who lives and who reads, and logs what has changed.
func (k *keeper) noteHosts(now clock.Instant) {
	live := map[id.Host]bool{}
	for _, d := range k.edge.roster.Live(now) {
		live[d.Host.ID] = true
		if !k.live[d.Host.ID] {
			k.log.With("other", d.Host.ID).With("leaving", d.Leaving).Info("Another host is heard.")
		}
	}
	for name := range k.live {
		if !live[name] {
			k.log.With("other", name).With("live", len(live)).Warn("Another host is not heard any more.")
		}
	}
	k.live = live
	reader := k.edge.roster.Reader(k.edge.copies.failing(), k.edge.leaving.Load(), now)
	if reader != k.reader {
		k.log.With("reader", reader).With("before", k.reader).Info("The reader of the store has changed.")
		k.reader = reader
	}
}

// takeRow takes one changed row of the store.
func (k *keeper) takeRow(name platform.Table, row mirror.Row, now clock.Instant) {
	switch name {
	case platform.Operator:
		k.takeOperatorRow(row, now)
	case platform.Upstreams:
		k.fleet.take(row, now)
	case platform.Coordination:
		k.takeOwnRow(row)
	}
}

func (k *keeper) takeOperatorRow(row mirror.Row, now clock.Instant) {
	if platform.IsDesiredState(row.Key) {
		k.takeDesired(row, now)
		return
	}
	if domain, ok := platform.ParseEvacuation(row.Key); ok {
		k.fleet.evacuate(domain, !row.Deleted, now)
		k.log.With("failure_domain", domain).With("evacuated", !row.Deleted).With("version", row.Version).Info("Evacuation changed.")
		return
	}
	order, ok, err := platform.ParseRollout(row.Key, row.Value)
	switch {
	case !ok:
	case row.Deleted:
		delete(k.orders, order.Service)
	case err != nil:
		k.log.With("error", err.Error()).Warn("An order could not be read.")
	default:
		k.orders[order.Service] = rollout.Order{Service: order.Service, To: order.To, Within: order.Within, Version: row.Version}
		k.log.With("service", order.Service).With("release", order.To).With("version", row.Version).Info("Rollout ordered.")
	}
}

func (k *keeper) takeDesired(row mirror.Row, now clock.Instant) {
	if row.Deleted {
		k.log.Warn("The desired state was deleted; the last one stays in force.")
		return
	}
	next, err := platform.ParseDesired(row.Value)
	if err != nil {
		k.log.With("error", err.Error()).Error("The desired state could not be read; the last one stays in force.")
		return
	}
	if current := *k.edge.state.Load(); current != nil && next.Version <= current.Version {
		return
	}
	// Quotas are in force before the accounts that they bind.
	k.divideQuotas(next, now)
	k.edge.state.Store(next)
	k.fleet.changed = true
	k.log.With("state_version", next.Version).With("version", row.Version).With("routes", len(next.Routes)).Info("Desired state in force.")
}

func (k *keeper) takeOwnRow(row mirror.Row) {
	switch {
	case strings.HasPrefix(row.Key, hostPrefix):
		k.takeMembers()
		if row.Deleted && row.Key == hostPrefix+string(k.self.ID) {
			k.setAnnounced(false)
		}
	case strings.HasPrefix(row.Key, releasePrefix) && !row.Deleted:
		var r rollout.Record
		if err := json.Unmarshal(row.Value, &r); err != nil {
			k.log.With("error", err.Error()).Error("A record of a rollout could not be read.")
			return
		}
		r.Version = row.Version
		k.records[r.Service] = r
		k.log.With("service", r.Service).With("release", r.Change.New).With("share_milli", r.Change.Share).
			With("state", r.Change.State).With("reason", r.Change.Reason).Info("Rollout changed.")
	}
}
