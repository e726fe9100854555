package edge

import (
	"testing"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

// TestCopyWithLatestChangeIsFresh guards against hosts that all read for
// themselves because the store's version has advanced with changes of other
// tables: a copy that has the last change of its table is fresh.
func TestCopyWithLatestChangeIsFresh(t *testing.T) {
	c := clock.NewFake()
	copies := newCopies(nil, c, logging.Discard(), 2*time.Second)
	row := mirror.Row{Key: "k", Version: 5}
	copies.applyRelayed(platform.Operator, mirror.Changes{Rows: []mirror.Row{row}, Version: 5, Full: true})
	c.Advance(10 * time.Second)
	name := string(platform.Operator)
	reader := func(changed mirror.Version) *roster.Digest {
		return &roster.Digest{
			Versions: map[string]mirror.Version{name: 90}, LastChange: map[string]mirror.Version{name: changed},
			CopyAges: map[string]time.Duration{name: 300 * time.Millisecond},
		}
	}
	copies.confirm(reader(6), c.Now())
	if _, fresh := copies.ages(c.Now())[name]; fresh {
		t.Error("got a fresh copy that lacks a change, want it stale")
	}
	copies.confirm(reader(5), c.Now())
	if got, want := copies.ages(c.Now())[name], 300*time.Millisecond; got != want {
		t.Errorf("got an age of %v, want %v", got, want)
	}
	if got, want := copies.tables[platform.Operator].Version(), mirror.Version(90); got != want {
		t.Errorf("got the copy complete as of %d, want %d", got, want)
	}
}
