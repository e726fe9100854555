package duty

import (
	"fmt"
	"math/rand/v2"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
)

// Times of the simulated fleet.
const (
	simStep      = 20 * time.Millisecond
	storeTimeout = 750 * time.Millisecond
	callTimeout  = 3 * time.Second
	// maxCallDelay is the longest time after which the simulated platform carries a call out.
	maxCallDelay = 5500 * time.Millisecond
)

// event is something that happens at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

// simHost is a host whose clock has an offset and a rate of its own.
type simHost struct {
	f           *simFleet
	name        id.Host
	incarnation id.Incarnation
	candidate   *Candidate
	offset      time.Duration
	rate        float64

	paused, dead, cut, ineligible, leaving bool
	// trapped makes the host pause right after its next write is sent.
	trapped bool
	// storeBusy and calling are set while the host waits for the store or for the platform.
	storeBusy, calling bool
	// inbox holds answers that arrived while the host was paused.
	inbox      []func()
	nextCallAt time.Duration
	acts       int
}

func (h *simHost) now() clock.Instant {
	return clock.Instant(time.Hour + h.offset + time.Duration(float64(h.f.now)*h.rate))
}

// simStore is what the simulated store holds.
type simStore struct {
	record  Record
	found   bool
	version mirror.Version
	written mirror.Version
	// decodable is false while the row holds something else than a record.
	decodable bool
}

// simFleet is a fleet with a store and a platform, which lose and delay calls and answers.
type simFleet struct {
	terms  Terms
	random *rand.Rand
	now    time.Duration
	events []event
	hosts  []*simHost
	calm   bool

	simStore
	// copies are the states of the store up to now, one for each step. While away is set, it
	// carries out no call.
	copies []simStore
	away   bool

	// sent is the highest token of a call that was sent, highest the highest token that the
	// platform has seen, users who used each token.
	sent     Token
	highest  Token
	users    map[Token]string
	lastExec map[id.Host]time.Duration
	lastHost id.Host
	// refused holds the tokens that the platform refused to their holders.
	refused map[Token]bool
	broken  string
	log     func(format string, args ...any)
}

func newSimFleet(terms Terms, hosts int, seed uint64) *simFleet {
	f := &simFleet{terms: terms, random: rand.New(rand.NewPCG(seed, 1)), simStore: simStore{decodable: true}, users: map[Token]string{}, lastExec: map[id.Host]time.Duration{},
		refused: map[Token]bool{}, log: func(string, ...any) {}}
	for i := range hosts {
		h := &simHost{f: f, name: id.Host(rune('a' + i)), rate: 0.955 + 0.045*float64(f.random.IntN(3)), offset: time.Duration(f.random.Int64N(int64(time.Hour)))}
		h.restart()
		f.hosts = append(f.hosts, h)
	}
	return f
}

// restart replaces the host's process. What the old one waits for no longer concerns it.
func (h *simHost) restart() {
	h.incarnation++
	h.candidate = New(Self{Host: h.name, Incarnation: h.incarnation}, h.f.terms)
	h.storeBusy, h.calling, h.leaving, h.dead, h.paused, h.inbox, h.acts = false, false, false, false, false, nil, 0
}

func (f *simFleet) chance(p float64) bool { return !f.calm && f.random.Float64() < p }

func (f *simFleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{f.now + d, do})
}

func (f *simFleet) delay() time.Duration {
	return 5*time.Millisecond + time.Duration(f.random.Int64N(int64(40*time.Millisecond)))
}

// run advances the simulation.
func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += simStep {
		f.copies = append(f.copies, f.simStore)
		due := f.events
		f.events = nil
		for _, e := range due {
			if e.at <= f.now {
				e.do()
			} else {
				f.events = append(f.events, e)
			}
		}
		for _, h := range f.hosts {
			h.step()
		}
	}
}

// deliver hands an answer to the process that waits for it, when it runs.
func (h *simHost) deliver(incarnation id.Incarnation, do func()) {
	if h.incarnation == incarnation && !h.dead {
		h.inbox = append(h.inbox, do)
	}
}

func (h *simHost) step() {
	if h.paused || h.dead {
		return
	}
	for _, do := range h.inbox {
		do()
	}
	h.inbox = nil
	if h.leaving && !h.calling {
		h.candidate.Leave()
	}
	if !h.storeBusy {
		if a := h.candidate.Next(!h.ineligible, 20*time.Millisecond, h.now()); a.Kind != Nothing {
			h.callStore(a)
		}
	}
	if !h.calling && h.f.now >= h.nextCallAt {
		if token, may := h.candidate.MayAct(h.now()); may {
			h.callPlatform(token)
		}
	}
}

