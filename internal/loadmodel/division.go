package loadmodel

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"celerypin.example/celerypin/pkg/coordination/place"
	"celerypin.example/celerypin/pkg/coordination/room"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// Division is how hosts share what upstreams accept.
type Division string

// The divisions that an experiment compares.
const (
	// DivisionNone is no division: each host estimates the load of the others.
	DivisionNone Division = ""
	// DivisionParts is that of package room: by the request rates that hosts report.
	DivisionParts Division = "parts"
	// DivisionCredits is one by the upstream, which states with each answer how many
	// requests the host may have there.
	DivisionCredits Division = "credits"
	// DivisionSampled asks upstreams for their load before a request, if the last report
	// is old.
	DivisionSampled Division = "sampled"
)

const (
	// creditInterval is the time over which upstreams count the demand of hosts.
	creditInterval = time.Second
	// creditBytes is the size of a header with a credit in an answer, probeBytes that of a
	// question for the load and its answer, without those of the lower layers.
	creditBytes = 20
	probeBytes  = 100
	// probesPerRequest is the number of upstreams asked for a request at most, maxSampleAge
	// the age of a report from which they are asked: about the time of one known request.
	probesPerRequest = 2
	maxSampleAge     = 200 * time.Millisecond
)

// divisionPolicies returns the default placement with each division.
func divisionPolicies() []NamedPolicy {
	ownerOnly := place.DefaultPolicy()
	ownerOnly.Candidates = 1
	return []NamedPolicy{
		{"room_parts", "hosts divide what upstreams accept by their request rates", place.DefaultPolicy(), DivisionParts},
		{"room_parts_owner", "the same with the owner of an object alone", ownerOnly, DivisionParts},
		{"upstream_credits", "upstreams tell each host how many requests it may send", place.DefaultPolicy(), DivisionCredits},
		{"sampled_reports", "hosts ask two upstreams for their load, if the last report is old", place.DefaultPolicy(), DivisionSampled},
	}
}

// roomOf returns how many requests an upstream accepts, as hosts assume.
func roomOf(slots int) room.Places {
	return room.Places(float64(slots) * place.DefaultPolicy().QueueDepth)
}

// applyParts sets the limits of a host at the upstreams of its region.
func (m *model) applyParts(h *entryHost) {
	switch m.division {
	case DivisionParts:
		parts := map[id.Region]room.Parts{}
		for region, d := range h.divisions {
			parts[region] = d.Parts(m.now)
		}
		for _, u := range h.placer.Upstreams() {
			u.SetPart(parts[u.Info.Region].Of(u.Info.ID, roomOf(u.Info.Slots)))
		}
	case DivisionCredits:
		for _, u := range h.placer.Upstreams() {
			if credit, ok := h.credits[u.Info.ID]; ok {
				u.SetPart(credit)
			}
		}
	}
}

// heardReport is a host's request rate as the other hosts hear it, by the region in which
// the requests are expected to run.
type heardReport struct {
	host  id.Host
	rates map[id.Region]room.Rate
	at    clock.Instant
}

// exchangeRates gives each host the rates that the other hosts reported one interval ago.
// Demand is each region's part of all requests.
func (m *model) exchangeRates(demand map[id.Region]float64) {
	if m.division != DivisionParts {
		return
	}
	for _, h := range m.hosts {
		for _, r := range m.heard {
			for region, rate := range r.rates {
				h.divisions[region].Observe(r.host, rate, r.at)
			}
		}
	}
	m.heard = nil
	shares := m.regionShares(demand)
	for i, h := range m.hosts {
		report := heardReport{id.Host(fmt.Sprint(i)), map[id.Region]room.Rate{}, m.now}
		for region, d := range h.divisions {
			report.rates[region] = room.Rate(h.shares.RequestRate() * shares[[2]id.Region{h.region, region}])
			d.Sent(report.rates[region], m.now)
		}
		m.heard = append(m.heard, report)
	}
}

