package agent

import (
	"cmp"
	"context"
	"flag"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/coordination/lookup"
	"celerypin.example/celerypin/pkg/coordination/shift"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// clientThreshold is a client and the share of a shift from which it is moved.
type clientThreshold struct {
	seed  uint64
	share table.Milli
}

// clientThresholds determines through look-ups from which share each client is moved.
func clientThresholds() []clientThreshold {
	tables := make([]lookup.Table, table.Whole+1)
	for share := range tables {
		tables[share] = lookup.New(lookup.Inputs{Shifts: []lookup.Shift{{From: "r1", To: "r2", Share: table.Milli(share)}}})
	}
	var out []clientThreshold
	for seed := range uint64(400) {
		for share := range tables {
			if tables[share].Shifted("r1", seed) == "r2" {
				out = append(out, clientThreshold{seed, table.Milli(share)})
				break
			}
		}
	}
	slices.SortFunc(out, func(a, b clientThreshold) int { return cmp.Compare(a.share, b.share) })
	return out
}

// movedShare returns the share in force at a host. Clients that are sent to another
// region because no host of their own is usable do not count.
func (f *simFleet) movedShare(h *simHost, clients []clientThreshold) table.Milli {
	lookups := h.agent.View().Lookup.Load()
	unmoved := sort.Search(len(clients), func(i int) bool { return lookups.Shifted("r1", clients[i].seed) != "r2" })
	if unmoved == 0 {
		return 0
	}
	return clients[unmoved-1].share
}

const (
	shiftCap      = table.Milli(100)
	shiftInterval = 3 * time.Second
)

func (f *simFleet) startShift() {
	s := table.Shift{From: "r1", To: "r2", Target: 600, Cap: shiftCap, Interval: config.Duration(shiftInterval), State: table.ShiftMoving}
	_, _ = f.table.Commit(context.Background(), table.Txn{Operation: "shift", Puts: []table.Row{{Key: table.ShiftKey("r1"), Shift: &s}}})
}

// undoShift undoes the shift as an operator would, from the state of the table.
func (f *simFleet) undoShift() {
	rows, _ := f.table.Rows(context.Background(), []table.Key{table.ShiftKey("r1")})
	next := shift.Undo(*rows[0].Shift)
	_, _ = f.table.Commit(context.Background(), table.Txn{Operation: "undo", Puts: []table.Row{{Key: rows[0].Key, Shift: &next}}})
}

// shiftHistory holds the shares in force at one process during the last interval.
type shiftHistory struct {
	times  []clock.Instant
	shares []table.Milli
}

// TestPromiseShiftNeverExceedsCap checks, over random schedules of faults, that within
// any interval no host moves more clients than the cap, in either direction, and that
// the shift ends finished or undone once the faults have ended.
func TestPromiseShiftNeverExceedsCap(t *testing.T) {
	rapid.Check(t, shiftProperty(clientThresholds()))
}

// TestPromiseShiftFailedSeeds repeats seeds that once violated the property.
func TestPromiseShiftFailedSeeds(t *testing.T) {
	for _, c := range []struct{ name, seed string }{
		{"hosts put the first record in force at once although they had answered without it", "787223376"},
	} {
		t.Run(c.name, func(t *testing.T) {
			setFlag(t, "rapid.seed", c.seed)
			setFlag(t, "rapid.checks", "1")
			rapid.Check(t, shiftProperty(clientThresholds()))
		})
	}
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// TestLateShiftStartsFromZero cuts off the region of the table while a shift begins.
// The hosts outside receive the row after several steps, and must not apply all of
// them at once.
func TestLateShiftStartsFromZero(t *testing.T) {
	clients := clientThresholds()
	f := newFleet(0, 3, 2, hangRaoDelays, DemandPolicy, testAccounts)
	f.run(3 * time.Second)
	f.startShift()
	f.applyFault(faultCutRegion, f.hosts[0], f.hosts[0])
	f.run(9 * time.Second)
	f.endCuts()
	outside := f.hosts[5]
	for f.movedShare(outside, clients) == 0 {
		f.run(simTick)
	}
	if got := f.movedShare(outside, clients); got > shiftCap {
		t.Errorf("got %d of 1000 clients moved at once, want at most %d", got, shiftCap)
	}
}

func shiftProperty(clients []clientThreshold) func(t *rapid.T) {
	// gap is the accuracy of movedShare: the gap between the thresholds of two clients.
	const gap = table.Milli(25)
	return func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2, hangRaoDelays, DemandPolicy, testAccounts)
		f.run(3 * time.Second)
		f.startShift()
		histories := map[hostIncarnation]*shiftHistory{}
		var observe func()
		observe = func() {
			for _, h := range f.hosts {
				incarnation := hostIncarnation{h.id, id.Incarnation(h.process)}
				answers := h.agent.View().Lookup.Load().HostCount() > 0
				if h.dead || h.paused || !answers {
					continue
				}
				if histories[incarnation] == nil {
					histories[incarnation] = &shiftHistory{}
				}
				f.checkShift(t, h, histories[incarnation], f.movedShare(h, clients), gap)
			}
			f.after(200*time.Millisecond, observe)
		}
		observe()
		runFaultSchedule(t, f, func() {
			if rapid.IntRange(0, 5).Draw(t, "undo") == 0 {
				f.undoShift()
			}
		})
		f.store = storeFault{}
		f.endCuts()
		for _, h := range f.hosts {
			f.resume(h)
			if h.dead {
				f.start(h)
			}
		}
		f.run(60 * time.Second)
		rows, _ := f.table.Rows(context.Background(), []table.Key{table.ShiftKey("r1")})
		if s := rows[0].Shift.State; s != table.ShiftFinished && s != table.ShiftUndone {
			t.Errorf("got the shift %s long after all faults have ended, want it finished or undone", s)
		}
	}
}

// checkShift adds the share in force at a host to its history, and compares it with all
// shares of the last interval.
func (f *simFleet) checkShift(t logger, h *simHost, history *shiftHistory, share, gap table.Milli) {
	history.times, history.shares = append(history.times, f.now), append(history.shares, share)
	for f.now.Sub(history.times[0]) >= shiftInterval {
		history.times, history.shares = history.times[1:], history.shares[1:]
	}
	for _, earlier := range history.shares {
		if change := max(share-earlier, earlier-share); change > shiftCap+gap {
			t.Errorf("host %s: got %d of 1000 clients moved within %v, want at most %d", h.id, change, shiftInterval, shiftCap)
			history.times, history.shares = history.times[:0], history.shares[:0]
			return
		}
	}
}

// TestShiftFinishesAndIsUndone follows a shift without faults to its end and back.
func TestShiftFinishesAndIsUndone(t *testing.T) {
	clients := clientThresholds()
	f := newFleet(4, 3, 2, pushpaDelays, DemandPolicy, testAccounts)
	f.run(3 * time.Second)
	f.startShift()
	f.run(40 * time.Second)
	if got := f.movedShare(f.hosts[0], clients); got < 575 || got > 600 {
		t.Errorf("got %d of 1000 clients moved, want 600", got)
	}
	f.undoShift()
	f.run(40 * time.Second)
	if got := f.movedShare(f.hosts[0], clients); got != 0 {
		t.Errorf("got %d of 1000 clients still moved after the undo, want none", got)
	}
	rows, _ := f.table.Rows(context.Background(), []table.Key{table.ShiftKey("r1")})
	if rows[0].Shift.State != table.ShiftUndone {
		t.Errorf("got state %s, want undone", rows[0].Shift.State)
	}
}
