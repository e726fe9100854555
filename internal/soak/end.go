package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// recoveredPart is the part of requests that must be served once all faults have
// ended; the hot account is refused beyond its quota and does not count.
const recoveredPart = 0.95

// unknownPath matches no route of any desired state.
const unknownPath = "/never/1"

// checkEnd checks the state of the system when all faults have ended: what was
// agreed is in force at every host, and nothing has ended by itself.
func (s *soak) checkEnd(ctx context.Context, calm time.Time) {
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.endedBy != "" {
			s.record.broke("%s", h.endedBy)
		}
		h.mu.Unlock()
	}
	if !s.ready(ctx) {
		s.record.broke("not all hosts are ready %v after the last fault", healTime)
	}
	s.record.checkRecovery(calm)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range s.hosts {
		s.probe(ctx, client, h, readPrefix+"1", keyOf(accountOf(1)), http.StatusOK)
		s.probe(ctx, client, h, unknownPath, keyOf(accountOf(1)), http.StatusNotFound)
		for _, prefix := range s.record.prefixes {
			s.probe(ctx, client, h, prefix+"1", keyOf(accountOf(1)), http.StatusOK)
		}
		for key := range s.record.withdrew {
			s.probe(ctx, client, h, readPrefix+"1", key, http.StatusUnauthorized)
		}
	}
}

// probe asks a host directly, to see which desired state is in force there.
func (s *soak) probe(ctx context.Context, client *http.Client, h *host, path, key string, want int) {
	s.probes++
	call := standin.Call{
		Attempt: id.Attempt(fmt.Sprintf("probe-%d", s.probes)), Method: http.MethodGet, VirtualHost: virtualHost, Path: path, Key: key,
		Remaining: deadline,
	}
	s.record.sent(call, accountOf(1), true)
	answer, err := standin.Do(ctx, client, h.settings.Host.Address, call)
	if err != nil || answer.Status != want {
		s.record.broke("%s, asked for %s with %s at the end: got status %d (%v), want %d", h.settings.Host.ID, path, key, answer.Status, err, want)
	}
}

// checkRecovery holds that nearly all requests are served again.
func (r *record) checkRecovery(calm time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.attempts {
		_, withdrawn := r.withdrew[t.call.Key]
		if t.sentAt.Before(calm) || t.account == hotAccount || withdrawn || errEnded == t.err {
			continue
		}
		r.calmAsked++
		if t.answer.Status == http.StatusOK {
			r.calmOK++
		}
	}
	if float64(r.calmOK) < recoveredPart*float64(r.calmAsked) || r.calmAsked == 0 {
		r.breaks("at the end %d of %d requests were served, want %.0f %%", r.calmOK, r.calmAsked, 100*recoveredPart)
	}
}
