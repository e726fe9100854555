// Package upstream defines what the system and the upstreams tell each other:
// the headers of forwarded requests and the report of health and load.
package upstream

import "celerypin.example/celerypin/pkg/state/id"

// Headers of forwarded requests and of their answers.
const (
	// ExchangeHeader carries an identifier of the single exchange; an upstream
	// that knows it returns it, so that a foreign answer is noticed.
	ExchangeHeader = "Celerypin-Exchange"
	// HostHeader names the entry host that sent the request.
	HostHeader = "Celerypin-Host"
	// AccountHeader carries the authenticated client account.
	AccountHeader = "Celerypin-Account"
	// DeadlineHeader carries the remaining time of the request, in milliseconds.
	DeadlineHeader = "Celerypin-Deadline-Ms"
	// RequestIDHeader carries the caller's id of a non-idempotent request.
	RequestIDHeader = "Celerypin-Request-Id"
	// NotRunHeader is set to "true" by an upstream that did not run the request.
	NotRunHeader = "Celerypin-Not-Run"
	// DrainingHeader is set to "true" by an upstream that is leaving.
	DrainingHeader = "Celerypin-Draining"
)

// ReportPath is where an upstream reports its health and load.
const ReportPath = "/report"

// Report is the answer of an upstream's health and load endpoint.
type Report struct {
	Upstream id.Upstream `json:"upstream"`
	Release  id.Release  `json:"release"`
	Busy     int         `json:"busy"`
	Slots    int         `json:"slots"`
	Draining bool        `json:"draining"`
}
