package loadmodel

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/samber/oops"
	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"celerypin.example/celerypin/pkg/coordination/place"
)

// NamedPolicy is a placement policy with its name and description.
type NamedPolicy struct {
	Name        string       `json:"name"`
	Description string       `json:"tells"`
	Policy      place.Policy `json:"policy"`
	// SampledReports makes hosts ask upstreams for their load before a request, if the
	// last report is old.
	SampledReports bool `json:"sampled_reports,omitempty"`
}

// Policies returns all policies. The first is the one that hosts use.
func Policies() []NamedPolicy {
	variant := func(name, description string, modify func(*place.Policy)) NamedPolicy {
		p := place.DefaultPolicy()
		modify(&p)
		return NamedPolicy{Name: name, Description: description, Policy: p}
	}
	return []NamedPolicy{
		variant("default", "as hosts decide", func(*place.Policy) {}),
		variant("owner_only", "the owner of an object alone", func(p *place.Policy) { p.Candidates = 1 }),
		variant("four_candidates", "four upstreams for each object", func(p *place.Policy) { p.Candidates = 4 }),
		variant("deep_unknown", "unknown objects wait as long as known ones", func(p *place.Policy) { p.UnknownDepth = p.QueueDepth }),
		variant("shallow_unknown", "unknown objects never wait", func(p *place.Policy) { p.UnknownDepth = 1 }),
		variant("free_cold", "a cold start elsewhere weighs nothing", func(p *place.Policy) { p.ColdPenalty = 0 }),
		variant("dear_cold", "a cold start elsewhere weighs two cold runs", func(p *place.Policy) { p.ColdPenalty = 2 }),
		{"sampled_reports", "hosts ask two upstreams for their load, if the last report is old", place.DefaultPolicy(), true},
	}
}

// PolicyByName returns the policy with the given name, or an error that matches
// ErrUnknownName.
func PolicyByName(name string) (NamedPolicy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return NamedPolicy{}, fmt.Errorf("%w: policy %q", ErrUnknownName, name)
}

// Experiment compares policies on the same arrivals.
type Experiment struct {
	Pattern  Pattern
	Policies []NamedPolicy
	// Seeds are the seeds of the runs. Each policy runs with all of them.
	Seeds []uint64
}

// Comparison is the result of an experiment.
type Comparison struct {
	Pattern  string       `json:"pattern"`
	Seeds    []uint64     `json:"seeds"`
	Policies []PolicyRuns `json:"policies"`
}

// PolicyRuns holds the runs of one policy, in the order of the seeds, and the
// means of their results.
type PolicyRuns struct {
	Policy NamedPolicy `json:"policy"`
	Runs   []Result    `json:"runs"`
	// The means are taken over all runs, each of the field of Result that it names.
	MeanEarned       float64 `json:"mean_earned"`
	MeanWorstRegion  float64 `json:"mean_worst_region"`
	MeanWorstSecond  float64 `json:"mean_worst_second"`
	MeanWorstAccount float64 `json:"mean_worst_account"`
}

// Run simulates all runs of the experiment.
func (e Experiment) Run() Comparison {
	out := Comparison{Pattern: e.Pattern.Name, Seeds: e.Seeds}
	for _, p := range e.Policies {
		policyRuns := PolicyRuns{Policy: p}
		for _, seed := range e.Seeds {
			policyRuns.Runs = append(policyRuns.Runs, run(e.Pattern, p, 0, seed).withSummary())
		}
		policyRuns.MeanEarned = policyRuns.mean(func(r *Result) float64 { return r.Earned })
		policyRuns.MeanWorstRegion = policyRuns.mean(func(r *Result) float64 { return r.WorstRegion })
		policyRuns.MeanWorstSecond = policyRuns.mean(func(r *Result) float64 { return r.WorstSecond })
		policyRuns.MeanWorstAccount = policyRuns.mean(func(r *Result) float64 { return r.WorstAccount })
		out.Policies = append(out.Policies, policyRuns)
	}
	return out
}

func (p *PolicyRuns) mean(value func(*Result) float64) float64 {
	sum := 0.0
	for i := range p.Runs {
		sum += value(&p.Runs[i])
	}
	return sum / float64(max(len(p.Runs), 1))
}

func (p *PolicyRuns) total(value func(*Result) int) int {
	sum := 0
	for i := range p.Runs {
		sum += value(&p.Runs[i])
	}
	return sum
}

// WriteText writes the outcome as a text table.
func (c Comparison) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	seeds := strings.Trim(fmt.Sprint(c.Seeds), "[]")
	_, _ = fmt.Fprintf(t, "pattern %s, seeds %s\n", c.Pattern, seeds)
	_, _ = fmt.Fprintln(t, "policy\tearned\tworst region\tworst second\tworst account\tin time\tlate\trefused\tfailed\tover quota")
	for i := range c.Policies {
		p := &c.Policies[i]
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\n", p.Policy.Name, p.MeanEarned, p.MeanWorstRegion, p.MeanWorstSecond, p.MeanWorstAccount,
			p.total(func(r *Result) int { return r.InTime }), p.total(func(r *Result) int { return r.Late }),
			p.total(func(r *Result) int { return r.Refused }), p.total(func(r *Result) int { return r.Failed }),
			p.total(func(r *Result) int { return r.OverQuota }))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return c.writeOverload(w)
}

// WriteJSON writes the outcome with the results of all runs.
func (c Comparison) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(c) }

// Size of a plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 420
)

// WriteSVG plots the fraction of the worth that was earned in each second, with a
// line for each policy.
func (c Comparison) WriteSVG(w io.Writer) error {
	plot := chart.Chart{
		Title: "Worth earned in each second: " + c.Pattern, Width: plotWidth, Height: plotHeight,
		XAxis:      chart.XAxis{Name: "seconds"},
		YAxis:      chart.YAxis{Name: "fraction of the total worth", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
		Background: chart.Style{Padding: chart.Box{Top: 60, Left: 20}},
	}
	colors := []drawing.Color{chart.ColorBlue, chart.ColorOrange, chart.ColorGreen, chart.ColorRed, chart.ColorCyan, chart.ColorBlack}
	for i := range c.Policies {
		seconds, fractions := c.Policies[i].bySecond()
		plot.Series = append(plot.Series, chart.ContinuousSeries{
			Name: c.Policies[i].Policy.Name, XValues: seconds, YValues: fractions,
			Style: chart.Style{StrokeColor: colors[i%len(colors)], StrokeWidth: 2},
		})
	}
	plot.Elements = []chart.Renderable{chart.Legend(&plot)}
	if err := plot.Render(chart.SVG, w); err != nil {
		return oops.Code("plot").Wrapf(err, "drawing the plot")
	}
	return nil
}

// bySecond returns the earned fraction of the worth in each second, over all runs. It
// omits seconds with a total worth below minWorth.
func (p *PolicyRuns) bySecond() (seconds, fractions []float64) {
	for i := range p.Runs[0].bySecond {
		var sum worth
		for _, r := range p.Runs {
			sum.earned += r.bySecond[i].earned
			sum.total += r.bySecond[i].total
		}
		if sum.total >= minWorth {
			seconds, fractions = append(seconds, float64(i)), append(fractions, sum.fraction())
		}
	}
	return slices.Clip(seconds), slices.Clip(fractions)
}
