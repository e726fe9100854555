package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"celerypin.example/celerypin/pkg/coordination/rollout"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/platform"
)

// updateRollouts decides the next rollout steps and applies the recorded ones.
func (c *controller) updateRollouts(ctx context.Context, now clock.Instant) {
	orders := make([]rollout.Order, 0, len(c.orders))
	for _, o := range c.orders {
		orders = append(orders, o)
	}
	c.updateApproved(now)
	coordination, upstreams := c.host.copies.tables[platform.Coordination], c.host.copies.tables[platform.Upstreams]
	leader := c.host.roster.IsLeader(c.host.leaving.Load(), now) && coordination.listed.Load()
	// Orders and records may be older than what the store has lost until both are written again.
	rewritten := coordination.rewritten(now) && c.host.copies.tables[platform.Operator].rewritten(now)
	if rewritten {
		c.restoreRecords(ctx, leader, now)
	}
	writes := c.rollouts.Decide(rollout.Input{
		Orders: orders, Records: c.records, Leader: leader && rewritten, Approved: c.approved,
		// Entries may have expired just before this host started.
		Complete: upstreams.listed.Load() && upstreams.settled(now) && now.Sub(c.started) >= rewriteTime,
	}, now)
	for _, w := range writes {
		c.commitRecord(ctx, w)
	}
	var changes []table.ReleaseChange
	for _, r := range c.records {
		if r.Change.State == table.ReleaseGrowing {
			changes = append(changes, r.Change)
		}
	}
	c.host.splits.Set(changes, c.rollouts.IsBad)
}

// restoreRecords writes the records again that the store has lost. A host that is not the
// leader does so after restoreDelay, because the leader may not know the record.
func (c *controller) restoreRecords(ctx context.Context, leader bool, now clock.Instant) {
	for service, since := range c.unrecorded {
		if leader || now.Sub(since) >= rewriteTime+restoreDelay {
			c.commitRecord(ctx, rollout.Write{Record: c.records[service], Publish: true})
		}
	}
}

// restoreDelay is the time that the leader has to write a record again.
const restoreDelay = 1500 * time.Millisecond

// recordRow is the JSON form of a rollout record.
type recordRow struct {
	rollout.Record
	Order    mirror.Number `json:"order"`
	OrderEra mirror.Era    `json:"order_era,omitempty"`
}

func encodeRecord(r rollout.Record) ([]byte, error) {
	return json.Marshal(recordRow{Record: r, Order: r.OrderVersion.Number, OrderEra: r.OrderVersion.Era})
}

// decodeRecord decodes and checks the rollout record of a service.
func decodeRecord(service id.Service, row mirror.Row) (rollout.Record, error) {
	var r recordRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r.Record, err
	}
	if r.Service != service {
		return r.Record, fmt.Errorf("%w: got service %.100q in the row of %q", rollout.ErrInvalid, r.Service, service)
	}
	r.OrderVersion = mirror.Version{Era: r.OrderEra, Number: r.Order}
	r.Version = row.Version
	return r.Record, r.Validate()
}

// applyRecord applies the row of a service's rollout record. A record that the store has lost
// stays in force.
func (c *controller) applyRecord(service id.Service, row mirror.Row, now clock.Instant) {
	log := c.log.With("service", service).With("version", row.Version)
	last, known := c.records[service]
	_, unrecorded := c.unrecorded[service]
	if row.Version.Before(last.Version) || (unrecorded && row.Version == last.Version) {
		return
	}
	lost := known && last.Current != "" && (unrecorded || last.Version.Era < row.Version.Era)
	if row.Deleted {
		if lost {
			// The next write requires that there is no row.
			last.Version = mirror.Version{Era: row.Version.Era}
			c.keepRecord(last, now)
			log.Warn("The store has lost a rollout record; it is written again.")
		}
		return
	}
	r, err := decodeRecord(service, row)
	if err != nil {
		log.With("error", err.Error()).Error("A rollout record is invalid; the last one stays in force.")
		// The next write replaces the invalid row, so it needs that row's version.
		last.Service, last.Version = service, row.Version
		c.records[service] = last
		return
	}
	if lost && r.Behind(&last) {
		last.Version = row.Version
		c.keepRecord(last, now)
		log.With("revision", r.Revision).With("revision_before", last.Revision).Warn("The store has an earlier rollout record; the later one is written again.")
		return
	}
	delete(c.unrecorded, service)
	c.records[service] = r
	log.With("release", r.Change.New).With("share_milli", r.Change.Share).
		With("state", r.Change.State).With("reason", r.Change.Reason).Info("Rollout changed.")
}

