package loadmodel

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

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
	domainTrip = 500 * time.Microsecond
	regionTrip = 12 * time.Millisecond
	callerTrip = 3 * time.Millisecond
	// shareInterval is how often hosts tell each other of demand, which is how old
	// that is when it is used.
	shareInterval = 250 * time.Millisecond
	// quotaFactor is an account's rate over what it usually sends, accountDecay how
	// much smaller each account is than the one before.
	quotaFactor, accountDecay = 1.6, 0.7
	currentRelease            = id.Release("v1")
	virtualHost               = "model.example"
	// coldFor and coldPerSecond are how long a started upstream is cold, and what it
	// tolerates meanwhile.
	coldFor, coldPerSecond = 3 * time.Second, 7.5
)

// model is one run of a pattern under a policy.
type model struct {
	*world
	pattern   Pattern
	rng       *rand.Rand
	state     *desired.State
	upstreams []*upstream
	byID      map[id.Upstream]*upstream
	hosts     []*modelHost
	started   clock.Instant
	result    Result
}

// modelHost is one entry host: the decisions of the product, with their state.
type modelHost struct {
	region id.Region
	domain id.FailureDomain
	*steer.Steerer[struct{}]
	placer *place.Placer
	shares *quota.Shares
	told   quota.Report
}

// run plays a pattern.
func run(p Pattern, policy place.Policy, seed uint64) Result {
	m := &model{
		world: newWorld(), pattern: p, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[id.Upstream]*upstream{},
	}
	m.started = m.now.Add(p.WarmUp)
	m.result = newResult(p.Duration)
	m.state = desiredState()
	m.addUpstreams()
	m.addHosts(policy)
	m.every(shareInterval, m.share)
	m.after(p.WarmUp, m.strike)
	for i := range classes {
		m.arrivals(&classes[i])
	}
	m.world.run(m.started.Add(p.Duration))
	return m.result
}

func region(r int) id.Region { return id.Region(fmt.Sprintf("region-%d", r)) }

func domain(r, d int) id.FailureDomain { return id.FailureDomain(fmt.Sprintf("region-%d-%d", r, d)) }

func account(n int) id.Account { return id.Account(fmt.Sprintf("account-%d", n)) }

// sizeOf returns an account's part of all requests.
func sizeOf(n int) float64 {
	sum := 0.0
	for i := range accounts {
		sum += math.Pow(accountDecay, float64(i))
	}
	return math.Pow(accountDecay, float64(n)) / sum
}

func desiredState() *desired.State {
	s := &desired.State{Version: 1}
	rate := 0.0
	for i := range classes {
		c := &classes[i]
		rate += c.PerSecond
		kind := desired.NonIdempotent
		if c.Repeatable {
			kind = desired.Idempotent
		}
		s.Routes = append(s.Routes, &desired.Route{
			Name: c.Route, VirtualHost: virtualHost, Prefix: "/" + string(c.Route) + "/", Kind: kind, Targets: []desired.Target{{Service: c.Service, Weight: 1}},
			Timeout: c.Timeout, Objective: c.Objective, MaxAttempts: 3, Sticky: true,
		})
		s.Services = append(s.Services, &desired.Service{Name: c.Service, ColdFor: coldFor, ColdPerSecond: coldPerSecond})
	}
	for n := range accounts {
		quota := rate * sizeOf(n) * quotaFactor
		s.Accounts = append(s.Accounts, &desired.Account{ID: account(n), Keys: []string{string(account(n))}, Rate: quota, Burst: quota})
	}
	return s.Compile()
}

