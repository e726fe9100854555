// Package pick chooses the upstream that a request is sent to.
package pick

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

// Upstream is one upstream with what this host knows of it. The knowledge is
// shared by all snapshots that list the upstream.
type Upstream struct {
	Info fleet.Upstream
	*knowledge
}

// knowledge is what this host has learned of one upstream.
type knowledge struct {
	inFlight atomic.Int64
	// reported is the load that the upstream last reported, in slots.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// avoidUntil is the instant until which the worker gets no work, because it
	// shed load or failed.
	avoidUntil atomic.Int64
	// failures counts failures since the last success.
	failures atomic.Int64
	draining atomic.Bool
}

// Report records a load report of the upstream.
func (w *Upstream) Report(busy int, draining bool, now clock.Instant) {
	w.reported.Store(int64(busy))
	w.reportedAt.Store(int64(now))
	if draining {
		w.draining.Store(true)
	}
}

// MarkDraining records that the upstream said it is leaving. It never returns.
func (w *Upstream) MarkDraining() { w.draining.Store(true) }

// RecordShed records that the upstream refused work and asked for a pause.
func (w *Upstream) RecordShed(pause time.Duration, now clock.Instant) { w.avoid(now.Add(pause)) }

// failurePause is the first pause after a failure; it doubles with each further one.
const failurePause = 100 * time.Millisecond

// maxDoublings bounds the pause after many failures.
const maxDoublings = 6

// RecordFailure records that a request failed, whatever the upstream's health says.
func (w *Upstream) RecordFailure(now clock.Instant) {
	n := min(w.failures.Add(1)-1, maxDoublings)
	w.avoid(now.Add(failurePause << n))
}

// RecordSuccess records that a request was answered.
func (w *Upstream) RecordSuccess() {
	if w.failures.Load() != 0 {
		w.failures.Store(0)
	}
}

