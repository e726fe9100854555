package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestSoak makes short runs of the real program with fixed seeds. Seeds that once
// failed stay in the table, each with its cause.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the processes are not built with the race detector; the full form of the tests runs this")
	}
	program := filepath.Join(t.TempDir(), "celerypin")
	if out, err := exec.Command("go", "build", "-o", program, "celerypin.example/celerypin/cmd/celerypin").CombinedOutput(); err != nil {
		t.Fatalf("got %v building the program, want no error:\n%s", err, out)
	}
	for _, c := range []struct {
		name     string
		seed     uint64
		duration time.Duration
	}{
		{"a few faults", 1, 8 * time.Second},
		// In two of four runs the hot account had 153 requests run within 5 s, where 152
		// are allowed: its demand began at all hosts at once, before they received each
		// other's reports of it.
		{"late reports of sudden demand", 5017, 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("%s, seed %d", c.name, c.seed), func(t *testing.T) {
			report, err := Run(context.Background(), Options{
				Program: program, Seed: c.seed, Duration: c.duration, HostsPerDomain: 1, UpstreamsPerDomain: 2, Callers: 12, Logs: t.TempDir(), Progress: t.Output(),
			})
			if report != nil {
				report.Write(t.Output())
			}
			if err != nil {
				t.Errorf("got %v, want all promises held", err)
			}
		})
	}
}
