package table

import (
	"celerypin.example/celerypin/pkg/state/id"
)

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
