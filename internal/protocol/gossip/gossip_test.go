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
	outcomes := map[release.RouteRelease]release.Counts{subject: {Requests: 9, Failed: 1, Slow: 2}}
	digest := &roster.Digest{
		Incarnation: 7, Sequence: 12, Host: fleet.Host{ID: "host-a", Region: "west", FailureDomain: "west-a", Address: "10.0.0.1:80", Capacity: 500},
		Follows: true, HoldsPool: true, Versions: map[string]mirror.Version{"op": 9}, LastChange: map[string]mirror.Version{"op": 4}, CopyAges: map[string]time.Duration{"op": 40 * time.Millisecond},
		Quota:       quota.Report{Demand: map[id.Account]float64{"choir": 2.5}, Part: map[id.Account]float64{"choir": 0.25}},
		RequestRate: 31, ReleaseCounts: outcomes, BadReleases: []release.ID{{Service: "desk", Release: "v2"}},
		Unheard: map[id.FailureDomain]float64{"east-a": 0.125},
	}
	hubDigest := &roster.Digest{
		Incarnation: 7, Sequence: 13, Host: digest.Host, Leaving: true, ReadsFailing: true, QuotaKept: true,
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
	rows := &Rows{Table: "op", Changes: mirror.Changes{Base: 3, Version: 5, Full: true, Rows: []mirror.Row{
		{Key: "config", Value: []byte("{}"), Version: 4}, {Key: "gone", Version: 5, Deleted: true},
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
		later := codectest.Later{Key: name, Value: value, DataMaps: []string{"versions", "changed", "ages_ms", "totals"}}
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
