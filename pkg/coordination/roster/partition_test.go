package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// Figures of the accounts' promise: in each window no more requests than the rate and the
// burst allow, an excess of a tenth, and slack.
const (
	promisedWindow = 5 * time.Second
	promisedExcess = 0.1
	promisedSlack  = 20
)

// quotaCluster simulates hosts that divide the quota of one account, whose clients ask for
// more than it at all hosts, while links between regions are cut. The store stands in
// region r0; only hosts that reach that region learn of new hosts.
type quotaCluster struct {
	t       *testing.T
	clock   *clock.Fake
	hosts   []*quotaHost
	byID    map[id.Host]*quotaHost
	members []Member
	account *desired.Account
	// demand is the rate of requests at each host, unless regionDemand has its region.
	demand       float64
	regionDemand map[id.Region]float64
	rng          *rand.Rand
	cut          map[[2]id.Region]bool
	admitted     []clock.Instant
	// incarnations numbers the starts of hosts.
	incarnations id.Incarnation
}

type quotaHost struct {
	Member
	roster   *Roster
	shares   *quota.Shares
	report   quota.Report
	sentAt   clock.Instant
	sequence id.Sequence
	inbox    []Outgoing
	owed     float64
	down     bool
}

func newQuotaCluster(t *testing.T, seed uint64, perDomain int) *quotaCluster {
	c := &quotaCluster{
		t: t, clock: clock.NewFake(), byID: map[id.Host]*quotaHost{}, rng: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]id.Region]bool{},
		account: &desired.Account{ID: "choir", Rate: 100, Burst: 100}, demand: 14,
	}
	for r := range 3 {
		for d := range 2 {
			for n := range perDomain {
				c.addMember(fmt.Sprintf("r%d-%d-%02d", r, d, n), n < 2)
			}
		}
	}
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

// addMember lists a host whose name begins with its failure domain.
func (c *quotaCluster) addMember(name string, strong bool) Member {
	m := member(name, name[:2], name[:4])
	m.Capacity = weakCapacity
	if strong {
		m.Capacity = strongCapacity
	}
	c.members = append(c.members, m)
	return m
}

// start starts a host, or starts it again without what it knew.
func (c *quotaCluster) start(m Member) {
	c.incarnations++
	m.Incarnation = c.incarnations
	h := &quotaHost{Member: m, roster: New(m, c.clock.Now())}
	h.shares = quota.New(quota.Tolerance{Window: promisedWindow, Excess: promisedExcess, Slack: promisedSlack}, c.clock.Now())
	h.roster.SetListed(c.members)
	if old := c.byID[m.ID]; old != nil {
		c.hosts[slices.Index(c.hosts, old)] = h
	} else {
		c.hosts = append(c.hosts, h)
	}
	c.byID[m.ID] = h
}

func (c *quotaCluster) isCut(from, to id.Region) bool { return c.cut[[2]id.Region{from, to}] }

// list tells the hosts that reach the store which hosts are listed.
func (c *quotaCluster) list() {
	for _, h := range c.hosts {
		if !c.isCut(h.Region, "r0") && !c.isCut("r0", h.Region) {
			h.roster.SetListed(c.members)
		}
	}
}

// prune removes the rows of the hosts that a host of the store's region takes for gone.
func (c *quotaCluster) prune() {
	for _, h := range c.hosts {
		if h.down || h.Region != "r0" {
			continue
		}
		expired := h.roster.Expired(c.clock.Now())
		c.members = slices.DeleteFunc(c.members, func(m Member) bool { return slices.Contains(expired, m.ID) })
		c.list()
		return
	}
}

func (c *quotaCluster) run(d time.Duration) {
	for end := c.clock.Now().Add(d); c.clock.Now() < end; c.clock.Advance(clusterTick) {
		for _, h := range c.hosts {
			if !h.down {
				c.step(h)
			}
		}
	}
}

