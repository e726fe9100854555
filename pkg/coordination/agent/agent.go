// Package agent makes the fleet-wide decisions of one host: which hosts are alive,
// which table rows are in force, which host holds the control lease, and how
// budgets are divided.
//
// An Agent does no input or output and reads no clock. Its owner passes in the
// current time, messages from other hosts and answers of the platform's table,
// and executes the Output that the agent returns. Any Outgoing message may be
// lost, duplicated or delayed, and any Call may fail after it took effect.
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

// Identity describes a process, as given by its settings.
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
	// HeartbeatInterval is the interval between two heartbeats to each host.
	HeartbeatInterval time.Duration
	// PollInterval is the interval between two reads of the table by a reader.
	PollInterval time.Duration
	// RenewInterval is the interval between two renewals of the host's lease.
	RenewInterval time.Duration
	// LeaseDuration is how long a renewal is valid, counted from when it was sent.
	LeaseDuration time.Duration
	// ControlInterval is the interval between two rounds of control work.
	ControlInterval time.Duration
	// LoanDuration is how long a loan may be spent, counted from when it was requested.
	LoanDuration time.Duration
	// CallTimeout is the longest time to wait for the answer to a call. A loan request
	// that is not answered within half of it is abandoned.
	CallTimeout time.Duration
	// ContactLimits are the ages up to which contacts and reads count as current.
	ContactLimits contact.Limits
}

// DefaultTiming returns the timing for fleets whose regions are up to 100 ms apart.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 200 * time.Millisecond, PollInterval: 250 * time.Millisecond,
		RenewInterval: 1500 * time.Millisecond, LeaseDuration: 6 * time.Second,
		ControlInterval: 500 * time.Millisecond, LoanDuration: time.Second, CallTimeout: time.Second,
		ContactLimits: contact.Limits{Contact: time.Second, Freshness: 3 * time.Second, Outage: 4 * time.Second},
	}
}

// clockMargin covers the difference between the rates of two hosts' clocks.
const clockMargin = 500 * time.Millisecond

// takeoverDelay returns how long an incarnation must stay inactive before its
// shares can be given to others. The host that observes it must read the table and
// be in contact with a majority for all of that time.
func (t Timing) takeoverDelay() time.Duration {
	return max(t.LeaseDuration, 3*t.ContactLimits.Contact) + t.LoanDuration + 2*clockMargin
}

// View holds the state that the path of a request reads. The value of each
// rcu.Cell is replaced as a whole.
type View struct {
	Config *rcu.Cell[config.Compiled]
	Ring   *rcu.Cell[key.Ring]
	Lookup *rcu.Cell[lookup.Table]
	// Pool holds this host's share of each account's budget.
	Pool *budget.Pool[id.Account, unit.Tokens]
	// Splits and Recorder serve the rollout of releases: Splits chooses the release of
	// a request, and Recorder counts the outcomes.
	Splits   *release.Splits
	Recorder *release.Recorder
	// KeyedLease is valid while the host may serve requests that need a key.
	KeyedLease *budget.Lease
}

// Agent is the coordination state of one host. It is not safe for concurrent
// use: its owner serializes all calls. Requests do not use the Agent; they use
// its View, which the Agent updates.
//
// A host goes through these states:
//   - without rows: it serves no requests that need a key;
//   - with rows, without a lease: it spends no tokens;
//   - with a lease: it spends its shares and loans;
//   - leaving: look-ups no longer name it;
//   - ended: it spends no tokens, and its shares are free for others.
//
// An agent whose slot was taken by a higher incarnation is replaced. That state is
// final.
type Agent struct {
	self    Identity
	timing  Timing
	tracker *contact.Tracker
	replica *replica.Replica
	view    View
	// sharesLease is valid while the host may spend its shares and loans.
	sharesLease *budget.Lease
	policyFor   PolicyFor
	record      func(kind timeline.Kind, subject, reason string)

	peers    map[id.Host]*peerState
	handlers map[CallID]func(clock.Instant, Answer)
	nextCall CallID
	nextOp   uint64
	out      Output

	lease            leaseState
	control          controlState
	borrow           borrowState
	marks            markState
	releases         releaseState
	shifts           shiftState
	demandMeters     map[id.Account]*demandMeter
	appliedRevisions map[id.Account]table.Revision

	lastTick           clock.Instant
	nextHeartbeat      clock.Instant
	readInFlight       bool
	nextRead           clock.Instant
	nextBudgetReports  clock.Instant
	budgetReportRounds int
	sentBudgetReports  map[id.Account]BudgetReport
	nextPublish        clock.Instant
	publishDue         bool
	nextFetch          clock.Instant
	recorded           recordedState
}

// peerState holds what another host last reported.
type peerState struct {
	incarnation      id.Incarnation
	region           id.Region
	failureDomain    id.FailureDomain
	leaving          bool
	lastSent         clock.Instant // by the peer's clock
	lastReceived     clock.Instant // by this host's clock
	completeRevision table.Revision
	configRevision   table.Revision
	budgetReports    map[id.Account]BudgetReport
}

// PolicyFor returns the policy that divides the budget of an account.
type PolicyFor func(id.Account) budget.Policy[unit.Tokens]

