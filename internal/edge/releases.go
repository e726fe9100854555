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

// stepReleases decides on rollouts and puts what was agreed in force.
func (k *keeper) stepReleases(ctx context.Context, now clock.Instant) {
	orders := make([]rollout.Order, 0, len(k.orders))
	for _, o := range k.orders {
		orders = append(orders, o)
	}
	writes := k.rolls.Step(rollout.Input{
		Orders: orders, Records: k.records, Releases: k.edge.placer.Releases,
		Leader: k.edge.roster.IsLeader(k.edge.leaving.Load(), now) && k.edge.copies.tables[platform.Coordination].listed.Load(),
	}, now)
	for _, w := range writes {
		k.commit(ctx, w)
	}
	var changes []table.ReleaseChange
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
	puts := []platform.Put{{Table: platform.Coordination, Key: key, Value: data, Conditional: true, Expected: w.Record.Version}}
	if w.Publish {
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
	if state == nil || !k.edge.copies.known(platform.Operator) || !k.edge.copies.known(platform.Coordination) {
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
	found := rollout.MostDeployed(k.edge.placer.Releases(service), k.orders[service].To)
	// One release is kept to until another one is agreed on, as long as it has upstreams.
	if now := k.releasesNow[service]; now != "" && (found == "" || k.edge.placer.Releases(service)[now] > 0) {
		return now
	}
	return found
}
