package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

var tolerance = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

const account = id.Account("choir")

// hostGroup simulates a few hosts with one account that receive each other's reports
// after a lag.
type hostGroup struct {
	clock    *clock.Fake
	hosts    []*Shares
	accounts []*desired.Account
	reports  []*Report
	// inContact reports whether one host receives the messages of another. The last
	// report of a host out of contact stays in use.
	inContact func(receiver, sender int) bool
	// received holds the last report that each host received from each other host.
	received [][]*Report
	// admitted holds the time since the start of each admitted request.
	admitted []time.Duration
	requests int
	elapsed  time.Duration
	// lag is how many steps later the hosts of the other half receive a report; history
	// holds the reports of all steps.
	lag     int
	history [][]*Report
	// holder returns the host whose pool a host uses, or -1 for none; nil without pools.
	holder func(host int) int
	// pools holds the pool of each host, if there are pools.
	pools []*Pool
	// returnDelays holds the delays of the refused requests.
	returnDelays []time.Duration
	rng          *rand.Rand
	// idle is the number of hosts, the last ones, that requests normally do not reach.
	idle int
}

// weight returns the weight of a host in what is divided evenly.
func (g *hostGroup) weight(host int) float64 {
	if host >= len(g.hosts)-g.idle {
		return 0.01
	}
	return 1
}

// evenPart returns a host's part of what is divided evenly between all hosts.
func (g *hostGroup) evenPart(host int) float64 {
	return g.weight(host) / (float64(len(g.hosts)-g.idle) + 0.01*float64(g.idle))
}

// random returns a number from 0 to 1 of a fixed sequence.
func (g *hostGroup) random() float64 { return g.rng.Float64() }

// usePools makes the hosts deposit with the holders that holder returns, and draw from
// them.
func (g *hostGroup) usePools(holder func(host int) int) {
	g.holder = holder
	for range g.hosts {
		g.pools = append(g.pools, NewPool(tolerance))
	}
}

// take admits a request at a host, from its share or from its holder's pool.
func (g *hostGroup) take(host int) bool {
	ok, delay := g.hosts[host].Take(account, g.clock.Now())
	if !ok && g.pools != nil && g.holder(host) >= 0 {
		grant := g.pools[g.holder(host)].Draw(Ask{Account: account, Requests: 1}, g.clock.Now())
		ok, delay = grant.Requests > 0, grant.RetryAfter
	}
	if !ok {
		g.returnDelays = append(g.returnDelays, delay)
	}
	return ok
}

// depositAll makes each host deposit with its holder, once the holders know the parts of
// the hosts that do.
func (g *hostGroup) depositAll() {
	for i, p := range g.pools {
		parts := PoolParts{Used: map[id.Account]float64{}}
		for j := range g.hosts {
			if g.holder(j) == i && g.reports[j] != nil {
				parts.Even += g.evenPart(j)
				parts.Used[account] += g.reports[j].Part[account]
			}
		}
		if parts.Even == 0 {
			p.Clear()
			continue
		}
		p.SetParts(g.accounts, parts)
	}
	for i, h := range g.hosts {
		if g.holder(i) >= 0 {
			g.pools[g.holder(i)].Deposit(h.TakeSurplus(step, g.clock.Now()), g.clock.Now())
		}
	}
}

// step is the interval at which the hosts rebalance their shares.
const step = 250 * time.Millisecond

func newHostGroup(hosts int, rate, burst float64) *hostGroup {
	g := &hostGroup{rng: rand.New(rand.NewPCG(1, 2)), clock: clock.NewFake(), accounts: []*desired.Account{{ID: account, Rate: rate, Burst: burst}}}
	for range hosts {
		g.hosts = append(g.hosts, New(tolerance, g.clock.Now()))
		g.reports = append(g.reports, nil)
		g.received = append(g.received, make([]*Report, hosts))
	}
	g.inContact = func(int, int) bool { return true }
	return g
}

