package edge

import (
	"context"
	"time"

	"celerypin.example/celerypin/pkg/coordination/steer"
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

// Stop shuts the host down gracefully, within the time between SIGTERM and SIGKILL.
func (h *Host) Stop() {
	grace := h.settings.Load().Bounds.Grace
	startedAt := h.clock.Now()
	h.leaving.Store(true)
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
