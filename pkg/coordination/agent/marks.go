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

// markState holds the withdrawals that this host knows: of keys and of releases.
type markState struct {
	keys     *mark.Set[key.Hash]
	releases *mark.Set[release.ID]
	// reasons tells why releases were withdrawn by this host.
	reasons    map[release.ID]string
	calling    bool
	nextSpread clock.Instant
	// ringDue tells that the ring of keys is out of date.
	ringDue bool
}

func newMarkState() markState {
	return markState{
		keys:     mark.New(func(a, b key.Hash) int { return bytes.Compare(a[:], b[:]) }),
		releases: mark.New(release.Compare),
		reasons:  map[release.ID]string{},
	}
}

// spreadPause is the time after which an unconfirmed withdrawal is sent again.
const spreadPause = 200 * time.Millisecond

// Withdraw puts the withdrawal of a key in force here, and starts to spread and to record it.
func (a *Agent) Withdraw(now clock.Instant, h key.Hash) Output {
	a.hold(Marks{Keys: []key.Hash{h}})
	a.spreadAtOnce(now)
	return a.take()
}

func (a *Agent) spreadAtOnce(now clock.Instant) {
	a.marks.nextSpread = 0
	a.spreadMarks(now)
}

// hold adds withdrawals and puts them in force at once.
func (a *Agent) hold(m Marks) {
	for _, h := range a.marks.keys.Add(m.Keys) {
		a.marks.ringDue = true
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
	if !a.marks.ringDue {
		return
	}
	a.marks.ringDue = false
	var records []key.Record
	for _, row := range a.replica.Rows(table.KeyPrefix) {
		records = append(records, *row.Grant)
	}
	a.view.Ring.Store(key.NewRing(records, a.marks.keys.All()))
}

// noteRecorded drops the withdrawals that the complete rows cover by now.
func (a *Agent) noteRecorded() {
	covered := func(k table.Key, withdrawn func(table.Row) bool) bool {
		row, ok := a.replica.Row(k)
		return ok && withdrawn(row) && row.Revision <= a.replica.Complete()
	}
	a.marks.keys.UpdateRecorded(func(h key.Hash) bool {
		return covered(table.GrantKey(h), func(row table.Row) bool { return row.Grant.Withdrawn })
	})
	a.marks.releases.UpdateRecorded(func(r release.ID) bool {
		return covered(table.ReleaseKey(r.Service), func(row table.Row) bool {
			return row.Release.New != r.Release || row.Release.State == table.ReleaseRetreated
		})
	})
}

// spreadMarks sends withdrawals to the hosts that have not confirmed them, and
// records them in the table.
func (a *Agent) spreadMarks(now clock.Instant) {
	a.publishRing()
	a.noteRecorded()
	if now < a.marks.nextSpread {
		return
	}
	a.marks.nextSpread = now.Add(spreadPause)
	for _, h := range a.knownHosts() {
		missing := Marks{Keys: a.marks.keys.Missing(h), Releases: a.marks.releases.Missing(h)}
		if len(missing.Keys)+len(missing.Releases) > 0 {
			a.send(h, Message{Marks: &missing})
		}
	}
	a.recordMarks()
}

// recordMarks writes unrecorded withdrawals to the table, all in one transaction.
func (a *Agent) recordMarks() {
	if a.marks.calling || a.replica.Complete() == 0 {
		return
	}
	txn := table.Txn{Operation: a.operation("withdraw")}
	for _, h := range a.marks.keys.Unrecorded() {
		a.addKeyMark(&txn, h)
	}
	for _, r := range a.marks.releases.Unrecorded() {
		a.addReleaseMark(&txn, r)
	}
	if len(txn.Puts) == 0 {
		return
	}
	a.marks.calling = true
	a.call(Call{Txn: &txn}, func(done clock.Instant, answer Answer) {
		a.marks.calling = false
		a.marks.ringDue = true
		if a.conflicted(done, answer) || answer.Err != nil {
			return
		}
		a.committed(done, txn, answer.Revision)
	})
}

func (a *Agent) addKeyMark(txn *table.Txn, h key.Hash) {
	rec := key.Record{Hash: h, Withdrawn: true}
	if row, ok := a.replica.Row(table.GrantKey(h)); ok {
		if row.Grant.Withdrawn {
			return
		}
		rec.Account = row.Grant.Account
	}
	a.addPut(txn, table.Row{Key: table.GrantKey(h), Grant: &rec})
}

func (a *Agent) addReleaseMark(txn *table.Txn, r release.ID) {
	row, ok := a.replica.Row(table.ReleaseKey(r.Service))
	if !ok || row.Release.New != r.Release || row.Release.State == table.ReleaseRetreated {
		return
	}
	next := *row.Release
	next.State, next.Share, next.Reason = table.ReleaseRetreated, 0, orElse(a.marks.reasons[r], "withdrawn by a host")
	a.addPut(txn, table.Row{Key: row.Key, Release: &next})
}

// addPut adds a row under the condition that it has not changed since it was read.
func (a *Agent) addPut(txn *table.Txn, row table.Row) {
	row.Operation = txn.Operation
	txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Revision: a.replica.Revision(row.Key)})
	txn.Puts = append(txn.Puts, row)
}

func (a *Agent) receiveMarks(from id.Host, m *Marks) {
	a.hold(*m)
	a.receiveMarksHeld(from, m)
	a.send(from, Message{MarksConfirmed: m})
}

func (a *Agent) receiveMarksHeld(from id.Host, m *Marks) {
	a.marks.keys.Confirm(m.Keys, from)
	a.marks.releases.Confirm(m.Releases, from)
}

// Propagation tells where a withdrawal is in force.
type Propagation struct {
	InForce  []id.Host
	Missing  []id.Host
	Recorded bool
}

// KeyWithdrawal reports on the withdrawal of a key that was raised here or received.
func (a *Agent) KeyWithdrawal(h key.Hash) Propagation {
	return a.withdrawal(a.marks.keys.Recorded(h), func(other id.Host) bool { return a.marks.keys.Confirmed(h, other) })
}

// ReleaseWithdrawal reports on the withdrawal of a release.
func (a *Agent) ReleaseWithdrawal(r release.ID) Propagation {
	return a.withdrawal(a.marks.releases.Recorded(r), func(other id.Host) bool { return a.marks.releases.Confirmed(r, other) })
}

func (a *Agent) withdrawal(recorded bool, confirmed func(id.Host) bool) Propagation {
	w := Propagation{InForce: []id.Host{a.self.Host}, Recorded: recorded}
	for _, other := range a.knownHosts() {
		if confirmed(other) {
			w.InForce = append(w.InForce, other)
			continue
		}
		w.Missing = append(w.Missing, other)
	}
	return w
}
