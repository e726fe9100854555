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

func served(mark string, kind caller.Kind, at clock.Instant) caller.Record {
	return caller.Record{Account: "parish", Mark: mark, Kind: kind, Start: at, Sent: at, End: at + second/100, Result: caller.Served}
}

// TestReportSeesBrokenPromises gives the report records of which each breaks one
// promise.
func TestReportSeesBrokenPromises(t *testing.T) {
	accounts := []config.Account{{ID: "parish", RatePerSecond: 2, Burst: 2}}
	refused := served("r", caller.Once, 0)
	refused.Result = caller.RefusedNotRun
	crossed := served("c", caller.Read, 0)
	crossed.Crossed = true
	var burst []caller.Record
	var ran []upstream.Execution
	for _, mark := range []string{"1", "2", "3", "4"} {
		burst = append(burst, served(mark, caller.Read, second))
		ran = append(ran, upstream.Execution{Mark: mark})
	}
	for _, c := range []struct {
		name string
		w    witness
		want string
	}{
		{"nothing", witness{}, ""},
		{"ran twice", witness{records: []caller.Record{served("a", caller.Once, 0)}, journal: []upstream.Execution{{Mark: "a"}, {Mark: "a"}}}, "doubled"},
		{"read ran twice", witness{records: []caller.Record{served("a", caller.Read, 0)}, journal: []upstream.Execution{{Mark: "a"}, {Mark: "a"}}}, ""},
		{"ran nowhere", witness{records: []caller.Record{served("a", caller.Upload, 0)}}, "lost"},
		{"another's answer", witness{records: []caller.Record{crossed}, journal: []upstream.Execution{{Mark: "c"}}}, "crossed"},
		{"refused but ran", witness{records: []caller.Record{refused}, journal: []upstream.Execution{{Mark: "r"}}}, "not_run_but_ran"},
		{"key sent on", witness{keys: []string{"the-key"}, received: []string{"X: the-key"}}, "key_leaks"},
		{"over the rate", witness{accounts: accounts, records: burst, journal: ran}, "over_rate"},
		{"within the burst", witness{accounts: accounts, records: burst[:2], journal: ran}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := strings.Join(c.w.report().Violations(), ","); got != c.want {
				t.Errorf("got %q broken, want %q", got, c.want)
			}
		})
	}
}

func TestReportForm(t *testing.T) {
	w := witness{
		accounts: []config.Account{{ID: "parish", RatePerSecond: 2, Burst: 2}},
		records:  []caller.Record{served("a", caller.Read, 0), {Account: "parish", Mark: "b", Result: caller.OutcomeUnknown}},
		journal:  []upstream.Execution{{Mark: "a"}},
	}
	data, err := json.MarshalIndent(w.report(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := w.report().WriteText(&text); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "report.golden", []byte(string(data)+"\n\n"+text.String()))
}

// TestPromisesHoldInDemo runs the whole deployment with each fault, and lets
// callers and upstreams tell whether a promise was broken.
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
			if broken := report.Violations(); len(broken) > 0 || report.Served == 0 {
				t.Errorf("got %v broken and %d served, want none broken: %+v", broken, report.Served, report)
			}
		})
	}
}
