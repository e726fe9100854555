// Package rcu provides read-copy-update cells: readers load an immutable
// snapshot with one atomic operation, writers replace it whole.
package rcu

import (
	"sync"
	"sync/atomic"
)

// Cell holds the current snapshot of type T. Readers never block. Writers are
// serialized by a mutex that readers do not use. A snapshot must not be modified
// after it was stored.
type Cell[T any] struct {
	current atomic.Pointer[T]
	write   sync.Mutex
}

// New returns a cell that holds initial.
func New[T any](initial T) *Cell[T] {
	c := &Cell[T]{}
	c.current.Store(&initial)
	return c
}

// Load returns the current snapshot; it must be treated as read-only.
func (c *Cell[T]) Load() *T { return c.current.Load() }

// Store replaces the snapshot.
func (c *Cell[T]) Store(next T) {
	c.write.Lock()
	defer c.write.Unlock()
	c.current.Store(&next)
}

// Update replaces the snapshot with the result of change. change receives the
// current snapshot by value and must copy any referenced data that it modifies.
func (c *Cell[T]) Update(change func(T) T) {
	c.write.Lock()
	defer c.write.Unlock()
	next := change(*c.current.Load())
	c.current.Store(&next)
}
