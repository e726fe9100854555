package edge

import (
	"context"
	"time"

	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/confine"
)

// Option states what the settings file of the platform does not.
type Option func(*options)

type options struct{ hedgeFraction hedge.Fraction }

// WithHedging lets the host send a second copy of slow requests, for a fraction of the
// requests of each service.
func WithHedging(f hedge.Fraction) Option { return func(o *options) { o.hedgeFraction = f } }

func newOptions(list []Option) (o options) {
	for _, option := range list {
		option(&o)
	}
	return o
}

// taskCopy is the second exchange of a hedged request.
const taskCopy confine.Task = "copy"

// hedging returns what the steerer needs to send second copies of slow requests.
func (h *Host) hedging(f hedge.Fraction) steer.Hedging[*http1.Answer] {
	return steer.Hedging[*http1.Answer]{Hedger: hedge.New(f), Runner: copyRunner{h.guard}, Discard: discardAnswer}
}

// discardAnswer closes the connection of an answer that is not delivered, if a part of the
// answer has not been read. A connection whose answer has been read is pooled already.
func discardAnswer(a *http1.Answer) {
	if a != nil && a.Rest != nil {
		a.Rest.Close()
	}
}

// copyRunner runs the copies of hedged requests on timers.
type copyRunner struct{ guard *confine.Guard }

// After implements steer.Runner.
func (r copyRunner) After(d time.Duration, task func()) (stop func() bool) {
	return time.AfterFunc(d, func() { r.guard.Run(taskCopy, task) }).Stop
}

// WithCancel implements steer.Runner.
func (copyRunner) WithCancel(parent context.Context) (context.Context, context.CancelCauseFunc) {
	return context.WithCancelCause(parent)
}

// NewLatch implements steer.Runner.
func (copyRunner) NewLatch() steer.Latch { return latch(make(chan struct{})) }

// latch is open when its channel is closed.
type latch chan struct{}

// Open implements steer.Latch.
func (l latch) Open() { close(l) }

// Wait implements steer.Latch.
func (l latch) Wait() { <-l }

// countHedge counts what became of the second copy of a request.
func (m *hostMetrics) countHedge(r *steer.HedgeRecord) {
	switch {
	case r.Sent:
		m.hedgesSent.Inc(1)
		m.hedgesWasted.Inc(r.Wasted.Milliseconds())
		if r.Won {
			m.hedgesWon.Inc(1)
		}
	case r.Suppressed != hedge.ReasonNone:
		m.hedgesSuppressed.Inc(1)
	}
}
