package table

import (
	"celerypin.example/celerypin/pkg/state/id"
)

// ClaimState is the progress of a claimed request.
type ClaimState string

// States of a claim.
const (
	ClaimTaken ClaimState = "taken"
	// ClaimAnswered means that the request ran and its answer is recorded.
	ClaimAnswered ClaimState = "answered"
	// ClaimReleased means that the request did not run and may be claimed again.
	ClaimReleased ClaimState = "released"
)

// Claim records that one host has claimed a non-idempotent request, and the
// upstream's answer once it is known.
type Claim struct {
	Account     id.Account     `json:"account"`
	Request     id.Request     `json:"request"`
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	State       ClaimState     `json:"state"`
	// Status, ContentType and Body are the upstream's answer if State is ClaimAnswered.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}
