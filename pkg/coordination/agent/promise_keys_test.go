package agent

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
)

// maxWithdrawnAge is the longest time for which a withdrawn key may still be accepted.
const maxWithdrawnAge = 5 * time.Second

var testKey = key.NewHasher([]byte("a secret of the tests")).Hash("a key of the tests")

// commitGrant commits the key to the table.
func (f *simFleet) commitGrant() {
	rec := key.Record{Hash: testKey, Account: "large"}
	k := table.KeyGrantKey(testKey)
	_, _ = f.table.Commit(context.Background(), table.Txn{Operation: "grant", Puts: []table.Row{{Key: k, KeyGrant: &rec}}})
}

// withdrawalRecorded reports whether the table holds the withdrawal.
func (f *simFleet) withdrawalRecorded() bool {
	rows, _ := f.table.Rows(context.Background(), []table.Key{table.KeyGrantKey(testKey)})
	return len(rows) == 1 && rows[0].KeyGrant.Withdrawn
}

// watchWithdrawal checks all hosts periodically. Once the withdrawal is recorded, or
// in force on all hosts, no host may accept the key for longer than maxWithdrawnAge.
func (f *simFleet) watchWithdrawal(t logger, origin *simHost, process int, withdrawnAt *clock.Instant) {
	if *withdrawnAt == 0 {
		inForceOnAll := origin.process == process && len(origin.agent.KeyWithdrawal(testKey).Missing) == 0
		if f.withdrawalRecorded() || inForceOnAll {
			*withdrawnAt = f.now
		}
	}
	if *withdrawnAt != 0 && f.now.Sub(*withdrawnAt) > maxWithdrawnAge {
		for _, h := range f.hosts {
			if f.accepts(h, testKey) {
				t.Errorf("host %s accepts the key %v after its withdrawal, want at most %v", h.id, f.now.Sub(*withdrawnAt), maxWithdrawnAge)
				f.dump(t)
			}
		}
	}
	f.after(250*time.Millisecond, func() { f.watchWithdrawal(t, origin, process, withdrawnAt) })
}

// TestPromiseWithdrawnKeyStops checks, over random schedules of faults, that every
// host refuses a withdrawn key within maxWithdrawnAge.
func TestPromiseWithdrawnKeyStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.commitGrant()
		f.run(5 * time.Second)
		if !f.accepts(f.hosts[0], testKey) {
			t.Fatalf("got the key refused before its withdrawal, want it accepted")
		}
		runFaultSchedule(t, f, func() {})
		for _, h := range f.hosts {
			if !h.dead && !h.paused {
				var withdrawnAt clock.Instant
				f.withdraw(h, testKey)
				f.watchWithdrawal(t, h, h.process, &withdrawnAt)
				break
			}
		}
		runFaultSchedule(t, f, func() {})
		f.run(10 * time.Second)
	})
}

// TestWithdrawalDuringOutage checks that a withdrawal takes force on all hosts within
// a second, whatever the state of the table.
func TestWithdrawalDuringOutage(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*simFleet)
	}{
		{"table refusing", func(f *simFleet) { f.store.mode = storeRefusing }},
		{"table silent", func(f *simFleet) { f.store.mode = storeSilent }},
		{"table slow", func(f *simFleet) { f.store.mode = storeSlow }},
		{"table loses answers", func(f *simFleet) { f.store.loseAnswersPercent = 100 }},
		{"table up", func(*simFleet) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, 3, 4, hangRaoDelays, DemandPolicy, testAccounts)
			f.commitGrant()
			f.run(5 * time.Second)
			c.fault(f)
			f.run(30 * time.Second)
			for _, h := range f.hosts {
				if !f.accepts(h, testKey) {
					t.Errorf("host %s refuses the key before its withdrawal, want it accepted", h.id)
				}
			}
			f.withdraw(f.hosts[0], testKey)
			f.run(time.Second)
			for _, h := range f.hosts {
				if f.accepts(h, testKey) {
					t.Errorf("host %s accepts the key a second after its withdrawal, want it refused", h.id)
				}
			}
			if got := f.hosts[0].agent.KeyWithdrawal(testKey); len(got.Missing) != 0 {
				t.Errorf("got the withdrawal missing on %v, want it reported in force everywhere", got.Missing)
			}
		})
	}
}

// TestCutHostRefusesKeyedRequests checks that a host without contact to the table and
// to the other hosts refuses keyed requests within maxWithdrawnAge.
func TestCutHostRefusesKeyedRequests(t *testing.T) {
	f := newFleet(1, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.commitGrant()
	f.run(5 * time.Second)
	cut := f.hosts[3]
	cut.cutFromStore = true
	for _, other := range f.hosts {
		cut.cutFrom[other.id] = true
	}
	f.run(maxWithdrawnAge)
	if f.accepts(cut, testKey) {
		t.Errorf("got the key accepted by a host that was cut off %v ago, want it refused", maxWithdrawnAge)
	}
	f.endCuts()
	f.run(3 * time.Second)
	if !f.accepts(cut, testKey) {
		t.Error("got the key refused after the cut has ended, want it accepted")
	}
}

// TestHostStartedDuringOutageLearnsFromPeers checks that a host that starts without
// the table takes the highest revision of its peers, and never accepts a key that they
// know to be withdrawn.
func TestHostStartedDuringOutageLearnsFromPeers(t *testing.T) {
	f := newFleet(1, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.commitGrant()
	f.run(5 * time.Second)
	f.store.mode = storeSilent
	f.run(5 * time.Second)
	f.withdraw(f.hosts[0], testKey)
	f.run(time.Second)
	started := f.hosts[4]
	f.start(started)
	for range 100 {
		if f.accepts(started, testKey) {
			t.Fatal("got the withdrawn key accepted by a new host, want it refused")
		}
		f.run(50 * time.Millisecond)
	}
	_, got := started.agent.Config()
	if _, want := f.hosts[0].agent.Config(); got != want {
		t.Errorf("got configuration %d on the new host, want %d as on its peers", got, want)
	}
}

// TestPromiseConfigurationNeverReverts checks, over random schedules of faults and of
// changes by concurrent operators, that the revision in force on a process never
// decreases, and that the last one is in force on all hosts soon after all faults have
// ended.
func TestPromiseConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.run(3 * time.Second)
		highest := map[hostIncarnation]table.Revision{}
		checkRevisions := func() {
			for _, h := range f.hosts {
				incarnation := hostIncarnation{h.id, id.Incarnation(h.process)}
				_, revision := h.agent.Config()
				if revision < highest[incarnation] {
					t.Errorf("host %s: got configuration %d after %d, want none lower", h.id, revision, highest[incarnation])
				}
				highest[incarnation] = revision
			}
			if rapid.Bool().Draw(t, "change") {
				f.applyConfig(append([]config.Account{{ID: "new", RatePerSecond: 1, Burst: 1}}, testAccounts...))
			}
		}
		runFaultSchedule(t, f, checkRevisions)
		f.store = storeFault{}
		f.endCuts()
		for _, h := range f.hosts {
			f.resume(h)
		}
		f.run(2 * time.Second)
		rows, _ := f.table.Rows(context.Background(), []table.Key{table.ConfigKey})
		for _, h := range f.hosts {
			if _, got := h.agent.Config(); !h.dead && got != rows[0].Revision {
				t.Errorf("host %s: got configuration %d two seconds after all faults have ended, want %d", h.id, got, rows[0].Revision)
			}
		}
	})
}
