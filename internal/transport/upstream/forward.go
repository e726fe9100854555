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
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Errors of an exchange with an upstream.
var (
	// ErrNotRun means that the upstream has certainly not run the request.
	ErrNotRun = errors.New("the upstream did not run the request")
	// ErrOutcomeUnknown means that the exchange failed when the upstream may already
	// have run the request.
	ErrOutcomeUnknown = errors.New("the exchange with the upstream failed")
	// ErrAnswerForeign means that the answer belongs to another exchange.
	ErrAnswerForeign = errors.New("the answer belongs to another exchange")
	// ErrSilent means that nothing was received on a pooled connection in time; the
	// connection may be dead. The request should be retried on a new one.
	ErrSilent = errors.New("no answer on a pooled connection")
)

// Limits of connections to upstreams.
const (
	dialTimeout = time.Second
	// maxIdleAge is the age from which an idle connection is not reused.
	maxIdleAge     = 2 * time.Second
	maxIdlePerHost = 16
	maxHeaderBytes = 64 << 10
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
	// NewConnection forbids the use of a pooled connection for an idempotent request.
	NewConnection bool
}

// A pooled connection counts as silent if no answer arrives on it within the remaining
// time divided by silentDivisor, but at least minSilentTimeout and at most
// maxSilentTimeout.
const (
	silentDivisor    = 4
	minSilentTimeout = 50 * time.Millisecond
	maxSilentTimeout = time.Second
)

// silentTimeout returns how long to wait for an answer on a pooled connection.
func silentTimeout(remaining time.Duration) time.Duration {
	return min(max(remaining/silentDivisor, minSilentTimeout), maxSilentTimeout)
}

// Forwarder sends requests to upstreams.
//
// Idempotent requests use pooled connections if the upstream's answers identify their
// exchange; otherwise a late copy of an answer would pass for that of the next request.
// A non-idempotent request always gets a new connection and a body that cannot be
// rewound, so that net/http cannot send it twice and it cannot get lost on a silent
// connection.
type Forwarder struct {
	pooled *http1.Transport
	// unpooled makes a new connection for each request.
	unpooled *http1.Transport
	clock    clock.Clock
	// exchanges is the number of the last exchange of this process.
	exchanges atomic.Uint64
	// exchangePrefix begins the ids of exchanges, and differs for each incarnation of the host.
	exchangePrefix string
	host           id.Host
	// sent counts the requests through pooled, and retried those whose connection was
	// silent.
	sent, retried atomic.Int64
}

// NewForwarder returns the forwarder of one incarnation of a host.
func NewForwarder(host id.Host, inc id.Incarnation, c clock.Clock) *Forwarder {
	dialer := &http1.Dialer{Dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: maxIdleAge}}
	transport := func() *http1.Transport {
		return http1.NewTransport(dialer, &http.Transport{
			MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: maxIdleAge, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		})
	}
	f := &Forwarder{pooled: transport(), unpooled: transport(), clock: c, host: host, exchangePrefix: string(host) + "-" + inc.String() + "-"}
	f.unpooled.DisableKeepAlives = true
	return f
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.pooled.CloseIdleConnections()
	f.unpooled.CloseIdleConnections()
}

// Do sends a request to an upstream and returns its answer. The error matches
// ErrNotRun, ErrAnswerForeign, ErrSilent or ErrOutcomeUnknown.
func (f *Forwarder) Do(ctx context.Context, u *pick.Upstream, r *Request) (*http.Response, error) {
	out := f.build(ctx, u, r)
	exchange := out.Header.Get(upstream.ExchangeHeader)
	roundTrip := f.roundTripPooled
	if !r.Idempotent || r.NewConnection || !u.IdentifiesAnswers() {
		roundTrip = f.roundTripUnpooled
	}
	response, reused, err := roundTrip(out, r)
	if errors.Is(err, ErrSilent) {
		f.pooled.CloseIdleConnections()
		return nil, err
	}
	if err != nil {
		return nil, f.classify(u, err)
	}
	return f.checkHead(u, response, exchange, reused)
}

func (f *Forwarder) roundTripUnpooled(out *http.Request, _ *Request) (_ *http.Response, reused bool, _ error) {
	response, err := f.unpooled.RoundTrip(out)
	return response, false, err
}

