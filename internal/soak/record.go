package soak

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// Bounds of the promises that are checked, as the deployment's settings state
// them; contactTime is how long nothing may be wrong before they hold.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// revokeTime is within which a withdrawn key stops working.
	revokeTime  = 5 * time.Second
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// underWay is how long a request may be under way between a host that had it
	// before a moment and the upstream that runs it.
	underWay = 500 * time.Millisecond
)

// record is what callers and upstreams saw. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	attempts map[id.Attempt]*attempt
	unasked  []standin.Execution
	// disturbed counts the faults that last; quietSince is when the last one ended.
	disturbed  int
	quietSince time.Time
	began      time.Time
	stopping   map[string]time.Time
	leaving    map[id.Upstream]leave
	withdrew   map[string]time.Time
	prefixes   []string
	hot        []time.Time
	broken     []string
	// calmAsked and calmOK count the requests after all faults.
	calmAsked, calmOK int
}

type attempt struct {
	call       standin.Call
	account    id.Account
	repeatable bool
	ran        []standin.Execution
	sentAt     time.Time
	answeredAt time.Time
	front      string
	answer     standin.Answer
	err        error
	// calm tells that nothing else was wrong when the answer came.
	calm bool
}

type leave struct {
	at time.Time
	// calm tells that nothing else was wrong.
	calm bool
}

func newRecord() *record {
	return &record{
		attempts: map[id.Attempt]*attempt{}, stopping: map[string]time.Time{}, leaving: map[id.Upstream]leave{}, withdrew: map[string]time.Time{},
		quietSince: time.Now(), began: time.Now(),
	}
}

// disturb notes that a fault lasts until the function that it returns is called.
func (r *record) disturb() (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbed--
		r.quietSince = time.Now()
	}
}

// calm tells whether only the given number of faults last, and none ended lately.
// It is called with the lock held.
func (r *record) calm(but int) bool {
	return r.disturbed <= but && time.Since(r.quietSince) >= contactTime
}

func (r *record) broke(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks(format, args...)
}

func (r *record) breaks(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *record) stops(front string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping[front] = at
}

func (r *record) leaves(u id.Upstream, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[u] = leave{at: at, calm: r.calm(1)}
}

func (r *record) withdrawn(key string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.withdrew[key]; !known {
		r.withdrew[key] = at
	}
}

func (r *record) added(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes = append(r.prefixes, prefix)
}

func (r *record) sent(c standin.Call, who id.Account, repeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[c.Attempt] = &attempt{call: c, account: who, repeatable: repeatable, sentAt: time.Now()}
}

// forget drops an attempt whose caller was stopped by the run's own end.
func (r *record) forget(a id.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a].err = errEnded
}

var errEnded = errors.New("the run ended")

func (r *record) answered(c standin.Call, front string, sentAt time.Time, a standin.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.attempts[c.Attempt]
	t.front, t.answer, t.err, t.sentAt, t.answeredAt = front, a, err, sentAt, time.Now()
	t.calm = r.calm(1)
	if err == nil && a.Status == http.StatusOK && (!a.Authentic || a.Body != standin.AnswerTo(c.Attempt, c.Path)) {
		r.breaks("attempt %s of %s: got the answer %q, want its own whole one", c.Attempt, c.Path, a.Body)
	}
}

