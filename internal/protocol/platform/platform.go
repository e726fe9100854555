// Package platform defines the messages of the platform's table service, object
// store and list of upstreams. They are JSON over HTTP; conditions on single
// objects use the standard preconditions If-Match and If-None-Match.
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

// TxnAnswer holds the revision of a committed transaction.
type TxnAnswer struct {
	Revision table.Revision `json:"revision"`
}

// RowsRequest lists the keys of the rows to read.
type RowsRequest struct {
	Keys []table.Key `json:"keys"`
}

// RowsAnswer holds the rows that exist. A conflict is answered in the same form.
type RowsAnswer struct {
	Rows []table.Row `json:"rows"`
}

// UpstreamsAnswer is the list of upstreams. It may lag behind their state.
type UpstreamsAnswer struct {
	Upstreams []fleet.Upstream `json:"upstreams"`
}

// UpstreamRequest registers the state of an upstream. An upstream that has ended is
// removed from the list.
type UpstreamRequest struct {
	Upstream fleet.Upstream `json:"upstream"`
	Ended    bool           `json:"ended,omitempty"`
}

// Error is the body of a response that is not a success.
type Error struct {
	Message string `json:"message"`
}

// Mode is how the stand-in for the platform responds to requests.
type Mode string

// Modes of the stand-in.
const (
	// ModeUp answers requests.
	ModeUp Mode = "up"
	// ModeUnavailable answers at once that the service is unavailable.
	ModeUnavailable Mode = "out"
	// ModeSilent accepts requests, but neither answers nor executes them.
	ModeSilent Mode = "silent"
)

// Knobs are the faults that the stand-in injects. They can be changed while it runs.
type Knobs struct {
	Mode Mode `json:"mode"`
	// DelayMS delays each answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// HostDelayMS additionally delays the answers to single hosts, in milliseconds,
	// to simulate their distance from the platform.
	HostDelayMS map[id.Host]int `json:"host_delay_ms,omitempty"`
	// LoseAnswers is the number of next transactions that take effect but whose
	// answers are lost.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMS is the age of the list of upstreams, in milliseconds.
	ListLagMS int `json:"list_lag_ms"`
	// CutHosts are the hosts whose requests are not answered.
	CutHosts []id.Host `json:"cut_hosts,omitempty"`
}

// Counts holds how often the stand-in was read and written.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// HostHeader names the host that a request comes from.
const HostHeader = "Celerypin-Host"
