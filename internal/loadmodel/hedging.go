package loadmodel

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"github.com/wcharczuk/go-chart/v2"

	"celerypin.example/celerypin/pkg/coordination/hedge"
)

// HedgeExperiment compares bounds of hedged requests under one policy.
type HedgeExperiment struct {
	Pattern   Pattern
	Policy    NamedPolicy
	Fractions []hedge.Fraction
	// Seeds are the seeds of the runs. Each bound runs with all of them.
	Seeds []uint64
}

// HedgeComparison is the result of a HedgeExperiment.
type HedgeComparison struct {
	Pattern string      `json:"pattern"`
	Policy  string      `json:"policy"`
	Seeds   []uint64    `json:"seeds"`
	Bounds  []BoundRuns `json:"bounds"`
}

// BoundRuns sums the runs of one bound. The latencies are those of the delivered requests
// that may run twice, in milliseconds, as their callers observed them.
type BoundRuns struct {
	Fraction hedge.Fraction `json:"fraction"`
	Requests int            `json:"asked"`
	P50      float64        `json:"p50_ms"`
	P99      float64        `json:"p99_ms"`
	P999     float64        `json:"p99_9_ms"`
	// Copies is the fraction of all requests for which a copy was sent, Won the fraction of
	// the copies whose answer was used.
	Copies float64 `json:"copies"`
	Won    float64 `json:"won"`
	// Suppressed counts the slow requests without a copy by the reason.
	Suppressed map[hedge.Reason]int `json:"suppressed"`
	// SlotTime is the time that upstreams were busy, as a multiple of that of the first bound.
	SlotTime float64 `json:"slot_time"`
	// Unserved are the requests that were refused or failed.
	Unserved int `json:"unserved"`
	// Earned is the mean of the runs' Result.Earned.
	Earned float64 `json:"mean_earned"`
}

// Run simulates all runs of the experiment.
func (e HedgeExperiment) Run() HedgeComparison {
	out := HedgeComparison{Pattern: e.Pattern.Name, Policy: e.Policy.Name, Seeds: e.Seeds}
	var firstBusy time.Duration
	for i, f := range e.Fractions {
		var latencies []time.Duration
		var copies, won int
		var busy time.Duration
		b := BoundRuns{Fraction: f, Suppressed: map[hedge.Reason]int{}}
		for _, seed := range e.Seeds {
			r := run(e.Pattern, e.Policy, f, seed).withSummary()
			latencies = append(latencies, r.repeatable...)
			copies, won, busy = copies+r.copies, won+r.copiesWon, busy+r.busy
			b.Requests, b.Unserved = b.Requests+r.Requests, b.Unserved+r.Refused+r.Failed
			for reason, n := range r.suppressed {
				b.Suppressed[reason] += n
			}
			b.Earned += r.Earned / float64(len(e.Seeds))
		}
		if i == 0 {
			firstBusy = busy
		}
		slices.Sort(latencies)
		b.P50, b.P99, b.P999 = quantileMs(latencies, 0.5), quantileMs(latencies, 0.99), quantileMs(latencies, 0.999)
		b.Copies, b.Won = float64(copies)/float64(max(b.Requests, 1)), float64(won)/float64(max(copies, 1))
		b.SlotTime = float64(busy) / float64(max(firstBusy, 1))
		out.Bounds = append(out.Bounds, b)
	}
	return out
}

// quantileMs returns a quantile of sorted latencies in milliseconds, 0 if there are none.
func quantileMs(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(p*float64(len(sorted)-1))].Microseconds()) / 1000
}

// WriteText writes the outcome as a text table.
func (c HedgeComparison) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "pattern %s, policy %s, seeds %s\n", c.Pattern, c.Policy, strings.Trim(fmt.Sprint(c.Seeds), "[]"))
	_, _ = fmt.Fprintln(t, "bound\trequests\tp50 ms\tp99 ms\tp99.9 ms\tcopies\twon\tslot time\tunserved\tearned\tslow without a copy")
	for i := range c.Bounds {
		b := &c.Bounds[i]
		_, _ = fmt.Fprintf(t, "%.1f %%\t%d\t%.0f\t%.0f\t%.0f\t%.2f %%\t%.0f %%\t%.3f\t%d\t%.3f\t%s\n",
			100*float64(b.Fraction), b.Requests, b.P50, b.P99, b.P999, 100*b.Copies, 100*b.Won, b.SlotTime, b.Unserved, b.Earned, b.reasons())
	}
	return t.Flush()
}

// reasons lists why slow requests had no copy, with their number.
func (b *BoundRuns) reasons() string {
	var out []string
	for _, reason := range slices.Sorted(maps.Keys(b.Suppressed)) {
		out = append(out, fmt.Sprintf("%s %d", reason, b.Suppressed[reason]))
	}
	return strings.Join(out, ", ")
}

// WriteJSON writes the outcome.
func (c HedgeComparison) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(c) }

// WriteSVG plots the quantiles of the latency against the bound.
func (c HedgeComparison) WriteSVG(w io.Writer) error {
	plot := chart.Chart{
		Title: "Latency against the bound of hedged requests: " + c.Pattern, Width: plotWidth, Height: plotHeight,
		XAxis:      chart.XAxis{Name: "bound, % of the requests"},
		YAxis:      chart.YAxis{Name: "latency, ms", Range: &chart.ContinuousRange{Min: 0, Max: c.highest()}},
		Background: chart.Style{Padding: chart.Box{Top: 60, Left: 20}},
	}
	for i, line := range []struct {
		name  string
		value func(*BoundRuns) float64
	}{
		{"p50", func(b *BoundRuns) float64 { return b.P50 }}, {"p99", func(b *BoundRuns) float64 { return b.P99 }},
		{"p99.9", func(b *BoundRuns) float64 { return b.P999 }},
	} {
		series := chart.ContinuousSeries{Name: line.name, Style: chart.Style{StrokeColor: chart.GetDefaultColor(i), StrokeWidth: 2, DotWidth: 3}}
		for j := range c.Bounds {
			series.XValues = append(series.XValues, 100*float64(c.Bounds[j].Fraction))
			series.YValues = append(series.YValues, line.value(&c.Bounds[j]))
		}
		plot.Series = append(plot.Series, series)
	}
	plot.Elements = []chart.Renderable{chart.Legend(&plot)}
	if err := plot.Render(chart.SVG, w); err != nil {
		return oops.Code("plot").Wrapf(err, "drawing the plot")
	}
	return nil
}

// highest returns the upper end of the plot's axis.
func (c HedgeComparison) highest() float64 {
	highest := 1.0
	for i := range c.Bounds {
		highest = max(highest, c.Bounds[i].P999)
	}
	return highest * 1.05
}
