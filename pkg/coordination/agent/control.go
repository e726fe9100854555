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

// observation tells since when a row has been seen not to change.
type observation struct {
	revision table.Revision
	since    clock.Instant
}

// incarnationOf names one process life of a host.
type incarnationOf struct {
	host        id.Host
	incarnation id.Incarnation
}

// controlState is the state of the fleet's control work at this host.
//
// Any host may hold the control lease. A holder's writes all name the revision
// of the control row, so those of a paused holder fail once another one has
// taken over. What the holder infers from silence (that an incarnation has
// ended) rests on observations that start anew whenever the holder pauses,
// stops reading the table, or loses contact with the majority.
type controlState struct {
	holding bool
	calling bool
	next    clock.Instant
	// steady is the instant since which this host has read the table and been in
	// contact with a majority without a break.
	steady clock.Instant
	hosts  map[id.Host]observation
	// superseded holds since when an incarnation has been seen to be replaced.
	superseded map[incarnationOf]clock.Instant
	control    observation
	renewals   uint64
}

func newControlState() controlState {
	return controlState{hosts: map[id.Host]observation{}, superseded: map[incarnationOf]clock.Instant{}}
}

func (c *controlState) forget(now clock.Instant) {
	c.steady = now
	c.control.since = now
	clear(c.hosts)
	clear(c.superseded)
}

// readLimit is the age of the last own read up to which the table counts as readable.
const readLimit = time.Second

// controlWork takes or uses the control lease when due.
func (a *Agent) controlWork(now clock.Instant) {
	c := &a.control
	reads := a.tracker.OwnReadAge(now) <= readLimit
	if !reads || !a.tracker.MajorityAcknowledged(now) {
		c.steady = now
	}
	if !reads {
		c.forget(now)
		return
	}
	a.observeHosts(now)
	if now < c.next || c.calling || !a.shares.Valid(now) || a.lease.stopped != 0 {
		return
	}
	c.next = now.Add(a.timing.Control)
	if !c.holding && !a.mayTakeControl(now) {
		return
	}
	a.controlRound(now)
}

func (a *Agent) observeHosts(now clock.Instant) {
	for _, row := range a.replica.Rows(table.HostPrefix) {
		if o, ok := a.control.hosts[row.Host.ID]; !ok || o.revision != row.Revision {
			a.control.hosts[row.Host.ID] = observation{revision: row.Revision, since: now}
		}
	}
}

// observeControl notes who holds the control lease.
func (a *Agent) observeControl(now clock.Instant, row table.Row) {
	c := &a.control
	c.control = observation{revision: row.Revision, since: now}
	if row.Control == nil {
		return
	}
	mine := row.Control.Holder == a.self.Host && row.Control.Incarnation == a.self.Incarnation
	if c.holding && !mine {
		a.record(timeline.ControlLost, string(row.Control.Holder), "another host holds the control lease")
	}
	if !c.holding && mine {
		a.record(timeline.ControlTaken, string(a.self.Host), "the lease was free or not renewed")
	}
	c.holding = mine
}

// mayTakeControl tells whether the control lease is free, or was not renewed
// for its length. Hosts take it in the order of their names.
func (a *Agent) mayTakeControl(now clock.Instant) bool {
	rank := 0
	for h := range a.peers {
		if h < a.self.Host && a.tracker.InContact(h, now) {
			rank++
		}
	}
	patience := time.Duration(rank) * a.timing.Control
	if _, exists := a.replica.Row(table.ControlKey); exists {
		patience += a.timing.Lease
	}
	return now.Sub(a.control.control.since) > patience
}

// controlRound renews the control lease together with the moves that are due.
func (a *Agent) controlRound(now clock.Instant) {
	c := &a.control
	op := a.operation("control")
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
	var moves []string
	if c.holding {
		a.endSilentHosts(now, &txn)
		moves = append(a.planBudgets(now, &txn), a.planReleases(now, &txn)...)
		a.planShifts(now, &txn)
	}
	c.calling = true
	a.call(Call{Txn: &txn}, func(done clock.Instant, answer Answer) {
		c.calling = false
		if a.conflicted(done, answer) || answer.Err != nil {
			return
		}
		a.committed(done, txn, answer.Revision)
		for _, move := range moves {
			a.record(timeline.BudgetMoved, move, "demand, confirmed reductions or an ended host")
		}
	})
}

// committed takes over the rows of the host's own transaction.
func (a *Agent) committed(now clock.Instant, txn table.Txn, revision table.Revision) {
	for _, row := range txn.Puts {
		row.Revision = revision
		if a.replica.Put(row) {
			a.applyRow(now, row)
		}
	}
}

