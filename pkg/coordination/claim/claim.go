// Package claim ensures that a non-idempotent request runs at most once in the
// whole fleet: before the request is sent to an upstream, its id is inserted into
// the platform's table on the condition that the table does not hold it yet.
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
	ErrUnavailable = errors.New("claim could not be recorded")
	// ErrTaken means that the request was claimed before.
	ErrTaken = errors.New("request was claimed before")
)

// TakenError is the error for a repeated request. It matches ErrTaken and carries
// the claim of the first one.
type TakenError struct{ Claim table.Claim }

// Error names the state of the earlier claim.
func (t *TakenError) Error() string { return ErrTaken.Error() + ": " + string(t.Claim.State) }

// Is makes a TakenError match ErrTaken.
func (t *TakenError) Is(target error) bool { return target == ErrTaken }

// Answer is the recorded answer of a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// MaxRecordedBytes is the largest body of an answer that is recorded.
const MaxRecordedBytes = 16 << 10

// resolveTimeout bounds the wait for the outcome of a claim whose request was refused.
const resolveTimeout = 30 * time.Second

// Registry takes claims and writes their final state. Claims that are made at the
// same time share a transaction.
//
// Take, Release and Record put entries into the queue. Run writes the queued entries in
// batches; without Run nothing is written. Each entry that Run writes gets exactly one
// result, in its done channel:
//   - submit receives the result, as long as the context of Take has not ended.
//   - releaseUnresolved receives it instead if that context ends first, and releases the
//     claim if it was recorded.
//   - The result of a final state is not received. If its write fails, it is not repeated.
type Registry struct {
	host        id.Host
	incarnation id.Incarnation
	service     table.Service
	clock       clock.Clock
	entries     chan *entry
	sequence    atomic.Uint64
}

// entry is one row to be written on a condition.
type entry struct {
	// put is the row. writeOnce sets its Operation to that of the batch's transaction.
	put       table.Row
	condition table.Condition
	// done gets the result. It is buffered, so that a write never waits for a receiver.
	done chan result
}

// result is the outcome of an entry. The error of a result from a write is
//   - nil if the row was written, at revision;
//   - one that matches table.ErrConflict if the row was not written because of a conflict;
//     a *table.ConflictError carries the current rows;
//   - one that matches table.ErrOutcomeUnknown if the row may have been written;
//   - one that matches table.ErrRefused, but not table.ErrOutcomeUnknown, if the table
//     refused every attempt, so that the row was not written.
//
// submit makes results of its own: table.ErrRefused for an entry that was not queued, and
// table.ErrUnavailable for one that may still be written.
type result struct {
	revision table.Revision
	err      error
}

// Token represents a claim that this host holds.
type Token struct {
	key      table.Key
	revision table.Revision
	claim    table.Claim
}

// maxBatchRows bounds the rows of one transaction.
const maxBatchRows = 64

// New returns a registry that writes to service on behalf of one host incarnation.
func New(host id.Host, incarnation id.Incarnation, service table.Service, c clock.Clock) *Registry {
	return &Registry{host: host, incarnation: incarnation, service: service, clock: c, entries: make(chan *entry, 4*maxBatchRows)}
}

// Take claims a request. The error is a *TakenError, which matches ErrTaken, if the
// request was claimed before and not released. It matches ErrUnavailable if the table
// refuses the claim or its outcome is not known in time; the request must not run then.
// If the claim turns out to be recorded after ctx has ended, it is released in the
// background, because the request has not run.
func (reg *Registry) Take(ctx context.Context, account id.Account, request id.Request) (*Token, error) {
	key := table.ClaimKey(account, request)
	claim := table.Claim{Account: account, Request: request, Host: reg.host, Incarnation: reg.incarnation, State: table.ClaimTaken}
	op := reg.nextOperation()
	e := &entry{put: table.Row{Key: key, Operation: op, Claim: &claim}, condition: table.Condition{Key: key}, done: make(chan result, 1)}
	r := reg.submit(ctx, e)
	// A released claim may be taken again, on condition that its row is still the same.
	// Only one of several hosts that try this succeeds.
	if prior := priorClaim(r.err, key); prior != nil && prior.Claim.State == table.ClaimReleased {
		e = &entry{put: e.put, condition: table.Condition{Key: key, Revision: prior.Revision}, done: make(chan result, 1)}
		r = reg.submit(ctx, e)
	}
	if r.err == nil {
		return &Token{key: key, revision: r.revision, claim: claim}, nil
	}
	if prior := priorClaim(r.err, key); prior != nil {
		return nil, &TakenError{Claim: *prior.Claim}
	}
	// With ErrRefused, e was not queued or has had its result, so nothing can follow.
	if !errors.Is(r.err, table.ErrRefused) {
		go reg.releaseUnresolved(e, claim)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnavailable, r.err)
}

func (reg *Registry) nextOperation() id.Operation {
	return id.Operation(fmt.Sprintf("claim/%s/%d/%d", reg.host, reg.incarnation, reg.sequence.Add(1)))
}

