package edge

import (
	"context"
	"encoding/json"
	"net/http"

	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/platform"
)

// handler passes clients' requests to the steerer and encodes its decisions.
type handler struct {
	host *Host
	log  *requestLog
}

// Handle implements http1.Handler.
func (h *handler) Handle(ctx context.Context, c *http1.Call) http1.Reply {
	head := platform.ParseClientHead(c.Request.Header)
	request := &steer.Request{
		Attempt: head.Attempt, VirtualHost: c.Request.Host, Path: c.Request.URL.Path, Object: head.Object,
		Key: head.Key, HasKey: head.HasKey, Remaining: head.Remaining, Arrived: c.Arrived,
		BodyBytes: max(c.Request.ContentLength, int64(len(c.Body))), Replayable: c.Rest == nil, EarlierDone: c.EarlierDone,
	}
	d := h.host.steerer.Serve(context.WithValue(ctx, callKey{}, c), request)
	took := h.host.clock.Now().Sub(c.Arrived)
	h.host.metrics.count(d.Outcome)
	h.host.metrics.attempts.Inc(int64(d.Attempts))
	h.host.metrics.countHedge(&d.Hedge)
	h.host.metrics.latency.Update(took.Microseconds())
	h.log.logDecision(request, &d, took)
	return encodeReply(head, &d)
}

// statuses maps the outcomes that this host answers itself to status codes. Only the
// codes of requests that have not run promise the client that the request never
// will; those of Failed and TimedOut do not.
var statuses = map[steer.Outcome]int{
	steer.UnknownRoute: http.StatusNotFound,
	steer.UnknownKey:   http.StatusUnauthorized,
	steer.OverQuota:    http.StatusTooManyRequests,
	steer.Refused:      http.StatusServiceUnavailable,
	steer.Failed:       http.StatusBadGateway,
	steer.TimedOut:     http.StatusGatewayTimeout,
}

// encodeReply encodes a decision as the reply to the client.
func encodeReply(head platform.ClientHead, d *steer.Decision[*http1.Answer]) http1.Reply {
	if d.Outcome == steer.ClientLeft {
		return http1.Reply{Abort: true}
	}
	if d.Outcome == steer.Delivered {
		a := d.Answer
		return http1.Reply{Status: a.Status, Header: platform.ClientAnswerHeader(a.Header), Body: a.Body, Rest: a.Rest, Length: a.Length}
	}
	body, err := json.Marshal(struct {
		Error steer.Reason `json:"error"`
	}{d.Reason})
	if err != nil {
		body = nil
	}
	return http1.Reply{
		Status: statuses[d.Outcome], Header: platform.HostAnswerHeader(head.Attempt, d.RetryAfter), Body: append(body, '\n'),
	}
}
