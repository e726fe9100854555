package edge

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/confine"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

func newTestHost(t *testing.T, c clock.Clock) *Host {
	t.Helper()
	h := New(platform.Settings{Host: "a", Region: "r", FailureDomain: "d", CPU: 1, LinkMbit: 100, Store: "127.0.0.1:1"}, c, logging.Discard())
	t.Cleanup(h.mesh.Close)
	h.controller.setRegistered(true)
	return h
}

// TestPanicOfOneRowOrDigestIsConfined applies input that panics, and after it, in the
// same step, input that is sound.
func TestPanicOfOneRowOrDigestIsConfined(t *testing.T) {
	c := clock.NewFake()
	h := newTestHost(t, c)
	// A digest without content does not come from the decoder.
	h.controller.received = []receivedDigest{{digest: nil}, {digest: &roster.Digest{Incarnation: 1, Sequence: 1, Host: fleet.Host{ID: "b", Region: "r"}}}}
	// The settings are read when a row of an upstream is decoded.
	settings := h.settings.Swap(nil)
	h.copies.add(platform.Upstreams, []mirror.Row{{Key: "u", Value: []byte("{}"), Version: mirror.Version{Number: 1}}})
	h.controller.applyReceived(c.Now())
	for name, rows := range h.copies.take() {
		h.controller.applyRows(name, rows, c.Now())
	}
	h.settings.Store(settings)
	if got, want := h.guard.Total(), int64(2); got != want {
		t.Errorf("got %d panics, want %d", got, want)
	}
	h.controller.step(context.Background(), c.Now())
	if live := h.roster.Live(c.Now()); len(live) != 1 {
		t.Errorf("got %d other hosts, want the one that sent a sound digest", len(live))
	}
}

// TestHostWithFailingLoopLeavesDirectory runs a control loop that panics in each step.
// The host must not be ready meanwhile, and must fail in the end.
func TestHostWithFailingLoopLeavesDirectory(t *testing.T) {
	h := newTestHost(t, clock.System{})
	h.state.Store((&desired.State{Version: 1}).Compile())
	if !h.Ready() {
		t.Fatal("got a host that is not ready, want it ready before the fault")
	}
	h.controller.rollouts = nil
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	h.supervise(ctx, "control loop", h.controller.restart, h.controller.run)
	select {
	case <-h.Done():
	case <-ctx.Done():
		t.Fatal("got a host that runs on, want it to fail")
	}
	if h.Ready() {
		t.Error("got a ready host, want it to have left the directory")
	}
	if err := h.Err(); !errors.Is(err, confine.ErrPanicked) {
		t.Errorf("got error %v, want ErrPanicked", err)
	}
}

func TestPanicOfOneQueryIsConfined(t *testing.T) {
	h := newTestHost(t, clock.System{})
	handler := h.confined(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("query") }))
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
	if got, want := answer.Code, http.StatusInternalServerError; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// TestRestartedLoopAppliesDeletions loses a deletion in a panic of the loop. The loop must
// apply it when it runs again, and not use the deleted upstream.
func TestRestartedLoopAppliesDeletions(t *testing.T) {
	c := clock.NewFake()
	h := newTestHost(t, c)
	h.controller.upstreams.entries["u"] = entry{info: fleet.Upstream{ID: "u"}}
	rows := []mirror.Row{{Key: "u", Version: mirror.Version{Number: 2}, Deleted: true}}
	h.copies.applyRelayed(platform.Upstreams, mirror.Changes{Rows: rows, Version: mirror.Version{Number: 2}})
	_ = h.copies.take()
	h.controller.restart()
	h.controller.step(context.Background(), c.Now())
	if got := len(h.controller.upstreams.entries); got != 0 {
		t.Errorf("got %d upstreams in use, want none", got)
	}
}
