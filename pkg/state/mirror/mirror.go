// Package mirror keeps a copy of one table of the store. Copies on several hosts
// converge by the versions of their rows, whether the rows come from the store or
// from other hosts, and in any order.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
)

// Version identifies a transaction of the store; the version of a row is that of the
// transaction that last changed it. A store that comes back from an older copy of itself
// begins a new era and gives out numbers again, so numbers are comparable within an era only.
type Version struct {
	Era    Era
	Number Number
}

// Era counts how often the store has come back from an older copy.
type Era uint64

// Number numbers the transactions of an era.
type Number uint64

// Compare orders versions. All versions of an era follow those of the eras before it.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.Era, w.Era); c != 0 {
		return c
	}
	return cmp.Compare(v.Number, w.Number)
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool { return v.Compare(w) < 0 }

// IsZero reports whether v is the zero Version, which belongs to no transaction.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the number, after the era if there was more than one.
func (v Version) String() string {
	if v.Era == 0 {
		return strconv.FormatUint(uint64(v.Number), 10)
	}
	return strconv.FormatUint(uint64(v.Era), 10) + "." + strconv.FormatUint(uint64(v.Number), 10)
}

// MarshalText returns the version as String does, for logs.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// later returns the later of two versions.
func later(v, w Version) Version {
	if v.Before(w) {
		return w
	}
	return v
}

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

// New returns an empty table at the zero Version.
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
// that version, the last of which was at lastChange. It reports whether it does. A copy
// of another era never does.
func (t *Table) Confirm(lastChange, version Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version.Era != version.Era || t.version.Before(lastChange) {
		return false
	}
	t.version = later(t.version, version)
	return true
}

// Apply merges changed rows that make a copy complete as of version if it was
// complete as of base. It returns the rows that changed in this copy. If the copy
// is older than base, the rows are merged but its version does not advance. Changes of
// another era are ignored: only a listing takes a copy to a later one.
func (t *Table) Apply(rows []Row, base, version Version) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version.Era != t.version.Era {
		return nil
	}
	// A row that the last listing did not contain was deleted before it.
	changed := t.merge(slices.DeleteFunc(slices.Clone(rows), func(r Row) bool {
		_, held := t.rows[r.Key]
		return !held && !t.listed.Before(r.Version)
	}))
	if !t.version.Before(base) {
		t.version = later(t.version, version)
	}
	return changed
}

// ApplyListing merges a full listing as of version; rows that are not listed were
// deleted. It returns the rows that changed, and ignores a listing older than the copy.
//
// Rows of an earlier era that the first listing of an era does not contain are kept until
// DropEarlier: the store may have lost them, and their writers write them again.
func (t *Table) ApplyListing(rows []Row, version Version) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version.Before(t.version) {
		return nil
	}
	changed := t.merge(rows)
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Key] = true
	}
	for key, r := range t.rows {
		switch {
		case listed[key] || version.Before(r.Version):
		case r.Deleted && r.Version.Era < version.Era:
			delete(t.rows, key)
		case !r.Deleted && r.Version.Era == version.Era:
			changed = append(changed, t.markDeleted(r, version))
		}
	}
	// Rows that this copy never held may have been deleted since its last version.
	t.lastChange = later(t.lastChange, version)
	t.version, t.listed = version, version
	return changed
}

// DropEarlier deletes the rows that are left of earlier eras, and returns them.
func (t *Table) DropEarlier() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dropped []Row
	for _, r := range t.rows {
		if r.Version.Era < t.version.Era && !r.Deleted {
			dropped = append(dropped, t.markDeleted(r, t.listed))
		}
	}
	return dropped
}

// markDeleted marks a row as deleted at a version. The caller holds the mutex.
func (t *Table) markDeleted(r Row, at Version) Row {
	r.Deleted, r.Value, r.Version = true, nil, at
	t.rows[r.Key] = r
	return r
}

// merge stores the rows that are newer than those of the copy, and returns them. The
// caller holds the mutex.
func (t *Table) merge(rows []Row) []Row {
	var changed []Row
	for _, r := range rows {
		if old, ok := t.rows[r.Key]; ok && !old.Version.Before(r.Version) {
			continue
		}
		t.rows[r.Key] = r
		t.lastChange = later(t.lastChange, r.Version)
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
// deletions before that listing are not known. Rows that are left of earlier eras are not
// part of it.
func (t *Table) ChangesSince(after Version) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Changes{Base: after, Version: t.version, Full: after.Before(t.listed)}
	for _, r := range t.rows {
		if r.Version.Era == t.version.Era && (after.Before(r.Version) || (c.Full && !r.Deleted)) {
			c.Rows = append(c.Rows, r)
		}
	}
	slices.SortFunc(c.Rows, func(a, b Row) int { return a.Version.Compare(b.Version) })
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
	return slices.SortedFunc(maps.Values(t.rows), func(a, b Row) int { return a.Version.Compare(b.Version) })
}

// Get returns one row; an absent or deleted row has the zero Version.
func (t *Table) Get(key string) Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[key]
	if r.Deleted {
		return Row{Key: key}
	}
	return r
}
