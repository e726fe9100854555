package demo

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celerypin.example/celerypin/internal/standin/caller"
	"celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

// Report summarizes what callers and upstreams recorded. It uses none of the entry
// hosts' own counters.
type Report struct {
	Served         int `json:"served"`
	RefusedNotRun  int `json:"refused_not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`
	Unreached      int `json:"unreached"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int `json:"doubled"`
	// Lost counts requests that were served but ran at no upstream.
	Lost int `json:"lost"`
	// Crossed counts answers that were incomplete or belong to other requests.
	Crossed int `json:"crossed"`
	// NotRunButRan counts requests that were refused as not run, but ran.
	NotRunButRan int `json:"not_run_but_ran"`
	// OverRate counts accounts that provably exceeded their rate and burst.
	OverRate int `json:"over_rate"`
	// KeyLeaks counts upstreams that received a caller's key.
	KeyLeaks  int             `json:"key_leaks"`
	LatencyMS Quantiles       `json:"latency_ms"`
	Accounts  []AccountReport `json:"accounts"`
}

// Quantiles are quantiles of a latency, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// AccountReport is the part of a report about one account.
type AccountReport struct {
	Account        id.Account `json:"account"`
	Served         int        `json:"served"`
	RefusedNotRun  int        `json:"refused_not_run"`
	OutcomeUnknown int        `json:"outcome_unknown"`
	OverRate       bool       `json:"over_rate"`
}

// Violations returns the names of the promises that did not hold, as in the JSON report.
func (r Report) Violations() []string {
	var out []string
	for _, p := range []struct {
		name  string
		count int
	}{
		{"doubled", r.Doubled}, {"lost", r.Lost}, {"crossed", r.Crossed},
		{"not_run_but_ran", r.NotRunButRan}, {"over_rate", r.OverRate}, {"key_leaks", r.KeyLeaks},
	} {
		if p.count > 0 {
			out = append(out, p.name)
		}
	}
	return out
}

// observations holds the records of callers and upstreams, and what they are checked
// against.
type observations struct {
	records  []caller.Record
	journal  []upstream.Execution
	received []string
	keys     []string
	accounts []config.Account
}

// Range and precision of the latency histogram.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

func (o observations) report() Report {
	var r Report
	ran := map[string]int{}
	for _, e := range o.journal {
		ran[e.Tag]++
	}
	histogram := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	for _, rec := range o.records {
		r.count(rec, ran[rec.Tag])
		if rec.Result == caller.Served {
			_ = histogram.RecordValue(rec.End.Sub(rec.Start).Microseconds())
		}
	}
	r.LatencyMS = quantiles(histogram)
	r.KeyLeaks = o.countKeyLeaks()
	r.Accounts = o.accountReports()
	for _, a := range r.Accounts {
		if a.OverRate {
			r.OverRate++
		}
	}
	return r
}

func (r *Report) count(rec caller.Record, ran int) {
	switch rec.Result {
	case caller.Served:
		r.Served++
		if ran == 0 {
			r.Lost++
		}
	case caller.RefusedNotRun:
		r.RefusedNotRun++
		if ran > 0 {
			r.NotRunButRan++
		}
	case caller.OutcomeUnknown:
		r.OutcomeUnknown++
	default:
		r.Unreached++
	}
	if rec.Kind != caller.Read && ran > 1 {
		r.Doubled++
	}
	if rec.Crossed {
		r.Crossed++
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

func (o observations) countKeyLeaks() int {
	leaks := 0
	for _, text := range o.received {
		if slices.ContainsFunc(o.keys, func(key string) bool { return strings.Contains(text, key) }) {
			leaks++
		}
	}
	return leaks
}

func (o observations) accountReports() []AccountReport {
	var out []AccountReport
	for _, account := range o.accounts {
		a := AccountReport{Account: account.ID}
		var served []caller.Record
		for _, rec := range o.records {
			switch {
			case rec.Account != account.ID:
			case rec.Result == caller.Served:
				a.Served++
				served = append(served, rec)
			case rec.Result == caller.RefusedNotRun:
				a.RefusedNotRun++
			case rec.Result == caller.OutcomeUnknown:
				a.OutcomeUnknown++
			}
		}
		a.OverRate = exceedsRate(served, account)
		out = append(out, a)
	}
	return out
}

// exceedsRate reports whether some window provably contains more admissions than the
// account's rate and burst allow. A request is admitted at some instant between the
// sending of the request and the arrival of its answer. A window counts only requests
// for which both lie within it, so a busy machine cannot cause a false report.
func exceedsRate(served []caller.Record, account config.Account) bool {
	byEnd := slices.SortedFunc(slices.Values(served), func(a, b caller.Record) int { return cmp.Compare(a.End, b.End) })
	for _, first := range served {
		count := int64(0)
		for _, rec := range byEnd {
			if rec.Sent < first.Sent {
				continue
			}
			count++
			if count > maxAdmissions(account, first.Sent, rec.End) {
				return true
			}
		}
	}
	return false
}

// maxAdmissions returns an upper bound for the admissions that the account's rate and
// burst allow in a window.
func maxAdmissions(account config.Account, from, to clock.Instant) int64 {
	window := to.Sub(from)
	return account.Burst + int64(float64(account.RatePerSecond)*window.Seconds()) + 1
}

// WriteText writes the report as text.
func (r Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tSERVED\tREFUSED NOT RUN\tOUTCOME UNKNOWN\tOVER RATE")
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\n", a.Account, a.Served, a.RefusedNotRun, a.OutcomeUnknown, a.OverRate)
	}
	fmt.Fprintf(w, "all\t%d\t%d\t%d\t\n", r.Served, r.RefusedNotRun, r.OutcomeUnknown)
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "latency of served requests, ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, longest %.2f\n"+
		"unreached %d, doubled %d, lost %d, crossed %d, not run but ran %d, over rate %d, key leaks %d\n",
		r.LatencyMS.P50, r.LatencyMS.P90, r.LatencyMS.P99, r.LatencyMS.P999, r.LatencyMS.Max,
		r.Unreached, r.Doubled, r.Lost, r.Crossed, r.NotRunButRan, r.OverRate, r.KeyLeaks)
	return err
}

// roundUpToSecond rounds a duration up to whole seconds, for display.
func roundUpToSecond(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}