func (c *quotaCluster) step(h *quotaHost) {
	now, accounts := c.clock.Now(), []*desired.Account{c.account}
	for _, m := range h.inbox {
		h.roster.ReceiveDigest(*m.Digest, now)
		if m.Bulletin != nil {
			h.roster.ReceiveBulletin(m.Digest.Host.ID, m.Bulletin, now)
		}
	}
	h.inbox = nil
	h.shares.Rebalance(accounts, h.roster.QuotaPeers(h.report, accounts, now), now)
	demand, known := c.regionDemand[h.Region]
	if !known {
		demand = c.demand
	}
	for h.owed += demand * clusterTick.Seconds(); h.owed >= 1; h.owed-- {
		if ok, _ := h.shares.Take(c.account.ID, now); ok {
			c.admitted = append(c.admitted, now)
		}
	}
	if !h.roster.Due(h.sentAt, now) {
		return
	}
	h.sentAt = now
	h.sequence++
	h.report = h.shares.NextReport()
	own := Digest{
		Incarnation: h.Incarnation, Sequence: h.sequence, Quota: h.report, RequestRate: h.shares.RequestRate(),
		Host: fleet.Host{ID: h.ID, Region: h.Region, FailureDomain: h.FailureDomain, Capacity: h.Capacity},
	}
	messages, _ := h.roster.NextMessages(own, accounts, now)
	for _, m := range messages {
		for _, to := range m.To {
			if other := c.byID[to]; other != nil && !other.down && !c.isCut(h.Region, other.Region) {
				other.inbox = append(other.inbox, m)
			}
		}
	}
}

// mostInWindow returns the largest number of requests that were admitted in a window.
func (c *quotaCluster) mostInWindow() (most int, at clock.Instant) {
	first := 0
	for i, t := range c.admitted {
		for t.Sub(c.admitted[first]) >= promisedWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, t
		}
	}
	return most, at
}

// bound is the number of requests that the promise allows in a window.
func (c *quotaCluster) bound() int {
	return int((c.account.Rate*promisedWindow.Seconds()+c.account.Burst)*(1+promisedExcess) + promisedSlack)
}

// TestQuotaHoldsInPartitionsOfAnyLength guards against both sides of a partition that
// admit the whole quota once the other has been silent for long. Regions lose each other
// at random, also one way only and for minutes, while hosts restart, stop and join. After
// the last heal, nine tenths of the quota must be used again.
func TestQuotaHoldsInPartitionsOfAnyLength(t *testing.T) {
	seeds := uint64(4)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		// A full mesh with few hosts, hubs with many.
		c := newQuotaCluster(t, seed, []int{5, 3}[seed%2])
		start := c.clock.Now()
		var events []string
		c.run(20 * time.Second)
		for range 3 {
			lone := id.Region(fmt.Sprint("r", c.rng.IntN(3)))
			oneWay := c.rng.IntN(3) == 0
			length := 5*time.Second + time.Duration(c.rng.Int64N(int64(5*time.Minute)))
			events = append(events, fmt.Sprintf("%v: %s alone for %v, one way %v", c.clock.Now().Sub(start), lone, length.Round(time.Second), oneWay))
			c.cutOff(lone, oneWay)
			for range 4 {
				c.run(length / 5)
				c.disturb(&events, start)
			}
			c.run(length / 5)
			clear(c.cut)
			c.list()
			c.run(30 * time.Second)
			c.prune()
		}
		if most, at := c.mostInWindow(); most > c.bound() {
			t.Errorf("seed %d: got %d requests within %v up to %v, want at most %d\n%s", seed, most, promisedWindow, at.Sub(start), c.bound(), strings.Join(events, "\n"))
		}
		// Hosts that are gone keep their parts until their rows are removed.
		c.run(expiryTimeout)
		c.prune()
		c.run(30 * time.Second)
		healed := c.clock.Now().Add(-20 * time.Second)
		used := 0
		for _, at := range c.admitted {
			if at >= healed {
				used++
			}
		}
		if want := int(0.9 * c.account.Rate * 20); used < want {
			t.Errorf("seed %d: got %d requests in the last 20 s, want at least %d\n%s", seed, used, want, strings.Join(events, "\n"))
		}
	}
}

// disturb restarts, stops or adds a host, or does nothing.
func (c *quotaCluster) disturb(events *[]string, start clock.Instant) {
	h := c.hosts[c.rng.IntN(len(c.hosts))]
	note := func(what string) {
		*events = append(*events, fmt.Sprintf("%v: %s %s", c.clock.Now().Sub(start), h.ID, what))
	}
	switch c.rng.IntN(4) {
	case 0:
		note("restarts")
		c.start(h.Member)
	case 1:
		note("goes down")
		h.down = true
	case 2:
		domain := string(h.FailureDomain)
		if c.isCut(h.Region, "r0") || c.isCut("r0", h.Region) {
			domain = "r0-0"
		}
		m := c.addMember(fmt.Sprintf("%s-%02d", domain, len(c.members)), false)
		c.start(m)
		c.list()
		note("is joined by " + string(m.ID))
	}
}
