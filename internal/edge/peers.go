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

// stepShares divides the quotas by the demand of all hosts.
func (k *keeper) stepShares(now clock.Instant) {
	if state := *k.edge.state.Load(); state != nil {
		k.divideQuotas(state, now)
	}
}

func (k *keeper) divideQuotas(state *desired.State, now clock.Instant) {
	peers := k.edge.roster.QuotaPeers(k.told, state.Accounts, now)
	k.edge.shares.Rebalance(state.Accounts, peers, now)
}

// Received implements the events of the mesh.
func (k *keeper) Received(from id.Host, m gossip.Message) {
	if m.Digest != nil {
		k.mu.Lock()
		k.heard = append(k.heard, heard{m.Digest, m.Bulletin})
		k.mu.Unlock()
		k.relay(from, m.Digest)
		return
	}
	if m.Rows != nil && k.edge.copies.relayed(platform.Table(m.Rows.Table), m.Rows.Changes) {
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
	if !inCharge && !d.ReadsFailing {
		return
	}
	for name, table := range k.edge.copies.tables {
		theirs := d.Versions[string(name)]
		if table.LastChange() <= theirs || !k.mayRelay(relayKey{to, string(name)}, now) {
			continue
		}
		k.edge.mesh.Send(to, gossip.Message{Rows: &gossip.Rows{Table: string(name), Changes: table.ChangesSince(theirs)}})
	}
}

// bring sends rows that were read to the other hosts of the region.
func (k *keeper) bring(name platform.Table, changes mirror.Changes) {
	var near []id.Host
	for _, d := range k.edge.roster.Live(k.edge.clock.Now()) {
		if d.Host.Region == k.self.Region {
			near = append(near, d.Host.ID)
		}
	}
	k.edge.mesh.Broadcast(near, gossip.Message{Rows: &gossip.Rows{Table: string(name), Changes: changes}})
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

// takeHeard takes what other hosts said.
func (k *keeper) takeHeard(now clock.Instant) {
	k.mu.Lock()
	all := k.heard
	k.heard = nil
	k.mu.Unlock()
	for _, h := range all {
		if k.edge.roster.ReceiveDigest(*h.digest, now) {
			if h.digest.Host.ID == k.reader && !h.digest.ReadsFailing {
				k.edge.copies.vouched(h.digest, now)
			}
			k.takeOutcomes(h.digest)
		}
		if h.bulletin == nil {
			continue
		}
		for _, d := range k.edge.roster.ReceiveBulletin(h.digest.Host.ID, h.bulletin, now) {
			k.takeOutcomes(&d)
		}
	}
}

func (k *keeper) takeOutcomes(d *roster.Digest) {
	k.rolls.AddOutcomes(d.Host.ID, d.Incarnation, d.Outcomes)
	for _, b := range d.BadReleases {
		k.rolls.MarkBad(b)
	}
}

// sendLetters tells the other hosts about this one, and, if it is a hub, about
// each other.
func (k *keeper) sendLetters(now clock.Instant) {
	k.sequence++
	outcomes := k.edge.recorder.Counts()
	k.rolls.AddOutcomes(k.self.ID, k.self.Incarnation, outcomes)
	k.told = k.edge.shares.Report()
	complete, changed := k.edge.copies.versions()
	own := roster.Digest{
		Incarnation: k.self.Incarnation, Sequence: k.sequence, Host: k.self.Host, Leaving: !k.edge.Ready(),
		Versions: complete, LastChange: changed, CopyAges: k.edge.copies.ages(now), ReadsFailing: k.edge.copies.failing(), Quota: k.told, RequestRate: k.edge.shares.RequestRate(),
		Outcomes: outcomes, BadReleases: k.rolls.Bad(),
	}
	var accounts []*desired.Account
	if state := *k.edge.state.Load(); state != nil {
		accounts = state.Accounts
	}
	letters, connect := k.edge.roster.Messages(own, accounts, now)
	if connect != nil {
		addresses := map[id.Host]string{}
		for _, m := range connect {
			addresses[m.ID] = m.PeerAddress
		}
		k.edge.mesh.Connect(addresses)
	}
	for _, l := range letters {
		k.edge.mesh.Broadcast(l.To, gossip.Message{Digest: l.Digest, Bulletin: l.Bulletin})
	}
}
