package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/gossip"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/rollout"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/platform"
)

// Intervals of the control loop.
const (
	tickInterval = 200 * time.Millisecond
	// digestInterval is the interval between digests to hosts of the same region;
	// those of other regions get every farEvery-th one.
	digestInterval = 250 * time.Millisecond
	farEvery       = 2
	// relayPause is the least time between two relays of a table to one host.
	relayPause = 400 * time.Millisecond
	// rowPrefix is that of the rows by which hosts find each other.
	hostPrefix    = "host/"
	releasePrefix = "release/"
	// announceInterval is the pause before a failed announcement is repeated.
	announceInterval = 500 * time.Millisecond
)

// keeper turns what comes from the store and from other hosts into the
// snapshots that requests are decided on. One goroutine runs it; what others
// bring waits in queues.
type keeper struct {
	edge  *Edge
	self  roster.Member
	log   *logging.Log
	rang  chan struct{}
	rolls *rollout.Keeper
	fleet *upstreamList

	mu    sync.Mutex
	heard []*roster.Digest
	// sentAt is when rows of a table were last sent to a host.
	sentAt map[relayKey]clock.Instant
	// writing holds the keys of the rows that are being written.
	writing   map[string]bool
	announced bool

	// reader is the host of the region that reads the store for the others.
	reader      id.Host
	orders      map[id.Service]rollout.Order
	records     map[id.Service]rollout.Record
	sequence    id.Sequence
	digestAt    clock.Instant
	digests     int
	announceAt  clock.Instant
	releasesNow map[id.Service]id.Release
}

type relayKey struct {
	host  id.Host
	table string
}

