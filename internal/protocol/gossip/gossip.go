// Package gossip defines the messages between the hosts on the platform: the digest of the
// sender, the bulletin of a hub, and rows of the store that the receiver has missed. Each
// message is one CBOR value.
package gossip

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/unit"
)

// ErrEmpty is returned for a message without content that this build knows.
var ErrEmpty = fmt.Errorf("%w: it holds nothing known", codec.ErrUnknown)

// Rows holds changes of a table.
type Rows struct {
	Table string
	mirror.Changes
}

// Message is what one host sends another: rows, tokens, usage, or a digest, which a hub
// sends with a bulletin.
type Message struct {
	Digest   *roster.Digest
	Bulletin *roster.Bulletin
	Rows     *Rows
	Tokens   *Tokens
	Usage    *usage.Report
}

type envelope struct {
	From   id.Host `cbor:"from"`
	To     id.Host `cbor:"to"`
	Digest *digest `cbor:"digest,omitempty"`
	// Bulletin is what a hub reports about other hosts.
	Bulletin *bulletin `cbor:"bulletin,omitempty"`
	Rows     *rows     `cbor:"rows,omitempty"`
	Tokens   *tokens   `cbor:"tokens,omitempty"`
	// Usage holds counts of requests, or answers a message with counts. It is sent only to
	// hosts whose digest says that they take it.
	Usage *usageReport `cbor:"usage,omitempty"`
}

type digest struct {
	Incarnation   id.Incarnation           `cbor:"incarnation"`
	Sequence      id.Sequence              `cbor:"sequence"`
	Region        id.Region                `cbor:"region"`
	FailureDomain id.FailureDomain         `cbor:"failure_domain"`
	Address       string                   `cbor:"address"`
	Capacity      unit.PerSecond           `cbor:"capacity,omitempty"`
	Leaving       bool                     `cbor:"leaving,omitempty"`
	Follows       bool                     `cbor:"follows,omitempty"`
	HoldsPool     bool                     `cbor:"pool,omitempty"`
	QuotaKept     bool                     `cbor:"quotas_kept,omitempty"`
	Versions      map[string]mirror.Number `cbor:"versions,omitempty"`
	LastChange    map[string]mirror.Number `cbor:"changed,omitempty"`
	// Eras are those of Versions and LastChange. A table of era 0 may be left out.
	Eras         map[string]mirror.Era       `cbor:"eras,omitempty"`
	CopyAges     map[string]uint32           `cbor:"ages_ms,omitempty"`
	ReadsFailing bool                        `cbor:"failing,omitempty"`
	Quotas       codec.Arrays[accountReport] `cbor:"quotas,omitempty"`
	RequestRate  float32                     `cbor:"requests"`
	Outcomes     codec.Arrays[outcome]       `cbor:"outcomes,omitempty"`
	Refusals     codec.Arrays[refusals]      `cbor:"refusals,omitempty"`
	BadReleases  codec.Arrays[releaseID]     `cbor:"bad,omitempty"`
}

// unheardPrefix begins the keys of CopyAges that name an unheard failure domain instead of
// a table, with the mean even part of quotas in millionths. A field of its own would make
// earlier builds refuse the whole digest; keys that name none of their tables they ignore.
const unheardPrefix = "unheard/"

// usageKey is the key of CopyAges that says that the host takes messages with counts, for the
// same reason.
const usageKey = "counts_usage"

const millionth = 1e-6

// accountReport is what a host reports about the quota of one account. It is encoded as an
// array, because a digest holds many.
type accountReport struct {
	_       struct{} `cbor:",toarray"`
	Account id.Account
	Demand  float32
	// Part is -1 if the account has no quota.
	Part float32
}

type outcome struct {
	_        struct{} `cbor:",toarray"`
	Service  id.Service
	Release  id.Release
	Route    id.Route
	Requests uint64
	Failed   uint64
	Slow     uint64
}

// refusals are the counts of a release that outcomes lack. An outcome of an earlier build, which
// has no such element, could not be decoded as a longer array.
type refusals struct {
	_          struct{} `cbor:",toarray"`
	Service    id.Service
	Release    id.Release
	Route      id.Route
	Rejected   uint64
	TurnedAway uint64
}

type releaseID struct {
	_       struct{} `cbor:",toarray"`
	Service id.Service
	Release id.Release
}

type rows struct {
	Table string `cbor:"table"`
	// Era is that of all versions but Base.
	Era     mirror.Era        `cbor:"era,omitempty"`
	BaseEra mirror.Era        `cbor:"base_era,omitempty"`
	Base    mirror.Number     `cbor:"base"`
	Version mirror.Number     `cbor:"version"`
	Full    bool              `cbor:"full,omitempty"`
	Rows    codec.Arrays[row] `cbor:"rows"`
}