func (w *Upstream) avoid(until clock.Instant) {
	for {
		old := w.avoidUntil.Load()
		if int64(until) <= old || w.avoidUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// Done gives the slot back that Pick has taken.
func (w *Upstream) Done() { w.inFlight.Add(-1) }

// InFlight returns the requests that this host has at the upstream.
func (w *Upstream) InFlight() int64 { return w.inFlight.Load() }

// Usable tells whether the worker may be given new work.
func (w *Upstream) Usable(now clock.Instant) bool {
	return !w.draining.Load() && w.Info.State == fleet.UpstreamLive && int64(now) >= w.avoidUntil.Load()
}

// claim takes a slot if this host has one left.
func (w *Upstream) claim() bool {
	for {
		have := w.inFlight.Load()
		if have >= int64(w.Info.Slots) {
			return false
		}
		if w.inFlight.CompareAndSwap(have, have+1) {
			return true
		}
	}
}

// reportLimit is the age from which a load report says nothing.
const reportLimit = 3 * time.Second

// load estimates the used part of the worker's slots, in thousandths.
func (w *Upstream) load(now clock.Instant) int64 {
	busy := w.inFlight.Load()
	age := now.Sub(clock.Instant(w.reportedAt.Load()))
	if age < reportLimit {
		busy = max(busy, w.reported.Load())
	}
	return busy * 1000 / int64(max(w.Info.Slots, 1))
}

// Picker holds the workers of all services. The snapshot is replaced whole.
type Picker struct {
	services *rcu.Cell[map[id.Service]*pool]
	splits   *release.Splits
}

// pool lists a service's workers, of any release and of each one.
type pool struct {
	group
	releases map[id.Release]*group
}

// group lists workers, by region.
type group struct {
	all     []*Upstream
	regions map[id.Region][]*Upstream
}

func (g *group) add(w *Upstream) {
	if g.regions == nil {
		g.regions = map[id.Region][]*Upstream{}
	}
	g.all = append(g.all, w)
	g.regions[w.Info.Region] = append(g.regions[w.Info.Region], w)
}

// New returns a picker without workers that divides requests between releases by splits.
func New(splits *release.Splits) *Picker {
	return &Picker{services: rcu.New(map[id.Service]*pool{}), splits: splits}
}

// Update replaces the list of upstreams; counts of those that stay are kept.
func (p *Picker) Update(list []fleet.Upstream) {
	p.services.Update(func(old map[id.Service]*pool) map[id.Service]*pool {
		known := map[id.Upstream]*Upstream{}
		for _, service := range old {
			for _, w := range service.all {
				known[w.Info.ID] = w
			}
		}
		next := map[id.Service]*pool{}
		for _, info := range list {
			s := next[info.Service]
			if s == nil {
				s = &pool{releases: map[id.Release]*group{}}
				next[info.Service] = s
			}
			if s.releases[info.Release] == nil {
				s.releases[info.Release] = &group{}
			}
			w := keep(known[info.ID], info)
			s.add(w)
			s.releases[info.Release].add(w)
		}
		return next
	})
}

// keep returns the known worker if nothing about it has changed. A worker with
// another state shares what is known of it; another upstream under the same
// name begins anew.
func keep(w *Upstream, info fleet.Upstream) *Upstream {
	switch {
	case w == nil || w.Info.Address != info.Address || w.Info.Release != info.Release:
		return &Upstream{Info: info, knowledge: &knowledge{}}
	case w.Info == info:
		return w
	default:
		return &Upstream{Info: info, knowledge: w.knowledge}
	}
}

// Upstreams returns all workers of all services.
func (p *Picker) Upstreams() []*Upstream {
	var out []*Upstream
	for _, s := range *p.services.Load() {
		out = append(out, s.all...)
	}
	return out
}

// Status tells why no worker was picked.
type Status int

// Verdicts of Pick.
const (
	Picked Status = iota
	// Busy means that workers exist, but none has a free slot or accepts work now.
	Busy
	// NoUpstream means that the service has no worker.
	NoUpstream
)

// ChooseRelease returns the release that the next request of a service goes to, if the
// service is divided between two.
func (p *Picker) ChooseRelease(service id.Service) (chosen id.Release, divided bool) {
	split, divided := p.splits.Get(service)
	if !divided {
		return "", false
	}
	return split.Next(), true
}

// Pick takes a slot of a worker: of two random ones in the region the less
// loaded, or any that accepts work. Not lists workers that the request has
// tried already. The caller must call Done on the worker.
func (p *Picker) Pick(service id.Service, region id.Region, not []*Upstream, now clock.Instant) (*Upstream, Status) {
	s := (*p.services.Load())[service]
	if s == nil || len(s.all) == 0 {
		return nil, NoUpstream
	}
	return s.pick(region, not, now)
}

// PickRelease is Pick for a request that Choose has given to a release. If no
// worker of the new release accepts work, the old one takes the request; never
// the other way round, because that would exceed the new one's share.
func (p *Picker) PickRelease(service id.Service, chosen id.Release, region id.Region, not []*Upstream, now clock.Instant) (*Upstream, Status) {
	s := (*p.services.Load())[service]
	if s == nil || len(s.all) == 0 {
		return nil, NoUpstream
	}
	if g := s.releases[chosen]; g != nil {
		if w, verdict := g.pick(region, not, now); verdict == Picked {
			return w, Picked
		}
	}
	split, divided := p.splits.Get(service)
	if !divided || chosen != split.New || s.releases[split.Old] == nil {
		return nil, Busy
	}
	return s.releases[split.Old].pick(region, not, now)
}

func (g *group) pick(region id.Region, not []*Upstream, now clock.Instant) (*Upstream, Status) {
	if w := pickFrom(g.regions[region], not, now); w != nil {
		return w, Picked
	}
	if w := pickFrom(g.all, not, now); w != nil {
		return w, Picked
	}
	return nil, Busy
}

func pickFrom(workers []*Upstream, not []*Upstream, now clock.Instant) *Upstream {
	n := len(workers)
	if n == 0 {
		return nil
	}
	first, second := workers[rand.IntN(n)], workers[rand.IntN(n)]
	if second.load(now) < first.load(now) {
		first, second = second, first
	}
	if accepts(first, not, now) {
		return first
	}
	if accepts(second, not, now) {
		return second
	}
	start := rand.IntN(n)
	for i := range n {
		if w := workers[(start+i)%n]; accepts(w, not, now) {
			return w
		}
	}
	return nil
}

func accepts(w *Upstream, not []*Upstream, now clock.Instant) bool {
	for _, tried := range not {
		if tried.knowledge == w.knowledge {
			return false
		}
	}
	return w.Usable(now) && w.claim()
}
