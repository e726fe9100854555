package roster

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// TestUsageRoles guards against counts that reach no host that may hold the duty: in a full
// mesh and with hubs, after the loss of a collector, and beside a build that does not count.
func TestUsageRoles(t *testing.T) {
	var out strings.Builder
	for _, perDomain := range []int{2, 8} {
		c := newCluster(2, perDomain)
		for _, h := range c.hosts {
			h.countsUsage = h.ID != "r1-0-01"
		}
		c.run(6*time.Second, nil)
		write := func(name string) {
			fmt.Fprintf(&out, "%d hosts, %s\n", len(c.hosts), name)
			for _, host := range []id.Host{"r0-0-00", "r0-0-01", "r0-1-01", "r1-0-00", "r1-0-01", "r1-1-00"} {
				if h := c.byID[host]; !h.stopped {
					fmt.Fprintf(&out, "  %s: %+v\n", host, h.roster.UsageRoles(h.readsFailing, false, c.clock.Now()))
				}
			}
		}
		write("all hosts")
		c.byID["r0-0-00"].stopped = true
		c.run(6*time.Second, nil)
		write("without r0-0-00")
		for _, h := range c.hosts {
			roles := h.roster.UsageRoles(false, false, c.clock.Now())
			if reader := h.roster.Reader(false, false, c.clock.Now()); !h.stopped && h.countsUsage && reader != "r1-0-01" && !slices.Contains(roles.Collectors, reader) {
				t.Errorf("%d hosts: %s sends no counts to its reader %s, which may hold the duty: %v", len(c.hosts), h.ID, reader, roles)
			}
		}
	}
	golden.Check(t, "usage_roles.golden", []byte(out.String()))
}

// TestServingHosts guards against a host that has ended and counts as serving, and against one
// that is cut off with its failure domain and counts as ended.
func TestServingHosts(t *testing.T) {
	c := newCluster(2, 2)
	c.run(3*time.Second, nil)
	observer := c.byID["r0-0-00"]
	c.byID["r0-0-01"].stopped = true
	for _, h := range c.hosts {
		h.stopped = h.stopped || h.FailureDomain == "r1-1"
	}
	c.run(5*time.Second, nil)
	now := c.clock.Now()
	presence := func(refused map[id.Host]clock.Instant, host id.Host) usage.Presence {
		for _, s := range observer.roster.ServingHosts(1, refused, now) {
			if s.Host == host {
				return s.Presence
			}
		}
		t.Fatalf("%s is not listed", host)
		return 0
	}
	for host, want := range map[id.Host]usage.Presence{"r0-0-00": usage.InContact, "r0-1-00": usage.InContact, "r0-0-01": usage.Ended, "r1-1-00": usage.InContact} {
		if got := presence(nil, host); got != want {
			t.Errorf("%s: got presence %d, want %d", host, got, want)
		}
	}
	if got := presence(map[id.Host]clock.Instant{"r1-1-00": now}, "r1-1-00"); got != usage.Ended {
		t.Errorf("got presence %d of a host that refuses connections, want %d", got, usage.Ended)
	}
}
