package edge

import (
	"maps"
	"slices"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

const (
	// removedRetention is how long a removal is remembered. The store may come back from a
	// copy that is some seconds old and still has the entry.
	removedRetention = 30 * time.Second
	// drainMargin is the part of the time in which a leaving upstream must get no more
	// requests that is left for the last ones to arrive.
	drainMargin = 100 * time.Millisecond
	// refreshInterval is the interval at which the placer gets the current demand.
	refreshInterval = time.Second
	// minReturnCold is the minimum time for which the upstreams of a failure domain
	// count as cold after the end of its evacuation.
	minReturnCold = 3 * time.Second
)

// upstreamList holds the upstreams of the store's table and gives the placer those
// that may get requests. It is used by the control loop only.
type upstreamList struct {
	host            *Host
	log             *logging.Log
	entries         map[string]entry
	evacuated       map[id.FailureDomain]bool
	evacuationEnded map[id.FailureDomain]clock.Instant
	// removed holds the entries that were removed within removedRetention.
	removed map[string]removal
	// changed is set if the placer must be updated.
	changed   bool
	updatedAt clock.Instant
}

// entry is an upstream's row, with the state that this host keeps about it.
type entry struct {
	info fleet.Upstream
	// era is that of the row.
	era       mirror.Era
	coldUntil clock.Instant
	// implausible is set once it has been logged that the entry is not used.
	implausible bool
	// lapsed is set if the row was deleted but the entry is kept for a while since lapsedAt.
	lapsed   bool
	lapsedAt clock.Instant
}

// removal is the removal of an entry, as known in an era.
type removal struct {
	incarnation id.Incarnation
	era         mirror.Era
	at          clock.Instant
	// restored is set if the entry is listed again in a later era, which began from a copy
	// older than the removal. It is not used before its writer has had the time to remove it.
	restored bool
}

func newUpstreamList(h *Host, log *logging.Log) *upstreamList {
	return &upstreamList{
		host: h, log: log, entries: map[string]entry{}, evacuated: map[id.FailureDomain]bool{}, evacuationEnded: map[id.FailureDomain]clock.Instant{},
		removed: map[string]removal{},
	}
}

// applyRow applies one changed row.
func (l *upstreamList) applyRow(row mirror.Row, now clock.Instant) {
	old, known := l.entries[row.Key]
	if row.Deleted {
		if r, ok := l.removed[row.Key]; ok {
			r.restored = false
			l.removed[row.Key] = r
		}
		if known && !old.lapsed {
			l.remove(row.Key, old, row.Version.Era, now)
		}
		return
	}
	info, cold, err := platform.ParseUpstream(row.Key, row.Value, l.host.settings.Load().Regions)
	if err != nil {
		l.log.With("error", err.Error()).Warn("An upstream's row could not be decoded.")
		delete(l.entries, row.Key)
		l.changed = true
		return
	}
	if r, ok := l.removed[row.Key]; ok && r.incarnation == info.Incarnation && r.era < row.Version.Era {
		r.restored = true
		l.removed[row.Key] = r
		return
	}
	newEra := known && old.era < row.Version.Era && old.info.Incarnation == info.Incarnation
	if newEra && old.info.State == fleet.UpstreamDraining {
		// The store has lost the report that the upstream leaves.
		info.State = old.info.State
	}
	delete(l.removed, row.Key)
	next := entry{info: info, era: row.Version.Era}
	switch {
	case newEra && old.info == info:
		next.coldUntil = old.coldUntil
	case cold > 0:
		next.coldUntil = now.Add(cold)
	}
	l.entries[row.Key] = next
	if known && old.info == info && !old.lapsed && (old.coldUntil <= now) == (cold <= 0) {
		return
	}
	l.changed = true
	if !known || old.info != info {
		l.log.With("upstream", info.ID).With("service", info.Service).With("release", info.Release).With("state", info.State).With("failure_domain", info.FailureDomain).
			With("cold_ms", cold.Milliseconds()).With("version", row.Version).Info("Upstream changed.")
	}
}

// remove removes an entry. A live upstream's entry that may have lapsed because the
// store was unavailable is kept until the upstream has had time to register again.
func (l *upstreamList) remove(key string, old entry, era mirror.Era, now clock.Instant) {
	l.changed = true
	if !l.host.copies.tables[platform.Upstreams].settled(now) && old.info.State == fleet.UpstreamLive {
		old.lapsed, old.lapsedAt = true, now
		l.entries[key] = old
		l.log.With("upstream", old.info.ID).Info("An entry lapsed; waiting for its return.")
		return
	}
	delete(l.entries, key)
	l.removed[key] = removal{incarnation: old.info.Incarnation, era: era, at: now}
	l.log.With("upstream", old.info.ID).With("service", old.info.Service).Info("Upstream gone.")
}

// applyRestored forgets old removals, and applies the rows of entries that a later era has
// restored and that were not removed again.
func (l *upstreamList) applyRestored(now clock.Instant) {
	table := l.host.copies.tables[platform.Upstreams]
	for key, r := range l.removed {
		switch {
		case r.restored && table.rewritten(now):
			delete(l.removed, key)
			if row := table.Get(key); !row.Version.IsZero() {
				l.applyRow(row, now)
			}
		case !r.restored && now.Sub(r.at) >= removedRetention:
			delete(l.removed, key)
		}
	}
}

// setEvacuated notes the beginning or the end of a failure domain's evacuation.
func (l *upstreamList) setEvacuated(domain id.FailureDomain, on bool, now clock.Instant) {
	if l.evacuated[domain] == on {
		return
	}
	l.evacuated[domain] = on
	if !on {
		l.evacuationEnded[domain] = now
	}
	l.changed = true
}

// step removes expired entries, and updates the placer after a change or when the
// refresh interval has passed.
func (l *upstreamList) step(now clock.Instant) {
	l.applyRestored(now)
	settled := l.host.copies.tables[platform.Upstreams].settled(now)
	// Another host may have read the deletion while this one cannot read the store. It may be
	// final, so the entry is not used longer than that of any upstream that has left.
	retention := min(rewriteTime, l.host.settings.Load().Bounds.Drain-drainMargin)
	for key, e := range l.entries {
		if e.lapsed && (settled || now.Sub(e.lapsedAt) >= retention) {
			delete(l.entries, key)
			l.changed = true
			l.removed[key] = removal{incarnation: e.info.Incarnation, era: e.era, at: now}
			l.log.With("upstream", e.info.ID).Info("A lapsed entry did not return.")
		}
	}
	if !l.changed && now.Sub(l.updatedAt) < refreshInterval {
		return
	}
	l.changed = false
	l.updatedAt = now
	l.host.placer.Update(l.listings(now), l.host.roster.DemandParts(l.host.shares.RequestRate(), l.regions(), now), now)
}

// regions returns the regions of the settings in sorted order.
func (l *upstreamList) regions() []id.Region {
	var out []id.Region
	for _, region := range l.host.settings.Load().Regions {
		if !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	slices.Sort(out)
	return out
}

// listings returns the upstreams that may get requests. Those of evacuated failure
// domains are left out.
func (l *upstreamList) listings(now clock.Instant) []place.Listing {
	var out []place.Listing
	own := l.host.settings.Load().Region
	coldSenders := l.host.roster.ColdSenders(now)
	for _, key := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[key]
		if l.evacuated[e.info.FailureDomain] || !l.checkPlausible(key, e) {
			continue
		}
		listing := place.Listing{Info: e.info, ColdUntil: e.coldUntil}
		perSecond, returnCold, maxSenders := l.coldLimits(e.info.Service)
		if at, ok := l.evacuationEnded[e.info.FailureDomain]; ok {
			listing.ColdUntil = max(listing.ColdUntil, at.Add(returnCold))
		}
		// Only hosts of its own region send to a cold upstream, so that each host's
		// share of the upstream's limit is large enough to be useful.
		if e.info.Region == own && now < listing.ColdUntil {
			listing.ColdPerSecond = perSecond * coldSenders.Share(e.info.ID, maxSenders)
		}
		out = append(out, listing)
	}
	return out
}

// checkPlausible reports whether an upstream can have the slots that its row states: each
// request has a connection of its own, and the desired state bounds those. A row with
// more slots would draw the requests of all other upstreams.
func (l *upstreamList) checkPlausible(key string, e entry) bool {
	state := *l.host.state.Load()
	if state == nil {
		return true
	}
	s := state.Service(e.info.Service)
	if s == nil || s.MaxConnections <= 0 || e.info.Slots <= s.MaxConnections {
		return true
	}
	if !e.implausible {
		l.log.With("upstream", key).With("slots", e.info.Slots).With("max_connections", s.MaxConnections).Warn("An upstream states more slots than connections; it is not used.")
		e.implausible = true
		l.entries[key] = e
	}
	return false
}

// coldLimits returns the rate that a service's cold upstreams tolerate, how long
// its upstreams count as cold after an evacuation, and how many hosts may send to
// a cold upstream. Each such host may send one request at once; half of what the
// promised limit allows beyond the rate covers these requests.
func (l *upstreamList) coldLimits(service id.Service) (perSecond float64, returnCold time.Duration, maxSenders int) {
	state := *l.host.state.Load()
	if state == nil {
		return 0, minReturnCold, 1
	}
	s := state.Service(service)
	if s == nil {
		return 0, minReturnCold, 1
	}
	bounds := l.host.settings.Load().Bounds
	excess := s.ColdPerSecond*(bounds.ColdExcess-1) + bounds.ColdSlack
	return s.ColdPerSecond, max(s.ColdFor, minReturnCold), int(excess / 2)
}
