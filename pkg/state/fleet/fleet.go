// Package fleet holds the snapshots of hosts and upstreams that decisions on
// requests are based on.
package fleet

import (
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Host is one entry host that clients can use.
type Host struct {
	ID            id.Host
	Region        id.Region
	FailureDomain id.FailureDomain
	// Address is the address for clients.
	Address string
	// Capacity is the rate of requests that the host can serve, 0 if unknown.
	Capacity unit.PerSecond
}

// UpstreamState states whether an upstream accepts new requests.
type UpstreamState string

// States of an upstream.
const (
	UpstreamLive     UpstreamState = "live"
	UpstreamDraining UpstreamState = "leaving"
)

// Upstream is one upstream as the platform lists it.
type Upstream struct {
	ID            id.Upstream      `json:"id"`
	Service       id.Service       `json:"service"`
	Release       id.Release       `json:"release"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Address       string           `json:"address"`
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int           `json:"slots"`
	State UpstreamState `json:"state"`
	// Incarnation identifies the upstream's process lifetime; a new one has no state of
	// the previous.
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
}
