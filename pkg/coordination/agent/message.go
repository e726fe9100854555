package agent

import (
	"time"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Message is a message between hosts. Exactly one of the pointers is set.
type Message struct {
	Heartbeat *Heartbeat
	Relay     *Relay
	Fetch     *Fetch
	Borrow    *Borrow
	Loan      *Loan
	Repay     *Repay
	Marks     *Marks
	// MarksConfirmed confirms that received withdrawals are in force at the sender.
	MarksConfirmed *Marks
}

// Heartbeat reports that a host is alive, and its local state. The ages are as of Sent.
// updateContact states how the receiver converts them to instants of its own clock.
type Heartbeat struct {
	Incarnation   id.Incarnation
	Region        id.Region
	FailureDomain id.FailureDomain
	Leaving       bool

	// Sent is when the heartbeat was sent, by the sender's clock.
	Sent clock.Instant
	// Echo is the Sent of the last heartbeat that the sender accepted from the receiver,
	// by the receiver's clock; 0 if there was none.
	Echo clock.Instant
	// EchoDelay is the time from the receipt of that heartbeat to Sent.
	EchoDelay time.Duration

	// ReadAge is the age of the sender's copy of the table: the time since the latest
	// read of the table, by any host, whose result the copy includes.
	ReadAge Age
	// CompleteRevision is the revision up to which the sender's copy has all rows.
	CompleteRevision table.Revision
	// TableReadAge is the age of the latest read of the table by any host that the
	// sender has learned of.
	TableReadAge Age
	// TableRefusedAge is the age of the table's latest answer to the sender that it is
	// unavailable.
	TableRefusedAge Age

	// ConfigRevision is the revision of the configuration in force.
	ConfigRevision table.Revision
	// Marks are the withdrawals that the rows up to CompleteRevision do not contain.
	Marks         Marks
	Budgets       []BudgetReport
	ReleaseCounts []ReleaseCounts
}

// Age is the time since an event. The zero Age means that the sender knows of no such
// event.
type Age struct {
	Known   bool
	Elapsed time.Duration
}

// BudgetReport holds what a host reports about one account's budget.
type BudgetReport struct {
	Account id.Account
	// Demand is the demand of the clients, in tokens per second.
	Demand unit.Tokens
	// Lendable is the number of tokens that the host could lend at once: those of its
	// own share, without loans.
	Lendable unit.Tokens
	// AppliedRevision is the revision of the budget row that the host adheres to. It is
	// 0 while loans to others exceed the burst of the host's share.
	AppliedRevision table.Revision
}

// Relay forwards changes of the table.
type Relay struct{ Changes table.Changes }

// Fetch requests the changes after a revision.
type Fetch struct{ After table.Revision }

// Borrow requests a loan of tokens of an account's budget.
type Borrow struct {
	Loan    id.Loan
	Account id.Account
	Amount  unit.Tokens
}

// Loan answers a Borrow. Amount may be zero. The borrower may spend it for
// Timing.LoanDuration, counted from when it sent the Borrow.
type Loan struct {
	Loan    id.Loan
	Account id.Account
	Amount  unit.Tokens
}

// Repay reports to a lender that a loan has ended, and how much of it was not spent.
type Repay struct {
	Loan    id.Loan
	Account id.Account
	Unspent unit.Tokens
}

// Marks holds withdrawals that the sender passes on or confirms to be in force.
type Marks struct {
	Keys     []key.Hash
	Releases []release.ID
}

// Outgoing is a message to be sent to one host. It may be lost, duplicated or
// delayed.
type Outgoing struct {
	To      id.Host
	Message Message
}

// CallID identifies a call and the table's answer to it.
type CallID uint64

// Call is a request to the platform's table. Exactly one of the pointers is set.
type Call struct {
	ID   CallID
	Txn  *table.Txn
	Read *ReadChanges
}

// ReadChanges requests the changes after a revision.
type ReadChanges struct{ After table.Revision }

// Answer is the result of a Call. If Err matches table.ErrConflict, Rows holds the
// current rows that the conditions named. If Err matches table.ErrUnavailable, the
// call may or may not have taken effect.
type Answer struct {
	ID  CallID
	Err error
	// Refused is set if the table itself answered that it is unavailable.
	Refused  bool
	Revision table.Revision
	Rows     []table.Row
	Changes  table.Changes
}

// Output holds the messages and calls that the agent's owner must send.
type Output struct {
	Messages []Outgoing
	Calls    []Call
}
