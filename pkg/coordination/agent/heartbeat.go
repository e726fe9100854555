package agent

import (
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
	"celerypin.example/celerypin/pkg/state/unit"
)

// budgetReportInterval is the interval between two heartbeats that carry budget
// reports and outcomes.
const budgetReportInterval = 400 * time.Millisecond

// sendHeartbeats sends a heartbeat to all known hosts, when due.
func (a *Agent) sendHeartbeats(now clock.Instant) {
	if now < a.nextHeartbeat {
		return
	}
	a.nextHeartbeat = now.Add(a.timing.HeartbeatInterval)
	hb := Heartbeat{
		Incarnation: a.self.Incarnation, Region: a.self.Region, FailureDomain: a.self.FailureDomain,
		Leaving: a.lease.state == table.HostLeaving || a.lease.state == table.HostEnded || a.lease.stoppedAt != 0,
		Sent:    now, CompleteRevision: a.replica.CompleteRevision(), ConfigRevision: a.replica.Revision(table.ConfigKey),
		Marks: Marks{Keys: a.marks.keys.Unrecorded(), Releases: a.marks.releases.Unrecorded()},
	}
	hb.ReadAge = ageAt(now)(a.tracker.ReadAt())
	hb.TableReadAge = ageAt(now)(a.tracker.AnyReadAt())
	hb.TableRefusedAge = ageAt(now)(a.tracker.TableUnavailableAt())
	if now >= a.nextBudgetReports {
		a.nextBudgetReports = now.Add(budgetReportInterval)
		hb.Budgets = a.changedBudgetReports(now)
		hb.ReleaseCounts = a.ownReleaseCounts()
	}
	for _, h := range a.knownHosts() {
		addressed := hb
		if p := a.peers[h]; p != nil {
			addressed.Echo = p.lastSent
			addressed.EchoDelay = now.Sub(p.lastReceived)
		}
		a.send(h, Message{Heartbeat: &addressed})
	}
}

// fullReportRounds is the number of rounds after which the budget reports of all
// accounts are sent, changed or not, because any message may have been lost.
const fullReportRounds = 8

// changedBudgetReports returns the budget reports that differ significantly from what
// was last sent.
func (a *Agent) changedBudgetReports(now clock.Instant) []BudgetReport {
	a.budgetReportRounds++
	full := a.budgetReportRounds%fullReportRounds == 0
	var out []BudgetReport
	for _, report := range a.ownBudgetReports(now) {
		if full || reportsDiffer(a.sentBudgetReports[report.Account], report) {
			a.sentBudgetReports[report.Account] = report
			out = append(out, report)
		}
	}
	return out
}

// reportsDiffer reports whether two budget reports would lead to different decisions
// at other hosts.
func reportsDiffer(sent, current BudgetReport) bool {
	return sent.Account == "" || sent.AppliedRevision != current.AppliedRevision ||
		amountsDiffer(sent.Lendable, current.Lendable) || amountsDiffer(sent.Demand, current.Demand)
}

// amountsDiffer reports whether two amounts differ by more than a tenth and by more
// than a quarter of a token.
func amountsDiffer(a, b unit.Tokens) bool {
	difference := max(a-b, b-a)
	return difference > unit.Token/4 && difference*10 > max(a, b)
}

// ageAt returns a function that converts an instant, if known, into its age at now.
func ageAt(now clock.Instant) func(clock.Instant, bool) Age {
	return func(at clock.Instant, known bool) Age {
		if !known {
			return Age{}
		}
		return Age{Known: true, Elapsed: now.Sub(at)}
	}
}

