package agent

import (
	"fmt"
	"math/rand/v2"
	"time"

	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
	"github.com/cespare/xxhash/v2"
)

// workload is the load of the clients of a deployment.
type workload struct {
	name    string
	delays  delays
	demands []accountDemand
}

// accountDemand is one account with the load of its clients.
type accountDemand struct {
	config.Account
	// ratePerSecond is the rate of all its clients together.
	ratePerSecond float64
	clients       int
}

// pushpa and hangRao have eight accounts each, a few of them large, and one that
// sends three times its rate.
var pushpa = workload{"pushpa", pushpaDelays, []accountDemand{
	{config.Account{ID: "st-anthony", RatePerSecond: 120, Burst: 120}, 80, 24},
	{config.Account{ID: "st-lucia", RatePerSecond: 100, Burst: 100}, 70, 24},
	{config.Account{ID: "our-lady", RatePerSecond: 80, Burst: 80}, 50, 24},
	{config.Account{ID: "st-anne", RatePerSecond: 20, Burst: 20}, 10, 12},
	{config.Account{ID: "holy-rosary", RatePerSecond: 15, Burst: 15}, 8, 12},
	{config.Account{ID: "st-mary", RatePerSecond: 10, Burst: 12}, 5, 6},
	{config.Account{ID: "st-peter", RatePerSecond: 10, Burst: 12}, 5, 6},
	{config.Account{ID: "lagoon", RatePerSecond: 8, Burst: 10}, 24, 6},
}}

var hangRao = workload{"hangrao", hangRaoDelays, []accountDemand{
	{config.Account{ID: "marathon", RatePerSecond: 90, Burst: 90}, 60, 24},
	{config.Account{ID: "le-hoi", RatePerSecond: 80, Burst: 80}, 50, 24},
	{config.Account{ID: "ban-to-chuc", RatePerSecond: 60, Burst: 60}, 180, 24},
	{config.Account{ID: "chua", RatePerSecond: 10, Burst: 12}, 5, 6},
	{config.Account{ID: "dinh", RatePerSecond: 8, Burst: 10}, 4, 6},
	{config.Account{ID: "hoi-xuan", RatePerSecond: 8, Burst: 10}, 4, 6},
	{config.Account{ID: "nhom", RatePerSecond: 6, Burst: 8}, 3, 4},
	{config.Account{ID: "cau-lac-bo", RatePerSecond: 6, Burst: 8}, 3, 4},
}}

// arrival is one request of the load and its outcome.
type arrival struct {
	account id.Account
	at      clock.Instant
	granted bool
	decided bool
}

// scheme is a method of enforcing the rates.
type scheme string

const (
	schemeShares    scheme = "shares"
	schemeUnsteered scheme = "shares, look-ups not steered"
	schemeStatic    scheme = "equal static split"
	schemeCounter   scheme = "one counter in the store"
)

// Times of a run. The fault is injected faultDelay after the start of the measured time.
const (
	warmUpTime   = 15 * time.Second
	measuredTime = 60 * time.Second
	faultDelay   = 15 * time.Second
	// answerTimeout is how long a client waits for the answer to a request.
	answerTimeout = 300 * time.Millisecond
)

// workloadRun drives a workload through a fleet with one scheme.
type workloadRun struct {
	fleet    *simFleet
	workload workload
	scheme   scheme
	arrivals []*arrival
	counter  *storeCounter
	static   map[id.Host]*budget.Pool[id.Account, unit.Tokens]
}

// simClient is a client that caches the answers of look-ups.
type simClient struct {
	demand        accountDemand
	region        id.Region
	seed          uint64
	rate          float64
	hosts         []id.Host
	lookupExpires clock.Instant
	// rng belongs to the client, so that its arrivals are the same in all runs.
	rng *rand.Rand
}

func newWorkloadRun(w workload, s scheme, arrivalSeed uint64) *workloadRun {
	var accounts []config.Account
	for _, d := range w.demands {
		accounts = append(accounts, d.Account)
	}
	r := &workloadRun{workload: w, scheme: s, fleet: newFleet(20261204, 3, 4, w.delays, DemandPolicy, accounts)}
	r.counter = newStoreCounter(w)
	r.static = staticSplit(r.fleet, w)
	for _, d := range w.demands {
		for n := range d.clients {
			c := &simClient{demand: d, region: id.Region(fmt.Sprintf("r%d", n%3)), rate: d.ratePerSecond / float64(d.clients), rng: rand.New(rand.NewPCG(arrivalSeed+uint64(n), xxhash.Sum64String(string(d.ID))))}
			c.seed = c.rng.Uint64()
			r.scheduleNext(c)
		}
	}
	return r
}

