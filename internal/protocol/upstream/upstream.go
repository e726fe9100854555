// Package upstream defines the interface between the system and its upstreams: the
// headers of forwarded requests and the report of health and load.
package upstream

import "celerypin.example/celerypin/pkg/state/id"

// Headers of forwarded requests and of their responses.
const (
	// ExchangeHeader identifies one exchange. An upstream that supports the header
	// returns its value, so that a response to another request is detected.
	ExchangeHeader = "Celerypin-Exchange"
	// HostHeader names the entry host that sent the request.
	HostHeader = "Celerypin-Host"
	// AccountHeader carries the authenticated client account.
	AccountHeader = "Celerypin-Account"
	// DeadlineHeader carries the time left until the request's deadline, in milliseconds.
	DeadlineHeader = "Celerypin-Deadline-Ms"
	// RequestIDHeader carries the caller's id of a non-idempotent request.
	RequestIDHeader = "Celerypin-Request-Id"
	// NotRunHeader is set to "true" by an upstream that did not run the request.
	NotRunHeader = "Celerypin-Not-Run"
	// DrainingHeader is set to "true" by an upstream that is draining.
	DrainingHeader = "Celerypin-Draining"
)

// ReportPath is where an upstream reports its health and load.
const ReportPath = "/report"

// Report is the response at ReportPath: the health and the load of an upstream.
type Report struct {
	Upstream id.Upstream `json:"upstream"`
	Release  id.Release  `json:"release"`
	Busy     int         `json:"busy"`
	Slots    int         `json:"slots"`
	Draining bool        `json:"draining"`
}
