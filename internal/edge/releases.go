package edge

import (
	"context"
	"encoding/json"
	"errors"

	"celerypin.example/celerypin/pkg/coordination/rollout"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/platform"
)

// updateRollouts decides the next rollout steps and applies the agreed ones.
func (c *controller) updateRollouts(ctx context.Context, now clock.Instant) {
	orders := make([]rollout.Order, 0, len(c.orders))
	for _, o := range c.orders {
		orders = append(orders, o)
	}
	writes := c.rollouts.Decide(rollout.Input{
		Orders: orders, Records: c.records, Releases: c.edge.placer.Releases,
		Leader: c.edge.roster.IsLeader(c.edge.leaving.Load(), now) && c.edge.copies.tables[platform.Coordination].listed.Load(),
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
	c.edge.splits.Set(changes, c.rollouts.IsBad)
	c.updateApproved()
}

// commitRecord writes a rollout record, together with its status for operators if
// Publish is set. The record takes effect when it is read back from the store.
func (c *controller) commitRecord(ctx context.Context, w rollout.Write) {
	data, err := json.Marshal(w.Record)
	if err != nil {
		c.log.With("error", err).Error("A rollout record could not be encoded.")
		return
	}
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
		err := c.edge.store.Commit(ctx, puts...)
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
	state := *c.edge.state.Load()
	// Without the rollout orders and records, a release that is not approved could
	// be mistaken for the approved one.
	if state == nil || !c.edge.copies.known(platform.Operator) || !c.edge.copies.known(platform.Coordination) {
		return
	}
	next := map[id.Service]id.Release{}
	for _, s := range state.Services {
		next[s.Name] = c.approvedRelease(s.Name)
	}
	for name, r := range next {
		if c.currentReleases[name] != r {
			c.currentReleases = next
			c.edge.approved.Store(next)
			return
		}
	}
}

// approvedRelease returns the release of the service's rollout record or, without a
// record, the release of most upstreams.
func (c *controller) approvedRelease(service id.Service) id.Release {
	r, known := c.records[service]
	if known {
		return r.Current
	}
	majority := rollout.MostDeployed(c.edge.placer.Releases(service), c.orders[service].To)
	// Without a record, the current release stays approved as long as it has upstreams.
	if current := c.currentReleases[service]; current != "" && (majority == "" || c.edge.placer.Releases(service)[current] > 0) {
		return current
	}
	return majority
}