type row struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version mirror.Number
	Deleted bool
}

var envelopeCodec codec.Codec[envelope] = codec.CBOR[envelope]{}

// Codec encodes and decodes the messages between hosts for their mesh.
type Codec struct{}

// Encode encodes a message from one host to another.
func (Codec) Encode(from, to id.Host, m Message) ([]byte, error) {
	e := envelope{From: from, To: to}
	if m.Digest != nil {
		e.Digest = digestToWire(m.Digest)
	}
	if m.Bulletin != nil {
		e.Bulletin = bulletinToWire(m.Bulletin)
	}
	if m.Rows != nil {
		e.Rows = rowsToWire(m.Rows)
	}
	if m.Tokens != nil {
		e.Tokens = tokensToWire(m.Tokens)
	}
	if m.Usage != nil {
		e.Usage = usageToWire(m.Usage)
	}
	return envelopeCodec.Encode(e)
}

// Decode returns the sender, the addressee and the content of a message.
func (Codec) Decode(data []byte) (from, to id.Host, m Message, err error) {
	e, err := envelopeCodec.Decode(data)
	if err != nil {
		return "", "", m, fmt.Errorf("message of a host: %w", err)
	}
	if err := e.check(); err != nil {
		return e.From, e.To, m, fmt.Errorf("message of host %q: %w", e.From, err)
	}
	if e.Digest != nil {
		m.Digest = digestFromWire(e.From, e.Digest)
	}
	if e.Bulletin != nil {
		m.Bulletin = bulletinFromWire(e.Bulletin)
	}
	if e.Rows != nil {
		m.Rows = rowsFromWire(e.Rows)
	}
	if e.Tokens != nil {
		m.Tokens = tokensFromWire(e.Tokens)
	}
	if e.Usage != nil {
		m.Usage = usageFromWire(e.Usage)
	}
	if m == (Message{}) {
		return e.From, e.To, m, fmt.Errorf("message of host %q: %w", e.From, ErrEmpty)
	}
	return e.From, e.To, m, nil
}

func rowsToWire(r *Rows) *rows {
	out := &rows{
		Table: r.Table, Era: r.Version.Era, Version: r.Version.Number, BaseEra: r.Base.Era, Base: r.Base.Number, Full: r.Full,
	}
	for _, changed := range r.Rows {
		out.Rows = append(out.Rows, row{Key: changed.Key, Value: changed.Value, Version: changed.Version.Number, Deleted: changed.Deleted})
	}
	return out
}

func rowsFromWire(r *rows) *Rows {
	out := &Rows{Table: r.Table, Changes: mirror.Changes{
		Base: mirror.Version{Era: r.BaseEra, Number: r.Base}, Version: mirror.Version{Era: r.Era, Number: r.Version}, Full: r.Full,
	}}
	for _, changed := range r.Rows {
		out.Rows = append(out.Rows, mirror.Row{
			Key: changed.Key, Value: changed.Value, Version: mirror.Version{Era: r.Era, Number: changed.Version}, Deleted: changed.Deleted,
		})
	}
	return out
}

// numbersOf returns the numbers of versions, by table.
func numbersOf(versions map[string]mirror.Version) map[string]mirror.Number {
	out := map[string]mirror.Number{}
	for table, v := range versions {
		out[table] = v.Number
	}
	return out
}

// erasOf returns the eras of versions, by table, but for era 0.
func erasOf(versions map[string]mirror.Version) map[string]mirror.Era {
	out := map[string]mirror.Era{}
	for table, v := range versions {
		if v.Era > 0 {
			out[table] = v.Era
		}
	}
	return out
}

// versionsOf returns versions by their numbers and eras. A table without an era has era 0.
func versionsOf(numbers map[string]mirror.Number, eras map[string]mirror.Era) map[string]mirror.Version {
	if len(numbers) == 0 {
		return nil
	}
	out := map[string]mirror.Version{}
	for table, n := range numbers {
		out[table] = mirror.Version{Era: eras[table], Number: n}
	}
	return out
}

func digestToWire(d *roster.Digest) *digest {
	out := &digest{
		Incarnation: d.Incarnation, Sequence: d.Sequence, Region: d.Host.Region, FailureDomain: d.Host.FailureDomain,
		Address: d.Host.Address, Capacity: d.Host.Capacity, Leaving: d.Leaving, Follows: d.Follows, HoldsPool: d.HoldsPool, QuotaKept: d.QuotaKept, Versions: numbersOf(d.Versions), LastChange: numbersOf(d.LastChange), Eras: erasOf(d.Versions), ReadsFailing: d.ReadsFailing, RequestRate: float32(d.RequestRate),
		CopyAges: map[string]uint32{},
	}
	for table, age := range d.CopyAges {
		out.CopyAges[table] = uint32(min(age.Milliseconds(), math.MaxUint32))
	}
	out.Quotas = quotasToWire(d.Quota)
	out.Outcomes, out.Refusals = outcomesToWire(d.ReleaseCounts), refusalsToWire(d.ReleaseCounts)
	out.BadReleases = releasesToWire(d.BadReleases)
	if d.CountsUsage {
		out.CopyAges[usageKey] = 1
	}
	for domain, part := range d.Unheard {
		out.CopyAges[unheardPrefix+string(domain)] = uint32(math.Round(part / millionth))
	}
	return out
}

