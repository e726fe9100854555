package table

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// Memory is an in-memory table for stand-ins and tests. It is safe for concurrent
// use and never unavailable.
type Memory struct {
	mu       sync.Mutex
	revision Revision
	rows     map[Key]Row
	reads    uint64
	writes   uint64
}

// NewMemory returns an empty table.
func NewMemory() *Memory { return &Memory{revision: 1, rows: map[Key]Row{}} }

// Commit applies a transaction if all its conditions hold.
func (m *Memory) Commit(_ context.Context, txn Txn) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if !m.conditionsHold(txn.Conditions) {
		return 0, &ConflictError{Rows: m.currentRows(txn.Conditions)}
	}
	m.revision++
	for _, row := range txn.Puts {
		row.Revision = m.revision
		row.Operation = txn.Operation
		m.rows[row.Key] = row
	}
	for _, key := range txn.Deletes {
		m.rows[key] = Row{Key: key, Revision: m.revision, Operation: txn.Operation}
	}
	return m.revision, nil
}

func (m *Memory) conditionsHold(conditions []Condition) bool {
	for _, c := range conditions {
		row, exists := m.rows[c.Key]
		if exists && row.Deleted() {
			exists = false
		}
		if (c.Revision == 0) == exists || (exists && row.Revision != c.Revision) {
			return false
		}
	}
	return true
}

func (m *Memory) currentRows(conditions []Condition) []Row {
	var out []Row
	for _, c := range conditions {
		if row, ok := m.rows[c.Key]; ok && !row.Deleted() {
			out = append(out, row)
		}
	}
	return out
}

// Rows returns the rows of the given keys that exist.
func (m *Memory) Rows(_ context.Context, keys []Key) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var out []Row
	for _, key := range keys {
		if row, ok := m.rows[key]; ok && !row.Deleted() {
			out = append(out, row)
		}
	}
	return out, nil
}

// Changes returns the rows that changed after a revision, without claims.
func (m *Memory) Changes(_ context.Context, after Revision) (Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	out := Changes{After: after, Revision: m.revision}
	for key, row := range m.rows {
		if row.Revision > after && !key.HasPrefix(ClaimPrefix) {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b Row) int {
		if c := cmp.Compare(a.Revision, b.Revision); c != 0 {
			return c
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return out, nil
}

// Counts returns the number of reads and writes so far.
func (m *Memory) Counts() (reads, writes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

// Deleted reports whether the row only records a deletion.
func (r Row) Deleted() bool {
	return r.Host == nil && r.Control == nil && r.Budget == nil && r.Config == nil && r.KeyGrant == nil && r.Claim == nil && r.Release == nil && r.Shift == nil
}
