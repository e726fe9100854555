package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"celerypin.example/celerypin/internal/protocol/caller"
	transport "celerypin.example/celerypin/internal/transport/upstream"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/coordination/claim"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// maxAttempts is the maximum number of upstreams that one request is sent to.
const maxAttempts = 3

// exchange is the state of one request while this host forwards it.
type exchange struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	key       string
	request   admit.Request
	admission admit.Admission
	// token is the claim of a non-idempotent request.
	token *claim.Token
	// deadline is the deadline by the server's clock.
	deadline clock.Instant
	// bufferedBody is the whole body of a request that is small enough to be sent again.
	bufferedBody []byte
	// release is the release that the request goes to, if its service is split between two.
	// It is chosen once for all attempts.
	release                id.Release
	releaseChosen, isSplit bool
	// newConnection makes later attempts use a new connection, after a pooled one stayed
	// silent.
	newConnection bool
	// mayHaveRun reports that an upstream may have begun to run the request.
	mayHaveRun bool
	ctx        context.Context
}

// forward admits a request and sends it to an upstream. A refusal before the request is sent
// always has the outcome "not run".
func (s *Server) forward(w http.ResponseWriter, r *http.Request) {
	start := s.Clock.Now()
	x := &exchange{server: s, w: w, r: r}
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if refusal := x.run(); refusal != nil {
		s.refuse(w, refusal)
		return
	}
	s.served.Inc(1)
	s.latency.Update(s.Clock.Now().Sub(start).Microseconds())
}

// run admits and forwards the request. It returns nil if a response has been sent to the
// caller.
func (x *exchange) run() *admit.Refusal {
	if refusal := x.authenticate(); refusal != nil {
		return refusal
	}
	timeout, ok := caller.Timeout(x.r.Header, x.admission.Route.Timeout)
	if !ok {
		return &admit.Refusal{Outcome: admit.NotRun, Reason: admit.Malformed, Detail: caller.DeadlineHeader + " must be a number of milliseconds from 1 to 86400000"}
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), timeout)
	defer cancel()
	x.ctx = ctx
	x.deadline = x.server.Clock.Now().Add(timeout)
	if refusal := x.bufferSmallBody(); refusal != nil {
		return refusal
	}
	if refusal := x.debit(); refusal != nil {
		return refusal
	}
	if x.admission.Route.Idempotent {
		return x.send()
	}
	return x.sendOnce()
}

// maxBufferedBodyBytes is the maximum size of a body that is read before the request is sent.
const maxBufferedBodyBytes = 64 << 10

// bufferSmallBody reads the whole body if it is small. The request can then be sent to
// another upstream if the first one certainly did not run it.
func (x *exchange) bufferSmallBody() *admit.Refusal {
	if x.r.ContentLength <= 0 || x.r.ContentLength > maxBufferedBodyBytes {
		return nil
	}
	x.bufferedBody = make([]byte, x.r.ContentLength)
	if _, err := io.ReadFull(x.r.Body, x.bufferedBody); err != nil {
		return &admit.Refusal{Outcome: admit.NotRun, Reason: admit.Malformed, Detail: "the body ended before its announced length"}
	}
	return nil
}

func (x *exchange) authenticate() *admit.Refusal {
	key, present, ok := caller.Key(x.r.Header)
	if !ok {
		return admit.ErrKeyMisplaced
	}
	x.key = key
	x.request = admit.Request{
		Path: x.r.URL.Path, HasKey: present, Length: x.r.ContentLength,
		RequestID: id.Request(x.r.Header.Get(caller.RequestIDHeader)),
	}
	if present {
		x.request.Hash = x.server.Hasher.Hash(key)
		if exposesKey(x.r.URL, key) {
			return admit.ErrKeyMisplaced
		}
	}
	var refusal *admit.Refusal
	x.admission, refusal = x.server.Gate.Match(&x.request, x.server.Clock.Now())
	return refusal
}

// debit takes a token from the account's budget for the request. If there is none, it borrows
// from other hosts. The key is checked again after the wait for a loan.
func (x *exchange) debit() *admit.Refusal {
	s := x.server
	refusal := s.Gate.Debit(x.admission, s.Clock.Now())
	for refusal != nil {
		if !s.Borrower.Borrow(x.ctx, x.admission.Account) || x.ctx.Err() != nil {
			return refusal
		}
		if refused := s.Gate.Reauthenticate(&x.request, x.admission, s.Clock.Now()); refused != nil {
			return refused
		}
		refusal = s.Gate.RetryDebit(x.admission, s.Clock.Now())
	}
	return nil
}

