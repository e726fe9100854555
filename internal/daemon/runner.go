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
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
)

// tickInterval is the interval between two ticks of the agent.
const tickInterval = 50 * time.Millisecond

// sender carries messages to other hosts.
type sender interface {
	Send(to id.Host, m agent.Message)
	SetAddress(h id.Host, address string)
}

// runner gives an agent its inputs and carries out its outputs. It serializes
// the agent; requests use the agent's view and do not pass through here,
// unless they wait for a loan.
type runner struct {
	mu    sync.Mutex
	agent *agent.Agent

	clock   clock.Clock
	service table.Service
	timeout time.Duration
	log     *logging.Log
	tomb    tomb.Tomb
	mesh    sender
	calls   sync.WaitGroup
}

func newRunner(a *agent.Agent, c clock.Clock, service table.Service, timeout time.Duration, log *logging.Log) *runner {
	return &runner{agent: a, clock: c, service: service, timeout: timeout, log: log}
}

// start begins to tick. The mesh must be able to carry messages by then.
func (r *runner) start(mesh sender) {
	r.mesh = mesh
	r.tomb.Go(r.loop)
}

// stop ends the ticks and waits for the calls under way.
func (r *runner) stop() {
	r.tomb.Kill(nil)
	_ = r.tomb.Wait()
	r.calls.Wait()
}

func (r *runner) loop() error {
	ctx := r.tomb.Context(context.Background())
	for r.clock.Sleep(ctx, tickInterval) {
		r.do(func(now clock.Instant) agent.Output { return r.agent.Tick(now) })
		r.updateAddresses()
	}
	return nil
}

// do lets the agent act and carries out what it wants done.
func (r *runner) do(act func(clock.Instant) agent.Output) {
	r.mu.Lock()
	out := act(r.clock.Now())
	r.mu.Unlock()
	for _, s := range out.Messages {
		r.mesh.Send(s.To, s.Message)
	}
	for _, c := range out.Calls {
		r.calls.Add(1)
		go r.call(c)
	}
}

// call carries out one call and gives the agent the answer.
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
	r.do(func(now clock.Instant) agent.Output { return r.agent.HandleAnswer(now, answer) })
}

// updateAddresses tells the mesh where the hosts listen that have a row.
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

// Received implements the events of the mesh.
func (r *runner) Received(from id.Host, m agent.Message) {
	r.do(func(now clock.Instant) agent.Output { return r.agent.Receive(now, from, m) })
}

// ConnectionRefused implements the events of the mesh.
func (r *runner) ConnectionRefused(h id.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agent.ConnectionRefused(r.clock.Now(), h)
}

// Borrow implements the borrowing of budget for a request.
func (r *runner) Borrow(ctx context.Context, account id.Account) bool {
	var decided <-chan struct{}
	r.do(func(now clock.Instant) agent.Output {
		ch, out := r.agent.AwaitLoan(now, account)
		decided = ch
		return out
	})
	if decided == nil {
		return false
	}
	defer r.resume(account)
	select {
	case <-decided:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) resume(account id.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agent.EndLoanWait(account)
}

// read lets a function look at the agent.
func (r *runner) read(look func(a *agent.Agent, now clock.Instant)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	look(r.agent, r.clock.Now())
}

// committed gives the agent a row that was just committed for an operator.
func (r *runner) committed(row table.Row) {
	r.do(func(now clock.Instant) agent.Output { return r.agent.ApplyCommitted(now, row) })
}

// withdraw puts the withdrawal of a key in force.
func (r *runner) withdraw(h key.Hash) {
	r.do(func(now clock.Instant) agent.Output { return r.agent.Withdraw(now, h) })
}
