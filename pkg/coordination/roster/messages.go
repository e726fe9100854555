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
	// meshMessageInterval is the interval between the messages of a host in a full mesh.
	meshMessageInterval = 250 * time.Millisecond
	// hubMessageInterval is the interval between the messages of a host when there are hubs.
	hubMessageInterval = 400 * time.Millisecond
	// roundsPerFullRound is the number of rounds of which one brings idle followers a
	// bulletin, and their hub and all standbys a report on quotas. In the others a digest
	// shows that its sender is live.
	roundsPerFullRound = 3
	// newHubPeriod is how long a new hub sends all followers a bulletin in each round.
	newHubPeriod = 4 * time.Second
	// idleRequestRate is the rate of requests, per second, below which a follower is idle.
	idleRequestRate = 0.1
	// DepositInterval is the interval at which hosts deposit tokens with their hub.
	DepositInterval = hubMessageInterval
	// roundsPerRemoteRound is the number of rounds of messages in a full mesh of which one
	// goes to the hosts of other regions, too.
	roundsPerRemoteRound = 2
)

// Notice is what a hub relays about another host.
type Notice struct {
	Host id.Host
	// Incarnation is the incarnation that counted ReleaseCounts, 0 if there are none.
	Incarnation id.Incarnation
	// Age is the time since the host reported these figures.
	Age           time.Duration
	Leaving       bool
	ReadsFailing  bool
	RequestRate   float64
	ReleaseCounts map[release.RouteRelease]release.Counts
	BadReleases   []release.ID
}

// Bulletin is what a hub sends about other hosts: to its followers about all of them,
// and to remote hubs and remote senders about those of its own region.
type Bulletin struct {
	Notices []Notice
	// Totals are the summed quota reports of the hosts of each region.
	Totals map[id.Region]quota.Totals
}

// Outgoing is a message with the hosts to which it is to be sent. Bulletin may be nil.
type Outgoing struct {
	To       []id.Host
	Digest   *Digest
	Bulletin *Bulletin
}

// Due reports whether it is time to send messages, given when the last were sent.
func (r *Roster) Due(sentAt, now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meshed() {
		return now.Sub(sentAt) >= meshMessageInterval
	}
	return now.Sub(sentAt) >= hubMessageInterval
}

// NextMessages returns the messages to send now, given this host's own digest, and the
// hosts that it should be connected to; connect is nil in a full mesh. Each call begins
// a new round of messages and chooses the hubs anew. Type hubs states the roles of other
// hosts and what each gets; a host with several roles may get several messages.
func (r *Roster) NextMessages(own Digest, accounts []*desired.Account, now clock.Instant) (messages []Outgoing, connect []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hubs.noteRound(now)
	own.Unheard = r.unheard(now)
	if r.meshed() {
		return r.meshMessages(own), nil
	}
	r.rounds++
	remoteHubs := r.chooseHubs(hubStatus{own.ReadsFailing, own.Leaving}, now)
	h := &r.hubs
	// The hub and the standby keep the last report while none follows.
	kept := own
	kept.Quota, kept.QuotaKept = quota.Report{}, true
	toHub, toStandby := own, kept
	if r.rounds%roundsPerFullRound == 0 {
		toStandby = own
	} else if own.RequestRate < idleRequestRate && now.Sub(h.chosenSince[h.hub]) > newHubPeriod {
		toHub = kept
	}
	connectIDs := append([]id.Host{h.hub, h.standby}, remoteHubs...)
	if h.hub != r.self.ID {
		toHub.Follows = true
		messages = append(messages, Outgoing{To: []id.Host{h.hub}, Digest: &toHub})
	}
	if h.standby != "" {
		messages = append(messages, Outgoing{To: []id.Host{h.standby}, Digest: &toStandby})
	}
	// Only the hub sums the quota reports of single hosts. The standby gets them, too, so
	// that it can take over. All others get the digest without them.
	withoutQuota := own
	withoutQuota.Quota = quota.Report{}
	if h.isHub(r.self.ID, now) {
		messages = append(messages, r.hubMessages(&withoutQuota, &own, remoteHubs, accounts, now)...)
		if lost, ok := r.nextLostHost(now); ok && h.hub == r.self.ID {
			connectIDs = append(connectIDs, lost)
			messages = append(messages, Outgoing{To: []id.Host{lost}, Digest: &withoutQuota})
		}
	} else {
		h.hubSince = 0
	}
	if replyTo := r.unanswered(remoteHubs, now); len(replyTo) > 0 {
		messages = append(messages, Outgoing{To: replyTo, Digest: &withoutQuota})
	}
	for _, host := range connectIDs {
		if m, known := r.listed[host]; known {
			connect = append(connect, m)
		}
	}
	return messages, connect
}

