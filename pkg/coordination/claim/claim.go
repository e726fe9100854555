// Package claim makes sure that a non-idempotent request runs at most once in
// the whole fleet: before it is sent to an upstream, its id is inserted in the
// platform's table on the condition that it is not there yet.
package claim

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"celerypin.example/celerypin/pkg/coordination/commit"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// Errors of Take.
var (
	// ErrUnavailable means that the claim could not be made; the request must not run.
	ErrUnavailable = errors.New("the claim could not be recorded")
	// ErrTaken means that the request was taken before.
	ErrTaken = errors.New("the request was taken before")
)

// TakenError is the error for a repeated request. It matches ErrTaken and carries
// what is recorded of the first one.
type TakenError struct{ Claim table.Claim }

// Error tells the state of the earlier claim.
func (t *TakenError) Error() string { return ErrTaken.Error() + ": " + string(t.Claim.State) }

// Is makes a Taken match ErrTaken.
func (t *TakenError) Is(target error) bool { return target == ErrTaken }

// Answer is the recorded answer of a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// MaxRecordedBytes is the size up to which an answer's body is recorded, in bytes.
const MaxRecordedBytes = 16 << 10

// settleTime bounds the work on a claim after its request has ended.
const settleTime = 30 * time.Second

// Registry takes and closes claims. Claims that are made at the same time share a
// transaction. Use Run to start it.
type Registry struct {
	host        id.Host
	incarnation id.Incarnation
	service     table.Service
	clock       clock.Clock
	entries     chan *entry
	sequence    atomic.Uint64
}

// entry is one row to be written, and where to report what came of it.
type entry struct {
	put       table.Row
	condition table.Condition
	done      chan result
}

type result struct {
	revision table.Revision
	err      error
}

// Token stands for a claim that this host has made.
type Token struct {
	key      table.Key
	revision table.Revision
	claim    table.Claim
}

// batchSize is the most rows in one transaction.
const batchSize = 64

// New returns a book that writes to service in the name of one host incarnation.
func New(host id.Host, incarnation id.Incarnation, service table.Service, c clock.Clock) *Registry {
	return &Registry{host: host, incarnation: incarnation, service: service, clock: c, entries: make(chan *entry, 4*batchSize)}
}

// Take claims a request. It fails with an error that matches ErrTaken if the
// request was claimed before and not released, or ErrUnavailable if nothing
// can be known in time. After ErrUnavailable the claim, should it have been
// recorded, is released in the background, because the request has not run.
func (b *Registry) Take(ctx context.Context, account id.Account, request id.Request) (*Token, error) {
	key := table.ClaimKey(account, request)
	claim := table.Claim{Account: account, Request: request, Host: b.host, Incarnation: b.incarnation, State: table.ClaimTaken}
	op := b.operation()
	e := &entry{put: table.Row{Key: key, Operation: op, Claim: &claim}, condition: table.Condition{Key: key}, done: make(chan result, 1)}
	r := b.submit(ctx, e)
	if prior := priorClaim(r.err, key); prior != nil && prior.Claim.State == table.ClaimReleased {
		e = &entry{put: e.put, condition: table.Condition{Key: key, Revision: prior.Revision}, done: make(chan result, 1)}
		r = b.submit(ctx, e)
	}
	if r.err == nil {
		return &Token{key: key, revision: r.revision, claim: claim}, nil
	}
	if prior := priorClaim(r.err, key); prior != nil {
		return nil, &TakenError{Claim: *prior.Claim}
	}
	if !errors.Is(r.err, table.ErrRefused) {
		go b.releaseDoubtful(e, claim)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnavailable, r.err)
}

func (b *Registry) operation() id.Operation {
	return id.Operation(fmt.Sprintf("claim/%s/%d/%d", b.host, b.incarnation, b.sequence.Add(1)))
}

func (b *Registry) submit(ctx context.Context, e *entry) result {
	select {
	case b.entries <- e:
	case <-ctx.Done():
		return result{err: table.ErrRefused}
	}
	select {
	case r := <-e.done:
		return r
	case <-ctx.Done():
		return result{err: table.ErrUnavailable}
	}
}

func priorClaim(err error, key table.Key) *table.Row {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return nil
	}
	for i := range conflict.Rows {
		if conflict.Rows[i].Key == key && conflict.Rows[i].Claim != nil {
			return &conflict.Rows[i]
		}
	}
	return nil
}