// sendOnce sends a non-idempotent request. The request is claimed first; a repeated request
// gets the recorded answer. The claim is released if the request was not run.
func (x *exchange) sendOnce() *admit.Refusal {
	s := x.server
	account := x.admission.Account
	token, err := s.Claims.Take(x.ctx, account, x.request.RequestID)
	var taken *claim.TakenError
	if errors.As(err, &taken) {
		return x.replay(taken)
	}
	if err != nil {
		return admit.ErrClaimUnavailable
	}
	x.token = token
	refusal := s.Gate.Reauthenticate(&x.request, x.admission, s.Clock.Now())
	if refusal == nil {
		refusal = x.send()
	}
	if refusal != nil && refusal.Outcome == admit.NotRun {
		s.Claims.Release(token)
	}
	return refusal
}

// replay answers a repeated request with the answer that is recorded for the first one. It
// refuses the request if none is recorded.
func (x *exchange) replay(t *claim.TakenError) *admit.Refusal {
	if t.Claim.State != table.ClaimAnswered || t.Claim.Status == 0 {
		return admit.ErrAlreadyTaken
	}
	h := x.w.Header()
	h.Set(caller.ReplayedHeader, "true")
	h.Set(caller.HostHeader, string(x.server.Host))
	if t.Claim.ContentType != "" {
		h.Set("Content-Type", t.Claim.ContentType)
	}
	x.w.WriteHeader(t.Claim.Status)
	_, _ = x.w.Write(t.Claim.Body)
	return nil
}

// send tries upstreams until one responds. A request is tried again only if its body is buffered
// or empty, and after an attempt that an upstream may have run, only if it is idempotent.
func (x *exchange) send() *admit.Refusal {
	var tried []*pick.Upstream
	last := admit.ErrUpstreamsBusy
	for len(tried) < maxAttempts {
		upstream, refusal := x.pick(tried)
		if refusal != nil {
			if len(tried) > 0 {
				return last
			}
			return refusal
		}
		tried = append(tried, upstream)
		var retry bool
		last, retry = x.attempt(upstream)
		if last == nil || !retry {
			return last
		}
	}
	return last
}

// turnTimeout is the longest wait for a turn before a request checks for a free slot, because
// an upstream can become available without the end of another request.
const turnTimeout = 25 * time.Millisecond

// pick returns an upstream with a free slot, and waits for one until the deadline. While other
// requests wait for the same service, a request waits for its turn; turns are fair between
// accounts. After a wait, upstreams that the request has tried are eligible again.
func (x *exchange) pick(tried []*pick.Upstream) (*pick.Upstream, *admit.Refusal) {
	q := x.server.queueOf(x.admission.Route.Service)
	for turn := q.Empty(); ; turn = q.Wait(x.ctx, x.admission.Account, turnTimeout) {
		if x.ctx.Err() != nil {
			return nil, admit.ErrUpstreamsBusy
		}
		if !turn {
			continue
		}
		upstream, status := x.tryPick(tried)
		switch status {
		case pick.Picked:
			return upstream, nil
		case pick.NoUpstream:
			return nil, admit.ErrUpstreamsGone
		}
		tried = nil
	}
}

// tryPick picks an upstream with a free slot, of the request's release if the service is split.
func (x *exchange) tryPick(tried []*pick.Upstream) (*pick.Upstream, pick.Status) {
	s, service := x.server, x.admission.Route.Service
	if !x.releaseChosen {
		x.release, x.isSplit = s.Picker.ChooseRelease(service)
		x.releaseChosen = true
	}
	if x.isSplit {
		return s.Picker.PickRelease(service, x.release, s.Region, tried, s.Clock.Now())
	}
	return s.Picker.Pick(service, s.Region, tried, s.Clock.Now())
}

// attempt sends the request to one upstream and copies the response to the caller. Retry
// reports whether another upstream may be tried.
func (x *exchange) attempt(upstream *pick.Upstream) (refusal *admit.Refusal, retry bool) {
	defer x.server.queueOf(upstream.Info.Service).Signal()
	defer upstream.Done()
	if refusal := x.checkBeforeSend(); refusal != nil {
		return x.finalRefusal(refusal), false
	}
	start := x.server.Clock.Now()
	response, err := x.server.Forwarder.Do(x.ctx, upstream, x.outgoingRequest())
	x.recordOutcome(upstream, start, response, err)
	if err == nil {
		defer response.Body.Close()
		x.mayHaveRun = true
		x.copyResponse(response)
		return nil, false
	}
	return x.classifyError(err)
}

// checkBeforeSend checks, just before the request is sent, what may have changed during a wait
// or a pause of the process: the deadline, by a clock that advances during pauses, and the
// caller's key.
func (x *exchange) checkBeforeSend() *admit.Refusal {
	now := x.server.Clock.Now()
	if x.ctx.Err() != nil || now > x.deadline {
		return admit.ErrDeadlinePassed
	}
	return x.server.Gate.Reauthenticate(&x.request, x.admission, now)
}

