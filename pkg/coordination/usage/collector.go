package usage

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Presence is what a collector knows about whether a host serves requests.
type Presence int

// Presences of a host.
const (
	// InContact means that the host is heard, or that it may serve requests unheard.
	InContact Presence = iota
	// Ended means that the process of the host has ended.
	Ended
)

// ServingHost is a listed host as its collectors see it.
type ServingHost struct {
	Host     id.Host
	Region   id.Region
	Presence Presence
	// Rate is the rate of requests that the host last reported, per second.
	Rate float64
	// HeardAt is when the host last reported its state, 0 if it was not heard since this
	// process started. The others have no known rate.
	HeardAt clock.Instant
	// Incarnation is the process that was heard then, 0 if that is not known.
	Incarnation id.Incarnation
}

// Collector holds the counts that hosts of its region and the other regions' hubs have
// reported. It is used by one goroutine, or under a lock.
type Collector struct {
	self   id.Host
	region id.Region
	terms  Terms
	time   *TimeAgreement
	// hosts holds the reports of the hosts of the region, sums those of collectors, this
	// region's other collectors included.
	hosts, sums map[streamKey]*stream
	serving     []ServingHost
	// rates holds the recent rate of each host.
	rates map[id.Host]knownRate
	// interval is the interval between the reports of a host.
	interval time.Duration
	// since is the time from which hosts report to this collector without a gap, last that of
	// the last report.
	since, last Time
}

// streamKey identifies the reports of one process.
type streamKey struct {
	host        id.Host
	incarnation id.Incarnation
	region      id.Region
}

// stream is what the reports of one process have stated.
type stream struct {
	sequence         id.Sequence
	through, started Time
	// heardAt is when the process was last heard, also without a report.
	heardAt clock.Instant
	windows map[Window]*WindowCounts
}

// knownRate is the largest rate that a host reported lately. A host that restarts reports a
// low one at first, which says nothing about what it served before.
type knownRate struct {
	rate float64
	at   clock.Instant
}

// Tally is what is known about one window.
type Tally struct {
	Counts Counts
	// Missing is the estimated number of requests that are not in Counts.
	Missing float64
	// Covered reports whether a host ran before the window. Otherwise nobody can tell what
	// ran in it.
	Covered bool
}

// NewCollector returns a collector that has received nothing.
func NewCollector(self id.Host, region id.Region, terms Terms, agreement *TimeAgreement) *Collector {
	return &Collector{
		self: self, region: region, terms: terms, time: agreement, interval: terms.Interval(1),
		hosts: map[streamKey]*stream{}, sums: map[streamKey]*stream{}, rates: map[id.Host]knownRate{},
	}
}

// SetServing replaces the listed hosts of all regions, this one included, and the interval
// between the reports of hosts.
func (c *Collector) SetServing(hosts []ServingHost, interval time.Duration, now clock.Instant) {
	c.serving, c.interval = hosts, interval
	for _, h := range hosts {
		known := c.rates[h.Host]
		if h.HeardAt != 0 && (h.Rate >= known.rate || now.Sub(known.at) > c.terms.Window+c.terms.Due) {
			c.rates[h.Host] = knownRate{h.Rate, now}
		}
		if s := c.hosts[streamKey{h.Host, h.Incarnation, ""}]; s != nil {
			s.heardAt = h.HeardAt
		}
	}
}

// Receive applies the report of a host of the region or of a collector, and returns the
// sequence of the last report applied, to be confirmed to the sender.
func (c *Collector) Receive(from id.Host, r *Report) id.Sequence {
	set := c.hosts
	if r.Region != "" {
		set = c.sums
	} else {
		if r.Through.Sub(c.last) > clockTimeout {
			c.since = r.Through
		}
		c.last = max(c.last, r.Through)
	}
	key := streamKey{from, r.Incarnation, r.Region}
	s := set[key]
	if s == nil {
		s = &stream{windows: map[Window]*WindowCounts{}}
	}
	if r.Sequence <= s.sequence || r.Base > s.sequence {
		// An older report, or one that builds on a report that was not received.
		return s.sequence
	}
	set[key] = s
	s.sequence, s.through, s.started = r.Sequence, max(s.through, r.Through), r.Started
	for _, w := range r.Windows {
		c.merge(s, w, r.Base == 0)
	}
	return s.sequence
}

// merge applies the counts of one window to a stream. Counts that are stated replace
// earlier ones; whole reports whether all are stated.
func (c *Collector) merge(s *stream, w WindowCounts, whole bool) {
	held := s.windows[w.Window]
	if held == nil || whole {
		held = &WindowCounts{Window: w.Window, Counts: Counts{}}
		s.windows[w.Window] = held
	}
	held.Missing = w.Missing
	for account, n := range w.Counts {
		held.Counts[account] = n
	}
}

