package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// at returns a version of the first era.
func at(n Number) Version { return Version{Number: n} }

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
		var version Number
		change := func() {
			version++
			key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
			row := Row{Key: key, Value: []byte{byte(version)}, Version: at(version), Deleted: rapid.Bool().Draw(t, "deleted")}
			store.Apply([]Row{row}, at(version-1), at(version))
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
		var version Number
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				version++
				key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				row := Row{Key: key, Value: []byte{byte(version)}, Version: at(version), Deleted: rapid.Bool().Draw(t, "deleted")}
				store.Apply([]Row{row}, at(version-1), at(version))
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
	old.Apply([]Row{{Key: "a", Version: at(8), Value: []byte("x")}}, at(0), at(8))
	listed.ApplyListing(nil, at(9))
	old.ApplyChanges(listed.ChangesSince(old.Version()))
	if got := len(old.Rows()); got != 0 {
		t.Errorf("got %d rows after the relay, want none", got)
	}
	if got, want := old.Version(), at(9); got != want {
		t.Errorf("got version %v, want %v", got, want)
	}
}

// TestLateRelayDoesNotRestoreDeletedRow guards against a row that is in use again because a
// relay of it arrives after a listing that no longer contains it.
func TestLateRelayDoesNotRestoreDeletedRow(t *testing.T) {
	c := New()
	c.ApplyListing(nil, at(9))
	c.Apply([]Row{{Key: "a", Version: at(8), Value: []byte("old")}}, at(7), at(8))
	if got := len(c.Rows()); got != 0 {
		t.Errorf("got %d rows, want none", got)
	}
}

func TestOlderRowDoesNotReplaceDeletion(t *testing.T) {
	c := New()
	c.Apply([]Row{{Key: "a", Version: at(5), Deleted: true}}, at(0), at(5))
	c.Apply([]Row{{Key: "a", Version: at(3), Value: []byte("old")}}, at(0), at(4))
	if got := len(c.Rows()); got != 0 {
		t.Errorf("got %d rows, want none", got)
	}
}

func TestGapDoesNotAdvanceTheVersion(t *testing.T) {
	c := New()
	c.Apply(nil, at(0), at(5))
	c.Apply([]Row{{Key: "a", Version: at(9)}}, at(7), at(9))
	if got, want := c.Version(), at(5); got != want {
		t.Errorf("got version %v, want %v", got, want)
	}
	if got, want := len(c.Rows()), 1; got != want {
		t.Errorf("got %d rows, want %d", got, want)
	}
}

// eraStore is a store that can come back from an older copy of itself.
type eraStore struct {
	rows    map[string]Row
	history []Row
	version Version
}

func (s *eraStore) clone() eraStore {
	return eraStore{maps.Clone(s.rows), slices.Clone(s.history), s.version}
}

func (s *eraStore) change(key string, value byte, deleted bool) {
	s.version.Number++
	r := Row{Key: key, Value: []byte{value}, Version: s.version, Deleted: deleted}
	if deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
}

// restore brings back a copy. Its rows and history have the versions of the new era.
func (s *eraStore) restore(backup eraStore) {
	era := s.version.Era + 1
	*s = backup.clone()
	s.version.Era = era
	for key, r := range s.rows {
		r.Version.Era = era
		s.rows[key] = r
	}
	for i := range s.history {
		s.history[i].Version.Era = era
	}
}

// read reads the changes since the copy's version or, in a new era, lists the table.
func (s *eraStore) read(c *Table) {
	after := c.Version()
	if after.Era != s.version.Era {
		c.ApplyListing(slices.Collect(maps.Values(s.rows)), s.version)
		return
	}
	rows := slices.DeleteFunc(slices.Clone(s.history), func(r Row) bool { return !after.Before(r.Version) })
	c.Apply(rows, after, s.version)
}

// TestStoreEraCopiesAgree guards against copies that keep rows of an earlier era of the store,
// or miss rows of a later one, in any order of reads, relays, late relays and confirmations.
func TestStoreEraCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := eraStore{rows: map[string]Row{}, version: Version{Era: 1}}
		backup := store.clone()
		copies := []*Table{New(), New()}
		var late []Changes
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "copy")
			c, other := copies[i], copies[1-i]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				store.change(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")), rapid.Byte().Draw(t, "value"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				store.read(c)
			case 3:
				c.ApplyChanges(other.ChangesSince(c.Version()))
			case 4:
				late = append(late, other.ChangesSince(c.Version()))
			case 5:
				if len(late) > 0 {
					c.ApplyChanges(late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
				}
			case 6:
				c.Confirm(other.LastChange(), other.Version())
			case 7:
				if rapid.Bool().Draw(t, "restore") {
					store.restore(backup)
				}
				backup = store.clone()
			}
		}
		for i, c := range copies {
			store.read(c)
			store.read(c)
			c.DropEarlier()
			want := map[string]Version{}
			for key, r := range store.rows {
				want[key] = r.Version
			}
			if got := rowsOf(c); !maps.Equal(got, want) {
				t.Fatalf("copy %d: got rows %v, want those of the store: %v", i, got, want)
			}
		}
	})
}

// TestStoreEraReaderDoesNotConfirmOtherEra guards against a copy that counts as fresh because
// a reader that has not seen the store's return reports a higher number.
func TestStoreEraReaderDoesNotConfirmOtherEra(t *testing.T) {
	c := New()
	c.ApplyListing(nil, Version{Era: 2, Number: 5})
	for _, reader := range []Version{{Era: 1, Number: 90}, {Era: 3, Number: 5}} {
		if c.Confirm(reader, reader) {
			t.Errorf("a reader at %v: got copy %v confirmed, want not", reader, c.Version())
		}
	}
}
