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

// cluster simulates hosts that exchange messages over links without delay.
type cluster struct {
	clock *clock.Fake
	hosts []*clusterHost
	byID  map[id.Host]*clusterHost
	// cut reports whether the link between two hosts loses all messages.
	cut func(a, b *clusterHost) bool
	// messages counts the messages sent, one for each receiver.
	messages int
	// bulletins counts the bulletins to hosts that clients use, true, and to idle ones.
	bulletins map[bool]int
}

type clusterHost struct {
	Member
	roster       *Roster
	sentAt       clock.Instant
	sequence     id.Sequence
	stopped      bool
	readsFailing bool
	countsUsage  bool
	// part is the part of the account's quota that the host uses.
	part  float64
	inbox []Outgoing
}

const (
	clusterTick    = 200 * time.Millisecond
	weakCapacity   = unit.PerSecond(100)
	strongCapacity = unit.PerSecond(500)
	// clusterDemand is the request rate of the account at each host, per second.
	clusterDemand = 2.0
)

var clusterAccounts = []*desired.Account{{ID: "choir", Rate: 100, Burst: 100}}

// newCluster returns a cluster of regions with two failure domains each, which have
// perDomain hosts; the first two hosts of each failure domain are strong.
func newCluster(regions, perDomain int) *cluster {
	c := &cluster{clock: clock.NewFake(), byID: map[id.Host]*clusterHost{}, bulletins: map[bool]int{}, cut: func(a, b *clusterHost) bool { return false }}
	var members []Member
	for r := range regions {
		for d := range 2 {
			for n := range perDomain {
				m := member(fmt.Sprintf("r%d-%d-%02d", r, d, n), fmt.Sprintf("r%d", r), fmt.Sprintf("r%d-%d", r, d))
				m.Capacity = weakCapacity
				if n < 2 {
					m.Capacity = strongCapacity
				}
				members = append(members, m)
			}
		}
	}
	for _, m := range members {
		h := &clusterHost{Member: m, roster: New(m, c.clock.Now()), part: 1 / float64(len(members))}
		h.roster.SetListed(members)
		c.hosts = append(c.hosts, h)
		c.byID[m.ID] = h
	}
	return c
}

// run advances the cluster by d and calls afterStep, if any, after each tick.
func (c *cluster) run(d time.Duration, afterStep func(at time.Duration)) {
	for at := time.Duration(0); at < d; at += clusterTick {
		for _, h := range c.hosts {
			if !h.stopped {
				c.step(h)
			}
		}
		c.clock.Advance(clusterTick)
		if afterStep != nil {
			afterStep(at)
		}
	}
}

// requestRate returns the rate of requests that a host reports: clients use the strong
// hosts, the others are idle.
func (c *cluster) requestRate(h *clusterHost) float64 {
	if h.Capacity < strongCapacity {
		return 0
	}
	return clusterDemand
}

// step handles the messages that a host received and sends its own if they are due.
func (c *cluster) step(h *clusterHost) {
	now := c.clock.Now()
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		h.roster.ReceiveDigest(*m.Digest, now)
		if m.Bulletin != nil {
			h.roster.ReceiveBulletin(m.Digest.Host.ID, m.Bulletin, now)
		}
	}
	if !h.roster.Due(h.sentAt, now) {
		return
	}
	h.sentAt = now
	h.sequence++
	own := Digest{
		Incarnation: 1, Sequence: h.sequence, Host: h.Host, ReadsFailing: h.readsFailing, CountsUsage: h.countsUsage, RequestRate: c.requestRate(h),
		Quota: quota.Report{Demand: map[id.Account]float64{"choir": clusterDemand}, Part: map[id.Account]float64{"choir": h.part}},
	}
	messages, _ := h.roster.NextMessages(own, clusterAccounts, now)
	for _, m := range messages {
		for _, to := range m.To {
			c.messages++
			if m.Bulletin != nil && c.byID[to].Region == h.Region {
				c.bulletins[c.requestRate(c.byID[to]) > 0]++
			}
			if other := c.byID[to]; !other.stopped && !c.cut(h, other) {
				other.inbox = append(other.inbox, m)
			}
		}
	}
}

