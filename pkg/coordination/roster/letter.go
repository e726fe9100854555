package roster

import (
	"time"

	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	// letterInterval is the interval between messages of a host.
	letterInterval = 250 * time.Millisecond
	// hubbedInterval is the same if there are hubs.
	hubbedInterval = 400 * time.Millisecond
	// farEvery is how many messages to hosts of the region there are for one to
	// others, while there are no hubs.
	farEvery = 2
)

// Notice is what a hub says of another host.
type Notice struct {
	Host id.Host
	// Incarnation is that of Outcomes, 0 if there are none.
	Incarnation id.Incarnation
	// Age is how long ago the host said it.
	Age          time.Duration
	Leaving      bool
	ReadsFailing bool
	RequestRate  float64
	Outcomes     map[release.Subject]release.Counts
	BadReleases  []release.ID
}

// Bulletin is what a hub tells its followers of all hosts, and other hubs of
// those of its region.
type Bulletin struct {
	Notices []Notice
	// Totals sum up what the hosts of regions told of the accounts' quotas.
	Totals map[id.Region]quota.Totals
}

// Outgoing is a message to some hosts.
type Outgoing struct {
	To       []id.Host
	Digest   *Digest
	Bulletin *Bulletin
}

// Due tells whether it is time to send letters.
func (r *Roster) Due(sentAt, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meshed() {
		return now.Sub(sentAt) >= letterInterval
	}
	return now.Sub(sentAt) >= hubbedInterval
}

// Messages returns what to send now, given what this host says of itself, and the
// hosts that it should be connected to.
func (r *Roster) Messages(own Digest, accounts []*desired.Account, now clock.Instant) (letters []Outgoing, connect []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meshed() {
		return r.meshLetters(own), nil
	}
	remote := r.choose(standing{own.ReadsFailing, own.Leaving}, now)
	h := &r.hubs
	wanted := append([]id.Host{h.current, h.standby}, remote...)
	if h.current != r.self.ID {
		asking := own
		asking.Follows = true
		letters = append(letters, Outgoing{To: []id.Host{h.current}, Digest: &asking})
	}
	if h.standby != "" {
		letters = append(letters, Outgoing{To: []id.Host{h.standby}, Digest: &own})
	}
	brief := own
	brief.Quota = quota.Report{}
	if h.serves(r.self.ID, now) {
		letters = append(letters, r.hubLetters(&brief, &own, remote, accounts, now)...)
		if lost, ok := r.lost(now); ok && h.current == r.self.ID {
			wanted = append(wanted, lost)
			letters = append(letters, Outgoing{To: []id.Host{lost}, Digest: &brief})
		}
	} else {
		h.followedSince = 0
	}
	if answers := r.unanswered(remote, now); len(answers) > 0 {
		letters = append(letters, Outgoing{To: answers, Digest: &brief})
	}
	for _, name := range wanted {
		if m, known := r.listed[name]; known {
			connect = append(connect, m)
		}
	}
	return letters, connect
}

// meshLetters sends the digest to the hosts of the region, and every other time
// to the others. A host that leaves says so at once.
func (r *Roster) meshLetters(own Digest) []Outgoing {
	r.rounds++
	far := r.rounds%farEvery == 0 || own.Leaving
	var to []id.Host
	for _, m := range r.members() {
		if far || m.Region == r.self.Region {
			to = append(to, m.ID)
		}
	}
	if len(to) == 0 {
		return nil
	}
	return []Outgoing{{To: to, Digest: &own}}
}

