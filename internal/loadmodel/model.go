package loadmodel

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

const (
	// One-way network latencies between hosts and upstreams, and between callers and
	// hosts.
	intraRegionLatency = 500 * time.Microsecond
	interRegionLatency = 12 * time.Millisecond
	callerLatency      = 3 * time.Millisecond
	// exchangeInterval is the interval at which hosts exchange reports of demand, and
	// so the age of a report when it is used.
	exchangeInterval = 250 * time.Millisecond
	// quotaFactor is an account's rate over its usual request rate.
	quotaFactor = 1.6
	// accountDecay is the ratio of an account's load to that of the account before it.
	accountDecay   = 0.7
	currentRelease = id.Release("v1")
	virtualHost    = "model.example"
	// coldFor is how long an upstream stays cold after its start.
	coldFor = 3 * time.Second
	// coldPerSecond is the maximum request rate of a cold upstream.
	coldPerSecond = 7.5
)

// model is one simulated run of a pattern under a policy.
type model struct {
	*simulation
	pattern Pattern
	// sampled is set if hosts ask upstreams for their load.
	sampled bool
	rng     *rand.Rand
	// arrivals and faults draw the requests and the faults of the pattern; they are rng unless
	// the pattern has draws of its own.
	arrivals, faults *rand.Rand
	state            *desired.State
	upstreams        []*upstream
	byID             map[id.Upstream]*upstream
	hosts            []*entryHost
	// measuredFrom is the end of the warm-up, from which requests count.
	measuredFrom clock.Instant
	result       Result
	// records are the counted requests, by which the upper bound is computed.
	records []arrival
	// capacity is the part of each step of boundStep that upstreams could work, in slots.
	capacity []float64
}

// entryHost is one simulated entry host: the product's own decision code with its
// state.
type entryHost struct {
	region id.Region
	domain id.FailureDomain
	*steer.Steerer[struct{}]
	placer *place.Placer
	shares *quota.Shares
	// lastReport is the report that the other hosts use.
	lastReport quota.Report
}

// run simulates a pattern under a policy and a bound of hedged requests. Equal seeds give equal results.
func run(p Pattern, policy NamedPolicy, hedged hedge.Fraction, seed uint64) Result {
	m := &model{
		simulation: newSimulation(), pattern: p, sampled: policy.SampledReports, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[id.Upstream]*upstream{},
	}
	m.arrivals, m.faults = m.rng, m.rng
	if p.ownDraws {
		m.arrivals, m.faults = rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	}
	m.measuredFrom = m.now.Add(p.WarmUp)
	m.result = newResult(p.Duration)
	m.state = desiredState(&p)
	m.addUpstreams()
	m.addHosts(policy.Policy, hedged)
	m.every(exchangeInterval, m.exchangeReports)
	m.after(p.WarmUp, m.applyPattern)
	if p.overload != nil {
		m.startOverload()
	} else {
		for i := range classes {
			m.scheduleArrivals(&classes[i])
		}
	}
	m.simulation.run(m.measuredFrom.Add(p.Duration))
	for _, u := range m.upstreams {
		m.result.busy += u.busy
	}
	if p.overload != nil {
		m.result.UpperBound = m.upperBound()
	}
	return m.result
}

func regionID(r int) id.Region { return id.Region(fmt.Sprintf("region-%d", r)) }

func domainID(r, d int) id.FailureDomain { return id.FailureDomain(fmt.Sprintf("region-%d-%d", r, d)) }

func accountID(n int) id.Account { return id.Account(fmt.Sprintf("account-%d", n)) }

// accountFraction returns the fraction of all requests that account n sends.
func accountFraction(n int) float64 {
	sum := 0.0
	for i := range accounts {
		sum += math.Pow(accountDecay, float64(i))
	}
	return math.Pow(accountDecay, float64(n)) / sum
}

// desiredState returns the desired state with the routes, services and accounts of
// the simulated deployment.
func desiredState(p *Pattern) *desired.State {
	classes := p.classes()
	s := &desired.State{Version: 1}
	rate := 0.0
	for i := range classes {
		c := &classes[i]
		rate += c.PerSecond
		kind := desired.NonIdempotent
		if c.Idempotent {
			kind = desired.Idempotent
		}
		s.Routes = append(s.Routes, &desired.Route{
			Name: c.Route, VirtualHost: virtualHost, Prefix: "/" + string(c.Route) + "/", Kind: kind, Targets: []desired.Target{{Service: c.Service, Weight: 1}},
			Timeout: c.Timeout, Objective: c.Objective, MaxAttempts: 3, Sticky: true,
		})
		s.Services = append(s.Services, &desired.Service{Name: c.Service, ColdFor: coldFor, ColdPerSecond: coldPerSecond})
	}
	for n := range accounts {
		accountRate := rate * accountFraction(n) * quotaFactor
		if p.unlimitedAccounts() {
			accountRate = manyAccountRate
		}
		s.Accounts = append(s.Accounts, &desired.Account{ID: accountID(n), Keys: []string{string(accountID(n))}, Rate: accountRate, Burst: accountRate})
	}
	return s.Compile()
}

