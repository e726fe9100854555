package agent

import (
	"fmt"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
	"celerypin.example/celerypin/pkg/state/unit"
)

// observation records since when a row has been seen unchanged at a revision.
type observation struct {
	revision table.Revision
	since    clock.Instant
}

// hostIncarnation identifies one incarnation of a host.
type hostIncarnation struct {
	host        id.Host
	incarnation id.Incarnation
}

// controlState is this host's state of the fleet's control work.
//
// Any host may hold the control lease. All writes of a holder are conditional on
// the revision of the control row, so those of a paused holder fail once another
// host has taken over. The holder infers from silence that an incarnation has
// ended; the observations behind that start over whenever the holder pauses, stops
// reading the table, or loses contact with the majority.
type controlState struct {
	holding   bool
	inFlight  bool
	nextRound clock.Instant
	// stableSince is the instant since which this host has read the table and been in
	// contact with a majority without interruption.
	stableSince clock.Instant
	hostRows    map[id.Host]observation
	// superseded holds when this host first saw that a higher incarnation had replaced
	// an incarnation with grants.
	superseded map[hostIncarnation]clock.Instant
	controlRow observation
	renewals   uint64
}

func newControlState() controlState {
	return controlState{hostRows: map[id.Host]observation{}, superseded: map[hostIncarnation]clock.Instant{}}
}

func (c *controlState) resetObservations(now clock.Instant) {
	c.stableSince = now
	c.controlRow.since = now
	clear(c.hostRows)
	clear(c.superseded)
}

// maxReadAge is the age of this host's last read up to which the table counts as
// readable.
const maxReadAge = time.Second

// controlWork takes the control lease, or does the holder's work, when due.
func (a *Agent) controlWork(now clock.Instant) {
	c := &a.control
	readable := a.tracker.OwnReadAge(now) <= maxReadAge
	if !readable || !a.tracker.MajorityAcknowledged(now) {
		c.stableSince = now
	}
	if !readable {
		c.resetObservations(now)
		return
	}
	a.observeHosts(now)
	if now < c.nextRound || c.inFlight || !a.sharesLease.Valid(now) || a.lease.stoppedAt != 0 {
		return
	}
	c.nextRound = now.Add(a.timing.ControlInterval)
	if !c.holding && !a.canTakeControl(now) {
		return
	}
	a.runControlRound(now)
}

func (a *Agent) observeHosts(now clock.Instant) {
	for _, row := range a.replica.Rows(table.HostPrefix) {
		if o, ok := a.control.hostRows[row.Host.ID]; !ok || o.revision != row.Revision {
			a.control.hostRows[row.Host.ID] = observation{revision: row.Revision, since: now}
		}
	}
}

// observeControl updates which host holds the control lease.
func (a *Agent) observeControl(now clock.Instant, row table.Row) {
	c := &a.control
	c.controlRow = observation{revision: row.Revision, since: now}
	if row.Control == nil {
		return
	}
	own := row.Control.Holder == a.self.Host && row.Control.Incarnation == a.self.Incarnation
	if c.holding && !own {
		a.record(timeline.ControlLost, string(row.Control.Holder), "another host holds the control lease")
	}
	if !c.holding && own {
		a.record(timeline.ControlTaken, string(a.self.Host), "the lease was free or not renewed")
	}
	c.holding = own
}

// canTakeControl reports whether the control lease is free or has not been renewed
// for LeaseDuration. Each host in contact that has a smaller name delays this host by
// one ControlInterval, so hosts try one after the other in the order of their names.
func (a *Agent) canTakeControl(now clock.Instant) bool {
	rank := 0
	for h := range a.peers {
		if h < a.self.Host && a.tracker.InContact(h, now) {
			rank++
		}
	}
	delay := time.Duration(rank) * a.timing.ControlInterval
	if _, exists := a.replica.Row(table.ControlKey); exists {
		delay += a.timing.LeaseDuration
	}
	return now.Sub(a.control.controlRow.since) > delay
}

// runControlRound renews the control lease, and adds the changes that are due to the
// same transaction.
func (a *Agent) runControlRound(now clock.Instant) {
	c := &a.control
	op := a.newOperation("control")
	c.renewals++
	term := uint64(0)
	if row, ok := a.replica.Row(table.ControlKey); ok {
		term = row.Control.Term
	}
	if !c.holding {
		term++
	}
	control := table.Control{Holder: a.self.Host, Incarnation: a.self.Incarnation, Renewals: c.renewals, Term: term}
	txn := table.Txn{
		Operation:  op,
		Conditions: []table.Condition{{Key: table.ControlKey, Revision: a.replica.Revision(table.ControlKey)}},
		Puts:       []table.Row{{Key: table.ControlKey, Operation: op, Control: &control}},
	}
	var changes []string
	if c.holding {
		a.endSilentHosts(now, &txn)
		changes = append(a.planBudgets(now, &txn), a.planReleases(now, &txn)...)
		a.planShifts(now, &txn)
	}
	c.inFlight = true
	a.call(Call{Txn: &txn}, func(done clock.Instant, answer Answer) {
		c.inFlight = false
		if a.applyConflict(done, answer) || answer.Err != nil {
			return
		}
		a.applyCommittedTxn(done, txn, answer.Revision)
		for _, change := range changes {
			a.record(timeline.BudgetMoved, change, "demand, confirmed reductions or an ended host")
		}
	})
}

// applyCommittedTxn applies the rows of the host's own transaction.
func (a *Agent) applyCommittedTxn(now clock.Instant, txn table.Txn, revision table.Revision) {
	for _, row := range txn.Puts {
		row.Revision = revision
		if a.replica.Put(row) {
			a.applyRow(now, row)
		}
	}
}

