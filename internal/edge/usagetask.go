package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/duty"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
)

// closedPrefix is the key prefix of the rows that hold closed windows.
const closedPrefix = string(platform.DutyUsageReport) + "/closed/"

// closedRow is the JSON form of a closed window.
type closedRow struct {
	Window usage.Window `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// errInvalidClosed means that a row cannot have been written as a closed window.
var errInvalidClosed = errors.New("invalid row of a closed usage window")

// decodeClosed decodes and checks the row of a closed window.
func decodeClosed(key string, data []byte) (closedRow, error) {
	var r closedRow
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("%w: %w", errInvalidClosed, err)
	}
	if r.Window < 0 || key != closedKey(r.Window) {
		return r, fmt.Errorf("%w: field window: got %d in the row %.100q", errInvalidClosed, r.Window, key)
	}
	return r, nil
}

func closedKey(w usage.Window) string { return closedPrefix + strconv.Itoa(usage.SlotOf(w)) }

// usageTask closes the windows and reports them while this host holds the duty. The duty's
// calls use it one at a time.
type usageTask struct {
	host     *Host
	exchange *usageExchange
	client   *platform.DutyClient
	log      *logging.Log
	// holderRow returns the condition that this host holds the duty.
	holderRow func() (condition platform.Put, held bool)
	ledger    *usage.Ledger
	// stale is set while the rows must be listed before the next window is closed, closedLast
	// if the last call closed a window, so that the next one is a report.
	stale, closedLast bool
}

// startUsageTask makes the task the work of the duty, if requests are counted. The duty is only
// taken over while there is an agreed time.
func (h *Host) startUsageTask(log *logging.Log) {
	if h.usage == nil {
		return
	}
	client := platform.NewDutyClient(h.settings.Load().Duties.Address, http1.NewTransport(http1.NewDialer(storeDialTimeout), &http.Transport{
		DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}))
	h.duty.task = &usageTask{host: h, exchange: h.usage, client: client, log: log, holderRow: h.duty.holderRow, ledger: usage.NewLedger(h.usage.terms)}
	h.duty.ready = h.usage.hasTime
}

// Acquired implements DutyTask: it lists the windows that earlier holders closed.
func (t *usageTask) Acquired(ctx context.Context) error {
	rows, _, err := t.host.store.List(ctx, platform.DutyRows)
	if err != nil {
		return err
	}
	t.exchange.mu.Lock()
	now := t.exchange.agreedNow(t.host.clock.Now())
	t.exchange.mu.Unlock()
	var closed []usage.ClosedWindow
	ledger := usage.NewLedger(t.exchange.terms)
	for _, row := range rows {
		slot, found := strings.CutPrefix(row.Key, closedPrefix)
		if !found || row.Deleted {
			continue
		}
		r, err := decodeClosed(row.Key, row.Value)
		if err == nil {
			closed = append(closed, usage.ClosedWindow{Window: r.Window, Counts: r.Counts, Version: row.Version})
			continue
		}
		t.log.With("key", row.Key).With("error", err.Error()).Error("The row of a closed usage window is invalid; it is replaced.")
		if n, err := strconv.Atoi(slot); err == nil && n >= 0 && n < usage.Slots {
			ledger.RestoreInvalid(n, row.Version)
		}
	}
	ledger.Restore(closed, now)
	t.ledger, t.stale = ledger, false
	return nil
}

// Step implements DutyTask. It closes the next window or reports one that is closed. The
// two alternate if both are due, so that neither waits while the store or the platform fails.
func (t *usageTask) Step(ctx context.Context, mayAct func() (duty.Token, bool)) error {
	report, hasReport := t.ledger.NextReport()
	if t.closedLast && hasReport {
		t.closedLast = false
		return t.report(ctx, report, mayAct)
	}
	if t.stale {
		t.closedLast = true
		return t.Acquired(ctx)
	}
	t.exchange.mu.Lock()
	next, ok := t.ledger.NextClose(t.exchange.collector, t.host.clock.Now())
	t.exchange.mu.Unlock()
	t.noteLeftOut()
	switch {
	case ok:
		t.closedLast = true
		return t.close(ctx, next, mayAct)
	case hasReport:
		return t.report(ctx, report, mayAct)
	}
	return nil
}

// noteLeftOut logs the windows that will not be reported.
func (t *usageTask) noteLeftOut() {
	for _, l := range t.ledger.TakeLeftOut() {
		t.host.metrics.windowsLeftOut.Inc(1)
		t.log.With("window", l.Window).With("reason", l.Reason).With("total", l.Total).With("missing", l.Missing).
			Warn("A usage window was left out.")
	}
}

// close writes the counts of a window. The transaction also expects the row by which this
// host holds the duty, so that no other holder has closed the window. Without an answer the
// rows are listed again, because the write may have been applied.
func (t *usageTask) close(ctx context.Context, w usage.ClosedWindow, mayAct func() (duty.Token, bool)) error {
	data, err := json.Marshal(closedRow{Window: w.Window, Counts: w.Counts})
	if err != nil {
		return err
	}
	condition, held := t.holderRow()
	token, may := mayAct()
	if !held || !may {
		return nil
	}
	version, err := t.host.store.Commit(ctx, platform.Put{
		Table: platform.DutyRows, Key: closedKey(w.Window), Value: data, Conditional: true, Expected: w.Version,
	}, condition)
	if err != nil || version.IsZero() {
		t.stale = true
		t.windowLog(w, token).With("error", fmt.Sprint(err)).Warn("A usage window could not be closed.")
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	}
	t.ledger.ConfirmClose(w, version)
	t.windowLog(w, token).Info("A usage window was closed.")
	return nil
}

// report reports a closed window.
func (t *usageTask) report(ctx context.Context, w usage.ClosedWindow, mayAct func() (duty.Token, bool)) error {
	counts := make(map[id.Account]uint64, len(w.Counts))
	for account, n := range w.Counts {
		counts[account] = uint64(n)
	}
	token, may := mayAct()
	if !may {
		return nil
	}
	err := t.client.ReportUsage(ctx, t.exchange.self.ID, uint64(token), int64(w.Window), counts)
	if err != nil {
		t.windowLog(w, token).With("error", err.Error()).Warn("The report of a usage window was not accepted.")
		return err
	}
	t.ledger.ConfirmReport(w.Window)
	t.host.metrics.windowsReported.Inc(1)
	t.exchange.mu.Lock()
	late := t.exchange.agreedNow(t.host.clock.Now()).Sub(t.exchange.terms.DueAt(w.Window))
	t.exchange.mu.Unlock()
	if late > 0 {
		t.host.metrics.windowsLate.Inc(1)
		t.windowLog(w, token).With("late_ms", late.Milliseconds()).Warn("A usage window was reported late.")
		return nil
	}
	t.windowLog(w, token).Info("A usage window was reported.")
	return nil
}

func (t *usageTask) windowLog(w usage.ClosedWindow, token duty.Token) *logging.Log {
	return t.log.With("window", w.Window).With("total", w.Counts.Total()).With("accounts", len(w.Counts)).With("token", token)
}
