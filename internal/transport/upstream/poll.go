package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/upstream"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/state/clock"
)

// Intervals and bounds of polling.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	maxReport    = 64 << 10
	maxPolls     = 16
)

// Poller asks the workers of a picker for health and load.
type Poller struct {
	picker *pick.Picker
	client *http.Client
	clock  clock.Clock
}

// NewPoller returns a poller of the picker's workers.
func NewPoller(picker *pick.Picker, c clock.Clock) *Poller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleLimit}
	return &Poller{picker: picker, client: &http.Client{Transport: transport, Timeout: pollTimeout}, clock: c}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for {
		p.round(ctx)
		if !p.clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

func (p *Poller) round(ctx context.Context) {
	var polls sync.WaitGroup
	free := make(chan struct{}, maxPolls)
	for _, w := range p.picker.Upstreams() {
		free <- struct{}{}
		polls.Go(func() {
			p.poll(ctx, w)
			<-free
		})
	}
	polls.Wait()
}

// poll records one report. A report that fails is no proof against a worker
// that answers requests; requests themselves decide about it.
func (p *Poller) poll(ctx context.Context, w *pick.Upstream) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Info.Address+upstream.ReportPath, nil)
	if err != nil {
		return
	}
	response, err := p.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	report, err := codec.JSON[upstream.Report]{}.Decode(data)
	if err != nil || report.Upstream != w.Info.ID {
		return
	}
	w.Report(report.Busy, report.Draining, p.clock.Now())
}
