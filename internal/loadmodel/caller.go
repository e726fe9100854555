package loadmodel

import (
	"context"
	"fmt"
	"time"

	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	// maxCallerRetries is the maximum number of retries of a caller. It retries
	// requests that were not run, and idempotent requests that failed.
	maxCallerRetries = 1
	// maxWaitFraction bounds the delay before a retry that callers accept, as a
	// fraction of the time until their deadline.
	maxWaitFraction = 1.0 / 3
	// impatientRetryDelay is the delay before a retry of impatient callers, which
	// ignore Retry-After.
	impatientRetryDelay = 10 * time.Millisecond
)

// scheduleArrivals schedules the next request of a class, and then each following
// one, as a Poisson process.
func (m *model) scheduleArrivals(c *class) {
	rate := c.PerSecond * m.pattern.baseFactor
	if m.now >= m.measuredFrom {
		rate *= m.pattern.loadFactor * (1 + accountFraction(0)*(m.pattern.hotFactor-1))
	}
	m.after(time.Duration(m.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		m.spawn(func() { m.sendRequest(c) })
		m.scheduleArrivals(c)
	})
}

// sendRequest simulates a caller's request with its retries.
func (m *model) sendRequest(c *class) {
	start := m.now
	account := m.drawAccount()
	object := id.Object(fmt.Sprintf("%s-%d", c.Route, m.arrivals.IntN(c.Objects)))
	host := m.drawHost()
	m.sendTo(c, host, start, account, object)
}

// sendTo simulates a caller's request to a host with its retries.
func (m *model) sendTo(c *class, host *entryHost, start clock.Instant, account id.Account, object id.Object) {
	impatient := m.arrivals.Float64() < m.pattern.impatientFraction
	retries := m.pattern.callerRetries(impatient)
	attemptID := id.Attempt("model")
	if m.pattern.heavyRequests > 0 && m.arrivals.Float64() < m.pattern.heavyRequests {
		attemptID = heavyAttempt
	}
	for attempt := 0; ; attempt++ {
		remaining := c.Deadline - m.now.Sub(start)
		m.Sleep(context.Background(), callerLatency)
		decision := host.Serve(context.Background(), &steer.Request{
			Attempt: attemptID, VirtualHost: virtualHost, Path: "/" + string(c.Route) + "/", Object: object,
			Key: string(account), HasKey: true, Remaining: remaining, Arrived: m.now, Replayable: true,
		})
		m.Sleep(context.Background(), callerLatency)
		latency := m.now.Sub(start)
		m.recordHedge(&decision.Hedge)
		notRun := decision.Outcome == steer.Refused || decision.Outcome == steer.OverQuota
		delay := decision.RetryAfter
		if impatient {
			delay = impatientRetryDelay
		}
		retry := (notRun || (c.Idempotent && decision.Outcome != steer.Delivered)) && attempt < retries
		if !retry || float64(delay) > maxWaitFraction*float64(c.Deadline-latency) {
			m.record(c, account, host.region, decision.Outcome, decision.Reason, latency)
			m.recordArrival(c, start, decision.Reason)
			return
		}
		m.Sleep(context.Background(), delay)
	}
}

// drawAccount draws the account of a caller in proportion to the load of the
// accounts.
func (m *model) drawAccount() id.Account {
	hotFactor := 1.0
	if m.now >= m.measuredFrom {
		hotFactor = m.pattern.hotFactor
	}
	total := 1 + accountFraction(0)*(hotFactor-1)
	point := m.arrivals.Float64() * total
	for n := range accounts {
		fraction := accountFraction(n)
		if n == 0 {
			fraction *= hotFactor
		}
		if point -= fraction; point < 0 {
			return accountID(n)
		}
	}
	return accountID(accounts - 1)
}

// drawHost draws the host that a caller uses. Callers are spread evenly over the
// hosts, except for those that moved from the first failure domain to the last.
func (m *model) drawHost() *entryHost {
	n := m.arrivals.IntN(len(m.hosts))
	if n < hostsPerDomain && m.now >= m.measuredFrom && m.arrivals.Float64() < m.pattern.movedFraction {
		n += len(m.hosts) - hostsPerDomain
	}
	return m.hosts[n]
}

// recordHedge counts what became of a request's second copy.
func (m *model) recordHedge(r *steer.HedgeRecord) {
	if m.now < m.measuredFrom {
		return
	}
	switch {
	case r.Sent && r.Won:
		m.result.copiesWon++
		m.result.copies++
	case r.Sent:
		m.result.copies++
	case r.Suppressed != hedge.ReasonNone:
		m.result.suppressed[r.Suppressed]++
	}
}

// record counts a request in the result, unless the run is still in its warm-up.
func (m *model) record(c *class, account id.Account, region id.Region, outcome steer.Outcome, reason steer.Reason, latency time.Duration) {
	if m.now < m.measuredFrom {
		return
	}
	m.result.add(c, account, region, outcome, reason, latency, m.now.Sub(m.measuredFrom))
}