// ran checks a request as an upstream begins to run it.
func (r *record) ran(e standin.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.attempts[e.Attempt]
	if t == nil {
		r.unasked = append(r.unasked, e)
		r.breaks("upstream %s ran attempt %q, which no caller sent", e.Upstream, e.Attempt)
		return
	}
	t.ran = append(t.ran, e)
	if t.account == hotAccount {
		r.hot = append(r.hot, e.At)
	}
	switch {
	case e.HasClientKey:
		r.breaks("upstream %s saw the key of attempt %s", e.Upstream, e.Attempt)
	case e.Account != t.account:
		r.breaks("attempt %s of %s ran for account %q", e.Attempt, t.account, e.Account)
	case e.Path != t.call.Path || e.Body != sha256.Sum256(t.call.Body):
		r.breaks("attempt %s of %s ran with another path or body: %s", e.Attempt, t.call.Path, e.Path)
	}
	if !t.repeatable && len(t.ran) > 1 {
		r.breaks("attempt %s, which must not run twice, ran %d times", e.Attempt, len(t.ran))
	}
	if l, leaving := r.leaving[e.Upstream]; leaving && l.calm && r.calm(1) && e.At.Sub(l.at) > drainTime+underWay {
		r.breaks("upstream %s got attempt %s %v after it said that it leaves", e.Upstream, e.Attempt, e.At.Sub(l.at))
	}
	if at, gone := r.withdrew[t.call.Key]; gone && r.calm(0) && t.sentAt.Sub(at) > revokeTime && e.At.Sub(at) > revokeTime {
		r.breaks("attempt %s ran with a key that was withdrawn %v before", e.Attempt, e.At.Sub(at))
	}
}

// Report is what a run found.
type Report struct {
	Seed      uint64
	Attempts  int
	Served    int
	Refused   int
	Failed    int
	Executed  int
	Faults    []string
	Broken    []string
	CalmAsked int
	CalmOK    int
}

func (r *record) report(seed uint64) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Seed: seed, CalmAsked: r.calmAsked, CalmOK: r.calmOK}
	for name, t := range r.attempts {
		out.Attempts++
		out.Executed += len(t.ran)
		switch {
		case t.err != nil || t.answer.Status >= http.StatusInternalServerError && !t.answer.NotRun:
			out.Failed++
		case t.answer.NotRun:
			out.Refused++
		case t.answer.Status == http.StatusOK:
			out.Served++
		}
		if !t.repeatable && t.answer.NotRun && len(t.ran) > 0 {
			r.breaks("attempt %s was answered %d, which promises that it has not run, and ran at %s", name, t.answer.Status, t.ran[0].Upstream)
		}
		if t.answer.Status == http.StatusNotFound && t.call.Path != unknownPath {
			r.breaks("attempt %s of %s, a route of all desired states, got 404", name, t.call.Path)
		}
		_, withdrawn := r.withdrew[t.call.Key]
		if t.answer.Status == http.StatusUnauthorized && !withdrawn {
			r.breaks("attempt %s with a key that was never withdrawn got 401", name)
		}
		r.checkStop(name, t)
	}
	r.checkQuota()
	out.Broken = slices.Clone(r.broken)
	return out
}

// checkStop holds that a planned stop cuts no request that an upstream has got,
// while nothing else is wrong.
func (r *record) checkStop(name id.Attempt, t *attempt) {
	at, stopped := r.stopping[t.front]
	during := stopped && t.answeredAt.After(at) && t.sentAt.Before(at.Add(graceTime))
	if during && t.calm && t.err != nil && len(t.ran) > 0 && !errors.Is(t.err, errEnded) && cutOff(t.err) {
		r.breaks("attempt %s was cut by a planned stop after an upstream had got it: %v", name, t.err)
	}
}

func cutOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// checkQuota holds that the hot account never got more than its rate and burst.
func (r *record) checkQuota() {
	slices.SortFunc(r.hot, func(a, b time.Time) int { return a.Compare(b) })
	most := int((hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaExcess) + quotaSlack)
	first := 0
	for i, at := range r.hot {
		for at.Sub(r.hot[first]) >= quotaWindow {
			first++
		}
		if got := i - first + 1; got > most {
			r.breaks("account %s had %d requests run within %v up to %.2f s, want at most %d",
				hotAccount, got, quotaWindow, at.Sub(r.began).Seconds(), most)
			return
		}
	}
}

func (r *Report) err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return fmt.Errorf("%w: seed %d: %d times, first: %s", ErrBroken, r.Seed, len(r.Broken), r.Broken[0])
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "seed %d: %d attempts, %d served, %d refused, %d failed, %d executions; %d of %d served at the end; %d faults\n",
		r.Seed, r.Attempts, r.Served, r.Refused, r.Failed, r.Executed, r.CalmOK, r.CalmAsked, len(r.Faults))
	for _, b := range r.Broken {
		_, _ = fmt.Fprintln(w, "broken:", b)
	}
}