// recordOutcome counts the outcome for the upstream's release, unless the caller canceled the
// request, the upstream did not run it, or a pooled connection stayed silent.
func (x *exchange) recordOutcome(upstream *pick.Upstream, start clock.Instant, response *http.Response, err error) {
	if errors.Is(err, transport.ErrNotRun) || errors.Is(err, transport.ErrSilent) || errors.Is(x.r.Context().Err(), context.Canceled) {
		return
	}
	outcome, info := release.Answered, upstream.Info
	switch {
	case err != nil || response.StatusCode >= http.StatusInternalServerError:
		outcome = release.Failed
	case response.StatusCode >= http.StatusMultipleChoices:
		outcome = release.Rejected
	}
	x.server.Recorder.Record(release.RouteRelease{Service: info.Service, Release: info.Release, Route: x.admission.Route.ID}, x.server.Clock.Now().Sub(start), outcome)
}

// classifyError returns the refusal for a failed attempt, and whether another upstream may be
// tried.
func (x *exchange) classifyError(err error) (*admit.Refusal, bool) {
	canResend := x.bufferedBody != nil || x.r.ContentLength == 0
	if errors.Is(err, transport.ErrNotRun) {
		return x.finalRefusal(admit.ErrUpstreamsBusy), canResend
	}
	x.mayHaveRun = true
	if errors.Is(err, transport.ErrSilent) {
		x.newConnection = true
	}
	retry := canResend && x.admission.Route.Idempotent && x.ctx.Err() == nil
	switch {
	case errors.Is(err, transport.ErrAnswerForeign):
		return admit.ErrAnswerForeign, retry
	case errors.Is(err, context.DeadlineExceeded):
		return admit.ErrUpstreamLate, false
	default:
		return admit.ErrUpstreamFailed, retry
	}
}

// finalRefusal returns the refusal that ends the request: notRun, unless an earlier attempt may
// have run, which makes the outcome unknown.
func (x *exchange) finalRefusal(notRun *admit.Refusal) *admit.Refusal {
	if x.mayHaveRun {
		return admit.ErrUpstreamFailed
	}
	return notRun
}

func (x *exchange) outgoingRequest() *transport.Request {
	out := &transport.Request{
		Method: x.r.Method, Target: x.r.URL.RequestURI(), Header: outgoingHeader(x.r.Header, x.key),
		Length: x.r.ContentLength, Account: x.admission.Account,
		Idempotent: x.admission.Route.Idempotent, Remaining: x.deadline.Sub(x.server.Clock.Now()), NewConnection: x.newConnection,
	}
	if !x.admission.Route.Idempotent {
		out.RequestID = x.request.RequestID
	}
	switch {
	case x.bufferedBody != nil:
		out.Body = bytes.NewReader(x.bufferedBody)
	case x.r.Body != nil && x.r.Body != http.NoBody:
		out.Body = http.MaxBytesReader(nil, x.r.Body, x.admission.Route.MaxBody)
	}
	return out
}

// copyResponse copies a response to the caller, and records it for the claim of the request.
// If the response is truncated, the caller's connection is aborted, so that the caller cannot
// take it for complete.
func (x *exchange) copyResponse(response *http.Response) {
	h := x.w.Header()
	copyResponseHeader(h, response.Header)
	h.Set(caller.HostHeader, string(x.server.Host))
	recorder := &responseRecorder{limit: claim.MaxRecordedBytes}
	var src io.Reader = response.Body
	if x.token != nil {
		src = io.TeeReader(response.Body, recorder)
	}
	x.w.WriteHeader(response.StatusCode)
	var dst io.Writer = x.w
	if response.ContentLength < 0 {
		dst = flushWriter{x.w}
	}
	_, err := io.Copy(dst, src)
	if x.token != nil && err == nil && !recorder.overflowed {
		x.server.Claims.Record(x.token, claim.Answer{
			Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: recorder.data.Bytes(),
		})
	}
	if err != nil {
		x.server.outcomeUnknown.Inc(1)
		panic(http.ErrAbortHandler)
	}
}

// responseRecorder stores a response of up to limit bytes.
type responseRecorder struct {
	data       bytes.Buffer
	limit      int
	overflowed bool
}

func (r *responseRecorder) Write(p []byte) (int, error) {
	if r.data.Len()+len(p) > r.limit {
		r.overflowed = true
		return len(p), nil
	}
	return r.data.Write(p)
}

// flushWriter flushes after each write, for responses of unknown length.
type flushWriter struct{ w http.ResponseWriter }

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if flusher, ok := f.w.(http.Flusher); ok && err == nil {
		flusher.Flush()
	}
	return n, err
}
