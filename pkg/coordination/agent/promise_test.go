package agent

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

// TestMain sets a fixed seed for the property tests, so that every run gives the same
// result. The flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	if testing.Short() {
		_ = flag.Set("rapid.checks", "20")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

var testAccounts = []config.Account{
	{ID: "large", RatePerSecond: 60, Burst: 40},
	{ID: "small", RatePerSecond: 6, Burst: 8},
}

// faultKind is the kind of one step of a fault schedule.
type faultKind int

const (
	faultKill faultKind = iota
	faultRestart
	faultPause
	faultResume
	faultCutRegion
	faultCutHosts
	faultCutStore
	faultEndCuts
	faultStoreRefusing
	faultStoreSilent
	faultStoreSlow
	faultStoreLoses
	faultStoreUp
	faultLinks
	faultLeave
	faultStopSpending
	faultCount // the number of kinds
)

var faultNames = [...]string{
	"kill", "restart", "pause", "resume", "cut region", "cut hosts", "cut store", "end cuts", "store refusing", "store silent",
	"store slow", "store loses answers", "store up", "bad links", "leave", "stop spending",
}

// applyFault applies one step of a fault schedule to the fleet.
func (f *simFleet) applyFault(kind faultKind, h, other *simHost) {
	switch kind {
	case faultKill:
		h.dead = true
	case faultRestart:
		if h.dead || h.paused {
			f.start(h)
		}
	case faultPause:
		f.pause(h)
	case faultResume:
		f.resume(h)
	case faultCutRegion:
		f.cutRegion(h.region)
	case faultCutHosts:
		h.cutFrom[other.id] = true
	case faultCutStore:
		h.cutFromStore = true
	case faultEndCuts:
		f.endCuts()
	case faultStoreRefusing:
		f.store.mode = storeRefusing
	case faultStoreSilent:
		f.store.mode = storeSilent
	case faultStoreSlow:
		f.store.mode = storeSlow
	case faultStoreLoses:
		f.store.loseAnswersPercent = 40
	case faultStoreUp:
		f.store = storeFault{}
	case faultLinks:
		f.linkFaults = linkFaults{losePercent: 20, duplicatePercent: 20, delayPercent: 10}
	case faultLeave:
		if !h.dead && !h.paused {
			f.execute(h, h.agent.Leave(f.localTime(h)))
		}
	case faultStopSpending:
		if !h.dead && !h.paused {
			h.agent.StopSpending(f.localTime(h))
		}
	}
}

// cutRegion cuts a region off from all others, and from the table unless the table is
// in that region. In that case all other regions lose the table.
func (f *simFleet) cutRegion(region id.Region) {
	for _, h := range f.hosts {
		inside := h.region == region
		if inside != (f.delays.storeRegion == region) {
			h.cutFromStore = true
		}
		for _, other := range f.hosts {
			if inside != (other.region == region) {
				h.cutFrom[other.id] = true
			}
		}
	}
}

func (f *simFleet) endCuts() {
	f.linkFaults = linkFaults{}
	for _, h := range f.hosts {
		h.cutFromStore = false
		clear(h.cutFrom)
	}
}

// generateLoad sends requests of all accounts to all hosts, well above the rates.
func (f *simFleet) generateLoad(interval time.Duration) {
	for _, h := range f.hosts {
		for _, account := range testAccounts {
			f.request(h, account.ID, 200*time.Millisecond, func(bool) {})
		}
	}
	f.after(interval, func() { f.generateLoad(interval) })
}

// runFaultSchedule draws a schedule of faults and applies it to the fleet. It calls
// check after each step.
func runFaultSchedule(t *rapid.T, f *simFleet, check func()) {
	steps := rapid.IntRange(1, 14).Draw(t, "steps")
	for range steps {
		kind := faultKind(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
		h := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")]
		other := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "other")]
		wait := rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 9 * time.Second, 20 * time.Second}).Draw(t, "wait")
		t.Logf("%v %s %s %s, then wait %v", time.Duration(f.now), faultNames[kind], h.id, other.id, wait)
		f.applyFault(kind, h, other)
		f.run(wait)
		check()
	}
}

func drawFleet(t *rapid.T) *simFleet {
	seed := rapid.Uint64().Draw(t, "seed")
	d := rapid.SampledFrom([]delays{pushpaDelays, hangRaoDelays}).Draw(t, "delays")
	perRegion := rapid.IntRange(2, 3).Draw(t, "hosts per region")
	return newFleet(seed, 3, perRegion, d, DemandPolicy, testAccounts)
}

// TestPromiseAccountNeverOverRate checks, over random schedules of faults, that one
// ideal token bucket would have admitted all the requests that the hosts admitted.
func TestPromiseAccountNeverOverRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.ignoreKeyedLease = rapid.Bool().Draw(t, "ungated")
		f.generateLoad(30 * time.Millisecond)
		f.run(8 * time.Second)
		runFaultSchedule(t, f, func() {})
		f.run(15 * time.Second)
		f.checkRates(t)
	})
}

// TestPromiseCompleteCopyMissesNoRow checks that a host whose copy of the table is
// complete up to a revision has every row up to it. A host that missed one would never
// put that configuration or withdrawal in force.
func TestPromiseCompleteCopyMissesNoRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.generateLoad(100 * time.Millisecond)
		f.run(3 * time.Second)
		runFaultSchedule(t, f, func() { f.checkCopies(t) })
	})
}

// checkCopies checks that each host has all rows up to the revision of its copy.
func (f *simFleet) checkCopies(t logger) {
	changes, _ := f.table.Changes(context.Background(), 0)
	for _, h := range f.hosts {
		if h.dead {
			continue
		}
		for _, row := range changes.Rows {
			got := h.agent.replica.Revision(row.Key)
			if row.Revision <= h.agent.replica.CompleteRevision() && got < row.Revision {
				t.Errorf("host %s, complete up to %d: got revision %d of %s, want %d", h.id, h.agent.replica.CompleteRevision(), got, row.Key, row.Revision)
			}
		}
	}
}

// logger holds the methods of *testing.T and *rapid.T that the checks use.
type logger interface {
	Logf(string, ...any)
	Errorf(string, ...any)
}

// checkRates compares the admitted requests with an ideal token bucket.
func (f *simFleet) checkRates(t logger) {
	for _, account := range testAccounts {
		times := f.admitted[account.ID]
		if i := firstExcess(times, account.RatePerSecond, account.Burst); i >= 0 {
			t.Errorf("account %s: got request %d of %d admitted at %v over the rate, want none", account.ID, i, len(times), time.Duration(times[i].at))
			for _, a := range times[max(0, i-30) : i+1] {
				t.Logf("admitted at %v by %s", time.Duration(a.at), a.host)
			}
			f.dump(t)
		}
	}
}

// dump logs the shares, leases and time lines of all hosts, and the budgets in the table.
func (f *simFleet) dump(t logger) {
	for _, h := range f.hosts {
		for _, account := range testAccounts {
			if b := h.agent.View().Pool.Bucket(account.ID); b != nil {
				t.Logf("%s %s: share %v, leased until %v", h.id, account.ID, b.Share(), time.Duration(h.agent.sharesLease.Until()-h.clockOffset))
			}
		}
	}
	rows, _ := f.table.Changes(context.Background(), 0)
	for _, row := range rows.Rows {
		if row.Budget != nil {
			t.Logf("table: %+v", *row.Budget)
		}
	}
	for _, h := range f.hosts {
		for _, line := range h.log {
			t.Logf("%s", line)
		}
	}
}
