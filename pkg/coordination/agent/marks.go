package agent

import (
	"bytes"
	"time"

	"celerypin.example/celerypin/pkg/coordination/mark"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// markState holds the withdrawals of keys and of releases that this host knows.
type markState struct {
	keys     *mark.Set[key.Hash]
	releases *mark.Set[release.ID]
	// reasons holds why this host withdrew releases.
	reasons    map[release.ID]string
	inFlight   bool
	nextSpread clock.Instant
	// ringStale is set when the ring of keys must be published again.
	ringStale bool
}

func newMarkState() markState {
	return markState{
		keys:     mark.New(func(a, b key.Hash) int { return bytes.Compare(a[:], b[:]) }),
		releases: mark.New(release.Compare),
		reasons:  map[release.ID]string{},
	}
}

// spreadInterval is the time after which an unconfirmed withdrawal is sent again.
const spreadInterval = 200 * time.Millisecond

// Withdraw puts the withdrawal of a key in force at this host, and starts to send it to
// the other hosts and to record it in the table.
func (a *Agent) Withdraw(now clock.Instant, h key.Hash) Output {
	a.addMarks(Marks{Keys: []key.Hash{h}})
	a.spreadMarksNow(now)
	return a.takeOutput()
}

func (a *Agent) spreadMarksNow(now clock.Instant) {
	a.marks.nextSpread = 0
	a.spreadMarks(now)
}

// addMarks adds withdrawals and puts them in force at once.
func (a *Agent) addMarks(m Marks) {
	for _, h := range a.marks.keys.Add(m.Keys) {
		a.marks.ringStale = true
		a.record(timeline.KeyWithdrawn, h.String()[:8], "mark received")
	}
	for _, r := range a.marks.releases.Add(m.Releases) {
		a.record(timeline.ReleaseRetreated, string(r.Service)+" "+string(r.Release), orElse(a.marks.reasons[r], "mark received"))
		a.publishSplits()
	}
	a.publishRing()
}

func orElse(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

func (a *Agent) publishRing() {
	if !a.marks.ringStale {
		return
	}
	a.marks.ringStale = false
	var records []key.Record
	for _, row := range a.replica.Rows(table.KeyGrantPrefix) {
		records = append(records, *row.KeyGrant)
	}
	a.view.Ring.Store(key.NewRing(records, a.marks.keys.All()))
}

// updateUnrecordedMarks notes a withdrawal as recorded once a row of the local copy
// contains it, at a revision up to which the copy is complete. The withdrawal of a
// release also counts as recorded once the row is about another release. Heartbeats
// carry the unrecorded withdrawals only.
func (a *Agent) updateUnrecordedMarks() {
	covered := func(k table.Key, withdrawn func(table.Row) bool) bool {
		row, ok := a.replica.Row(k)
		return ok && withdrawn(row) && row.Revision <= a.replica.CompleteRevision()
	}
	a.marks.keys.UpdateRecorded(func(h key.Hash) bool {
		return covered(table.KeyGrantKey(h), func(row table.Row) bool { return row.KeyGrant.Withdrawn })
	})
	a.marks.releases.UpdateRecorded(func(r release.ID) bool {
		return covered(table.ReleaseKey(r.Service), func(row table.Row) bool {
			return row.Release.New != r.Release || row.Release.State == table.ReleaseRetreated
		})
	})
}

// spreadMarks sends withdrawals to the hosts that have not confirmed them, and writes
// them to the table.
func (a *Agent) spreadMarks(now clock.Instant) {
	a.publishRing()
	a.updateUnrecordedMarks()
	if now < a.marks.nextSpread {
		return
	}
	a.marks.nextSpread = now.Add(spreadInterval)
	for _, h := range a.knownHosts() {
		missing := Marks{Keys: a.marks.keys.Missing(h), Releases: a.marks.releases.Missing(h)}
		if len(missing.Keys)+len(missing.Releases) > 0 {
			a.send(h, Message{Marks: &missing})
		}
	}
	a.recordMarks()
}

// recordMarks writes all unrecorded withdrawals to the table in one transaction.
func (a *Agent) recordMarks() {
	if a.marks.inFlight || a.replica.CompleteRevision() == 0 {
		return
	}
	txn := table.Txn{Operation: a.newOperation("withdraw")}
	for _, h := range a.marks.keys.Unrecorded() {
		a.addKeyMark(&txn, h)
	}
	for _, r := range a.marks.releases.Unrecorded() {
		a.addReleaseMark(&txn, r)
	}
	if len(txn.Puts) == 0 {
		return
	}
	a.marks.inFlight = true
	a.call(Call{Txn: &txn}, func(done clock.Instant, answer Answer) {
		a.marks.inFlight = false
		a.marks.ringStale = true
		if a.applyConflict(done, answer) || answer.Err != nil {
			return
		}
		a.applyCommittedTxn(done, txn, answer.Revision)
	})
}

// addKeyMark adds the withdrawal of a key to the transaction, unless its row holds it.
func (a *Agent) addKeyMark(txn *table.Txn, h key.Hash) {
	rec := key.Record{Hash: h, Withdrawn: true}
	if row, ok := a.replica.Row(table.KeyGrantKey(h)); ok {
		if row.KeyGrant.Withdrawn {
			return
		}
		rec.Account = row.KeyGrant.Account
	}
	a.addConditionalPut(txn, table.Row{Key: table.KeyGrantKey(h), KeyGrant: &rec})
}

// addReleaseMark adds the withdrawal of a release to the transaction, unless the row of
// its service holds it or is about another release.
func (a *Agent) addReleaseMark(txn *table.Txn, r release.ID) {
	row, ok := a.replica.Row(table.ReleaseKey(r.Service))
	if !ok || row.Release.New != r.Release || row.Release.State == table.ReleaseRetreated {
		return
	}
	next := *row.Release
	next.State, next.Share, next.Reason = table.ReleaseRetreated, 0, orElse(a.marks.reasons[r], "withdrawn by a host")
	a.addConditionalPut(txn, table.Row{Key: row.Key, Release: &next})
}

// addConditionalPut adds a row on condition that it has not changed since it was read.
func (a *Agent) addConditionalPut(txn *table.Txn, row table.Row) {
	row.Operation = txn.Operation
	txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Revision: a.replica.Revision(row.Key)})
	txn.Puts = append(txn.Puts, row)
}