func (m *model) addUpstreams() {
	for r := range regions {
		for d := range domainsPerRegion {
			for _, g := range m.pattern.groups() {
				count := g.Count
				if r == 0 {
					count = max(int(math.Round(float64(count)*m.pattern.thinFraction)), 1)
				}
				for range count {
					m.addUpstream(g, r, d)
				}
			}
		}
	}
}

func (m *model) addUpstream(g group, r, d int) *upstream {
	name := id.Upstream(fmt.Sprintf("upstream-%d", len(m.upstreams)))
	u := &upstream{
		sim: m.simulation, rng: m.rng, maxQueue: queuePerSlot * g.Slots, warm: map[id.Object]clock.Instant{}, maxWarm: maxWarmObjects, slowdown: 1,
		heavyRuns: m.pattern.heavyRuns,
		info: fleet.Upstream{
			ID: name, Service: g.Service, Release: currentRelease, Region: regionID(r), FailureDomain: domainID(r, d),
			Address: string(name), Slots: g.Slots, State: fleet.UpstreamLive, Incarnation: 1,
		},
	}
	m.upstreams = append(m.upstreams, u)
	m.byID[name] = u
	return u
}

func (m *model) addHosts(policy place.Policy, hedged hedge.Fraction) {
	for r := range regions {
		for d := range domainsPerRegion {
			for range m.pattern.hostsIn(r, d) {
				m.addHost(r, d, policy, hedged)
			}
		}
	}
	m.exchangeReports()
}

// Settings of the simulated deployment that an operator would set.
const (
	// retryRatio is the number of retries that each request to a service allows a host.
	retryRatio = 0.19
	// retryReserve is the number of retries that a host may send at once.
	retryReserve = 3.5
	// maxShift bounds the fraction of a region's requests that change the region in
	// which they run within two seconds.
	maxShift = 0.15
)

func (m *model) addHost(r, d int, policy place.Policy, hedged hedge.Fraction) {
	h := &entryHost{region: regionID(r), domain: domainID(r, d), placer: place.New(regionID(r), domainID(r, d), maxShift, policy)}
	h.shares = quota.New(quota.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}, m.now)
	splits := release.NewSplits()
	h.Steerer = steer.New(steer.Dependencies[struct{}]{
		State: rcu.New(m.state), Shares: h.shares, Draw: steer.NoPool, Current: steer.AlwaysCurrent, Accepts: steer.AcceptsAll, Placer: h.placer, Splits: splits, Recorder: release.NewRecorder(splits),
		Approved: func(id.Service) id.Release { return currentRelease },
		Sender:   &sender{m, h}, Clock: m.simulation, Random: m.rng, RetryRatio: retryRatio, RetryReserve: retryReserve,
		Hedging: steer.Hedging[struct{}]{Hedger: hedge.New(hedged), Runner: m.simulation, Discard: func(struct{}) {}},
	})
	m.hosts = append(m.hosts, h)
}

// exchangeReports makes each host recompute its shares of the quotas from the other
// hosts' last reports, and gives it the current list of upstreams and the fraction of
// all requests that each region gets. One request per second is added to the rate of
// each host, because the sum of the rates is zero before the first request.
func (m *model) exchangeReports() {
	demand, sum := map[id.Region]float64{}, 0.0
	for _, h := range m.hosts {
		demand[h.region] += h.shares.RequestRate() + 1
		sum += h.shares.RequestRate() + 1
	}
	for r := range demand {
		demand[r] /= sum
	}
	listings := m.listingsByRegion()
	for _, h := range m.hosts {
		peerTotals := quota.NewTotals()
		for _, other := range m.limitedHosts() {
			if other != h {
				peerTotals.AddLive(other.lastReport, 1)
			}
		}
		h.shares.Rebalance(m.state.Accounts, quota.NewPeers(peerTotals, 1, 1/float64(len(m.hosts))), m.now)
		h.placer.Update(listings[h.region], demand, m.now)
	}
	for _, h := range m.hosts {
		h.lastReport = h.shares.NextReport()
	}
}