// Bounds for dividing small budgets.
const (
	// minShareBurst is the smallest burst that a host's share should have.
	minShareBurst = 4 * unit.Token
	// minSmallBudgetHolders and maxSmallBudgetHolders bound the number of hosts that
	// share a budget which is too small for all hosts.
	minSmallBudgetHolders = 2
	maxSmallBudgetHolders = 4
)

// DemandPolicy returns a policy that divides a budget by demand, and a small budget
// among a few hosts only.
func DemandPolicy(a id.Account) budget.Policy[unit.Tokens] {
	return budget.ByDemand[unit.Tokens]{Seed: string(a), MinBurst: minShareBurst, MinHosts: minSmallBudgetHolders, MaxHosts: maxSmallBudgetHolders}
}

// New returns the agent of one host. The agent calls record for each event of the
// host's time line.
func New(self Identity, timing Timing, policyFor PolicyFor, record func(timeline.Kind, string, string)) *Agent {
	sharesLease := &budget.Lease{}
	splits := release.NewSplits()
	return &Agent{
		self: self, timing: timing,
		tracker:     contact.New(self.Host, timing.ContactLimits),
		replica:     replica.New(),
		sharesLease: sharesLease,
		view: View{
			Config:     rcu.New(config.Compiled{}),
			Ring:       rcu.New(key.Ring{}),
			Lookup:     rcu.New(lookup.Table{}),
			Pool:       budget.New[id.Account, unit.Tokens](sharesLease),
			KeyedLease: &budget.Lease{},
			Splits:     splits, Recorder: release.NewRecorder(splits),
		},
		policyFor:         policyFor,
		record:            record,
		peers:             map[id.Host]*peerState{},
		handlers:          map[CallID]func(clock.Instant, Answer){},
		borrow:            newBorrowState(self.Incarnation),
		marks:             newMarkState(),
		releases:          newReleaseState(),
		shifts:            newShiftState(),
		control:           newControlState(),
		demandMeters:      map[id.Account]*demandMeter{},
		appliedRevisions:  map[id.Account]table.Revision{},
		sentBudgetReports: map[id.Account]BudgetReport{},
	}
}

// View returns the state that the path of a request reads.
func (a *Agent) View() View { return a.view }

// Self returns the identity of the host. Its incarnation grows when the host
// registers again.
func (a *Agent) Self() Identity { return a.self }

// Tick runs the periodic work that is due at now.
func (a *Agent) Tick(now clock.Instant) Output {
	a.detectPause(now)
	a.measureDemand(now)
	a.readTable(now)
	a.renewLease(now)
	a.controlWork(now)
	a.sendHeartbeats(now)
	a.repayLoans(now)
	a.borrowAhead(now)
	a.evaluateReleases(now)
	a.spreadMarks(now)
	a.publish(now)
	a.lastTick = now
	return a.takeOutput()
}

// Receive handles a message from another host.
func (a *Agent) Receive(now clock.Instant, from id.Host, m Message) Output {
	switch {
	case from == a.self.Host:
	case m.Heartbeat != nil:
		a.receiveHeartbeat(now, from, m.Heartbeat)
	case m.Relay != nil:
		a.applyChanges(now, m.Relay.Changes)
	case m.Fetch != nil:
		a.send(from, Message{Relay: &Relay{Changes: a.replica.ChangesSince(m.Fetch.After)}})
	case m.Borrow != nil:
		a.lend(now, from, m.Borrow)
	case m.Loan != nil:
		a.receiveLoan(now, from, m.Loan)
	case m.Repay != nil:
		a.receiveRepay(now, from, m.Repay)
	case m.Marks != nil:
		a.receiveMarks(from, m.Marks)
	case m.MarksConfirmed != nil:
		a.receiveMarksConfirmed(from, m.MarksConfirmed)
	}
	return a.takeOutput()
}

// HandleAnswer handles the table's answer to a call.
func (a *Agent) HandleAnswer(now clock.Instant, answer Answer) Output {
	handler := a.handlers[answer.ID]
	delete(a.handlers, answer.ID)
	if answer.Refused {
		a.tracker.RecordTableUnavailable(now)
	}
	if handler != nil {
		handler(now, answer)
	}
	return a.takeOutput()
}

// ConnectionRefused records that a host's address refused a connection.
func (a *Agent) ConnectionRefused(now clock.Instant, h id.Host) {
	a.tracker.RecordRefusedConnection(h, now)
}

// AttestEnded records an operator's statement that an incarnation has ended.
func (a *Agent) AttestEnded(h id.Host, inc id.Incarnation) { a.tracker.Attest(h, inc) }

func (a *Agent) takeOutput() Output {
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

func (a *Agent) newOperation(kind string) id.Operation {
	a.nextOp++
	return id.Operation(fmt.Sprintf("%s/%s/%d/%d", kind, a.self.Host, a.self.Incarnation, a.nextOp))
}

// pauseThreshold is the time between two ticks above which the process counts as paused.
const pauseThreshold = time.Second

// detectPause discards the observations that a pause of the process makes invalid.
func (a *Agent) detectPause(now clock.Instant) {
	if a.lastTick != 0 && now.Sub(a.lastTick) > pauseThreshold {
		a.control.resetObservations(now)
	}
}

// ApplyCommitted applies a row that the host itself has just committed or read.
func (a *Agent) ApplyCommitted(now clock.Instant, row table.Row) Output {
	if a.replica.Put(row) {
		a.applyRow(now, row)
	}
	return a.takeOutput()
}
