package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
	"celerypin.example/celerypin/platform/standin"
)

// TestCopyWithLatestChangeIsFresh guards against hosts that all read for
// themselves because the store's version has advanced with changes of other
// tables: a copy that has the last change of its table is fresh.
func TestCopyWithLatestChangeIsFresh(t *testing.T) {
	c := clock.NewFake()
	copies := newCopies(nil, c, logging.Discard(), 2*time.Second)
	row := mirror.Row{Key: "k", Version: mirror.Version{Number: 5}}
	copies.applyRelayed(platform.Operator, mirror.Changes{Rows: []mirror.Row{row}, Version: mirror.Version{Number: 5}, Full: true})
	c.Advance(10 * time.Second)
	name := string(platform.Operator)
	reader := func(changed mirror.Number) *roster.Digest {
		return &roster.Digest{
			Versions: map[string]mirror.Version{name: {Number: 90}}, LastChange: map[string]mirror.Version{name: {Number: changed}},
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
	if got, want := copies.tables[platform.Operator].Version(), (mirror.Version{Number: 90}); got != want {
		t.Errorf("got the copy complete as of %d, want %d", got, want)
	}
}

// TestListingReaderDoesNotConfirmRemovedUpstream guards against requests to an upstream
// whose row was removed while the reader did not hear changes: the reader's listing shows no
// trace of the row, and the reader's digest made a follower keep its copy of the row.
func TestListingReaderDoesNotConfirmRemovedUpstream(t *testing.T) {
	const removed = "u"
	// Each case returns the reader and a follower that holds the removed row.
	cases := map[string]func(store *standin.Store, start func() *copies) (reader, follower *copies){
		"reader restarts": func(store *standin.Store, start func() *copies) (reader, follower *copies) {
			store.PutUpstream(removed, nil)
			follower = start()
			store.Delete(string(platform.Upstreams), removed)
			return start(), follower
		},
		"history is compacted": func(store *standin.Store, start func() *copies) (reader, follower *copies) {
			reader = start()
			store.PutUpstream(removed, nil)
			follower = start()
			store.Delete(string(platform.Upstreams), removed)
			store.Compact()
			readUpstreams(t, reader)
			return reader, follower
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore()
			store.PutUpstream("other", nil)
			server := httptest.NewServer(store.Handler("a"))
			defer server.Close()
			now := clock.NewFake()
			start := func() *copies {
				c := newCopies(platform.NewStore(server.Listener.Addr().String(), http.DefaultTransport), now, logging.Discard(), 2*time.Second)
				readUpstreams(t, c)
				return c
			}
			reader, follower := prepare(store, start)
			now.Advance(10 * time.Second)
			readUpstreams(t, reader)
			complete, changed := reader.versions()
			follower.confirm(&roster.Digest{Versions: complete, LastChange: changed, CopyAges: reader.ages(now.Now())}, now.Now())
			copied := follower.tables[platform.Upstreams]
			if got, want := follower.ages(now.Now())[string(platform.Upstreams)], 10*time.Second; got != want {
				t.Errorf("got a copy of age %v, want the age since its last read: %v", got, want)
			}
			readUpstreams(t, follower)
			if got := copied.Get(removed); !got.Version.IsZero() {
				t.Errorf("got the removed row at version %v, want none", got.Version)
			}
		})
	}
}

func readUpstreams(t *testing.T, c *copies) {
	t.Helper()
	if _, err := c.read(context.Background(), platform.Upstreams, c.tables[platform.Upstreams]); err != nil {
		t.Fatal(err)
	}
}
