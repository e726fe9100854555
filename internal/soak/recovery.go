package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// minServedFraction is the fraction of requests that must be served once all faults
// have ended. The hot account does not count, as it is refused beyond its quota.
const minServedFraction = 0.95

// unknownPath matches no route of any desired state.
const unknownPath = "/never/1"

// checkFinalState checks the system after all faults have ended: every host is ready,
// no process has exited unexpectedly, nearly all requests are served, and every host
// applies all changes of the desired state.
func (s *soak) checkFinalState(ctx context.Context, windowStart time.Time) {
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.unexpectedExit != "" {
			s.record.addViolation("%s", h.unexpectedExit)
		}
		h.mu.Unlock()
	}
	if !s.ready(ctx) {
		s.record.addViolation("not all hosts are ready %v after the last fault", recoveryTime)
	}
	s.record.checkRecovery(windowStart)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range s.hosts {
		s.probe(ctx, client, h, readPrefix+"1", primaryKey(accountID(1)), http.StatusOK)
		s.probe(ctx, client, h, unknownPath, primaryKey(accountID(1)), http.StatusNotFound)
		for _, prefix := range s.record.addedPrefixes {
			s.probe(ctx, client, h, prefix+"1", primaryKey(accountID(1)), http.StatusOK)
		}
		for key := range s.record.withdrawnAt {
			s.probe(ctx, client, h, readPrefix+"1", key, http.StatusUnauthorized)
		}
	}
}

// probe sends a request to a host directly, and checks its status, which shows
// whether the host applies the desired state.
func (s *soak) probe(ctx context.Context, client *http.Client, h *host, path, key string, want int) {
	s.probes++
	call := standin.Call{
		Attempt: id.Attempt(fmt.Sprintf("probe-%d", s.probes)), Method: http.MethodGet, VirtualHost: virtualHost, Path: path, Key: key,
		Remaining: requestTimeout,
	}
	s.record.attemptSent(call, accountID(1), true, h.settings.Host.Address)
	answer, err := standin.Do(ctx, client, h.settings.Host.Address, call)
	if err != nil || answer.Status != want {
		s.record.addViolation("%s: final request for %s with key %s: got status %d (%v), want %d", h.settings.Host.ID, path, key, answer.Status, err, want)
	}
}

// checkRecovery checks that at least minServedFraction of the requests sent since
// windowStart were served.
func (r *record) checkRecovery(windowStart time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.attempts {
		_, withdrawn := r.withdrawnAt[t.call.Key]
		if t.sentAt.Before(windowStart) || t.account == hotAccount || withdrawn || errRunEnded == t.err {
			continue
		}
		r.recoveryRequests++
		if t.answer.Status == http.StatusOK {
			r.recoveryServed++
		}
	}
	if float64(r.recoveryServed) < minServedFraction*float64(r.recoveryRequests) || r.recoveryRequests == 0 {
		r.addViolationLocked("%d of %d requests were served after the recovery, want %.0f %%", r.recoveryServed, r.recoveryRequests, 100*minServedFraction)
	}
}
