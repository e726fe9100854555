package host

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"celerypin.example/celerypin/internal/golden"
	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/codec/codectest"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/unit"
)

// examples returns one message of each kind.
func examples() []struct {
	name    string
	message agent.Message
} {
	hash := key.NewHasher([]byte("secret")).Hash("key")
	cfg := config.Config{
		Accounts: []config.Account{{ID: "parish", RatePerSecond: 5, Burst: 8}},
		Classes:  []config.Class{{ID: "read", Deadline: config.Duration(time.Second), Idempotent: true, MaxBody: 1}},
	}
	return []struct {
		name    string
		message agent.Message
	}{
		{"heartbeat", agent.Message{Heartbeat: &agent.Heartbeat{
			Incarnation: 7, Region: "western", FailureDomain: "western-a", Sent: 12, Echo: 11, EchoDelay: 3,
			ReadAge: agent.Age{Known: true, Elapsed: 5}, TableReadAge: agent.Age{Known: true}, CompleteRevision: 42, ConfigRevision: 6,
			Marks: agent.Marks{Keys: []key.Hash{hash}}, Budgets: []agent.BudgetReport{{Account: "parish", Demand: unit.Whole(2), Lendable: unit.Token, AppliedRevision: 41}},
			ReleaseCounts: []agent.ReleaseCounts{{RouteRelease: release.RouteRelease{Service: "rota-viewer", Release: "v2", Route: "rota"}, Counts: release.Counts{Requests: 9, Failed: 1, Slow: 2, Rejected: 3}}},
		}}},
		{"relay", agent.Message{Relay: &agent.Relay{Changes: table.Changes{After: 1, Revision: 3, Rows: []table.Row{
			{Key: table.ConfigKey, Revision: 2, Operation: "op", Config: &cfg},
			{Key: table.KeyGrantKey(hash), Revision: 3, KeyGrant: &key.Record{Hash: hash, Account: "parish"}},
		}}}}},
		{"fetch", agent.Message{Fetch: &agent.Fetch{After: 9}}},
		{"borrow", agent.Message{Borrow: &agent.Borrow{Loan: 1, Account: "parish", Amount: unit.Token}}},
		{"loan", agent.Message{Loan: &agent.Loan{Loan: 1, Account: "parish", Amount: unit.Token}}},
		{"repay", agent.Message{Repay: &agent.Repay{Loan: 1, Account: "parish", Unspent: 0}}},
		{"marks", agent.Message{Marks: &agent.Marks{Keys: []key.Hash{hash}, Releases: []release.ID{{Service: "rota-viewer", Release: "v2"}}}}},
		{"marks held", agent.Message{MarksConfirmed: &agent.Marks{Keys: []key.Hash{hash}}}},
	}
}

func TestMessages(t *testing.T) {
	var text strings.Builder
	for _, e := range examples() {
		data, err := Encode("host-a", "host-b", e.message)
		if err != nil {
			t.Fatal(err)
		}
		diagnosis, err := cbor.Diagnose(data)
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(e.name + ":\n" + diagnosis + "\n\n")
		from, to, got, err := Decode(data)
		if err != nil || from != "host-a" || to != "host-b" {
			t.Errorf("%s: got %s, %s, %v, want host-a, host-b, no error", e.name, from, to, err)
		}
		if !reflect.DeepEqual(got, e.message) {
			t.Errorf("%s: got %+v after decoding, want %+v", e.name, got, e.message)
		}
	}
	golden.Check(t, "messages.golden", []byte(text.String()))
}

func TestMalformedMessages(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty":         {},
		"no content":    {0xa2, 0x64, 'f', 'r', 'o', 'm', 0x61, 'a', 0x62, 't', 'o', 0x61, 'b'},
		"unknown field": {0xa1, 0x61, 'x', 0x01},
		"cut":           {0xa2, 0x64, 'f', 'r'},
		"text":          []byte(`{"from":"a"}`),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, err := Decode(data)
			if !errors.Is(err, codec.ErrMalformed) && !errors.Is(err, ErrEmpty) {
				t.Errorf("got %v, want ErrMalformed or ErrEmpty", err)
			}
		})
	}
}

// FuzzUnknown guards against a host that drops the messages of a later build because of
// fields, or of elements of arrays, that the later build added to a message or a row in it.
func FuzzUnknown(f *testing.F) {
	f.Add("later", []byte("x"))
	f.Add("HEARTBEAT", []byte{})
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		if !codectest.IsUnknown(name) {
			return
		}
		for _, e := range examples() {
			data, err := Encode("host-a", "host-b", e.message)
			if err != nil {
				t.Fatal(err)
			}
			later := codectest.Later{Key: name, Value: value}.CBOR(t, data)
			if _, _, got, err := Decode(later); err != nil || !reflect.DeepEqual(got, e.message) {
				t.Errorf("%s with field %q: got %+v, %v, want %+v", e.name, name, got, err, e.message)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, e := range examples() {
		data, err := Encode("a", "b", e.message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		from, to, m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(from, to, m)
		if err != nil {
			t.Fatalf("a decoded message could not be encoded: %v", err)
		}
		if _, _, _, err := Decode(again); err != nil {
			t.Fatalf("an encoded message could not be decoded: %v", err)
		}
	})
}

// BenchmarkHeartbeat measures the encoded size of a heartbeat and the cost of encoding and
// decoding it, with and without the budget reports of eight accounts.
func BenchmarkHeartbeat(b *testing.B) {
	plain := agent.Heartbeat{
		Incarnation: 1796379830367, Region: "western", FailureDomain: "western-a", Sent: 1 << 50, Echo: 1 << 50, EchoDelay: 1 << 27,
		ReadAge: agent.Age{Known: true, Elapsed: 1 << 28}, TableReadAge: agent.Age{Known: true, Elapsed: 1 << 28}, CompleteRevision: 1 << 20, ConfigRevision: 1 << 19,
	}
	withBudgets := plain
	for range 8 {
		withBudgets.Budgets = append(withBudgets.Budgets, agent.BudgetReport{Account: "st-anthony-kochchikade", Demand: 1 << 26, Lendable: 1 << 26, AppliedRevision: 1 << 20})
	}
	for name, beat := range map[string]agent.Heartbeat{"plain": plain, "levels of 8 accounts": withBudgets} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := Encode("western-1", "central-1", agent.Message{Heartbeat: &beat})
				if err != nil {
					b.Fatal(err)
				}
				if _, _, _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}
