package loadmodel

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	// probeBytes is the size of a question for the load and its answer, without those of
	// the lower layers.
	probeBytes = 100
	// probesPerRequest is the number of upstreams asked for a request at most, maxSampleAge
	// the age of a report from which they are asked: about the time of one known request.
	probesPerRequest = 2
	maxSampleAge     = 200 * time.Millisecond
)

// sampleReports asks the upstreams that the host would choose for a request for their load,
// if the last report is older than maxSampleAge. The question takes no time here.
func (m *model) sampleReports(h *entryHost, c *class, object id.Object) {
	q := &place.Query{Service: c.Service, Release: currentRelease, Route: m.state.Routes[0], Object: object, Remaining: c.Timeout}
	for range probesPerRequest {
		choice, status := h.placer.Choose(q, m.now)
		if status != place.Chosen {
			return
		}
		choice.Done()
		if _, age := choice.Load(m.now); age <= maxSampleAge {
			return
		}
		running, waiting := m.byID[choice.Upstream.Info.ID].load()
		choice.Upstream.RecordReport(running, waiting, m.now)
		m.countBytes(probeBytes)
	}
}

func (m *model) countBytes(n int) {
	if m.now >= m.measuredFrom {
		m.result.ReportBytes += n
	}
}

// writeOverload writes what is reported for patterns of overload only.
func (c Comparison) writeOverload(w io.Writer) error {
	if len(c.Policies) == 0 || len(c.Policies[0].Runs) == 0 || c.Policies[0].Runs[0].UpperBound == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "policy\tupper bound\tlast %d s\tmedian ms\tp99 ms\tarrivals\tturned away\tbytes added\n", recoverySeconds)
	for i := range c.Policies {
		p := &c.Policies[i]
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%d\t%d\t%d\n", p.Policy.Name, p.mean(func(r *Result) float64 { return r.UpperBound }),
			p.mean(func(r *Result) float64 { return r.LastEarned }), p.mean(func(r *Result) float64 { return float64(r.MedianMs) }),
			p.mean(func(r *Result) float64 { return float64(r.P99Ms) }), p.total(func(r *Result) int { return r.UpstreamArrivals }),
			p.total(func(r *Result) int { return r.TurnedAway }), p.total(func(r *Result) int { return r.ReportBytes }))
	}
	return t.Flush()
}
