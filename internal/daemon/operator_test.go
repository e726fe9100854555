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

// apply hands in the test's configuration with another rate of its account.
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

// TestRacingOperators lets several operators change the same revision at
// different hosts: one wins, the others get a conflict with both revisions.
func TestRacingOperators(t *testing.T) {
	d := newDeployment(t, 2)
	base := d.config(0).Revision
	const racers = 6
	errs := make([]error, racers)
	var work sync.WaitGroup
	for n := range racers {
		work.Go(func() { _, errs[n] = d.apply(n%2, base, int64(100+n)) })
	}
	work.Wait()
	won := 0
	for _, err := range errs {
		var remote *operator.RemoteError
		switch {
		case err == nil:
			won++
		case !errors.Is(err, operator.ErrConflict) || !errors.As(err, &remote):
			t.Errorf("got %v, want a conflict", err)
		case remote.Body.Base != base || remote.Body.Current <= base:
			t.Errorf("got base %d and current %d, want %d and a later one", remote.Body.Base, remote.Body.Current, base)
		}
	}
	if won != 1 {
		t.Errorf("got %d operators who won, want 1", won)
	}
}

// TestApplySettlesLostAnswer loses the answer to the commit of a change.
func TestApplySettlesLostAnswer(t *testing.T) {
	d := newDeployment(t, 1)
	base := d.config(0).Revision
	d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeUp, LoseAnswers: 3})
	applied, err := d.apply(0, base, 500)
	if err != nil {
		t.Fatalf("got %v, want the change settled", err)
	}
	if got := d.config(0); got.Revision != applied.Revision || got.Config.Accounts[0].RatePerSecond != 500 {
		t.Errorf("got revision %d with rate %d, want %d with 500", got.Revision, got.Config.Accounts[0].RatePerSecond, applied.Revision)
	}
}

func TestHistoryKeepsWhatWasReplaced(t *testing.T) {
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

// TestRefusedChangesChangeNothing hands in what must be refused.
func TestRefusedChangesChangeNothing(t *testing.T) {
	d := newDeployment(t, 1)
	base := d.config(0).Revision
	for _, c := range []struct {
		name string
		do   func() error
		want string
	}{
		{"rate of zero", func() error { _, err := d.apply(0, base, 0); return err }, "rate_per_second"},
		{"revision of the past", func() error { _, err := d.apply(0, base-1, 5); return err }, "conflict"},
		{"store out", func() error {
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
				t.Errorf("got revision %d, want still %d", got, base)
			}
		})
	}
}

// TestShiftIsStartedOnceAndUndone starts a shift, refuses a second one, and takes
// the first back.
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
