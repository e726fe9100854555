package agent

import (
	"errors"
	"time"

	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
	"celerypin.example/celerypin/pkg/state/unit"
)

// maxRelayedAge is the age of relayed rows from which a host reads the table itself.
const maxRelayedAge = 1200 * time.Millisecond

// readTable polls the table if this host is a reader: one host in each failure domain
// and the holder of the control lease. Other hosts read the table when the rows that
// are relayed to them are older than maxRelayedAge.
func (a *Agent) readTable(now clock.Instant) {
	if a.readInFlight || now < a.nextRead {
		return
	}
	if !a.isReader(now) && a.tracker.ReadAge(now) < maxRelayedAge {
		return
	}
	a.readInFlight = true
	after := a.replica.CompleteRevision()
	a.call(Call{Read: &ReadChanges{After: after}}, func(done clock.Instant, answer Answer) {
		a.readInFlight = false
		a.nextRead = max(now.Add(a.timing.PollInterval), done)
		if answer.Err != nil {
			a.nextRead = done.Add(a.timing.PollInterval)
			return
		}
		a.tracker.RecordRead(now) // the table may have changed after the call was sent
		before := a.replica.CompleteRevision()
		if a.applyChanges(done, answer.Changes) {
			a.relay(a.replica.ChangesSince(before))
		}
	})
}

// isReader reports whether this host is the first live one of its failure domain in
// the order of names, holds the control lease, or has no rows yet.
func (a *Agent) isReader(now clock.Instant) bool {
	if a.control.holding || a.replica.CompleteRevision() == 0 {
		return true
	}
	for h, p := range a.peers {
		if p.failureDomain != a.self.FailureDomain || p.leaving {
			continue
		}
		if h < a.self.Host && a.tracker.InContact(h, now) {
			return false
		}
	}
	return true
}

// applyChanges merges changes into the local copy, puts new rows in force, and reports
// whether there were any.
func (a *Agent) applyChanges(now clock.Instant, c table.Changes) bool {
	before := a.replica.CompleteRevision()
	changed := a.replica.Apply(c)
	for _, row := range changed {
		a.applyRow(now, row)
	}
	if before == 0 && a.replica.CompleteRevision() > 0 {
		a.publishDue = true
	}
	return len(changed) > 0
}

// relay forwards changes that this host has read to the other hosts of its failure
// domain. Relayed changes are not relayed again; a host that misses them notices it
// from the next heartbeat and fetches them.
func (a *Agent) relay(c table.Changes) {
	for _, h := range a.knownHosts() {
		if p := a.peers[h]; p != nil && p.failureDomain == a.self.FailureDomain && p.completeRevision < c.Revision {
			a.send(h, Message{Relay: &Relay{Changes: c}})
		}
	}
}

// applyRow puts one new row in force.
func (a *Agent) applyRow(now clock.Instant, row table.Row) {
	switch {
	case row.Key.HasPrefix(table.HostPrefix):
		a.applyHosts()
		a.observeOwnRow(now, row)
	case row.Key.HasPrefix(table.BudgetPrefix):
		a.applyBudget(now, row)
	case row.Key == table.ConfigKey:
		a.applyConfig(now, row)
	case row.Key.HasPrefix(table.KeyGrantPrefix):
		a.marks.ringStale = true
	case row.Key.HasPrefix(table.ShiftPrefix):
		a.applyShift(row)
	case row.Key.HasPrefix(table.ReleasePrefix):
		a.applyRelease(row)
	case row.Key == table.ControlKey:
		a.observeControl(now, row)
	}
}

func (a *Agent) applyHosts() {
	members := map[id.Host]id.Incarnation{}
	for _, row := range a.replica.Rows(table.HostPrefix) {
		if row.Host != nil && row.Host.State != table.HostEnded {
			members[row.Host.ID] = row.Host.Incarnation
		}
	}
	a.tracker.SetMembers(members)
	a.publishDue = true
}

// applyBudget applies the share that a committed row grants to this incarnation.
func (a *Agent) applyBudget(now clock.Instant, row table.Row) {
	if row.Budget == nil {
		return
	}
	share := budget.Share[unit.Tokens]{}
	for _, g := range row.Budget.Grants {
		if g.Host == a.self.Host && g.Incarnation == a.self.Incarnation {
			share = budget.Share[unit.Tokens](g.Share)
		}
	}
	a.view.Pool.Set(row.Budget.Account, share, now)
	a.appliedRevisions[row.Budget.Account] = row.Revision
	a.publishDue = true
}

// dropShares makes an incarnation that no longer has shares stop spending: it revokes
// the lease and sets all shares to zero.
func (a *Agent) dropShares(now clock.Instant) {
	a.sharesLease.Revoke()
	for _, account := range a.view.Pool.Keys() {
		a.view.Pool.Set(account, budget.Share[unit.Tokens]{}, now)
	}
}

func (a *Agent) applyConfig(now clock.Instant, row table.Row) {
	if row.Config == nil {
		return
	}
	a.view.Config.Store(config.Compile(*row.Config))
	for _, account := range row.Config.Accounts {
		if a.view.Pool.Bucket(account.ID) == nil {
			a.view.Pool.Set(account.ID, budget.Share[unit.Tokens]{}, now)
		}
	}
	a.publishDue = true
	a.record(timeline.ConfigInForce, "config", "committed row of a higher revision")
}

// Config returns the configuration in force and its revision.
func (a *Agent) Config() (config.Config, table.Revision) {
	row, ok := a.replica.Row(table.ConfigKey)
	if !ok {
		return config.Config{}, 0
	}
	return *row.Config, row.Revision
}

// Rows returns the rows of the local copy whose key has a prefix.
func (a *Agent) Rows(prefix table.Key) []table.Row { return a.replica.Rows(prefix) }

// applyConflict reports whether an answer is a conflict, and applies the rows that it
// contains.
func (a *Agent) applyConflict(now clock.Instant, answer Answer) bool {
	if !errors.Is(answer.Err, table.ErrConflict) {
		return false
	}
	for _, row := range answer.Rows {
		if a.replica.Put(row) {
			a.applyRow(now, row)
		}
	}
	return true
}