// keepRecord keeps a record in force that the store has lost.
func (c *controller) keepRecord(r rollout.Record, now clock.Instant) {
	c.records[r.Service] = r
	if _, ok := c.unrecorded[r.Service]; !ok {
		c.unrecorded[r.Service] = now
	}
}

// commitRecord writes a rollout record, together with its status for operators if
// Publish is set. The record takes effect when the store has accepted it.
func (c *controller) commitRecord(ctx context.Context, w rollout.Write) {
	data, err := encodeRecord(w.Record)
	if err != nil {
		c.log.With("error", err).Error("A rollout record could not be encoded.")
		return
	}
	change := w.Record.Change
	before, after := c.rollouts.Counts(change.Service, change.Old), c.rollouts.Counts(change.Service, change.New)
	c.log.With("service", change.Service).With("release", change.New).With("step", w.Record.Step).With("share_milli", change.Share).
		With("state", change.State).With("reason", change.Reason).
		With("requests", after.Requests).With("failed", after.Failed).With("slow", after.Slow).
		With("rejected", after.Rejected).With("turned_away", after.TurnedAway).
		With("old_requests", before.Requests).With("old_failed", before.Failed).With("old_slow", before.Slow).With("old_rejected", before.Rejected).With("old_turned_away", before.TurnedAway).Info("Rollout step decided.")
	key := releasePrefix + string(w.Record.Service)
	puts := []platform.Put{{Table: platform.Coordination, Key: key, Value: data, Conditional: true, Expected: w.Record.Version}}
	if w.Publish {
		status, err := platform.RolloutStatus(w.Record.Service, rolloutState(w.Record.Change.State), w.Record.Change.New)
		if err != nil {
			c.log.With("error", err).Error("A rollout's status could not be encoded.")
			return
		}
		puts = append(puts, status)
	}
	c.write(key, func() {
		version, err := c.host.store.Commit(ctx, puts...)
		switch {
		case err == nil && !version.IsZero():
			// The store may lose the record before it is read back.
			c.host.copies.add(platform.Coordination, []mirror.Row{{Key: key, Value: data, Version: version}})
			c.wake()
		case errors.Is(err, platform.ErrConflict):
			c.log.With("service", w.Record.Service).Info("Another host wrote the rollout record first.")
		case err != nil:
			c.log.With("service", w.Record.Service).With("error", err.Error()).Warn("A rollout record could not be written.")
		}
	})
}

// rolloutState returns the state that operators see.
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

// updateApproved publishes the approved release of each service.
func (c *controller) updateApproved(now clock.Instant) {
	state := *c.host.state.Load()
	// Without the rollout orders and records, a release that is not approved could
	// be mistaken for the approved one.
	if state == nil || !c.host.copies.known(platform.Operator) || !c.host.copies.known(platform.Coordination) {
		return
	}
	settled := c.host.copies.tables[platform.Upstreams].settled(now)
	next := map[id.Service]id.Release{}
	for _, s := range state.Services {
		record, releases := c.records[s.Name], c.host.placer.Releases(s.Name)
		next[s.Name] = rollout.Approved(&record, c.approved[s.Name], releases, c.orders[s.Name].To, settled)
	}
	if !maps.Equal(c.approved, next) {
		c.approved = next
		c.host.approved.Store(next)
	}
}
