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

// maxAttempts is the most upstreams that one request is sent to.
const maxAttempts = 3

// exchange is one request on its way through this host.
type exchange struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	clear     string
	ask       admit.Request
	admission admit.Admission
	token     *claim.Token
	// until is the deadline on the server's clock.
	until clock.Instant
	// small holds the whole body of a request that is short enough to be sent again.
	small []byte
	// release is what the request was given to, if its service is divided.
	release         id.Release
	chosen, divided bool
	// newConnection keeps later attempts off kept connections, after a silent one.
	newConnection bool
	// sent tells that an upstream may have begun to run the request.
	sent bool
	ctx  context.Context
}

// forward admits a request and sends it to an upstream. The steps before an
// upstream is given the request can only end in "not run".
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

// run carries the request through all its steps. It returns nil once an answer
// has been passed on.
func (x *exchange) run() *admit.Refusal {
	if refusal := x.authenticate(); refusal != nil {
		return refusal
	}
	deadline, ok := caller.Deadline(x.r.Header, x.admission.Target.Deadline)
	if !ok {
		return &admit.Refusal{Outcome: admit.NotRun, Reason: admit.Malformed, Detail: caller.DeadlineHeader + " must be a number of milliseconds from 1 to 86400000"}
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), deadline)
	defer cancel()
	x.ctx = ctx
	x.until = x.server.Clock.Now().Add(deadline)
	if refusal := x.readSmallBody(); refusal != nil {
		return refusal
	}
	if refusal := x.debit(); refusal != nil {
		return refusal
	}
	if x.admission.Target.Idempotent {
		return x.send()
	}
	return x.sendOnce()
}

// smallBody is the size up to which a body is read before the request is sent, in bytes.
const smallBody = 64 << 10

// readSmallBody reads a short body whole, so that a request that an upstream
// provably did not run can be sent to another one.
func (x *exchange) readSmallBody() *admit.Refusal {
	if x.r.ContentLength <= 0 || x.r.ContentLength > smallBody {
		return nil
	}
	x.small = make([]byte, x.r.ContentLength)
	if _, err := io.ReadFull(x.r.Body, x.small); err != nil {
		return &admit.Refusal{Outcome: admit.NotRun, Reason: admit.Malformed, Detail: "the body ended before its announced length"}
	}
	return nil
}

func (x *exchange) authenticate() *admit.Refusal {
	clear, present, ok := caller.Key(x.r.Header)
	if !ok {
		return admit.ErrKeyMisplaced
	}
	x.clear = clear
	x.ask = admit.Request{
		Path: x.r.URL.Path, HasKey: present, Length: x.r.ContentLength,
		RequestID: id.Request(x.r.Header.Get(caller.RequestIDHeader)),
	}
	if present {
		x.ask.Hash = x.server.Hasher.Hash(clear)
		if exposesKey(x.r.URL, clear) {
			return admit.ErrKeyMisplaced
		}
	}
	var refusal *admit.Refusal
	x.admission, refusal = x.server.Gate.Match(&x.ask, x.server.Clock.Now())
	return refusal
}

// debit takes the request out of the account's budget, if need be with the
// help of a loan.
func (x *exchange) debit() *admit.Refusal {
	s := x.server
	refusal := s.Gate.Debit(x.admission, s.Clock.Now())
	for refusal != nil {
		if !s.Borrower.Borrow(x.ctx, x.admission.Account) || x.ctx.Err() != nil {
			return refusal
		}
		if refused := s.Gate.Reauthenticate(&x.ask, x.admission, s.Clock.Now()); refused != nil {
			return refused
		}
		refusal = s.Gate.RetryDebit(x.admission, s.Clock.Now())
	}
	return nil
}

