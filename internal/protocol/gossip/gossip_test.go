package gossip

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/codec/codectest"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
)

// examples returns one message of each kind.
func examples() []struct {
	name    string
	message Message
} {
	subject := release.RouteRelease{Service: "desk", Release: "v2", Route: "swaps"}
	outcomes := map[release.RouteRelease]release.Counts{subject: {Requests: 9, Failed: 1, Slow: 2, Rejected: 3, TurnedAway: 4}}
	digest := &roster.Digest{
		Incarnation: 7, Sequence: 12, Host: fleet.Host{ID: "host-a", Region: "west", FailureDomain: "west-a", Address: "10.0.0.1:80", Capacity: 500},
		Follows: true, HoldsPool: true, Versions: map[string]mirror.Version{"op": {Era: 2, Number: 9}}, LastChange: map[string]mirror.Version{"op": {Era: 2, Number: 4}}, CopyAges: map[string]time.Duration{"op": 40 * time.Millisecond},
		Quota:       quota.Report{Demand: map[id.Account]float64{"choir": 2.5}, Part: map[id.Account]float64{"choir": 0.25}},
		RequestRate: 31, ReleaseCounts: outcomes, BadReleases: []release.ID{{Service: "desk", Release: "v2"}},
		Unheard: map[id.FailureDomain]float64{"east-a": 0.125},
	}
	hubDigest := &roster.Digest{
		Incarnation: 7, Sequence: 13, Host: digest.Host, Leaving: true, ReadsFailing: true, QuotaKept: true, CountsUsage: true,
		CopyAges: map[string]time.Duration{}, Quota: quota.Report{Demand: map[id.Account]float64{}, Part: map[id.Account]float64{}},
		ReleaseCounts: map[release.RouteRelease]release.Counts{}, Unheard: map[id.FailureDomain]float64{},
	}
	totals := quota.NewTotals()
	totals.Weight, totals.Unreported, totals.Stale = 4, 0.125, true
	totals.Demand["choir"], totals.Part["choir"], totals.Silent["choir"] = 20, 0.5, 0.25
	bulletin := &roster.Bulletin{
		Notices: []roster.Notice{
			{Host: "host-b", Incarnation: 3, Age: 400 * time.Millisecond, RequestRate: 12, ReleaseCounts: outcomes, BadReleases: digest.BadReleases},
			{Host: "host-c", Leaving: true, ReadsFailing: true, ReleaseCounts: map[release.RouteRelease]release.Counts{}},
		},
		Totals: map[id.Region]quota.Totals{"west": totals},
	}
	rows := &Rows{Table: "op", Changes: mirror.Changes{Base: mirror.Version{Era: 1, Number: 3}, Version: mirror.Version{Era: 2, Number: 5}, Full: true, Rows: []mirror.Row{
		{Key: "config", Value: []byte("{}"), Version: mirror.Version{Era: 2, Number: 4}}, {Key: "gone", Version: mirror.Version{Era: 2, Number: 5}, Deleted: true},
	}}}
	return []struct {
		name    string
		message Message
	}{
		{"digest", Message{Digest: digest}},
		{"bulletin", Message{Digest: hubDigest, Bulletin: bulletin}},
		{"rows", Message{Rows: rows}},
		{"tokens", Message{Tokens: &Tokens{
			Deposits: quota.Deposits{"choir": 250_000}, Asks: []quota.Ask{{Account: "choir", Requests: 2}},
			Grants: []quota.Grant{{Account: "choir", Requests: 1, RetryAfter: 200 * time.Millisecond, Interval: 100 * time.Millisecond}},
		}}},
		{"usage of a host", Message{Usage: &usage.Report{
			Incarnation: 7, Sequence: 12, Base: 11, Wall: usage.TimeOfMillis(1767225601500), Through: usage.TimeOfMillis(1767225601490), Started: usage.TimeOfMillis(1767225500000),
			Windows: []usage.WindowCounts{{Window: 353445120, Counts: usage.Counts{"choir": 412, "small": 0}}, {Window: 353445121, Counts: usage.Counts{}}},
		}}},
		{"usage of a region", Message{Usage: &usage.Report{
			Incarnation: 3, Sequence: 5, Wall: usage.TimeOfMillis(1767225601500), Agreed: usage.TimeOfMillis(1767225601490), Region: "west",
			Windows: []usage.WindowCounts{{Window: 353445120, Counts: usage.Counts{"choir": 4120}, Missing: 12.5}},
		}}},
		{"answer to usage", Message{Usage: &usage.Report{Incarnation: 3, Wall: usage.TimeOfMillis(1767225601500), Agreed: usage.TimeOfMillis(1767225601490), Ack: 12, Answers: true}}},
	}
}

