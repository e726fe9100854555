package roster

import (
	"fmt"
	"math"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// crowd is many hosts that exchange letters over links without delay.
type crowd struct {
	clock   *clock.Fake
	hosts   []*crowdHost
	byName  map[id.Host]*crowdHost
	cut     func(a, b *crowdHost) bool
	letters int
}

type crowdHost struct {
	Member
	roster   *Roster
	sentAt   clock.Instant
	sequence id.Sequence
	dead     bool
	failing  bool
	// part is what the host uses of the account's quota.
	part  float64
	inbox []Outgoing
}

const (
	crowdTick   = 200 * time.Millisecond
	weakHost    = unit.PerSecond(100)
	strongHost  = unit.PerSecond(500)
	crowdDemand = 2.0
)

var crowdAccounts = []*desired.Account{{ID: "choir", Rate: 100, Burst: 100}}

// newCrowd returns regions with two failure domains each, of which the first two
// hosts of each are strong.
func newCrowd(regions, perDomain int) *crowd {
	c := &crowd{clock: clock.NewFake(), byName: map[id.Host]*crowdHost{}, cut: func(a, b *crowdHost) bool { return false }}
	var members []Member
	for r := range regions {
		for d := range 2 {
			for n := range perDomain {
				m := member(fmt.Sprintf("r%d-%d-%02d", r, d, n), fmt.Sprintf("r%d", r), fmt.Sprintf("r%d-%d", r, d))
				m.Capacity = weakHost
				if n < 2 {
					m.Capacity = strongHost
				}
				members = append(members, m)
			}
		}
	}
	for _, m := range members {
		h := &crowdHost{Member: m, roster: New(m, c.clock.Now()), part: 1 / float64(len(members))}
		h.roster.SetListed(members)
		c.hosts = append(c.hosts, h)
		c.byName[m.ID] = h
	}
	return c
}

// run lets the hosts live for d; look is called after each step.
func (c *crowd) run(d time.Duration, look func(at time.Duration)) {
	for at := time.Duration(0); at < d; at += crowdTick {
		for _, h := range c.hosts {
			if !h.dead {
				c.step(h)
			}
		}
		c.clock.Advance(crowdTick)
		if look != nil {
			look(at)
		}
	}
}

func (c *crowd) step(h *crowdHost) {
	now := c.clock.Now()
	inbox := h.inbox
	h.inbox = nil
	for _, l := range inbox {
		h.roster.ReceiveDigest(*l.Digest, now)
		if l.Bulletin != nil {
			h.roster.ReceiveBulletin(l.Digest.Host.ID, l.Bulletin, now)
		}
	}
	if !h.roster.Due(h.sentAt, now) {
		return
	}
	h.sentAt = now
	h.sequence++
	own := Digest{
		Incarnation: 1, Sequence: h.sequence, Host: h.Host, ReadsFailing: h.failing, RequestRate: crowdDemand,
		Quota: quota.Report{Demand: map[id.Account]float64{"choir": crowdDemand}, Part: map[id.Account]float64{"choir": h.part}},
	}
	letters, _ := h.roster.Messages(own, crowdAccounts, now)
	for _, l := range letters {
		for _, to := range l.To {
			c.letters++
			if other := c.byName[to]; !other.dead && !c.cut(h, other) {
				other.inbox = append(other.inbox, l)
			}
		}
	}
}

// missing counts the pairs of living hosts of which one does not hear of the other.
func (c *crowd) missing(wanted func(by, of *crowdHost) bool) int {
	n := 0
	for _, by := range c.hosts {
		if by.dead {
			continue
		}
		live := map[id.Host]bool{by.ID: true}
		for _, d := range by.roster.Live(c.clock.Now()) {
			live[d.Host.ID] = true
		}
		for _, of := range c.hosts {
			if !of.dead && wanted(by, of) && !live[of.ID] {
				n++
			}
		}
	}
	return n
}

func all(*crowdHost, *crowdHost) bool { return true }

func TestManyHostsHearOfEachOtherThroughHubs(t *testing.T) {
	c := newCrowd(3, 11)
	c.run(3*time.Second, nil)
	if got := c.missing(all); got != 0 {
		t.Errorf("got %d pairs of hosts of which one does not hear of the other, want none", got)
	}
	c.letters = 0
	c.run(10*time.Second, nil)
	// A host sends two letters each interval; a hub answers each of its followers.
	perHost := float64(c.letters) / float64(len(c.hosts)) / 10
	if most := 5 / hubbedInterval.Seconds(); perHost > most {
		t.Errorf("got %.1f letters a second from a host, want at most %.1f", perHost, most)
	}
}

// TestLostHubIsReplaced kills the hub of a region: nobody else may seem to be
// gone meanwhile, and the lost hub must not seem to live on.
func TestLostHubIsReplaced(t *testing.T) {
	c := newCrowd(3, 11)
	c.run(5*time.Second, nil)
	hub := c.byName[c.hosts[5].roster.Reader(false, false, c.clock.Now())]
	hub.dead = true
	c.run(10*time.Second, func(at time.Duration) {
		if got := c.missing(all); got != 0 {
			t.Errorf("%v after the loss: got %d pairs of hosts of which one does not hear of the other, want none", at, got)
		}
	})
	for _, h := range c.hosts {
		for _, d := range h.roster.Live(c.clock.Now()) {
			if d.Host.ID == hub.ID && !h.dead {
				t.Errorf("%s: got the lost hub alive, want it gone", h.ID)
			}
		}
	}
}

// TestLostHostIsNoticedInTime kills a host that is no hub.
func TestLostHostIsNoticedInTime(t *testing.T) {
	c := newCrowd(3, 11)
	c.run(5*time.Second, nil)
	lost := c.hosts[len(c.hosts)-1]
	lost.dead = true
	c.run(4*time.Second, nil)
	for _, h := range c.hosts {
		for _, d := range h.roster.Live(c.clock.Now()) {
			if d.Host.ID == lost.ID && !h.dead {
				t.Errorf("%s: got the lost host alive after 4 s, want it gone", h.ID)
			}
		}
	}
}

// TestCutFailureDomainFindsItsOwnHubAndReturns cuts the failure domain that has
// the hub and its standby from all others.
func TestCutFailureDomainFindsItsOwnHubAndReturns(t *testing.T) {
	c := newCrowd(3, 11)
	c.run(5*time.Second, nil)
	in := func(h *crowdHost) bool { return h.FailureDomain == "r0-0" }
	c.cut = func(a, b *crowdHost) bool { return in(a) != in(b) }
	c.run(8*time.Second, nil)
	if got := c.missing(func(by, of *crowdHost) bool { return in(by) == in(of) }); got != 0 {
		t.Errorf("got %d pairs on the same side of the cut of which one does not hear of the other, want none", got)
	}
	c.cut = func(a, b *crowdHost) bool { return false }
	c.run(25*time.Second, nil)
	if got := c.missing(all); got != 0 {
		t.Errorf("after the cut has healed: got %d pairs of which one does not hear of the other, want none", got)
	}
}

// TestHubThatCannotReadIsReplaced takes the store from the hub of a region.
func TestHubThatCannotReadIsReplaced(t *testing.T) {
	c := newCrowd(3, 11)
	c.run(5*time.Second, nil)
	host := c.hosts[8]
	old := c.byName[host.roster.Reader(false, false, c.clock.Now())]
	old.failing = true
	c.run(5*time.Second, func(at time.Duration) {
		if got := c.missing(all); got != 0 {
			t.Errorf("%v after the change: got %d pairs of hosts of which one does not hear of the other, want none", at, got)
		}
	})
	next := c.byName[host.roster.Reader(false, false, c.clock.Now())]
	if next == old || next.Region != host.Region {
		t.Errorf("got %s to read, want another host of the region", next.ID)
	}
}

// TestQuotasAreSummedUpByRegion compares the demand that a host divides by with
// that of all others, while all live and when a region falls silent.
func TestQuotasAreSummedUpByRegion(t *testing.T) {
	c := newCrowd(3, 11)
	c.run(6*time.Second, nil)
	h := c.hosts[7]
	told := quota.Report{Demand: map[id.Account]float64{"choir": crowdDemand}, Part: map[id.Account]float64{"choir": 1.0 / 66}}
	peers := h.roster.QuotaPeers(told, crowdAccounts, c.clock.Now())
	if got, want := peers.Demand["choir"], 65*crowdDemand; math.Abs(got-want) > 0.01 {
		t.Errorf("got a demand of %v at the others, want %v", got, want)
	}
	if got := peers.Unreported + peers.Silent["choir"]; got > 0.001 {
		t.Errorf("got %v left to silent hosts, want nothing", got)
	}
	c.cut = func(a, b *crowdHost) bool { return (a.Region == "r2") != (b.Region == "r2") }
	c.run(10*time.Second, nil)
	peers = h.roster.QuotaPeers(told, crowdAccounts, c.clock.Now())
	if got, want := peers.Silent["choir"], 22.0/66; math.Abs(got-want) > 0.02 {
		t.Errorf("got %v left to a silent region, want what it used, %v", got, want)
	}
}

// TestNewHubLeavesSilentHostsTheirParts cuts the failure domain off whose hosts
// use the smaller part of a quota. Its new hub has never heard what the hosts on
// the other side use.
func TestNewHubLeavesSilentHostsTheirParts(t *testing.T) {
	c := newCrowd(3, 11)
	const large = 0.3
	for _, h := range c.hosts {
		h.part = 0.2 / float64(len(c.hosts))
		if h.FailureDomain == "r0-0" && h.Capacity == strongHost {
			h.part = large
		}
	}
	c.run(6*time.Second, nil)
	in := func(h *crowdHost) bool { return h.FailureDomain == "r0-1" }
	c.cut = func(a, b *crowdHost) bool { return in(a) != in(b) }
	h := c.byName["r0-1-00"]
	told := quota.Report{Demand: map[id.Account]float64{"choir": crowdDemand}, Part: map[id.Account]float64{"choir": h.part}}
	c.run(12*time.Second, func(at time.Duration) {
		peers := h.roster.QuotaPeers(told, crowdAccounts, c.clock.Now())
		if at >= 2*time.Second && !peers.Stale && peers.Silent["choir"] < 2*large {
			t.Errorf("%v after the cut: got %.3f left to silent hosts, want the %.1f that they use, or no growth", at, peers.Silent["choir"], 2*large)
		}
	})
}

// TestDirectoryNamesTheStrongHosts keeps clients, who choose at random, from weak
// hosts while there are strong ones.
func TestDirectoryNamesTheStrongHosts(t *testing.T) {
	c := newCrowd(3, 11)
	c.run(5*time.Second, nil)
	r := c.hosts[20].roster
	if got, want := len(r.Nearby("r0", "r0-1", false, c.clock.Now())), 2; got != want {
		t.Errorf("got %d hosts named, want the %d strong ones", got, want)
	}
	c.byName["r0-1-00"].dead = true
	c.run(5*time.Second, nil)
	if got, want := len(r.Nearby("r0", "r0-1", false, c.clock.Now())), 10; got != want {
		t.Errorf("one strong host left: got %d hosts named, want all %d", got, want)
	}
	if got, want := r.Nearby("r0", "r0-0", false, c.clock.Now()), []fleet.Host{c.byName["r0-0-00"].Host, c.byName["r0-0-01"].Host}; len(got) != len(want) {
		t.Errorf("got %v named, want %v", got, want)
	}
}

// TestHostsThatNeverLivedAreNoHubs lists strong hosts that are gone before the
// others start.
func TestHostsThatNeverLivedAreNoHubs(t *testing.T) {
	c := newCrowd(3, 11)
	for _, gone := range []int{0, 1, 11, 12} {
		c.hosts[gone].dead = true
	}
	c.run(8*time.Second, nil)
	if got := c.missing(all); got != 0 {
		t.Errorf("got %d pairs of hosts of which one does not hear of the other, want none", got)
	}
}
