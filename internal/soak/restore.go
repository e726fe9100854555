package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"celerypin.example/celerypin/platform/standin"
)

const (
	// backupInterval is the interval between backups of the store, maxBackups how many are
	// kept: those of the last ten seconds.
	backupInterval = 200 * time.Millisecond
	maxBackups     = 50
	// maxAway limits the time for which the store is away before it comes back from a backup.
	maxAway = 3 * time.Second
	// maxRewriteDelay limits the time until an upstream writes its row again.
	maxRewriteDelay = 250 * time.Millisecond
)

// keepBackups takes backups of the store until ctx ends.
func (s *soak) keepBackups(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.backups = append(s.backups, s.store.Backup())
		s.backups = s.backups[max(len(s.backups)-maxBackups, 0):]
		s.mu.Unlock()
		sleep(ctx, backupInterval)
	}
}

// restoreStore takes the store away and brings it back from a backup. The operator and the
// upstreams write again what they wrote since.
func restoreStore(s *soak, rng *rand.Rand, d time.Duration) {
	if !s.restoring.CompareAndSwap(false, true) {
		return
	}
	defer s.restoring.Store(false)
	s.mu.Lock()
	age := rng.IntN(len(s.backups))
	backup := s.backups[len(s.backups)-1-age]
	s.mu.Unlock()
	away := min(d, maxAway)
	s.logFault("store away for %v, comes back from a backup %v old", away, time.Duration(age)*backupInterval)
	s.awayFor(away, backup)
	s.mu.Lock()
	s.backups = []standin.Backup{s.store.Backup()}
	s.mu.Unlock()
	if err := s.rewriteState(); err != nil {
		s.record.addViolation("the desired state could not be written: %v", err)
	}
	for _, u := range s.allUpstreams() {
		time.Sleep(time.Duration(rng.Int64N(int64(maxRewriteDelay) / int64(len(s.allUpstreams())))))
		s.rewriteUpstream(u)
	}
}

// awayFor takes the store away. The operator cannot write meanwhile.
func (d *deployment) awayFor(away time.Duration, backup standin.Backup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.SetMode(standin.Reset)
	time.Sleep(away)
	d.store.Restore(backup)
	d.store.SetMode(standin.Up)
}

// rewriteState writes the last desired state again.
func (d *deployment) rewriteState() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.PutDesired(d.desired)
}

func (d *deployment) allUpstreams() []*upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*upstream(nil), d.upstreams...)
}

// rewriteUpstream writes an upstream's row again or, once it has stopped, deletes it.
func (d *deployment) rewriteUpstream(u *upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.stopped {
		d.store.DeleteUpstream(u.Info.ID)
		return
	}
	u.WriteAgain()
}
