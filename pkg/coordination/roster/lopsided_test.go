package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
)

// newLopsidedCluster returns a cluster whose account has a high rate and a low burst, so
// that the promise leaves little room for parts that add up to more than the quota.
func newLopsidedCluster(t *testing.T, perDomain int) *quotaCluster {
	c := newQuotaCluster(t, 1, perDomain)
	c.account.Rate, c.account.Burst, c.demand = 400, 40, 50
	return c
}

// checkBound reports an error if the account got more than its promise allows.
func (c *quotaCluster) checkBound() {
	c.t.Helper()
	if most, at := c.mostInWindow(); most > c.bound() {
		c.t.Errorf("got %d requests within %v up to %v, want at most %d", most, promisedWindow, at, c.bound())
	}
}

// cutOff cuts the links from a region to all others and, unless oneWay is set, back.
func (c *quotaCluster) cutOff(lone id.Region, oneWay bool) {
	for _, other := range []id.Region{"r0", "r1", "r2"} {
		if other != lone {
			c.cut[[2]id.Region{lone, other}] = true
			c.cut[[2]id.Region{other, lone}] = !oneWay
		}
	}
}

// deafen cuts the links to a region from all others.
func (c *quotaCluster) deafen(lone id.Region) {
	for _, other := range []id.Region{"r0", "r1", "r2"} {
		if other != lone {
			c.cut[[2]id.Region{other, lone}] = true
		}
	}
}

// TestQuotaHoldsWhileManyHostsJoinOneSide guards against a side of a partition that takes
// over parts of the other because hosts joined it, also if the joins turn its full mesh
// into one with hubs, and if its hosts restart one after the other.
func TestQuotaHoldsWhileManyHostsJoinOneSide(t *testing.T) {
	for _, tc := range []struct {
		perDomain, joins int
		restart          bool
	}{{2, 10, false}, {2, 10, true}, {2, 18, true}, {5, 30, true}} {
		if testing.Short() && tc.joins > 10 {
			continue
		}
		t.Run(fmt.Sprintf("%d hosts, %d joins, restart %v", 6*tc.perDomain, tc.joins, tc.restart), func(t *testing.T) {
			c := newLopsidedCluster(t, tc.perDomain)
			c.run(20 * time.Second)
			c.cutOff("r2", false)
			c.run(80 * time.Second)
			for n := range tc.joins {
				c.start(c.addMember(fmt.Sprintf("r0-%d-j%02d", n%2, n), true))
				c.list()
				c.run(time.Second)
			}
			c.run(30 * time.Second)
			for _, h := range slices.Clone(c.hosts) {
				if tc.restart && h.Region != "r2" {
					c.start(h.Member)
					c.list()
					c.run(5 * time.Second)
				}
			}
			c.run(90 * time.Second)
			c.checkBound()
		})
	}
}

// TestQuotaHoldsInOneWayPartitionWithUnequalDemand guards against a region that hears the
// others, or is heard by them, while nothing passes the other way: both sides must divide
// the quota alike.
func TestQuotaHoldsInOneWayPartitionWithUnequalDemand(t *testing.T) {
	for _, perDomain := range []int{2, 5} {
		if testing.Short() && perDomain > 2 {
			continue
		}
		for _, deaf := range []bool{true, false} {
			for _, heavy := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d hosts, deaf %v, heavy %v", 6*perDomain, deaf, heavy), func(t *testing.T) {
					c := newLopsidedCluster(t, perDomain)
					c.regionDemand = map[id.Region]float64{"r0": 400, "r1": 400, "r2": 60}
					if heavy {
						c.regionDemand = map[id.Region]float64{"r0": 60, "r1": 60, "r2": 800}
					}
					c.run(20 * time.Second)
					if deaf {
						c.deafen("r2")
					} else {
						c.cutOff("r2", true)
					}
					c.run(2 * time.Minute)
					c.checkBound()
				})
			}
		}
	}
}

// TestLostRegionKeepsNoMoreThanItsPart guards against parts that hosts reserve for a lost
// region and that grow as they tell each other of them: the others must go on using all
// but its part.
func TestLostRegionKeepsNoMoreThanItsPart(t *testing.T) {
	for _, perDomain := range []int{3, 8} {
		t.Run(fmt.Sprint(6*perDomain, " hosts"), func(t *testing.T) {
			c := newLopsidedCluster(t, perDomain)
			c.run(20 * time.Second)
			for _, h := range c.hosts {
				h.down = h.Region == "r2"
			}
			c.run(100 * time.Second)
			used := 0.0
			for _, h := range c.hosts {
				if !h.down {
					used += h.report.Part[c.account.ID]
				}
			}
			if want := 0.9 * 2 / 3; used < want {
				t.Errorf("got a part of %.3f in use, want at least %.3f", used, want)
			}
		})
	}
}
