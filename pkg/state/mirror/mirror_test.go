package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func rowsOf(t *Table) map[string]Version {
	out := map[string]Version{}
	for k, r := range t.Rows() {
		out[k] = r.Version
	}
	return out
}

// TestCopiesAgree applies changes to two copies in any order, by reads, by relays
// between the copies, and by full listings; both must end with the store's rows.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, a, b := New(), New(), New()
		var version Version
		change := func() {
			version++
			key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
			row := Row{Key: key, Value: []byte{byte(version)}, Version: version, Deleted: rapid.Bool().Draw(t, "deleted")}
			store.Apply([]Row{row}, version-1, version)
		}
		read := func(c *Table) {
			c.ApplyChanges(store.ChangesSince(c.Version()))
		}
		list := func(c *Table) {
			var rows []Row
			for _, r := range store.Rows() {
				rows = append(rows, r)
			}
			c.ApplyListing(rows, store.Version())
		}
		relay := func(from, to *Table) {
			to.ApplyChanges(from.ChangesSince(to.Version()))
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				change()
			case 2:
				read(a)
			case 3:
				list(b)
			case 4:
				relay(a, b)
			case 5:
				relay(b, a)
			}
		}
		read(a)
		relay(a, b)
		for name, c := range map[string]*Table{"a": a, "b": b} {
			if got, want := rowsOf(c), rowsOf(store); !maps.Equal(got, want) {
				t.Fatalf("copy %s: got %v, want %v", name, got, want)
			}
		}
	})
}

// TestConfirmedCopyIsComplete guards against a follower that keeps a deleted row because a
// reader that restarted after the deletion confirms the follower's copy. The reader's
// process may restart at any time, and then lists the table into an empty copy.
func TestConfirmedCopyIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, reader, follower := New(), New(), New()
		var version Version
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				version++
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				row := Row{Key: key, Value: []byte{byte(version)}, Version: version, Deleted: rapid.Bool().Draw(t, "deleted")}
				store.Apply([]Row{row}, version-1, version)
			case 2:
				reader.ApplyChanges(store.ChangesSince(reader.Version()))
			case 3:
				reader = New()
				reader.ApplyListing(slices.Collect(maps.Values(store.Rows())), store.Version())
			case 4:
				follower.ApplyChanges(store.ChangesSince(follower.Version()))
			case 5:
				follower.Confirm(reader.LastChange(), reader.Version())
			}
		}
		follower.ApplyChanges(store.ChangesSince(follower.Version()))
		if got, want := rowsOf(follower), rowsOf(store); !maps.Equal(got, want) {
			t.Fatalf("got rows %v, want those of the store: %v", got, want)
		}
	})
}

// TestListingRelaysDeletion relays to a copy that holds a deleted row, from a copy
// whose full listing came after the deletion and that never held the row.
func TestListingRelaysDeletion(t *testing.T) {
	old, listed := New(), New()
	old.Apply([]Row{{Key: "a", Version: 8, Value: []byte("x")}}, 0, 8)
	listed.ApplyListing(nil, 9)
	old.ApplyChanges(listed.ChangesSince(old.Version()))
	if got := len(old.Rows()); got != 0 {
		t.Errorf("got %d rows after the relay, want none", got)
	}
	if got, want := old.Version(), Version(9); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

func TestOlderRowDoesNotReplaceDeletion(t *testing.T) {
	c := New()
	c.Apply([]Row{{Key: "a", Version: 5, Deleted: true}}, 0, 5)
	c.Apply([]Row{{Key: "a", Version: 3, Value: []byte("old")}}, 0, 4)
	if got := len(c.Rows()); got != 0 {
		t.Errorf("got %d rows, want none", got)
	}
}

func TestGapDoesNotAdvanceTheVersion(t *testing.T) {
	c := New()
	c.Apply(nil, 0, 5)
	c.Apply([]Row{{Key: "a", Version: 9}}, 7, 9)
	if got, want := c.Version(), Version(5); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	if got, want := len(c.Rows()), 1; got != want {
		t.Errorf("got %d rows, want %d", got, want)
	}
}
