// Package commit settles conditional writes whose answers may be lost.
package commit

import (
	"context"
	"errors"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// settlePause is the time between two attempts to settle a write.
const settlePause = 50 * time.Millisecond

// leastAttempt is the time that must be left for another attempt. One that is cut
// off leaves open whether it took effect, although all before it did not.
const leastAttempt = 250 * time.Millisecond

// Write commits a transaction that puts at least one row under a condition.
//
// If the answer is lost, it reads the first row back: the write took effect if
// that row carries the transaction's operation. A write that did not take
// effect is sent again only under its conditions, so it cannot take effect
// twice. When ctx ends first the error matches table.ErrUndecided, unless no
// attempt can have reached the table.
func Write(ctx context.Context, c clock.Clock, service table.Service, txn table.Txn) (table.Revision, error) {
	doubtful := false
	for {
		revision, err := service.Commit(ctx, txn)
		if err == nil {
			return revision, nil
		}
		if errors.Is(err, table.ErrConflict) {
			return ownRevision(err, txn.Operation)
		}
		doubtful = doubtful || !errors.Is(err, table.ErrRefused)
		if !c.Sleep(ctx, settlePause) {
			return 0, undecided(doubtful, err)
		}
		if revision, found := readBack(ctx, service, txn); found {
			return revision, nil
		}
		if endsSoon(ctx, c) {
			return 0, undecided(doubtful, err)
		}
	}
}

func endsSoon(ctx context.Context, c clock.Clock) bool {
	deadline, bound := ctx.Deadline()
	return bound && deadline.Sub(c.Wall()) < leastAttempt
}

func undecided(doubtful bool, err error) error {
	if doubtful {
		return errors.Join(table.ErrOutcomeUnknown, err)
	}
	return err
}

// ownRevision turns a conflict with the transaction's own earlier effect into success.
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
