// Package timeline keeps the events that one process has seen, in a bounded ring.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
)

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	HostStarted      Kind = "host_started"
	HostStopping     Kind = "host_stopping"
	HostStopped      Kind = "host_stopped"
	PeerHeard        Kind = "peer_heard"
	PeerSilent       Kind = "peer_silent"
	LeaseTaken       Kind = "lease_taken"
	LeaseLost        Kind = "lease_lost"
	ControlTaken     Kind = "control_taken"
	ControlLost      Kind = "control_lost"
	BudgetMoved      Kind = "budget_moved"
	ConfigInForce    Kind = "config_in_force"
	KeysInForce      Kind = "keys_in_force"
	KeyWithdrawn     Kind = "key_withdrawn"
	StoreLost        Kind = "store_lost"
	StoreBack        Kind = "store_back"
	KeyedRefused     Kind = "keyed_refused"
	KeyedServed      Kind = "keyed_served"
	ShiftStepped     Kind = "shift_stepped"
	ReleaseStepped   Kind = "release_stepped"
	ReleaseRetreated Kind = "release_retreated"
	UpstreamAvoided  Kind = "upstream_avoided"
	UpstreamRestored Kind = "upstream_restored"
)

// Event is one entry of the time line.
type Event struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	Sequence    id.Sequence    `json:"sequence"`
	Time        time.Time      `json:"time"`
	Kind        Kind           `json:"kind"`
	// Subject names what the event is about: a host, an account or an upstream.
	Subject string `json:"subject,omitempty"`
	// Reason tells what the change rested on, in a short sentence.
	Reason string `json:"reason,omitempty"`
}

// Ring keeps the latest events of one host incarnation. It is safe for
// concurrent use and never holds more than its capacity.
type Ring struct {
	host        id.Host
	incarnation id.Incarnation

	mu     sync.Mutex
	next   id.Sequence
	events []Event
}

// New returns an empty ring for capacity events.
func New(host id.Host, incarnation id.Incarnation, capacity int) *Ring {
	return &Ring{host: host, incarnation: incarnation, events: make([]Event, 0, max(1, capacity))}
}

// Add appends an event; the oldest one makes room when the ring is full.
func (r *Ring) Add(at time.Time, kind Kind, subject, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	e := Event{Host: r.host, Incarnation: r.incarnation, Sequence: r.next, Time: at, Kind: kind, Subject: subject, Reason: reason}
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[int(r.next-1)%cap(r.events)] = e
}

// Events returns a copy of the kept events in order.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.events)
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return out
}

// Merge joins the events of several processes by time; the order of the events
// of one incarnation is always kept.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, list := range lists {
		var latest time.Time
		for _, e := range list {
			if e.Time.Before(latest) {
				e.Time = latest
			}
			latest = e.Time
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Host, b.Host); c != 0 {
			return c
		}
		return cmp.Compare(a.Sequence, b.Sequence)
	})
	return all
}
