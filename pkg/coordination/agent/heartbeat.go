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

// levelsInterval is the interval between two heartbeats that carry levels.
const levelsInterval = 400 * time.Millisecond

func (a *Agent) sendHeartbeats(now clock.Instant) {
	if now < a.nextHeartbeat {
		return
	}
	a.nextHeartbeat = now.Add(a.timing.Heartbeat)
	beat := Heartbeat{
		Incarnation: a.self.Incarnation, Region: a.self.Region, FailureDomain: a.self.FailureDomain,
		Leaving: a.lease.state == table.HostLeaving || a.lease.state == table.HostEnded || a.lease.stopped != 0,
		Sent:    now, Complete: a.replica.Complete(), Config: a.replica.Revision(table.ConfigKey),
		Marks: Marks{Keys: a.marks.keys.Unrecorded(), Releases: a.marks.releases.Unrecorded()},
	}
	beat.ReadAge = ageOf(now)(a.tracker.ReadAt())
	beat.TableReadAge = ageOf(now)(a.tracker.AnyReadAt())
	beat.TableRefusedAge = ageOf(now)(a.tracker.TableUnavailableAt())
	if now >= a.nextLevels {
		a.nextLevels = now.Add(levelsInterval)
		beat.Budgets = a.changedLevels(now)
		beat.Outcomes = a.ownOutcomes()
	}
	for _, h := range a.knownHosts() {
		personal := beat
		if p := a.peers[h]; p != nil {
			personal.Echo = p.theirSent
			personal.EchoDelay = now.Sub(p.receivedAt)
		}
		a.send(h, Message{Heartbeat: &personal})
	}
}

// fullLevels is the number of level reports after which all levels are sent,
// whether or not they have changed, because any message may have been lost.
const fullLevels = 8

// changedLevels returns the levels that differ from what was last sent by more
// than others need to know.
func (a *Agent) changedLevels(now clock.Instant) []BudgetReport {
	a.levelReports++
	full := a.levelReports%fullLevels == 0
	var out []BudgetReport
	for _, level := range a.ownLevels(now) {
		if full || differs(a.sentLevels[level.Account], level) {
			a.sentLevels[level.Account] = level
			out = append(out, level)
		}
	}
	return out
}

// differs tells whether two levels lead to different decisions elsewhere.
func differs(old, level BudgetReport) bool {
	return old.Account == "" || old.AppliedRevision != level.AppliedRevision ||
		far(old.Lendable, level.Lendable) || far(old.Demand, level.Demand)
}

// far tells whether two amounts differ by a tenth, and by a quarter of a token at least.
func far(a, b unit.Tokens) bool {
	gap := max(a-b, b-a)
	return gap > unit.Token/4 && gap*10 > max(a, b)
}

// ageOf turns an instant into an age at now.
func ageOf(now clock.Instant) func(clock.Instant, bool) Age {
	return func(at clock.Instant, known bool) Age {
		if !known {
			return Age{}
		}
		return Age{Known: true, Since: now.Sub(at)}
	}
}

// knownHosts returns the hosts to keep in contact with, in order.
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

// AddPeer tells the agent of a host from its settings, so that it is contacted
// even before its row is known.
func (a *Agent) AddPeer(h id.Host) {
	if h != a.self.Host && a.peers[h] == nil {
		a.peers[h] = &peerState{levels: map[id.Account]BudgetReport{}}
	}
}

