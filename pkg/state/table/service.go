package table

import (
	"context"
	"errors"
	"fmt"
)

// ErrRefused means that the table service answered explicitly that it is out. It
// matches ErrUnavailable too.
var ErrRefused = fmt.Errorf("%w: it answers that it is out", ErrUnavailable)

// ErrOutcomeUnknown means that it could not be found out whether a write took effect.
var ErrOutcomeUnknown = errors.New("the outcome of the write is not known yet")

// Service is the platform's transactional table. Implementations return errors
// that match ErrConflict or ErrUnavailable.
type Service interface {
	// Commit applies a transaction and returns the revision it got.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Rows returns the current rows of the given keys; absent rows are left out.
	Rows(ctx context.Context, keys []Key) ([]Row, error)
	// Changes returns the rows that changed after a revision, without claims.
	Changes(ctx context.Context, after Revision) (Changes, error)
}
