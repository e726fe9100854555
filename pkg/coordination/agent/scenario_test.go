package agent

import (
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/unit"
)

// controller returns a running host that holds the control lease, or nil.
func (f *simFleet) controller() *simHost {
	for _, h := range f.hosts {
		if !h.dead && !h.paused && h.agent.control.holding {
			return h
		}
	}
	return nil
}

// heldRates returns the part of an account's rate that each host may be using, by the
// table.
func (f *simFleet) heldRates(t *testing.T, account id.Account) map[id.Host]unit.Tokens {
	t.Helper()
	row, ok := f.hosts[0].agent.replica.Row(table.BudgetKey(account))
	if !ok {
		t.Fatalf("got no budget row of account %s, want one", account)
	}
	out := map[id.Host]unit.Tokens{}
	for _, g := range row.Budget.Grants {
		out[g.Host] += g.Held.Rate
	}
	return out
}

// TestShareOfLostHostMovesOnlyAfterTheTakeover checks that the share of a host that
// died is given to others after the takeover time, and not within the lease.
func TestShareOfLostHostMovesOnlyAfterTheTakeover(t *testing.T) {
	f := newFleet(3, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(10 * time.Second)
	lost := f.hosts[5]
	lost.dead = true
	f.run(f.timing.LeaseDuration)
	if f.heldRates(t, "large")[lost.id] == 0 {
		t.Errorf("got the share moved within the lease of %v, want it still held", f.timing.LeaseDuration)
	}
	f.run(f.timing.takeoverDelay())
	if got := f.heldRates(t, "large")[lost.id]; got != 0 {
		t.Errorf("got %d still held after the takeover time, want it moved", got)
	}
}

// TestShareStaysWhileTableIsUnavailable checks that hosts go on spending their shares
// during a long outage of the table.
func TestShareStaysWhileTableIsUnavailable(t *testing.T) {
	f := newFleet(3, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(10 * time.Second)
	f.store.mode = storeSilent
	f.run(5 * time.Minute)
	for _, h := range f.hosts {
		if got := f.spend(h, "large"); got != budget.Granted {
			t.Errorf("host %s: got %v after five minutes without the table, want granted", h.id, got)
		}
	}
}

// TestHostCutFromTheTableStopsSpending cuts a host off from the table that others
// still read. Its share must expire, although the host is in contact with the others.
func TestHostCutFromTheTableStopsSpending(t *testing.T) {
	f := newFleet(3, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(10 * time.Second)
	cut := f.hosts[5]
	cut.cutFromStore = true
	f.run(f.timing.LeaseDuration + time.Millisecond)
	if got := f.spend(cut, "large"); got != budget.LeaseExpired {
		t.Errorf("got %v when the lease has ended while others read the table, want lapsed", got)
	}
}

// TestResumedHostHasNoLease pauses a host past the end of its lease. Its first spend
// after the pause must find the lease expired.
func TestResumedHostHasNoLease(t *testing.T) {
	f := newFleet(3, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(10 * time.Second)
	h := f.hosts[4]
	f.pause(h)
	f.run(time.Minute)
	h.paused = false
	if got := f.spend(h, "large"); got != budget.LeaseExpired {
		t.Errorf("got %v for the first spend after a pause of a minute, want lapsed", got)
	}
}

// TestPausedControllerLosesItsWrite pauses the controller until another host has taken
// over. The write of the paused controller must fail, so that one controller remains.
func TestPausedControllerLosesItsWrite(t *testing.T) {
	f := newFleet(3, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(10 * time.Second)
	old := f.controller()
	f.pause(old)
	f.run(20 * time.Second)
	if now := f.controller(); now == nil || now == old {
		t.Fatal("got no other controller after 20 s, want one")
	}
	f.resume(old)
	f.run(3 * time.Second)
	holders := 0
	for _, h := range f.hosts {
		if h.agent.control.holding {
			holders++
		}
	}
	if holders != 1 {
		t.Errorf("got %d hosts that hold the control lease, want 1", holders)
	}
}

// TestLoweredShareIsConfirmedOnlyAfterLoansEnd lends more than the burst of a reduced
// share, and checks that the reduction is not confirmed before the loan has ended.
func TestLoweredShareIsConfirmedOnlyAfterLoansEnd(t *testing.T) {
	f := newFleet(3, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(10 * time.Second)
	h := f.hosts[2]
	b := h.agent.View().Pool.Bucket("large")
	now := f.localTime(h)
	until := now.Add(time.Second)
	lent := b.Lend(budget.LoanRequest[unit.Tokens]{ID: 1, To: "x", Amount: unit.Whole(4), Granularity: unit.Token}, 0, now, until)
	b.SetShare(budget.Share[unit.Tokens]{Rate: unit.Token, Burst: lent / 2}, now)
	if got := h.agent.ownBudgetReport(now, "large").AppliedRevision; got != 0 {
		t.Errorf("got the reduction confirmed as revision %d while %d are on loan, want it unconfirmed", got, lent)
	}
	if got := h.agent.ownBudgetReport(until+1, "large").AppliedRevision; got == 0 {
		t.Error("got the reduction unconfirmed after the loan has ended, want it confirmed")
	}
}

// TestLookupDropsLostAndLeavingHosts checks that look-ups at every host stop naming a
// host within three seconds after it died, paused or began to leave.
func TestLookupDropsLostAndLeavingHosts(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault faultKind
	}{{"lost", faultKill}, {"paused", faultPause}, {"leaving", faultLeave}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(3, 3, 2, hangRaoDelays, DemandPolicy, testAccounts)
			f.run(10 * time.Second)
			target := f.hosts[1]
			if !f.namedInLookups(target) {
				t.Fatal("got the host not named while it serves, want it named")
			}
			f.applyFault(c.fault, target, target)
			f.run(3 * time.Second)
			if f.namedInLookups(target) {
				t.Error("got the host still named three seconds later, want it dropped")
			}
		})
	}
}

// namedInLookups reports whether any other host's look-ups name a host.
func (f *simFleet) namedInLookups(target *simHost) bool {
	for _, h := range f.hosts {
		if h == target || h.dead || h.paused {
			continue
		}
		for seed := range uint64(12) {
			answer := h.agent.View().Lookup.Load().Lookup(target.region, "large", seed)
			for _, named := range answer.Hosts[:answer.Count] {
				if named.ID == target.id {
					return true
				}
			}
		}
	}
	return false
}

// TestFewHostsReadTheTable checks by the number of reads that only one host in each
// failure domain and the holder of the control lease read the table.
func TestFewHostsReadTheTable(t *testing.T) {
	f := newFleet(3, 3, 4, pushpaDelays, DemandPolicy, testAccounts)
	f.run(10 * time.Second)
	before, _ := f.table.Counts()
	f.run(10 * time.Second)
	after, _ := f.table.Counts()
	maxReads := uint64(10*time.Second/f.timing.PollInterval) * (6 + 1)
	if got := after - before; got > maxReads {
		t.Errorf("got %d reads in ten seconds, want at most %d", got, maxReads)
	}
}

// TestLeavingHostGetsAndKeepsAShare lets a host leave before it was granted a share.
// The host must get a share for clients that use a cached look-up answer, until it
// returns the share itself.
func TestLeavingHostGetsAndKeepsAShare(t *testing.T) {
	f := newFleet(3, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(10 * time.Second)
	leaving := f.hosts[1]
	leaving.dead = true
	f.run(20 * time.Second)
	f.start(leaving)
	f.run(500 * time.Millisecond)
	f.applyFault(faultLeave, leaving, leaving)
	f.run(3 * time.Second)
	if share := leaving.agent.View().Pool.Bucket("large").Share(); share.Rate == 0 {
		t.Errorf("got share %v at a host that leaves, want some until it gives it back", share)
	}
	f.applyFault(faultStopSpending, leaving, leaving)
	f.run(4 * time.Second)
	if got := f.heldRates(t, "large")[leaving.id]; got != 0 {
		t.Errorf("got %d still held after the host gave its share back, want none", got)
	}
}
