// Package soak runs the real program as separate processes on loopback, injects
// faults from outside, and checks the system's promises against what callers and
// upstreams saw. The seed determines the schedule of faults; the timing of a run
// depends on the machine.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/platform/standin"
)

// ErrPromiseBroken is the sentinel of runs in which a promise did not hold.
var ErrPromiseBroken = errors.New("a promise did not hold")

// Options are the options of a run.
type Options struct {
	// Program is the path of the celerypin binary.
	Program string
	// Seed determines the schedule of faults and the requests of callers.
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// HostsPerDomain, UpstreamsPerDomain and Callers size the deployment. It has three
	// regions of two failure domains each. UpstreamsPerDomain counts those of each
	// service.
	HostsPerDomain, UpstreamsPerDomain, Callers int
	// RestoreStore adds the fault by which the store comes back from an older copy. It changes
	// the schedule of a seed.
	RestoreStore bool
	// Logs is the directory for the settings and logs of the processes.
	Logs string
	// Progress receives a line for each fault.
	Progress io.Writer
}

const (
	// startTimeout is how long hosts may take to become ready at the start.
	startTimeout = 20 * time.Second
	// recoveryTime is how long the system may take to recover after the last fault:
	// the time that an installation allows for recovery.
	recoveryTime = 15 * time.Second
	// recoveryWindow is the window at the end in which requests must be served again.
	recoveryWindow = 4 * time.Second
)

// Run executes one schedule of faults and returns its report. The error matches
// ErrPromiseBroken if a promise did not hold.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Logs, 0o755); err != nil {
		return nil, err
	}
	s := &soak{
		Options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), record: newRecord(), startedAt: time.Now(),
	}
	defer s.stopAll()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	var load sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	for i := range o.Callers {
		c := newCaller(s, i)
		load.Go(func() { c.run(loadCtx) })
	}
	if o.RestoreStore {
		s.backups = []standin.Backup{s.store.Backup()}
		load.Go(func() { s.keepBackups(loadCtx) })
	}
	s.injectFaults(ctx)
	s.clearFaults()
	sleep(ctx, recoveryTime)
	windowStart := time.Now()
	sleep(ctx, recoveryWindow)
	stopLoad()
	load.Wait()
	s.checkFinalState(ctx, windowStart)
	report := s.record.report(o.Seed, s.api.Calls())
	report.Faults = s.faultLog
	return report, report.err()
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// soak is the state of one run.
type soak struct {
	Options
	rng       *rand.Rand
	record    *record
	startedAt time.Time

	*deployment
	// mu guards faultLog; the mutex of the deployment is deployment.mu.
	mu       sync.Mutex
	faultLog []string
	// backups are copies of the store, the last one the latest; kept if RestoreStore.
	backups   []standin.Backup
	restoring atomic.Bool
	// probes numbers the requests of checkFinalState.
	probes int
}

// start starts the deployment and waits until all hosts are ready.
func (s *soak) start(ctx context.Context) error {
	d, err := newDeployment(s.Options, s.record)
	if err != nil {
		return err
	}
	s.deployment = d
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startTimeout); ; sleep(ctx, 100*time.Millisecond) {
		if d.ready(ctx) {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("hosts are not ready after %v; logs in %s", startTimeout, filepath.Clean(s.Logs))
		}
	}
}

// logFault adds a line to the log of faults, and prints it.
func (s *soak) logFault(format string, args ...any) {
	line := fmt.Sprintf("%6.2f s  ", time.Since(s.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, line)
	_, _ = fmt.Fprintln(s.Progress, line)
}
