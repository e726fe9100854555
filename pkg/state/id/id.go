// Package id holds the identifier types that all layers use.
package id

import "strconv"

// Host names an entry host of the system; it is also the slot that successive
// incarnations of that host occupy.
type Host string

// Incarnation numbers the process lifetimes of one Host, not always in steps of one; a
// higher one replaces a lower one.
type Incarnation uint64

// Account names a client account (a tenant of the operator).
type Account string

// Region names a geographic region.
type Region string

// FailureDomain names a part of a region that fails as a unit.
type FailureDomain string

// Service names a group of interchangeable upstreams.
type Service string

// Upstream names one instance of a Service.
type Upstream string

// Release names a version of the software that an upstream runs.
type Release string

// Route names a rule that maps request paths to a Service.
type Route string

// Request is the identifier that a client gives to a non-idempotent request.
type Request string

// Attempt identifies one attempt of a client; a client's retry is another attempt.
// The attempts that a host counts are different: how often it sent one request to an
// upstream.
type Attempt string

// Object names the object that a request concerns, as the client states it.
type Object string

// Operation identifies one write to the platform's table, so that a write whose
// answer was lost can be recognized by reading the row back.
type Operation string

// Loan identifies a loan of tokens between two hosts; it is unique per borrower incarnation.
type Loan uint64

// Sequence orders the messages or events of one incarnation.
type Sequence uint64

// String returns the decimal form of the incarnation.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 10) }