// meshMessages returns the message with the digest to the hosts of the region and,
// every roundsPerRemoteRound rounds, to all others. A leaving host sends to all hosts in
// each round.
func (r *Roster) meshMessages(own Digest) []Outgoing {
	r.rounds++
	allRegions := r.rounds%roundsPerRemoteRound == 0 || own.Leaving
	var to []id.Host
	for _, m := range r.members() {
		if allRegions || m.Region == r.self.Region {
			to = append(to, m.ID)
		}
	}
	if len(to) == 0 {
		return nil
	}
	return []Outgoing{{To: to, Digest: &own}}
}

// hubMessages returns the bulletins for the followers and for the other hubs. Their
// digest is withoutQuota; the quota report of own goes into the totals of the region.
func (r *Roster) hubMessages(withoutQuota, own *Digest, remoteHubs []id.Host, accounts []*desired.Account, now clock.Instant) []Outgoing {
	h := &r.hubs
	if h.hubSince == 0 {
		h.hubSince = now
	}
	if now.Sub(h.hubSince) >= gatherDelay {
		h.totals[r.self.Region] = regionTotals{Totals: r.sumRegion(own.Quota, accounts, now), receivedAt: now}
	}
	regional, global := Bulletin{Totals: map[id.Region]quota.Totals{}}, Bulletin{Totals: map[id.Region]quota.Totals{}}
	for _, m := range r.members() {
		state, known := r.states[m.ID]
		if !known || now.Sub(state.reportedAt) >= relayTimeout {
			continue
		}
		n := state.notice(now)
		global.Notices = append(global.Notices, n)
		if m.Region == r.self.Region {
			regional.Notices = append(regional.Notices, n)
		}
	}
	for region, t := range h.totals {
		if now.Sub(t.receivedAt) < relayTimeout {
			global.Totals[region] = t.Totals
		}
	}
	if t, known := global.Totals[r.self.Region]; known {
		regional.Totals[r.self.Region] = t
	}
	informed, idle := r.divideFollowers(global.Notices, now)
	var out []Outgoing
	if len(informed) > 0 {
		out = append(out, Outgoing{To: informed, Digest: withoutQuota, Bulletin: &global})
	}
	if len(idle) > 0 {
		out = append(out, Outgoing{To: idle, Digest: withoutQuota})
	}
	// The remote hubs and the remote senders may differ, because each host chooses from its
	// own view.
	otherHubs := union(remoteHubs, recent(h.remoteSenders, followerTimeout, now))
	if len(otherHubs) > 0 {
		out = append(out, Outgoing{To: otherHubs, Digest: withoutQuota, Bulletin: &regional})
	}
	return out
}

// divideFollowers returns the followers that get a bulletin in this round and the idle
// ones that do not. All get one while the hub is new, because many hosts may have started
// with it. While a release is evaluated, all get one in each round, because any
// host may be the one that decides on it.
func (r *Roster) divideFollowers(notices []Notice, now clock.Instant) (informed, idle []id.Host) {
	everyone := r.rounds%roundsPerFullRound == 0 || now.Sub(r.hubs.hubSince) < newHubPeriod
	for _, n := range notices {
		everyone = everyone || len(n.ReleaseCounts) > 0
	}
	for _, host := range recent(r.hubs.followers, followerTimeout, now) {
		if h, known := r.states[host]; !everyone && known && h.digest.RequestRate < idleRequestRate {
			idle = append(idle, host)
			continue
		}
		informed = append(informed, host)
	}
	return informed, idle
}

