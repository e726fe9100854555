package loadmodel

import (
	"context"
	"fmt"
	"time"

	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	// callerRetries is how often a caller comes back after a refusal, or a failure if
	// the request may run again.
	callerRetries = 1
	// patientPart bounds the wait that callers accept, as a part of the time left.
	patientPart = 1.0 / 3
	// hurry is when impatient callers come back, whatever they are told.
	hurry = 10 * time.Millisecond
)

// arrivals lets the callers of a class come, at random.
func (m *model) arrivals(c *class) {
	rate := c.PerSecond
	if m.now >= m.started {
		rate *= m.pattern.burst * (1 + sizeOf(0)*(m.pattern.hot-1))
	}
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		m.start(func() { m.call(c) })
		m.arrivals(c)
	})
}

// call is the life of one caller's request, with its retries.
func (m *model) call(c *class) {
	began := m.now
	who := m.drawAccount()
	object := id.Object(fmt.Sprintf("%s-%d", c.Route, m.rng.IntN(c.Objects)))
	host := m.drawHost()
	impatient := m.rng.Float64() < m.pattern.impatient
	for try := 0; ; try++ {
		left := c.Deadline - m.now.Sub(began)
		m.Sleep(context.Background(), callerTrip)
		d := host.Serve(context.Background(), &steer.Request{
			Attempt: "model", VirtualHost: virtualHost, Path: "/" + string(c.Route) + "/", Object: object,
			Key: string(who), HasKey: true, Remaining: left, Arrived: m.now, Replayable: true,
		})
		m.Sleep(context.Background(), callerTrip)
		took := m.now.Sub(began)
		notRun := d.Outcome == steer.Refused || d.Outcome == steer.OverQuota
		wait := d.RetryAfter
		if impatient {
			wait = hurry
		}
		again := (notRun || (c.Repeatable && d.Outcome != steer.Delivered)) && try < callerRetries
		if !again || float64(wait) > patientPart*float64(c.Deadline-took) {
			m.count(c, who, host.region, d.Outcome, d.Reason, took)
			return
		}
		m.Sleep(context.Background(), wait)
	}
}

// drawAccount draws the account of a caller by size; a hot one sends more.
func (m *model) drawAccount() id.Account {
	hot := 1.0
	if m.now >= m.started {
		hot = m.pattern.hot
	}
	whole := 1 + sizeOf(0)*(hot-1)
	at := m.rng.Float64() * whole
	for n := range accounts {
		size := sizeOf(n)
		if n == 0 {
			size *= hot
		}
		if at -= size; at < 0 {
			return account(n)
		}
	}
	return account(accounts - 1)
}

// drawHost draws the host that a caller uses: callers are spread evenly over the
// hosts, but for those that have moved from the first failure domain to the last.
func (m *model) drawHost() *modelHost {
	n := m.rng.IntN(len(m.hosts))
	if n < hostsOfDomain && m.now >= m.started && m.rng.Float64() < m.pattern.moved {
		n += len(m.hosts) - hostsOfDomain
	}
	return m.hosts[n]
}

func (m *model) count(c *class, who id.Account, from id.Region, fate steer.Outcome, reason steer.Reason, took time.Duration) {
	if m.now < m.started {
		return
	}
	m.result.add(c, who, from, fate, reason, took, m.now.Sub(m.started))
}
