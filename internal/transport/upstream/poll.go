package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/upstream"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/state/clock"
)

// Limits of polling.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	// maxReportBytes is the largest report that is read.
	maxReportBytes = 64 << 10
	// maxConcurrentPolls bounds the polls that run at once.
	maxConcurrentPolls = 16
)

// Poller polls the upstreams of a picker for their health and load.
type Poller struct {
	picker *pick.Picker
	client *http.Client
	clock  clock.Clock
}

// NewPoller returns a poller of the picker's upstreams.
func NewPoller(picker *pick.Picker, c clock.Clock) *Poller {
	transport := http1.NewTransport(&http1.Dialer{}, &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: maxIdleAge, MaxResponseHeaderBytes: maxHeaderBytes})
	return &Poller{picker: picker, client: &http.Client{Transport: transport, Timeout: pollTimeout}, clock: c}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for {
		p.pollAll(ctx)
		if !p.clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// pollAll polls each upstream once.
func (p *Poller) pollAll(ctx context.Context) {
	var polls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for _, u := range p.picker.Upstreams() {
		slots <- struct{}{}
		polls.Go(func() {
			p.poll(ctx, u)
			<-slots
		})
	}
	polls.Wait()
}

// poll records the report of one upstream. A failed poll is ignored: the upstream may
// still answer requests, and the outcome of requests decides about its health.
func (p *Poller) poll(ctx context.Context, u *pick.Upstream) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Info.Address+upstream.ReportPath, nil)
	if err != nil {
		return
	}
	response, err := p.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	report, err := codec.JSON[upstream.Report]{}.Decode(data)
	if err != nil || report.Upstream != u.Info.ID {
		return
	}
	u.RecordReport(report.Busy, report.Draining, p.clock.Now())
}
