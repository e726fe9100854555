// Package table defines the typed rows that the fleet stores in the platform's
// table service. The table assigns the revisions of rows; they only increase.
package table

import (
	"errors"
	"fmt"
	"strings"

	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
)

// Sentinel errors of the table service.
var (
	// ErrConflict means that a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrUnavailable means that the service did not answer or refused the request; a
	// write may have taken effect.
	ErrUnavailable = errors.New("table service unavailable")
)

// Revision numbers the table's transactions; zero stands for an absent row.
type Revision uint64

// Key names a row; the part before the first slash is its kind.
type Key string

// Kinds of rows. ConfigKey and ControlKey are the whole keys of single rows.
const (
	HostPrefix     Key = "host/"
	BudgetPrefix   Key = "budget/"
	KeyGrantPrefix Key = "key/"
	// HistoryPrefix is the kind of rows that hold earlier configurations.
	HistoryPrefix Key = "history/"
	ClaimPrefix   Key = "claim/"
	// ShiftPrefix is the kind of rows that hold shifts of clients.
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

// KeyGrantKey returns the key of the row that grants a client's key to an account.
func KeyGrantKey(h key.Hash) Key { return KeyGrantPrefix + Key(h.String()) }

// HistoryKey returns the key of the row that holds the configuration of an earlier
// revision. Keys sort in the order of revisions.
func HistoryKey(r Revision) Key { return HistoryPrefix + Key(fmt.Sprintf("%020d", uint64(r))) }

// ShiftKey returns the key of the shift of a region's clients.
func ShiftKey(from id.Region) Key { return ShiftPrefix + Key(from) }

// ReleaseKey returns the key of a service's release row.
func ReleaseKey(s id.Service) Key { return ReleasePrefix + Key(s) }

// ClaimKey returns the key of the claim of a non-idempotent request.
func ClaimKey(a id.Account, r id.Request) Key { return ClaimPrefix + Key(a) + "/" + Key(r) }

// HasPrefix reports whether the key is of the kind that prefix names.
func (k Key) HasPrefix(prefix Key) bool { return strings.HasPrefix(string(k), string(prefix)) }

// Row is one row of the table. Exactly one of the pointers is set, according to
// the kind that Key names; a deleted row has none.
type Row struct {
	Key       Key          `json:"key"`
	Revision  Revision     `json:"revision"`
	Operation id.Operation `json:"operation,omitempty"`

	Host     *Host          `json:"host,omitempty"`
	Control  *Control       `json:"control,omitempty"`
	Budget   *Budget        `json:"budget,omitempty"`
	Config   *config.Config `json:"config,omitempty"`
	KeyGrant *key.Record    `json:"grant,omitempty"`
	Claim    *Claim         `json:"claim,omitempty"`
	Release  *ReleaseChange `json:"release,omitempty"`
	Shift    *Shift         `json:"shift,omitempty"`
}
