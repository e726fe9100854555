package roster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
)

// TestQuotaHoldsInUnevenPartitions guards against parts that add up to more than the quota
// while regions lose each other, also one way only, demand moves between regions, and many
// hosts join the side that reaches the store.
func TestQuotaHoldsInUnevenPartitions(t *testing.T) {
	seeds := []uint64{0, 1, 2, 19}
	if testing.Short() {
		seeds = seeds[:1]
	}
	for _, seed := range seeds {
		playUnevenPartitions(t, seed)
	}
}

// TestQuotaHoldsInUnevenPartitionsOpenSeeds plays the seeds that break the promise.
func TestQuotaHoldsInUnevenPartitionsOpenSeeds(t *testing.T) {
	for _, seed := range []uint64{3, 18} {
		playUnevenPartitions(t, seed)
	}
}

func playUnevenPartitions(t *testing.T, seed uint64) {
	const cuts, changesPerCut, mostJoins = 2, 4, 8
	c := newQuotaCluster(t, seed, []int{2, 3, 5}[seed%3])
	c.account.Rate, c.account.Burst = 400, 40
	start := c.clock.Now()
	var events []string
	note := func(format string, args ...any) {
		events = append(events, fmt.Sprintf("%v: ", c.clock.Now().Sub(start))+fmt.Sprintf(format, args...))
	}
	moveDemand := func() {
		c.regionDemand = map[id.Region]float64{}
		for _, r := range []id.Region{"r0", "r1", "r2"} {
			c.regionDemand[r] = []float64{5, 60, 600}[c.rng.IntN(3)]
		}
		note("demand %v", c.regionDemand)
	}
	moveDemand()
	c.run(20 * time.Second)
	for range cuts {
		lone := id.Region(fmt.Sprint("r", c.rng.IntN(3)))
		kind := c.rng.IntN(4)
		length := 20*time.Second + time.Duration(c.rng.Int64N(int64(3*time.Minute)))
		switch kind {
		case 0:
			note("%s hears nobody for %v", lone, length)
			c.deafen(lone)
		case 1:
			note("%s is heard by nobody for %v", lone, length)
			c.cutOff(lone, true)
		default:
			note("%s is alone for %v", lone, length)
			c.cutOff(lone, false)
		}
		for range changesPerCut {
			c.run(length / (changesPerCut + 1))
			switch c.rng.IntN(3) {
			case 0:
				c.disturb(&events, start)
			case 1:
				joins := 1 + c.rng.IntN(mostJoins)
				for n := range joins {
					c.start(c.addMember(fmt.Sprintf("r0-0-%02d-%d", len(c.members), n), true))
					c.list()
				}
				note("%d join", joins)
			case 2:
				moveDemand()
			}
		}
		c.run(length / (changesPerCut + 1))
		clear(c.cut)
		c.list()
		c.run(30 * time.Second)
		c.prune()
	}
	if most, at := c.mostInWindow(); most > c.bound() {
		t.Errorf("seed %d: got %d requests within %v up to %v, want at most %d\n%s", seed, most, promisedWindow, at.Sub(start), c.bound(), strings.Join(events, "\n"))
	}
}