func outcomesToWire(outcomes map[release.RouteRelease]release.Counts) []outcome {
	var out []outcome
	for s, c := range outcomes {
		out = append(out, outcome{
			Service: s.Service, Release: s.Release, Route: s.Route, Requests: c.Requests, Failed: c.Failed, Slow: c.Slow,
		})
	}
	return out
}

// refusalsToWire returns the refusals of the releases that have some.
func refusalsToWire(counts map[release.RouteRelease]release.Counts) []refusals {
	var out []refusals
	for rr, c := range counts {
		if c.Rejected > 0 || c.TurnedAway > 0 {
			out = append(out, refusals{Service: rr.Service, Release: rr.Release, Route: rr.Route, Rejected: c.Rejected, TurnedAway: c.TurnedAway})
		}
	}
	return out
}

func outcomesFromWire(outcomes []outcome, refused []refusals) map[release.RouteRelease]release.Counts {
	out := map[release.RouteRelease]release.Counts{}
	for _, o := range outcomes {
		out[release.RouteRelease{Service: o.Service, Release: o.Release, Route: o.Route}] =
			release.Counts{Requests: o.Requests, Failed: o.Failed, Slow: o.Slow}
	}
	for _, r := range refused {
		rr := release.RouteRelease{Service: r.Service, Release: r.Release, Route: r.Route}
		c := out[rr]
		c.Rejected, c.TurnedAway = r.Rejected, r.TurnedAway
		out[rr] = c
	}
	return out
}

func releasesToWire(releases []release.ID) []releaseID {
	var out []releaseID
	for _, r := range releases {
		out = append(out, releaseID{Service: r.Service, Release: r.Release})
	}
	return out
}

func releasesFromWire(releases []releaseID) []release.ID {
	var out []release.ID
	for _, r := range releases {
		out = append(out, release.ID{Service: r.Service, Release: r.Release})
	}
	return out
}

func quotasToWire(q quota.Report) []accountReport {
	accounts := map[id.Account]bool{}
	for account := range q.Demand {
		accounts[account] = true
	}
	for account := range q.Part {
		accounts[account] = true
	}
	var out []accountReport
	for _, account := range slices.Sorted(maps.Keys(accounts)) {
		part, hasQuota := q.Part[account]
		if !hasQuota {
			part = -1
		}
		out = append(out, accountReport{Account: account, Demand: float32(q.Demand[account]), Part: float32(part)})
	}
	return out
}

func digestFromWire(from id.Host, d *digest) *roster.Digest {
	out := &roster.Digest{
		Incarnation: d.Incarnation, Sequence: d.Sequence,
		Host:    fleet.Host{ID: from, Region: d.Region, FailureDomain: d.FailureDomain, Address: d.Address, Capacity: max(d.Capacity, 0)},
		Leaving: d.Leaving, Follows: d.Follows, HoldsPool: d.HoldsPool, QuotaKept: d.QuotaKept, Versions: versionsOf(d.Versions, d.Eras), LastChange: versionsOf(d.LastChange, d.Eras), ReadsFailing: d.ReadsFailing, RequestRate: positive(d.RequestRate),
		CopyAges:      map[string]time.Duration{},
		Quota:         quota.Report{Demand: map[id.Account]float64{}, Part: map[id.Account]float64{}},
		ReleaseCounts: outcomesFromWire(d.Outcomes, d.Refusals), BadReleases: releasesFromWire(d.BadReleases),
		Unheard: map[id.FailureDomain]float64{},
	}
	for key, n := range d.CopyAges {
		if domain, found := strings.CutPrefix(key, unheardPrefix); found {
			out.Unheard[id.FailureDomain(domain)] = float64(n) * millionth
			continue
		}
		if key == usageKey {
			out.CountsUsage = n > 0
			continue
		}
		out.CopyAges[key] = time.Duration(n) * time.Millisecond
	}
	for _, q := range d.Quotas {
		if q.Demand > 0 {
			out.Quota.Demand[q.Account] = float64(q.Demand)
		}
		if q.Part >= 0 {
			out.Quota.Part[q.Account] = float64(q.Part)
		}
	}
	return out
}
