package loadmodel

import (
	"cmp"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
)

// boundStep is the step in which the upper bound is computed.
const boundStep = 20 * time.Millisecond

// arrival is one counted request: when the caller first sent it, and the work that is left
// of it, in slots times nanoseconds.
type arrival struct {
	at   clock.Instant
	work float64
	// begun is set once the bound has worked on the request.
	begun bool
}

// recordArrival notes a request that counts towards the worth.
func (m *model) recordArrival(c *class, at clock.Instant, reason steer.Reason) {
	if m.pattern.overload == nil || m.now < m.measuredFrom || reason == steer.ReasonQuota {
		return
	}
	m.records = append(m.records, arrival{at: at, work: float64(knownTime(c))})
}

// sampleCapacity notes how many slots of the usual speed the upstreams have now.
func (m *model) sampleCapacity() {
	sum := 0.0
	for _, u := range m.upstreams {
		if u.info.State == fleet.UpstreamLive {
			sum += float64(u.info.Slots) / (u.slowdown * u.pace(m.now))
		}
	}
	m.capacity = append(m.capacity, sum)
}

// upperBound returns the fraction of the worth of the counted requests that one scheduler
// with full knowledge would earn at most. It is optimistic: all slots form one pool that
// any request may use in any part, all objects are known, the network takes no time, no
// request of the warm-up is left, upstreams queue without limit, and a request that is
// begun in time counts as answered in time. Requests of equal
// work, worth and objective are then best served in the order of their arrival, leaving
// out those whose objective has passed; these get what capacity is left.
func (m *model) upperBound() float64 {
	c := &m.pattern.classes()[0]
	slices.SortStableFunc(m.records, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	first := m.measuredFrom.Add(-m.pattern.WarmUp)
	var waiting, late []arrival
	earned, next := 0.0, 0
	for i, slots := range m.capacity {
		now := first.Add(time.Duration(i) * boundStep)
		for next < len(m.records) && m.records[next].at < now.Add(boundStep) {
			waiting = append(waiting, m.records[next])
			next++
		}
		work := slots * float64(boundStep)
		for len(waiting) > 0 && !waiting[0].begun && waiting[0].at.Add(c.Objective) <= now {
			late, waiting = append(late, waiting[0]), waiting[1:]
		}
		waiting = serve(waiting, &work, &earned, c.Worth)
		for len(late) > 0 && !late[0].begun && late[0].at.Add(c.Deadline) <= now {
			late = late[1:]
		}
		late = serve(late, &work, &earned, c.LateWorth)
	}
	return earned / max(float64(len(m.records))*c.Worth, 1)
}

// serve works on requests in order and returns those that are not done.
func serve(list []arrival, work, earned *float64, worth float64) []arrival {
	for len(list) > 0 && *work > 0 {
		done := min(*work, list[0].work)
		*work -= done
		list[0].begun = true
		if list[0].work -= done; list[0].work <= 0 {
			*earned += worth
			list = list[1:]
		}
	}
	return list
}