// missingPairs counts the expected ordered pairs of hosts of which the first does not see
// the second as live although both are running.
func (c *cluster) missingPairs(expected func(from, to *clusterHost) bool) int {
	n := 0
	for _, from := range c.hosts {
		if from.stopped {
			continue
		}
		live := map[id.Host]bool{from.ID: true}
		for _, d := range from.roster.Live(c.clock.Now()) {
			live[d.Host.ID] = true
		}
		for _, to := range c.hosts {
			if !to.stopped && expected(from, to) && !live[to.ID] {
				n++
			}
		}
	}
	return n
}

// all expects every host to see every other one.
func all(*clusterHost, *clusterHost) bool { return true }

// TestManyHostsSeeEachOtherThroughHubs checks that all hosts see each other as live
// and that each host sends few messages.
func TestManyHostsSeeEachOtherThroughHubs(t *testing.T) {
	c := newCluster(3, 11)
	c.run(3*time.Second, nil)
	if got := c.missingPairs(all); got != 0 {
		t.Errorf("got %d pairs of hosts of which one does not see the other, want none", got)
	}
	c.messages = 0
	c.run(10*time.Second, nil)
	// A host sends two messages each interval, and a hub replies to each of its followers.
	perHost := float64(c.messages) / float64(len(c.hosts)) / 10
	if maxPerHost := 5 / hubMessageInterval.Seconds(); perHost > maxPerHost {
		t.Errorf("got %.1f messages a second from a host, want at most %.1f", perHost, maxPerHost)
	}
}

// TestLostHubIsReplaced stops the hub of a region. All other hosts must stay visible
// during the change of hub, and the lost hub must not stay live in any view.
func TestLostHubIsReplaced(t *testing.T) {
	c := newCluster(3, 11)
	c.run(5*time.Second, nil)
	lostHub := c.byID[c.hosts[5].roster.Reader(false, false, c.clock.Now())]
	lostHub.stopped = true
	c.run(10*time.Second, func(at time.Duration) {
		if got := c.missingPairs(all); got != 0 {
			t.Errorf("%v after the loss: got %d pairs of hosts of which one does not see the other, want none", at, got)
		}
	})
	for _, h := range c.hosts {
		for _, d := range h.roster.Live(c.clock.Now()) {
			if d.Host.ID == lostHub.ID && !h.stopped {
				t.Errorf("%s: got the lost hub as live, want it absent", h.ID)
			}
		}
	}
}

// TestLostHostIsDetectedInTime stops a host that is not a hub. Most other hosts know
// it from bulletins only, which must not keep it live for more than 4 seconds.
func TestLostHostIsDetectedInTime(t *testing.T) {
	c := newCluster(3, 11)
	c.run(5*time.Second, nil)
	lost := c.hosts[len(c.hosts)-1]
	lost.stopped = true
	c.run(4*time.Second, nil)
	for _, h := range c.hosts {
		for _, d := range h.roster.Live(c.clock.Now()) {
			if d.Host.ID == lost.ID && !h.stopped {
				t.Errorf("%s: got the lost host as live after 4 s, want it absent", h.ID)
			}
		}
	}
}

// TestPartitionedFailureDomainChoosesItsOwnHubAndRejoins separates the failure domain
// that has the hub and its standby from all others. Each side must find a hub of its own,
// and after the partition the two sides must not continue to follow different hubs.
func TestPartitionedFailureDomainChoosesItsOwnHubAndRejoins(t *testing.T) {
	c := newCluster(3, 11)
	c.run(5*time.Second, nil)
	cutOff := func(h *clusterHost) bool { return h.FailureDomain == "r0-0" }
	c.cut = func(a, b *clusterHost) bool { return cutOff(a) != cutOff(b) }
	c.run(8*time.Second, nil)
	if got := c.missingPairs(func(from, to *clusterHost) bool { return cutOff(from) == cutOff(to) }); got != 0 {
		t.Errorf("got %d pairs on the same side of the partition of which one does not see the other, want none", got)
	}
	c.cut = func(a, b *clusterHost) bool { return false }
	c.run(25*time.Second, nil)
	if got := c.missingPairs(all); got != 0 {
		t.Errorf("after the partition: got %d pairs of which one does not see the other, want none", got)
	}
}