// endSilentHosts marks the rows of hosts that are proven to have ended.
func (a *Agent) endSilentHosts(now clock.Instant, txn *table.Txn) {
	for _, row := range a.replica.Rows(table.HostPrefix) {
		if row.Host.ID == a.self.Host || row.Host.State == table.HostEnded {
			continue
		}
		if !a.silentSince(a.control.hosts[row.Host.ID].since, now) {
			continue
		}
		ended := *row.Host
		ended.State = table.HostEnded
		txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Revision: row.Revision})
		txn.Puts = append(txn.Puts, table.Row{Key: row.Key, Operation: txn.Operation, Host: &ended})
	}
}

// silentSince tells whether something unchanged since the given instant has
// been watched without a break for long enough to prove an end.
func (a *Agent) silentSince(since, now clock.Instant) bool {
	return now.Sub(max(since, a.control.steady)) > a.timing.takeover()
}

// hasEnded tells whether an incarnation is proven to spend no more.
func (a *Agent) hasEnded(now clock.Instant) budget.Ended {
	return func(h id.Host, inc id.Incarnation) bool {
		row, ok := a.replica.Row(table.HostKey(h))
		if !ok || row.Host.Incarnation < inc {
			return false
		}
		if row.Host.Incarnation == inc {
			return row.Host.State == table.HostEnded
		}
		life := incarnationOf{h, inc}
		since, seen := a.control.superseded[life]
		if !seen {
			a.control.superseded[life] = now
			return false
		}
		return a.silentSince(since, now)
	}
}

// planBudgets adds the due moves of all accounts' budgets to the transaction,
// and names the accounts.
func (a *Agent) planBudgets(now clock.Instant, txn *table.Txn) []string {
	cfg, _ := a.Config()
	ended := a.hasEnded(now)
	var moved []string
	for _, account := range a.budgeted(cfg) {
		row, _ := a.replica.Row(table.BudgetKey(account.ID))
		current := divisionOf(row.Budget)
		total := budget.Share[unit.Tokens]{Rate: unit.Whole(account.RatePerSecond), Burst: unit.Whole(account.Burst)}
		ledger := budget.NewPlanner[unit.Tokens](a.policies(account.ID))
		next, changed := ledger.Plan(current, total, a.standings(now, account.ID, row.Revision), ended)
		if !changed {
			continue
		}
		key := table.BudgetKey(account.ID)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Revision: row.Revision})
		txn.Puts = append(txn.Puts, table.Row{Key: key, Operation: txn.Operation, Budget: budgetOf(account.ID, next)})
		moved = append(moved, fmt.Sprintf("%s: %d grants", account.ID, len(next.Grants)))
	}
	return moved
}

// budgeted returns the configured accounts, and those without limits that still have a budget row.
func (a *Agent) budgeted(cfg config.Config) []config.Account {
	out := slices.Clone(cfg.Accounts)
	for _, row := range a.replica.Rows(table.BudgetPrefix) {
		known := slices.ContainsFunc(out, func(c config.Account) bool { return c.ID == row.Budget.Account })
		if !known && len(row.Budget.Grants) > 0 {
			out = append(out, config.Account{ID: row.Budget.Account})
		}
	}
	return out
}

// standings tells what is known of every member and one budget. A leaving host
// stays eligible, because callers still come by look-up answers that they keep.
func (a *Agent) standings(now clock.Instant, account id.Account, revision table.Revision) []budget.HostStatus[unit.Tokens] {
	var out []budget.HostStatus[unit.Tokens]
	for _, row := range a.replica.Rows(table.HostPrefix) {
		h := row.Host
		level := a.levelOf(now, h.ID, account)
		eligible := h.State != table.HostEnded && a.tracker.InContact(h.ID, now)
		if p := a.peers[h.ID]; p != nil {
			eligible = eligible && p.incarnation == h.Incarnation
		}
		out = append(out, budget.HostStatus[unit.Tokens]{
			Host: h.ID, Incarnation: h.Incarnation, Region: h.Region, Demand: level.Demand,
			Confirmed: revision != 0 && level.AppliedRevision >= revision,
			Eligible:  eligible,
		})
	}
	return out
}

func (a *Agent) levelOf(now clock.Instant, h id.Host, account id.Account) BudgetReport {
	if h == a.self.Host {
		return a.ownLevel(now, account)
	}
	if p := a.peers[h]; p != nil {
		return p.levels[account]
	}
	return BudgetReport{}
}

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

func budgetOf(account id.Account, d budget.Division[unit.Tokens]) *table.Budget {
	b := &table.Budget{Account: account, Total: table.Share(d.Total)}
	for _, g := range d.Grants {
		b.Grants = append(b.Grants, table.Grant{
			Host: g.Host, Incarnation: g.Incarnation, Share: table.Share(g.Share), Held: table.Share(g.Held),
		})
	}
	return b
}
