package table

import (
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

// Milli is a part of a whole in thousandths.
type Milli int64

// Whole is all of something.
const Whole Milli = 1000

// ReleaseState tells how a change of release stands.
type ReleaseState string

// States of a change of release.
const (
	// ReleaseGrowing means that the new release's share grows step by step.
	ReleaseGrowing ReleaseState = "growing"
	// ReleaseDone means that the new release carries the traffic.
	ReleaseDone ReleaseState = "done"
	// ReleaseRetreated means that the old release carries the traffic again. It is final.
	ReleaseRetreated ReleaseState = "retreated"
)

// ReleaseChange is the change of one service from an old release to a new one.
type ReleaseChange struct {
	Service id.Service   `json:"service"`
	Old     id.Release   `json:"old"`
	New     id.Release   `json:"new"`
	Share   Milli        `json:"share_milli"`
	State   ReleaseState `json:"state"`
	// Deadline is the time in which a good release should carry the traffic.
	Deadline config.Duration `json:"deadline"`
	// Reason tells why the release was taken back.
	Reason string `json:"reason,omitempty"`
}
