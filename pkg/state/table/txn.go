package table

import (
	"strings"

	"celerypin.example/celerypin/pkg/state/id"
)

// Condition requires that a row has a revision, or that it is absent if the
// revision is zero.
type Condition struct {
	Key      Key      `json:"key"`
	Revision Revision `json:"revision"`
}

// Txn writes and deletes rows if all conditions hold, and does nothing otherwise.
type Txn struct {
	Operation  id.Operation `json:"operation"`
	Conditions []Condition  `json:"conditions,omitempty"`
	Puts       []Row        `json:"puts,omitempty"`
	Deletes    []Key        `json:"deletes,omitempty"`
}

// Changes are the rows that changed in (After, Revision], without claims.
type Changes struct {
	After    Revision `json:"after"`
	Revision Revision `json:"revision"`
	Rows     []Row    `json:"rows,omitempty"`
}

// ConflictError is the error of a transaction whose conditions did not hold. It
// matches ErrConflict and carries the current rows that the conditions name.
type ConflictError struct{ Rows []Row }

// Error names the rows.
func (c *ConflictError) Error() string {
	var keys []string
	for _, row := range c.Rows {
		keys = append(keys, string(row.Key))
	}
	return ErrConflict.Error() + ": " + strings.Join(keys, ", ")
}

// Is makes a ConflictError match ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == ErrConflict }
