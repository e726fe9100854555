package agent

import (
	"bytes"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/timeline"
)

// markState holds the withdrawals of keys that this host knows.
type markState struct {
	held map[key.Hash]bool
	// confirmed holds which hosts have confirmed each withdrawal.
	confirmed map[key.Hash]map[id.Host]bool
	// unrecorded holds withdrawals that the table is not known to hold.
	unrecorded map[key.Hash]bool
	calling    bool
	nextSpread clock.Instant
	dirty      bool
}

func newMarkState() markState {
	return markState{held: map[key.Hash]bool{}, confirmed: map[key.Hash]map[id.Host]bool{}, unrecorded: map[key.Hash]bool{}}
}

// spreadPause is the time after which an unconfirmed withdrawal is sent again.
const spreadPause = 200 * time.Millisecond

// Withdraw puts the withdrawal of a key in force here, and starts to spread and to record it.
func (a *Agent) Withdraw(now clock.Instant, h key.Hash) Output {
	a.hold([]key.Hash{h})
	a.marks.nextSpread = 0
	a.spreadMarks(now)
	return a.take()
}

// hold adds withdrawals and puts them in force at once.
func (a *Agent) hold(hashes []key.Hash) {
	for _, h := range hashes {
		if a.marks.held[h] {
			continue
		}
		a.marks.held[h] = true
		a.marks.confirmed[h] = map[id.Host]bool{}
		a.marks.dirty = true
		a.marks.unrecorded[h] = true
		a.record(timeline.KeyWithdrawn, h.String()[:8], "mark received")
	}
	a.publishRing()
}

func (a *Agent) publishRing() {
	if !a.marks.dirty {
		return
	}
	a.marks.dirty = false
	var records []key.Record
	for _, row := range a.replica.Rows(table.KeyPrefix) {
		records = append(records, *row.Grant)
	}
	hashes := make([]key.Hash, 0, len(a.marks.held))
	for h := range a.marks.held {
		hashes = append(hashes, h)
	}
	a.view.Ring.Store(key.NewRing(records, hashes))
}

// spreadMarks sends withdrawals to the hosts that have not confirmed them, and
// records them in the table.
func (a *Agent) spreadMarks(now clock.Instant) {
	a.publishRing()
	a.noteRecorded()
	if len(a.marks.held) == 0 || now < a.marks.nextSpread {
		return
	}
	a.marks.nextSpread = now.Add(spreadPause)
	for _, h := range a.knownHosts() {
		var missing []key.Hash
		for hash := range a.marks.held {
			if !a.marks.confirmed[hash][h] {
				missing = append(missing, hash)
			}
		}
		if len(missing) > 0 {
			a.send(h, Message{Marks: &Marks{Hashes: sorted(missing)}})
		}
	}
	a.recordMarks(now)
}

// pending returns the withdrawals that the complete rows do not cover, in order.
func (m *markState) pending() []key.Hash {
	var out []key.Hash
	for h := range m.unrecorded {
		out = append(out, h)
	}
	return sorted(out)
}

func sorted(hashes []key.Hash) []key.Hash {
	slices.SortFunc(hashes, func(x, y key.Hash) int { return bytes.Compare(x[:], y[:]) })
	return hashes
}

// forgetHost drops the confirmations of a host that has started anew.
func (m *markState) forgetHost(h id.Host) {
	for _, hosts := range m.confirmed {
		delete(hosts, h)
	}
}

// noteRecorded drops the withdrawals that the complete rows cover by now.
func (a *Agent) noteRecorded() {
	for h := range a.marks.unrecorded {
		row, ok := a.replica.Row(table.GrantKey(h))
		if ok && row.Grant.Withdrawn && row.Revision <= a.replica.Complete() {
			delete(a.marks.unrecorded, h)
		}
	}
}

// recordMarks writes unrecorded withdrawals to the table, all in one transaction.
func (a *Agent) recordMarks(now clock.Instant) {
	if a.marks.calling || len(a.marks.unrecorded) == 0 || a.replica.Complete() == 0 {
		return
	}
	txn := table.Txn{Operation: a.operation("withdraw")}
	for _, h := range a.marks.pending() {
		rec := key.Record{Hash: h, Withdrawn: true}
		if row, ok := a.replica.Row(table.GrantKey(h)); ok {
			if row.Grant.Withdrawn {
				continue
			}
			rec.Account = row.Grant.Account
		}
		k := table.GrantKey(h)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: k, Revision: a.replica.Revision(k)})
		txn.Puts = append(txn.Puts, table.Row{Key: k, Operation: txn.Operation, Grant: &rec})
	}
	if len(txn.Puts) == 0 {
		return
	}
	a.marks.calling = true
	a.call(Call{Txn: &txn}, func(done clock.Instant, answer Answer) {
		a.marks.calling = false
		a.marks.dirty = true
		if a.conflicted(done, answer) || answer.Err != nil {
			return
		}
		a.committed(done, txn, answer.Revision)
	})
}

func (a *Agent) receiveMarks(from id.Host, m *Marks) {
	a.hold(m.Hashes)
	for _, h := range m.Hashes {
		a.confirm(h, from)
	}
	a.send(from, Message{MarksHeld: &MarksHeld{Hashes: m.Hashes}})
}

func (a *Agent) receiveMarksHeld(from id.Host, m *MarksHeld) {
	for _, h := range m.Hashes {
		a.confirm(h, from)
	}
}

func (a *Agent) confirm(hash key.Hash, h id.Host) {
	if a.marks.confirmed[hash] != nil {
		a.marks.confirmed[hash][h] = true
	}
}

// Withdrawal tells where a withdrawal is in force.
type Withdrawal struct {
	InForce  []id.Host
	Missing  []id.Host
	Recorded bool
}

// WithdrawalOf reports on one withdrawal that was raised here or received.
func (a *Agent) WithdrawalOf(h key.Hash) Withdrawal {
	w := Withdrawal{InForce: []id.Host{a.self.Host}, Recorded: a.marks.held[h] && !a.marks.unrecorded[h]}
	for _, other := range a.knownHosts() {
		if a.marks.confirmed[h][other] {
			w.InForce = append(w.InForce, other)
			continue
		}
		w.Missing = append(w.Missing, other)
	}
	return w
}
