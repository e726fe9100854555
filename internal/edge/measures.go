package edge

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"celerypin.example/celerypin/internal/transport/route"
	"celerypin.example/celerypin/pkg/coordination/steer"
)

// MetricsPath is where metrics are read, as text.
const MetricsPath = "/metrics"

// measures are the metrics of the path; docs/METRICS.md lists them.
type measures struct {
	delivered, refused, overQuota, failed, denied, gone metrics.Counter
	attempts, directory                                 metrics.Counter
	dialed                                              metrics.Gauge
	latency                                             metrics.Histogram
}

// latencySample is the number of latencies that the histogram keeps.
const latencySample = 512

func newMeasures(r metrics.Registry) measures {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return measures{
		delivered: counter("requests.delivered"), refused: counter("requests.refused"), overQuota: counter("requests.over_quota"),
		failed: counter("requests.failed"), denied: counter("requests.denied"), gone: counter("requests.client_left"),
		attempts: counter("upstreams.attempts"), directory: counter("directory.answers"),
		dialed:  metrics.NewRegisteredGauge("upstreams.connections_made", r),
		latency: metrics.NewRegisteredHistogram("requests.latency_us", r, metrics.NewUniformSample(latencySample)),
	}
}

func (m *measures) count(fate steer.Outcome) {
	switch fate {
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
		m.gone.Inc(1)
	}
}

func (e *Edge) metricsRoutes() http.Handler {
	router := bunrouter.New()
	router.GET(MetricsPath, route.Handler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(e.metricsText()))
	}))
	return router
}

// metricsText writes one line for each figure: name, space, value.
func (e *Edge) metricsText() string {
	var b strings.Builder
	e.metrics.Each(func(name string, value any) {
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
