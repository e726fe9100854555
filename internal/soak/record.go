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

// Bounds of the promises that are checked, as set by the deployment's settings.
const (
	// settleTime is how long there must have been no other fault before the bounds
	// hold.
	settleTime = 3 * time.Second
	// maxDrainDelay is the time after which hosts send nothing to a draining upstream.
	maxDrainDelay = 2 * time.Second
	// maxRevocationDelay is the time after which a withdrawn key stops working.
	maxRevocationDelay = 5 * time.Second
	// In any quotaWindow an account may have as many requests run as its rate and burst
	// allow, plus the fraction quotaExcess of them, plus quotaSlack.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// maxInFlight is how long a request may be in flight between the host that sends
	// it and the upstream that runs it.
	maxInFlight = 500 * time.Millisecond
)

// record collects what callers and upstreams saw, and the promises that were broken.
// It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	attempts map[id.Attempt]*attempt
	// unknownExecutions are those of attempts that no caller sent.
	unknownExecutions []standin.Execution
	// activeFaults counts the faults that last now; lastFaultEnd is when the last one
	// ended.
	activeFaults int
	lastFaultEnd time.Time
	startedAt    time.Time
	// stopTimes holds the times of planned stops by the host's address.
	stopTimes map[string]time.Time
	drains    map[id.Upstream]drain
	// withdrawnAt holds the times of withdrawals by key.
	withdrawnAt map[string]time.Time
	// arrivals are the requests that reached an upstream from a host.
	arrivals map[passage][]arrival
	// disturbances are the times of the calls of disturb, by name.
	disturbances map[string][]interval
	// addedPrefixes are those of the routes added during the run.
	addedPrefixes []string
	// hotExecutions are the times at which requests of hotAccount began to run.
	hotExecutions []time.Time
	violations    []string
	// recoveryRequests and recoveryServed count the requests in the recovery window.
	recoveryRequests, recoveryServed int
}

// attempt is one attempt of a request, as its caller and the upstreams saw it.
type attempt struct {
	call       standin.Call
	account    id.Account
	idempotent bool
	executions []standin.Execution
	sentAt     time.Time
	answeredAt time.Time
	address    string
	answer     standin.Answer
	err        error
	// settled is set if at most one fault was active when the answer came, and none
	// had ended within settleTime.
	settled bool
}

// drain is the beginning of an upstream's drain.
type drain struct {
	at time.Time
	// settled is set if the drain was the only active fault, and none had ended within
	// settleTime.
	settled bool
}

func newRecord() *record {
	return &record{
		attempts: map[id.Attempt]*attempt{}, stopTimes: map[string]time.Time{}, drains: map[id.Upstream]drain{}, withdrawnAt: map[string]time.Time{},
		arrivals: map[passage][]arrival{}, disturbances: map[string][]interval{}, lastFaultEnd: time.Now(), startedAt: time.Now(),
	}
}

// beginFault counts a fault as active until the returned function is called.
func (r *record) beginFault() (ended func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.activeFaults--
		r.lastFaultEnd = time.Now()
	}
}

// settled reports whether at most maxFaults faults are active and none ended within
// settleTime. The caller holds the lock.
func (r *record) settled(maxFaults int) bool {
	return r.activeFaults <= maxFaults && time.Since(r.lastFaultEnd) >= settleTime
}

// addViolation notes that a promise did not hold.
func (r *record) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(format, args...)
}

// addViolationLocked is addViolation for callers that hold the lock.
func (r *record) addViolationLocked(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *record) hostStopping(address string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTimes[address] = at
}

func (r *record) upstreamDraining(u id.Upstream, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains[u] = drain{at: at, settled: r.settled(1)}
}

func (r *record) keyWithdrawn(key string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.withdrawnAt[key]; !known {
		r.withdrawnAt[key] = at
	}
}

func (r *record) routeAdded(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addedPrefixes = append(r.addedPrefixes, prefix)
}

// attemptSent notes an attempt before it is sent.
func (r *record) attemptSent(c standin.Call, account id.Account, idempotent bool, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[c.Attempt] = &attempt{call: c, account: account, idempotent: idempotent, address: address, sentAt: time.Now()}
}

// attemptAborted marks an attempt whose caller stopped because the run ended.
func (r *record) attemptAborted(a id.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a].err = errRunEnded
}

var errRunEnded = errors.New("the run ended")

// attemptAnswered notes how an attempt ended, and checks that a success carries its
// own complete answer.
func (r *record) attemptAnswered(c standin.Call, address string, sentAt time.Time, a standin.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.attempts[c.Attempt]
	t.address, t.answer, t.err, t.sentAt, t.answeredAt = address, a, err, sentAt, time.Now()
	t.settled = r.settled(1)
	if err == nil && a.Status == http.StatusOK && (!a.Authentic || a.Body != standin.AnswerTo(c.Attempt, c.Path)) {
		r.addViolationLocked("attempt %s of %s: got the answer %q, want its own complete one", c.Attempt, c.Path, a.Body)
	}
}

