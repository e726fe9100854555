package roster

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

func member(name, region, domain string) Member {
	return Member{Host: fleet.Host{ID: id.Host(name), Region: id.Region(region), FailureDomain: id.FailureDomain(domain), Address: name + ":1"}}
}

func digest(m Member, seq int) Digest {
	return Digest{Incarnation: 1, Sequence: id.Sequence(seq), Host: m.Host}
}

// TestColdUpstreamHasFewSenders checks in a large region that the parts of all hosts
// sum to one, and that there are only as many senders as the bound allows.
func TestColdUpstreamHasFewSenders(t *testing.T) {
	c := clock.NewFake()
	var members []Member
	for i := range 21 {
		members = append(members, member(fmt.Sprintf("h%02d", i), "a", "a1"))
	}
	senders, sum := 0, 0.0
	for _, m := range members {
		r := New(m, c.Now())
		r.SetListed(members)
		if part := r.ColdSenders(c.Now()).Share("u-1", 6); part > 0 {
			senders++
			sum += part
		}
	}
	if got, want := senders, 6; got != want {
		t.Errorf("got %d senders, want %d", got, want)
	}
	if got := sum; got < 0.999 || got > 1.001 {
		t.Errorf("got a sum of parts of %.3f, want 1", got)
	}
}

// TestNearbyReturnsLiveHosts checks whether Nearby takes the hosts of the failure domain,
// of the region or of all regions, without silent hosts and without this one if it leaves.
func TestNearbyReturnsLiveHosts(t *testing.T) {
	c := clock.NewFake()
	self := member("h0", "a", "a1")
	others := []Member{member("h1", "a", "a1"), member("h2", "a", "a2"), member("h3", "b", "b1")}
	r := New(self, c.Now())
	receiveFrom := func(seq int, skip string) {
		for _, m := range others {
			if string(m.ID) != skip {
				r.ReceiveDigest(digest(m, seq), c.Now())
			}
		}
	}
	receiveFrom(1, "")
	cases := []struct {
		name, region, domain string
		leaving              bool
		want                 []string
	}{
		{"two in the failure domain", "a", "a1", false, []string{"h0:1", "h1:1"}},
		{"one in the failure domain", "a", "a2", false, []string{"h0:1", "h1:1", "h2:1"}},
		{"another region", "b", "b1", false, []string{"h3:1"}},
		{"a region without hosts", "c", "c1", false, []string{"h0:1", "h1:1", "h2:1", "h3:1"}},
		{"this host leaves", "a", "a1", true, []string{"h1:1", "h2:1"}},
	}
	for _, tc := range cases {
		got := r.Nearby(id.Region(tc.region), id.FailureDomain(tc.domain), tc.leaving, c.Now())
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
	c.Advance(1500 * time.Millisecond)
	receiveFrom(2, "h1")
	c.Advance(time.Second)
	if got, want := r.Nearby("a", "a1", false, c.Now()), []string{"h0:1", "h2:1"}; !slices.Equal(got, want) {
		t.Errorf("after h1 fell silent: got %v, want %v", got, want)
	}
}

func TestReaderIsTheFirstLiveHostThatCanRead(t *testing.T) {
	c := clock.NewFake()
	r := New(member("h1", "a", "a1"), c.Now())
	first, other := digest(member("h0", "a", "a1"), 1), digest(member("a0", "b", "b1"), 1)
	r.ReceiveDigest(first, c.Now())
	r.ReceiveDigest(other, c.Now())
	if got, want := r.Reader(false, false, c.Now()), id.Host("h0"); got != want {
		t.Errorf("all can read: got reader %s, want %s", got, want)
	}
	first.Sequence, first.ReadsFailing = 2, true
	r.ReceiveDigest(first, c.Now())
	if got, want := r.Reader(false, false, c.Now()), id.Host("h1"); got != want {
		t.Errorf("first host cannot read: got reader %s, want %s", got, want)
	}
	third := digest(member("h2", "a", "a2"), 1)
	r.ReceiveDigest(third, c.Now())
	if got, want := r.Reader(true, false, c.Now()), id.Host("h2"); got != want {
		t.Errorf("first and this host cannot read: got reader %s, want %s", got, want)
	}
	c.Advance(10 * time.Second)
	if got, want := r.Reader(false, false, c.Now()), id.Host("h1"); got != want {
		t.Errorf("no other host is live: got reader %s, want %s", got, want)
	}
}

// TestOldDigestIsIgnored checks that a late digest does not replace a newer one, and that
// the first digest of a new incarnation does, although its sequence starts again.
func TestOldDigestIsIgnored(t *testing.T) {
	c := clock.NewFake()
	r := New(member("h0", "a", "a1"), c.Now())
	m := member("h1", "a", "a1")
	newer := digest(m, 5)
	newer.Leaving = true
	r.ReceiveDigest(newer, c.Now())
	if got := r.ReceiveDigest(digest(m, 4), c.Now()); got {
		t.Error("got an old digest accepted, want it dropped")
	}
	restarted := digest(m, 1)
	restarted.Incarnation = 2
	if got := r.ReceiveDigest(restarted, c.Now()); !got {
		t.Error("got the first digest of a new incarnation dropped, want it accepted")
	}
}

// TestTimeOfDaySetBackHidesNoHost restarts a host whose time of day was set back, which
// makes its new incarnation older than the previous one.
func TestTimeOfDaySetBackHidesNoHost(t *testing.T) {
	c := clock.NewFake()
	r := New(member("h0", "a", "a1"), c.Now())
	m := member("h1", "a", "a1")
	d := digest(m, 9)
	d.Incarnation = 5000
	r.ReceiveDigest(d, c.Now())
	c.Advance(time.Second)
	d.Incarnation, d.Sequence = 2600, 1
	if got := r.ReceiveDigest(d, c.Now()); !got {
		t.Error("got the restarted host's digest dropped, want it accepted")
	}
	c.Advance(100 * time.Millisecond)
	d.Incarnation, d.Sequence = 2500, 7
	if got := r.ReceiveDigest(d, c.Now()); got {
		t.Error("got a digest of an earlier incarnation accepted at once, want it dropped")
	}
}

// TestRemovedHostExpiresUnlessAllAreSilent checks that a silent host expires in the view
// of a host that is in contact with others, but not in the view of an isolated one.
func TestRemovedHostExpiresUnlessAllAreSilent(t *testing.T) {
	c := clock.NewFake()
	isolated, connected := New(member("h0", "a", "a1"), c.Now()), New(member("h0", "a", "a1"), c.Now())
	live, removed := member("h1", "a", "a1"), member("h2", "a", "a1")
	for _, r := range []*Roster{isolated, connected} {
		r.SetListed([]Member{live, removed})
	}
	c.Advance(expiryTimeout + time.Second)
	connected.ReceiveDigest(digest(live, 1), c.Now())
	if got := isolated.Expired(c.Now()); len(got) != 0 {
		t.Errorf("isolated: got %v expired, want none", got)
	}
	if got, want := connected.Expired(c.Now()), []id.Host{"h2"}; !slices.Equal(got, want) {
		t.Errorf("got %v expired, want %v", got, want)
	}
}

// TestSharesOfSilentHostStayReserved checks that the part of a host that fell silent, and
// an even part for a host that never reported, stay reserved: both may still be serving.
func TestSharesOfSilentHostStayReserved(t *testing.T) {
	c := clock.NewFake()
	r := New(member("h0", "a", "a1"), c.Now())
	m := member("h1", "b", "b1")
	r.SetListed([]Member{m, member("h2", "b", "b1")})
	d := digest(m, 1)
	d.Quota = quota.Report{Part: map[id.Account]float64{"choir": 0.4}}
	r.ReceiveDigest(d, c.Now())
	c.Advance(15 * time.Second)
	if got, want := len(r.Live(c.Now())), 0; got != want {
		t.Errorf("got %d live hosts, want %d", got, want)
	}
	peers := r.QuotaPeers(quota.Report{}, []*desired.Account{{ID: "choir"}}, c.Now())
	if got, want := peers.Silent["choir"], 0.4; got != want {
		t.Errorf("got %v reserved for the silent host, want %v", got, want)
	}
	if got, want := peers.Unreported, 1.0/3; math.Abs(got-want) > 1e-9 {
		t.Errorf("got %v reserved for the host that never reported, want %v", got, want)
	}
}
