package table

import (
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

// ShiftState tells how a shift stands.
type ShiftState string

// States of a shift.
const (
	ShiftMoving   ShiftState = "moving"
	ShiftFinished ShiftState = "finished"
	ShiftUndoing  ShiftState = "undoing"
	ShiftUndone   ShiftState = "undone"
)

// Shift moves callers of one region to another.
type Shift struct {
	From   id.Region `json:"from"`
	To     id.Region `json:"to"`
	Target Milli     `json:"target_milli"`
	// Cap is the most that is moved in one interval.
	Cap      Milli           `json:"cap_milli"`
	Interval config.Duration `json:"interval"`
	Moved    Milli           `json:"moved_milli"`
	State    ShiftState      `json:"state"`
}
