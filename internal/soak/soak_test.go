package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestSoak makes short runs of the real program with fixed seeds. Seeds that have
// failed stay here, each with its cause.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the processes are not built with the race detector; the full form of the tests runs this")
	}
	program := filepath.Join(t.TempDir(), "celerypin")
	if out, err := exec.Command("go", "build", "-o", program, "celerypin.example/celerypin/cmd/celerypin").CombinedOutput(); err != nil {
		t.Fatalf("got %v building the program, want no error:\n%s", err, out)
	}
	for _, c := range []struct {
		name string
		seed uint64
		long time.Duration
	}{
		{"a few faults", 1, 8 * time.Second},
		// The hot account had 153 requests run in 5 s, of 152 that are allowed, in two of
		// four plays: all hosts see its demand begin, and hear of the others' late.
		{"sudden demand heard late", 5017, 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("%s, seed %d", c.name, c.seed), func(t *testing.T) {
			report, err := Run(context.Background(), Options{
				Program: program, Seed: c.seed, Duration: c.long, HostsPerDomain: 1, UpstreamsPerDomain: 2, Callers: 12, Logs: t.TempDir(), Progress: t.Output(),
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