// submit queues an entry and waits for its result until ctx ends. An entry that was not
// queued by then has no effect. A queued one may still be written, and its result is left
// in done.
func (reg *Registry) submit(ctx context.Context, e *entry) result {
	select {
	case reg.entries <- e:
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

// priorClaim returns the row of the earlier claim if err is a conflict with one.
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

// releaseUnresolved waits for the result of an entry that submit has left, and releases
// the claim if it was recorded. If submit has received the result already, no other one
// follows, and releaseUnresolved ends after resolveTimeout without an effect. A claim that
// was recorded although its result is table.ErrOutcomeUnknown therefore stays taken.
func (reg *Registry) releaseUnresolved(e *entry, claim table.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	select {
	case r := <-e.done:
		if r.err == nil {
			reg.Release(&Token{key: e.put.Key, revision: r.revision, claim: claim})
		}
	case <-ctx.Done():
	}
}

// Release releases a claim whose request was not sent to any upstream.
func (reg *Registry) Release(t *Token) {
	t.claim.State = table.ClaimReleased
	reg.writeFinal(t)
}

// Record records the answer of a request, so that a repeated request gets it too.
// It returns before the answer is written.
func (reg *Registry) Record(t *Token, answer Answer) {
	t.claim.State = table.ClaimAnswered
	t.claim.Status, t.claim.ContentType, t.claim.Body = answer.Status, answer.ContentType, answer.Body
	reg.writeFinal(t)
}

// writeFinal queues the claim's final state to be written, and does not block if the
// queue is full.
func (reg *Registry) writeFinal(t *Token) {
	claim := t.claim
	e := &entry{
		put:       table.Row{Key: t.key, Operation: reg.nextOperation(), Claim: &claim},
		condition: table.Condition{Key: t.key, Revision: t.revision},
		done:      make(chan result, 1),
	}
	select {
	case reg.entries <- e:
	default:
		go func() { reg.entries <- e }()
	}
}

// Run writes entries until ctx ends; it then writes those that are in the queue and
// returns. Entries that are queued later are never written.
func (reg *Registry) Run(ctx context.Context) {
	var writers errgroup.Group
	writers.SetLimit(maxConcurrentWrites)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case first := <-reg.entries:
			reg.startWrite(&writers, first)
		}
	}
	reg.writeQueued(&writers)
	_ = writers.Wait()
}

// maxConcurrentWrites bounds the transactions of one host that are in progress.
const maxConcurrentWrites = 4

func (reg *Registry) startWrite(writers *errgroup.Group, first *entry) {
	batch := reg.collectBatch(first)
	writers.Go(func() error {
		reg.write(batch)
		return nil
	})
}

func (reg *Registry) writeQueued(writers *errgroup.Group) {
	for {
		select {
		case first := <-reg.entries:
			reg.startWrite(writers, first)
		default:
			return
		}
	}
}

// collectBatch takes queued entries, up to maxBatchRows. The batch ends before a second
// entry for the same row, which goes back to the end of the queue: its condition may be
// about the row as the first entry leaves it.
func (reg *Registry) collectBatch(first *entry) []*entry {
	batch := []*entry{first}
	seen := map[table.Key]bool{first.put.Key: true}
	for len(batch) < maxBatchRows {
		select {
		case e := <-reg.entries:
			if seen[e.put.Key] {
				go func() { reg.entries <- e }()
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

// writeTimeout bounds one transaction, including finding out its outcome.
const writeTimeout = 5 * time.Second

// write sends each entry of the batch its result. The entries that remain after a
// conflict are written again. There are fewer each time, so this ends.
func (reg *Registry) write(batch []*entry) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for len(batch) > 0 {
		batch = reg.writeOnce(ctx, batch)
	}
}

// writeOnce commits the batch as one transaction. Without a conflict, all entries get the
// same result. If some entries conflict, nothing was written: these get the conflict as
// their result, and writeOnce returns the others, which have no result yet.
func (reg *Registry) writeOnce(ctx context.Context, batch []*entry) []*entry {
	txn := table.Txn{Operation: reg.nextOperation()}
	for _, e := range batch {
		e.put.Operation = txn.Operation
		txn.Conditions = append(txn.Conditions, e.condition)
		txn.Puts = append(txn.Puts, e.put)
	}
	revision, err := commit.Write(ctx, reg.clock, reg.service, txn)
	if !errors.Is(err, table.ErrConflict) {
		for _, e := range batch {
			e.done <- result{revision, err}
		}
		return nil
	}
	return reg.reportConflicts(batch, err)
}

// reportConflicts sends the conflict to the entries whose condition does not hold, and
// returns the others. If it finds none, it sends the conflict to all entries, because
// the same batch would conflict again.
func (reg *Registry) reportConflicts(batch []*entry, err error) []*entry {
	var rest []*entry
	for _, e := range batch {
		row := currentRow(err, e.put.Key)
		// Revision 0 is the condition that the row is absent.
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

// currentRow returns the row with the key that the conflict err carries, or nil.
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
