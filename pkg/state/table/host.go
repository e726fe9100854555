package table

import (
	"celerypin.example/celerypin/pkg/state/id"
)

// HostState is the lifecycle state of a host.
type HostState string

// States of a host.
const (
	HostServing HostState = "serving"
	HostLeaving HostState = "leaving"
	HostEnded   HostState = "ended"
)

// Host is the lease of an entry host on its slot.
type Host struct {
	ID            id.Host          `json:"id"`
	Incarnation   id.Incarnation   `json:"incarnation"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	// CallerAddress is the address for clients, HostAddress the one for other hosts.
	CallerAddress string    `json:"caller_address"`
	HostAddress   string    `json:"host_address"`
	State         HostState `json:"state"`
	// Renewals counts the renewals by the holder's process.
	Renewals uint64 `json:"renewals"`
}

// Control is the lease of the controller. The revision of its row is the fencing
// token that the holder names in the conditions of every write.
type Control struct {
	Holder      id.Host        `json:"holder"`
	Incarnation id.Incarnation `json:"incarnation"`
	Renewals    uint64         `json:"renewals"`
	// Term counts how often the lease was taken.
	Term uint64 `json:"term"`
}