func newKeeper(e *Edge, self roster.Member, log *logging.Log) *keeper {
	return &keeper{
		edge: e, self: self, log: log, rang: make(chan struct{}, 1),
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
	k.takeDigests(now)
	for name, rows := range k.edge.copies.take() {
		for _, row := range rows {
			k.takeRow(name, row, now)
		}
	}
	k.reader = k.edge.roster.Reader(k.edge.copies.failing(), k.edge.leaving.Load(), now)
	k.edge.copies.reading.Store(k.reader == k.self.ID)
	k.stepReleases(ctx, now)
	k.fleet.step(now)
	k.stepShares(now)
	k.announce(ctx, now)
	if now.Sub(k.digestAt) >= digestInterval || k.edge.leaving.Load() {
		k.digestAt = now
		k.sendDigests(now)
	}
}

// takeRow takes one changed row of the store.
func (k *keeper) takeRow(name platform.Table, row mirror.Row, now clock.Instant) {
	switch name {
	case platform.Operator:
		k.takeOperatorRow(row, now)
	case platform.Upstreams:
		k.fleet.take(row, now)
	case platform.Own:
		k.takeOwnRow(row)
	}
}

func (k *keeper) takeOperatorRow(row mirror.Row, now clock.Instant) {
	if platform.IsDesired(row.Key) {
		k.takeDesired(row, now)
		return
	}
	if domain, ok := platform.Evacuated(row.Key); ok {
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
	case len(row.Key) > len(hostPrefix) && row.Key[:len(hostPrefix)] == hostPrefix:
		k.takeMembers()
	case len(row.Key) > len(releasePrefix) && row.Key[:len(releasePrefix)] == releasePrefix && !row.Deleted:
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

// memberRow is the form of the rows by which hosts find each other.
type memberRow struct {
	Host          id.Host          `json:"host"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	CallerAddress string           `json:"caller_address"`
	PeerAddress   string           `json:"peer_address"`
	Incarnation   id.Incarnation   `json:"incarnation"`
}

func (k *keeper) takeMembers() {
	var members []roster.Member
	for key, row := range k.edge.copies.tables[platform.Own].Rows() {
		if len(key) <= len(hostPrefix) || key[:len(hostPrefix)] != hostPrefix {
			continue
		}
		var m memberRow
		if err := json.Unmarshal(row.Value, &m); err != nil {
			k.log.With("key", key).With("error", err.Error()).Error("A host's row could not be read.")
			continue
		}
		member := roster.Member{PeerAddress: m.PeerAddress, Incarnation: m.Incarnation}
		member.ID, member.Region, member.FailureDomain, member.Address = m.Host, m.Region, m.FailureDomain, m.CallerAddress
		members = append(members, member)
		k.edge.mesh.SetAddress(m.Host, m.PeerAddress)
	}
	k.edge.roster.SetListed(members)
}

// announce writes this host's row until that has succeeded.
func (k *keeper) announce(ctx context.Context, now clock.Instant) {
	own := k.edge.copies.tables[platform.Own]
	if k.isAnnounced() || k.edge.leaving.Load() || now < k.announceAt || !own.listed.Load() {
		return
	}
	k.announceAt = now.Add(announceInterval)
	data, err := json.Marshal(memberRow{
		Host: k.self.ID, Region: k.self.Region, FailureDomain: k.self.FailureDomain, CallerAddress: k.self.Address,
		PeerAddress: k.self.PeerAddress, Incarnation: k.self.Incarnation,
	})
	if err != nil {
		k.log.With("error", err).Error("The host's row could not be encoded.")
		return
	}
	key := hostPrefix + string(k.self.ID)
	if row := own.Get(key); row.Version > 0 && sameAddresses(row.Value, data) {
		k.setAnnounced()
		return
	}
	k.write(key, func() {
		if err := k.edge.store.Commit(ctx, platform.Put{Table: platform.Own, Key: key, Value: data}); err != nil {
			k.log.With("error", err.Error()).Warn("The host's row could not be written.")
			return
		}
		k.setAnnounced()
	})
}

func (k *keeper) isAnnounced() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.announced
}

func (k *keeper) setAnnounced() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.announced = true
}

// write runs a write of the store beside the loop, which must not wait for a
// slow store. A row that is being written is left alone until that has ended.
func (k *keeper) write(key string, commit func()) {
	k.mu.Lock()
	busy := k.writing[key]
	k.writing[key] = true
	k.mu.Unlock()
	if busy {
		return
	}
	go func() {
		commit()
		k.mu.Lock()
		delete(k.writing, key)
		k.mu.Unlock()
	}()
}

// sameAddresses tells whether two rows of a host differ in its incarnation only.
func sameAddresses(a, b []byte) bool {
	var x, y memberRow
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	x.Incarnation, y.Incarnation = 0, 0
	return x == y
}

// depart tells the other hosts for the last time that this one is leaving.
func (k *keeper) depart() { k.wake() }

// stepShares divides the quotas by the demand of all hosts.
func (k *keeper) stepShares(now clock.Instant) {
	if state := *k.edge.state.Load(); state != nil {
		k.divideQuotas(state, now)
	}
}

func (k *keeper) divideQuotas(state *desired.State, now clock.Instant) {
	var peers quota.Peers
	live := map[id.Host]bool{}
	for _, d := range k.edge.roster.Live(now) {
		live[d.Host.ID] = true
	}
	told := k.edge.roster.Reserved(now)
	for _, d := range told {
		if live[d.Host.ID] {
			peers.Live = append(peers.Live, d.Quota)
		} else {
			peers.Silent = append(peers.Silent, d.Quota)
		}
	}
	peers.Unheard = k.edge.roster.Silent(told)
	k.edge.shares.Step(state.Accounts, peers, now)
}

// Received implements the events of the mesh.
func (k *keeper) Received(from id.Host, m gossip.Message) {
	if m.Digest != nil {
		k.mu.Lock()
		k.heard = append(k.heard, m.Digest)
		k.mu.Unlock()
		k.relay(from, m.Digest)
		return
	}
	if m.Rows != nil && k.edge.copies.relayed(platform.Table(m.Rows.Table), m.Rows.Rows, m.Rows.Base, m.Rows.Version) {
		k.log.With("from", from).With("table", m.Rows.Table).With("rows", len(m.Rows.Rows)).
			With("version", m.Rows.Version).Debug("Rows came from another host.")
		k.wake()
	}
}

// Refused implements the events of the mesh.
func (k *keeper) Refused(id.Host) {}

// relay sends a host the rows that it has missed, if it cannot read them, or
// this host reads for its region. Others read for themselves in time.
func (k *keeper) relay(to id.Host, d *roster.Digest) {
	now := k.edge.clock.Now()
	inCharge := k.edge.copies.reading.Load() && d.Host.Region == k.self.Region
	if !inCharge && !d.Failing {
		return
	}
	for name, table := range k.edge.copies.tables {
		theirs := d.Versions[string(name)]
		if table.Version() <= theirs || !k.mayRelay(relayKey{to, string(name)}, now) {
			continue
		}
		rows, version := table.Since(theirs)
		k.edge.mesh.Send(to, gossip.Message{Rows: &gossip.Rows{Table: string(name), Base: theirs, Version: version, Rows: rows}})
	}
}

// bring sends rows that were read to the other hosts of the region.
func (k *keeper) bring(name platform.Table, rows []mirror.Row, base, version mirror.Version) {
	now := k.edge.clock.Now()
	for _, d := range k.edge.roster.Live(now) {
		if d.Host.Region == k.self.Region {
			k.edge.mesh.Send(d.Host.ID, gossip.Message{Rows: &gossip.Rows{Table: string(name), Base: base, Version: version, Rows: rows}})
		}
	}
}

func (k *keeper) mayRelay(key relayKey, now clock.Instant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.sentAt[key]) < relayPause {
		return false
	}
	k.sentAt[key] = now
	return true
}

func (k *keeper) takeDigests(now clock.Instant) {
	k.mu.Lock()
	heard := k.heard
	k.heard = nil
	k.mu.Unlock()
	for _, d := range heard {
		if !k.edge.roster.Hear(*d, now) {
			continue
		}
		if d.Host.ID == k.reader && !d.Failing {
			k.edge.copies.vouched(d.Versions, d.Ages, now)
		}
		k.rolls.Hear(d.Host.ID, d.Incarnation, d.Outcomes)
		for _, b := range d.Bad {
			k.rolls.HearBad(b)
		}
	}
}

// sendDigests tells the other hosts about this one.
func (k *keeper) sendDigests(now clock.Instant) {
	k.sequence++
	k.digests++
	outcomes := k.edge.recorder.Counts()
	k.rolls.Hear(k.self.ID, k.self.Incarnation, outcomes)
	d := &roster.Digest{
		Incarnation: k.self.Incarnation, Sequence: k.sequence, Host: k.self.Host, Leaving: !k.edge.Ready(),
		Versions: k.edge.copies.versions(), Ages: k.edge.copies.ages(now), Failing: k.edge.copies.failing(), Quota: k.edge.shares.Tell(), Requests: k.edge.shares.Requests(),
		Outcomes: outcomes, Bad: k.rolls.Bad(),
	}
	far := k.digests%farEvery == 0 || k.edge.leaving.Load()
	for _, m := range k.edge.roster.Listed() {
		if m.Region == k.self.Region || far {
			k.edge.mesh.Send(m.ID, gossip.Message{Digest: d})
		}
	}
}

// stepReleases decides on rollouts and puts what was agreed in force.
func (k *keeper) stepReleases(ctx context.Context, now clock.Instant) {
	orders := make([]rollout.Order, 0, len(k.orders))
	for _, o := range k.orders {
		orders = append(orders, o)
	}
	writes := k.rolls.Step(rollout.Input{
		Orders: orders, Records: k.records, Releases: k.edge.placer.Releases,
		Leads: k.edge.roster.Leads(k.edge.leaving.Load(), now) && k.edge.copies.tables[platform.Own].listed.Load(),
	}, now)
	for _, w := range writes {
		k.commit(ctx, w)
	}
	var changes []table.Release
	for _, r := range k.records {
		if r.Change.State == table.ReleaseGrowing {
			changes = append(changes, r.Change)
		}
	}
	k.edge.splits.Set(changes, k.rolls.IsBad)
	k.approve()
}

// commit writes a record of a rollout and takes it if that has succeeded.
func (k *keeper) commit(ctx context.Context, w rollout.Write) {
	data, err := json.Marshal(w.Record)
	if err != nil {
		k.log.With("error", err).Error("A record of a rollout could not be encoded.")
		return
	}
	key := releasePrefix + string(w.Record.Service)
	puts := []platform.Put{{Table: platform.Own, Key: key, Value: data, Conditional: true, Expected: w.Record.Version}}
	if w.Told {
		status, err := platform.RolloutStatus(w.Record.Service, rolloutState(w.Record.Change.State), w.Record.Change.New)
		if err != nil {
			k.log.With("error", err).Error("The state of a rollout could not be encoded.")
			return
		}
		puts = append(puts, status)
	}
	k.write(key, func() {
		err := k.edge.store.Commit(ctx, puts...)
		switch {
		case errors.Is(err, platform.ErrConflict):
			k.log.With("service", w.Record.Service).Info("Another host was faster.")
		case err != nil:
			k.log.With("service", w.Record.Service).With("error", err.Error()).Warn("A step of a rollout could not be written.")
		}
	})
}

func rolloutState(s table.ReleaseState) platform.RolloutState {
	switch s {
	case table.ReleaseDone:
		return platform.RolloutCompleted
	case table.ReleaseRetreated:
		return platform.RolloutRolledBack
	default:
		return platform.RolloutRunning
	}
}

// approve sets the release that carries each service: the agreed one, or that
// of most upstreams while nothing was agreed.
func (k *keeper) approve() {
	state := *k.edge.state.Load()
	// Without the orders and what was agreed about them, a release that is not
	// approved could be taken for the approved one.
	if state == nil || !k.edge.copies.known(platform.Operator) || !k.edge.copies.known(platform.Own) {
		return
	}
	next := map[id.Service]id.Release{}
	for _, s := range state.Services {
		next[s.Name] = k.approvedOf(s.Name)
	}
	for name, r := range next {
		if k.releasesNow[name] != r {
			k.releasesNow = next
			k.edge.approved.Store(next)
			return
		}
	}
}

func (k *keeper) approvedOf(service id.Service) id.Release {
	r, known := k.records[service]
	if known {
		return r.Current
	}
	found := rollout.Majority(k.edge.placer.Releases(service), k.orders[service].To)
	// One release is kept to until another one is agreed on, as long as it has upstreams.
	if now := k.releasesNow[service]; now != "" && (found == "" || k.edge.placer.Releases(service)[now] > 0) {
		return now
	}
	return found
}
