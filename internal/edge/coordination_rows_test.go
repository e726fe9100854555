package edge

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"celerypin.example/celerypin/internal/protocol/codec/codectest"
	"celerypin.example/celerypin/pkg/coordination/rollout"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/platform"
)

// TestInvalidRolloutRecordIsReplaced guards against a control loop that panics in each step
// because of a record that another writer left, and against a rollout that stops there.
func TestInvalidRolloutRecordIsReplaced(t *testing.T) {
	for _, odd := range []string{
		`{"service":"desk","current":"v1","order":3,"step":-5,"change":{"service":"desk","old":"v1","new":"v2","share":90,"state":"growing"}}`,
		`{"service":"desk","current":"v1","order":3,"step":3,"change":{"service":"desk","old":"v1","new":"v2","share":5000,"state":"growing"}}`,
		`{"service":"other","current":"v1","order":3,"step":1,"change":{"service":"other","old":"v1","new":"v2","share":90,"state":"growing"}}`,
		strings.Repeat("[", 60000),
	} {
		c := clock.NewFake()
		h := newTestHost(t, c)
		order, err := json.Marshal(map[string]any{"service": "desk", "to": "v2", "overS": 8})
		if err != nil {
			t.Fatal(err)
		}
		h.copies.add(platform.Operator, []mirror.Row{{Key: "rollout/desk", Value: order, Version: mirror.Version{Number: 3}}})
		h.copies.add(platform.Coordination, []mirror.Row{{Key: releasePrefix + "desk", Value: []byte(odd), Version: mirror.Version{Number: 7}}})
		for range 30 {
			c.Advance(tickInterval)
			h.controller.step(context.Background(), c.Now())
		}
		approved := map[id.Service]id.Release{"desk": "v1"}
		orders := []rollout.Order{h.controller.orders["desk"]}
		writes := h.controller.rollouts.Decide(rollout.Input{Orders: orders, Records: h.controller.records, Approved: approved, Complete: true, Leader: true}, c.Now())
		if len(writes) != 1 || writes[0].Record.Version.Number != 7 || writes[0].Record.Change.State != table.ReleaseGrowing {
			t.Errorf("record %.60s: got writes %+v, want one that replaces version 7", odd, writes)
		}
	}
}

// TestInvalidMemberRowIsNotUsed guards against hosts that connect to, or name to clients,
// an address that nobody can have.
func TestInvalidMemberRowIsNotUsed(t *testing.T) {
	const valid = `{"host":"b","region":"r","failure_domain":"d","caller_address":"10.0.0.2:80","peer_address":"10.0.0.2:81","capacity_per_s":50,"incarnation":1}`
	if _, err := decodeMember("host/b", []byte(valid)); err != nil {
		t.Fatalf("got %v for a valid row, want none", err)
	}
	for _, c := range []struct{ key, old, new string }{
		{"host/c", "", ""}, {"host/b", `"r"`, `""`}, {"host/b", "10.0.0.2:80", "10.0.0.2:70000"}, {"host/b", "10.0.0.2:81", "nowhere"},
		{"host/b", "50", "-1"}, {"host/b", "50", "1e400"}, {"host/b", "50", strings.Repeat("[", 60000)}, {"host/b", `"incarnation":1`, `"incarnation":-1`},
	} {
		if _, err := decodeMember(c.key, []byte(strings.Replace(valid, c.old, c.new, 1))); err == nil {
			t.Errorf("key %s, %.20q in place of %q: got no error, want one", c.key, c.new, c.old)
		}
	}
}

// TestRowsOfALaterHostAreUsed guards against a host that ignores the rows of a later build
// of another host, or a rollout that its leader began, for an added field.
func TestRowsOfALaterHostAreUsed(t *testing.T) {
	later := codectest.Later{Key: "later", Value: map[string]int{"x": 1}}
	member := []byte(`{"host":"b","region":"r","failure_domain":"d","caller_address":"10.0.0.2:80","capacity_per_s":50,"incarnation":1}`)
	record := []byte(`{"service":"desk","current":"v1","order":3,"step":1,"change":{"service":"desk","old":"v1","new":"v2","share":90,"state":"growing"}}`)
	if m, err := decodeMember("host/b", later.JSON(t, member)); err != nil || m.Capacity != 50 {
		t.Errorf("got %+v, %v, want the known fields of %s", m, err, member)
	}
	want, err := decodeRecord("desk", mirror.Row{Value: record})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeRecord("desk", mirror.Row{Value: later.JSON(t, record)}); err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}