// hubLetters returns the bulletins to followers and to other hubs.
func (r *Roster) hubLetters(brief, own *Digest, remote []id.Host, accounts []*desired.Account, now clock.Instant) []Outgoing {
	h := &r.hubs
	if h.followedSince == 0 {
		h.followedSince = now
	}
	if now.Sub(h.followedSince) >= gatherTime {
		h.totals[r.self.Region] = regionTotals{Totals: r.sumRegion(own.Quota, accounts, now), at: now}
	}
	near, all := Bulletin{Totals: map[id.Region]quota.Totals{}}, Bulletin{Totals: map[id.Region]quota.Totals{}}
	for _, m := range r.members() {
		heard, known := r.digests[m.ID]
		if !known || now.Sub(heard.at) >= relayedFor {
			continue
		}
		n := heard.notice(now)
		all.Notices = append(all.Notices, n)
		if m.Region == r.self.Region {
			near.Notices = append(near.Notices, n)
		}
	}
	for region, t := range h.totals {
		if now.Sub(t.at) < relayedFor {
			all.Totals[region] = t.Totals
		}
	}
	if t, known := all.Totals[r.self.Region]; known {
		near.Totals[r.self.Region] = t
	}
	var out []Outgoing
	if followers := lately(h.followers, followedFor, now); len(followers) > 0 {
		out = append(out, Outgoing{To: followers, Digest: brief, Bulletin: &all})
	}
	others := merge(remote, lately(h.peers, followedFor, now))
	if len(others) > 0 {
		out = append(out, Outgoing{To: others, Digest: brief, Bulletin: &near})
	}
	return out
}

func (h *heard) notice(now clock.Instant) Notice {
	d := &h.digest
	n := Notice{Host: d.Host.ID, Age: now.Sub(h.at), Leaving: d.Leaving, ReadsFailing: d.ReadsFailing, RequestRate: d.RequestRate, Outcomes: d.Outcomes, BadReleases: d.BadReleases}
	if len(d.Outcomes) > 0 {
		n.Incarnation = d.Incarnation
	}
	return n
}

// unanswered returns the hosts that told this one something and get no other
// letter. Both ends give up a connection on which nothing comes.
func (r *Roster) unanswered(remote []id.Host, now clock.Instant) []id.Host {
	told := map[id.Host]bool{r.hubs.current: true, r.hubs.standby: true}
	for _, set := range [][]id.Host{lately(r.hubs.followers, followedFor, now), lately(r.hubs.peers, followedFor, now), remote} {
		for _, name := range set {
			told[name] = true
		}
	}
	var out []id.Host
	for _, name := range lately(r.hubs.askers, followedFor, now) {
		if !told[name] {
			out = append(out, name)
		}
	}
	return out
}

func merge(a, b []id.Host) []id.Host {
	seen := map[id.Host]bool{}
	var out []id.Host
	for _, name := range append(append([]id.Host(nil), a...), b...) {
		if !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	return out
}

// ReceiveBulletin takes what a hub said, and returns the digests that were new.
func (r *Roster) ReceiveBulletin(from id.Host, b *Bulletin, now clock.Instant) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hubs.spoke[from] = now
	sender, known := r.listed[from]
	if !known {
		return nil
	}
	far := sender.Region != r.self.Region
	if far {
		r.hubs.peers[from] = now
	}
	var out []Digest
	for _, n := range b.Notices {
		m, listed := r.listed[n.Host]
		if !listed || (far && m.Region == r.self.Region) {
			continue
		}
		if d, fresh := r.takeNotice(m, n, now); fresh {
			out = append(out, d)
		}
	}
	for region, t := range b.Totals {
		if !far || region == sender.Region {
			r.hubs.totals[region] = regionTotals{Totals: t, at: now}
		}
		if region == r.self.Region {
			r.hubs.inherited = regionTotals{Totals: t, at: now}
		}
	}
	return out
}

// takeNotice takes what a hub said of another host, unless later is known.
func (r *Roster) takeNotice(m Member, n Notice, now clock.Instant) (Digest, bool) {
	at := now.Add(-n.Age)
	old, known := r.digests[m.ID]
	if known && at <= old.at {
		if !old.direct || !old.lives(now) {
			old.direct, old.asOf = false, now
		}
		return Digest{}, false
	}
	d := Digest{
		Incarnation: n.Incarnation, Host: m.Host, Leaving: n.Leaving, ReadsFailing: n.ReadsFailing,
		RequestRate: n.RequestRate, Outcomes: n.Outcomes, BadReleases: n.BadReleases,
	}
	if known {
		// What the host told directly before is kept until it lapses.
		d.Quota = old.digest.Quota
	}
	r.digests[m.ID] = &heard{digest: d, at: at, asOf: now}
	return d, true
}
