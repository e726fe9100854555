package edge

import (
	"os"
	"strings"
	"testing"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/platform"
)

// TestMetricsPageListsAllMetrics compares docs/METRICS.md with the registered metrics.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	h := New(platform.Settings{Host: "a", Region: "r", FailureDomain: "d"}, clock.System{}, logging.Discard())
	defer h.mesh.Close()
	seen := 0
	h.registry.Each(func(name string, _ any) {
		seen++
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("got no %q on the page, want every metric", name)
		}
	})
	if want := strings.Count(string(page), "| `") + 1; seen != want {
		t.Errorf("got %d metrics, want the %d of the page", seen, want)
	}
}