// run sends requests to each host at its rate for d. Reports are received one step
// after they were sent.
func (g *hostGroup) run(d time.Duration, perSecond []float64) {
	const tick = 10 * time.Millisecond
	due := make([]float64, len(g.hosts))
	for end := g.elapsed + d; g.elapsed < end; g.elapsed += tick {
		if g.elapsed%step == 0 {
			g.rebalance()
		}
		for i := range g.hosts {
			for due[i] += perSecond[i] * tick.Seconds(); due[i] >= 1; due[i]-- {
				g.requests++
				if g.take(i) {
					g.admitted = append(g.admitted, g.elapsed)
				}
			}
		}
		g.clock.Advance(tick)
	}
}

// rebalance makes each host rebalance its shares and then send its report.
func (g *hostGroup) rebalance() {
	for i, h := range g.hosts {
		others, even := NewTotals(), g.evenPart(i)
		for j := range g.hosts {
			if j == i {
				continue
			}
			inContact := g.inContact(i, j)
			if inContact {
				g.received[i][j] = g.receivedReport(i, j)
			}
			switch last := g.received[i][j]; {
			case last == nil:
				others.Unreported += g.evenPart(j)
			case inContact:
				others.AddLive(*last, g.weight(j))
			default:
				others.AddSilent(g.accounts, *last, g.evenPart(j))
			}
		}
		peers := NewPeers(others, g.weight(i), even)
		peers.Pooled = g.pools != nil && g.holder(i) >= 0
		h.Rebalance(g.accounts, peers, g.clock.Now())
	}
	for i, h := range g.hosts {
		report := h.NextReport()
		g.reports[i] = &report
	}
	g.history = append(g.history, slices.Clone(g.reports))
	if g.pools != nil {
		g.depositAll()
	}
}

// receivedReport returns the last report that receiver has from sender: the latest,
// or one from some steps before if sender is in the other half.
func (g *hostGroup) receivedReport(receiver, sender int) *Report {
	half := len(g.hosts) / 2
	if steps := len(g.history); g.lag > 0 && (receiver < half) != (sender < half) && steps > 0 {
		return g.history[max(steps-1-g.lag, 0)][sender]
	}
	return g.reports[sender]
}

// maxInWindow returns the highest number of requests admitted in any window.
func (g *hostGroup) maxInWindow() int {
	maximum, first := 0, 0
	for i, at := range g.admitted {
		for g.admitted[first] <= at-tolerance.Window {
			first++
		}
		maximum = max(maximum, i-first+1)
	}
	return maximum
}

// maxAllowed returns the number of requests that the tolerance allows in a window.
func (g *hostGroup) maxAllowed() int {
	a := g.accounts[0]
	return int((a.Rate*tolerance.Window.Seconds()+a.Burst)*(1+tolerance.Excess) + tolerance.Slack)
}

// TestHotAccountStaysWithinItsQuota lets an account send up to several times its rate,
// to hosts whose loads change at random.
func TestHotAccountStaysWithinItsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		rate := rapid.Float64Range(2, 200).Draw(t, "rate")
		g := newHostGroup(hosts, rate, rate)
		for range rapid.IntRange(1, 4).Draw(t, "spells") {
			load := make([]float64, hosts)
			for i := range load {
				load[i] = rapid.Float64Range(0, 8*rate/float64(hosts)).Draw(t, "load")
			}
			g.run(4*time.Second, load)
		}
		if got, want := g.maxInWindow(), g.maxAllowed(); got > want {
			t.Fatalf("got %d requests admitted in a window, want at most %d", got, want)
		}
	})
}

// TestSmallAccountOverManyHostsIsServed spreads an account with a few requests per
// second over all hosts, each of which has a small part of its quota.
func TestSmallAccountOverManyHostsIsServed(t *testing.T) {
	g := newHostGroup(11, 8, 8)
	load := make([]float64, 11)
	for i := range load {
		load[i] = 5.0 / 11
	}
	g.run(30*time.Second, load)
	refused := g.requests - len(g.admitted)
	if want := g.requests / 50; refused > want {
		t.Errorf("got %d of %d refused, want at most %d", refused, g.requests, want)
	}
}

