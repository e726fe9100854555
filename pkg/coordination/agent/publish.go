package agent

import (
	"time"

	"celerypin.example/celerypin/pkg/coordination/lookup"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// publishInterval is the longest time between two publications of the look-up table.
const publishInterval = 500 * time.Millisecond

// LookupTTL is how long clients may use the answer to a look-up.
const LookupTTL = 2 * time.Second

// publish extends the lease for keyed requests, and replaces the snapshots that
// requests read.
func (a *Agent) publish(now clock.Instant) {
	if until := a.tracker.KeyedUntil(now); until >= now && !a.lease.replaced {
		a.view.KeyedLease.Extend(until)
	}
	a.recordContactChanges(now)
	a.publishRing()
	if !a.publishDue && now < a.nextPublish {
		return
	}
	a.publishDue = false
	a.nextPublish = now.Add(publishInterval)
	inputs := a.lookupInputs(now)
	a.shifts.hostsNamed = a.shifts.hostsNamed || len(inputs.Hosts) > 0
	a.view.Lookup.Store(lookup.New(inputs))
}

func (a *Agent) lookupInputs(now clock.Instant) lookup.Inputs {
	inputs := lookup.Inputs{Holders: map[id.Account][]lookup.Holder{}, TTL: LookupTTL}
	for _, row := range a.replica.Rows(table.HostPrefix) {
		if !a.canNameInLookups(now, row.Host) {
			continue
		}
		inputs.Hosts = append(inputs.Hosts, fleet.Host{
			ID: row.Host.ID, Region: row.Host.Region, FailureDomain: row.Host.FailureDomain, Address: row.Host.CallerAddress,
		})
	}
	for _, row := range a.replica.Rows(table.BudgetPrefix) {
		for _, g := range row.Budget.Grants {
			inputs.Holders[row.Budget.Account] = append(inputs.Holders[row.Budget.Account], lookup.Holder{Host: g.Host, Weight: int64(g.Share.Rate)})
		}
	}
	inputs.Shifts = a.shiftsInForce(now)
	return inputs
}

// canNameInLookups reports whether look-ups may name a host.
func (a *Agent) canNameInLookups(now clock.Instant, h *table.Host) bool {
	if h.State != table.HostServing {
		return false
	}
	if h.ID == a.self.Host {
		return a.lease.state == table.HostServing && a.lease.stoppedAt == 0
	}
	p := a.peers[h.ID]
	return p != nil && !p.leaving && a.tracker.InContact(h.ID, now)
}

// HostStatus is this host's view of one host.
type HostStatus struct {
	Row              table.Host
	InContact        bool
	Leaving          bool
	CompleteRevision table.Revision
	ConfigRevision   table.Revision
	// ContactAge is the time since the host's last message; 0 for this host itself, and
	// if there was none.
	ContactAge time.Duration
}

// Hosts returns the status of all hosts with a row, this one included.
func (a *Agent) Hosts(now clock.Instant) []HostStatus {
	var out []HostStatus
	for _, row := range a.replica.Rows(table.HostPrefix) {
		s := HostStatus{Row: *row.Host, InContact: a.tracker.InContact(row.Host.ID, now)}
		if row.Host.ID == a.self.Host {
			s.CompleteRevision, s.ConfigRevision = a.replica.CompleteRevision(), a.replica.Revision(table.ConfigKey)
			s.Leaving = a.lease.state != table.HostServing
		}
		if p := a.peers[row.Host.ID]; p != nil {
			s.CompleteRevision, s.ConfigRevision, s.Leaving = p.completeRevision, p.configRevision, p.leaving
			s.ContactAge, _ = a.tracker.LastContactAge(row.Host.ID, now)
		}
		out = append(out, s)
	}
	return out
}

// Status is this host's view of itself.
type Status struct {
	Self             Identity
	CompleteRevision table.Revision
	ReadAge          Age
	ServesKeyed      bool
	// Controller is set while the host holds the control lease.
	Controller bool
	// Leased is set while the host may spend its shares.
	Leased bool
}

// Status returns the status of this host.
func (a *Agent) Status(now clock.Instant) Status {
	return Status{
		Self: a.self, CompleteRevision: a.replica.CompleteRevision(), ReadAge: ageAt(now)(a.tracker.ReadAt()),
		ServesKeyed: a.view.KeyedLease.Valid(now), Controller: a.control.holding, Leased: a.sharesLease.Valid(now),
	}
}
