// Package mirror keeps a copy of one table of the store. Copies on several hosts
// converge by the versions of their rows, whether the rows come from the store or
// from other hosts, and in any order.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// Version numbers the store's transactions; the version of a row is that of the
// transaction that last changed it.
type Version uint64

// Row is one row as the store holds it. A deleted row is kept with the version of
// its deletion, so that an older copy of the row cannot restore it.
type Row struct {
	Key     string
	Value   []byte
	Version Version
	Deleted bool
}

// Table is a copy of one table. It is complete as of Version: it reflects all
// changes up to that version, and possibly later ones. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[string]Row
	version Version
	// lastChange is at least the version of the last change of a row up to version. A full
	// listing shows no deletions, so it counts as a change.
	lastChange Version
	// listed is the version of the last full listing. Rows deleted before it may be
	// missing from rows instead of being marked as deleted.
	listed Version
}

// New returns an empty table at version 0.
func New() *Table { return &Table{rows: map[string]Row{}} }

// Version returns the version as of which the copy is complete.
func (t *Table) Version() Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// LastChange returns the version as of which another copy must be complete to have all the
// changes that this one reflects: that of the last change of a row or, if it is higher, of
// the last full listing.
func (t *Table) LastChange() Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastChange
}

// Confirm makes the copy complete as of version if it reflects all changes up to
// that version, the last of which was at lastChange. It reports whether it does.
func (t *Table) Confirm(lastChange, version Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version < lastChange {
		return false
	}
	t.version = max(t.version, version)
	return true
}

// Apply merges changed rows that make a copy complete as of version if it was
// complete as of base. It returns the rows that changed in this copy. If the copy
// is older than base, the rows are merged but its version does not advance.
func (t *Table) Apply(rows []Row, base, version Version) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.merge(rows)
	if base <= t.version && version > t.version {
		t.version = version
	}
	return changed
}

// ApplyListing merges a full listing as of version; rows that are not listed were
// deleted. It returns the rows that changed, and ignores a listing older than the copy.
func (t *Table) ApplyListing(rows []Row, version Version) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < t.version {
		return nil
	}
	changed := t.merge(rows)
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Key] = true
	}
	for key, r := range t.rows {
		if !listed[key] && !r.Deleted && r.Version <= version {
			r.Deleted, r.Value, r.Version = true, nil, version
			t.rows[key] = r
			changed = append(changed, r)
		}
	}
	// Rows that this copy never held may have been deleted since its last version.
	t.lastChange = max(t.lastChange, version)
	t.version, t.listed = version, version
	return changed
}

// merge stores the rows that are newer than those of the copy, and returns them. The
// caller holds the mutex.
func (t *Table) merge(rows []Row) []Row {
	var changed []Row
	for _, r := range rows {
		if old, ok := t.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		t.rows[r.Key] = r
		t.lastChange = max(t.lastChange, r.Version)
		changed = append(changed, r)
	}
	return changed
}

// Changes are the rows by which another copy is brought up to date.
type Changes struct {
	Rows []Row
	// Base and Version bound the changes for which Rows is complete: all after Base,
	// up to Version.
	Base, Version Version
	// Full is set if Rows is a full listing as of Version; rows that are not listed
	// were deleted.
	Full bool
}

// ChangesSince returns the changes after a version, in the order of versions. For a
// version before the last full listing, it returns a full listing, because
// deletions before that listing are not known.
func (t *Table) ChangesSince(after Version) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Changes{Base: after, Version: t.version, Full: after < t.listed}
	for _, r := range t.rows {
		if r.Version > after || (c.Full && !r.Deleted) {
			c.Rows = append(c.Rows, r)
		}
	}
	slices.SortFunc(c.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return c
}

// ApplyChanges merges changes from another copy and returns the rows that changed.
func (t *Table) ApplyChanges(c Changes) []Row {
	if c.Full {
		return t.ApplyListing(c.Rows, c.Version)
	}
	return t.Apply(c.Rows, c.Base, c.Version)
}

// Rows returns the rows that are not deleted, by key.
func (t *Table) Rows() map[string]Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := maps.Clone(t.rows)
	maps.DeleteFunc(out, func(_ string, r Row) bool { return r.Deleted })
	return out
}

// AllRows returns all rows in the order of their versions, deleted ones included.
func (t *Table) AllRows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.SortedFunc(maps.Values(t.rows), func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
}

// Get returns one row; an absent or deleted row has version 0.
func (t *Table) Get(key string) Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[key]
	if r.Deleted {
		return Row{Key: key}
	}
	return r
}
