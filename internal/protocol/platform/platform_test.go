package platform

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/internal/protocol/codec/codectest"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/unit"
)

func hostRow() table.Row {
	return table.Row{Key: "host/western-0001", Revision: 1 << 20, Operation: "host/western-0001/1796379830367/1234", Host: &table.Host{
		ID: "western-0001", Incarnation: 1796379830367, Region: "western", FailureDomain: "western-a",
		CallerAddress: "127.0.0.1:8101", HostAddress: "127.0.0.1:8201", State: table.HostServing, Renewals: 1 << 16,
	}}
}

func budgetRow(hosts int) table.Row {
	b := &table.Budget{Account: "st-anthony-kochchikade", Total: table.Share{Rate: unit.Whole(120), Burst: unit.Whole(120)}}
	for n := range hosts {
		share := table.Share{Rate: unit.Whole(10), Burst: unit.Whole(10)}
		b.Grants = append(b.Grants, table.Grant{Host: id.Host(fmt.Sprintf("western-%04d", n)), Incarnation: 1796379830367, Share: share, Held: share})
	}
	return table.Row{Key: "budget/st-anthony-kochchikade", Revision: 1 << 20, Operation: "control/western-0001/1796379830367/99", Budget: b}
}

func configRow(accounts int) table.Row {
	c := &config.Config{}
	for n := range accounts {
		c.Accounts = append(c.Accounts, config.Account{ID: id.Account(fmt.Sprintf("account-%04d", n)), RatePerSecond: 100, Burst: 100})
	}
	return table.Row{Key: table.ConfigKey, Revision: 1 << 20, Operation: "operator/config/1796379830367", Config: c}
}

// BenchmarkRow measures the encoded size of several kinds of rows and the cost of
// decoding them.
func BenchmarkRow(b *testing.B) {
	hash := key.NewHasher([]byte("secret")).Hash("key")
	for _, c := range []struct {
		name string
		row  table.Row
	}{
		{"host", hostRow()},
		{"key", table.Row{Key: table.KeyGrantKey(hash), Revision: 1 << 20, KeyGrant: &key.Record{Hash: hash, Account: "st-anthony-kochchikade"}}},
		{"budget of 12 hosts", budgetRow(12)},
		{"budget of 120 hosts", budgetRow(120)},
		{"config of 8 accounts", configRow(8)},
		{"config of 80 accounts", configRow(80)},
	} {
		b.Run(c.name, func(b *testing.B) {
			changesCodec := codec.JSON[table.Changes]{}
			data, err := changesCodec.Encode(table.Changes{Revision: 1 << 20, Rows: []table.Row{c.row}})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := changesCodec.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/row")
		})
	}
}

// TestRowsRoundTrip encodes and decodes one row of several kinds.
func TestRowsRoundTrip(t *testing.T) {
	for _, row := range []table.Row{hostRow(), budgetRow(2), configRow(2)} {
		rowCodec := codec.JSON[table.Row]{}
		data, err := rowCodec.Encode(row)
		if err != nil {
			t.Fatal(err)
		}
		got, err := rowCodec.Decode(data)
		if err != nil || got.Key != row.Key || got.Revision != row.Revision || got.Deleted() {
			t.Errorf("got %+v, %v, want %+v", got, err, row)
		}
	}
}

// FuzzUnknown guards against a host that can no longer read the table because a later
// build of another host, or of the table service, added a field to a row.
func FuzzUnknown(f *testing.F) {
	f.Add("", "x")
	f.Fuzz(func(t *testing.T, name, value string) {
		changes := table.Changes{After: 1, Revision: 1 << 20, Rows: []table.Row{hostRow(), budgetRow(2), configRow(2)}}
		data, err := codec.JSON[table.Changes]{}.Encode(changes)
		if err != nil {
			t.Fatal(err)
		}
		later := codectest.Later{Key: "later" + name, Value: value}.JSON(t, data)
		if got, err := (codec.JSON[table.Changes]{}).Decode(later); err != nil || !reflect.DeepEqual(got, changes) {
			t.Errorf("got %+v, %v, want %+v", got, err, changes)
		}
		if _, err := (codec.StrictJSON[table.Changes]{}).Decode(later); !errors.Is(err, codec.ErrMalformed) {
			t.Errorf("got strict error %v, want ErrMalformed", err)
		}
	})
}
