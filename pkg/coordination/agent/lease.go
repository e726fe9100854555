package agent

import (
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// leaseState is the state of the host's lease on its slot.
type leaseState struct {
	// renewalSentAt holds when each renewal was sent, for those that may still turn out
	// to be committed.
	renewalSentAt map[id.Operation]clock.Instant
	inFlight      bool
	nextRenewal   clock.Instant
	renewals      uint64
	state         table.HostState
	// stoppedAt is when the host stopped spending before its end; zero if it has not.
	stoppedAt clock.Instant
	// replaced is set once a higher incarnation has the slot.
	replaced bool
	// acquired is set once a row of this incarnation has been committed.
	acquired bool
}

// renewLease registers the host, or renews its lease, when due. While the table is
// unavailable for a majority of the hosts, the lease is extended without a renewal.
func (a *Agent) renewLease(now clock.Instant) {
	l := &a.lease
	if until := a.tracker.SharesUntil(now); l.acquired && !l.replaced && l.stoppedAt == 0 && until >= now {
		a.sharesLease.Extend(until)
	}
	if l.inFlight || now < l.nextRenewal || l.replaced || a.replica.CompleteRevision() == 0 || l.state == table.HostEnded {
		return
	}
	state := a.nextHostState(now)
	a.writeHostRow(now, state)
}

// nextHostState returns the state that the host's row should have.
func (a *Agent) nextHostState(now clock.Instant) table.HostState {
	l := &a.lease
	if l.stoppedAt != 0 && now >= l.stoppedAt.Add(a.timing.LoanDuration+clockMargin) {
		return table.HostEnded
	}
	if l.state == "" {
		return table.HostServing
	}
	return l.state
}

// writeHostRow writes the host's row, which renews its lease. If the slot has the row
// of another process, the host first takes a higher incarnation.
func (a *Agent) writeHostRow(now clock.Instant, state table.HostState) {
	l := &a.lease
	row, exists := a.replica.Row(table.HostKey(a.self.Host))
	if exists && row.Host.Incarnation >= a.self.Incarnation && !a.ownsRow(row) {
		a.registerAnew(now, row.Host.Incarnation+1)
	}
	l.renewals++
	op := a.newOperation("host")
	if l.renewalSentAt == nil {
		l.renewalSentAt = map[id.Operation]clock.Instant{}
	}
	l.renewalSentAt[op] = now
	l.inFlight = true
	host := table.Host{
		ID: a.self.Host, Incarnation: a.self.Incarnation, Region: a.self.Region, FailureDomain: a.self.FailureDomain,
		CallerAddress: a.self.CallerAddress, HostAddress: a.self.HostAddress, State: state, Renewals: l.renewals,
	}
	put := table.Row{Key: table.HostKey(a.self.Host), Operation: op, Host: &host}
	txn := table.Txn{
		Operation:  op,
		Conditions: []table.Condition{{Key: put.Key, Revision: a.replica.Revision(put.Key)}},
		Puts:       []table.Row{put},
	}
	a.call(Call{Txn: &txn}, func(done clock.Instant, answer Answer) {
		l.inFlight = false
		l.nextRenewal = now.Add(a.timing.RenewInterval)
		if a.applyConflict(done, answer) {
			l.nextRenewal = done
			return
		}
		if answer.Err != nil {
			return
		}
		put.Revision = answer.Revision
		if a.replica.Put(put) {
			a.applyRow(done, put)
		}
	})
}

// ownsRow reports whether this incarnation wrote a host row. A row that ends the
// incarnation counts only if the host has stopped spending.
func (a *Agent) ownsRow(row table.Row) bool {
	_, own := a.lease.renewalSentAt[row.Operation]
	return own && row.Host.Incarnation == a.self.Incarnation && (row.Host.State != table.HostEnded || a.lease.stoppedAt != 0)
}

// observeOwnRow handles a committed row of the host's own slot.
func (a *Agent) observeOwnRow(now clock.Instant, row table.Row) {
	if row.Host == nil || row.Host.ID != a.self.Host {
		return
	}
	l := &a.lease
	sent, own := l.renewalSentAt[row.Operation]
	switch {
	case own && row.Host.Incarnation == a.self.Incarnation:
		a.extendLease(now, sent)
		l.state = row.Host.State
		for op, at := range l.renewalSentAt {
			if at < sent {
				delete(l.renewalSentAt, op)
			}
		}
	case row.Host.Incarnation > a.self.Incarnation && l.acquired:
		l.replaced = true
		a.dropShares(now)
		a.record(timeline.LeaseLost, string(a.self.Host), "a higher incarnation has the slot")
	case row.Host.Incarnation == a.self.Incarnation && row.Host.State == table.HostEnded && l.stoppedAt == 0:
		a.registerAnew(now, row.Host.Incarnation+1)
	}
}

// extendLease extends the lease by a committed renewal, counted from when it was sent.
// Other hosts see the renewal later, and therefore wait for longer than the lease lasts.
func (a *Agent) extendLease(now, sent clock.Instant) {
	if a.lease.stoppedAt != 0 {
		return
	}
	until := sent.Add(a.timing.LeaseDuration)
	if until < now {
		return
	}
	if !a.lease.acquired {
		a.record(timeline.LeaseTaken, string(a.self.Host), "the platform committed the host's row")
	}
	a.lease.acquired = true
	a.sharesLease.Extend(until)
}

// registerAnew drops the host's shares and makes it register with a higher
// incarnation.
func (a *Agent) registerAnew(now clock.Instant, inc id.Incarnation) {
	a.dropShares(now)
	if a.lease.acquired {
		a.record(timeline.LeaseLost, string(a.self.Host), "the slot was declared ended; registering anew")
	}
	a.self.Incarnation = max(a.self.Incarnation, inc)
	a.lease = leaseState{nextRenewal: now}
	a.control.holding = false
}

// Leave takes the host out of look-ups, and informs all hosts of it at once. The host
// continues to serve requests.
func (a *Agent) Leave(now clock.Instant) Output {
	if a.lease.state != table.HostEnded {
		a.lease.state = table.HostLeaving
	}
	a.lease.nextRenewal = now
	a.nextHeartbeat = now
	a.sendHeartbeats(now)
	return a.takeOutput()
}

// StopSpending makes the host stop spending tokens. Once its loans to others have
// expired too, it returns its shares; SharesReleased then reports true.
func (a *Agent) StopSpending(now clock.Instant) {
	if a.lease.stoppedAt == 0 {
		a.lease.stoppedAt = now
		a.sharesLease.Revoke()
	}
	a.lease.nextRenewal = now
}

// SharesReleased reports whether the platform has recorded that the host's shares are
// free, or another incarnation has the host's slot.
func (a *Agent) SharesReleased() bool { return a.lease.state == table.HostEnded || a.lease.replaced }

// Replaced reports whether a higher incarnation has this host's slot.
func (a *Agent) Replaced() bool { return a.lease.replaced }