func staticSplit(f *simFleet, w workload) map[id.Host]*budget.Pool[id.Account, unit.Tokens] {
	out := map[id.Host]*budget.Pool[id.Account, unit.Tokens]{}
	n := unit.Tokens(len(f.hosts))
	for _, h := range f.hosts {
		lease := &budget.Lease{}
		lease.Extend(1 << 62)
		pool := budget.New[id.Account, unit.Tokens](lease)
		for _, d := range w.demands {
			share := budget.Share[unit.Tokens]{Rate: unit.Whole(d.RatePerSecond) / n, Burst: max(unit.Token, unit.Whole(d.Burst)/n)}
			pool.Set(d.ID, share, f.now)
		}
		out[h.id] = pool
	}
	return out
}

// scheduleNext schedules the client's next request.
func (r *workloadRun) scheduleNext(c *simClient) {
	delay := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
	r.fleet.after(delay, func() {
		r.scheduleNext(c)
		a := &arrival{account: c.demand.ID, at: r.fleet.now}
		r.arrivals = append(r.arrivals, a)
		r.send(c, a, 0)
	})
}

// send tries the hosts of the client's cached answer in order.
func (r *workloadRun) send(c *simClient, a *arrival, attempt int) {
	if r.fleet.now >= c.lookupExpires || attempt >= len(c.hosts) {
		r.lookUp(c)
	}
	if attempt >= len(c.hosts) {
		a.decided = true
		return
	}
	h := r.fleet.host(c.hosts[attempt])
	if h.dead || h.paused {
		r.send(c, a, attempt+1)
		return
	}
	r.admit(c, h, a, attempt)
}

func (r *workloadRun) admit(c *simClient, h *simHost, a *arrival, attempt int) {
	switch r.scheme {
	case schemeStatic:
		a.decided = true
		a.granted = r.static[h.id].Spend(a.account, unit.Token, r.fleet.now) == budget.Granted
	case schemeCounter:
		r.counter.spend(r.fleet, h, a)
	default:
		if !r.fleet.mayServe(h) || !h.agent.sharesLease.Valid(r.fleet.localTime(h)) && attempt+1 < len(c.hosts) {
			r.send(c, a, attempt+1)
			return
		}
		r.fleet.request(h, a.account, answerTimeout, func(admitted bool) { a.granted, a.decided = admitted, true })
	}
}

// lookUp queries a live host and caches the answer.
func (r *workloadRun) lookUp(c *simClient) {
	c.hosts = nil
	for range 20 {
		h := r.fleet.hosts[r.fleet.rng.IntN(len(r.fleet.hosts))]
		if h.dead || h.paused {
			continue
		}
		account := c.demand.ID
		if r.scheme != schemeShares {
			account = ""
		}
		answer := h.agent.View().Lookup.Load().Lookup(c.region, account, c.seed)
		for _, named := range answer.Hosts[:answer.Count] {
			c.hosts = append(c.hosts, named.ID)
		}
		c.lookupExpires = r.fleet.now.Add(LookupTTL)
		if len(c.hosts) > 0 {
			return
		}
	}
}

// storeCounter is the baseline of one counter in the store for each account.
// Each request is a write; the store takes 500 a second.
type storeCounter struct {
	buckets map[id.Account]*budget.Bucket[unit.Tokens]
	idleAt  clock.Instant // when all earlier writes are done
	writes  int
}

const counterWriteTime = 2 * time.Millisecond

func newStoreCounter(w workload) *storeCounter {
	c := &storeCounter{buckets: map[id.Account]*budget.Bucket[unit.Tokens]{}}
	for _, d := range w.demands {
		share := budget.Share[unit.Tokens]{Rate: unit.Whole(d.RatePerSecond), Burst: unit.Whole(d.Burst)}
		c.buckets[d.ID] = budget.NewBucket(share, clock.Instant(time.Hour))
	}
	return c
}

func (c *storeCounter) spend(f *simFleet, h *simHost, a *arrival) {
	delay := f.delay(h.region, f.delays.storeRegion)
	arrivesAt := f.now.Add(delay)
	start := max(arrivesAt, c.idleAt)
	a.decided = true
	if f.store.mode != storeUp || start.Sub(f.now)+counterWriteTime+delay > answerTimeout {
		return
	}
	c.idleAt = start.Add(counterWriteTime)
	c.writes++
	a.granted = c.buckets[a.account].Spend(unit.Token, start)
}