func (a *Agent) receiveMarks(from id.Host, m *Marks) {
	a.addMarks(*m)
	a.receiveMarksConfirmed(from, m)
	a.send(from, Message{MarksConfirmed: m})
}

func (a *Agent) receiveMarksConfirmed(from id.Host, m *Marks) {
	a.marks.keys.Confirm(m.Keys, from)
	a.marks.releases.Confirm(m.Releases, from)
}

// Propagation describes on which hosts a withdrawal is in force, and whether the
// table has recorded it.
type Propagation struct {
	InForce  []id.Host
	Missing  []id.Host
	Recorded bool
}

// KeyWithdrawal returns the propagation of a key's withdrawal, as far as this host knows.
func (a *Agent) KeyWithdrawal(h key.Hash) Propagation {
	return a.propagation(a.marks.keys.Recorded(h), func(other id.Host) bool { return a.marks.keys.Confirmed(h, other) })
}

// ReleaseWithdrawal returns the propagation of a release's withdrawal, as far as this
// host knows.
func (a *Agent) ReleaseWithdrawal(r release.ID) Propagation {
	return a.propagation(a.marks.releases.Recorded(r), func(other id.Host) bool { return a.marks.releases.Confirmed(r, other) })
}

func (a *Agent) propagation(recorded bool, confirmed func(id.Host) bool) Propagation {
	p := Propagation{InForce: []id.Host{a.self.Host}, Recorded: recorded}
	for _, other := range a.knownHosts() {
		if confirmed(other) {
			p.InForce = append(p.InForce, other)
			continue
		}
		p.Missing = append(p.Missing, other)
	}
	return p
}
