// Package commit makes conditional writes whose answers may be lost, and finds
// out whether they took effect.
package commit

import (
	"context"
	"errors"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// retryBackoff is the wait after a failed attempt.
const retryBackoff = 50 * time.Millisecond

// minAttemptTime is the time that must be left for another attempt. An attempt that
// is cut off leaves its outcome unknown, even if all attempts before it were refused.
const minAttemptTime = 250 * time.Millisecond

// Write commits a transaction that puts at least one row under a condition.
//
// If the answer is lost, Write reads the first row back: the write took effect if
// that row carries the transaction's operation. Otherwise the write is sent again
// under the same conditions, so it cannot take effect twice. If ctx ends first, or
// leaves less than minAttemptTime, the error matches table.ErrOutcomeUnknown, unless
// every attempt failed with table.ErrRefused and so cannot have taken effect.
func Write(ctx context.Context, c clock.Clock, service table.Service, txn table.Txn) (table.Revision, error) {
	mayHaveApplied := false
	for {
		revision, err := service.Commit(ctx, txn)
		if err == nil {
			return revision, nil
		}
		if errors.Is(err, table.ErrConflict) {
			return ownRevision(err, txn.Operation)
		}
		mayHaveApplied = mayHaveApplied || !errors.Is(err, table.ErrRefused)
		if !c.Sleep(ctx, retryBackoff) {
			return 0, outcomeError(mayHaveApplied, err)
		}
		if revision, found := readBack(ctx, service, txn); found {
			return revision, nil
		}
		if deadlineTooClose(ctx, c) {
			return 0, outcomeError(mayHaveApplied, err)
		}
	}
}

// deadlineTooClose reports whether ctx leaves less than minAttemptTime.
func deadlineTooClose(ctx context.Context, c clock.Clock) bool {
	deadline, hasDeadline := ctx.Deadline()
	return hasDeadline && deadline.Sub(c.Wall()) < minAttemptTime
}

// outcomeError makes err match table.ErrOutcomeUnknown if an attempt may have taken
// effect.
func outcomeError(mayHaveApplied bool, err error) error {
	if mayHaveApplied {
		return errors.Join(table.ErrOutcomeUnknown, err)
	}
	return err
}

// ownRevision returns success for a conflict that an earlier attempt of the same
// transaction caused, and err for any other.
func ownRevision(err error, op id.Operation) (table.Revision, error) {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return 0, err
	}
	for _, row := range conflict.Rows {
		if row.Operation == op {
			return row.Revision, nil
		}
	}
	return 0, err
}

// readBack returns the revision of the transaction's first row if the table now holds
// the row as this transaction wrote it.
func readBack(ctx context.Context, service table.Service, txn table.Txn) (table.Revision, bool) {
	rows, err := service.Rows(ctx, []table.Key{txn.Puts[0].Key})
	if err != nil {
		return 0, false
	}
	for _, row := range rows {
		if row.Operation == txn.Operation {
			return row.Revision, true
		}
	}
	return 0, false
}