// notice returns what a hub relays about the host.
func (h *hostState) notice(now clock.Instant) Notice {
	d := &h.digest
	n := Notice{Host: d.Host.ID, Age: now.Sub(h.reportedAt), Leaving: d.Leaving, ReadsFailing: d.ReadsFailing, RequestRate: d.RequestRate, ReleaseCounts: d.ReleaseCounts, BadReleases: d.BadReleases}
	if len(d.ReleaseCounts) > 0 {
		n.Incarnation = d.Incarnation
	}
	return n
}

// unanswered returns the direct senders that have no role which brings them a message.
// They get a reply, because both ends close a connection on which they receive nothing.
// A remote sender is left out even while this host is no hub and sends it no bulletin.
func (r *Roster) unanswered(remoteHubs []id.Host, now clock.Instant) []id.Host {
	addressed := map[id.Host]bool{r.hubs.hub: true, r.hubs.standby: true}
	for _, set := range [][]id.Host{recent(r.hubs.followers, followerTimeout, now), recent(r.hubs.remoteSenders, followerTimeout, now), remoteHubs} {
		for _, host := range set {
			addressed[host] = true
		}
	}
	var out []id.Host
	for _, host := range recent(r.hubs.directSenders, followerTimeout, now) {
		if !addressed[host] {
			out = append(out, host)
		}
	}
	return out
}

// union returns the hosts of both lists without duplicates.
func union(a, b []id.Host) []id.Host {
	seen := map[id.Host]bool{}
	var out []id.Host
	for _, host := range append(append([]id.Host(nil), a...), b...) {
		if !seen[host] {
			seen[host] = true
			out = append(out, host)
		}
	}
	return out
}

// ReceiveBulletin merges the bulletin of a hub and returns the digests that were new.
func (r *Roster) ReceiveBulletin(from id.Host, b *Bulletin, now clock.Instant) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hubs.lastContact[from] = now
	sender, known := r.listed[from]
	if !known {
		return nil
	}
	// From a host of another region, no notices about this region are taken, and in totals
	// only those of its own region.
	otherRegion := sender.Region != r.self.Region
	if otherRegion {
		r.hubs.remoteSenders[from] = now
	}
	var out []Digest
	for _, n := range b.Notices {
		m, listed := r.listed[n.Host]
		if !listed || (otherRegion && m.Region == r.self.Region) {
			continue
		}
		if d, fresh := r.receiveNotice(m, n, now); fresh {
			out = append(out, d)
		}
	}
	for region, t := range b.Totals {
		if !otherRegion || region == sender.Region {
			r.hubs.totals[region] = regionTotals{Totals: t, receivedAt: now}
		}
		if region == r.self.Region {
			r.hubs.inherited = regionTotals{Totals: t, receivedAt: now}
		}
	}
	return out
}

// receiveNotice merges what a hub relayed about a host, and returns the digest and
// whether it was new. If it was not, the notice confirms the digest that is known.
func (r *Roster) receiveNotice(m Member, n Notice, now clock.Instant) (Digest, bool) {
	reportedAt := now.Add(-n.Age)
	old, known := r.states[m.ID]
	if known && reportedAt <= old.reportedAt {
		if !old.direct || !old.isLive(now) {
			old.direct, old.confirmedAt = false, now
		}
		return Digest{}, false
	}
	d := Digest{
		Incarnation: n.Incarnation, Host: m.Host, Leaving: n.Leaving, ReadsFailing: n.ReadsFailing,
		RequestRate: n.RequestRate, ReleaseCounts: n.ReleaseCounts, BadReleases: n.BadReleases,
	}
	if known {
		// Notices carry no quota reports; what the host last sent directly stays in use.
		d.Quota, d.HoldsPool = old.digest.Quota, old.digest.HoldsPool
	}
	r.states[m.ID] = &hostState{digest: d, reportedAt: reportedAt, confirmedAt: now}
	return d, true
}
