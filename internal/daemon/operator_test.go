package daemon

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	protocol "celerypin.example/celerypin/internal/protocol/operator"
	platformprotocol "celerypin.example/celerypin/internal/protocol/platform"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/table"
)

// apply submits testConfig with another rate for its account.
func (d *deployment) apply(n int, base table.Revision, rate int64) (protocol.ConfigApplied, error) {
	cfg := testConfig
	cfg.Accounts = []config.Account{{ID: "parish", RatePerSecond: rate, Burst: 100_000}}
	document := protocol.ConfigDocument{Revision: base, Config: cfg}
	return operator.Send[protocol.ConfigDocument, protocol.ConfigApplied](context.Background(), d.operator(n), http.MethodPut, protocol.ConfigPath, document)
}

func (d *deployment) config(n int) protocol.ConfigDocument {
	d.t.Helper()
	current, err := operator.Get[protocol.ConfigDocument](context.Background(), d.operator(n), protocol.ConfigPath)
	if err != nil {
		d.t.Fatal(err)
	}
	return current
}

// TestConcurrentConfigChanges checks that of several operators who change the same
// revision at different hosts one succeeds, and that the others get a conflict that
// names both revisions.
func TestConcurrentConfigChanges(t *testing.T) {
	d := newDeployment(t, 2)
	base := d.config(0).Revision
	const changes = 6
	errs := make([]error, changes)
	var work sync.WaitGroup
	for n := range changes {
		work.Go(func() { _, errs[n] = d.apply(n%2, base, int64(100+n)) })
	}
	work.Wait()
	succeeded := 0
	for _, err := range errs {
		var remote *operator.RemoteError
		switch {
		case err == nil:
			succeeded++
		case !errors.Is(err, operator.ErrConflict) || !errors.As(err, &remote):
			t.Errorf("got %v, want a conflict", err)
		case remote.Body.Base != base || remote.Body.Current <= base:
			t.Errorf("got base %d and current %d, want %d and a later one", remote.Body.Base, remote.Body.Current, base)
		}
	}
	if succeeded != 1 {
		t.Errorf("got %d changes that succeeded, want 1", succeeded)
	}
}

// TestApplyResolvesLostAnswer checks that a change takes effect and is confirmed if the
// answer to its commit is lost.
func TestApplyResolvesLostAnswer(t *testing.T) {
	d := newDeployment(t, 1)
	base := d.config(0).Revision
	d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeUp, LoseAnswers: 3})
	applied, err := d.apply(0, base, 500)
	if err != nil {
		t.Fatalf("got %v, want the change confirmed", err)
	}
	if got := d.config(0); got.Revision != applied.Revision || got.Config.Accounts[0].RatePerSecond != 500 {
		t.Errorf("got revision %d with rate %d, want %d with 500", got.Revision, got.Config.Accounts[0].RatePerSecond, applied.Revision)
	}
}

func TestHistoryKeepsReplacedConfiguration(t *testing.T) {
	d := newDeployment(t, 1)
	first := d.config(0)
	if _, err := d.apply(0, first.Revision, 500); err != nil {
		t.Fatal(err)
	}
	history, err := operator.Get[protocol.History](context.Background(), d.operator(0), protocol.HistoryPath)
	if err != nil {
		t.Fatal(err)
	}
	if len(history.Entries) != 2 || history.Entries[1].Revision != first.Revision || history.Entries[1].Config.Accounts[0].RatePerSecond != 100_000 {
		t.Errorf("got %+v, want the new configuration and the one of revision %d", history.Entries, first.Revision)
	}
}

// TestRefusedChangesHaveNoEffect submits requests that must be refused, and checks that
// the revision stays.
func TestRefusedChangesHaveNoEffect(t *testing.T) {
	d := newDeployment(t, 1)
	base := d.config(0).Revision
	for _, c := range []struct {
		name string
		do   func() error
		want string
	}{
		{"rate of zero", func() error { _, err := d.apply(0, base, 0); return err }, "rate_per_second"},
		{"stale revision", func() error { _, err := d.apply(0, base-1, 5); return err }, "conflict"},
		{"store unavailable", func() error {
			d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeUnavailable})
			defer d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeUp})
			_, err := d.apply(0, base, 5)
			return err
		}, "store_out"},
		{"wrong token", func() error {
			_, err := operator.Get[protocol.HostList](context.Background(), operator.NewClient(d.hosts[0].CallerAddress(), "wrong"), protocol.HostsPath)
			return err
		}, "forbidden"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := c.do(); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want an error about %s", err, c.want)
			}
			if got := d.config(0).Revision; got != base {
				t.Errorf("got revision %d after a refused change, want %d", got, base)
			}
		})
	}
}

// TestShiftIsStartedOnceAndUndone checks that a second shift of a region is refused, and
// that the first can be undone after it has finished.
func TestShiftIsStartedOnceAndUndone(t *testing.T) {
	d := newDeployment(t, 1)
	ctx := context.Background()
	start := protocol.ShiftStart{From: "r0", To: "r1", Target: 500, Cap: 500, Interval: config.Duration(100 * time.Millisecond)}
	send := func() (protocol.ShiftEntry, error) {
		return operator.Send[protocol.ShiftStart, protocol.ShiftEntry](ctx, d.operator(0), http.MethodPost, protocol.ShiftsPath, start)
	}
	if _, err := send(); err != nil {
		t.Fatal(err)
	}
	if _, err := send(); !errors.Is(err, operator.ErrConflict) {
		t.Errorf("got %v for a second shift of the region, want a conflict", err)
	}
	d.eventually("the shift to finish", func() bool { return d.shiftState() == table.ShiftFinished })
	d.eventually("the shift to be undone", func() bool {
		_, _ = operator.Send[protocol.ShiftUndo, protocol.ShiftEntry](ctx, d.operator(0), http.MethodPost, protocol.UndoPath, protocol.ShiftUndo{From: "r0"})
		return d.shiftState() == table.ShiftUndone
	})
}

func (d *deployment) shiftState() table.ShiftState {
	list, err := operator.Get[protocol.ShiftList](context.Background(), d.operator(0), protocol.ShiftsPath)
	if err != nil || len(list.Shifts) != 1 {
		return ""
	}
	return list.Shifts[0].Shift.State
}