func (m *model) addUpstreams() {
	for r := range regions {
		for d := range domainsOfRegion {
			for _, g := range groups {
				count := g.Count
				if r == 0 {
					count = max(int(math.Round(float64(count)*m.pattern.thin)), 1)
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
		world: m.world, rng: m.rng, most: queueOfSlot * g.Slots, warm: map[id.Object]clock.Instant{}, keeps: warmKeeps, slowBy: 1,
		info: fleet.Upstream{
			ID: name, Service: g.Service, Release: currentRelease, Region: region(r), FailureDomain: domain(r, d),
			Address: string(name), Slots: g.Slots, State: fleet.UpstreamLive, Incarnation: 1,
		},
	}
	m.upstreams = append(m.upstreams, u)
	m.byID[name] = u
	return u
}

func (m *model) addHosts(policy place.Policy) {
	for r := range regions {
		for d := range domainsOfRegion {
			for range hostsOfDomain {
				m.addHost(r, d, policy)
			}
		}
	}
	m.share()
}

// Bounds of the model's deployment, as an operator would state them.
const (
	retryRatio, retryReserve = 0.19, 3.5
	maxShift                 = 0.15
)

func (m *model) addHost(r, d int, policy place.Policy) {
	h := &modelHost{region: region(r), domain: domain(r, d), placer: place.New(region(r), domain(r, d), maxShift, policy)}
	h.shares = quota.New(quota.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}, m.now)
	splits := release.NewSplits()
	h.Steerer = steer.New(steer.Dependencies[struct{}]{
		State: rcu.New(m.state), Shares: h.shares, Placer: h.placer, Splits: splits, Recorder: release.NewRecorder(splits),
		Approved: func(id.Service) id.Release { return currentRelease },
		Sender:   &sender{m, h}, Clock: m.world, Random: m.rng, RepeatRatio: retryRatio, RepeatReserve: retryReserve,
	})
	m.hosts = append(m.hosts, h)
}

// share lets the hosts divide the quotas by what each told last, and learn of
// the list of upstreams.
func (m *model) share() {
	demand, sum := map[id.Region]float64{}, 0.0
	for _, h := range m.hosts {
		demand[h.region] += h.shares.RequestRate() + 1
		sum += h.shares.RequestRate() + 1
	}
	for r := range demand {
		demand[r] /= sum
	}
	list := m.listings()
	for _, h := range m.hosts {
		others := quota.NewTotals()
		for _, other := range m.hosts {
			if other != h {
				others.AddLive(other.told, 1)
			}
		}
		h.shares.Rebalance(m.state.Accounts, quota.NewPeers(others, 1, 1/float64(len(m.hosts))), m.now)
		h.placer.Update(list[h.region], demand, m.now)
	}
	for _, h := range m.hosts {
		h.told = h.shares.Report()
	}
}

// listings returns the upstreams as the hosts of each region are to use them:
// cold ones get their bounded rate from the hosts of their own region.
func (m *model) listings() map[id.Region][]place.Listing {
	out := map[id.Region][]place.Listing{}
	for r := range regions {
		own := region(r)
		for _, u := range m.upstreams {
			if u.info.State != fleet.UpstreamLive {
				continue
			}
			l := place.Listing{Info: u.info, ColdUntil: u.coldUntil}
			if u.info.Region == own {
				l.ColdPerSecond = coldPerSecond / (domainsOfRegion * hostsOfDomain)
			}
			out[own] = append(out[own], l)
		}
	}
	return out
}

// strike lets happen to the upstreams what the pattern says.
func (m *model) strike() {
	for _, u := range m.upstreams {
		if m.rng.Float64() < m.pattern.slow {
			u.slowBy = slowFactor
		}
		if m.rng.Float64() < m.pattern.grey {
			u.failing = greyPart
		}
	}
	for i := range m.pattern.joining {
		u := m.addUpstream(groups[0], i%regions, i%domainsOfRegion)
		u.coldUntil = m.now.Add(coldFor)
	}
	if m.pattern.lost {
		m.loseDomain()
	}
}

// downTime is how long the upstreams of a lost failure domain are away.
const downTime = 4 * time.Second

func (m *model) loseDomain() {
	var lost []*upstream
	for _, u := range m.upstreams {
		if u.info.FailureDomain == domain(1, 0) {
			u.info.State = fleet.UpstreamLeaving
			lost = append(lost, u)
		}
	}
	m.after(downTime, func() {
		for _, u := range lost {
			clear(u.warm)
			u.info.State, u.info.Incarnation = fleet.UpstreamLive, u.info.Incarnation+1
			u.coldUntil = m.now.Add(coldFor)
		}
	})
}

// sender carries the requests of one host to the upstreams.
type sender struct {
	model *model
	host  *modelHost
}

// Send implements steer.Sender.
func (s *sender) Send(ctx context.Context, r *steer.Request, o steer.SendParams) steer.Exchange[struct{}] {
	m := s.model
	u := m.byID[o.Upstream.Info.ID]
	trip := domainTrip
	if u.info.Region != s.host.region {
		trip = regionTrip
	}
	until := m.now.Add(o.Remaining)
	m.Sleep(ctx, trip)
	j := &job{class: classOf(r), object: r.Object, until: until, caller: m.running}
	if !u.arrive(j) {
		j.outcome = outcomeShed
	} else {
		m.park()
	}
	running, waiting := u.load()
	m.Sleep(ctx, trip)
	e := steer.Exchange[struct{}]{HasLoad: true, Running: running, Waiting: waiting, ReusedConnection: true}
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

func classOf(r *steer.Request) *class {
	for i := range classes {
		if r.Path == "/"+string(classes[i].Route)+"/" {
			return &classes[i]
		}
	}
	return &classes[0]
}