// knownHosts returns the other hosts that this host sends messages to, sorted: all
// peers, and the hosts that have a row and have not ended.
func (a *Agent) knownHosts() []id.Host {
	var out []id.Host
	for _, row := range a.replica.Rows(table.HostPrefix) {
		if row.Host.ID != a.self.Host && row.Host.State != table.HostEnded {
			out = append(out, row.Host.ID)
		}
	}
	for h := range a.peers {
		if !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

// AddPeer adds a host that is contacted even before its row is known, such as one from
// the settings.
func (a *Agent) AddPeer(h id.Host) {
	if h != a.self.Host && a.peers[h] == nil {
		a.peers[h] = &peerState{budgetReports: map[id.Account]BudgetReport{}}
	}
}

// receiveHeartbeat handles a heartbeat. It ignores those of earlier incarnations, and
// those that arrive after one that was sent later.
func (a *Agent) receiveHeartbeat(now clock.Instant, from id.Host, hb *Heartbeat) {
	a.AddPeer(from)
	p := a.peers[from]
	if hb.Incarnation < p.incarnation {
		return
	}
	if hb.Incarnation > p.incarnation {
		*p = peerState{incarnation: hb.Incarnation, budgetReports: map[id.Account]BudgetReport{}}
		a.marks.keys.ResetHost(from)
		a.marks.releases.ResetHost(from)
	}
	if hb.Sent <= p.lastSent {
		return
	}
	p.region, p.failureDomain, p.leaving = hb.Region, hb.FailureDomain, hb.Leaving
	p.lastSent, p.lastReceived = hb.Sent, now
	p.completeRevision = max(p.completeRevision, hb.CompleteRevision)
	p.configRevision = max(p.configRevision, hb.ConfigRevision)
	for _, report := range hb.Budgets {
		p.budgetReports[report.Account] = report
	}
	a.storeReleaseCounts(from, hb.Incarnation, hb.ReleaseCounts)
	if len(hb.Marks.Keys)+len(hb.Marks.Releases) > 0 {
		a.addMarks(hb.Marks)
	}
	a.updateContact(now, from, hb)
	a.fetchMissing(now, from, hb)
}

// updateContact dates a heartbeat and all that it reports by this host's clock.
//
// The clocks of two hosts have no common zero, and the time in transit is not known.
// But the peer sent this heartbeat EchoDelay after it received the heartbeat of this
// host that Echo names, and that one was sent at Echo by this host's clock. So this
// heartbeat was sent at Echo plus EchoDelay or later: earliestSent. The difference to
// the actual instant is the time that the echoed heartbeat was in transit. The time
// that this heartbeat was in transit does not matter.
//
// All instants that the tracker gets here follow from earliestSent or Echo:
//   - The peer was alive at earliestSent or later, and has received what this host sent
//     at Echo.
//   - An event of age A at the peer occurred at earliestSent minus A or later.
//   - If this host has all rows up to the peer's CompleteRevision, it knows at least the
//     withdrawals that the peer knew at earliestSent, and its copy of the table is at
//     least as recent as the peer's.
//
// A date that is too early is on the safe side: the peer counts as in contact or synced,
// and the copy as fresh, for a shorter time. TableReadAge is the exception: if that read
// is dated too early, the table counts as unavailable too soon, by at most the time that
// the echoed heartbeat was in transit.
func (a *Agent) updateContact(now clock.Instant, from id.Host, hb *Heartbeat) {
	if hb.Echo == 0 || hb.EchoDelay < 0 {
		return
	}
	earliestSent := hb.Echo.Add(hb.EchoDelay)
	if earliestSent > now {
		return // the echo is wrong: the heartbeat has arrived already
	}
	wasInContact := a.tracker.InContact(from, now)
	a.tracker.RecordMessage(from, hb.Incarnation, earliestSent)
	a.tracker.RecordAcknowledgement(from, hb.Echo)
	if !wasInContact && a.tracker.InContact(from, now) {
		a.publishDue = true
		a.record(timeline.PeerInContact, string(from), "heartbeat received")
	}
	if hb.TableReadAge.Known {
		a.tracker.RecordPeerRead(earliestSent.Add(-hb.TableReadAge.Elapsed))
	}
	if hb.TableRefusedAge.Known {
		a.tracker.RecordPeerTableUnavailable(from, earliestSent.Add(-hb.TableRefusedAge.Elapsed))
	}
	if hb.CompleteRevision > a.replica.CompleteRevision() {
		return // this host may lack withdrawals that the peer knows
	}
	// The withdrawals that are not in rows yet are known too: receiveHeartbeat has added
	// the peer's marks before.
	a.tracker.RecordSync(from, earliestSent)
	if hb.ReadAge.Known && hb.CompleteRevision > 0 {
		a.tracker.RecordRelay(earliestSent.Add(-hb.ReadAge.Elapsed))
	}
}

// minFetchInterval is the shortest time between two requests for missing changes.
const minFetchInterval = 100 * time.Millisecond

// fetchMissing requests the missing changes from a host whose copy of the table is
// more recent.
func (a *Agent) fetchMissing(now clock.Instant, from id.Host, hb *Heartbeat) {
	if hb.CompleteRevision <= a.replica.CompleteRevision() || now < a.nextFetch {
		return
	}
	a.nextFetch = now.Add(minFetchInterval)
	a.send(from, Message{Fetch: &Fetch{After: a.replica.CompleteRevision()}})
}

// recordedState holds the states last recorded on the time line. Only changes are
// recorded.
type recordedState struct {
	inContact   map[id.Host]bool
	tableUp     bool
	keyedServed bool
}

// recordContactChanges records changes of contact with peers and with the table, and
// of whether keyed requests are served, on the time line.
func (a *Agent) recordContactChanges(now clock.Instant) {
	if a.recorded.inContact == nil {
		a.recorded.inContact = map[id.Host]bool{}
	}
	for _, h := range a.knownHosts() {
		inContact := a.tracker.InContact(h, now)
		if a.recorded.inContact[h] && !inContact {
			a.publishDue = true
			a.record(timeline.PeerSilent, string(h), "no heartbeat within the limit")
		}
		a.recorded.inContact[h] = inContact
	}
	tableUp := !a.tracker.TableUnavailableForAll(now)
	if _, known := a.tracker.AnyReadAt(); known && tableUp != a.recorded.tableUp {
		a.recorded.tableUp = tableUp
		a.recordChange(tableUp, timeline.StoreBack, timeline.StoreLost, "platform", "reads of the table, own and relayed")
	}
	if served := a.view.KeyedLease.Valid(now); served != a.recorded.keyedServed {
		a.recorded.keyedServed = served
		a.recordChange(served, timeline.KeyedServed, timeline.KeyedRefused, string(a.self.Host), "age of the knowledge of withdrawals")
	}
}

func (a *Agent) recordChange(good bool, onGood, onBad timeline.Kind, subject, reason string) {
	if good {
		a.record(onGood, subject, reason)
		return
	}
	a.record(onBad, subject, reason)
}
