package edge

import (
	"slices"
	"sync"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/gossip"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/coordination/usage"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
)

// agreementDelay is how long a host that has just started does not agree on a time by itself:
// hosts that start together find each other in about a second, and one that knows of no other
// would agree with its own clock.
const agreementDelay = 3 * time.Second

// usageExchange sends and receives the counts of requests by windows. The meter is used by
// requests; the mesh, the control loop and the duty's loop use the rest under the lock.
type usageExchange struct {
	host  *Host
	self  roster.Member
	log   *logging.Log
	terms usage.Terms
	meter *usage.Meter

	// started is the instant at which the host's process started.
	started clock.Instant
	// mu guards the fields below. It is held for some milliseconds at most.
	mu        sync.Mutex
	agreement *usage.TimeAgreement
	collector *usage.Collector
	// ownReports go to the collectors of the region, sums to those of other regions.
	ownReports, sums *usage.Reporter
	// refused holds when hosts last refused a connection.
	refused map[id.Host]clock.Instant
	sentAt  clock.Instant
	// agreed reports whether there was an agreed time at the last step; begun is set by the
	// first one.
	agreed, begun bool
}

// usageTerms returns the terms of usage reports, and whether the settings ask for them.
func usageTerms(s *platform.Settings) (usage.Terms, bool) {
	t := usage.Terms{Window: s.Bounds.ReportWindow, Due: s.Bounds.UsageDue, Tolerance: s.Bounds.UsageTolerance}
	return t, s.Duties.Includes(platform.DutyUsageReport) && t.Valid()
}

// newUsageExchange returns nil unless the settings ask for usage reports.
func newUsageExchange(h *Host, self roster.Member, log *logging.Log) *usageExchange {
	terms, wanted := usageTerms(h.settings.Load())
	if !wanted {
		return nil
	}
	agreement := usage.NewTimeAgreement()
	return &usageExchange{
		host: h, self: self, log: log, terms: terms, meter: usage.NewMeter(terms), started: h.clock.Now(),
		agreement: agreement, collector: usage.NewCollector(self.ID, self.Region, terms, agreement),
		ownReports: usage.NewReporter(self.Incarnation), sums: usage.NewReporter(self.Incarnation), refused: map[id.Host]clock.Instant{},
	}
}

// requestMeter returns the meter of requests, nil if they are not counted.
func (u *usageExchange) requestMeter() *usage.Meter {
	if u == nil {
		return nil
	}
	return u.meter
}

// receive applies a message of another host, and answers counts.
func (u *usageExchange) receive(from id.Host, r *usage.Report) {
	if u == nil {
		return
	}
	now := u.host.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.agreement.Heard(from, r.Wall, now)
	if r.Agreed > 0 {
		u.agreement.Offered(from, r.Agreed, now)
	}
	if r.Answers {
		u.reporter(r.Region).Confirm(from, r.Ack)
		return
	}
	answer := &usage.Report{Incarnation: u.self.Incarnation, Wall: u.wall(), Ack: u.collector.Receive(from, r), Answers: true, Region: r.Region}
	answer.Agreed = u.agreedNow(now)
	u.host.mesh.Send(from, gossip.Message{Usage: answer})
}

// reporter returns the reporter of the sums of a region, or that of this host's counts.
func (u *usageExchange) reporter(region id.Region) *usage.Reporter {
	if region != "" {
		return u.sums
	}
	return u.ownReports
}

func (u *usageExchange) wall() usage.Time { return usage.TimeOf(u.host.clock.Wall()) }

// agreedNow returns the agreed time, 0 if there is none.
func (u *usageExchange) agreedNow(now clock.Instant) usage.Time {
	t, agreed := u.agreement.Now(now)
	if !agreed {
		return 0
	}
	return t
}

// hasTime reports whether there is an agreed time.
func (u *usageExchange) hasTime() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, agreed := u.agreement.Offset()
	return agreed
}

// connectionRefused notes that the process of a host has ended.
func (u *usageExchange) connectionRefused(h id.Host) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refused[h] = u.host.clock.Now()
}

// step sends what is due. The control loop calls it in each of its steps. A leaving host
// sends in each of them, so that its last requests are counted.
func (u *usageExchange) step(now clock.Instant) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.agreement.Running(now)
	interval := u.terms.Interval(u.host.roster.StrongHosts(now))
	leaving := u.host.leaving.Load()
	if now.Sub(u.sentAt) < interval && !leaving {
		return
	}
	u.sentAt = now
	roles := u.host.roster.UsageRoles(u.host.copies.failing(), leaving, now)
	u.agree(roles, now)
	u.collector.SetServing(u.host.roster.ServingHosts(u.host.shares.RequestRate(), u.refused, now), interval, now)
	offset, agreed := u.agreement.Offset()
	if !agreed {
		// The collectors of all regions need each other's clocks for an agreement.
		u.send(append(slices.Clone(roles.Collectors), roles.SumReceivers...), func(id.Host) *usage.Report {
			return &usage.Report{Incarnation: u.self.Incarnation, Wall: u.wall()}
		})
		return
	}
	through := offset.At(now)
	u.collector.Expire(through)
	u.sendOwn(roles, offset, through)
	if roles.Collects && u.host.controller.listsSelf() {
		u.sendSums(roles, through)
	}
}

// agree renews the agreed time and logs when there is one and when there is none.
func (u *usageExchange) agree(roles roster.UsageRoles, now clock.Instant) {
	switch {
	case !roles.Collects:
		u.agreement.Follow(roles.Collectors, now)
	case u.host.controller.listsSelf() && now.Sub(u.started) >= agreementDelay:
		u.agreement.Agree(u.wall(), len(u.host.roster.Listed())+1, now)
	default:
		u.agreement.Follow(nil, now)
	}
	offset, agreed := u.agreement.Offset()
	if agreed != u.agreed || !u.begun {
		u.agreed, u.begun = agreed, true
		if !agreed {
			u.log.Warn("The hosts do not agree on the time; no requests are assigned to usage windows.")
			return
		}
		ahead := u.wall().Sub(offset.At(now))
		u.log.With("ahead_ms", ahead.Milliseconds()).Info("The hosts agree on the time.")
	}
}

// sendOwn sends the counts of this host.
func (u *usageExchange) sendOwn(roles roster.UsageRoles, offset usage.Offset, through usage.Time) {
	windows := usage.HostReport(u.meter, u.terms, offset, through)
	report := usage.Report{Wall: u.wall(), Through: through, Started: offset.At(u.started)}
	receivers := roles.Collectors
	if roles.Collects && !slices.Contains(receivers, u.self.ID) {
		receivers = append(slices.Clone(receivers), u.self.ID)
	}
	reports := u.ownReports.Next(report, windows, receivers)
	u.send(receivers, func(h id.Host) *usage.Report { return reports[h] })
}

// sendSums sends the sum of this host's region.
func (u *usageExchange) sendSums(roles roster.UsageRoles, through usage.Time) {
	report := usage.Report{Wall: u.wall(), Agreed: through, Through: through, Region: u.self.Region}
	reports := u.sums.Next(report, u.collector.Sums(through), roles.SumReceivers)
	u.send(roles.SumReceivers, func(h id.Host) *usage.Report { return reports[h] })
}

// send sends each host its report; that of this host is applied at once.
func (u *usageExchange) send(to []id.Host, report func(id.Host) *usage.Report) {
	for _, h := range to {
		r := report(h)
		if h == u.self.ID {
			u.ownReports.Confirm(h, u.collector.Receive(h, r))
			continue
		}
		u.host.mesh.Send(h, gossip.Message{Usage: r})
	}
}
