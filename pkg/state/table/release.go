package table

import (
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

// Milli is a fraction in thousandths.
type Milli int64

// Whole is the fraction 1.
const Whole Milli = 1000

// ReleaseState is the state of a change of release.
type ReleaseState string

// States of a change of release.
const (
	// ReleaseGrowing means that the share of the new release is raised step by step.
	ReleaseGrowing ReleaseState = "growing"
	// ReleaseDone means that the new release serves all traffic.
	ReleaseDone ReleaseState = "done"
	// ReleaseRetreated means that the old release serves all traffic again. It is final.
	ReleaseRetreated ReleaseState = "retreated"
)

// ReleaseChange is the change of one service from an old release to a new one.
type ReleaseChange struct {
	Service id.Service   `json:"service"`
	Old     id.Release   `json:"old"`
	New     id.Release   `json:"new"`
	Share   Milli        `json:"share_milli"`
	State   ReleaseState `json:"state"`
	// Deadline is the time within which a good release should serve all traffic.
	Deadline config.Duration `json:"deadline"`
	// Reason states why the release was taken back.
	Reason string `json:"reason,omitempty"`
}