// releaseDoubtful waits for the outcome of a claim whose request was refused,
// and releases it if it was made.
func (b *Registry) releaseDoubtful(e *entry, claim table.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	select {
	case r := <-e.done:
		if r.err == nil {
			b.Release(&Token{key: e.put.Key, revision: r.revision, claim: claim})
		}
	case <-ctx.Done():
	}
}

// Release gives up a claim whose request was not sent to any upstream.
func (b *Registry) Release(t *Token) {
	t.claim.State = table.ClaimReleased
	b.close(t)
}

// Record keeps the answer of a request, so that a repeat gets it too. It
// returns before the answer is written.
func (b *Registry) Record(t *Token, answer Answer) {
	t.claim.State = table.ClaimAnswered
	t.claim.Status, t.claim.ContentType, t.claim.Body = answer.Status, answer.ContentType, answer.Body
	b.close(t)
}

// close writes the claim's final state in the background.
func (b *Registry) close(t *Token) {
	claim := t.claim
	e := &entry{
		put:       table.Row{Key: t.key, Operation: b.operation(), Claim: &claim},
		condition: table.Condition{Key: t.key, Revision: t.revision},
		done:      make(chan result, 1),
	}
	select {
	case b.entries <- e:
	default:
		go func() { b.entries <- e }()
	}
}

// Run writes claims until ctx ends; it then writes what is queued and returns.
func (b *Registry) Run(ctx context.Context) {
	var writers errgroup.Group
	writers.SetLimit(concurrentWrites)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case first := <-b.entries:
			b.start(&writers, first)
		}
	}
	b.drain(&writers)
	_ = writers.Wait()
}

// concurrentWrites is the most transactions of one host that are under way.
const concurrentWrites = 4

func (b *Registry) start(writers *errgroup.Group, first *entry) {
	batch := b.gather(first)
	writers.Go(func() error {
		b.write(batch)
		return nil
	})
}

func (b *Registry) drain(writers *errgroup.Group) {
	for {
		select {
		case first := <-b.entries:
			b.start(writers, first)
		default:
			return
		}
	}
}

// gather takes what is queued, up to a transaction's size. A row that stands
// twice must wait for the next transaction.
func (b *Registry) gather(first *entry) []*entry {
	batch := []*entry{first}
	seen := map[table.Key]bool{first.put.Key: true}
	for len(batch) < batchSize {
		select {
		case e := <-b.entries:
			if seen[e.put.Key] {
				go func() { b.entries <- e }()
				return batch
			}
			seen[e.put.Key] = true
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// writeTime bounds one transaction, with what it takes to settle it.
const writeTime = 5 * time.Second

// write commits a batch and reports to each entry.
func (b *Registry) write(batch []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTime)
	defer cancel()
	for len(batch) > 0 {
		batch = b.writeOnce(ctx, batch)
	}
}

// writeOnce commits the batch and returns the entries that are still to be
// written, because others of the batch were in conflict.
func (b *Registry) writeOnce(ctx context.Context, batch []*entry) []*entry {
	txn := table.Txn{Operation: b.operation()}
	for _, e := range batch {
		e.put.Operation = txn.Operation
		txn.Conditions = append(txn.Conditions, e.condition)
		txn.Puts = append(txn.Puts, e.put)
	}
	revision, err := commit.Write(ctx, b.clock, b.service, txn)
	if !errors.Is(err, table.ErrConflict) {
		for _, e := range batch {
			e.done <- result{revision, err}
		}
		return nil
	}
	return b.split(batch, err)
}

// split reports the conflict to the entries that caused it and returns the others.
func (b *Registry) split(batch []*entry, err error) []*entry {
	var rest []*entry
	for _, e := range batch {
		row := currentRow(err, e.put.Key)
		inConflict := (row == nil && e.condition.Revision != 0) || (row != nil && row.Revision != e.condition.Revision)
		if inConflict {
			e.done <- result{err: err}
			continue
		}
		rest = append(rest, e)
	}
	if len(rest) == len(batch) {
		for _, e := range rest {
			e.done <- result{err: err}
		}
		return nil
	}
	return rest
}

func currentRow(err error, key table.Key) *table.Row {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return nil
	}
	for i := range conflict.Rows {
		if conflict.Rows[i].Key == key {
			return &conflict.Rows[i]
		}
	}
	return nil
}
