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

// workload is what the callers of a deployment do.
type workload struct {
	name    string
	delays  delays
	demands []accountDemand
}

// accountDemand is one account with the load of its callers.
type accountDemand struct {
	config.Account
	// perSecond is what all its callers send together.
	perSecond float64
	callers   int
}

// pushpa and hangRao have eight accounts each, a few of them large, and one
// that sends three times its rate.
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

// arrival is one request of the load and what became of it.
type arrival struct {
	account id.Account
	at      clock.Instant
	granted bool
	decided bool
}

// scheme is a way to keep to the rates.
type scheme string

const (
	schemeShares   scheme = "shares"
	schemeUnsteer  scheme = "shares, look-ups not steered"
	schemeStatic   scheme = "equal static split"
	schemeCounter  scheme = "one counter in the store"
	warmup                = 15 * time.Second
	measured              = 60 * time.Second
	faultAfter            = 15 * time.Second
	answerPatience        = 300 * time.Millisecond
)

// bench drives a workload through a fleet by one scheme.
type bench struct {
	f        *simFleet
	w        workload
	scheme   scheme
	arrivals []*arrival
	counter  *storeCounter
	static   map[id.Host]*budget.Pool[id.Account, unit.Tokens]
}

// simCaller is a caller that keeps the answers of look-ups.
type simCaller struct {
	demand accountDemand
	region id.Region
	seed   uint64
	rate   float64
	hosts  []id.Host
	keep   clock.Instant
	// rng is the caller's own, so that its arrivals are the same in all runs.
	rng *rand.Rand
}

func newBench(w workload, s scheme, arrivalSeed uint64) *bench {
	var accounts []config.Account
	for _, d := range w.demands {
		accounts = append(accounts, d.Account)
	}
	b := &bench{w: w, scheme: s, f: newFleet(20261204, 3, 4, w.delays, DemandPolicy, accounts)}
	b.counter = newStoreCounter(w)
	b.static = staticSplit(b.f, w)
	for _, d := range w.demands {
		for n := range d.callers {
			c := &simCaller{demand: d, region: id.Region(fmt.Sprintf("r%d", n%3)), rate: d.perSecond / float64(d.callers), rng: rand.New(rand.NewPCG(arrivalSeed+uint64(n), xxhash.Sum64String(string(d.ID))))}
			c.seed = c.rng.Uint64()
			b.next(c)
		}
	}
	return b
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

// next schedules the caller's next request.
func (b *bench) next(c *simCaller) {
	pause := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
	b.f.at(pause, func() {
		b.next(c)
		a := &arrival{account: c.demand.ID, at: b.f.now}
		b.arrivals = append(b.arrivals, a)
		b.send(c, a, 0)
	})
}

// send tries the hosts of the caller's kept answer in order.
func (b *bench) send(c *simCaller, a *arrival, attempt int) {
	if b.f.now >= c.keep || attempt >= len(c.hosts) {
		b.lookUp(c)
	}
	if attempt >= len(c.hosts) {
		a.decided = true
		return
	}
	h := b.f.host(c.hosts[attempt])
	if h.dead || h.frozen {
		b.send(c, a, attempt+1)
		return
	}
	b.admit(c, h, a, attempt)
}

func (b *bench) admit(c *simCaller, h *simHost, a *arrival, attempt int) {
	switch b.scheme {
	case schemeStatic:
		a.decided = true
		a.granted = b.static[h.id].Spend(a.account, unit.Token, b.f.now) == budget.Granted
	case schemeCounter:
		b.counter.ask(b.f, h, a)
	default:
		if !b.f.mayServe(h) || !h.agent.shares.Valid(b.f.local(h)) && attempt+1 < len(c.hosts) {
			b.send(c, a, attempt+1)
			return
		}
		b.f.request(h, a.account, answerPatience, func(admitted bool) { a.granted, a.decided = admitted, true })
	}
}

// lookUp asks a live host, and keeps the answer.
func (b *bench) lookUp(c *simCaller) {
	c.hosts = nil
	for range 20 {
		h := b.f.hosts[b.f.rng.IntN(len(b.f.hosts))]
		if h.dead || h.frozen {
			continue
		}
		account := c.demand.ID
		if b.scheme != schemeShares {
			account = ""
		}
		answer := h.agent.View().Lookup.Load().Lookup(c.region, account, c.seed)
		for _, named := range answer.Hosts[:answer.Count] {
			c.hosts = append(c.hosts, named.ID)
		}
		c.keep = b.f.now.Add(LookupTTL)
		if len(c.hosts) > 0 {
			return
		}
	}
}

// storeCounter is the baseline of one counter in the store for each account.
// Each request is a write; the store takes 500 a second.
type storeCounter struct {
	buckets map[id.Account]*budget.Bucket[unit.Tokens]
	freeAt  clock.Instant
	writes  int
}

const counterWrite = 2 * time.Millisecond

func newStoreCounter(w workload) *storeCounter {
	c := &storeCounter{buckets: map[id.Account]*budget.Bucket[unit.Tokens]{}}
	for _, d := range w.demands {
		share := budget.Share[unit.Tokens]{Rate: unit.Whole(d.RatePerSecond), Burst: unit.Whole(d.Burst)}
		c.buckets[d.ID] = budget.NewBucket(share, clock.Instant(time.Hour))
	}
	return c
}

func (c *storeCounter) ask(f *simFleet, h *simHost, a *arrival) {
	way := f.delay(h.region, f.delays.storeRegion)
	arrive := f.now.Add(way)
	start := max(arrive, c.freeAt)
	a.decided = true
	if f.store.mode != storeUp || start.Sub(f.now)+counterWrite+way > answerPatience {
		return
	}
	c.freeAt = start.Add(counterWrite)
	c.writes++
	a.granted = c.buckets[a.account].Spend(unit.Token, start)
}
