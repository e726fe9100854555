// Package fleet holds the snapshots of hosts and upstreams that requests are
// decided on.
package fleet

import (
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Host is one entry host as callers may use it.
type Host struct {
	ID            id.Host
	Region        id.Region
	FailureDomain id.FailureDomain
	Address       string
	// Capacity is the requests that the host can carry, 0 if it is not known.
	Capacity unit.PerSecond
}

// UpstreamState tells whether an upstream accepts new work.
type UpstreamState string

// States of an upstream.
const (
	UpstreamLive    UpstreamState = "live"
	UpstreamLeaving UpstreamState = "leaving"
)

// Upstream is one worker as the platform lists it.
type Upstream struct {
	ID            id.Upstream      `json:"id"`
	Service       id.Service       `json:"service"`
	Release       id.Release       `json:"release"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Address       string           `json:"address"`
	Slots         int              `json:"slots"`
	State         UpstreamState    `json:"state"`
	// Incarnation is the upstream's start; a later one knows nothing of before.
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
}
