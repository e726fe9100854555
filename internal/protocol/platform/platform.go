// Package platform defines the messages of the platform's table service, object
// store and list of hosts. They are JSON over HTTP; conditions of single
// objects use the published preconditions If-Match and If-None-Match.
package platform

import (
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
)

// Paths of the service.
const (
	TxnPath       = "/v1/txn"
	RowsPath      = "/v1/rows"
	ChangesPath   = "/v1/changes"
	UpstreamsPath = "/v1/upstreams"
	ObjectsPath   = "/v1/objects/"
	KnobsPath     = "/knobs"
	CountsPath    = "/counts"
)

// TxnAnswer tells the revision of a committed transaction.
type TxnAnswer struct {
	Revision table.Revision `json:"revision"`
}

// RowsRequest names rows to read; RowsAnswer and a conflict carry rows.
type RowsRequest struct {
	Keys []table.Key `json:"keys"`
}

// RowsAnswer carries the rows that exist.
type RowsAnswer struct {
	Rows []table.Row `json:"rows"`
}

// UpstreamsAnswer is the lagging list of upstreams.
type UpstreamsAnswer struct {
	Upstreams []fleet.Upstream `json:"upstreams"`
}

// UpstreamRequest tells the platform of an upstream's state; an ended one is taken off the list.
type UpstreamRequest struct {
	Upstream fleet.Upstream `json:"upstream"`
	Ended    bool           `json:"ended,omitempty"`
}

// Error is the body of an answer that is not a success.
type Error struct {
	Message string `json:"message"`
}

// Mode tells how the stand-in of the platform behaves.
type Mode string

// Modes of the stand-in.
const (
	// ModeUp answers.
	ModeUp Mode = "up"
	// ModeUnavailable answers at once that the service is out.
	ModeUnavailable Mode = "out"
	// ModeSilent accepts requests and never answers; nothing takes effect.
	ModeSilent Mode = "silent"
)

// Knobs are the faults of the stand-in; they can be turned while it runs.
type Knobs struct {
	Mode Mode `json:"mode"`
	// DelayMS is added to each answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// HostDelayMS is added to the answers to single hosts, in milliseconds, as
	// their distance to the platform.
	HostDelayMS map[id.Host]int `json:"host_delay_ms,omitempty"`
	// LoseAnswers is the number of coming transactions whose answers are lost
	// after they took effect.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMS is the age of the list of upstreams, in milliseconds.
	ListLagMS int `json:"list_lag_ms"`
	// CutHosts are hosts whose requests get no answer.
	CutHosts []id.Host `json:"cut_hosts,omitempty"`
}

// Counts tells how often the stand-in was read and written.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// HostHeader names the host that a request comes from.
const HostHeader = "Celerypin-Host"