// callStore sends a read or a write, of which the request or the answer may be lost or late.
func (h *simHost) callStore(a Action) {
	f, inc, c := h.f, h.incarnation, h.candidate
	h.storeBusy = true
	sentAt, answered := h.now(), false
	finish := func(do func()) {
		h.deliver(inc, func() {
			if !answered {
				answered, h.storeBusy = true, false
				do()
			}
		})
	}
	if a.Kind == Write {
		f.log("%s writes token %d released %v over version %v", h.name, a.Record.Token, a.Record.Released, a.Expected)
	}
	lostAnswer := f.chance(0.1) || h.cut
	requestDelay := f.delay()
	switch {
	case h.trapped && a.Kind == Write:
		h.trapped, h.paused, lostAnswer = false, true, f.chance(0.5)
		f.after(time.Second+time.Duration(f.random.Int64N(int64(4*time.Second))), func() { h.paused = false })
	case f.chance(0.05):
		requestDelay += time.Duration(f.random.Int64N(int64(8 * time.Second)))
	case h.cut || f.chance(0.03):
		requestDelay = -1
	}
	if requestDelay >= 0 {
		f.after(requestDelay, func() {
			if f.away {
				return
			}
			result := func() { c.ObserveRead(f.record, f.version, f.found, sentAt, h.now()) }
			if a.Kind == Read {
				record, version, found := f.readRow()
				result = func() { c.ObserveRead(record, version, found, sentAt, h.now()) }
			} else {
				r, version := f.apply(a)
				result = func() { c.ObserveWrite(r, version, sentAt, h.now()) }
			}
			if !lostAnswer {
				f.after(f.delay(), func() { finish(result) })
			}
		})
	}
	f.after(storeTimeout, func() {
		finish(func() {
			if a.Kind == Write {
				c.ObserveWrite(Unknown, mirror.Version{}, sentAt, h.now())
			}
		})
	})
}

// restore makes the store unavailable for a while. It comes back as it was a while before.
func (f *simFleet) restore(age, away time.Duration) {
	if f.away || len(f.copies) == 0 {
		return
	}
	era := f.version.Era + 1
	f.simStore = f.copies[max(0, len(f.copies)-1-int(age/simStep))]
	f.version.Era = era
	if f.found {
		f.written.Era = era
	}
	f.away = true
	f.after(away, func() { f.away = false })
	f.log("the store goes back to version %v", f.version)
}

func (f *simFleet) readRow() (Record, mirror.Version, bool) {
	if !f.found {
		return Record{}, f.version, false
	}
	if !f.decodable {
		return Record{}, f.written, true
	}
	return f.record, f.written, true
}

func (f *simFleet) apply(a Action) (Result, mirror.Version) {
	if f.random.IntN(3) == 0 {
		f.version.Number++ // another row is written
	}
	// The store knows no eras in conditions. The client sends no condition on an earlier era that
	// it knows of, but one may arrive that was sent before.
	if a.Expected.Number != f.written.Number {
		return Conflict, mirror.Version{}
	}
	f.version.Number++
	f.record, f.found, f.written, f.decodable = a.Record, true, f.version, true
	return Applied, f.version
}

// callPlatform makes a call, which may be carried out late after no answer.
func (h *simHost) callPlatform(token Token) {
	f, inc, c := h.f, h.incarnation, h.candidate
	if f.refused[token] {
		f.fail("%s calls with token %d again, which was refused", h.name, token)
	}
	if token < f.sent {
		f.fail("%s calls with token %d beside the holder of %d", h.name, token, f.sent)
	}
	f.sent = token
	h.calling, h.nextCallAt, h.acts = true, f.now+100*time.Millisecond, h.acts+1
	delay, late := f.delay(), f.chance(0.15)
	if late {
		delay = time.Duration(f.random.Int64N(int64(maxCallDelay)))
	}
	done := false
	finish := func(do func()) {
		h.deliver(inc, func() {
			if !done {
				done, h.calling = true, false
				do()
			}
		})
	}
	f.after(delay, func() {
		accepted := f.execute(h.name, inc, token)
		if !late {
			f.after(f.delay(), func() {
				finish(func() {
					if !accepted {
						f.refused[token] = true
						c.Refused(token, h.now())
					}
				})
			})
		}
	})
	f.after(callTimeout, func() { finish(func() {}) })
}

// execute is the platform's side of a call; it notes the first rule that a call breaks.
func (f *simFleet) execute(host id.Host, inc id.Incarnation, token Token) (accepted bool) {
	user := fmt.Sprintf("%s/%d", host, inc)
	if other, used := f.users[token]; used && other != user {
		f.fail("token %d of %s is used by %s", token, other, user)
	}
	f.users[token] = user
	if token < f.highest {
		if f.terms.Fenced {
			return false
		}
		f.fail("token %d of %s after %d", token, user, f.highest)
	}
	f.highest = token
	if at, before := f.lastExec[host]; before && f.lastHost != host && f.now-at < f.terms.Lease {
		f.fail("%s, %s, %s within %v", host, f.lastHost, host, f.now-at)
	}
	f.lastExec[host], f.lastHost = f.now, host
	f.log("the platform accepts token %d of %s", token, user)
	return true
}

func (f *simFleet) fail(format string, args ...any) {
	if f.broken == "" {
		f.broken = f.now.String() + ": " + fmt.Sprintf(format, args...)
	}
}
