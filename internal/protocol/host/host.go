// Package host defines the messages between entry hosts. Each is one CBOR value
// in one binary WebSocket message.
package host

import (
	"fmt"
	"time"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/pkg/coordination/agent"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Path is where a host accepts the connections of other hosts.
const Path = "/celerypin/v1/hosts/connect"

// MaxMessageBytes is the largest message that is accepted, in bytes.
const MaxMessageBytes = 8 << 20

// ErrEmpty is returned for a message without content that this build knows.
var ErrEmpty = fmt.Errorf("%w: it holds nothing known", codec.ErrUnknown)

// Envelope is one message with its sender and its addressee. The addressee is included so
// that a connection to an address that another host has taken over is detected.
type Envelope struct {
	From           id.Host    `cbor:"from"`
	To             id.Host    `cbor:"to"`
	Heartbeat      *heartbeat `cbor:"heartbeat,omitempty"`
	Relay          *relay     `cbor:"relay,omitempty"`
	Fetch          *fetch     `cbor:"fetch,omitempty"`
	Borrow         *borrow    `cbor:"borrow,omitempty"`
	Loan           *loan      `cbor:"loan,omitempty"`
	Repay          *repay     `cbor:"repay,omitempty"`
	Marks          *marks     `cbor:"marks,omitempty"`
	MarksConfirmed *marks     `cbor:"marks_held,omitempty"`
}

type heartbeat struct {
	Incarnation     id.Incarnation             `cbor:"incarnation"`
	Region          id.Region                  `cbor:"region"`
	FailureDomain   id.FailureDomain           `cbor:"failure_domain"`
	Leaving         bool                       `cbor:"leaving,omitempty"`
	Sent            int64                      `cbor:"sent_ns"`
	Echo            int64                      `cbor:"echo_ns,omitempty"`
	EchoDelay       int64                      `cbor:"echo_held_ns,omitempty"`
	ReadAge         *int64                     `cbor:"read_age_ns,omitempty"`
	TableReadAge    *int64                     `cbor:"up_age_ns,omitempty"`
	TableRefusedAge *int64                     `cbor:"out_age_ns,omitempty"`
	Complete        table.Revision             `cbor:"complete"`
	Config          table.Revision             `cbor:"config"`
	Marks           *marks                     `cbor:"marks,omitempty"`
	Budgets         codec.Arrays[budgetReport] `cbor:"levels,omitempty"`
	Outcomes        codec.Arrays[outcome]      `cbor:"outcomes,omitempty"`
	Rejections      codec.Arrays[rejection]    `cbor:"rejections,omitempty"`
}

// budgetReport is encoded as an array, because a heartbeat holds many.
type budgetReport struct {
	_               struct{} `cbor:",toarray"`
	Account         id.Account
	Demand          unit.Tokens
	Lendable        unit.Tokens
	AppliedRevision table.Revision
}

type relay struct {
	Changes table.Changes `cbor:"changes"`
}

type fetch struct {
	After table.Revision `cbor:"after"`
}

type borrow struct {
	Loan    id.Loan     `cbor:"loan"`
	Account id.Account  `cbor:"account"`
	Amount  unit.Tokens `cbor:"amount"`
}

type loan = borrow

type repay struct {
	Loan    id.Loan     `cbor:"loan"`
	Account id.Account  `cbor:"account"`
	Unspent unit.Tokens `cbor:"unspent"`
}

type marks struct {
	Keys     []key.Hash  `cbor:"keys,omitempty"`
	Releases []releaseID `cbor:"releases,omitempty"`
}

type releaseID struct {
	Service id.Service `cbor:"service"`
	Release id.Release `cbor:"release"`
}

// outcome is encoded as an array, because a heartbeat may hold many.
type outcome struct {
	_        struct{} `cbor:",toarray"`
	Service  id.Service
	Release  id.Release
	Route    id.Route
	Requests uint64
	Failed   uint64
	Slow     uint64
}

// rejection is the number of a release's requests that were rejected. An outcome of an earlier
// build, which has no such element, could not be decoded as a longer array.
type rejection struct {
	_        struct{} `cbor:",toarray"`
	Service  id.Service
	Release  id.Release
	Route    id.Route
	Requests uint64
}

var envelopeCodec codec.Codec[Envelope] = codec.CBOR[Envelope]{}

// Codec encodes and decodes the messages between entry hosts for their mesh.
type Codec struct{}

// Encode encodes a message from one host to another.
func (Codec) Encode(from, to id.Host, m agent.Message) ([]byte, error) { return Encode(from, to, m) }

// Decode returns the sender, the addressee and the content of a message.
func (Codec) Decode(data []byte) (from, to id.Host, m agent.Message, err error) { return Decode(data) }

// Encode encodes a message from one host to another.
func Encode(from, to id.Host, m agent.Message) ([]byte, error) {
	return envelopeCodec.Encode(toWire(from, to, m))
}

// Decode returns the sender, the addressee and the content of a message.
func Decode(data []byte) (from, to id.Host, m agent.Message, err error) {
	e, err := envelopeCodec.Decode(data)
	if err != nil {
		return "", "", agent.Message{}, fmt.Errorf("message of a host: %w", err)
	}
	m = fromWire(e)
	if m == (agent.Message{}) {
		return e.From, e.To, m, fmt.Errorf("message of host %q: %w", e.From, ErrEmpty)
	}
	return e.From, e.To, m, nil
}

func toWire(from, to id.Host, m agent.Message) Envelope {
	e := Envelope{From: from, To: to}
	switch {
	case m.Heartbeat != nil:
		e.Heartbeat = heartbeatToWire(m.Heartbeat)
	case m.Relay != nil:
		e.Relay = &relay{Changes: m.Relay.Changes}
	case m.Fetch != nil:
		e.Fetch = &fetch{After: m.Fetch.After}
	case m.Borrow != nil:
		e.Borrow = &borrow{Loan: m.Borrow.Loan, Account: m.Borrow.Account, Amount: m.Borrow.Amount}
	case m.Loan != nil:
		e.Loan = &loan{Loan: m.Loan.Loan, Account: m.Loan.Account, Amount: m.Loan.Amount}
	case m.Repay != nil:
		e.Repay = &repay{Loan: m.Repay.Loan, Account: m.Repay.Account, Unspent: m.Repay.Unspent}
	case m.Marks != nil:
		e.Marks = marksToWire(*m.Marks)
	case m.MarksConfirmed != nil:
		e.MarksConfirmed = marksToWire(*m.MarksConfirmed)
	}
	return e
}

func fromWire(e Envelope) agent.Message {
	switch {
	case e.Heartbeat != nil:
		return agent.Message{Heartbeat: heartbeatFromWire(e.Heartbeat)}
	case e.Relay != nil:
		return agent.Message{Relay: &agent.Relay{Changes: e.Relay.Changes}}
	case e.Fetch != nil:
		return agent.Message{Fetch: &agent.Fetch{After: e.Fetch.After}}
	case e.Borrow != nil:
		return agent.Message{Borrow: &agent.Borrow{Loan: e.Borrow.Loan, Account: e.Borrow.Account, Amount: e.Borrow.Amount}}
	case e.Loan != nil:
		return agent.Message{Loan: &agent.Loan{Loan: e.Loan.Loan, Account: e.Loan.Account, Amount: e.Loan.Amount}}
	case e.Repay != nil:
		return agent.Message{Repay: &agent.Repay{Loan: e.Repay.Loan, Account: e.Repay.Account, Unspent: e.Repay.Unspent}}
	case e.Marks != nil:
		return agent.Message{Marks: marksFromWire(e.Marks)}
	case e.MarksConfirmed != nil:
		return agent.Message{MarksConfirmed: marksFromWire(e.MarksConfirmed)}
	}
	return agent.Message{}
}

func heartbeatToWire(h *agent.Heartbeat) *heartbeat {
	out := &heartbeat{
		Incarnation: h.Incarnation, Region: h.Region, FailureDomain: h.FailureDomain, Leaving: h.Leaving,
		Sent: int64(h.Sent), Echo: int64(h.Echo), EchoDelay: int64(h.EchoDelay),
		ReadAge: ageToWire(h.ReadAge), TableReadAge: ageToWire(h.TableReadAge), TableRefusedAge: ageToWire(h.TableRefusedAge),
		Complete: h.CompleteRevision, Config: h.ConfigRevision,
	}
	if len(h.Marks.Keys)+len(h.Marks.Releases) > 0 {
		out.Marks = marksToWire(h.Marks)
	}
	for _, o := range h.ReleaseCounts {
		out.Outcomes = append(out.Outcomes, outcomeToWire(o))
		if o.Counts.Rejected > 0 {
			rr := o.RouteRelease
			out.Rejections = append(out.Rejections, rejection{Service: rr.Service, Release: rr.Release, Route: rr.Route, Requests: o.Counts.Rejected})
		}
	}
	for _, b := range h.Budgets {
		out.Budgets = append(out.Budgets, budgetReport{Account: b.Account, Demand: b.Demand, Lendable: b.Lendable, AppliedRevision: b.AppliedRevision})
	}
	return out
}

func heartbeatFromWire(h *heartbeat) *agent.Heartbeat {
	out := &agent.Heartbeat{
		Incarnation: h.Incarnation, Region: h.Region, FailureDomain: h.FailureDomain, Leaving: h.Leaving,
		Sent: clock.Instant(h.Sent), Echo: clock.Instant(h.Echo), EchoDelay: time.Duration(h.EchoDelay),
		ReadAge: ageFromWire(h.ReadAge), TableReadAge: ageFromWire(h.TableReadAge), TableRefusedAge: ageFromWire(h.TableRefusedAge),
		CompleteRevision: h.Complete, ConfigRevision: h.Config,
	}
	if h.Marks != nil {
		out.Marks = *marksFromWire(h.Marks)
	}
	rejected := map[release.RouteRelease]uint64{}
	for _, r := range h.Rejections {
		rejected[release.RouteRelease{Service: r.Service, Release: r.Release, Route: r.Route}] = r.Requests
	}
	for _, o := range h.Outcomes {
		counts := outcomeFromWire(o)
		counts.Counts.Rejected = rejected[counts.RouteRelease]
		out.ReleaseCounts = append(out.ReleaseCounts, counts)
	}
	for _, b := range h.Budgets {
		out.Budgets = append(out.Budgets, agent.BudgetReport{Account: b.Account, Demand: b.Demand, Lendable: b.Lendable, AppliedRevision: b.AppliedRevision})
	}
	return out
}

func marksToWire(m agent.Marks) *marks {
	out := &marks{Keys: m.Keys}
	for _, r := range m.Releases {
		out.Releases = append(out.Releases, releaseID(r))
	}
	return out
}

func marksFromWire(m *marks) *agent.Marks {
	out := &agent.Marks{Keys: m.Keys}
	for _, r := range m.Releases {
		out.Releases = append(out.Releases, release.ID(r))
	}
	return out
}

func outcomeToWire(o agent.ReleaseCounts) outcome {
	return outcome{
		Service: o.RouteRelease.Service, Release: o.RouteRelease.Release, Route: o.RouteRelease.Route,
		Requests: o.Counts.Requests, Failed: o.Counts.Failed, Slow: o.Counts.Slow,
	}
}

func outcomeFromWire(o outcome) agent.ReleaseCounts {
	return agent.ReleaseCounts{
		RouteRelease: release.RouteRelease{Service: o.Service, Release: o.Release, Route: o.Route},
		Counts:       release.Counts{Requests: o.Requests, Failed: o.Failed, Slow: o.Slow},
	}
}

func ageToWire(a agent.Age) *int64 {
	if !a.Known {
		return nil
	}
	since := int64(a.Elapsed)
	return &since
}

func ageFromWire(since *int64) agent.Age {
	if since == nil || *since < 0 {
		return agent.Age{}
	}
	return agent.Age{Known: true, Elapsed: time.Duration(*since)}
}