// endSilentHosts sets the state of hosts that are proven to have ended to
// table.HostEnded, as part of the transaction.
func (a *Agent) endSilentHosts(now clock.Instant, txn *table.Txn) {
	for _, row := range a.replica.Rows(table.HostPrefix) {
		if row.Host.ID == a.self.Host || row.Host.State == table.HostEnded {
			continue
		}
		if !a.provenSilent(a.control.hostRows[row.Host.ID].since, now) {
			continue
		}
		ended := *row.Host
		ended.State = table.HostEnded
		txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Revision: row.Revision})
		txn.Puts = append(txn.Puts, table.Row{Key: row.Key, Operation: txn.Operation, Host: &ended})
	}
}

// provenSilent reports whether something unchanged since the given instant has been
// observed without interruption for long enough to prove that an incarnation ended.
func (a *Agent) provenSilent(since, now clock.Instant) bool {
	return now.Sub(max(since, a.control.stableSince)) > a.timing.takeoverDelay()
}

// hasEnded returns a predicate that reports whether an incarnation is proven to spend
// no more tokens.
func (a *Agent) hasEnded(now clock.Instant) budget.Ended {
	return func(h id.Host, inc id.Incarnation) bool {
		row, ok := a.replica.Row(table.HostKey(h))
		if !ok || row.Host.Incarnation < inc {
			return false
		}
		if row.Host.Incarnation == inc {
			return row.Host.State == table.HostEnded
		}
		incarnation := hostIncarnation{h, inc}
		since, seen := a.control.superseded[incarnation]
		if !seen {
			a.control.superseded[incarnation] = now
			return false
		}
		return a.provenSilent(since, now)
	}
}

// planBudgets adds the due changes of all accounts' budgets to the transaction, and
// returns a description of each for the time line.
func (a *Agent) planBudgets(now clock.Instant, txn *table.Txn) []string {
	cfg, _ := a.Config()
	ended := a.hasEnded(now)
	var changes []string
	for _, account := range a.budgetedAccounts(cfg) {
		row, _ := a.replica.Row(table.BudgetKey(account.ID))
		current := divisionOf(row.Budget)
		total := budget.Share[unit.Tokens]{Rate: unit.Whole(account.RatePerSecond), Burst: unit.Whole(account.Burst)}
		planner := budget.NewPlanner[unit.Tokens](a.policyFor(account.ID))
		next, changed := planner.Plan(current, total, a.hostStatuses(now, account.ID, row.Revision), ended)
		if !changed {
			continue
		}
		key := table.BudgetKey(account.ID)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Revision: row.Revision})
		txn.Puts = append(txn.Puts, table.Row{Key: key, Operation: txn.Operation, Budget: budgetOf(account.ID, next)})
		changes = append(changes, fmt.Sprintf("%s: %d grants", account.ID, len(next.Grants)))
	}
	return changes
}

// budgetedAccounts returns the configured accounts, and those that are no longer
// configured but still have grants in a budget row.
func (a *Agent) budgetedAccounts(cfg config.Config) []config.Account {
	out := slices.Clone(cfg.Accounts)
	for _, row := range a.replica.Rows(table.BudgetPrefix) {
		configured := slices.ContainsFunc(out, func(c config.Account) bool { return c.ID == row.Budget.Account })
		if !configured && len(row.Budget.Grants) > 0 {
			out = append(out, config.Account{ID: row.Budget.Account})
		}
	}
	return out
}

// hostStatuses returns the state of every host with respect to one budget. A leaving host
// stays eligible, because clients still use look-up answers that name it.
func (a *Agent) hostStatuses(now clock.Instant, account id.Account, revision table.Revision) []budget.HostStatus[unit.Tokens] {
	var out []budget.HostStatus[unit.Tokens]
	for _, row := range a.replica.Rows(table.HostPrefix) {
		h := row.Host
		report := a.budgetReportOf(now, h.ID, account)
		eligible := h.State != table.HostEnded && a.tracker.InContact(h.ID, now)
		if p := a.peers[h.ID]; p != nil {
			eligible = eligible && p.incarnation == h.Incarnation
		}
		out = append(out, budget.HostStatus[unit.Tokens]{
			Host: h.ID, Incarnation: h.Incarnation, Region: h.Region, Demand: report.Demand,
			Confirmed: revision != 0 && report.AppliedRevision >= revision,
			Eligible:  eligible,
		})
	}
	return out
}

func (a *Agent) budgetReportOf(now clock.Instant, h id.Host, account id.Account) BudgetReport {
	if h == a.self.Host {
		return a.ownBudgetReport(now, account)
	}
	if p := a.peers[h]; p != nil {
		return p.budgetReports[account]
	}
	return BudgetReport{}
}

// divisionOf converts a budget row; nil is a budget without grants.
func divisionOf(b *table.Budget) budget.Division[unit.Tokens] {
	var d budget.Division[unit.Tokens]
	if b == nil {
		return d
	}
	d.Total = budget.Share[unit.Tokens](b.Total)
	for _, g := range b.Grants {
		d.Grants = append(d.Grants, budget.Grant[unit.Tokens]{
			Host: g.Host, Incarnation: g.Incarnation,
			Share: budget.Share[unit.Tokens](g.Share), Held: budget.Share[unit.Tokens](g.Held),
		})
	}
	return d
}

// budgetOf converts a division to a budget row.
func budgetOf(account id.Account, d budget.Division[unit.Tokens]) *table.Budget {
	b := &table.Budget{Account: account, Total: table.Share(d.Total)}
	for _, g := range d.Grants {
		b.Grants = append(b.Grants, table.Grant{
			Host: g.Host, Incarnation: g.Incarnation, Share: table.Share(g.Share), Held: table.Share(g.Held),
		})
	}
	return b
}