// roundTripPooled sends a request on a pooled connection if there is one. If no answer
// arrives on it in time and the retry budget allows a retry, the error matches
// ErrSilent; other pooled connections may then be dead too.
func (f *Forwarder) roundTripPooled(out *http.Request, r *Request) (_ *http.Response, reused bool, _ error) {
	f.sent.Add(1)
	var onReused atomic.Bool
	ctx, cancel := context.WithCancelCause(out.Context())
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { onReused.Store(info.Reused) }}
	timer := time.AfterFunc(silentTimeout(r.Remaining), func() {
		if onReused.Load() && f.mayRetry() {
			cancel(ErrSilent)
		}
	})
	response, err := f.pooled.RoundTrip(out.WithContext(httptrace.WithClientTrace(ctx, trace)))
	timer.Stop()
	if err != nil {
		defer cancel(nil)
		if errors.Is(context.Cause(ctx), ErrSilent) {
			return nil, false, ErrSilent
		}
		return nil, false, err
	}
	response.Body = &cancelingBody{response.Body, cancel}
	return response, onReused.Load(), nil
}

// cancelingBody cancels the context of an exchange when its answer is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the answer and cancels the context of its exchange.
func (b *cancelingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// The retry budget bounds the load that retries after silent connections, or after slow
// upstreams that look like them, may add: one retry for each retryDivisor requests,
// and retryReserve more.
const (
	retryDivisor = 5
	retryReserve = 100
)

// mayRetry reports whether the retry budget allows a retry, and counts it if so.
func (f *Forwarder) mayRetry() bool {
	retries := f.retried.Add(1)
	if retries*retryDivisor <= f.sent.Load()+retryReserve*retryDivisor {
		return true
	}
	f.retried.Add(-1)
	return false
}

// build returns the request as it is sent, with the headers for the upstream.
func (f *Forwarder) build(ctx context.Context, u *pick.Upstream, r *Request) *http.Request {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		target = &url.URL{Path: "/"}
	}
	target.Scheme, target.Host = "http", u.Info.Address
	out := (&http.Request{
		Method: r.Method, URL: target, Host: u.Info.Address, Header: r.Header,
		Body: body(r), ContentLength: r.Length, ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	out.Header.Set(upstream.ExchangeHeader, f.exchangePrefix+strconv.FormatUint(f.exchanges.Add(1), 36))
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

// body returns the request's body in a form that the transport cannot replay, or nil
// for an idempotent request without a body.
func body(r *Request) io.ReadCloser {
	if r.Idempotent && (r.Body == nil || r.Body == http.NoBody) {
		return nil
	}
	if r.Body == nil {
		return io.NopCloser(readOnly{http.NoBody})
	}
	return io.NopCloser(readOnly{r.Body})
}

// readOnly hides all methods of a reader but Read.
type readOnly struct{ io.Reader }

// classify classifies the error of an exchange without an answer. If the connection
// could not be made, the request was certainly not run.
func (f *Forwarder) classify(u *pick.Upstream, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		u.RecordFailure(f.clock.Now())
		return errors.Join(ErrNotRun, err)
	}
	if errors.Is(err, context.Canceled) {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	u.RecordFailure(f.clock.Now())
	return errors.Join(ErrOutcomeUnknown, err)
}

// checkHead records what an answer's head says about the upstream, and returns an error
// if the answer belongs to another exchange or the request was not run. On a reused
// connection an answer that does not identify its exchange may be another's.
func (f *Forwarder) checkHead(u *pick.Upstream, response *http.Response, exchange string, reused bool) (*http.Response, error) {
	if response.Header.Get(upstream.DrainingHeader) == "true" {
		u.MarkDraining()
	}
	got := response.Header.Get(upstream.ExchangeHeader)
	u.RecordIdentified(got != "")
	if got != exchange && (got != "" || reused) {
		_ = response.Body.Close()
		f.pooled.CloseIdleConnections()
		u.RecordFailure(f.clock.Now())
		return nil, ErrAnswerForeign
	}
	if response.Header.Get(upstream.NotRunHeader) == "true" {
		_ = response.Body.Close()
		u.RecordShed(retryAfter(response.Header), f.clock.Now())
		return nil, ErrNotRun
	}
	if response.StatusCode >= http.StatusInternalServerError {
		u.RecordFailure(f.clock.Now())
	} else {
		u.RecordSuccess()
	}
	return response, nil
}

// defaultRetryAfter is the backoff after an answer that sheds load and names none.
const defaultRetryAfter = 200 * time.Millisecond

// maxRetryAfter is the longest backoff that an upstream can ask for.
const maxRetryAfter = time.Minute

// retryAfter returns the backoff that the Retry-After header asks for, at most maxRetryAfter.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	d, err := unit.FromSeconds(seconds, maxRetryAfter)
	if err != nil {
		return maxRetryAfter
	}
	return d
}
