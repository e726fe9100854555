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

// Report is what callers and upstreams recorded. None of it comes from the
// path's own counters.
type Report struct {
	Served         int `json:"served"`
	RefusedNotRun  int `json:"refused_not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`
	Unreached      int `json:"unreached"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int `json:"doubled"`
	// Lost counts requests that were answered but ran nowhere.
	Lost int `json:"lost"`
	// Crossed counts answers that were not whole or belong to other requests.
	Crossed int `json:"crossed"`
	// NotRunButRan counts refusals that say "not run" of requests that ran.
	NotRunButRan int `json:"not_run_but_ran"`
	// OverRate counts accounts that got provably more than their rate and burst.
	OverRate int `json:"over_rate"`
	// KeyLeaks counts upstreams that were sent a caller's key.
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

// AccountReport is the part of a report that concerns one account.
type AccountReport struct {
	Account        id.Account `json:"account"`
	Served         int        `json:"served"`
	RefusedNotRun  int        `json:"refused_not_run"`
	OutcomeUnknown int        `json:"outcome_unknown"`
	OverRate       bool       `json:"over_rate"`
}

// Violations names the promises that did not hold.
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

// witness holds what callers and upstreams recorded.
type witness struct {
	records  []caller.Record
	journal  []upstream.Execution
	received []string
	keys     []string
	accounts []config.Account
}

// Bounds of the latency histogram, in microseconds.
const (
	shortestLatency = 1
	longestLatency  = 60_000_000
	latencyDigits   = 3
)

func (w witness) report() Report {
	var r Report
	ran := map[string]int{}
	for _, e := range w.journal {
		ran[e.Mark]++
	}
	histogram := hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)
	for _, rec := range w.records {
		r.count(rec, ran[rec.Mark])
		if rec.Result == caller.Served {
			_ = histogram.RecordValue(rec.End.Sub(rec.Start).Microseconds())
		}
	}
	r.LatencyMS = quantiles(histogram)
	r.KeyLeaks = w.leaks()
	r.Accounts = w.perAccount()
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

func (w witness) leaks() int {
	leaks := 0
	for _, text := range w.received {
		if slices.ContainsFunc(w.keys, func(key string) bool { return strings.Contains(text, key) }) {
			leaks++
		}
	}
	return leaks
}

func (w witness) perAccount() []AccountReport {
	var out []AccountReport
	for _, account := range w.accounts {
		a := AccountReport{Account: account.ID}
		var served []caller.Record
		for _, rec := range w.records {
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
		a.OverRate = overRate(served, account)
		out = append(out, a)
	}
	return out
}

// overRate tells whether some window provably holds more admissions than the
// account's rate and burst allow. An admission lies between the sending of the
// request and the arrival of its answer; a window counts only those that lie
// wholly within it, so a busy machine cannot make the test fail.
func overRate(served []caller.Record, account config.Account) bool {
	byEnd := slices.SortedFunc(slices.Values(served), func(a, b caller.Record) int { return cmp.Compare(a.End, b.End) })
	for _, first := range served {
		count := int64(0)
		for _, rec := range byEnd {
			if rec.Sent < first.Sent {
				continue
			}
			count++
			if count > allowed(account, first.Sent, rec.End) {
				return true
			}
		}
	}
	return false
}

func allowed(account config.Account, from, to clock.Instant) int64 {
	window := to.Sub(from)
	return account.Burst + int64(float64(account.RatePerSecond)*window.Seconds()) + 1
}

// WriteText writes the report for people.
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

// roundUp makes a duration a whole number of seconds, for display.
func roundUp(d time.Duration) time.Duration { return (d + time.Second - 1).Truncate(time.Second) }
