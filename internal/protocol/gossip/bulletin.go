package gossip

import (
	"maps"
	"math"
	"slices"
	"time"

	"celerypin.example/celerypin/internal/protocol/codec"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/id"
)

type bulletin struct {
	Notices []notice             `cbor:"notices,omitempty"`
	Totals  map[id.Region]totals `cbor:"totals,omitempty"`
}

// notice has numbers for the names of its fields in the encoding, because a bulletin holds
// many.
type notice struct {
	Host         id.Host                 `cbor:"1,keyasint"`
	Incarnation  id.Incarnation          `cbor:"2,keyasint,omitempty"`
	AgeMS        uint32                  `cbor:"3,keyasint,omitempty"`
	Leaving      bool                    `cbor:"4,keyasint,omitempty"`
	ReadsFailing bool                    `cbor:"5,keyasint,omitempty"`
	RequestRate  float32                 `cbor:"6,keyasint,omitempty"`
	Outcomes     codec.Arrays[outcome]   `cbor:"7,keyasint,omitempty"`
	BadReleases  codec.Arrays[releaseID] `cbor:"8,keyasint,omitempty"`
	Refusals     codec.Arrays[refusals]  `cbor:"9,keyasint,omitempty"`
}

type totals struct {
	Weight     float32                    `cbor:"weight"`
	Unreported float32                    `cbor:"unheard,omitempty"`
	Stale      bool                       `cbor:"stale,omitempty"`
	Accounts   codec.Arrays[accountTotal] `cbor:"accounts"`
}

type accountTotal struct {
	_       struct{} `cbor:",toarray"`
	Account id.Account
	Demand  float32
	Part    float32
	Silent  float32
}

func bulletinToWire(b *roster.Bulletin) *bulletin {
	out := &bulletin{Totals: map[id.Region]totals{}}
	for _, n := range b.Notices {
		out.Notices = append(out.Notices, notice{
			Host: n.Host, Incarnation: n.Incarnation, AgeMS: uint32(min(n.Age.Milliseconds(), math.MaxUint32)),
			Leaving: n.Leaving, ReadsFailing: n.ReadsFailing, RequestRate: float32(n.RequestRate),
			Outcomes: outcomesToWire(n.ReleaseCounts), BadReleases: releasesToWire(n.BadReleases), Refusals: refusalsToWire(n.ReleaseCounts),
		})
	}
	for region, t := range b.Totals {
		out.Totals[region] = totalsToWire(t)
	}
	return out
}

func bulletinFromWire(b *bulletin) *roster.Bulletin {
	out := &roster.Bulletin{Totals: map[id.Region]quota.Totals{}}
	for _, n := range b.Notices {
		out.Notices = append(out.Notices, roster.Notice{
			Host: n.Host, Incarnation: n.Incarnation, Age: time.Duration(n.AgeMS) * time.Millisecond,
			Leaving: n.Leaving, ReadsFailing: n.ReadsFailing, RequestRate: positive(n.RequestRate),
			ReleaseCounts: outcomesFromWire(n.Outcomes, n.Refusals), BadReleases: releasesFromWire(n.BadReleases),
		})
	}
	for region, t := range b.Totals {
		out.Totals[region] = totalsFromWire(t)
	}
	return out
}

func totalsToWire(t quota.Totals) totals {
	out := totals{Weight: float32(t.Weight), Unreported: float32(t.Unreported), Stale: t.Stale}
	accounts := map[id.Account]bool{}
	for _, m := range []map[id.Account]float64{t.Demand, t.Part, t.Silent} {
		for account := range m {
			accounts[account] = true
		}
	}
	for _, a := range slices.Sorted(maps.Keys(accounts)) {
		out.Accounts = append(out.Accounts, accountTotal{
			Account: a, Demand: float32(t.Demand[a]), Part: float32(t.Part[a]), Silent: float32(t.Silent[a]),
		})
	}
	return out
}

func totalsFromWire(t totals) quota.Totals {
	out := quota.NewTotals()
	out.Weight, out.Unreported, out.Stale = positive(t.Weight), positive(t.Unreported), t.Stale
	for _, a := range t.Accounts {
		out.Demand[a.Account], out.Part[a.Account], out.Silent[a.Account] = positive(a.Demand), positive(a.Part), positive(a.Silent)
	}
	return out
}
