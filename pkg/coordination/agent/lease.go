package agent

import (
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// leaseState is the state of the host's lease on its slot.
type leaseState struct {
	// sent holds when each renewal was sent that may still be found committed.
	sent     map[id.Operation]clock.Instant
	calling  bool
	next     clock.Instant
	renewals uint64
	state    table.HostState
	// stopped is when the host stopped spending, on its way out.
	stopped  clock.Instant
	replaced bool
	taken    bool
}

// renewLease registers the host, or renews its lease, when due.
func (a *Agent) renewLease(now clock.Instant) {
	l := &a.lease
	if until := a.tracker.SharesUntil(now); l.taken && !l.replaced && l.stopped == 0 && until >= now {
		a.shares.Extend(until)
	}
	if l.calling || now < l.next || l.replaced || a.replica.Complete() == 0 || l.state == table.HostEnded {
		return
	}
	state := a.nextState(now)
	a.writeHost(now, state)
}

// nextState tells what the host's row should say.
func (a *Agent) nextState(now clock.Instant) table.HostState {
	l := &a.lease
	if l.stopped != 0 && now >= l.stopped.Add(a.timing.Loan+margin) {
		return table.HostEnded
	}
	if l.state == "" {
		return table.HostServing
	}
	return l.state
}

func (a *Agent) writeHost(now clock.Instant, state table.HostState) {
	l := &a.lease
	row, exists := a.replica.Row(table.HostKey(a.self.Host))
	if exists && row.Host.Incarnation >= a.self.Incarnation && !a.ownsRow(row) {
		a.reincarnate(now, row.Host.Incarnation+1)
	}
	l.renewals++
	op := a.operation("host")
	if l.sent == nil {
		l.sent = map[id.Operation]clock.Instant{}
	}
	l.sent[op] = now
	l.calling = true
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
		l.calling = false
		l.next = now.Add(a.timing.Renew)
		if a.conflicted(done, answer) {
			l.next = done
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

// ownsRow tells whether a host row was written by this process.
func (a *Agent) ownsRow(row table.Row) bool {
	_, mine := a.lease.sent[row.Operation]
	return mine && row.Host.Incarnation == a.self.Incarnation && (row.Host.State != table.HostEnded || a.lease.stopped != 0)
}

// observeOwnRow acts on the committed state of the host's own slot.
func (a *Agent) observeOwnRow(now clock.Instant, row table.Row) {
	if row.Host == nil || row.Host.ID != a.self.Host {
		return
	}
	l := &a.lease
	sent, mine := l.sent[row.Operation]
	switch {
	case mine && row.Host.Incarnation == a.self.Incarnation:
		a.extendLease(now, sent)
		l.state = row.Host.State
		for op, at := range l.sent {
			if at < sent {
				delete(l.sent, op)
			}
		}
	case row.Host.Incarnation > a.self.Incarnation && l.taken:
		l.replaced = true
		a.dropShares(now)
		a.record(timeline.LeaseLost, string(a.self.Host), "a higher incarnation has the slot")
	case row.Host.Incarnation == a.self.Incarnation && row.Host.State == table.HostEnded && l.stopped == 0:
		a.reincarnate(now, row.Host.Incarnation+1)
	}
}

func (a *Agent) extendLease(now, sent clock.Instant) {
	if a.lease.stopped != 0 {
		return
	}
	until := sent.Add(a.timing.Lease)
	if until < now {
		return
	}
	if !a.lease.taken {
		a.record(timeline.LeaseTaken, string(a.self.Host), "the platform committed the host's row")
	}
	a.lease.taken = true
	a.shares.Extend(until)
}

// reincarnate makes the host register anew, without the shares it had.
func (a *Agent) reincarnate(now clock.Instant, inc id.Incarnation) {
	a.dropShares(now)
	if a.lease.taken {
		a.record(timeline.LeaseLost, string(a.self.Host), "the slot was declared ended; registering anew")
	}
	a.self.Incarnation = max(a.self.Incarnation, inc)
	a.lease = leaseState{next: now}
	a.control.holding = false
}

// Leave makes look-ups stop naming this host; it goes on serving.
func (a *Agent) Leave(now clock.Instant) Output {
	if a.lease.state != table.HostEnded {
		a.lease.state = table.HostLeaving
	}
	a.lease.next = now
	a.nextHeartbeat = now
	a.sendHeartbeats(now)
	return a.take()
}

// StopSpending makes the host stop spending. Once what it has lent can no longer be
// spent either, it gives its shares back; Released then tells so.
func (a *Agent) StopSpending(now clock.Instant) {
	if a.lease.stopped == 0 {
		a.lease.stopped = now
		a.shares.Revoke()
	}
	a.lease.next = now
}

// SharesReleased tells whether the platform has recorded that the host's shares are free.
func (a *Agent) SharesReleased() bool { return a.lease.state == table.HostEnded || a.lease.replaced }

// Replaced tells whether another incarnation has this host's slot.
func (a *Agent) Replaced() bool { return a.lease.replaced }
