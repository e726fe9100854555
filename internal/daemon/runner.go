package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/confine"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
)

// tickInterval is the interval between ticks of the agent.
const tickInterval = 50 * time.Millisecond

// sender sends messages to other hosts.
type sender interface {
	Send(to id.Host, m agent.Message)
	SetAddress(h id.Host, address string)
}

// runner passes inputs to an agent and executes its outputs. It serializes all calls
// of the agent. Requests use the agent's view instead of the runner, except when they
// wait for a loan.
type runner struct {
	mu    sync.Mutex
	agent *agent.Agent

	clock   clock.Clock
	service table.Service
	timeout time.Duration
	log     *logging.Log
	guard   *confine.Guard
	tomb    tomb.Tomb
	mesh    sender
	calls   sync.WaitGroup
}

func newRunner(a *agent.Agent, c clock.Clock, service table.Service, timeout time.Duration, log *logging.Log, g *confine.Guard) *runner {
	return &runner{agent: a, clock: c, service: service, timeout: timeout, log: log, guard: g}
}

// start starts the ticks. The mesh must be able to send messages by then.
func (r *runner) start(mesh sender) {
	r.mesh = mesh
	r.tomb.Go(r.loop)
}

// stop ends the ticks and waits for the pending calls.
func (r *runner) stop() {
	r.tomb.Kill(nil)
	_ = r.tomb.Wait()
	r.calls.Wait()
}

func (r *runner) loop() error {
	ctx := r.tomb.Context(context.Background())
	for r.clock.Sleep(ctx, tickInterval) {
		r.update(func(now clock.Instant) agent.Output { return r.agent.Tick(now) })
		r.updateAddresses()
	}
	return nil
}

// Tasks to which panics are confined.
const (
	taskStep confine.Task = "agent step"
	taskCall confine.Task = "table call"
)

// update calls step with the agent locked, and executes the output that step returns. A
// step that panics has no output; what the agent holds is read anew from the table's rows
// with the next answer.
func (r *runner) update(step func(clock.Instant) agent.Output) {
	var out agent.Output
	r.guard.Run(taskStep, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		out = step(r.clock.Now())
	})
	for _, s := range out.Messages {
		r.mesh.Send(s.To, s.Message)
	}
	for _, c := range out.Calls {
		r.calls.Add(1)
		r.guard.Go(taskCall, func() { r.call(c) })
	}
}

// call executes one call to the table and passes the answer to the agent.
func (r *runner) call(c agent.Call) {
	defer r.calls.Done()
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	answer := agent.Answer{ID: c.ID}
	switch {
	case c.Txn != nil:
		answer.Revision, answer.Err = r.service.Commit(ctx, *c.Txn)
	case c.Read != nil:
		answer.Changes, answer.Err = r.service.Changes(ctx, c.Read.After)
	}
	var conflict *table.ConflictError
	if errors.As(answer.Err, &conflict) {
		answer.Rows = conflict.Rows
	}
	answer.Refused = errors.Is(answer.Err, table.ErrRefused)
	r.update(func(now clock.Instant) agent.Output { return r.agent.HandleAnswer(now, answer) })
}

// updateAddresses passes the address of each host that has a row and has not ended to
// the mesh.
func (r *runner) updateAddresses() {
	r.mu.Lock()
	rows := r.agent.Rows(table.HostPrefix)
	r.mu.Unlock()
	for _, row := range rows {
		if row.Host.State != table.HostEnded {
			r.mesh.SetAddress(row.Host.ID, row.Host.HostAddress)
		}
	}
}

// Received passes a message from another host to the agent. It implements host.Events.
func (r *runner) Received(from id.Host, m agent.Message) {
	r.update(func(now clock.Instant) agent.Output { return r.agent.Receive(now, from, m) })
}

// ConnectionRefused reports to the agent that a host's address refused a connection.
// It implements host.Events.
func (r *runner) ConnectionRefused(h id.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agent.ConnectionRefused(r.clock.Now(), h)
}

// Borrow waits until a loan for the account is decided or ctx ends, and reports whether
// the request should try again. It implements caller.Borrower.
func (r *runner) Borrow(ctx context.Context, account id.Account) bool {
	var decided <-chan struct{}
	r.update(func(now clock.Instant) agent.Output {
		ch, out := r.agent.AwaitLoan(now, account)
		decided = ch
		return out
	})
	if decided == nil {
		return false
	}
	defer r.endLoanWait(account)
	select {
	case <-decided:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) endLoanWait(account id.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agent.EndLoanWait(account)
}

// inspect calls f with the agent locked.
func (r *runner) inspect(f func(a *agent.Agent, now clock.Instant)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.agent, r.clock.Now())
}

// applyCommitted passes a row that was just committed for an operator to the agent.
func (r *runner) applyCommitted(row table.Row) {
	r.update(func(now clock.Instant) agent.Output { return r.agent.ApplyCommitted(now, row) })
}

// withdraw puts the withdrawal of a key in force.
func (r *runner) withdraw(h key.Hash) {
	r.update(func(now clock.Instant) agent.Output { return r.agent.Withdraw(now, h) })
}
