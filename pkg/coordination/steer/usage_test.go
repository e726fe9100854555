package steer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/usage"
)

// TestUsageOfEachOutcome guards against counts of requests that did not run, and against
// requests that ran and are not counted, for each way in which an exchange may end.
func TestUsageOfEachOutcome(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name, path, key string
		script          []Result
	}{
		{"served", "/look/1", "k", nil},
		{"failed at the upstream", "/swap/1", "k", []Result{AnsweredFailure}},
		{"timed out at the upstream", "/swap/1", "k", []Result{AnsweredTimeout}},
		{"answer lost", "/swap/1", "k", []Result{NoAnswer}},
		{"answer lost once, served", "/look/1", "k", []Result{NoAnswer}},
		{"shed, served", "/swap/1", "k", []Result{Shed}},
		{"shed twice", "/swap/1", "k", []Result{Shed, Shed}},
		{"misdirected, served", "/swap/1", "k", []Result{Misdirected}},
		{"not sent, served", "/swap/1", "k", []Result{NotSent}},
		{"no key on an open route", "/open/1", "", nil},
		{"unknown key", "/look/1", "x", nil},
	} {
		f := newFixture(c.script...)
		f.Meter = usage.NewMeter(usage.Terms{Window: 5 * time.Second, Due: 10 * time.Second, Tolerance: 0.05})
		from := f.clock.Now()
		f.Serve(context.Background(), f.request(c.path, c.key))
		fmt.Fprintf(&out, "%-26s sends %d, counts %v\n", c.name, len(f.sender.sent), f.Meter.Counts(from, from.Add(10*time.Second)))
	}
	golden.Check(t, "usage.golden", []byte(out.String()))
}