// sendOnce sends a request that must not run twice: it is claimed first, and a
// repeat gets the recorded answer.
func (x *exchange) sendOnce() *admit.Refusal {
	s := x.server
	owner := x.admission.Account
	token, err := s.Claims.Take(x.ctx, owner, x.ask.RequestID)
	var taken *claim.TakenError
	if errors.As(err, &taken) {
		return x.replay(taken)
	}
	if err != nil {
		return admit.ErrClaimUnavailable
	}
	x.token = token
	refusal := s.Gate.Reauthenticate(&x.ask, x.admission, s.Clock.Now())
	if refusal == nil {
		refusal = x.send()
	}
	if refusal != nil && refusal.Outcome == admit.NotRun {
		s.Claims.Release(token)
	}
	return refusal
}

// replay answers a repeated request from what is recorded of the first one.
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

// send tries upstreams until one answers. After an attempt that may have run,
// only an idempotent request is tried again, and only if its body is at hand.
func (x *exchange) send() *admit.Refusal {
	var tried []*pick.Upstream
	last := admit.ErrUpstreamsBusy
	for len(tried) < maxAttempts {
		worker, refusal := x.pick(tried)
		if refusal != nil {
			if len(tried) > 0 {
				return last
			}
			return refusal
		}
		tried = append(tried, worker)
		var again bool
		last, again = x.attempt(worker)
		if last == nil || !again {
			return last
		}
	}
	return last
}

// turnPatience is the longest wait for a turn before a request looks again,
// because a worker can become usable without a request having ended.
const turnPatience = 25 * time.Millisecond

// pick waits for a free slot until the deadline. While others wait for the same
// service, a request waits its turn, fairly between accounts. After a wait even
// a worker that the request has tried may serve it.
func (x *exchange) pick(tried []*pick.Upstream) (*pick.Upstream, *admit.Refusal) {
	line := x.server.queueOf(x.admission.Target.Service)
	for turn := line.Empty(); ; turn = line.Wait(x.ctx, x.admission.Account, turnPatience) {
		if x.ctx.Err() != nil {
			return nil, admit.ErrUpstreamsBusy
		}
		if !turn {
			continue
		}
		worker, verdict := x.pickOnce(tried)
		switch verdict {
		case pick.Picked:
			return worker, nil
		case pick.NoUpstream:
			return nil, admit.ErrUpstreamsGone
		}
		tried = nil
	}
}

// pickOnce looks for a worker, of the release that the request was given to.
func (x *exchange) pickOnce(tried []*pick.Upstream) (*pick.Upstream, pick.Status) {
	s, service := x.server, x.admission.Target.Service
	if !x.chosen {
		x.release, x.divided = s.Picker.ChooseRelease(service)
		x.chosen = true
	}
	if x.divided {
		return s.Picker.PickRelease(service, x.release, s.Region, tried, s.Clock.Now())
	}
	return s.Picker.Pick(service, s.Region, tried, s.Clock.Now())
}

// attempt sends the request to one worker, and passes the answer on. Again
// tells that another worker may be tried.
func (x *exchange) attempt(worker *pick.Upstream) (refusal *admit.Refusal, again bool) {
	defer x.server.queueOf(worker.Info.Service).Signal()
	defer worker.Done()
	if refusal := x.mayStillSend(); refusal != nil {
		return x.ended(refusal), false
	}
	start := x.server.Clock.Now()
	response, err := x.server.Forwarder.Do(x.ctx, worker, x.outgoing())
	x.observe(worker, start, response, err)
	if err == nil {
		defer response.Body.Close()
		x.sent = true
		x.pass(response)
		return nil, false
	}
	return x.classify(err)
}

// mayStillSend looks again, just before a request is sent, at what a wait or a
// pause of the process may have changed: the deadline, on a clock that counts
// pauses, and the caller's key.
func (x *exchange) mayStillSend() *admit.Refusal {
	now := x.server.Clock.Now()
	if x.ctx.Err() != nil || now > x.until {
		return admit.ErrDeadlinePassed
	}
	return x.server.Gate.Reauthenticate(&x.ask, x.admission, now)
}

