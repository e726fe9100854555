package edge

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"celerypin.example/celerypin/internal/protocol/where"
	"celerypin.example/celerypin/internal/transport/route"
	"celerypin.example/celerypin/pkg/coordination/steer"
)

// MetricsPath is the path that serves the metrics as text.
const MetricsPath = "/metrics"

// hostMetrics holds the metrics of clients' requests and directory queries;
// docs/METRICS.md lists them.
type hostMetrics struct {
	delivered, refused, overQuota, failed, denied, clientLeft metrics.Counter
	attempts, directory                                       metrics.Counter
	windowsReported, windowsLeftOut, windowsLate              metrics.Counter
	hedgesSent, hedgesWon, hedgesWasted, hedgesSuppressed     metrics.Counter
	dialed, panics, dutyHeld, dutyToken, storeEra             metrics.Gauge
	latency                                                   metrics.Histogram
}

// latencySample is the number of latencies in the histogram's sample.
const latencySample = 512

func newHostMetrics(r metrics.Registry) hostMetrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return hostMetrics{
		delivered: counter("requests.delivered"), refused: counter("requests.refused"), overQuota: counter("requests.over_quota"),
		failed: counter("requests.failed"), denied: counter("requests.denied"), clientLeft: counter("requests.client_left"),
		attempts: counter("upstreams.attempts"), directory: counter("directory.answers"),
		hedgesSent: counter("hedges.sent"), hedgesWon: counter("hedges.won"), hedgesWasted: counter("hedges.wasted_ms"), hedgesSuppressed: counter("hedges.suppressed"),
		windowsReported: counter("usage.windows_reported"), windowsLeftOut: counter("usage.windows_left_out"), windowsLate: counter("usage.windows_late"),
		dialed:   metrics.NewRegisteredGauge("upstreams.connections_made", r),
		panics:   metrics.NewRegisteredGauge("host.panics", r),
		dutyHeld: metrics.NewRegisteredGauge("duty.held", r), dutyToken: metrics.NewRegisteredGauge("duty.token", r),
		storeEra: metrics.NewRegisteredGauge("store.era", r),
		latency:  metrics.NewRegisteredHistogram("requests.latency_us", r, metrics.NewUniformSample(latencySample)),
	}
}

// count counts a request under its outcome.
func (m *hostMetrics) count(outcome steer.Outcome) {
	switch outcome {
	case steer.Delivered:
		m.delivered.Inc(1)
	case steer.Refused:
		m.refused.Inc(1)
	case steer.OverQuota:
		m.overQuota.Inc(1)
	case steer.Failed, steer.TimedOut:
		m.failed.Inc(1)
	case steer.UnknownRoute, steer.UnknownKey:
		m.denied.Inc(1)
	case steer.ClientLeft:
		m.clientLeft.Inc(1)
	}
}

func (h *Host) metricsRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(MetricsPath, route.Handler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(h.metricsText()))
	}))
	router.GET(where.Path, route.Handler(h.serveWhere))
	return router
}

// metricsText returns one line for each metric: name, space, value.
func (h *Host) metricsText() string {
	var b strings.Builder
	h.registry.Each(func(name string, value any) {
		switch m := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(&b, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			fmt.Fprintf(&b, "%s %d\n", name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			fmt.Fprintf(&b, "%s.count %d\n%s.p50 %.0f\n%s.p99 %.0f\n", name, s.Count(), name, s.Percentile(0.5), name, s.Percentile(0.99))
		}
	})
	return b.String()
}
