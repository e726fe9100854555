package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

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
	writes := c.rollouts.Decide(rollout.Input{
		Orders: orders, Records: c.records, Releases: c.host.placer.Releases,
		Leader: c.host.roster.IsLeader(c.host.leaving.Load(), now) && c.host.copies.tables[platform.Coordination].listed.Load(),
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
	c.updateApproved()
}

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

// commitRecord writes a rollout record, together with its status for operators if
// Publish is set. The record takes effect when it is read back from the store.
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
		With("old_requests", before.Requests).With("old_failed", before.Failed).With("old_slow", before.Slow).Info("Rollout step decided.")
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
		_, err := c.host.store.Commit(ctx, puts...)
		switch {
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
func (c *controller) updateApproved() {
	state := *c.host.state.Load()
	// Without the rollout orders and records, a release that is not approved could
	// be mistaken for the approved one.
	if state == nil || !c.host.copies.known(platform.Operator) || !c.host.copies.known(platform.Coordination) {
		return
	}
	next := map[id.Service]id.Release{}
	for _, s := range state.Services {
		next[s.Name] = c.chooseApproved(s.Name)
	}
	for name, r := range next {
		if c.approved[name] != r {
			c.approved = next
			c.host.approved.Store(next)
			return
		}
	}
}

// chooseApproved chooses the approved release of a service: the current release of
// its rollout record or, without a record, the release of most upstreams.
func (c *controller) chooseApproved(service id.Service) id.Release {
	r, known := c.records[service]
	if known && r.Current != "" {
		return r.Current
	}
	mostDeployed := rollout.MostDeployed(c.host.placer.Releases(service), c.orders[service].To)
	// Without a record, the approved release stays approved as long as it has upstreams.
	if current := c.approved[service]; current != "" && (mostDeployed == "" || c.host.placer.Releases(service)[current] > 0) {
		return current
	}
	return mostDeployed
}
