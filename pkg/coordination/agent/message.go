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

// Message is what hosts tell each other. Exactly one of the pointers is set.
type Message struct {
	Heartbeat *Heartbeat
	Relay     *Relay
	Fetch     *Fetch
	Borrow    *Borrow
	Loan      *Loan
	Repay     *Repay
	Marks     *Marks
	// MarksConfirmed confirms withdrawals.
	MarksConfirmed *Marks
}

// Heartbeat tells that a host is alive and what it knows.
//
// Instants are the sender's own, or, in Echo, the receiver's own returned to
// it. From Echo and EchoDelay the receiver derives an instant of its own clock
// at or after which the message was sent, however long it was on its way.
type Heartbeat struct {
	Incarnation   id.Incarnation
	Region        id.Region
	FailureDomain id.FailureDomain
	Leaving       bool

	Sent      clock.Instant
	Echo      clock.Instant
	EchoDelay time.Duration

	// ReadAge is the age of the knowledge of the table up to Complete.
	ReadAge  Age
	Complete table.Revision
	// TableReadAge is the age of the latest word that some host read the table.
	TableReadAge Age
	// TableRefusedAge is the age of the latest explicit refusal by the table.
	TableRefusedAge Age

	Config table.Revision
	// Marks are the withdrawals that Complete does not cover.
	Marks    Marks
	Budgets  []BudgetReport
	Outcomes []Outcome
}

// Age is a duration since something happened; the zero Age means "never".
type Age struct {
	Known bool
	Since time.Duration
}

// BudgetReport is a host's standing in one account's budget.
type BudgetReport struct {
	Account id.Account
	// Demand is what callers ask for, in tokens per second.
	Demand unit.Tokens
	// Lendable is what the host could lend at once.
	Lendable unit.Tokens
	// AppliedRevision is the revision of the budget row that the host keeps to.
	AppliedRevision table.Revision
}

// Relay passes on changes of the table.
type Relay struct{ Changes table.Changes }

// Fetch asks for the changes after a revision.
type Fetch struct{ After table.Revision }

// Borrow asks for tokens of an account's budget.
type Borrow struct {
	Loan    id.Loan
	Account id.Account
	Amount  unit.Tokens
}

// Loan answers a Borrow. Amount may be zero. The borrower may spend it for the
// duration of a loan, counted from when it sent the Borrow.
type Loan struct {
	Loan    id.Loan
	Account id.Account
	Amount  unit.Tokens
}

// Repay tells a lender that a loan has ended, and what of it was not spent.
type Repay struct {
	Loan    id.Loan
	Account id.Account
	Unspent unit.Tokens
}

// Marks passes on withdrawals, or confirms that they are in force at the sender.
type Marks struct {
	Keys     []key.Hash
	Releases []release.ID
}

// Outgoing is a message to be sent to one host. It may be lost, doubled or late.
type Outgoing struct {
	To      id.Host
	Message Message
}

// CallID matches the answer of the table to its call.
type CallID uint64

// Call is a request to the platform's table. Exactly one of the pointers is set.
type Call struct {
	ID   CallID
	Txn  *table.Txn
	Read *ReadChanges
}

// ReadChanges asks for the changes after a revision.
type ReadChanges struct{ After table.Revision }

// Answer is what came of a Call. Err matches table.ErrConflict, in which case
// Rows holds the current rows that the conditions named, or
// table.ErrUnavailable, after which the call may or may not have taken effect.
type Answer struct {
	ID       CallID
	Err      error
	Refused  bool
	Revision table.Revision
	Rows     []table.Row
	Changes  table.Changes
}

// Output is what the agent wants done.
type Output struct {
	Messages []Outgoing
	Calls    []Call
}
