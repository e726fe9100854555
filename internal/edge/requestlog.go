package edge

import (
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
)

// requestLog writes one line for each decision on a request, within a bound
// for each reason: failures and refusals have more room than what went well.
type requestLog struct {
	log     *logging.Log
	clock   clock.Clock
	windows [2]window
}

// Lines a second of each kind; the rest is counted and told with the next line.
const (
	usualLines   = 4
	unusualLines = 20
)

const (
	usual = iota
	unusual
)

// window counts the lines of one second.
type window struct {
	second  atomic.Int64
	lines   atomic.Int64
	skipped atomic.Int64
}

// admit tells whether a line may be written, and how many were left out before it.
func (w *window) admit(limit int64, now clock.Instant) (skipped int64, ok bool) {
	second := int64(now) / int64(time.Second)
	if old := w.second.Load(); old != second && w.second.CompareAndSwap(old, second) {
		w.lines.Store(0)
	}
	if w.lines.Add(1) > limit {
		w.skipped.Add(1)
		return 0, false
	}
	return w.skipped.Swap(0), true
}

func newRequestLog(log *logging.Log, c clock.Clock) *requestLog {
	return &requestLog{log: log, clock: c}
}

// decided writes the line of one decision.
func (l *requestLog) decided(r *steer.Request, d *steer.Decision[*http1.Answer], took time.Duration) {
	kind, limit := usual, int64(usualLines)
	if d.Fate != steer.Delivered || d.Attempts > 1 {
		kind, limit = unusual, unusualLines
	}
	skipped, ok := l.windows[kind].admit(limit, l.clock.Now())
	if !ok {
		return
	}
	line := l.log.With("attempt_id", r.Attempt).With("route", d.Route).With("state_version", d.Version).
		With("account", d.Account).With("service", d.Service).With("release", d.Release).With("upstream", d.Upstream).
		With("attempts", d.Attempts).With("took_ms", took.Milliseconds()).With("left_ms", d.Left.Milliseconds()).
		With("expected_ms", d.Expected.Milliseconds()).With("object", r.Object).With("warm", d.Warm)
	if d.Reason != steer.ReasonNone {
		line = line.With("reason", d.Reason).With("retry_after_ms", d.RetryAfter.Milliseconds())
	}
	if d.Fate == steer.OverQuota {
		line = line.With("share_rate", d.ShareRate).With("share_burst", d.ShareBurst)
	}
	if d.Err != nil {
		line = line.With("error", d.Err.Error())
	}
	if skipped > 0 {
		line = line.With("lines_skipped", skipped)
	}
	if d.Fate == steer.Delivered {
		line.Info("Delivered.")
		return
	}
	line.Warn(messages[d.Fate])
}

var messages = map[steer.Fate]string{
	steer.UnknownRoute: "No route matches.", steer.UnknownKey: "The key is not known.", steer.OverQuota: "Refused over quota.",
	steer.Refused: "Refused.", steer.Failed: "Failed.", steer.TimedOut: "Timed out.", steer.Gone: "The client left.",
}