// Expire drops the windows whose reports are overdue, and processes that reported none of
// the others.
func (c *Collector) Expire(now Time) {
	first, _ := c.terms.open(now)
	for _, set := range []map[streamKey]*stream{c.hosts, c.sums} {
		for key, s := range set {
			for w := range s.windows {
				if w < first {
					delete(s.windows, w)
				}
			}
			if s.through < c.terms.Start(first) {
				delete(set, key)
			}
		}
	}
}

// Sum returns what this collector knows about a window in its region.
func (c *Collector) Sum(w Window) Tally {
	t := Tally{Counts: Counts{}}
	for _, s := range c.hosts {
		if held := s.windows[w]; held != nil {
			for account, n := range held.Counts {
				if n > 0 {
					t.Counts[account] += n
				}
			}
		}
		t.Covered = t.Covered || s.started <= c.terms.Start(w)
	}
	for _, h := range c.serving {
		if h.Region == c.region {
			t.Missing += c.missing(h, w)
		}
	}
	return t
}

// Sums returns the windows that have ended and whose reports are not due, for the other
// collectors. A window of which nobody can tell what ran in it is left out.
func (c *Collector) Sums(now Time) []WindowCounts {
	first, last := c.terms.open(now)
	var out []WindowCounts
	for w := first; w < last; w++ {
		if t := c.Sum(w); t.Covered {
			out = append(out, WindowCounts{Window: w, Counts: t.Counts, Missing: t.Missing})
		}
	}
	return out
}

// Total returns what is known about a window in all regions. In each region, the largest
// count of each account is used, because each collector's sum is a lower bound, and the
// smallest estimate of what is missing.
func (c *Collector) Total(w Window) Tally {
	own := c.Sum(w)
	byRegion := map[id.Region]*Tally{c.region: {Counts: own.Counts, Missing: own.Missing, Covered: own.Covered}}
	for key, s := range c.sums {
		held := s.windows[w]
		if held == nil {
			continue
		}
		t := byRegion[key.region]
		if t == nil {
			t = &Tally{Counts: Counts{}, Missing: held.Missing}
			byRegion[key.region] = t
		}
		if !t.Covered || held.Missing < t.Missing {
			t.Missing = held.Missing
		}
		t.Covered = true
		t.Counts.raise(held.Counts)
	}
	total := Tally{Counts: Counts{}}
	for _, t := range byRegion {
		for account, n := range t.Counts {
			total.Counts[account] += n
		}
		total.Covered = total.Covered || t.Covered
	}
	for region, missing := range c.estimates(w) {
		if t := byRegion[region]; t != nil && t.Covered {
			missing = t.Missing
		}
		total.Missing += missing
	}
	return total
}

// estimates returns, for each region with hosts, the requests of a window if no host of the
// region reports any.
func (c *Collector) estimates(w Window) map[id.Region]float64 {
	out := map[id.Region]float64{c.region: 0}
	for _, h := range c.serving {
		out[h.Region] += c.rate(h) * c.overlap(w, 0, c.terms.End(w)).Seconds()
	}
	return out
}

// rate returns the known rate of a host; for one that was not heard since this process
// started, the mean rate of the others.
func (c *Collector) rate(h ServingHost) float64 {
	if known, ok := c.rates[h.Host]; ok {
		return known.rate
	}
	sum := 0.0
	for _, known := range c.rates {
		sum += known.rate
	}
	return sum / float64(max(len(c.rates), 1))
}

// overlap returns how much of a window lies between two times.
func (c *Collector) overlap(w Window, from, to Time) time.Duration {
	return max(min(to, c.terms.End(w)).Sub(max(from, c.terms.Start(w))), 0)
}

// missing estimates the requests of a host in a window that its reports do not cover.
func (c *Collector) missing(h ServingHost, w Window) float64 {
	var known []*stream
	for key, s := range c.hosts {
		if key.host == h.Host {
			known = append(known, s)
		}
	}
	slices.SortFunc(known, func(a, b *stream) int { return cmp.Compare(a.started, b.started) })
	if len(known) == 0 {
		end := c.terms.End(w)
		if h.Presence == Ended {
			// It served while it was heard, or before this collector received reports.
			end = max(c.since, c.time.offset.At(h.HeardAt).Add(c.interval))
		}
		return c.rate(h) * c.overlap(w, 0, end).Seconds()
	}
	// An earlier process may have served until this one started.
	uncovered := c.overlap(w, 0, known[0].started)
	for i, s := range known {
		// A process that has ended reported until at most one interval before its end.
		end := max(s.through.Add(c.interval), c.time.offset.At(s.heardAt))
		switch {
		case i+1 < len(known):
			end = min(end, known[i+1].started)
		case h.Presence == InContact:
			end = c.terms.End(w)
		}
		uncovered += c.overlap(w, s.through, end)
	}
	return c.rate(h) * uncovered.Seconds()
}
