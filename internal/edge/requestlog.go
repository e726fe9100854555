package edge

import (
	"math"
	"strings"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
)

// requestLog writes one line for each decision on a request, within a bound
// for each reason, so that many of one kind do not hide a few of another.
// Failures and refusals have more room than what went well.
type requestLog struct {
	log     *logging.Log
	clock   clock.Clock
	windows map[steer.Reason]*window
	// again is the window of requests that were served after several attempts.
	again window
}

// Lines a second for each reason: all of them at the usual load of a host, which is
// about 50 requests a second. The rest is counted and told with the next line.
const (
	usualLines   = 60
	unusualLines = 20
)

// longestAge is told for the load of an upstream that has told none.
const longestAge = time.Minute

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
	l := &requestLog{log: log, clock: c, windows: map[steer.Reason]*window{}}
	for _, reason := range steer.Reasons {
		l.windows[reason] = &window{}
	}
	return l
}

// decided writes the line of one decision.
func (l *requestLog) decided(r *steer.Request, d *steer.Decision[*http1.Answer], took time.Duration) {
	room, limit := l.windows[d.Reason], int64(unusualLines)
	switch {
	case d.Reason == steer.ReasonNone && d.Attempts > 1:
		room = &l.again
	case d.Reason == steer.ReasonNone:
		limit = usualLines
	}
	skipped, ok := room.admit(limit, l.clock.Now())
	if !ok {
		return
	}
	line := l.log.With("attempt_id", r.Attempt).With("route", d.Route).With("state_version", d.Version).
		With("account", d.Account).With("service", d.Service).With("release", d.Release).With("upstream", d.Upstream).
		With("attempts", d.Attempts).With("took_ms", took.Milliseconds()).With("left_ms", d.Remaining.Milliseconds()).
		With("expected_ms", d.Expected.Milliseconds()).With("object", r.Object).With("warm", d.Warm).
		With("rank", d.Rank).With("load", math.Round(d.Load*10)/10).With("load_age_ms", min(d.LoadAge, longestAge).Milliseconds())
	if d.Reason != steer.ReasonNone {
		line = line.With("reason", d.Reason).With("retry_after_ms", d.RetryAfter.Milliseconds())
	}
	if d.Outcome == steer.OverQuota {
		line = line.With("share_rate", d.ShareRate).With("share_burst", d.ShareBurst)
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

var messages = map[steer.Outcome]string{
	steer.UnknownRoute: "No route matches.", steer.UnknownKey: "The key is not known.", steer.OverQuota: "Refused over quota.",
	steer.Refused: "Refused.", steer.Failed: "Failed.", steer.TimedOut: "Timed out.", steer.ClientLeft: "The client left.",
}
