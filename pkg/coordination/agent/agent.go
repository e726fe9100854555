// Package agent makes the decisions of one host about the fleet: who is alive,
// which rows are in force, who does the control work, how budgets move.
//
// An Agent does no input or output and reads no clock. Its owner feeds it the
// passing of time, messages from other hosts and answers of the platform's
// table, and carries out the Output it returns. Any Send may be lost, doubled
// or late, and any Call may fail after it took effect.
package agent

import (
	"fmt"
	"time"

	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/coordination/contact"
	"celerypin.example/celerypin/pkg/coordination/lookup"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/coordination/replica"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/rcu"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Identity is what a process learns about itself from its settings.
type Identity struct {
	Host          id.Host
	Incarnation   id.Incarnation
	Region        id.Region
	FailureDomain id.FailureDomain
	CallerAddress string
	HostAddress   string
}

// Timing holds the intervals and limits of the agent.
type Timing struct {
	// Heartbeat is the interval between two heartbeats to each host.
	Heartbeat time.Duration
	// Poll is the interval between two reads of the table by a reader.
	Poll time.Duration
	// Renew is the interval between two renewals of the host's lease.
	Renew time.Duration
	// Lease is how long a renewal is valid, from when it was sent.
	Lease time.Duration
	// Control is the interval between two rounds of control work.
	Control time.Duration
	// Loan is how long a loan may be spent, from when it was asked for.
	Loan time.Duration
	// CallTimeout is the time after which a call is given up.
	CallTimeout time.Duration
	Contact     contact.Limits
}

// DefaultTiming suits fleets whose regions are up to 100 ms apart.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 200 * time.Millisecond, Poll: 250 * time.Millisecond,
		Renew: 1500 * time.Millisecond, Lease: 6 * time.Second,
		Control: 500 * time.Millisecond, Loan: time.Second, CallTimeout: time.Second,
		Contact: contact.Limits{Contact: time.Second, Freshness: 3 * time.Second, Outage: 4 * time.Second},
	}
}

// margin covers the difference between the rates of two hosts' clocks.
const margin = 500 * time.Millisecond

// takeover is how long an incarnation must be seen to do nothing, by a host
// that reads the table and is in contact with a majority all the while, before
// its shares can be given to others.
func (t Timing) takeover() time.Duration {
	return max(t.Lease, 3*t.Contact.Contact) + t.Loan + 2*margin
}

// View is what the path of a request reads. Each cell is replaced whole.
type View struct {
	Config *rcu.Cell[config.Compiled]
	Ring   *rcu.Cell[key.Ring]
	Lookup *rcu.Cell[lookup.Table]
	Pool   *budget.Pool[id.Account, unit.Tokens]
	// Splits and Recorder serve the changes of release.
	Splits   *release.Splits
	Recorder *release.Recorder
	// KeyedLease is valid while keyed requests may be served.
	KeyedLease *budget.Lease
}

// Agent is the coordination state of one host. It is not safe for concurrent
// use: its owner serializes all calls. Requests do not use the Agent; they use
// its View, which the Agent updates.
//
// A host goes through these states: without rows (it serves nothing keyed),
// with rows but without a lease (it spends nothing), with a lease (it spends its
// shares and loans), leaving (look-ups no longer name it), released (it spends
// no more, and its shares are free for others). An agent whose slot was taken
// by a higher incarnation is replaced, and stays so.
type Agent struct {
	self     Identity
	timing   Timing
	tracker  *contact.Tracker
	replica  *replica.Replica
	view     View
	shares   *budget.Lease
	policies PolicyFor
	record   func(kind timeline.Kind, subject, reason string)

	peers    map[id.Host]*peerState
	handlers map[CallID]func(clock.Instant, Answer)
	nextCall CallID
	nextOp   uint64
	out      Output

	lease    leaseState
	control  controlState
	borrow   borrowState
	marks    markState
	releases releaseState
	shifts   shiftState
	demand   map[id.Account]*demandMeter
	applied  map[id.Account]table.Revision

	lastTick      clock.Instant
	nextHeartbeat clock.Instant
	reading       bool
	nextRead      clock.Instant
	nextLevels    clock.Instant
	levelReports  int
	sentLevels    map[id.Account]BudgetReport
	nextPublish   clock.Instant
	publishDue    bool
	fetchAfter    clock.Instant
	notes         notes
}

// peerState is what another host last said.
type peerState struct {
	incarnation   id.Incarnation
	region        id.Region
	failureDomain id.FailureDomain
	leaving       bool
	theirSent     clock.Instant
	receivedAt    clock.Instant
	complete      table.Revision
	config        table.Revision
	levels        map[id.Account]BudgetReport
}

// PolicyFor returns the policy that divides the budget of an account.
type PolicyFor func(id.Account) budget.Policy[unit.Tokens]

// Bounds of the division of small budgets.
const (
	// grain is the least burst that a host's share should have.
	grain = 4 * unit.Token
	// fewestHolders and fewHolders bound the number of hosts that share a budget
	// which is too small for all.
	fewestHolders = 2
	fewHolders    = 4
)

