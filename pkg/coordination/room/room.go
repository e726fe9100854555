// Package room divides what an upstream can run and queue, its room, among the hosts of a
// region, so that all of them together do not send it more than it accepts. Every host
// computes its own part from the request rates that the hosts report to each other; no
// message is sent for the division itself.
//
// Parts are whole requests. With the same reports at all hosts, the parts of an upstream
// add up to its room exactly. While reports are on their way, the shares still add up to
// at most the whole, if no report that counts is older than Retention: a host uses the
// smallest rate that it has reported within that time, and at most the last one that
// others have heard. The rounding to whole requests can then differ by one for a host.
package room

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// Places is a number of requests at an upstream, running and waiting.
type Places int

// Rate is the rate of the requests that reach a host, per second.
type Rate float64

const (
	// Retention is how long the part of a silent host stays reserved: until then it may
	// still use it.
	Retention = 2 * time.Second
	// idleRate is added to each reported rate, so that a host without requests can
	// send its first ones before the others have heard of them.
	idleRate Rate = 1
	// maxRate bounds a reported rate, so that sums stay exact enough.
	maxRate Rate = 1e9
)

// report is the last report of another host.
type report struct {
	rate   Rate
	stated bool
	at     clock.Instant
}

// sent is a rate that this host has reported.
type sent struct {
	rate Rate
	at   clock.Instant
}

// Division holds the reports by which one host computes its parts. It is used by one
// goroutine; what requests need is in the Parts that it returns.
type Division struct {
	self    id.Host
	reports map[id.Host]report
	own     []sent
}

// New returns the division of a host that knows no other one.
func New(self id.Host) *Division {
	return &Division{self: self, reports: map[id.Host]report{}}
}

// Observe records the rate that another host of the region reported at the instant at.
// A report that is older than the last one is ignored.
func (d *Division) Observe(host id.Host, rate Rate, at clock.Instant) {
	d.observe(host, report{bounded(rate), true, at})
}

// ObserveLive records that another host of the region was live at the instant at, without
// a report of its rate.
func (d *Division) ObserveLive(host id.Host, at clock.Instant) {
	last := d.reports[host]
	d.observe(host, report{last.rate, last.stated, at})
}

func (d *Division) observe(host id.Host, r report) {
	if last, known := d.reports[host]; host != d.self && (!known || r.at >= last.at) {
		d.reports[host] = r
	}
}

// Remove forgets a host that has left and sends no request any more.
func (d *Division) Remove(host id.Host) { delete(d.reports, host) }

// Sent records that this host has reported a rate to the others.
func (d *Division) Sent(rate Rate, at clock.Instant) {
	d.own = append(d.own, sent{bounded(rate), at})
}

func bounded(rate Rate) Rate {
	if !(rate > 0) {
		return 0
	}
	return min(rate, maxRate)
}

// Parts is this host's share of every room. It is immutable.
type Parts struct {
	// from and to bound the host's interval between 0 and 1; the intervals of all hosts
	// do not overlap.
	from, to float64
}

// Parts returns the host's share at now. Reports older than Retention no longer count.
func (d *Division) Parts(now clock.Instant) Parts {
	ownWeight, ownStated := d.ownRate(now)
	stated, statedSum := 0, Rate(0)
	if ownStated {
		stated, statedSum = 1, ownWeight
	}
	hosts := []id.Host{d.self}
	for host, r := range d.reports {
		if now.Sub(r.at) > Retention {
			delete(d.reports, host)
			continue
		}
		hosts = append(hosts, host)
		if r.stated {
			stated, statedSum = stated+1, statedSum+r.rate
		}
	}
	// A host without a report counts as the mean of those with one: an even part.
	mean := statedSum / Rate(max(stated, 1))
	if !ownStated {
		ownWeight = mean
	}
	slices.SortFunc(hosts, func(x, y id.Host) int { return cmp.Compare(x, y) })
	var before, own, total Rate
	for _, host := range hosts {
		weight := idleRate
		switch r := d.reports[host]; {
		case host == d.self:
			weight += ownWeight
			before, own = total, weight
		case r.stated:
			weight += r.rate
		default:
			weight += mean
		}
		total += weight
	}
	return Parts{float64(before / total), float64((before + own) / total)}
}

// ownRate returns the smallest rate that this host has reported within Retention, and
// whether there is one. The last report counts however old it is.
func (d *Division) ownRate(now clock.Instant) (Rate, bool) {
	keep := 0
	for keep < len(d.own)-1 && now.Sub(d.own[keep].at) > Retention {
		keep++
	}
	d.own = slices.Delete(d.own, 0, keep)
	if len(d.own) == 0 {
		return 0, false
	}
	return slices.MinFunc(d.own, func(x, y sent) int { return cmp.Compare(x.rate, y.rate) }).rate, true
}

// Of returns how many requests this host may have at an upstream with the given room. The
// upstream's name decides which hosts get the places that cannot be divided, so that a host
// whose share is less than one place has one at some upstreams.
func (p Parts) Of(upstream id.Upstream, room Places) Places {
	offset := float64(xxhash.Sum64String(string(upstream))>>11) / (1 << 53)
	whole := func(bound float64) Places { return Places(math.Floor(bound*float64(max(room, 0)) + offset)) }
	return whole(p.to) - whole(p.from)
}

// Share returns the host's share of every room, between 0 and 1.
func (p Parts) Share() float64 { return p.to - p.from }
