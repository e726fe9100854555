// Package operator defines the interface for operators: JSON over HTTP, used by the
// command line client and open to other clients.
package operator

import (
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// Paths of the interface. All require the operator's token.
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

// ConfigDocument is a configuration with its revision. In a change, Revision is the one
// that the change is based on.
type ConfigDocument struct {
	Revision table.Revision `json:"revision"`
	Config   config.Config  `json:"config"`
}

// History lists the configuration in force and the previous ones, latest first.
type History struct {
	Entries []ConfigDocument `json:"entries"`
}

// ConfigApplied reports that a configuration was committed, on which hosts it is in force
// and on which it is not yet.
type ConfigApplied struct {
	Revision table.Revision `json:"revision"`
	InForce  []id.Host      `json:"in_force"`
	Missing  []id.Host      `json:"missing"`
}

// KeyGrant grants a key, given in plain text, to an account.
type KeyGrant struct {
	Account id.Account `json:"account" validate:"required"`
	Key     string     `json:"key" validate:"required,min=16"`
}

// KeyGranted reports a grant, with the hash that identifies the key.
type KeyGranted struct {
	Hash     string         `json:"hash"`
	Account  id.Account     `json:"account"`
	Revision table.Revision `json:"revision"`
}

// KeyWithdraw withdraws a key, given either in plain text or as its hash.
type KeyWithdraw struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash,omitempty"`
}

// KeyWithdrawn reports on which hosts a withdrawal is in force, on which it is not yet,
// and whether the store has recorded it.
type KeyWithdrawn struct {
	Hash     string    `json:"hash"`
	InForce  []id.Host `json:"in_force"`
	Missing  []id.Host `json:"missing"`
	Recorded bool      `json:"recorded"`
}

// KeyList lists the hashes of the granted and of the withdrawn keys.
type KeyList struct {
	Keys []KeyEntry `json:"keys"`
}

// KeyEntry is one key, identified by its hash.
type KeyEntry struct {
	Hash      string     `json:"hash"`
	Account   id.Account `json:"account"`
	Withdrawn bool       `json:"withdrawn"`
}

// HostList is the view that the host AnsweredBy has of all hosts.
type HostList struct {
	AnsweredBy  id.Host        `json:"asked"`
	Complete    table.Revision `json:"complete"`
	ReadAgeMS   *int64         `json:"read_age_ms,omitempty"`
	ServesKeyed bool           `json:"keyed"`
	Controller  bool           `json:"controller"`
	Leased      bool           `json:"leased"`
	Hosts       []HostEntry    `json:"hosts"`
}

// HostEntry is the state of one host.
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

// HostAttest attests that an incarnation of a host has ended.
type HostAttest struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// BudgetList lists how all budgets are divided between the hosts.
type BudgetList struct {
	Budgets []BudgetEntry `json:"budgets"`
}

// BudgetEntry is the division of one budget. Its amounts are in millionths of a request.
type BudgetEntry struct {
	Revision table.Revision `json:"revision"`
	Budget   table.Budget   `json:"budget"`
}

// ReleaseStart starts a change of release. Old defaults to the release that carries the
// traffic.
type ReleaseStart struct {
	Service  id.Service      `json:"service" validate:"required"`
	Old      id.Release      `json:"old,omitempty"`
	New      id.Release      `json:"new" validate:"required"`
	Deadline config.Duration `json:"deadline" validate:"gt=0"`
}

// ReleaseRetreat takes back a release.
type ReleaseRetreat struct {
	Service id.Service `json:"service" validate:"required"`
	Release id.Release `json:"release" validate:"required"`
}

// ReleaseRetreated reports on which hosts a retreat is in force, on which it is not yet,
// and whether the store has recorded it.
type ReleaseRetreated struct {
	InForce  []id.Host `json:"in_force"`
	Missing  []id.Host `json:"missing"`
	Recorded bool      `json:"recorded"`
}

// ReleaseList lists the changes of release, one for each service.
type ReleaseList struct {
	Releases []ReleaseEntry `json:"releases"`
}

// ReleaseEntry is the change of release of one service.
type ReleaseEntry struct {
	Revision table.Revision      `json:"revision"`
	Release  table.ReleaseChange `json:"release"`
}

// ShiftStart starts a shift of callers between regions. Target and Cap are in
// thousandths.
type ShiftStart struct {
	From     id.Region       `json:"from" validate:"required"`
	To       id.Region       `json:"to" validate:"required"`
	Target   table.Milli     `json:"target_milli" validate:"gt=0,lte=1000"`
	Cap      table.Milli     `json:"cap_milli" validate:"gt=0,lte=1000"`
	Interval config.Duration `json:"interval" validate:"gt=0"`
}

// ShiftUndo undoes the shift of a region.
type ShiftUndo struct {
	From id.Region `json:"from" validate:"required"`
}

// ShiftList lists the shifts, one for each region.
type ShiftList struct {
	Shifts []ShiftEntry `json:"shifts"`
}

// ShiftEntry is the shift of one region.
type ShiftEntry struct {
	Revision table.Revision `json:"revision"`
	Shift    table.Shift    `json:"shift"`
}

// Timeline holds the events of one host.
type Timeline struct {
	Events []timeline.Event `json:"events"`
}

// Error is the body of a response that is not a success.
type Error struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Faults  []string `json:"faults,omitempty"`
	// Current is the revision in force, if a change was based on another one.
	Current table.Revision `json:"current,omitempty"`
	// Base is the revision that a refused change was based on.
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
