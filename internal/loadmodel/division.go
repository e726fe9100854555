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
	// DivisionSampled asks upstreams for their load with each request, so that the
	// reports by which a host chooses are younger.
	DivisionSampled Division = "sampled"
)

const (
	// creditInterval is the time over which upstreams count the demand of hosts.
	creditInterval = time.Second
	// creditBytes is the size of a header with a credit in an answer, probeBytes that of a
	// question for the load and its answer, without those of the lower layers.
	creditBytes = 20
	probeBytes  = 100
	// probesPerRequest is the number of upstreams asked with each request.
	probesPerRequest = 2
)

// divisionPolicies returns the default placement with each division.
func divisionPolicies() []NamedPolicy {
	return []NamedPolicy{
		{"room_parts", "hosts divide what upstreams accept by their request rates", place.DefaultPolicy(), DivisionParts},
		{"upstream_credits", "upstreams tell each host how many requests it may send", place.DefaultPolicy(), DivisionCredits},
		{"sampled_reports", "hosts ask two upstreams for their load with each request", place.DefaultPolicy(), DivisionSampled},
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
		parts := h.division.Parts(m.now)
		for _, u := range h.placer.Upstreams() {
			if u.Info.Region == h.region {
				u.SetPart(parts.Of(u.Info.ID, roomOf(u.Info.Slots)))
			}
		}
	case DivisionCredits:
		for _, u := range h.placer.Upstreams() {
			if credit, ok := h.credits[u.Info.ID]; ok {
				u.SetPart(credit)
			}
		}
	}
}

// heardReport is a rate as the other hosts of a region hear it.
type heardReport struct {
	host id.Host
	rate room.Rate
	at   clock.Instant
}

// exchangeRates gives each host the rates that the other hosts of its region reported
// one interval ago.
func (m *model) exchangeRates() {
	if m.division != DivisionParts {
		return
	}
	for _, h := range m.hosts {
		for _, r := range m.heard[h.region] {
			h.division.Observe(r.host, r.rate, r.at)
		}
	}
	m.heard = map[id.Region][]heardReport{}
	for i, h := range m.hosts {
		rate := room.Rate(h.shares.RequestRate())
		h.division.Sent(rate, m.now)
		m.heard[h.region] = append(m.heard[h.region], heardReport{id.Host(fmt.Sprint(i)), rate, m.now})
	}
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

// sampleReports records the present load of a few upstreams of the host's region.
func (m *model) sampleReports(h *entryHost) {
	var own []*place.Upstream
	for _, u := range h.placer.Upstreams() {
		if u.Info.Region == h.region {
			own = append(own, u)
		}
	}
	for range min(probesPerRequest, len(own)) {
		u := own[m.rng.IntN(len(own))]
		running, waiting := m.byID[u.Info.ID].load()
		u.RecordReport(running, waiting, m.now)
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
