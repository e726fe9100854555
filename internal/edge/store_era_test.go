package edge

import (
	"net/http"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/desired"
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
