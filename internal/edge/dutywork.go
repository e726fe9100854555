package edge

import (
	"context"
	"errors"

	"celerypin.example/celerypin/pkg/coordination/duty"
	"celerypin.example/celerypin/platform"
)

// startWork starts the next call of the task, unless one runs or this host may not act.
func (d *dutyRunner) startWork(ctx context.Context) {
	if d.task == nil || d.host.leaving.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.host.clock.Now()
	if d.failed {
		d.failed, d.stepAt = false, now.Add(dutyRetryInterval)
	}
	if d.working != nil || now < d.stepAt || !d.candidate.Active(now) {
		return
	}
	token, _, _ := d.candidate.Held()
	prepare := token != d.prepared
	ended := make(chan struct{})
	d.working = ended
	go d.host.guard.Run(taskDuty, func() {
		failed := true
		defer func() { d.endWork(failed, ended) }()
		failed = !d.work(ctx, token, prepare)
	})
}

// endWork notes that the running call of the task has ended.
func (d *dutyRunner) endWork(failed bool, ended chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.working, d.failed = nil, failed
	close(ended)
}

// work makes one call of the task and reports whether it succeeded.
func (d *dutyRunner) work(ctx context.Context, token duty.Token, prepare bool) bool {
	var err error
	used := token
	if prepare {
		err = d.task.Acquired(ctx)
	} else {
		err = d.task.Step(ctx, func() (duty.Token, bool) {
			d.mu.Lock()
			defer d.mu.Unlock()
			t, may := d.candidate.MayAct(d.host.clock.Now())
			if may {
				used = t
			}
			return t, may
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case errors.Is(err, platform.ErrFenced):
		d.candidate.Refused(used, d.host.clock.Now())
		d.log.With("token", used).Warn("A call of the duty was refused, because a higher token was seen.")
	case err != nil:
		d.log.With("token", used).With("error", err.Error()).Warn("A step of the duty failed.")
	case prepare:
		d.prepared = token
	}
	return err == nil
}

// awaitWork waits until the running call of the task has ended.
func (d *dutyRunner) awaitWork(ctx context.Context) {
	d.mu.Lock()
	working := d.working
	d.mu.Unlock()
	if working == nil {
		return
	}
	select {
	case <-working:
	case <-ctx.Done():
	}
}
