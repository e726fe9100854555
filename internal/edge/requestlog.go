package edge

import (
	"math"
	"strings"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
)

// requestLog writes one line for each decision on a request. Each reason has a
// rate limit of its own, so that many lines of one reason do not hide a few of
// another. The limits of failures and refusals together exceed that of delivered
// requests.
type requestLog struct {
	log   *logging.Log
	clock clock.Clock
	// windows limits the lines of each reason.
	windows map[steer.Reason]*window
	// retried limits the lines of requests that were served after several attempts.
	retried window
}

// Limits of lines a second. Lines beyond a limit are counted, and the next line
// names their number.
const (
	// deliveredLinesPerSecond covers all requests at the usual load of a host, about
	// 50 requests a second.
	deliveredLinesPerSecond = 60
	// otherLinesPerSecond is the limit of each other reason and of retried requests.
	otherLinesPerSecond = 20
)

// maxLoadAge is the greatest age of a load that is logged. It is also logged for an
// upstream that has not reported its load.
const maxLoadAge = time.Minute

// window counts the lines written and skipped in one second.
type window struct {
	second  atomic.Int64
	lines   atomic.Int64
	skipped atomic.Int64
}

// allow reports whether a line may be written, and how many lines were skipped since
// the last one that was written.
func (w *window) allow(limit int64, now clock.Instant) (skipped int64, ok bool) {
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
	l := &requestLog{log: log, clock: c, windows: map[steer.Reason]*window{}}
	for _, reason := range steer.Reasons {
		l.windows[reason] = &window{}
	}
	return l
}

// logDecision writes the line of a decision.
func (l *requestLog) logDecision(r *steer.Request, d *steer.Decision[*http1.Answer], took time.Duration) {
	w, limit := l.windows[d.Reason], int64(otherLinesPerSecond)
	switch {
	case d.Reason == steer.ReasonNone && d.Attempts > 1:
		w = &l.retried
	case d.Reason == steer.ReasonNone:
		limit = deliveredLinesPerSecond
	}
	skipped, ok := w.allow(limit, l.clock.Now())
	if !ok {
		return
	}
	line := l.log.With("attempt_id", r.Attempt).With("route", d.Route).With("state_version", d.Version).
		With("account", d.Account).With("service", d.Service).With("release", d.Release).With("upstream", d.Upstream).
		With("attempts", d.Attempts).With("took_ms", took.Milliseconds()).With("left_ms", d.Remaining.Milliseconds()).
		With("expected_ms", d.Expected.Milliseconds()).With("object", r.Object).With("warm", d.Warm).
		With("rank", d.Rank).With("load", math.Round(d.Load*10)/10).With("load_age_ms", min(d.LoadAge, maxLoadAge).Milliseconds())
	if d.Reason != steer.ReasonNone {
		line = line.With("reason", d.Reason).With("retry_after_ms", d.RetryAfter.Milliseconds())
	}
	if d.Outcome == steer.OverQuota {
		line = line.With("share_rate", d.ShareRate).With("share_burst", d.ShareBurst)
	}
	if d.Hedge.Sent {
		line = line.With("hedged", true).With("hedge_delay_ms", d.Hedge.Delay.Milliseconds()).With("hedge_upstream", d.Hedge.Upstream).
			With("hedge_won", d.Hedge.Won).With("hedge_wasted_ms", d.Hedge.Wasted.Milliseconds())
	} else if d.Hedge.Suppressed != hedge.ReasonNone {
		line = line.With("hedge_suppressed", d.Hedge.Suppressed)
	}
	if d.Err != nil {
		line = line.With("error", strings.ReplaceAll(d.Err.Error(), "\n", ": "))
	}
	if skipped > 0 {
		line = line.With("lines_skipped", skipped)
	}
	if d.Outcome == steer.Delivered {
		line.Info("Delivered.")
		return
	}
	line.Warn(messages[d.Outcome])
}

// messages maps the outcomes of requests that were not delivered to log messages.
var messages = map[steer.Outcome]string{
	steer.UnknownRoute: "No route matches.", steer.UnknownKey: "The key is not known.", steer.OverQuota: "Refused over quota.",
	steer.Refused: "Refused.", steer.Failed: "Failed.", steer.TimedOut: "Timed out.", steer.ClientLeft: "The client left.",
}
