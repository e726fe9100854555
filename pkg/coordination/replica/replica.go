// Package replica keeps a host's copy of the committed rows. Rows only ever go
// up in revision, whatever the order in which reads and relays arrive.
package replica

import (
	"cmp"
	"slices"

	"celerypin.example/celerypin/pkg/state/table"
)

// Replica is a copy of the rows up to a revision. It is not safe for concurrent use.
type Replica struct {
	rows     map[table.Key]table.Row
	complete table.Revision
}

// New returns an empty copy.
func New() *Replica { return &Replica{rows: map[table.Key]table.Row{}} }

// Complete returns the revision up to which all rows are known.
func (r *Replica) Complete() table.Revision { return r.complete }

// Apply merges changes and returns the rows that were new. Each row is taken
// by its own revision; the copy counts as complete up to the changes' revision
// only if they start at or below what it already has.
func (r *Replica) Apply(c table.Changes) []table.Row {
	var fresh []table.Row
	for _, row := range c.Rows {
		if r.Put(row) {
			fresh = append(fresh, row)
		}
	}
	if c.After <= r.complete && c.Revision > r.complete {
		r.complete = c.Revision
	}
	return fresh
}

// Put merges a single row and tells whether it was new.
func (r *Replica) Put(row table.Row) bool {
	if row.Revision <= r.rows[row.Key].Revision {
		return false
	}
	r.rows[row.Key] = row
	return true
}

// Row returns the row of key, if it is known and not deleted.
func (r *Replica) Row(key table.Key) (table.Row, bool) {
	row, ok := r.rows[key]
	return row, ok && !row.Deleted()
}

// Revision returns the revision of a row, or zero; a deleted row counts as absent.
func (r *Replica) Revision(key table.Key) table.Revision {
	row, ok := r.Row(key)
	if !ok {
		return 0
	}
	return row.Revision
}

// Rows returns the rows of one kind in the order of their keys.
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

// Since returns the rows that changed after a revision, in the order of their revisions.
func (r *Replica) Since(after table.Revision) table.Changes {
	c := table.Changes{After: after, Revision: r.complete}
	for _, row := range r.rows {
		if row.Revision > after {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b table.Row) int {
		if by := cmp.Compare(a.Revision, b.Revision); by != 0 {
			return by
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return c
}