// observe counts the outcome for the worker's release, unless the caller gave
// up or the worker did not run the request.
func (x *exchange) observe(worker *pick.Upstream, start clock.Instant, response *http.Response, err error) {
	if errors.Is(err, transport.ErrNotRun) || errors.Is(err, transport.ErrSilent) || errors.Is(x.r.Context().Err(), context.Canceled) {
		return
	}
	subject := release.RouteRelease{Service: worker.Info.Service, Release: worker.Info.Release, Route: x.admission.Target.Route}
	failed := err != nil || response.StatusCode >= http.StatusInternalServerError
	x.server.Recorder.Record(subject, x.server.Clock.Now().Sub(start), failed)
}

func (x *exchange) classify(err error) (*admit.Refusal, bool) {
	replayable := x.small != nil || x.r.ContentLength == 0
	if errors.Is(err, transport.ErrNotRun) {
		return x.ended(admit.ErrUpstreamsBusy), replayable
	}
	x.sent = true
	if errors.Is(err, transport.ErrSilent) {
		x.newConnection = true
	}
	again := replayable && x.admission.Target.Idempotent && x.ctx.Err() == nil
	switch {
	case errors.Is(err, transport.ErrAnswerForeign):
		return admit.ErrAnswerForeign, again
	case errors.Is(err, context.DeadlineExceeded):
		return admit.ErrUpstreamLate, false
	default:
		return admit.ErrUpstreamFailed, again
	}
}

// ended returns the refusal for a request that ends here: an earlier attempt
// that may have run makes its outcome unknown.
func (x *exchange) ended(notRun *admit.Refusal) *admit.Refusal {
	if x.sent {
		return admit.ErrUpstreamFailed
	}
	return notRun
}

func (x *exchange) outgoing() *transport.Request {
	out := &transport.Request{
		Method: x.r.Method, Target: x.r.URL.RequestURI(), Header: outgoingHeader(x.r.Header, x.clear),
		Length: x.r.ContentLength, Account: x.admission.Account,
		Idempotent: x.admission.Target.Idempotent, Remaining: x.until.Sub(x.server.Clock.Now()), NewConnection: x.newConnection,
	}
	if !x.admission.Target.Idempotent {
		out.RequestID = x.ask.RequestID
	}
	switch {
	case x.small != nil:
		out.Body = bytes.NewReader(x.small)
	case x.r.Body != nil && x.r.Body != http.NoBody:
		out.Body = http.MaxBytesReader(nil, x.r.Body, x.admission.Target.MaxBody)
	}
	return out
}

// pass copies an answer to the caller. An answer that is cut short ends the
// caller's connection, so that it is never taken for a whole one.
func (x *exchange) pass(response *http.Response) {
	h := x.w.Header()
	copyAnswerHeader(h, response.Header)
	h.Set(caller.HostHeader, string(x.server.Host))
	recorder := &recording{limit: claim.MaxRecordedBytes}
	var source io.Reader = response.Body
	if x.token != nil {
		source = io.TeeReader(response.Body, recorder)
	}
	x.w.WriteHeader(response.StatusCode)
	var sink io.Writer = x.w
	if response.ContentLength < 0 {
		sink = flushing{x.w}
	}
	_, err := io.Copy(sink, source)
	if x.token != nil && err == nil && !recorder.overflowed {
		x.server.Claims.Record(x.token, claim.Answer{
			Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: recorder.data.Bytes(),
		})
	}
	if err != nil {
		x.server.unknown.Inc(1)
		panic(http.ErrAbortHandler)
	}
}

// recording keeps the beginning of an answer.
type recording struct {
	data       bytes.Buffer
	limit      int
	overflowed bool
}

func (r *recording) Write(p []byte) (int, error) {
	if r.data.Len()+len(p) > r.limit {
		r.overflowed = true
		return len(p), nil
	}
	return r.data.Write(p)
}

// flushing passes each part of an answer on as soon as it has come.
type flushing struct{ w http.ResponseWriter }

func (f flushing) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if flusher, ok := f.w.(http.Flusher); ok && err == nil {
		flusher.Flush()
	}
	return n, err
}
