package edge

import (
	"context"
	"encoding/json"
	"strings"

	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
	"celerypin.example/celerypin/platform"
)

// memberRow is the form of the rows by which hosts find each other.
type memberRow struct {
	Host          id.Host          `json:"host"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	CallerAddress string           `json:"caller_address"`
	PeerAddress   string           `json:"peer_address"`
	// Capacity is in requests a second.
	Capacity    unit.PerSecond `json:"capacity_per_s"`
	Incarnation id.Incarnation `json:"incarnation"`
}

func (k *keeper) takeMembers() {
	var members []roster.Member
	for key, row := range k.edge.copies.tables[platform.Coordination].Rows() {
		if !strings.HasPrefix(key, hostPrefix) {
			continue
		}
		var m memberRow
		if err := json.Unmarshal(row.Value, &m); err != nil {
			k.log.With("key", key).With("error", err.Error()).Error("A host's row could not be read.")
			continue
		}
		member := roster.Member{PeerAddress: m.PeerAddress, Incarnation: m.Incarnation}
		member.ID, member.Region, member.FailureDomain, member.Address = m.Host, m.Region, m.FailureDomain, m.CallerAddress
		member.Capacity = m.Capacity
		members = append(members, member)
	}
	if k.edge.roster.SetListed(members) {
		for _, m := range members {
			k.edge.mesh.SetAddress(m.ID, m.PeerAddress)
		}
	}
}

// announce writes this host's row until that has succeeded.
func (k *keeper) announce(ctx context.Context, now clock.Instant) {
	own := k.edge.copies.tables[platform.Coordination]
	if k.isAnnounced() || k.edge.leaving.Load() || now < k.announceAt || !own.listed.Load() {
		return
	}
	k.announceAt = now.Add(announceInterval)
	data, err := json.Marshal(memberRow{
		Host: k.self.ID, Region: k.self.Region, FailureDomain: k.self.FailureDomain, CallerAddress: k.self.Address,
		PeerAddress: k.self.PeerAddress, Capacity: k.self.Capacity, Incarnation: k.self.Incarnation,
	})
	if err != nil {
		k.log.With("error", err).Error("The host's row could not be encoded.")
		return
	}
	key := hostPrefix + string(k.self.ID)
	if row := own.Get(key); row.Version > 0 && sameAddresses(row.Value, data) {
		k.setAnnounced(true)
		return
	}
	k.write(key, func() {
		if err := k.edge.store.Commit(ctx, platform.Put{Table: platform.Coordination, Key: key, Value: data}); err != nil {
			k.log.With("error", err.Error()).Warn("The host's row could not be written.")
			return
		}
		k.setAnnounced(true)
	})
}

func (k *keeper) isAnnounced() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.announced
}

func (k *keeper) setAnnounced(announced bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.announced = announced
}

// prune removes the rows of hosts that are gone for good, if this host is the
// one to do so.
func (k *keeper) prune(ctx context.Context, now clock.Instant) {
	if now < k.pruneAt || !k.edge.roster.IsLeader(k.edge.leaving.Load(), now) {
		return
	}
	k.pruneAt = now.Add(pruneInterval)
	for _, gone := range k.edge.roster.Expired(now) {
		key := hostPrefix + string(gone)
		row := k.edge.copies.tables[platform.Coordination].Get(key)
		k.write(key, func() {
			err := k.edge.store.Commit(ctx, platform.Put{Table: platform.Coordination, Key: key, Conditional: true, Expected: row.Version})
			if err != nil {
				k.log.With("removed", gone).With("error", err.Error()).Warn("The row of a host that is gone could not be removed.")
				return
			}
			k.log.With("removed", gone).Info("Removed the row of a host that is gone.")
		})
	}
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
