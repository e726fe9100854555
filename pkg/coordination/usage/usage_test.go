package usage

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// TestReportsAreTrueOrLeftOut guards against windows that are closed with two counts, accounts
// that are counted twice, and reports beyond the tolerance, whichever hosts are killed, cut
// off, restarted or chosen as holder, and whichever messages, writes and answers are lost.
func TestReportsAreTrueOrLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "losses"), 0))
		m.lose = func() bool { return random.IntN(20) == 0 }
		m.delay = func() int { return 1 + random.IntN(6) }
		m.loseAnswer = func() bool { return random.IntN(6) == 0 }
		m.run(16 * time.Second)
		for range rapid.IntRange(3, 8).Draw(t, "faults") {
			m.fault(t)
			m.run(time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond)
		}
		m.run(16 * time.Second)
		if errors := m.check(); len(errors) > 0 {
			t.Fatal(strings.Join(errors, "\n"))
		}
	})
}

// fault changes one host or the holder.
func (m *model) fault(t *rapid.T) {
	h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
	switch rapid.SampledFrom([]string{"kill", "start", "cut", "heal", "jump", "hold"}).Draw(t, "fault") {
	case "kill":
		// The accepted losses are those of one host since its last report: it is in contact.
		if h.alive && !h.cut && m.now.Sub(h.healedAt) >= time.Second && !m.anyDown() {
			m.kill(h)
		}
	case "start":
		for _, h := range m.hosts {
			if !h.alive {
				m.start(h)
			}
		}
	case "cut":
		h.cut = true
	case "heal":
		for _, h := range m.hosts {
			if h.cut {
				h.cut, h.healedAt = false, m.now
			}
		}
	case "jump":
		// Of the clocks that a collector hears, a minority may be wrong.
		for _, other := range m.hosts {
			other.ahead = 0
		}
		h.ahead = time.Duration(rapid.IntRange(-2400, 2400).Draw(t, "seconds")) * time.Second
	case "hold":
		if h.alive {
			m.take(h)
		}
	}
}

func (m *model) anyDown() bool {
	for _, h := range m.hosts {
		if !h.alive || m.now.Sub(h.changedAt) < 6*time.Second {
			return true
		}
	}
	return false
}

// TestWindowsAreReported guards against windows that are left out without need: without a
// fault, and when the holder is killed, a collector is lost, or a wall clock jumps.
func TestWindowsAreReported(t *testing.T) {
	for name, fault := range map[string]func(*model){
		"no fault":       func(*model) {},
		"holder killed":  func(m *model) { m.kill(m.hosts[0]); m.run(4 * time.Second); m.take(m.hosts[1]) },
		"host restarted": func(m *model) { m.kill(m.hosts[5]); m.run(time.Second); m.start(m.hosts[5]) },
		"clock jumped":   func(m *model) { m.hosts[1].ahead = 40 * time.Minute },
	} {
		m := newModel(3)
		m.steady = true
		m.run(32 * time.Second)
		fault(m)
		m.run(40 * time.Second)
		for _, e := range m.check() {
			t.Errorf("%s: %s", name, e)
		}
		first, last := testTerms.At(modelStart)+1, testTerms.At(m.now.Add(-testTerms.Due))-1
		for w := first; w <= last; w++ {
			if m.reported[w] == nil {
				t.Errorf("%s: window %d (%d after the start) is not reported: %s", name, w, w-first, m.leftOut[w])
			}
		}
	}
}

// TestOutageIsLeftOut guards against a report of a window in which all hosts lost what they
// had counted, also if no request comes after it.
func TestOutageIsLeftOut(t *testing.T) {
	for _, idle := range []bool{false, true} {
		m := newModel(2)
		m.run(32 * time.Second)
		for _, h := range m.hosts {
			m.kill(h)
		}
		outage := testTerms.At(m.now)
		m.run(time.Second)
		m.idle = idle
		for _, h := range m.hosts {
			m.start(h)
		}
		m.take(m.hosts[1])
		m.run(30 * time.Second)
		if got, reported := m.reported[outage]; reported {
			t.Errorf("idle %v: got a report of the window of the outage, %v, want none", idle, got)
		}
		for _, e := range m.check() {
			t.Errorf("idle %v: %s", idle, e)
		}
		if m.reported[outage+2] == nil {
			t.Errorf("idle %v: the window after the outage is not reported", idle)
		}
	}
}

// TestCollectorAppliesReportsInOrder guards against counts of a report that came late, and
// against a sum that lacks what a restarted collector was not sent.
func TestCollectorAppliesReportsInOrder(t *testing.T) {
	c := NewCollector("a", "r", testTerms, NewTimeAgreement())
	w := testTerms.At(modelStart)
	r := NewReporter(1)
	next := func(choir, small Count) *Report {
		windows := []WindowCounts{{Window: w, Counts: Counts{"choir": choir, "small": small}}}
		return r.Next(Report{Through: testTerms.End(w), Started: modelStart - 1}, windows, []id.Host{"a"})["a"]
	}
	apply := func(report *Report) id.Sequence { return c.Receive("b", report) }
	first, second := next(1, 5), next(2, 5)
	for i, want := range []Counts{{"choir": 2, "small": 5}, {"choir": 2, "small": 5}} {
		if apply([]*Report{second, first}[i]); c.Sum(w).Counts["choir"] != want["choir"] || c.Sum(w).Counts["small"] != want["small"] {
			t.Errorf("report %d: got %v, want %v", i, c.Sum(w).Counts, want)
		}
	}
	r.Confirm("a", 2)
	// The third report is lost. The fourth has the count of the second again.
	lost, fourth := next(3, 5), next(2, 5)
	if _, stated := lost.Windows[0].Counts["small"]; stated {
		t.Error("got an unchanged count in a report, want none")
	}
	if n, stated := fourth.Windows[0].Counts["choir"]; !stated || n != 2 {
		t.Errorf("got %v, want the count that was different in the report before", fourth.Windows[0].Counts)
	}
	c = NewCollector("a", "r", testTerms, NewTimeAgreement())
	if ack := apply(fourth); ack != 0 || c.Sum(w).Covered {
		t.Errorf("got a report applied that builds on one that was not received, ack %d", ack)
	}
}

// TestTimeAgreement guards against a time that follows a clock which jumped, the host's own
// included, or the clocks that seem slow because their messages waited during a pause.
func TestTimeAgreement(t *testing.T) {
	at := clock.Instant(time.Hour)
	late := func(d time.Duration) Time { return modelStart.Add(d) }
	for _, c := range []struct {
		name   string
		own    Time
		others []Time
		hosts  int
		agreed bool
	}{
		{"a single host", late(0), nil, 1, true},
		{"alone in a larger fleet", late(time.Hour), nil, 5, false},
		{"the other of two differs", late(0), []Time{late(time.Hour)}, 2, false},
		{"two that jumped together of nine", late(time.Hour), []Time{late(time.Hour)}, 9, false},
		{"own clock jumped", late(time.Hour), []Time{late(0), late(0), late(time.Millisecond)}, 4, true},
		{"halves differ", late(0), []Time{late(0), late(time.Minute), late(time.Minute)}, 4, false},
	} {
		a := NewTimeAgreement()
		for i, wall := range c.others {
			a.Heard(id.Host("host-"+string(rune('0'+i))), wall, at)
		}
		a.Agree(c.own, c.hosts, at)
		if got, agreed := a.Now(at); agreed != c.agreed || agreed && got.Sub(modelStart) > clockTolerance {
			t.Errorf("%s: got %v after the true time, agreed %v, want agreed %v", c.name, got.Sub(modelStart), agreed, c.agreed)
		}
	}
	a := NewTimeAgreement()
	hear := func(wall Time, now clock.Instant) {
		for _, h := range []id.Host{"b", "c", "d", "e"} {
			a.Heard(h, wall, now)
		}
	}
	a.Running(at)
	hear(late(0), at)
	a.Agree(late(0), 5, at)
	resumed := at.Add(10 * time.Second)
	a.Running(resumed)
	hear(late(time.Second), resumed)
	a.Agree(late(10*time.Second), 5, resumed)
	if got, _ := a.Now(resumed); got != late(10*time.Second) {
		t.Errorf("after a pause: got %v after the start, want 10s", got.Sub(modelStart))
	}
}

// TestMeterWithdraws guards against counting requests that did not run, twice withdrawn
// marks, and buckets of the ring's last round.
func TestMeterWithdraws(t *testing.T) {
	m := NewMeter(testTerms)
	at := clock.Instant(time.Hour)
	first, second := m.Begin("choir", at), m.Begin("choir", at)
	first.Withdraw()
	first.Withdraw()
	second.Ended(true, at.Add(time.Second))
	unanswered, answered := m.Begin("choir", at.Add(2*time.Second)), m.Begin("choir", at.Add(2*time.Second))
	unanswered.Ended(false, at.Add(time.Second))
	answered.Ended(true, at.Add(time.Second))
	m.Begin("", at)
	for _, c := range []struct {
		name     string
		from, to time.Duration
		want     Count
	}{{"all", 0, 3 * time.Second, 2}, {"first", 0, time.Second, 1}, {"answered early", time.Second, 2 * time.Second, 1}} {
		if got := m.Counts(at.Add(c.from), at.Add(c.to))["choir"]; got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
	round := buckets * shortestBucket
	m.Begin("choir", at.Add(round))
	second.Withdraw()
	if got := m.Counts(at.Add(round), at.Add(round+time.Second))["choir"]; got != 1 {
		t.Errorf("got %d after a round of the ring, want 1", got)
	}
	var none *Meter
	mark := none.Begin("choir", at)
	mark.Withdraw()
}
