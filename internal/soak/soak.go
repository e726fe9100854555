// Package soak runs the real program as separate processes on loopback, lets
// faults happen to them from outside, and checks the promises from what callers
// and upstreams saw. Schedules follow from a seed; timing is that of the machine.
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
	"time"
)

// ErrBroken is the sentinel of runs in which a promise did not hold.
var ErrBroken = errors.New("a promise did not hold")

// Options of a run.
type Options struct {
	// Program is the path of the celerypin binary.
	Program string
	// Seed determines the schedule of faults and what callers ask.
	Seed uint64
	// Duration is how long faults happen.
	Duration time.Duration
	// HostsPerDomain, UpstreamsPerDomain and Callers are the sizes; there are three
	// regions of two failure domains.
	HostsPerDomain, UpstreamsPerDomain, Callers int
	// Logs is a directory for the logs of the processes.
	Logs string
	// Progress gets a line for each fault.
	Progress io.Writer
}

const (
	// startTime is how long hosts may take to be ready at first.
	startTime = 20 * time.Second
	// healTime is how long the system may take to serve again after the last fault:
	// the time that an installation allows for recovery.
	healTime = 15 * time.Second
	// calmTime is how long requests are counted at the end.
	calmTime = 4 * time.Second
)

// Run plays one schedule and returns what it saw. The error matches ErrBroken if
// a promise did not hold.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Logs, 0o755); err != nil {
		return nil, err
	}
	s := &soak{
		Options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), record: newRecord(), began: time.Now(),
	}
	defer s.stopAll()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	var load sync.WaitGroup
	loading, stopLoad := context.WithCancel(ctx)
	for i := range o.Callers {
		c := newCaller(s, i)
		load.Go(func() { c.run(loading) })
	}
	s.play(ctx)
	s.heal()
	pause(ctx, healTime)
	calm := time.Now()
	pause(ctx, calmTime)
	stopLoad()
	load.Wait()
	s.checkEnd(ctx, calm)
	report := s.record.report(o.Seed)
	report.Faults = s.faults
	return report, report.err()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// soak is one run.
type soak struct {
	Options
	rng    *rand.Rand
	record *record
	began  time.Time

	*fleet
	mu     sync.Mutex
	faults []string
	probes int
}

func (s *soak) start(ctx context.Context) error {
	f, err := newFleet(s.Options, s.record)
	if err != nil {
		return err
	}
	s.fleet = f
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(startTime); ; pause(ctx, 100*time.Millisecond) {
		if f.ready(ctx) {
			return nil
		}
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("hosts are not ready after %v; logs in %s", startTime, filepath.Clean(s.Logs))
		}
	}
}

// say notes a fault.
func (s *soak) say(format string, args ...any) {
	line := fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, line)
	_, _ = fmt.Fprintln(s.Progress, line)
}