func TestMessages(t *testing.T) {
	var text strings.Builder
	for _, e := range examples() {
		data, err := Codec{}.Encode("host-a", "host-b", e.message)
		if err != nil {
			t.Fatal(err)
		}
		diagnosis, err := cbor.Diagnose(data)
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(e.name + ": " + diagnosis + "\n")
		from, to, got, err := Codec{}.Decode(data)
		if err != nil || from != "host-a" || to != "host-b" {
			t.Errorf("%s: got %s, %s, %v, want host-a, host-b and no error", e.name, from, to, err)
		}
		if !reflect.DeepEqual(got, e.message) {
			t.Errorf("%s: got %+v, want %+v", e.name, got, e.message)
		}
	}
	golden.Check(t, "messages.golden", []byte(text.String()))
}

func TestMessageWithoutContentIsAnError(t *testing.T) {
	data, err := Codec{}.Encode("host-a", "host-b", Message{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := (Codec{}).Decode(data); !errors.Is(err, ErrEmpty) {
		t.Errorf("got %v, want ErrEmpty", err)
	}
}

// TestBulletinOfManyHostsIsSmall checks that the bulletins that a hub sends each follower
// stay within the limit of 25 KB per second for control traffic in a large deployment.
func TestBulletinOfManyHostsIsSmall(t *testing.T) {
	const (
		maxBytesPerSecond  = 25_000
		bulletinsPerSecond = 2.5
		hosts, accounts    = 75, 80
	)
	b := &roster.Bulletin{Totals: map[id.Region]quota.Totals{}}
	for i := range hosts {
		b.Notices = append(b.Notices, roster.Notice{
			Host: id.Host(fmt.Sprintf("edge-colombo-%d", i)), Age: 400 * time.Millisecond, RequestRate: 30,
		})
	}
	for _, region := range []id.Region{"western", "central", "southern"} {
		totals := quota.NewTotals()
		for i := range accounts {
			account := id.Account(fmt.Sprintf("account%04d", i))
			totals.Demand[account], totals.Part[account] = 3.3, 0.3
		}
		b.Totals[region] = totals
	}
	data, err := Codec{}.Encode("host-a", "host-b", Message{Digest: examples()[1].message.Digest, Bulletin: b})
	if err != nil {
		t.Fatal(err)
	}
	if got := float64(len(data)) * bulletinsPerSecond; got > maxBytesPerSecond {
		t.Errorf("got %.0f bytes a second, want at most %d", got, maxBytesPerSecond)
	}
	t.Logf("a bulletin of %d hosts and %d accounts has %d bytes", hosts, accounts, len(data))
}

// FuzzUnknown guards against a host that drops the messages of a later build because of
// fields, or of elements of arrays, that the later build added.
func FuzzUnknown(f *testing.F) {
	f.Add("later", []byte("x"))
	f.Add("DIGEST", []byte{})
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		if !codectest.IsUnknown(name) {
			return
		}
		later := codectest.Later{Key: name, Value: value, DataMaps: []string{"versions", "changed", "eras", "ages_ms", "totals"}}
		for _, e := range examples() {
			data, err := Codec{}.Encode("host-a", "host-b", e.message)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, got, err := (Codec{}).Decode(later.CBOR(t, data)); err != nil || !reflect.DeepEqual(got, e.message) {
				t.Errorf("%s with field %q: got %+v, %v, want %+v", e.name, name, got, err, e.message)
			}
		}
	})
}

// TestOddArraysAreMalformed guards against a shorter or wrong array that is taken for one of
// a later build.
func TestOddArraysAreMalformed(t *testing.T) {
	for name, quotas := range map[string]any{"shorter": []any{"choir", 2.5}, "wrong type": []any{"choir", "x", 0.5, "later"}} {
		data, err := cbor.Marshal(map[string]any{"from": "a", "to": "b", "digest": map[string]any{"quotas": []any{quotas}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := (Codec{}).Decode(data); !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("%s array: got error %v, want ErrMalformed", name, err)
		}
	}
}

// FuzzDecode decodes arbitrary bytes. A message that is accepted must be encodable again.
func FuzzDecode(f *testing.F) {
	for _, e := range examples() {
		data, err := Codec{}.Encode("host-a", "host-b", e.message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		from, to, m, err := Codec{}.Decode(data)
		if err != nil {
			return
		}
		if _, err := (Codec{}).Encode(from, to, m); err != nil {
			t.Errorf("got error %v on encoding %+v, want none", err, m)
		}
	})
}

// TestNumbersOutOfRangeAreRefused guards against a number that is not finite, which would
// spread to the sums over all hosts.
func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	for _, value := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e30} {
		poisoned := quota.NewTotals()
		poisoned.Demand["choir"] = value
		for name, m := range map[string]Message{
			"rate of a digest":   {Digest: &roster.Digest{RequestRate: value}},
			"demand of a digest": {Digest: &roster.Digest{Quota: quota.Report{Demand: map[id.Account]float64{"choir": value}}}},
			"part of a digest":   {Digest: &roster.Digest{Quota: quota.Report{Part: map[id.Account]float64{"choir": value}}}},
			"rate of a notice":   {Bulletin: &roster.Bulletin{Notices: []roster.Notice{{Host: "b", RequestRate: value}}}},
			"demand of a region": {Bulletin: &roster.Bulletin{Totals: map[id.Region]quota.Totals{"west": poisoned}}},
			"missing of usage":   {Usage: &usage.Report{Windows: []usage.WindowCounts{{Missing: value}}}},
		} {
			data, err := Codec{}.Encode("a", "b", m)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, _, err := (Codec{}).Decode(data); !errors.Is(err, ErrRange) {
				t.Errorf("%s of %g: got error %v, want ErrRange", name, value, err)
			}
		}
	}
}

