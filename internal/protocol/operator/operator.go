// Package operator defines the interface of operators: JSON over HTTP, used by
// the command line client and open to others.
package operator

import (
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// Paths of the interface. All need the operator's token.
const (
	ConfigPath   = "/celerypin/v1/operator/config"
	HistoryPath  = "/celerypin/v1/operator/config/history"
	KeysPath     = "/celerypin/v1/operator/keys"
	WithdrawPath = "/celerypin/v1/operator/keys/withdraw"
	HostsPath    = "/celerypin/v1/operator/hosts"
	AttestPath   = "/celerypin/v1/operator/hosts/attest"
	BudgetsPath  = "/celerypin/v1/operator/budgets"
	ReleasesPath = "/celerypin/v1/operator/releases"
	RetreatPath  = "/celerypin/v1/operator/releases/retreat"
	ShiftsPath   = "/celerypin/v1/operator/shifts"
	UndoPath     = "/celerypin/v1/operator/shifts/undo"
	TimelinePath = "/celerypin/v1/operator/timeline"
	MetricsPath  = "/celerypin/v1/metrics"
)

// TokenHeader carries the operator's token.
const TokenHeader = "Celerypin-Operator-Token"

// ConfigDocument is a configuration with the revision it was made from or has.
type ConfigDocument struct {
	Revision table.Revision `json:"revision"`
	Config   config.Config  `json:"config"`
}

// History lists the configuration in force and the ones before it, latest first.
type History struct {
	Entries []ConfigDocument `json:"entries"`
}

// ConfigApplied tells that a configuration was committed and where it is in force.
type ConfigApplied struct {
	Revision table.Revision `json:"revision"`
	InForce  []id.Host      `json:"in_force"`
	Missing  []id.Host      `json:"missing"`
}

// KeyGrant grants a key, given in clear, to an account.
type KeyGrant struct {
	Account id.Account `json:"account" validate:"required"`
	Key     string     `json:"key" validate:"required,min=16"`
}

// KeyGranted names the grant by its hash.
type KeyGranted struct {
	Hash     string         `json:"hash"`
	Account  id.Account     `json:"account"`
	Revision table.Revision `json:"revision"`
}

// KeyWithdraw names a key in clear or by its hash.
type KeyWithdraw struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash,omitempty"`
}

// KeyWithdrawn tells where a withdrawal is in force.
type KeyWithdrawn struct {
	Hash     string    `json:"hash"`
	InForce  []id.Host `json:"in_force"`
	Missing  []id.Host `json:"missing"`
	Recorded bool      `json:"recorded"`
}

// KeyList lists the granted and the withdrawn keys by their hashes.
type KeyList struct {
	Keys []KeyEntry `json:"keys"`
}

// KeyEntry is one key.
type KeyEntry struct {
	Hash      string     `json:"hash"`
	Account   id.Account `json:"account"`
	Withdrawn bool       `json:"withdrawn"`
}

// HostList tells what the asked host knows of all hosts.
type HostList struct {
	AnsweredBy  id.Host        `json:"asked"`
	Complete    table.Revision `json:"complete"`
	ReadAgeMS   *int64         `json:"read_age_ms,omitempty"`
	ServesKeyed bool           `json:"keyed"`
	Controller  bool           `json:"controller"`
	Leased      bool           `json:"leased"`
	Hosts       []HostEntry    `json:"hosts"`
}

// HostEntry is one host.
type HostEntry struct {
	Host          id.Host          `json:"host"`
	Incarnation   id.Incarnation   `json:"incarnation"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Address       string           `json:"address"`
	State         table.HostState  `json:"state"`
	Alive         bool             `json:"alive"`
	Leaving       bool             `json:"leaving"`
	ContactAgeMS  int64            `json:"heard_age_ms"`
	Complete      table.Revision   `json:"complete"`
	Config        table.Revision   `json:"config"`
}

// HostAttest is the operator's word that an incarnation of a host has ended.
type HostAttest struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// BudgetList lists the division of all budgets.
type BudgetList struct {
	Budgets []BudgetEntry `json:"budgets"`
}

// BudgetEntry is the division of one budget, in millionths of requests.
type BudgetEntry struct {
	Revision table.Revision `json:"revision"`
	Budget   table.Budget   `json:"budget"`
}

// ReleaseStart begins a change of release. Without an old release it takes the
// one that carries the traffic.
type ReleaseStart struct {
	Service  id.Service      `json:"service" validate:"required"`
	Old      id.Release      `json:"old,omitempty"`
	New      id.Release      `json:"new" validate:"required"`
	Deadline config.Duration `json:"deadline" validate:"gt=0"`
}

// ReleaseRetreat takes a release back.
type ReleaseRetreat struct {
	Service id.Service `json:"service" validate:"required"`
	Release id.Release `json:"release" validate:"required"`
}

// ReleaseRetreated tells where a retreat is in force.
type ReleaseRetreated struct {
	InForce  []id.Host `json:"in_force"`
	Missing  []id.Host `json:"missing"`
	Recorded bool      `json:"recorded"`
}

// ReleaseList lists the changes of release, one for each service.
type ReleaseList struct {
	Releases []ReleaseEntry `json:"releases"`
}

// ReleaseEntry is one change of release.
type ReleaseEntry struct {
	Revision table.Revision      `json:"revision"`
	Release  table.ReleaseChange `json:"release"`
}

// ShiftStart begins a shift of callers; shares are in thousandths.
type ShiftStart struct {
	From     id.Region       `json:"from" validate:"required"`
	To       id.Region       `json:"to" validate:"required"`
	Target   table.Milli     `json:"target_milli" validate:"gt=0,lte=1000"`
	Cap      table.Milli     `json:"cap_milli" validate:"gt=0,lte=1000"`
	Interval config.Duration `json:"interval" validate:"gt=0"`
}

// ShiftUndo takes a shift back.
type ShiftUndo struct {
	From id.Region `json:"from" validate:"required"`
}

// ShiftList lists the shifts, one for each region.
type ShiftList struct {
	Shifts []ShiftEntry `json:"shifts"`
}

// ShiftEntry is one shift.
type ShiftEntry struct {
	Revision table.Revision `json:"revision"`
	Shift    table.Shift    `json:"shift"`
}

// Timeline carries the events of one host.
type Timeline struct {
	Events []timeline.Event `json:"events"`
}

// Error is the body of an answer that is not a success.
type Error struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Faults  []string `json:"faults,omitempty"`
	// Current is the revision in force, for a change that was made from another one.
	Current table.Revision `json:"current,omitempty"`
	// Base is the revision that a refused change was made from.
	Base table.Revision `json:"base,omitempty"`
}

// Codes of errors.
const (
	CodeInvalid          = "invalid"
	CodeConflict         = "conflict"
	CodeUndecided        = "undecided"
	CodeStoreUnavailable = "store_out"
	CodeForbidden        = "forbidden"
	CodeNotInForce       = "not_in_force"
)
