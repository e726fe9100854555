package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// spread returns the load of an account whose requests reach some of the hosts evenly,
// each from time to time.
func spread(hosts, reached int, perSecond float64) []float64 {
	load := make([]float64, hosts)
	for i := range reached {
		load[i] = perSecond / float64(reached)
	}
	return load
}

// TestSmallAccountOverHundredsOfHostsIsServed spreads accounts with few requests per
// second over hosts of which each sees a request every few seconds. Their requests arrive
// at random.
func TestSmallAccountOverHundredsOfHostsIsServed(t *testing.T) {
	for _, hosts := range []int{9, 64, 195} {
		for _, rate := range []float64{2, 7, 20} {
			g := newHostGroup(hosts, rate, rate)
			g.usePools(func(int) int { return 0 })
			reached := max(hosts/7, 3)
			g.idle = hosts - reached
			g.runRandomly(30*time.Second, spread(hosts, reached, 0.8*rate))
			refused := float64(g.requests-len(g.admitted)) / float64(g.requests)
			const maxRefused = 0.1
			if refused > maxRefused {
				t.Errorf("%d hosts, rate %v: got %.0f%% of %d refused, want at most %.0f%%", hosts, rate, 100*refused, g.requests, 100*maxRefused)
			}
			if got, want := g.maxInWindow(), g.maxAllowed(); got > want {
				t.Errorf("%d hosts, rate %v: got %d admitted in a window, want at most %d", hosts, rate, got, want)
			}
		}
	}
}

// runRandomly is run with arrivals at random instants.
func (g *hostGroup) runRandomly(d time.Duration, perSecond []float64) {
	const tick = 10 * time.Millisecond
	for end := g.elapsed + d; g.elapsed < end; g.elapsed += tick {
		if g.elapsed%step == 0 {
			g.rebalance()
		}
		for i := range g.hosts {
			if g.random() >= perSecond[i]*tick.Seconds() {
				continue
			}
			g.requests++
			if g.take(i) {
				g.admitted = append(g.admitted, g.elapsed)
			}
		}
		g.clock.Advance(tick)
	}
}

// TestPooledQuotaHoldsWhicheverHostsHoldPools lets an account send up to several times
// its rate while the hosts change their holder at any time and each by itself: hub lost,
// cut off, or chosen by some hosts only.
func TestPooledQuotaHoldsWhicheverHostsHoldPools(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 30).Draw(t, "hosts")
		rate := rapid.Float64Range(2, 200).Draw(t, "rate")
		g := newHostGroup(hosts, rate, rate)
		holders := make([]int, hosts)
		g.usePools(func(host int) int { return holders[host] })
		for range rapid.IntRange(1, 6).Draw(t, "spells") {
			common := rapid.IntRange(-1, hosts-1).Draw(t, "common holder")
			for i := range holders {
				if holders[i] = common; rapid.IntRange(0, 3).Draw(t, "disagrees") == 0 {
					holders[i] = rapid.IntRange(-1, hosts-1).Draw(t, "own holder")
				}
			}
			load := make([]float64, hosts)
			for i := range load {
				load[i] = rapid.Float64Range(0, 8*rate/float64(hosts)).Draw(t, "load")
			}
			g.run(time.Duration(rapid.IntRange(2, 16).Draw(t, "steps"))*step, load)
		}
		if got, want := g.maxInWindow(), g.maxAllowed(); got > want {
			t.Fatalf("got %d requests admitted in a window, want at most %d", got, want)
		}
	})
}

// TestPausedHolderGrantsNothing pauses a holder for some seconds. The tokens that it held
// before belong to no one any more: its hosts have found another one.
func TestPausedHolderGrantsNothing(t *testing.T) {
	c := clock.NewFake()
	p := NewPool(tolerance)
	p.SetParts([]*desired.Account{{ID: account, Rate: 10, Burst: 10}}, PoolParts{Even: 1, Used: map[id.Account]float64{account: 1}})
	p.Deposit(Deposits{account: unit.Whole(5)}, c.Now())
	if got, want := p.Draw(Ask{Account: account, Requests: 1}, c.Now()).Requests, 1; got != want {
		t.Fatalf("got %d requests granted before the pause, want %d", got, want)
	}
	for _, pause := range []time.Duration{poolValidity + time.Millisecond, 5 * time.Second, time.Minute} {
		c.Advance(pause)
		if got := p.Draw(Ask{Account: account, Requests: 1}, c.Now()).Requests; got != 0 {
			t.Errorf("got %d requests granted after a pause of %v, want none", got, pause)
		}
	}
}

// TestRefusedClientsReturnInTurn refuses many requests at once. Their delays must follow
// each other at the rate at which tokens come in, and none may exceed the limit.
func TestRefusedClientsReturnInTurn(t *testing.T) {
	c := clock.NewFake()
	p := NewPool(tolerance)
	p.SetParts([]*desired.Account{{ID: account, Rate: 10, Burst: 10}}, PoolParts{Even: 1, Used: map[id.Account]float64{account: 1}})
	for range 40 {
		p.Deposit(Deposits{account: unit.Whole(1)}, c.Now())
		c.Advance(100 * time.Millisecond)
		p.Draw(Ask{Account: account, Requests: 1}, c.Now())
	}
	p.Draw(Ask{Account: account, Requests: 100}, c.Now().Add(-maxPoolDelay))
	last := time.Duration(0)
	for i := range 20 {
		g := p.Draw(Ask{Account: account, Requests: 1}, c.Now())
		if g.Requests > 0 {
			t.Fatalf("got a token for request %d, want none left", i)
		}
		if g.RetryAfter < last || g.RetryAfter > maxPoolDelay {
			t.Errorf("got a delay of %v for request %d, want from %v to %v", g.RetryAfter, i, last, maxPoolDelay)
		}
		if gap := g.RetryAfter - last; i > 0 && gap > 2*time.Second/10 {
			t.Errorf("got %v between two returns, want about %v", gap, time.Second/10)
		}
		last = g.RetryAfter
	}
}

func TestDepositsAboveCapacityAreDropped(t *testing.T) {
	c := clock.NewFake()
	p := NewPool(tolerance)
	accounts := []*desired.Account{{ID: account, Rate: 10, Burst: 10}}
	p.SetParts(accounts, PoolParts{Even: 0.5, Used: map[id.Account]float64{account: 0.5}})
	p.Deposit(Deposits{account: unit.Whole(1000), "unknown": unit.Whole(5)}, c.Now())
	capacity := int(poolBurstPart * 0.5 * (10 + tolerance.extra(accounts[0])))
	if got := p.Draw(Ask{Account: account, Requests: 1000}, c.Now()).Requests; got != capacity {
		t.Errorf("got %d requests granted, want the capacity of %d", got, capacity)
	}
	if got := p.Draw(Ask{Account: "unknown", Requests: 1}, c.Now()); got.Requests != 0 || got.RetryAfter <= 0 {
		t.Errorf("got %+v for an unknown account, want a refusal with a delay", got)
	}
}
