package edge

import (
	"context"
	"time"

	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
)

// finishTime returns how long running requests may take after SIGTERM, given the time
// between SIGTERM and SIGKILL.
func finishTime(grace time.Duration) time.Duration {
	return grace - min(closeReserve, time.Duration(maxCloseFraction*float64(grace)))
}

// answerTime returns how long cancelled requests may take to be answered.
func answerTime(grace time.Duration) time.Duration {
	return min(stopAnswerTimeout, time.Duration(stopAnswerFraction*float64(grace-finishTime(grace))))
}

// lateAfter is the time after SIGTERM in which clients may still send requests to the
// host, because they have not learned that it leaves. A request that arrives later and may
// last longer than the host is refused, and the client sends it to another host at once.
const lateAfter = 3 * time.Second

// stopTimes are the instants of a stop.
type stopTimes struct {
	// lateFrom is the instant from which requests are late, finishAt the instant at which
	// running requests are cancelled.
	lateFrom, finishAt clock.Instant
}

// accepts implements the Accepts of steer.Dependencies.
func (h *Host) accepts(arrived, deadline clock.Instant) bool {
	stop := h.stop.Load()
	return stop == nil || arrived < stop.lateFrom || deadline <= stop.finishAt
}

// Stop shuts the host down gracefully, within the time between SIGTERM and SIGKILL.
func (h *Host) Stop() {
	grace := h.settings.Load().Bounds.Grace
	startedAt := h.clock.Now()
	h.leaving.Store(true)
	h.stop.Store(&stopTimes{lateFrom: startedAt.Add(lateAfter), finishAt: startedAt.Add(finishTime(grace))})
	h.clientServer.Drain()
	h.controller.wake()
	h.log.With("requests", h.clientServer.Active()).Info("Stopping.")
	h.clock.Sleep(context.Background(), time.Duration(acceptFraction*float64(grace)))
	_ = h.listeners[0].Close()
	remaining := finishTime(grace) - h.clock.Now().Sub(startedAt)
	finishCtx, cancel := context.WithTimeout(context.Background(), remaining)
	cancelled := h.clientServer.Stop(finishCtx, steer.ErrHostStopping, answerTime(grace))
	if h.duty != nil {
		h.duty.awaitRelease(finishCtx)
	}
	cancel()
	if cancelled > 0 {
		h.log.With("requests", cancelled).Warn("Requests were cancelled because the time to stop was over.")
	}
	for _, s := range h.otherServers {
		_ = s.Close()
	}
	h.mesh.Close()
	h.tomb.Kill(nil)
	h.log.With("requests", h.clientServer.Active()).Info("Stopped.")
}
