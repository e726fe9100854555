package edge

import (
	"celerypin.example/celerypin/internal/protocol/gossip"
	"celerypin.example/celerypin/pkg/coordination/quota"
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
	if !inCharge && !d.Failing {
		return
	}
	for name, table := range k.edge.copies.tables {
		theirs := d.Versions[string(name)]
		if table.Version() <= theirs || !k.mayRelay(relayKey{to, string(name)}, now) {
			continue
		}
		k.edge.mesh.Send(to, gossip.Message{Rows: &gossip.Rows{Table: string(name), Changes: table.Since(theirs)}})
	}
}

// bring sends rows that were read to the other hosts of the region.
func (k *keeper) bring(name platform.Table, changes mirror.Changes) {
	now := k.edge.clock.Now()
	for _, d := range k.edge.roster.Live(now) {
		if d.Host.Region == k.self.Region {
			k.edge.mesh.Send(d.Host.ID, gossip.Message{Rows: &gossip.Rows{Table: string(name), Changes: changes}})
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