// minOverflow is the part of a region's requests for which the other regions provide at
// least: the placement lets 3 % overflow and moves the rest in small steps.
const minOverflow = 0.06

// regionShares returns which part of a region's requests is expected to run in each region,
// by the slots and the demand that all hosts know.
func (m *model) regionShares(demand map[id.Region]float64) map[[2]id.Region]float64 {
	slots, total := map[id.Region]float64{}, 0.0
	for _, u := range m.upstreams {
		if u.info.State == fleet.UpstreamLive {
			slots[u.info.Region] += float64(u.info.Slots)
			total += float64(u.info.Slots)
		}
	}
	out := map[[2]id.Region]float64{}
	for from := range demand {
		away := max(1-slots[from]/total/max(demand[from], 0.01), minOverflow)
		for to := range demand {
			out[[2]id.Region{from, to}] = away * slots[to] / max(total-slots[from], 1)
		}
		out[[2]id.Region{from, from}] = 1 - away
	}
	return out
}

// handOutCredit counts a host's demand at an upstream and states the host's part, by the
// demand of all hosts in the last interval. A host that the upstream knows gets one place
// at least.
func (m *model) handOutCredit(h *entryHost, u *upstream, to *place.Upstream) {
	if m.division != DivisionCredits {
		return
	}
	u.demand[h]++
	total := 0
	for _, n := range u.demand {
		total += n
	}
	own := u.demand[h] + u.lastDemand[h]
	for _, n := range u.lastDemand {
		total += n
	}
	credit := max(room.Places(math.Floor(float64(roomOf(u.info.Slots))*float64(own)/float64(total))), 1)
	h.credits[u.info.ID] = credit
	to.SetPart(credit)
	m.countBytes(creditBytes)
}

// rotateDemand begins a new interval of the demand at each upstream.
func (m *model) rotateDemand() {
	for _, u := range m.upstreams {
		u.lastDemand, u.demand = u.demand, map[*entryHost]int{}
	}
}

// sampleReports asks the upstreams that the host would choose for a request for their load,
// if the last report is older than maxSampleAge. The question takes no time here.
func (m *model) sampleReports(h *entryHost, c *class, object id.Object) {
	q := &place.Query{Service: c.Service, Release: currentRelease, Route: m.state.Routes[0], Object: object, Remaining: c.Timeout}
	for range probesPerRequest {
		choice, status := h.placer.Choose(q, m.now)
		if status != place.Chosen {
			return
		}
		choice.Done()
		if _, age := choice.Load(m.now); age <= maxSampleAge {
			return
		}
		running, waiting := m.byID[choice.Upstream.Info.ID].load()
		choice.Upstream.RecordReport(running, waiting, m.now)
		m.countBytes(probeBytes)
	}
}

func (m *model) countBytes(n int) {
	if m.now >= m.measuredFrom {
		m.result.ReportBytes += n
	}
}

// writeOverload writes what is reported for patterns of overload only.
func (c Comparison) writeOverload(w io.Writer) error {
	if len(c.Policies) == 0 || len(c.Policies[0].Runs) == 0 || c.Policies[0].Runs[0].UpperBound == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "policy\tupper bound\tlast %d s\tmedian ms\tp99 ms\tarrivals\tturned away\tbytes added\n", recoverySeconds)
	for i := range c.Policies {
		p := &c.Policies[i]
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%d\t%d\t%d\n", p.Policy.Name, p.mean(func(r *Result) float64 { return r.UpperBound }),
			p.mean(func(r *Result) float64 { return r.LastEarned }), p.mean(func(r *Result) float64 { return float64(r.MedianMs) }),
			p.mean(func(r *Result) float64 { return float64(r.P99Ms) }), p.total(func(r *Result) int { return r.UpstreamArrivals }),
			p.total(func(r *Result) int { return r.TurnedAway }), p.total(func(r *Result) int { return r.ReportBytes }))
	}
	return t.Flush()
}