// TestHubThatCannotReadIsReplaced makes the store unreadable for the hub of a region. A
// host of the region that can read must replace it, and no host may seem lost meanwhile.
func TestHubThatCannotReadIsReplaced(t *testing.T) {
	c := newCluster(3, 11)
	c.run(5*time.Second, nil)
	host := c.hosts[8]
	old := c.byID[host.roster.Reader(false, false, c.clock.Now())]
	old.readsFailing = true
	c.run(5*time.Second, func(at time.Duration) {
		if got := c.missingPairs(all); got != 0 {
			t.Errorf("%v after the change: got %d pairs of hosts of which one does not see the other, want none", at, got)
		}
	})
	replacement := c.byID[host.roster.Reader(false, false, c.clock.Now())]
	if replacement == old || replacement.Region != host.Region {
		t.Errorf("got %s to read, want another host of the region", replacement.ID)
	}
}

// TestQuotaTotalsAreSummedByRegion checks that the demand which a host learns from the
// totals is that of all other hosts, itself not counted, and that the parts of a region
// that falls silent stay reserved.
func TestQuotaTotalsAreSummedByRegion(t *testing.T) {
	c := newCluster(3, 11)
	c.run(6*time.Second, nil)
	h := c.hosts[7]
	report := quota.Report{Demand: map[id.Account]float64{"choir": clusterDemand}, Part: map[id.Account]float64{"choir": 1.0 / 66}}
	peers := h.roster.QuotaPeers(report, clusterAccounts, c.clock.Now())
	if got, want := peers.Demand["choir"], 65*clusterDemand; math.Abs(got-want) > 0.01 {
		t.Errorf("got a demand of %v at the others, want %v", got, want)
	}
	if got := peers.Unreported + peers.Silent["choir"]; got > 0.001 {
		t.Errorf("got %v reserved for silent hosts, want nothing", got)
	}
	c.cut = func(a, b *clusterHost) bool { return (a.Region == "r2") != (b.Region == "r2") }
	c.run(10*time.Second, nil)
	peers = h.roster.QuotaPeers(report, clusterAccounts, c.clock.Now())
	if got, want := peers.Silent["choir"], 22.0/66; math.Abs(got-want) > 0.02 {
		t.Errorf("got %v reserved for a silent region, want the part that it used, %v", got, want)
	}
}

// TestNewHubReservesPartsOfSilentHosts partitions off the failure domain whose hosts
// use the smaller part of a quota. Its new hub has received no reports from the hosts
// on the other side, and must still reserve the parts that they use.
func TestNewHubReservesPartsOfSilentHosts(t *testing.T) {
	c := newCluster(3, 11)
	const largePart = 0.3
	for _, h := range c.hosts {
		h.part = 0.2 / float64(len(c.hosts))
		if h.FailureDomain == "r0-0" && h.Capacity == strongCapacity {
			h.part = largePart
		}
	}
	c.run(6*time.Second, nil)
	cutOff := func(h *clusterHost) bool { return h.FailureDomain == "r0-1" }
	c.cut = func(a, b *clusterHost) bool { return cutOff(a) != cutOff(b) }
	h := c.byID["r0-1-00"]
	report := quota.Report{Demand: map[id.Account]float64{"choir": clusterDemand}, Part: map[id.Account]float64{"choir": h.part}}
	c.run(12*time.Second, func(at time.Duration) {
		peers := h.roster.QuotaPeers(report, clusterAccounts, c.clock.Now())
		if at >= 2*time.Second && !peers.Stale && peers.Silent["choir"] < 2*largePart {
			t.Errorf("%v after the partition: got %.3f reserved for silent hosts, want the %.1f that they use, or no growth", at, peers.Silent["choir"], 2*largePart)
		}
	})
}

