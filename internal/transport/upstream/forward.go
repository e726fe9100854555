// Package upstream sends requests to upstreams and polls their health and load.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/internal/protocol/upstream"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Errors of an exchange.
var (
	// ErrNotRun means that the upstream has provably not run the request.
	ErrNotRun = errors.New("the upstream did not run the request")
	// ErrOutcomeUnknown means that the exchange failed after the request may have been run.
	ErrOutcomeUnknown = errors.New("the exchange with the upstream failed")
	// ErrAnswerForeign means that the answer belongs to another exchange.
	ErrAnswerForeign = errors.New("the answer belongs to another exchange")
	// ErrSilent means that a kept connection gave no sign of life; it may have
	// been dead. The request should go again on a new connection.
	ErrSilent = errors.New("the kept connection gave no answer")
)

// Limits of connections to upstreams.
const (
	dialTimeout = time.Second
	// idleLimit is the age from which an idle connection is not used again.
	idleLimit    = 2 * time.Second
	idlePerHost  = 16
	maxHeaderLen = 64 << 10
)

// Request is one request as it is sent to an upstream.
type Request struct {
	Method string
	// Target is the path with the query.
	Target     string
	Header     http.Header
	Body       io.Reader
	Length     int64
	Account    id.Account
	RequestID  id.Request
	Idempotent bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// NewConnection keeps an idempotent request off kept connections.
	NewConnection bool
}

// A kept connection that has not answered for a part of the remaining time,
// within bounds, counts as silent.
const (
	silentPart  = 4
	silentLeast = 50 * time.Millisecond
	silentMost  = time.Second
)

// silentAfter returns how long to wait for an answer on a kept connection.
func silentAfter(remaining time.Duration) time.Duration {
	return min(max(remaining/silentPart, silentLeast), silentMost)
}

// Forwarder carries exchanges with upstreams.
//
// Idempotent requests use kept connections. A non-idempotent request always
// gets a new connection and a body that cannot be rewound, so that nothing
// below this package can send it twice, and no silent connection can take it.
type Forwarder struct {
	kept  *http.Transport
	fresh *http.Transport
	clock clock.Clock
	// exchanges numbers the exchanges of this process.
	exchanges atomic.Uint64
	prefix    string
	host      id.Host
	// sent counts requests on kept connections, and retried those given up as silent.
	sent, retried atomic.Int64
}

// NewForwarder returns the forwarder of one incarnation of a host.
func NewForwarder(host id.Host, inc id.Incarnation, c clock.Clock) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleLimit}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleLimit,
			DisableCompression: true, MaxResponseHeaderBytes: maxHeaderLen,
		}
	}
	f := &Forwarder{kept: transport(), fresh: transport(), clock: c, host: host, prefix: string(host) + "-" + inc.String() + "-"}
	f.fresh.DisableKeepAlives = true
	return f
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.kept.CloseIdleConnections()
	f.fresh.CloseIdleConnections()
}

// Do sends a request to a worker and returns its answer. The error matches
// ErrNotRun, ErrForeign or ErrFailed.
func (f *Forwarder) Do(ctx context.Context, w *pick.Upstream, r *Request) (*http.Response, error) {
	out := f.build(ctx, w, r)
	exchange := out.Header.Get(upstream.ExchangeHeader)
	roundTrip := f.roundTripKept
	if !r.Idempotent || r.NewConnection {
		roundTrip = f.roundTripFresh
	}
	response, err := roundTrip(out, r)
	if errors.Is(err, ErrSilent) {
		f.kept.CloseIdleConnections()
		return nil, err
	}
	if err != nil {
		return nil, f.failed(w, err)
	}
	return f.judge(w, response, exchange)
}

func (f *Forwarder) roundTripFresh(out *http.Request, _ *Request) (*http.Response, error) {
	return f.fresh.RoundTrip(out)
}

