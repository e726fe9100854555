package edge

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
)

// callKey is the context key of the http1.Call that a request came with.
type callKey struct{}

// sender sends requests to upstreams over HTTP/1.1.
type sender struct {
	pool *http1.Pool
	log  *logging.Log
}

// errUnauthentic means that an answer does not prove that it comes from an upstream.
var errUnauthentic = errors.New("the answer lacks the upstream's MAC")

// errUnmarkedRefusal means that an upstream answered with a status that promises clients
// that the request has not run, without saying so itself.
var errUnmarkedRefusal = errors.New("the upstream refused the request without saying that it has not run")

// Send implements steer.Sender.
func (s *sender) Send(ctx context.Context, r *steer.Request, p steer.SendParams) steer.Exchange[*http1.Answer] {
	call := ctx.Value(callKey{}).(*http1.Call)
	in := call.Request
	out := &http1.Request{
		Method: in.Method, Target: target(in), Host: in.Host, Body: call.Body, Rest: call.Rest, Length: int64(len(call.Body)), NewConnection: p.NewConnection,
		Header: platform.UpstreamRequestHeader(in.Header, r.Attempt, p.Account, p.Upstream.Info.ID, p.Remaining),
		Owner: func(status int, h http.Header) http1.Owner {
			s.noteLeaving(p.Upstream, status, h)
			return ownerOf(r.Attempt, status, h)
		},
		// The upstream's answer was classified by its head; what follows is judged here.
		StreamFailed: func(error) { p.Broken() },
	}
	if r.Attempt == "" {
		// The answer cannot name the request, so no other may share its connection.
		out.NewConnection, out.SingleUse = true, true
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

// noteLeaving stops the use of an upstream that says in any answer that it is leaving, also
// in one that belongs to another request or is not read to its end.
func (s *sender) noteLeaving(u *place.Upstream, status int, h http.Header) {
	if platform.ParseUpstreamHead(status, h, false).Leaving && u.MarkDraining() {
		s.log.With("upstream", u.Info.ID).With("service", u.Info.Service).With("incarnation", u.Info.Incarnation).Info("An upstream's answer says that it is leaving.")
	}
}

// target returns the path and query as the client sent them.
func target(r *http.Request) string {
	if u, err := url.ParseRequestURI(r.RequestURI); err == nil && u.IsAbs() {
		return u.RequestURI()
	}
	return r.RequestURI
}

// ownerOf returns whose answer a head belongs to. A head that carries a MAC but names no
// attempt is of an upstream that does not follow its protocol.
func ownerOf(attempt id.Attempt, status int, h http.Header) http1.Owner {
	head := platform.ParseUpstreamHead(status, h, false)
	switch {
	case attempt == "" || head.Attempt == attempt:
		return http1.OwnAnswer
	case head.Attempt == "" && !head.Authentic:
		return http1.UnnamedAnswer
	}
	return http1.ForeignAnswer
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
		QuietFor: head.QuietFor, Pace: place.Pace(head.Pace),
	}
	switch {
	case head.Misdirected:
		e.Result = steer.Misdirected
	case head.NotRun:
		e.Result = steer.Shed
	case !head.Authentic:
		e.Result, e.Err = steer.NoAnswer, errUnauthentic
	case platform.PromisesNotRun(a.Status):
		e.Result, e.Err = steer.NoAnswer, errUnmarkedRefusal
	case a.Status == http.StatusGatewayTimeout:
		e.Result = steer.AnsweredTimeout
	case a.Status >= http.StatusInternalServerError:
		e.Result = steer.AnsweredFailure
	default:
		e.Rejected = a.Status >= http.StatusMultipleChoices
	}
	delivered := e.Result == steer.Answered || e.Result == steer.AnsweredFailure || e.Result == steer.AnsweredTimeout
	if !delivered && a.Rest != nil {
		a.Rest.Close()
	}
	return e
}
