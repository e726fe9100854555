package demo

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/standin/caller"
	"celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
)

const second = clock.Instant(time.Second)

func served(tag string, kind caller.Kind, at clock.Instant) caller.Record {
	return caller.Record{Account: "parish", Tag: tag, Kind: kind, Start: at, Sent: at, End: at + second/100, Result: caller.Served}
}

// TestReportFindsViolations checks that the report finds the broken promise in each set of
// records, and none in correct records.
func TestReportFindsViolations(t *testing.T) {
	accounts := []config.Account{{ID: "parish", RatePerSecond: 2, Burst: 2}}
	refused := served("r", caller.Swap, 0)
	refused.Result = caller.RefusedNotRun
	crossed := served("c", caller.Read, 0)
	crossed.Crossed = true
	var burst []caller.Record
	var ran []upstream.Execution
	for _, tag := range []string{"1", "2", "3", "4"} {
		burst = append(burst, served(tag, caller.Read, second))
		ran = append(ran, upstream.Execution{Tag: tag})
	}
	for _, c := range []struct {
		name     string
		observed observations
		want     string
	}{
		{"nothing", observations{}, ""},
		{"ran twice", observations{records: []caller.Record{served("a", caller.Swap, 0)}, journal: []upstream.Execution{{Tag: "a"}, {Tag: "a"}}}, "doubled"},
		{"read ran twice", observations{records: []caller.Record{served("a", caller.Read, 0)}, journal: []upstream.Execution{{Tag: "a"}, {Tag: "a"}}}, ""},
		{"ran nowhere", observations{records: []caller.Record{served("a", caller.Upload, 0)}}, "lost"},
		{"answer of another request", observations{records: []caller.Record{crossed}, journal: []upstream.Execution{{Tag: "c"}}}, "crossed"},
		{"refused but ran", observations{records: []caller.Record{refused}, journal: []upstream.Execution{{Tag: "r"}}}, "not_run_but_ran"},
		{"key forwarded", observations{keys: []string{"the-key"}, received: []string{"X: the-key"}}, "key_leaks"},
		{"over the rate", observations{accounts: accounts, records: burst, journal: ran}, "over_rate"},
		{"within the burst", observations{accounts: accounts, records: burst[:2], journal: ran}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := strings.Join(c.observed.report().Violations(), ","); got != c.want {
				t.Errorf("got violations %q, want %q", got, c.want)
			}
		})
	}
}

func TestReportFormat(t *testing.T) {
	observed := observations{
		accounts: []config.Account{{ID: "parish", RatePerSecond: 2, Burst: 2}},
		records:  []caller.Record{served("a", caller.Read, 0), {Account: "parish", Tag: "b", Result: caller.OutcomeUnknown}},
		journal:  []upstream.Execution{{Tag: "a"}},
	}
	data, err := json.MarshalIndent(observed.report(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := observed.report().WriteText(&text); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "report.golden", []byte(string(data)+"\n\n"+text.String()))
}

// TestPromisesHoldInDemo runs the whole deployment with each fault, and checks the
// promises in the records of callers and upstreams.
func TestPromisesHoldInDemo(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	for _, fault := range []Fault{FaultNone, FaultKillHost, FaultStopHost, FaultStoreUnavailable, FaultStoreSilent} {
		t.Run(string(fault), func(t *testing.T) {
			document, err := Default()
			if err != nil {
				t.Fatal(err)
			}
			report, err := Run(context.Background(), document, Options{Duration: 4 * time.Second, Fault: fault, Progress: io.Discard, Log: logging.Discard()})
			if err != nil {
				t.Fatal(err)
			}
			if violations := report.Violations(); len(violations) > 0 || report.Served == 0 {
				t.Errorf("got violations %v and %d served, want no violation and some served: %+v", violations, report.Served, report)
			}
		})
	}
}
