package loadmodel

import (
	"fmt"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// startOverload schedules the load and the faults of a pattern of overload.
func (m *model) startOverload() {
	o := m.pattern.overload
	for _, u := range m.upstreams {
		u.maxQueue = overloadQueuePerSlot * u.info.Slots
	}
	c := &m.pattern.classes()[0]
	for r := range regions {
		for d := range domainsPerRegion {
			m.scheduleDomain(c, r, d, c.PerSecond/(regions*domainsPerRegion))
		}
	}
	m.after(m.pattern.WarmUp, m.startNoise)
	if o.drained {
		m.after(m.pattern.WarmUp+drainedAfter, m.drainDomain)
	}
	m.every(boundStep, m.sampleCapacity)
}

// knownTime returns the mean service time of a known object.
func knownTime(c *class) time.Duration {
	return time.Duration(float64(c.ServiceTime) * (1 - c.WarmSaving))
}

// scheduleDomain schedules the requests of one failure domain's callers as a Poisson
// process, whose rate follows the pattern by leaving requests out.
func (m *model) scheduleDomain(c *class, r, d int, rate float64) {
	o := m.pattern.overload
	hot := 1 + accountFraction(0)*(m.pattern.hotFactor-1)
	m.after(time.Duration(m.arrivals.ExpFloat64()/(rate*o.maxFactor()*hot)*float64(time.Second)), func() {
		elapsed := m.now.Sub(m.measuredFrom)
		factor := o.factor(r, d, elapsed)
		if elapsed >= 0 {
			factor *= hot
		}
		if m.arrivals.Float64()*o.maxFactor()*hot < factor {
			m.spawn(func() { m.sendFrom(c, r, d) })
		}
		m.scheduleDomain(c, r, d, rate)
	})
}

// sendFrom simulates a request of a caller of one failure domain.
func (m *model) sendFrom(c *class, r, d int) {
	start := m.now
	account := m.drawAccount()
	object := id.Object(fmt.Sprintf("%s-%d", c.Route, m.arrivals.IntN(c.Objects)))
	first := 0
	for region := range regions {
		for domain := range domainsPerRegion {
			if region < r || (region == r && domain < d) {
				first += m.pattern.hostsIn(region, domain)
			}
		}
	}
	host := m.hosts[first+m.arrivals.IntN(m.pattern.hostsIn(r, d))]
	if m.sampled {
		m.sampleReports(host, c, object)
	}
	m.sendTo(c, host, start, account, object)
}

// startNoise chooses the noisy upstreams and the phases of their periods.
func (m *model) startNoise() {
	want := 0.0
	for _, u := range m.upstreams {
		want += m.pattern.overload.noisyFraction
		if want >= 1 {
			want--
			u.noisy, u.phase = true, time.Duration(m.faults.Int64N(int64(2*noisyPeriod)))
		}
	}
}

// pace returns how long work takes at the upstream, in multiples of the usual.
func (u *upstream) pace(now clock.Instant) float64 {
	if u.noisy && (time.Duration(now)+u.phase)/noisyPeriod%2 == 1 {
		return noisyPace
	}
	return 1
}

// elapsed returns how long work takes that begins now, over the periods of the pace.
func (u *upstream) elapsed(work time.Duration) time.Duration {
	if !u.noisy {
		return work
	}
	now := u.sim.now
	for work > 0 {
		left := noisyPeriod - (time.Duration(now)+u.phase)%noisyPeriod
		pace := u.pace(now)
		if needed := time.Duration(float64(work) * pace); needed <= left {
			now = now.Add(needed)
			break
		}
		work -= time.Duration(float64(left) / pace)
		now = now.Add(left)
	}
	return now.Sub(u.sim.now)
}

// statedPace returns the pace that an upstream states with its answers, 0 if none.
func (o *overload) statedPace(u *upstream, now clock.Instant) float64 {
	if !o.paceStated {
		return 0
	}
	return u.pace(now)
}

// drainDomain takes the upstreams of the second region's first failure domain out of use.
// Requests that they have already accepted run to their end.
func (m *model) drainDomain() {
	for _, u := range m.upstreams {
		if u.info.FailureDomain == domainID(1, 0) {
			u.info.State = fleet.UpstreamDraining
		}
	}
}

// countUpstreamArrival counts a request that reached an upstream.
func (m *model) countUpstreamArrival(accepted bool) {
	if m.pattern.overload == nil || m.now < m.measuredFrom {
		return
	}
	m.result.UpstreamArrivals++
	if !accepted {
		m.result.TurnedAway++
	}
}

// limitedHosts returns the hosts whose reports decide on the quotas.
func (m *model) limitedHosts() []*entryHost {
	if m.pattern.unlimitedAccounts() {
		return nil
	}
	return m.hosts
}
