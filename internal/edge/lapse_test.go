package edge

import (
	"context"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

// TestLapsedEntryIsKeptFromTheStoresReturn guards against entries of upstreams that are dropped
// before these have had the time to write them again: the host's last failed read may be a
// second before the store's return, and its next one later.
func TestLapsedEntryIsKeptFromTheStoresReturn(t *testing.T) {
	c := clock.NewFake()
	h := newTestHost(t, c)
	s := *h.settings.Load()
	s.Regions = map[id.FailureDomain]id.Region{"d": "r"}
	s.Bounds.Drain = 3 * time.Second
	h.settings.Store(&s)
	table := h.copies.tables[platform.Upstreams]
	pass := func(d time.Duration) {
		c.Advance(d)
		h.controller.step(context.Background(), c.Now())
	}
	kept := func() bool { _, ok := h.controller.upstreams.entries["u"]; return ok }
	h.copies.applyRelayed(platform.Upstreams, mirror.Changes{Rows: []mirror.Row{upstreamRow(5, "u", "ready")}, Version: mirror.Version{Number: 5}, Full: true})
	pass(0)
	h.copies.recordResult(platform.Upstreams, table, platform.ErrUnavailable)
	pass(maxBackoff)
	h.copies.recordResult(platform.Upstreams, table, nil)
	h.copies.applyRelayed(platform.Upstreams, mirror.Changes{Version: mirror.Version{Number: 9}, Full: true})
	pass(2 * time.Second)
	if !kept() {
		t.Error("got no entry 2 s after the first read that succeeded, want it kept")
	}
	pass(300 * time.Millisecond)
	if kept() {
		t.Error("got the entry of an upstream that did not return, want none")
	}
}

// TestRemovalHeardFromAnotherHostIsInForce guards against requests to an upstream that has left,
// from a host that cannot read the store for a long time and hears of it from another host.
func TestRemovalHeardFromAnotherHostIsInForce(t *testing.T) {
	c := clock.NewFake()
	h := newTestHost(t, c)
	s := *h.settings.Load()
	s.Regions = map[id.FailureDomain]id.Region{"d": "r"}
	s.Bounds.Drain = 2 * time.Second
	h.settings.Store(&s)
	h.copies.applyRelayed(platform.Upstreams, mirror.Changes{Rows: []mirror.Row{upstreamRow(5, "u", "ready")}, Version: mirror.Version{Number: 5}, Full: true})
	h.controller.step(context.Background(), c.Now())
	table := h.copies.tables[platform.Upstreams]
	h.copies.recordResult(platform.Upstreams, table, platform.ErrUnavailable)
	h.copies.applyRelayed(platform.Upstreams, mirror.Changes{Version: mirror.Version{Number: 9}, Full: true})
	h.controller.step(context.Background(), c.Now())
	c.Advance(s.Bounds.Drain - drainMargin)
	h.copies.recordResult(platform.Upstreams, table, platform.ErrUnavailable)
	h.controller.step(context.Background(), c.Now())
	if _, kept := h.controller.upstreams.entries["u"]; kept {
		t.Errorf("got the entry %v after its removal, want none", s.Bounds.Drain-drainMargin)
	}
}
