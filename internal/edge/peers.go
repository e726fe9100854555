package edge

import (
	"celerypin.example/celerypin/internal/protocol/gossip"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

// updateShares divides the quotas of the current desired state, and the promised number of
// retries.
func (c *controller) updateShares(now clock.Instant) {
	if state := *c.host.state.Load(); state != nil {
		c.divideQuotas(state, now)
	}
	extra := c.host.settings.Load().Bounds.RetryExtra
	c.host.steerer.SetRetryReserve(retryReserve(extra, c.host.roster.StrongHosts(now)))
}

// divideQuotas computes this host's shares of the accounts' quotas from the demand
// of all hosts.
func (c *controller) divideQuotas(state *desired.State, now clock.Instant) {
	peers := c.host.roster.QuotaPeers(c.quotaReport, state.Accounts, now)
	c.host.shares.Rebalance(state.Accounts, peers, now)
}

// Received implements host.Events. It queues digests, sends rows that their senders
// lack, and applies rows.
func (c *controller) Received(from id.Host, m gossip.Message) {
	if m.Digest != nil {
		c.mu.Lock()
		c.received = append(c.received, receivedDigest{m.Digest, m.Bulletin})
		c.mu.Unlock()
		c.relay(from, m.Digest)
		return
	}
	if m.Tokens != nil {
		c.receiveTokens(from, m.Tokens)
		return
	}
	if m.Usage != nil {
		c.host.usage.receive(from, m.Usage)
		return
	}
	if m.Rows != nil && c.host.copies.applyRelayed(platform.TableName(m.Rows.Table), m.Rows.Changes) {
		c.log.With("from", from).With("table", m.Rows.Table).With("rows", len(m.Rows.Rows)).
			With("version", m.Rows.Version).Debug("Received rows from another host.")
		c.wake()
	}
}

// ConnectionRefused implements host.Events. Hosts that are down are detected by their missing
// digests; only the estimate of what their last reports do not cover uses this.
func (c *controller) ConnectionRefused(h id.Host) { c.host.usage.connectionRefused(h) }

// relay sends a host the rows that it lacks, if the host cannot read the store or
// this host is the reader of its region. Other hosts read for themselves once
// their copies are stale.
func (c *controller) relay(to id.Host, d *roster.Digest) {
	now := c.host.clock.Now()
	isReader := c.host.copies.reading.Load() && d.Host.Region == c.self.Region
	if !isReader && !d.ReadsFailing {
		return
	}
	for name, table := range c.host.copies.tables {
		knownVersion := d.Versions[string(name)]
		if !knownVersion.Before(table.LastChange()) || !c.allowRelay(relayKey{to, string(name)}, now) {
			continue
		}
		c.host.mesh.Send(to, gossip.Message{Rows: &gossip.Rows{Table: string(name), Changes: table.ChangesSince(knownVersion)}})
	}
}

// relayToRegion sends rows that this host has read to the other hosts of the region.
func (c *controller) relayToRegion(name platform.TableName, changes mirror.Changes) {
	var hosts []id.Host
	for _, d := range c.host.roster.Live(c.host.clock.Now()) {
		if d.Host.Region == c.self.Region {
			hosts = append(hosts, d.Host.ID)
		}
	}
	c.host.mesh.Broadcast(hosts, gossip.Message{Rows: &gossip.Rows{Table: string(name), Changes: changes}})
}

// allowRelay reports whether a table may be relayed to a host now, and notes the
// relay if so.
func (c *controller) allowRelay(key relayKey, now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.sentAt[key]) < relayInterval {
		return false
	}
	c.sentAt[key] = now
	return true
}

// applyReceived applies the queued digests and bulletins.
func (c *controller) applyReceived(now clock.Instant) {
	c.mu.Lock()
	received := c.received
	c.received = nil
	c.mu.Unlock()
	for _, r := range received {
		c.host.guard.Run(taskDigest, func() { c.applyDigest(r, now) })
	}
}

// applyDigest applies one digest with its bulletin.
func (c *controller) applyDigest(r receivedDigest, now clock.Instant) {
	if c.host.roster.ReceiveDigest(*r.digest, now) {
		if r.digest.Host.ID == c.reader && !r.digest.ReadsFailing {
			c.host.copies.confirm(r.digest, now)
		}
		c.addReleaseCounts(r.digest)
	}
	if r.bulletin == nil {
		return
	}
	for _, d := range c.host.roster.ReceiveBulletin(r.digest.Host.ID, r.bulletin, now) {
		c.addReleaseCounts(&d)
	}
}

// addReleaseCounts passes the request counts and the bad releases of a host to the rollouts.
func (c *controller) addReleaseCounts(d *roster.Digest) {
	c.rollouts.AddCounts(d.Host.ID, d.Incarnation, d.ReleaseCounts)
	for _, b := range d.BadReleases {
		c.rollouts.MarkBad(b)
	}
}

// sendDigests sends this host's digest to other hosts, and a bulletin to its
// followers if it is a hub.
func (c *controller) sendDigests(now clock.Instant) {
	c.sequence++
	counts := c.host.recorder.Counts()
	c.rollouts.AddCounts(c.self.ID, c.self.Incarnation, counts)
	c.quotaReport = c.host.shares.NextReport()
	complete, changed := c.host.copies.versions()
	// A host without a desired state also reports that it is leaving, so that no
	// client is sent to it.
	digest := roster.Digest{
		HoldsPool: true, CountsUsage: c.host.usage != nil,
		Incarnation: c.self.Incarnation, Sequence: c.sequence, Host: c.self.Host, Leaving: !c.host.Ready(),
		Versions: complete, LastChange: changed, CopyAges: c.host.copies.ages(now), ReadsFailing: c.host.copies.failing(), Quota: c.quotaReport, RequestRate: c.host.shares.RequestRate(),
		ReleaseCounts: counts, BadReleases: c.rollouts.Bad(),
	}
	var accounts []*desired.Account
	if state := *c.host.state.Load(); state != nil {
		accounts = state.Accounts
	}
	messages, connect := c.host.roster.NextMessages(digest, accounts, now)
	if connect != nil {
		addresses := map[id.Host]string{}
		for _, m := range connect {
			addresses[m.ID] = m.PeerAddress
		}
		c.host.mesh.Connect(addresses)
	}
	for _, m := range messages {
		c.host.mesh.Broadcast(m.To, gossip.Message{Digest: m.Digest, Bulletin: m.Bulletin})
	}
	c.deposit(accounts, now)
}