// listingsByRegion returns, for the hosts of each region, the list of live upstreams.
// The request rate that a cold upstream tolerates is divided evenly among the hosts
// of its own region; the other hosts get no share of it.
func (m *model) listingsByRegion() map[id.Region][]place.Listing {
	out := map[id.Region][]place.Listing{}
	for r := range regions {
		own := regionID(r)
		for _, u := range m.upstreams {
			if u.info.State != fleet.UpstreamLive {
				continue
			}
			l := place.Listing{Info: u.info, ColdUntil: u.coldUntil}
			if u.info.Region == own {
				l.ColdPerSecond = coldPerSecond / float64(m.pattern.hostsIn(r, 0)+m.pattern.hostsIn(r, 1))
			}
			out[own] = append(out[own], l)
		}
	}
	return out
}

// applyPattern applies the pattern's faults and changes to the upstreams. It runs at
// the end of the warm-up.
func (m *model) applyPattern() {
	for _, u := range m.upstreams {
		if m.faults.Float64() < m.pattern.slowFraction {
			u.slowdown = slowFactor
		}
		if m.faults.Float64() < m.pattern.greyFraction {
			u.failureRate = greyFailureRate
		}
	}
	for i := range m.pattern.joiningUpstreams {
		u := m.addUpstream(groups[0], i%regions, i%domainsPerRegion)
		u.coldUntil = m.now.Add(coldFor)
	}
	if m.pattern.domainLost {
		m.loseDomain()
	}
	if m.pattern.phaseFraction > 0 {
		m.every(slowPhase, m.nextPhase)
	}
}

// nextPhase draws the upstreams that are slow until the next phase.
func (m *model) nextPhase() {
	for _, u := range m.upstreams {
		u.slowdown = 1
		if m.faults.Float64() < m.pattern.phaseFraction {
			u.slowdown = phaseSlowFactor
		}
	}
}

// domainDowntime is how long the upstreams of a lost failure domain are down.
const domainDowntime = 4 * time.Second

// loseDomain stops the upstreams of the second region's first failure domain, and
// restarts them cold after domainDowntime.
func (m *model) loseDomain() {
	var lost []*upstream
	for _, u := range m.upstreams {
		if u.info.FailureDomain == domainID(1, 0) {
			u.info.State = fleet.UpstreamDraining
			lost = append(lost, u)
		}
	}
	m.after(domainDowntime, func() {
		for _, u := range lost {
			clear(u.warm)
			u.info.State, u.info.Incarnation = fleet.UpstreamLive, u.info.Incarnation+1
			u.coldUntil = m.now.Add(coldFor)
		}
	})
}

// sender sends the requests of one host to the upstreams.
type sender struct {
	model *model
	host  *entryHost
}

// Send implements steer.Sender.
func (s *sender) Send(ctx context.Context, r *steer.Request, params steer.SendParams) steer.Exchange[struct{}] {
	m := s.model
	u := m.byID[params.Upstream.Info.ID]
	latency := intraRegionLatency
	if u.info.Region != s.host.region {
		latency = interRegionLatency
	}
	deadline := m.now.Add(params.Remaining)
	m.Sleep(ctx, latency)
	if ctx.Err() != nil {
		return steer.Exchange[struct{}]{Result: steer.NoAnswer, Err: ctx.Err()}
	}
	j := &job{class: m.classOf(r), object: r.Object, deadline: deadline, caller: m.current, heavy: r.Attempt == heavyAttempt}
	accepted := u.enqueue(j)
	m.countUpstreamArrival(accepted)
	if !accepted {
		j.outcome = outcomeShed
	} else {
		onCancel(ctx, func() { u.cancel(j) })
		m.yield()
		onCancel(ctx, nil)
	}
	if j.outcome == outcomeCancelled {
		return steer.Exchange[struct{}]{Result: steer.NoAnswer, Err: ctx.Err()}
	}
	running, waiting := u.load()
	m.Sleep(ctx, latency)
	e := steer.Exchange[struct{}]{HasLoad: true, Running: running, Waiting: waiting, ReusedConnection: true}
	if o := m.pattern.overload; o != nil {
		e.Pace = place.Pace(o.statedPace(u, m.now))
	}
	switch j.outcome {
	case outcomeShed:
		e.Result = steer.Shed
	case outcomeFailed:
		e.Result = steer.AnsweredFailure
	case outcomeLate:
		e.Result, e.HasLoad = steer.NoAnswer, false
	}
	return e
}

// classOf returns the class of a request, whose path is the prefix of the class's
// route.
func (m *model) classOf(r *steer.Request) *class {
	classes := m.pattern.classes()
	for i := range classes {
		if r.Path == "/"+string(classes[i].Route)+"/" {
			return &classes[i]
		}
	}
	return &classes[0]
}