func TestPartsOutOfRangeAreRefused(t *testing.T) {
	for _, part := range []float64{1.01, 4000} {
		data, err := Codec{}.Encode("a", "b", Message{Digest: &roster.Digest{Unheard: map[id.FailureDomain]float64{"west-a": part}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := (Codec{}).Decode(data); !errors.Is(err, ErrRange) {
			t.Errorf("part %g: got error %v, want ErrRange", part, err)
		}
	}
}

// TestUsageOutOfRangeIsRefused guards against a time or a count that would reach the reports
// of usage.
func TestUsageOutOfRangeIsRefused(t *testing.T) {
	for name, r := range map[string]usage.Report{
		"time before 1970": {Wall: -usage.Time(time.Second)},
		"late time":        {Through: usage.TimeOfMillis(maxTimeMS + 1)},
		"window":           {Windows: []usage.WindowCounts{{Window: -1}}},
		"count":            {Windows: []usage.WindowCounts{{Counts: usage.Counts{"choir": math.MaxUint64}}}},
		"many windows":     {Windows: make([]usage.WindowCounts, maxUsageWindows+1)},
	} {
		data, err := Codec{}.Encode("a", "b", Message{Usage: &r})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := (Codec{}).Decode(data); !errors.Is(err, ErrRange) {
			t.Errorf("%s: got error %v, want ErrRange", name, err)
		}
	}
}

// TestUsageTraffic compares with the golden file what usage messages cost at 2,500 hosts in 12
// regions, of which 40 % serve requests, with 1,000 accounts and windows of 5 s. It guards
// against an encoding that takes much of the 25 KB a second that a host may use for control.
func TestUsageTraffic(t *testing.T) {
	const (
		regions, hosts, strong, accounts = 12, 2500, 1000, 1000
		interval                         = 2.5
	)
	// size returns the size of a message in whose last windows the counts of some accounts changed.
	size := func(windows, changedWindows, changed int, region id.Region) float64 {
		r := &usage.Report{Incarnation: 1767225500000, Sequence: 500, Base: 499, Wall: usage.TimeOfMillis(1767225601500), Agreed: usage.TimeOfMillis(1767225601490), Through: usage.TimeOfMillis(1767225601490), Started: usage.TimeOfMillis(1767225500000), Region: region}
		for i := range windows {
			w := usage.WindowCounts{Window: usage.Window(353445120 + i), Counts: usage.Counts{}}
			for a := 0; a < changed && i >= windows-changedWindows; a++ {
				w.Counts[id.Account(fmt.Sprintf("account%04d", a))] = 300
			}
			r.Windows = append(r.Windows, w)
		}
		data, err := Codec{}.Encode("edge-colombo-100", "edge-colombo-101", Message{Usage: r})
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(data))
	}
	answer, err := Codec{}.Encode("edge-colombo-100", "edge-colombo-101", Message{Usage: &usage.Report{Incarnation: 1767225500000, Wall: usage.TimeOfMillis(1767225601500), Agreed: usage.TimeOfMillis(1767225601490), Ack: 500, Answers: true}})
	if err != nil {
		t.Fatal(err)
	}
	perRegion := float64(hosts) / regions
	var out strings.Builder
	// At a host the running window changes, and in every second message the one that has ended
	// since the last. Of the sums every second message has a new window.
	for _, seen := range []int{50, 200, accounts} {
		sent := (size(4, 1, seen, "") + size(4, 2, seen, "")) / interval
		idle := 2 * size(4, 0, 0, "") / interval
		strongPart := float64(strong) / hosts
		received := perRegion * (strongPart*sent + (1-strongPart)*idle) / 2
		sums := (regions - 1) * (size(3, 0, 0, "west") + size(3, 1, accounts/3, "west")) / 2 / interval
		fmt.Fprintf(&out, "%4d accounts at a host: a host sends %5.1f KB/s; a hub receives %6.1f KB/s, answers with %4.1f KB/s, sends and receives %5.1f KB/s of sums\n",
			seen, sent/1000, received/1000, perRegion*float64(len(answer))/interval/1000, sums/1000)
	}
	golden.Check(t, "usage_traffic.golden", []byte(out.String()))
}
