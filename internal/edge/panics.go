package edge

import (
	"context"
	"fmt"
	"net/http"

	"github.com/samber/oops"

	"celerypin.example/celerypin/pkg/state/confine"
)

// Tasks to which panics are confined.
const (
	taskRow    confine.Task = "row"
	taskDigest confine.Task = "digest"
	taskWrite  confine.Task = "write"
	taskQuery  confine.Task = "query"
	taskDuty   confine.Task = "duty"
)

// reportPanic logs a confined panic and updates the metric.
func (h *Host) reportPanic(p confine.Panic) {
	h.metrics.panics.Update(p.Total)
	h.log.With("task", p.Task).With("error", fmt.Sprint(p.Value)).With("stack", string(p.Stack)).With("panics", p.Total).
		Error("A panic was confined to its task.")
}

// supervise runs a loop until ctx ends. The host fails if the loop keeps panicking.
func (h *Host) supervise(ctx context.Context, task confine.Task, beforeRestart func(), loop func(context.Context) error) {
	h.tomb.Go(func() error {
		if err := h.guard.Supervise(ctx, task, beforeRestart, loop); err != nil {
			return oops.Code("panic").With("task", task).Wrap(err)
		}
		return nil
	})
}

// confined confines a panic of a handler to its query.
func (h *Host) confined(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.guard.Run(taskQuery, func() { next.ServeHTTP(w, r) }) {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}
