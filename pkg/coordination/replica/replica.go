// Package replica holds a host's copy of the committed rows of the table. The revision of
// a row never decreases, in whatever order reads and relayed rows arrive.
package replica

import (
	"cmp"
	"slices"

	"celerypin.example/celerypin/pkg/state/table"
)

// Replica is a copy of the rows, complete up to a revision. It is not safe for concurrent
// use.
type Replica struct {
	// rows includes deleted rows, so that no older revision can bring one back.
	rows map[table.Key]table.Row
	// complete is the revision up to which all rows are known, 0 before the first read.
	complete table.Revision
}

// New returns an empty copy.
func New() *Replica { return &Replica{rows: map[table.Key]table.Row{}} }

// CompleteRevision returns the revision up to which all rows are known, 0 before the first
// read. Single rows may be newer.
func (r *Replica) CompleteRevision() table.Revision { return r.complete }

// Apply merges changes and returns the rows that were new. Each row is compared by its
// own revision; the copy counts as complete up to the revision of the changes only if
// they start at or below the revision up to which it was complete.
func (r *Replica) Apply(c table.Changes) []table.Row {
	var added []table.Row
	for _, row := range c.Rows {
		if r.Put(row) {
			added = append(added, row)
		}
	}
	if c.After <= r.complete && c.Revision > r.complete {
		r.complete = c.Revision
	}
	return added
}

// Put merges a single row and reports whether it was new.
func (r *Replica) Put(row table.Row) bool {
	if row.Revision <= r.rows[row.Key].Revision {
		return false
	}
	r.rows[row.Key] = row
	return true
}

// Row returns the row of a key, and whether it is known and not deleted.
func (r *Replica) Row(key table.Key) (table.Row, bool) {
	row, ok := r.rows[key]
	return row, ok && !row.Deleted()
}

// Revision returns the revision of the row of a key, or 0 if it is unknown or deleted.
func (r *Replica) Revision(key table.Key) table.Revision {
	row, ok := r.Row(key)
	if !ok {
		return 0
	}
	return row.Revision
}

// Rows returns the rows whose keys have a prefix, ordered by key, without deleted ones.
func (r *Replica) Rows(prefix table.Key) []table.Row {
	var out []table.Row
	for key, row := range r.rows {
		if key.HasPrefix(prefix) && !row.Deleted() {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// ChangesSince returns the rows that changed after a revision, including deleted ones, ordered
// by revision and, within a revision, by key.
func (r *Replica) ChangesSince(after table.Revision) table.Changes {
	c := table.Changes{After: after, Revision: r.complete}
	for _, row := range r.rows {
		if row.Revision > after {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b table.Row) int {
		if order := cmp.Compare(a.Revision, b.Revision); order != 0 {
			return order
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return c
}
