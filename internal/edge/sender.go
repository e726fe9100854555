package edge

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
)

// callKey is the context key of the http1.Call that a request came with.
type callKey struct{}

// sender sends requests to upstreams over HTTP/1.1.
type sender struct{ pool *http1.Pool }

// errUnauthentic means that an answer does not prove that it comes from an upstream.
var errUnauthentic = errors.New("the answer lacks the upstream's MAC")

// Send implements steer.Sender.
func (s *sender) Send(ctx context.Context, r *steer.Request, p steer.SendParams) steer.Exchange[*http1.Answer] {
	call := ctx.Value(callKey{}).(*http1.Call)
	in := call.Request
	out := &http1.Request{
		Method: in.Method, Target: target(in), Host: in.Host, Body: call.Body, Rest: call.Rest, Length: int64(len(call.Body)), NewConnection: p.NewConnection,
		Header:  platform.UpstreamRequestHeader(in.Header, r.Attempt, p.Account, p.Upstream.Info.ID, p.Remaining),
		Matches: func(status int, h http.Header) bool { return belongsTo(r.Attempt, status, h) },
	}
	if call.Rest != nil {
		out.Length = in.ContentLength
	}
	answer, err := s.pool.Do(ctx, p.Upstream.ConnectionKey(), p.Upstream.Info.Address, out)
	if err != nil {
		return failedExchange(err)
	}
	return classify(answer)
}

// target returns the path and query as the client sent them.
func target(r *http.Request) string {
	if u, err := url.ParseRequestURI(r.RequestURI); err == nil && u.IsAbs() {
		return u.RequestURI()
	}
	return r.RequestURI
}

// belongsTo reports whether an answer may belong to an attempt: the attempt has no
// ID, or the answer names it, or the answer names none and lacks a MAC.
func belongsTo(attempt id.Attempt, status int, h http.Header) bool {
	head := platform.ParseUpstreamHead(status, h, false)
	return attempt == "" || head.Attempt == attempt || (head.Attempt == "" && !head.Authentic)
}

// failedExchange returns the result of a request that got no answer. The pool does
// not report whether the connection was reused, so it counts as reused: the next
// attempt then uses a new one.
func failedExchange(err error) steer.Exchange[*http1.Answer] {
	e := steer.Exchange[*http1.Answer]{Result: steer.NoAnswer, Err: err, ReusedConnection: true}
	if errors.Is(err, http1.ErrNotSent) {
		e.Result = steer.NotSent
	}
	return e
}

// classify returns the result of a request that got an answer. It closes the
// rest of an answer that is not delivered to the client.
func classify(a *http1.Answer) steer.Exchange[*http1.Answer] {
	head := platform.ParseUpstreamHead(a.Status, a.Header, a.Close)
	e := steer.Exchange[*http1.Answer]{
		Answer: a, HasLoad: head.HasLoad, Running: head.Running, Waiting: head.Waiting, ReusedConnection: a.ReusedConnection,
	}
	switch {
	case head.Misdirected:
		e.Result = steer.Misdirected
	case head.NotRun:
		e.Result = steer.Shed
	case !head.Authentic:
		e.Result, e.Err = steer.NoAnswer, errUnauthentic
	case a.Status == http.StatusGatewayTimeout:
		e.Result = steer.AnsweredTimeout
	case a.Status >= http.StatusInternalServerError:
		e.Result = steer.AnsweredFailure
	}
	delivered := e.Result == steer.Answered || e.Result == steer.AnsweredFailure || e.Result == steer.AnsweredTimeout
	if !delivered && a.Rest != nil {
		a.Rest.Close()
	}
	return e
}
