package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/rollout"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/platform"
	"celerypin.example/celerypin/platform/standin"
)

// TestStoreEraDesiredStateIsApplied guards against a host that ignores what the operator
// writes after the store has come back from an older copy, because the versions are below
// those that the host has seen.
func TestStoreEraDesiredStateIsApplied(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, nil)
	d.startUpstream("u", "d", 0)
	d.awaitServing()
	backup := d.store.Backup()
	put := func(version desired.Version) {
		state := testDesired()
		state.Version = version
		if err := d.store.PutDesired(state); err != nil {
			t.Fatal(err)
		}
	}
	for version := desired.Version(2); version < 12; version++ {
		put(version)
	}
	awaitState(t, d.host, 11)
	d.store.SetMode(standin.Reset)
	time.Sleep(200 * time.Millisecond)
	d.store.Restore(backup)
	d.store.SetMode(standin.Up)
	put(20)
	awaitState(t, d.host, 20)
	if got, want := d.get("/look/x", "after"), http.StatusOK; got != want {
		t.Errorf("got status %d after the store's return, want %d", got, want)
	}
}

// awaitState waits until a desired state is in force.
func awaitState(t *testing.T, h *Host, want desired.Version) {
	t.Helper()
	var got desired.Version
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s := *h.state.Load(); s != nil {
			if got = s.Version; got == want {
				return
			}
		}
	}
	t.Fatalf("got desired state %d, want %d", got, want)
}

// listing returns a listing of an era.
func listing(era mirror.Era, number mirror.Number, rows ...mirror.Row) mirror.Changes {
	for i := range rows {
		rows[i].Version.Era = era
	}
	return mirror.Changes{Rows: rows, Version: mirror.Version{Era: era, Number: number}, Full: true}
}

func numbered(number mirror.Number, key string, value any) mirror.Row {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return mirror.Row{Key: key, Value: data, Version: mirror.Version{Number: number}}
}

func upstreamRow(number mirror.Number, key, state string) mirror.Row {
	value := standin.RawUpstream{Address: "10.0.0.9:80", Service: "desk", Domain: "d", State: state, Slots: "4", Cold: "0", Incarnation: 1000}.Value()
	return mirror.Row{Key: key, Value: value, Version: mirror.Version{Number: number}}
}

// TestStoreEraDoesNotUndoWithdrawals guards against requests to an upstream that reported that
// it leaves, or that has left, and to an evacuated failure domain, after the store has come
// back from a copy that is older than these changes.
func TestStoreEraDoesNotUndoWithdrawals(t *testing.T) {
	c := clock.NewFake()
	h := newTestHost(t, c)
	s := *h.settings.Load()
	s.Regions = map[id.FailureDomain]id.Region{"d": "r"}
	h.settings.Store(&s)
	apply := func(name platform.TableName, changes mirror.Changes) {
		h.copies.applyRelayed(name, changes)
		h.controller.step(context.Background(), c.Now())
	}
	stateOf := func(key string) fleet.UpstreamState {
		return h.controller.upstreams.entries[key].info.State
	}
	apply(platform.Upstreams, listing(1, 10, upstreamRow(5, "leaves", "ready"), upstreamRow(6, "left", "ready"), upstreamRow(7, "stays", "ready")))
	apply(platform.Upstreams, listing(1, 20, upstreamRow(18, "leaves", "draining"), upstreamRow(7, "stays", "ready")))
	apply(platform.Operator, listing(1, 20, numbered(19, "evacuate/d", map[string]any{})))
	c.Advance(time.Second)
	apply(platform.Upstreams, listing(2, 11, upstreamRow(5, "leaves", "ready"), upstreamRow(6, "left", "ready"), upstreamRow(7, "stays", "ready")))
	apply(platform.Operator, listing(2, 11))
	if got, want := stateOf("leaves"), fleet.UpstreamDraining; got != want {
		t.Errorf("an upstream that leaves: got state %v, want %v", got, want)
	}
	if _, got := h.controller.upstreams.entries["left"]; got {
		t.Error("got the entry of an upstream that has left, want none")
	}
	if got, want := stateOf("stays"), fleet.UpstreamLive; got != want {
		t.Errorf("an unchanged upstream: got state %v, want %v", got, want)
	}
	if !h.controller.upstreams.evacuated["d"] {
		t.Error("got no evacuation right after the store's return, want it kept")
	}
	// What nobody writes again by then is as the store says.
	c.Advance(rewriteTime)
	h.controller.step(context.Background(), c.Now())
	if _, got := h.controller.upstreams.entries["left"]; !got {
		t.Error("got no entry of an upstream that was not removed again, want it")
	}
	if h.controller.upstreams.evacuated["d"] {
		t.Error("got an evacuation that was not ordered again, want none")
	}
}

// TestStoreEraRolloutRecordIsWrittenAgain guards against a rollout that operators have seen
// completed and that is in progress again, because the store has come back from an older copy.
func TestStoreEraRolloutRecordIsWrittenAgain(t *testing.T) {
	c := clock.NewFake()
	h := newTestHost(t, c)
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler("a"))
	defer server.Close()
	h.store = platform.NewStore(server.Listener.Addr().String(), http.DefaultTransport)
	key := releasePrefix + "desk"
	record := func(revision uint64, state table.ReleaseState, share table.Milli, current id.Release) []byte {
		data, err := encodeRecord(rollout.Record{
			Service: "desk", Current: current, OrderVersion: mirror.Version{Era: 1, Number: 1}, Revision: revision, Step: 3,
			Change: table.ReleaseChange{Service: "desk", Old: "v1", New: "v2", Share: share, State: state},
		})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	completed := record(5, table.ReleaseDone, table.Whole, "v2")
	store.Put(string(platform.Coordination), key, record(4, table.ReleaseGrowing, 500, "v1"))
	backup := store.Backup()
	store.Put(string(platform.Coordination), key, completed)
	coordination := h.copies.tables[platform.Coordination]
	read := func() {
		rows, err := h.copies.read(context.Background(), platform.Coordination, coordination)
		if err != nil {
			t.Fatal(err)
		}
		h.copies.add(platform.Coordination, rows)
		h.controller.step(context.Background(), c.Now())
	}
	h.copies.store = h.store
	h.copies.reading.Store(true)
	read()
	store.Restore(backup)
	h.copies.reading.Store(true)
	read()
	if got, want := h.controller.records["desk"].Change.State, table.ReleaseDone; got != want {
		t.Fatalf("got state %v after the store's return, want %v", got, want)
	}
	c.Advance(rewriteTime)
	h.controller.step(context.Background(), c.Now())
	var got mirror.Row
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && string(got.Value) != string(completed); time.Sleep(10 * time.Millisecond) {
		got, _, _ = h.store.Get(context.Background(), platform.Coordination, key)
	}
	if string(got.Value) != string(completed) {
		t.Errorf("got record %s in the store, want %s", got.Value, completed)
	}
}