// executed notes that an upstream begins to run a request, and checks the promises
// that concern it.
func (r *record) executed(e standin.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.attempts[e.Attempt]
	if t == nil {
		r.unknownExecutions = append(r.unknownExecutions, e)
		r.addViolationLocked("upstream %s ran attempt %q, which no caller sent", e.Upstream, e.Attempt)
		return
	}
	t.executions = append(t.executions, e)
	r.noteArrival(t, arrival{attempt: e.Attempt, at: e.At, leaving: e.Leaving}, e.Upstream)
	if t.account == hotAccount {
		r.hotExecutions = append(r.hotExecutions, e.At)
	}
	switch {
	case e.HasClientKey:
		r.addViolationLocked("upstream %s saw the key of attempt %s", e.Upstream, e.Attempt)
	case e.Account != t.account:
		r.addViolationLocked("attempt %s of %s ran for account %q", e.Attempt, t.account, e.Account)
	case e.Path != t.call.Path || e.BodyHash != sha256.Sum256(t.call.Body):
		r.addViolationLocked("attempt %s of %s ran with another path or body: %s", e.Attempt, t.call.Path, e.Path)
	}
	if !t.idempotent && len(t.executions) > 1 {
		r.addViolationLocked("non-idempotent attempt %s ran %d times", e.Attempt, len(t.executions))
	}
	if d, draining := r.drains[e.Upstream]; draining && d.settled && r.settled(1) && e.At.Sub(d.at) > maxDrainDelay+maxInFlight {
		r.addViolationLocked("upstream %s received attempt %s %v after it began to drain", e.Upstream, e.Attempt, e.At.Sub(d.at))
	}
	if at, withdrawn := r.withdrawnAt[t.call.Key]; withdrawn && r.settled(0) && t.sentAt.Sub(at) > maxRevocationDelay && e.At.Sub(at) > maxRevocationDelay {
		r.addViolationLocked("attempt %s ran with a key that was withdrawn %v earlier", e.Attempt, e.At.Sub(at))
	}
}

// Report is the result of a run. Served, Refused and Failed count attempts; the
// recovery fields count the requests in the recovery window. Reports counts the calls of the
// platform's API. Faults are the lines of
// the fault log.
type Report struct {
	Seed             uint64
	Attempts         int
	Served           int
	Refused          int
	Failed           int
	Executed         int
	Reports          int
	Faults           []string
	Violations       []string
	RecoveryRequests int
	RecoveryServed   int
}

// report counts the attempts, makes the checks that need all of them, and returns the
// report.
func (r *record) report(seed uint64, usage []standin.UsageCall) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{Seed: seed, RecoveryRequests: r.recoveryRequests, RecoveryServed: r.recoveryServed}
	for attemptID, t := range r.attempts {
		report.Attempts++
		report.Executed += len(t.executions)
		switch {
		case t.err != nil || t.answer.Status >= http.StatusInternalServerError && !t.answer.NotRun:
			report.Failed++
		case t.answer.NotRun:
			report.Refused++
		case t.answer.Status == http.StatusOK:
			report.Served++
		}
		if !t.idempotent && t.answer.NotRun && len(t.executions) > 0 {
			r.addViolationLocked("attempt %s was answered %d as not run, but ran at %s", attemptID, t.answer.Status, t.executions[0].Upstream)
		}
		if t.answer.Status == http.StatusNotFound && t.call.Path != unknownPath {
			r.addViolationLocked("attempt %s of %s, a route of all desired states, got 404", attemptID, t.call.Path)
		}
		_, withdrawn := r.withdrawnAt[t.call.Key]
		if t.answer.Status == http.StatusUnauthorized && !withdrawn {
			r.addViolationLocked("attempt %s with a key that was never withdrawn got 401", attemptID)
		}
		r.checkStop(attemptID, t)
	}
	r.checkQuota()
	r.checkArrivals()
	r.checkUsage(usage)
	report.Reports = len(usage)
	report.Violations = slices.Clone(r.violations)
	return report
}

// checkStop checks that a planned stop interrupts no request that an upstream has
// received, unless another fault was active.
func (r *record) checkStop(attemptID id.Attempt, t *attempt) {
	at, stopped := r.stopTimes[t.address]
	duringStop := stopped && t.answeredAt.After(at) && t.sentAt.Before(at.Add(stopTimeout))
	if duringStop && t.settled && t.err != nil && len(t.executions) > 0 && !errors.Is(t.err, errRunEnded) && isCutOff(t.err) {
		r.addViolationLocked("attempt %s was interrupted by a planned stop after an upstream had received it: %v", attemptID, t.err)
	}
}

// isCutOff reports whether an error means that the connection was closed.
func isCutOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// checkQuota checks that the hot account never had more requests run in a window than
// its quota and the tolerance allow.
func (r *record) checkQuota() {
	slices.SortFunc(r.hotExecutions, func(a, b time.Time) int { return a.Compare(b) })
	limit := int((hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaExcess) + quotaSlack)
	first := 0
	for i, at := range r.hotExecutions {
		for at.Sub(r.hotExecutions[first]) >= quotaWindow {
			first++
		}
		if count := i - first + 1; count > limit {
			r.addViolationLocked("account %s had %d requests run within %v up to %.2f s, want at most %d",
				hotAccount, count, quotaWindow, at.Sub(r.startedAt).Seconds(), limit)
			return
		}
	}
}

func (r *Report) err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%w: seed %d: %d times, first: %s", ErrPromiseBroken, r.Seed, len(r.Violations), r.Violations[0])
}

// Write writes the report as text: the counts, and a line for each broken promise.
func (r *Report) Write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "seed %d: %d attempts, %d served, %d refused, %d failed, %d executions; %d usage reports; %d of %d served at the end; %d faults\n",
		r.Seed, r.Attempts, r.Served, r.Refused, r.Failed, r.Executed, r.Reports, r.RecoveryServed, r.RecoveryRequests, len(r.Faults))
	for _, b := range r.Violations {
		_, _ = fmt.Fprintln(w, "broken:", b)
	}
}