func (a *Agent) receiveHeartbeat(now clock.Instant, from id.Host, beat *Heartbeat) {
	a.AddPeer(from)
	p := a.peers[from]
	if beat.Incarnation < p.incarnation {
		return
	}
	if beat.Incarnation > p.incarnation {
		*p = peerState{incarnation: beat.Incarnation, levels: map[id.Account]BudgetReport{}}
		a.marks.keys.ResetHost(from)
		a.marks.releases.ResetHost(from)
	}
	if beat.Sent <= p.theirSent {
		return
	}
	p.region, p.failureDomain, p.leaving = beat.Region, beat.FailureDomain, beat.Leaving
	p.theirSent, p.receivedAt = beat.Sent, now
	p.complete = max(p.complete, beat.Complete)
	p.config = max(p.config, beat.Config)
	for _, level := range beat.Budgets {
		p.levels[level.Account] = level
	}
	a.noteOutcomes(from, beat.Incarnation, beat.Outcomes)
	if len(beat.Marks.Keys)+len(beat.Marks.Releases) > 0 {
		a.hold(beat.Marks)
	}
	a.trust(now, from, beat)
	a.catchUp(now, from, beat)
}

// trust derives from the echo an instant at or after which the message was
// sent, and dates all it says by that instant.
func (a *Agent) trust(now clock.Instant, from id.Host, beat *Heartbeat) {
	if beat.Echo == 0 || beat.EchoDelay < 0 {
		return
	}
	sentAt := beat.Echo.Add(beat.EchoDelay)
	if sentAt > now {
		return
	}
	wasAlive := a.tracker.InContact(from, now)
	a.tracker.Received(from, beat.Incarnation, sentAt)
	a.tracker.Acknowledged(from, beat.Echo)
	if !wasAlive && a.tracker.InContact(from, now) {
		a.publishDue = true
		a.record(timeline.PeerHeard, string(from), "heartbeat received")
	}
	if beat.TableReadAge.Known {
		a.tracker.PeerRead(sentAt.Add(-beat.TableReadAge.Since))
	}
	if beat.TableRefusedAge.Known {
		a.tracker.PeerTableUnavailable(from, sentAt.Add(-beat.TableRefusedAge.Since))
	}
	if beat.Complete > a.replica.Complete() {
		return
	}
	a.tracker.Synced(from, sentAt)
	if beat.ReadAge.Known && beat.Complete > 0 {
		a.tracker.Relayed(sentAt.Add(-beat.ReadAge.Since))
	}
}

// fetchPause is the least time between two requests for missing changes.
const fetchPause = 100 * time.Millisecond

// catchUp asks a host that knows more of the table for what is missing here.
func (a *Agent) catchUp(now clock.Instant, from id.Host, beat *Heartbeat) {
	if beat.Complete <= a.replica.Complete() || now < a.fetchAfter {
		return
	}
	a.fetchAfter = now.Add(fetchPause)
	a.send(from, Message{Fetch: &Fetch{After: a.replica.Complete()}})
}

// notes holds what the time line was last told, so that only changes are told.
type notes struct {
	alive   map[id.Host]bool
	tableUp bool
	keyed   bool
}

// noteChanges records changes of contact on the time line.
func (a *Agent) noteChanges(now clock.Instant) {
	if a.notes.alive == nil {
		a.notes.alive = map[id.Host]bool{}
	}
	for _, h := range a.knownHosts() {
		alive := a.tracker.InContact(h, now)
		if a.notes.alive[h] && !alive {
			a.publishDue = true
			a.record(timeline.PeerSilent, string(h), "no heartbeat within the limit")
		}
		a.notes.alive[h] = alive
	}
	up := !a.tracker.TableUnavailableForAll(now)
	if _, known := a.tracker.AnyReadAt(); known && up != a.notes.tableUp {
		a.notes.tableUp = up
		a.recordChange(up, timeline.StoreBack, timeline.StoreLost, "platform", "reads of the table, own and relayed")
	}
	if keyed := a.view.KeyedLease.Valid(now); keyed != a.notes.keyed {
		a.notes.keyed = keyed
		a.recordChange(keyed, timeline.KeyedServed, timeline.KeyedRefused, string(a.self.Host), "age of the knowledge of withdrawals")
	}
}

func (a *Agent) recordChange(good bool, onGood, onBad timeline.Kind, subject, reason string) {
	if good {
		a.record(onGood, subject, reason)
		return
	}
	a.record(onBad, subject, reason)
}