// TestRestartGivesNoSecondBurst restarts all hosts at once under a hot account. Full
// new buckets would admit its burst a second time within one window.
func TestRestartGivesNoSecondBurst(t *testing.T) {
	g := newHostGroup(6, 60, 60)
	load := []float64{80, 80, 80, 80, 80, 80}
	g.run(6*time.Second, load)
	for i := range g.hosts {
		g.hosts[i] = New(tolerance, g.clock.Now())
		g.reports[i] = nil
		g.received[i] = make([]*Report, len(g.hosts))
	}
	g.run(6*time.Second, load)
	if got, want := g.maxInWindow(), g.maxAllowed(); got > want {
		t.Errorf("got %d requests admitted in a window, want at most %d", got, want)
	}
}

// TestHotAccountDuringAPartition separates some hosts from the others just before an
// account sends several times its normal load to all of them. The hosts of each side
// must not grow into the parts that those of the other side still use.
func TestHotAccountDuringAPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 12
		rate := rapid.Float64Range(20, 250).Draw(t, "rate")
		cut := rapid.IntRange(1, 6).Draw(t, "cut")
		g := newHostGroup(hosts, rate, rate)
		normal, hot := make([]float64, hosts), make([]float64, hosts)
		for i := range normal {
			normal[i] = rapid.Float64Range(0.2, 1).Draw(t, "calm") * rate / hosts
			hot[i] = 7 * normal[i]
		}
		g.run(6*time.Second, normal)
		g.inContact = func(receiver, sender int) bool { return (receiver < cut) == (sender < cut) }
		g.run(time.Second, normal)
		g.run(7*time.Second, hot)
		if got, want := g.maxInWindow(), g.maxAllowed(); got > want {
			t.Fatalf("got %d requests admitted in a window, want at most %d", got, want)
		}
	})
}

// TestNoGrowthWhileReportsAreStale raises the demand at one host while the last report
// that it received from the other is stale. Its share must not grow, because at the start
// of a partition both sides see each other like this.
func TestNoGrowthWhileReportsAreStale(t *testing.T) {
	g := newHostGroup(2, 100, 100)
	g.run(5*time.Second, []float64{30, 30})
	before, _ := g.hosts[0].Share(account)
	others := NewTotals()
	others.AddLive(*g.reports[1], 1)
	others.Stale = true
	for range 20 {
		for range 30 {
			g.hosts[0].Take(account, g.clock.Now())
		}
		g.clock.Advance(step)
		g.hosts[0].NextReport()
		g.hosts[0].Rebalance(g.accounts, NewPeers(others, 1, 0.5), g.clock.Now())
	}
	if after, _ := g.hosts[0].Share(account); after > before*1.03 {
		t.Errorf("got a rate of %.1f, want no more than the %.1f before", after, before)
	}
}

// TestSuddenDemandReportedLate lets an account that sent nothing send several times its
// rate to all hosts. Each half of the hosts receives the reports of the other half up
// to a second late. The account must get neither more than its tolerance nor much less
// than its quota.
func TestSuddenDemandReportedLate(t *testing.T) {
	for _, rate := range []float64{20, 100} {
		for lag := range 5 {
			g := newHostGroup(6, rate, rate)
			g.lag = lag
			g.run(2*time.Second, make([]float64, 6))
			load := make([]float64, 6)
			for i := range load {
				load[i] = rate * 0.6
			}
			g.run(8*time.Second, load)
			if got, want := g.maxInWindow(), g.maxAllowed(); got > want {
				t.Errorf("rate %v, %v late: got %d requests admitted in a window, want at most %d", rate, time.Duration(lag)*step, got, want)
			}
			entitled := rate*tolerance.Window.Seconds() + rate
			if got, want := float64(g.maxInWindow()), 0.9*entitled; got < want {
				t.Errorf("rate %v, %v late: got %.0f requests admitted in a window, want at least %.0f of the %.0f that its quota allows", rate, time.Duration(lag)*step, got, want, entitled)
			}
		}
	}
}
