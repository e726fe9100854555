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

// NamedPolicy is a policy that can be asked for by name.
type NamedPolicy struct {
	Name        string       `json:"name"`
	Description string       `json:"tells"`
	Policy      place.Policy `json:"policy"`
}

// Policies returns the policies that can be compared, the one in use first.
func Policies() []NamedPolicy {
	vary := func(name, tells string, change func(*place.Policy)) NamedPolicy {
		p := place.DefaultPolicy()
		change(&p)
		return NamedPolicy{name, tells, p}
	}
	return []NamedPolicy{
		vary("default", "as hosts decide", func(*place.Policy) {}),
		vary("owner_only", "the owner of an object alone", func(p *place.Policy) { p.Candidates = 1 }),
		vary("four_candidates", "four upstreams for each object", func(p *place.Policy) { p.Candidates = 4 }),
		vary("deep_unknown", "unknown objects wait as long as known ones", func(p *place.Policy) { p.UnknownQueueDepth = p.QueueDepth }),
		vary("shallow_unknown", "unknown objects never wait", func(p *place.Policy) { p.UnknownQueueDepth = 1 }),
		vary("free_cold", "a cold start elsewhere weighs nothing", func(p *place.Policy) { p.ColdPenalty = 0 }),
		vary("dear_cold", "a cold start elsewhere weighs two cold runs", func(p *place.Policy) { p.ColdPenalty = 2 }),
	}
}

// PolicyByName returns the policy of a name.
func PolicyByName(name string) (NamedPolicy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return NamedPolicy{}, fmt.Errorf("%w: policy %q", ErrPattern, name)
}

// Experiment compares policies on the same arrivals.
type Experiment struct {
	Pattern  Pattern
	Policies []NamedPolicy
	// Seeds are those of the runs; each policy plays all of them.
	Seeds []uint64
}

// Outcome is what an experiment found.
type Outcome struct {
	Pattern  string          `json:"pattern"`
	Seeds    []uint64        `json:"seeds"`
	Policies []PolicyOutcome `json:"policies"`
}

// PolicyOutcome holds the runs of one policy, in the order of the seeds, and
// their mean worth.
type PolicyOutcome struct {
	Policy NamedPolicy `json:"policy"`
	Runs   []Result    `json:"runs"`
	Mean   float64     `json:"mean_earned"`
	// WorstRegion, WorstSecond and WorstAccount are means, too.
	WorstRegion  float64 `json:"mean_worst_region"`
	WorstSecond  float64 `json:"mean_worst_second"`
	WorstAccount float64 `json:"mean_worst_account"`
}

// Run plays the experiment.
func (e Experiment) Run() Outcome {
	out := Outcome{Pattern: e.Pattern.Name, Seeds: e.Seeds}
	for _, p := range e.Policies {
		o := PolicyOutcome{Policy: p}
		for _, seed := range e.Seeds {
			o.Runs = append(o.Runs, run(e.Pattern, p.Policy, seed).summed())
		}
		o.Mean = o.mean(func(r *Result) float64 { return r.Earned })
		o.WorstRegion = o.mean(func(r *Result) float64 { return r.WorstRegion })
		o.WorstSecond = o.mean(func(r *Result) float64 { return r.WorstSecond })
		o.WorstAccount = o.mean(func(r *Result) float64 { return r.WorstAccount })
		out.Policies = append(out.Policies, o)
	}
	return out
}

func (o *PolicyOutcome) mean(figure func(*Result) float64) float64 {
	sum := 0.0
	for i := range o.Runs {
		sum += figure(&o.Runs[i])
	}
	return sum / float64(max(len(o.Runs), 1))
}

func (o *PolicyOutcome) total(figure func(*Result) int) int {
	sum := 0
	for i := range o.Runs {
		sum += figure(&o.Runs[i])
	}
	return sum
}

// WriteText writes the outcome as a table.
func (o Outcome) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	seeds := strings.Trim(fmt.Sprint(o.Seeds), "[]")
	_, _ = fmt.Fprintf(t, "pattern %s, seeds %s\n", o.Pattern, seeds)
	_, _ = fmt.Fprintln(t, "policy\tearned\tworst region\tworst second\tworst account\tin time\tlate\trefused\tfailed\tover quota")
	for i := range o.Policies {
		p := &o.Policies[i]
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\n", p.Policy.Name, p.Mean, p.WorstRegion, p.WorstSecond, p.WorstAccount,
			p.total(func(r *Result) int { return r.InTime }), p.total(func(r *Result) int { return r.Late }),
			p.total(func(r *Result) int { return r.Refused }), p.total(func(r *Result) int { return r.Failed }),
			p.total(func(r *Result) int { return r.OverQuota }))
	}
	return t.Flush()
}

// WriteJSON writes the outcome with all runs.
func (o Outcome) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(o) }

// Size of a plot, in pixels.
const plotWidth, plotHeight = 900, 420

// WriteSVG draws the worth that was earned in each second, a line for each policy.
func (o Outcome) WriteSVG(w io.Writer) error {
	plot := chart.Chart{
		Title: "Worth earned in each second: " + o.Pattern, Width: plotWidth, Height: plotHeight,
		XAxis:      chart.XAxis{Name: "seconds"},
		YAxis:      chart.YAxis{Name: "part of the worth owed", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
		Background: chart.Style{Padding: chart.Box{Top: 60, Left: 20}},
	}
	colors := []drawing.Color{chart.ColorBlue, chart.ColorOrange, chart.ColorGreen, chart.ColorRed, chart.ColorCyan, chart.ColorBlack}
	for i := range o.Policies {
		seconds, parts := o.Policies[i].bySecond()
		plot.Series = append(plot.Series, chart.ContinuousSeries{
			Name: o.Policies[i].Policy.Name, XValues: seconds, YValues: parts,
			Style: chart.Style{StrokeColor: colors[i%len(colors)], StrokeWidth: 2},
		})
	}
	plot.Elements = []chart.Renderable{chart.Legend(&plot)}
	if err := plot.Render(chart.SVG, w); err != nil {
		return oops.Code("plot").Wrapf(err, "drawing the plot")
	}
	return nil
}

// bySecond returns the part of the worth earned in each second, over all runs.
func (o *PolicyOutcome) bySecond() (seconds, parts []float64) {
	for i := range o.Runs[0].bySecond {
		var sum worth
		for _, r := range o.Runs {
			sum.earned += r.bySecond[i].earned
			sum.owed += r.bySecond[i].owed
		}
		if sum.owed >= leastRequests {
			seconds, parts = append(seconds, float64(i)), append(parts, sum.part())
		}
	}
	return slices.Clip(seconds), slices.Clip(parts)
}
