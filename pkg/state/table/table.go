// Package table holds the typed rows that the fleet keeps in the platform's
// table service. A row's revision is given by the table and only ever grows.
package table

import (
	"errors"
	"fmt"
	"strings"

	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Sentinel errors of the table service.
var (
	// ErrConflict means that a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrUnavailable means that the service gave no answer or refused; a write may have taken effect.
	ErrUnavailable = errors.New("table service unavailable")
)

// Revision numbers the table's transactions; zero means "no such row".
type Revision uint64

// Key names a row; the part before the first slash is its kind.
type Key string

// Kinds of rows.
const (
	HostPrefix   Key = "host/"
	BudgetPrefix Key = "budget/"
	KeyPrefix    Key = "key/"
	// HistoryPrefix is the kind of rows that hold earlier configurations.
	HistoryPrefix Key = "history/"
	ClaimPrefix   Key = "claim/"
	// ShiftPrefix is the kind of rows that hold shifts of callers.
	ShiftPrefix Key = "shift/"
	// ReleasePrefix is the kind of rows that hold changes of release.
	ReleasePrefix Key = "release/"
	ConfigKey     Key = "config"
	ControlKey    Key = "control"
)

// HostKey returns the key of a host's row.
func HostKey(h id.Host) Key { return HostPrefix + Key(h) }

// BudgetKey returns the key of an account's budget row.
func BudgetKey(a id.Account) Key { return BudgetPrefix + Key(a) }

// GrantKey returns the key of a granted key's row.
func GrantKey(h key.Hash) Key { return KeyPrefix + Key(h.String()) }

// HistoryKey returns the key under which the configuration of a revision is
// kept. Keys sort in the order of revisions.
func HistoryKey(r Revision) Key { return HistoryPrefix + Key(fmt.Sprintf("%020d", uint64(r))) }

// ShiftKey returns the key of the shift of a region's callers.
func ShiftKey(from id.Region) Key { return ShiftPrefix + Key(from) }

// ReleaseKey returns the key of a service's release row.
func ReleaseKey(s id.Service) Key { return ReleasePrefix + Key(s) }

// ClaimKey returns the key of the claim of a non-idempotent request.
func ClaimKey(a id.Account, r id.Request) Key { return ClaimPrefix + Key(a) + "/" + Key(r) }

// Has tells whether the key is of the kind that prefix names.
func (k Key) Has(prefix Key) bool { return strings.HasPrefix(string(k), string(prefix)) }

// Row is one row of the table. Exactly one of the pointers is set, according to
// the kind that Key names; a deleted row has none.
type Row struct {
	Key       Key          `json:"key"`
	Revision  Revision     `json:"revision"`
	Operation id.Operation `json:"operation,omitempty"`

	Host    *Host          `json:"host,omitempty"`
	Control *Control       `json:"control,omitempty"`
	Budget  *Budget        `json:"budget,omitempty"`
	Config  *config.Config `json:"config,omitempty"`
	Grant   *key.Record    `json:"grant,omitempty"`
	Claim   *Claim         `json:"claim,omitempty"`
	Release *Release       `json:"release,omitempty"`
	Shift   *Shift         `json:"shift,omitempty"`
}

// HostState tells where a host is in its life.
type HostState string

// States of a host.
const (
	HostServing HostState = "serving"
	HostLeaving HostState = "leaving"
	HostEnded   HostState = "ended"
)

// Host is the lease of an entry host on its slot.
type Host struct {
	ID            id.Host          `json:"id"`
	Incarnation   id.Incarnation   `json:"incarnation"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	CallerAddress string           `json:"caller_address"`
	HostAddress   string           `json:"host_address"`
	State         HostState        `json:"state"`
	Renewals      uint64           `json:"renewals"`
}

// Control is the lease for control work. Its row's revision is the fencing
// token that every write of the holder names in its conditions.
type Control struct {
	Holder      id.Host        `json:"holder"`
	Incarnation id.Incarnation `json:"incarnation"`
	Renewals    uint64         `json:"renewals"`
	Term        uint64         `json:"term"`
}

// Share is a part of a budget: an amount per second and an amount at once.
type Share struct {
	Rate  unit.Tokens `json:"rate"`
	Burst unit.Tokens `json:"burst"`
}

// Grant is the part of a budget that one host incarnation has.
//
// Share is what the holder should use; Held is the most it may still be using.
// Held drops to Share only when the holder has confirmed the lower Share.
type Grant struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	Share       Share          `json:"share"`
	Held        Share          `json:"held"`
}

// Budget is the division of one account's limits. The sum of Held never
// exceeds Total.
type Budget struct {
	Account id.Account `json:"account"`
	Total   Share      `json:"total"`
	Grants  []Grant    `json:"grants,omitempty"`
}

// Milli is a part of a whole in thousandths.
type Milli int64

// Whole is all of something.
const Whole Milli = 1000

// ReleaseState tells how a change of release stands.
type ReleaseState string

// States of a change of release.
const (
	// ReleaseGrowing means that the new release's share grows step by step.
	ReleaseGrowing ReleaseState = "growing"
	// ReleaseDone means that the new release carries the traffic.
	ReleaseDone ReleaseState = "done"
	// ReleaseRetreated means that the old release carries the traffic again. It is final.
	ReleaseRetreated ReleaseState = "retreated"
)

// Release is the change of one service from an old release to a new one.
type Release struct {
	Service id.Service   `json:"service"`
	Old     id.Release   `json:"old"`
	New     id.Release   `json:"new"`
	Share   Milli        `json:"share_milli"`
	State   ReleaseState `json:"state"`
	// Deadline is the time in which a good release should carry the traffic.
	Deadline config.Duration `json:"deadline"`
	// Reason tells why the release was taken back.
	Reason string `json:"reason,omitempty"`
}

// ShiftState tells how a shift stands.
type ShiftState string

// States of a shift.
const (
	ShiftMoving   ShiftState = "moving"
	ShiftFinished ShiftState = "finished"
	ShiftUndoing  ShiftState = "undoing"
	ShiftUndone   ShiftState = "undone"
)

// Shift moves callers of one region to another.
type Shift struct {
	From   id.Region `json:"from"`
	To     id.Region `json:"to"`
	Target Milli     `json:"target_milli"`
	// Cap is the most that is moved in one interval.
	Cap      Milli           `json:"cap_milli"`
	Interval config.Duration `json:"interval"`
	Moved    Milli           `json:"moved_milli"`
	State    ShiftState      `json:"state"`
}

// ClaimState tells how far a claimed request got.
type ClaimState string

// States of a claim.
const (
	ClaimTaken    ClaimState = "taken"
	ClaimAnswered ClaimState = "answered"
	ClaimReleased ClaimState = "released"
)

// Claim records that a non-idempotent request was taken by one host, and what
// the upstream answered.
type Claim struct {
	Account     id.Account     `json:"account"`
	Request     id.Request     `json:"request"`
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	State       ClaimState     `json:"state"`
	Status      int            `json:"status,omitempty"`
	ContentType string         `json:"content_type,omitempty"`
	Body        []byte         `json:"body,omitempty"`
}

// Condition requires that a row has a revision; zero requires its absence.
type Condition struct {
	Key      Key      `json:"key"`
	Revision Revision `json:"revision"`
}

// Txn writes rows if all conditions hold, or nothing.
type Txn struct {
	Operation  id.Operation `json:"operation"`
	Conditions []Condition  `json:"conditions,omitempty"`
	Puts       []Row        `json:"puts,omitempty"`
	Deletes    []Key        `json:"deletes,omitempty"`
}

// Changes are the rows that changed in (After, Revision], without claims.
type Changes struct {
	After    Revision `json:"after"`
	Revision Revision `json:"revision"`
	Rows     []Row    `json:"rows,omitempty"`
}

// Conflict is the error of a transaction whose conditions did not hold. It
// matches ErrConflict and carries the current rows that the conditions named.
type Conflict struct{ Rows []Row }

// Error names the rows.
func (c *Conflict) Error() string {
	var keys []string
	for _, row := range c.Rows {
		keys = append(keys, string(row.Key))
	}
	return ErrConflict.Error() + ": " + strings.Join(keys, ", ")
}

// Is makes a Conflict match ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }
