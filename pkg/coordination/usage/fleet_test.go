package usage

import (
	"fmt"
	"slices"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
)

// testTerms are the platform's usual bounds.
var testTerms = Terms{Window: 5 * time.Second, Due: 10 * time.Second, Tolerance: 0.05}

const (
	// modelTick is the interval between two requests of an account at a host.
	modelTick = 20 * time.Millisecond
	// modelStart is the true time at which a model starts, some years after 1970.
	modelStart = Time(50 * 365 * 24 * time.Hour)
	// noticeDelay is how long hosts take to notice that another one has ended or is back.
	noticeDelay = 2 * time.Second
)

var modelAccounts = []id.Account{"choir", "small"}

// modelHost is one host: its process, its clocks and its view of the others.
type modelHost struct {
	name        id.Host
	region      id.Region
	alive       bool
	incarnation id.Incarnation
	// origin is the true time of the origin of the monotonic clock, ahead the error of the
	// wall clock.
	origin Time
	ahead  time.Duration
	// changedAt is when the process last started or ended, cut whether the host is cut off,
	// heardAt when others could last hear it, healedAt when it was last cut off.
	changedAt, heardAt, healedAt Time
	cut                          bool

	startedAt clock.Instant
	meter     *Meter
	agreement *TimeAgreement
	collector *Collector
	own, sums *Reporter
	sentAt    clock.Instant
	ledger    *Ledger
	token     int
}

// model is a fleet of hosts on a simulated time, with a store and a platform.
type model struct {
	now   Time
	hosts []*modelHost
	// idle is set while there are no requests, steady if they come without bursts.
	idle, steady bool
	// lose reports whether the next message is lost.
	lose func() bool
	// late holds messages and writes on their way; delay returns how many ticks one takes.
	late  []delayed
	delay func() int

	// token is that of the host that holds the duty.
	token      int
	rows       map[int]ClosedWindow
	ver        mirror.Version
	loseAnswer func() bool

	truth, reported map[Window]Counts
	leftOut         map[Window]Reason
	errors          []string
}

// delayed is something that happens later.
type delayed struct {
	at Time
	do func()
}

func (m *model) after(ticks int, do func()) {
	m.late = append(m.late, delayed{m.now.Add(time.Duration(ticks) * modelTick), do})
}

// newModel returns a fleet of two regions whose hosts have run for some time.
func newModel(perRegion int) *model {
	m := &model{
		now: modelStart, rows: map[int]ClosedWindow{}, truth: map[Window]Counts{}, reported: map[Window]Counts{},
		leftOut: map[Window]Reason{}, lose: func() bool { return false }, loseAnswer: func() bool { return false }, delay: func() int { return 1 },
	}
	for i := range 2 * perRegion {
		h := &modelHost{name: id.Host(fmt.Sprintf("host-%d", i)), region: id.Region("ab"[i%2 : i%2+1]), origin: modelStart - Time(i)*Time(time.Hour) - Time(time.Hour)}
		m.hosts = append(m.hosts, h)
		m.start(h)
	}
	m.take(m.hosts[0])
	return m
}

func (h *modelHost) instant(t Time) clock.Instant { return clock.Instant(t - h.origin) }

func (m *model) start(h *modelHost) {
	h.alive, h.changedAt, h.startedAt = true, m.now, h.instant(m.now)
	h.incarnation++
	h.meter, h.agreement = NewMeter(testTerms), NewTimeAgreement()
	h.collector = NewCollector(h.name, h.region, testTerms, h.agreement)
	h.own, h.sums, h.sentAt = NewReporter(h.incarnation), NewReporter(h.incarnation), 0
	h.ledger, h.token = nil, 0
}

func (m *model) kill(h *modelHost) { h.alive, h.changedAt = false, m.now }

// live reports whether others take a host for running.
func (m *model) live(h *modelHost) bool {
	noticed := m.now.Sub(h.changedAt) >= noticeDelay
	return h.alive == noticed
}

// collectorsOf returns the collectors of a region: the first two live hosts.
func (m *model) collectorsOf(region id.Region) []*modelHost {
	var out []*modelHost
	for _, h := range m.hosts {
		if h.region == region && m.live(h) && len(out) < 2 {
			out = append(out, h)
		}
	}
	return out
}

// send delivers a message some milliseconds later, unless it is lost.
func (m *model) send(from, to *modelHost, r *Report) {
	if from.cut != to.cut || m.lose() {
		return
	}
	incarnation := to.incarnation
	m.after(m.delay(), func() {
		if to.alive && to.incarnation == incarnation {
			m.receive(from, to, r)
		}
	})
}

func (m *model) receive(from, to *modelHost, r *Report) {
	now := to.instant(m.now)
	to.agreement.Heard(from.name, r.Wall, now)
	if r.Agreed > 0 {
		to.agreement.Offered(from.name, r.Agreed, now)
	}
	reporter := to.own
	if r.Region != "" {
		reporter = to.sums
	}
	if r.Answers {
		reporter.Confirm(from.name, r.Ack)
		return
	}
	agreed, ok := to.agreement.Now(now)
	if !ok {
		agreed = 0
	}
	m.send(to, from, &Report{Wall: m.wall(to), Agreed: agreed, Ack: to.collector.Receive(from.name, r), Answers: true, Region: r.Region})
}

func (m *model) wall(h *modelHost) Time { return m.now.Add(h.ahead) }

// active reports whether an account has requests now: they come in bursts, so that counts in
// the wrong window show.
func (m *model) active(account id.Account) bool {
	if m.steady {
		return !m.idle
	}
	second := int64(m.now / Time(time.Second))
	if account == "choir" {
		return !m.idle && second%7 < 4
	}
	return !m.idle && second%11 < 7
}

// step advances the time by a tick, in which each active account has a request at each host.
func (m *model) step() {
	m.now = m.now.Add(modelTick)
	late := m.late
	m.late = nil
	for _, l := range late {
		if l.at > m.now {
			m.late = append(m.late, l)
			continue
		}
		l.do()
	}
	for _, h := range m.hosts {
		if !h.alive {
			continue
		}
		if !h.cut {
			h.heardAt = m.now
		}
		for _, account := range modelAccounts {
			if !m.active(account) {
				continue
			}
			h.meter.Begin(account, h.instant(m.now))
			w := testTerms.At(m.now)
			if m.truth[w] == nil {
				m.truth[w] = Counts{}
			}
			m.truth[w][account]++
		}
		h.agreement.Running(h.instant(m.now))
		m.exchange(h)
	}
	for _, h := range m.hosts {
		m.act(h)
	}
}

// exchange sends what a host would send.
func (m *model) exchange(h *modelHost) {
	now := h.instant(m.now)
	interval := testTerms.Interval(len(m.hosts))
	if now.Sub(h.sentAt) < interval {
		return
	}
	h.sentAt = now
	collectors := m.collectorsOf(h.region)
	collects := slices.Contains(collectors, h)
	if collects {
		h.agreement.Agree(m.wall(h), len(m.hosts), now)
	} else {
		h.agreement.Follow(names(collectors), now)
	}
	h.collector.SetServing(m.serving(h), interval, now)
	offset, agreed := h.agreement.Offset()
	receivers := append(m.collectorsOf("a"), m.collectorsOf("b")...)
	if !agreed {
		for _, c := range receivers {
			if collects || c.region == h.region {
				m.send(h, c, &Report{Wall: m.wall(h)})
			}
		}
		return
	}
	through := offset.At(now)
	h.collector.Expire(through)
	windows := HostReport(h.meter, testTerms, offset, through)
	reports := h.own.Next(Report{Wall: m.wall(h), Through: through, Started: offset.At(h.startedAt)}, windows, names(collectors))
	for _, c := range collectors {
		if c == h {
			h.own.Confirm(h.name, h.collector.Receive(h.name, reports[h.name]))
			continue
		}
		m.send(h, c, reports[c.name])
	}
	if !collects {
		return
	}
	sums := h.sums.Next(Report{Wall: m.wall(h), Agreed: through, Through: through, Region: h.region}, h.collector.Sums(through), names(receivers))
	for _, c := range receivers {
		if c != h {
			m.send(h, c, sums[c.name])
		}
	}
}

func names(hosts []*modelHost) []id.Host {
	var out []id.Host
	for _, h := range hosts {
		out = append(out, h.name)
	}
	return out
}

// serving returns what a host knows of the others: a cut off host may be serving.
func (m *model) serving(by *modelHost) []ServingHost {
	var out []ServingHost
	for _, h := range m.hosts {
		s := ServingHost{Host: h.name, Region: h.region, Rate: float64(len(modelAccounts)) * float64(time.Second/modelTick), HeardAt: by.instant(h.heardAt), Incarnation: h.incarnation}
		if m.idle || m.now.Sub(h.changedAt) < noticeDelay {
			// A host that has just started does not know its rate yet.
			s.Rate = 0
		}
		if h.cut == by.cut && !m.live(h) {
			s.Presence = Ended
		}
		out = append(out, s)
	}
	return out
}

// act lets a host close and report windows that holds the duty, or held it and does not know
// that it does not.
func (m *model) act(h *modelHost) {
	if h.token == 0 || !h.alive || m.now%Time(200*time.Millisecond) != 0 {
		return
	}
	now := h.instant(m.now)
	if h.ledger == nil {
		h.ledger = m.restored(h, now)
	}
	if w, ok := h.ledger.NextClose(h.collector, now); ok {
		m.close(h, w, now)
	}
	if h.ledger == nil {
		return
	}
	for _, l := range h.ledger.TakeLeftOut() {
		m.leftOut[l.Window] = l.Reason
	}
	if w, ok := h.ledger.NextReport(); ok {
		if before := m.reported[w.Window]; before != nil && fmt.Sprint(before) != fmt.Sprint(w.Counts) {
			m.errors = append(m.errors, fmt.Sprintf("window %d was reported with %v and %v", w.Window, before, w.Counts))
		}
		m.reported[w.Window] = w.Counts
		if !m.loseAnswer() {
			h.ledger.ConfirmReport(w.Window)
		}
	}
}

func (m *model) restored(h *modelHost, now clock.Instant) *Ledger {
	l := NewLedger(testTerms)
	at, _ := h.agreement.Now(now)
	var rows []ClosedWindow
	for _, r := range m.rows {
		rows = append(rows, r)
	}
	l.Restore(rows, at)
	return l
}

// close writes a closed window. A write without an answer may be applied later; the holder
// then lists the rows again. One whose write is refused for its token has lost the duty.
func (m *model) close(h *modelHost, w ClosedWindow, now clock.Instant) {
	token := h.token
	write := func() bool {
		if token != m.token || m.rows[SlotOf(w.Window)].Version != w.Version {
			return false
		}
		m.ver.Number++
		w.Version = m.ver
		m.rows[SlotOf(w.Window)] = w
		return true
	}
	switch {
	case m.loseAnswer():
		m.after(20*m.delay(), func() { write() })
		h.ledger = nil
	case write():
		h.ledger.ConfirmClose(w, m.ver)
	case token != m.token:
		h.token = 0
	default:
		h.ledger = m.restored(h, now)
	}
}

// take makes a host the holder.
func (m *model) take(h *modelHost) {
	m.token++
	h.ledger, h.token = nil, m.token
}

// run runs the model for some time.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now < end; {
		m.step()
	}
}

// check compares the reports with the truth.
func (m *model) check() []string {
	// The agreed time is late by what messages take, up to 0.1 s.
	slack := float64(len(m.hosts)) * float64(100*time.Millisecond/modelTick)
	out := m.errors
	for w, counts := range m.reported {
		for _, account := range modelAccounts {
			got, want := float64(counts[account]), float64(m.truth[w][account])
			if margin := testTerms.Tolerance*want + slack; got > want+margin || got < want-margin {
				out = append(out, fmt.Sprintf("window %d (%d after the start): got %.0f requests of %s, want %.0f", w, w-testTerms.At(modelStart), got, account, want))
			}
		}
	}
	return out
}