// roundTripKept sends a request on a kept connection if there is one. If that
// connection gives no answer in time, and the retry budget allows it, the error
// matches ErrSilent; its older siblings are as doubtful.
func (f *Forwarder) roundTripKept(out *http.Request, r *Request) (*http.Response, error) {
	f.sent.Add(1)
	var reused atomic.Bool
	ctx, cancel := context.WithCancelCause(out.Context())
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	timer := time.AfterFunc(silentAfter(r.Remaining), func() {
		if reused.Load() && f.mayRetry() {
			cancel(ErrSilent)
		}
	})
	response, err := f.kept.RoundTrip(out.WithContext(httptrace.WithClientTrace(ctx, trace)))
	timer.Stop()
	if err != nil {
		defer cancel(nil)
		if errors.Is(context.Cause(ctx), ErrSilent) {
			return nil, ErrSilent
		}
		return nil, err
	}
	response.Body = &cancelingBody{response.Body, cancel}
	return response, nil
}

// cancelingBody ends the context of an exchange together with its answer.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close ends the exchange.
func (b *cancelingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// The retry budget bounds what silent connections, or slow upstreams that look
// like them, may add to the load: a part of the requests, and a few more.
const (
	retryPart    = 5
	retryReserve = 100
)

func (f *Forwarder) mayRetry() bool {
	retries := f.retried.Add(1)
	if retries*retryPart <= f.sent.Load()+retryReserve*retryPart {
		return true
	}
	f.retried.Add(-1)
	return false
}

func (f *Forwarder) build(ctx context.Context, w *pick.Upstream, r *Request) *http.Request {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		target = &url.URL{Path: "/"}
	}
	target.Scheme, target.Host = "http", w.Info.Address
	out := (&http.Request{
		Method: r.Method, URL: target, Host: w.Info.Address, Header: r.Header,
		Body: body(r), ContentLength: r.Length, ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	out.Header.Set(upstream.ExchangeHeader, f.prefix+strconv.FormatUint(f.exchanges.Add(1), 36))
	out.Header.Set(upstream.HostHeader, string(f.host))
	out.Header.Set(upstream.DeadlineHeader, strconv.FormatInt(max(r.Remaining.Milliseconds(), 1), 10))
	if r.Account != "" {
		out.Header.Set(upstream.AccountHeader, string(r.Account))
	}
	if r.RequestID != "" {
		out.Header.Set(upstream.RequestIDHeader, string(r.RequestID))
	}
	return out
}

// body returns the request's body in a form that the transport cannot replay,
// or none for an idempotent request without one.
func body(r *Request) io.ReadCloser {
	if r.Idempotent && (r.Body == nil || r.Body == http.NoBody) {
		return nil
	}
	if r.Body == nil {
		return io.NopCloser(oneWay{http.NoBody})
	}
	return io.NopCloser(oneWay{r.Body})
}

// oneWay hides all methods of a reader but Read.
type oneWay struct{ io.Reader }

// failed classifies an error without an answer. A connection that could not be
// made proves that nothing was run.
func (f *Forwarder) failed(w *pick.Upstream, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		w.RecordFailure(f.clock.Now())
		return errors.Join(ErrNotRun, err)
	}
	if errors.Is(err, context.Canceled) {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	w.RecordFailure(f.clock.Now())
	return errors.Join(ErrOutcomeUnknown, err)
}

// judge looks at the head of an answer.
func (f *Forwarder) judge(w *pick.Upstream, response *http.Response, exchange string) (*http.Response, error) {
	if response.Header.Get(upstream.DrainingHeader) == "true" {
		w.MarkDraining()
	}
	if got := response.Header.Get(upstream.ExchangeHeader); got != "" && got != exchange {
		_ = response.Body.Close()
		f.kept.CloseIdleConnections()
		w.RecordFailure(f.clock.Now())
		return nil, ErrAnswerForeign
	}
	if response.Header.Get(upstream.NotRunHeader) == "true" {
		_ = response.Body.Close()
		w.RecordShed(retryAfter(response.Header), f.clock.Now())
		return nil, ErrNotRun
	}
	if response.StatusCode >= http.StatusInternalServerError {
		w.RecordFailure(f.clock.Now())
	} else {
		w.RecordSuccess()
	}
	return response, nil
}

// defaultPause is the pause after shed load that names none.
const defaultPause = 200 * time.Millisecond

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return defaultPause
	}
	return min(time.Duration(seconds*float64(time.Second)), time.Minute)
}
