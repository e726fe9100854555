package table

import (
	"context"
	"errors"
	"fmt"
)

// ErrRefused means that a request certainly had no effect: the table service refused
// it or was not reached. It also matches ErrUnavailable.
var ErrRefused = fmt.Errorf("%w: request refused", ErrUnavailable)

// ErrOutcomeUnknown means that a write may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("outcome of the write unknown")

// Service is the platform's transactional table. Implementations return errors
// that match ErrConflict or ErrUnavailable.
type Service interface {
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Rows returns the current rows of the given keys; absent rows are omitted.
	Rows(ctx context.Context, keys []Key) ([]Row, error)
	// Changes returns the rows that changed after a revision, without claims.
	Changes(ctx context.Context, after Revision) (Changes, error)
}