// TestNearbyReturnsTheStrongHosts checks that clients, which choose at random, get no
// weak hosts while there are two strong ones, and get all hosts when one is left.
func TestNearbyReturnsTheStrongHosts(t *testing.T) {
	c := newCluster(3, 11)
	c.run(5*time.Second, nil)
	r := c.hosts[20].roster
	if got, want := len(r.Nearby("r0", "r0-1", false, c.clock.Now())), 2; got != want {
		t.Errorf("got %d hosts, want the %d strong ones", got, want)
	}
	c.byID["r0-1-00"].stopped = true
	c.run(5*time.Second, nil)
	if got, want := len(r.Nearby("r0", "r0-1", false, c.clock.Now())), 10; got != want {
		t.Errorf("one strong host left: got %d hosts, want all %d", got, want)
	}
	if got, want := r.Nearby("r0", "r0-0", false, c.clock.Now()), []fleet.Host{c.byID["r0-0-00"].Host, c.byID["r0-0-01"].Host}; len(got) != len(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestHostsThatNeverStartedAreNotHubs lists the strong hosts of a region, the best hub
// candidates, although they have never started. The other hosts must find a hub anyway.
func TestHostsThatNeverStartedAreNotHubs(t *testing.T) {
	c := newCluster(3, 11)
	for _, down := range []int{0, 1, 11, 12} {
		c.hosts[down].stopped = true
	}
	c.run(8*time.Second, nil)
	if got := c.missingPairs(all); got != 0 {
		t.Errorf("got %d pairs of hosts of which one does not see the other, want none", got)
	}
}

// TestIdleFollowersGetFewerBulletins counts the bulletins to the followers of one hub in
// a settled cluster of many hosts, most of which no client uses.
func TestIdleFollowersGetFewerBulletins(t *testing.T) {
	c := newCluster(3, 20)
	c.run(2*newHubPeriod, nil)
	clear(c.bulletins)
	const rounds = 30
	c.run(rounds*hubMessageInterval, nil)
	const strongFollowers, idleFollowers = 3 * 3, 3 * 36
	if got, want := c.bulletins[true], strongFollowers*rounds; got < want*9/10 {
		t.Errorf("got %d bulletins to the hosts that clients use, want about %d", got, want)
	}
	if got, want := c.bulletins[false], idleFollowers*rounds/roundsPerFullRound; got > want*11/10 || got < want*9/10 {
		t.Errorf("got %d bulletins to idle hosts, want about %d", got, want)
	}
}

// TestReportThatIsKeptStaysInUse leaves the quota report out of some digests. The last
// one must count on, but not that of an earlier incarnation.
func TestReportThatIsKeptStaysInUse(t *testing.T) {
	c := newCluster(1, 20)
	hub, sender := c.hosts[0], c.hosts[5]
	digest := Digest{Incarnation: 1, Sequence: 1, Host: sender.Host, Quota: quota.Report{Part: map[id.Account]float64{"choir": 0.25}}}
	hub.roster.ReceiveDigest(digest, c.clock.Now())
	receivePart := func(incarnation id.Incarnation) float64 {
		digest.Incarnation, digest.Quota, digest.QuotaKept = incarnation, quota.Report{}, true
		digest.Sequence++
		c.clock.Advance(hubMessageInterval)
		hub.roster.ReceiveDigest(digest, c.clock.Now())
		return hub.roster.states[sender.ID].digest.Quota.Part["choir"]
	}
	if got, want := receivePart(1), 0.25; got != want {
		t.Errorf("got a part of %v, want %v", got, want)
	}
	if got := receivePart(2); got != 0 {
		t.Errorf("got a part of %v after a restart, want none", got)
	}
}