// DemandPolicy divides by demand, and divides small budgets among few hosts.
func DemandPolicy(a id.Account) budget.Policy[unit.Tokens] {
	return budget.ByDemand[unit.Tokens]{Seed: string(a), MinBurst: grain, MinHosts: fewestHolders, MaxHosts: fewHolders}
}

// New returns the agent of one host. Record is called for each event of the
// host's time line.
func New(self Identity, timing Timing, policies PolicyFor, record func(timeline.Kind, string, string)) *Agent {
	shares := &budget.Lease{}
	splits := release.NewSplits()
	return &Agent{
		self: self, timing: timing,
		tracker: contact.New(self.Host, timing.Contact),
		replica: replica.New(),
		shares:  shares,
		view: View{
			Config:     rcu.New(config.Compiled{}),
			Ring:       rcu.New(key.Ring{}),
			Lookup:     rcu.New(lookup.Table{}),
			Pool:       budget.New[id.Account, unit.Tokens](shares),
			KeyedLease: &budget.Lease{},
			Splits:     splits, Recorder: release.NewRecorder(splits),
		},
		policies:   policies,
		record:     record,
		peers:      map[id.Host]*peerState{},
		handlers:   map[CallID]func(clock.Instant, Answer){},
		borrow:     newBorrowState(self.Incarnation),
		marks:      newMarkState(),
		releases:   newReleaseState(),
		shifts:     newShiftState(),
		control:    newControlState(),
		demand:     map[id.Account]*demandMeter{},
		applied:    map[id.Account]table.Revision{},
		sentLevels: map[id.Account]BudgetReport{},
	}
}

// View returns what the path of a request reads.
func (a *Agent) View() View { return a.view }

// Self returns the identity; the incarnation grows when the host registers anew.
func (a *Agent) Self() Identity { return a.self }

// Tick lets the agent act on the passing of time.
func (a *Agent) Tick(now clock.Instant) Output {
	a.noticePause(now)
	a.measureDemand(now)
	a.readTable(now)
	a.renewLease(now)
	a.controlWork(now)
	a.sendHeartbeats(now)
	a.repayLoans(now)
	a.borrowAhead(now)
	a.judgeReleases(now)
	a.spreadMarks(now)
	a.publish(now)
	a.lastTick = now
	return a.take()
}

// Receive lets the agent act on a message of another host.
func (a *Agent) Receive(now clock.Instant, from id.Host, m Message) Output {
	switch {
	case from == a.self.Host:
	case m.Heartbeat != nil:
		a.receiveHeartbeat(now, from, m.Heartbeat)
	case m.Relay != nil:
		a.applyChanges(now, m.Relay.Changes)
	case m.Fetch != nil:
		a.send(from, Message{Relay: &Relay{Changes: a.replica.Since(m.Fetch.After)}})
	case m.Borrow != nil:
		a.lend(now, from, m.Borrow)
	case m.Loan != nil:
		a.receiveLoan(now, from, m.Loan)
	case m.Repay != nil:
		a.receiveRepay(now, from, m.Repay)
	case m.Marks != nil:
		a.receiveMarks(from, m.Marks)
	case m.MarksConfirmed != nil:
		a.receiveMarksHeld(from, m.MarksConfirmed)
	}
	return a.take()
}

// HandleAnswer lets the agent act on an answer of the table.
func (a *Agent) HandleAnswer(now clock.Instant, answer Answer) Output {
	handler := a.handlers[answer.ID]
	delete(a.handlers, answer.ID)
	if answer.Refused {
		a.tracker.TableUnavailable(now)
	}
	if handler != nil {
		handler(now, answer)
	}
	return a.take()
}

// ConnectionRefused tells the agent that a host's address refused a connection.
func (a *Agent) ConnectionRefused(now clock.Instant, h id.Host) { a.tracker.ConnectionRefused(h, now) }

// AttestEnded tells the agent an operator's word that an incarnation has ended.
func (a *Agent) AttestEnded(h id.Host, inc id.Incarnation) { a.tracker.Attest(h, inc) }

func (a *Agent) take() Output {
	out := a.out
	a.out = Output{}
	return out
}

func (a *Agent) send(to id.Host, m Message) {
	a.out.Messages = append(a.out.Messages, Outgoing{To: to, Message: m})
}

func (a *Agent) call(c Call, handler func(clock.Instant, Answer)) {
	a.nextCall++
	c.ID = a.nextCall
	a.handlers[c.ID] = handler
	a.out.Calls = append(a.out.Calls, c)
}

func (a *Agent) operation(kind string) id.Operation {
	a.nextOp++
	return id.Operation(fmt.Sprintf("%s/%s/%d/%d", kind, a.self.Host, a.self.Incarnation, a.nextOp))
}

// pauseLimit is the gap between two ticks from which the process counts as paused.
const pauseLimit = time.Second

// noticePause forgets all observations that a pause makes worthless.
func (a *Agent) noticePause(now clock.Instant) {
	if a.lastTick != 0 && now.Sub(a.lastTick) > pauseLimit {
		a.control.forget(now)
	}
}

// ApplyCommitted takes over a row that the host itself has just committed or read.
func (a *Agent) ApplyCommitted(now clock.Instant, row table.Row) Output {
	if a.replica.Put(row) {
		a.applyRow(now, row)
	}
	return a.take()
}
