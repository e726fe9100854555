package table

import (
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

// ShiftState is the state of a shift.
type ShiftState string

// States of a shift.
const (
	ShiftMoving   ShiftState = "moving"
	ShiftFinished ShiftState = "finished"
	ShiftUndoing  ShiftState = "undoing"
	ShiftUndone   ShiftState = "undone"
)

// Shift moves clients of one region to another.
type Shift struct {
	From id.Region `json:"from"`
	To   id.Region `json:"to"`
	// Target is the fraction of the clients of From that is to be moved.
	Target Milli `json:"target_milli"`
	// Cap bounds the fraction that is moved in one interval.
	Cap      Milli           `json:"cap_milli"`
	Interval config.Duration `json:"interval"`
	// Moved is the fraction that is moved now.
	Moved Milli      `json:"moved_milli"`
	State ShiftState `json:"state"`
}
