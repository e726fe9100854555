// Package timeline keeps the latest events of one process in a ring buffer.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events. KeyedRefused and KeyedServed mean that a host begins to refuse, or
// serves again, the requests that carry a key.
const (
	HostStarted      Kind = "host_started"
	HostStopping     Kind = "host_stopping"
	HostStopped      Kind = "host_stopped"
	PeerInContact    Kind = "peer_heard"
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
	// Subject names the host, account or upstream that the event concerns.
	Subject string `json:"subject,omitempty"`
	// Reason states the cause of the event in a short sentence.
	Reason string `json:"reason,omitempty"`
}

// Buffer is a ring buffer of the latest events of one host incarnation. It is safe
// for concurrent use.
type Buffer struct {
	host        id.Host
	incarnation id.Incarnation

	mu     sync.Mutex
	next   id.Sequence
	events []Event
}

// New returns an empty buffer for at most capacity events.
func New(host id.Host, incarnation id.Incarnation, capacity int) *Buffer {
	return &Buffer{host: host, incarnation: incarnation, events: make([]Event, 0, max(1, capacity))}
}

// Add appends an event, which replaces the oldest one if the buffer is full.
func (b *Buffer) Add(at time.Time, kind Kind, subject, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	e := Event{Host: b.host, Incarnation: b.incarnation, Sequence: b.next, Time: at, Kind: kind, Subject: subject, Reason: reason}
	if len(b.events) < cap(b.events) {
		b.events = append(b.events, e)
		return
	}
	b.events[int(b.next-1)%cap(b.events)] = e
}

// Events returns a copy of the events in order.
func (b *Buffer) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.events)
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return out
}

// Merge merges the events of several processes by time and preserves the order of
// the events of each incarnation. An event earlier than its predecessor in a list
// gets the predecessor's time.
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
