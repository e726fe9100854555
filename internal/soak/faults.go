package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"celerypin.example/celerypin/internal/faultnet"
	"celerypin.example/celerypin/platform/standin"
)

const (
	// shortest and longest bound how long a fault lasts.
	shortest, longest = 500 * time.Millisecond, 5 * time.Second
	// meanGap is the mean time between the beginnings of faults, so that some overlap.
	meanGap = time.Second
	// graceTime is the time between SIGTERM and SIGKILL, leaveTime that for which a
	// leaving upstream serves on.
	graceTime, leaveTime = 6 * time.Second, 4 * time.Second
)

// fault lets something happen for a while. It gets its own source of chance, so
// that the schedule does not depend on timing.
type fault func(s *soak, rng *rand.Rand, d time.Duration)

var faults = []struct {
	name string
	do   fault
}{
	{"kill a host", killHost}, {"pause a host", pauseHost}, {"stop a host", stopHost}, {"tell a host to reload", reloadHost},
	{"kill several hosts", killSeveral}, {"store fails", failStore}, {"store turns hosts away", refuseHosts}, {"store forgets its history", forgetHistory},
	{"cut a host from the store", cutStore}, {"cut a host from others one way", cutOneWay}, {"reset connections between hosts", resetPeers},
	{"silence connections to upstreams", silenceUpstreams}, {"reset connections to upstreams", resetUpstreams}, {"delay an upstream", delayUpstream},
	{"upstream crashes", crashUpstream}, {"upstream leaves", drainUpstream},
	{"desired state changes", changeDesired}, {"key withdrawn", withdrawKey},
}

// play lets faults happen in series, some of which overlap.
func (s *soak) play(ctx context.Context) {
	var running sync.WaitGroup
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[s.rng.IntN(len(faults))]
		d := shortest + time.Duration(s.rng.Int64N(int64(longest-shortest)))
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 3))
		done := s.record.disturb()
		running.Go(func() {
			defer done()
			f.do(s, rng, d)
		})
		pause(ctx, time.Duration(s.rng.ExpFloat64()*float64(meanGap)))
	}
	running.Wait()
}

// heal ends whatever may still be wrong.
func (s *soak) heal() {
	s.store.SetMode(standin.Up)
	for _, h := range s.hosts {
		s.store.SetRefused(h.settings.Host.ID, false)
		for _, way := range []faultnet.Direction{faultnet.ToTarget, faultnet.FromTarget} {
			h.store.SetBlocked(way, false)
			h.peers.SetBlocked(way, false)
		}
	}
	s.say("all faults have ended")
}

func (s *soak) anyHost(rng *rand.Rand) *host { return s.hosts[rng.IntN(len(s.hosts))] }

// take reserves a living host for a fault of its process.
func (s *soak) take(rng *rand.Rand) (h *host, ok bool) {
	h = s.anyHost(rng)
	return h, h.lives()
}

func killHost(s *soak, rng *rand.Rand, d time.Duration) {
	if h, ok := s.take(rng); ok {
		s.kill(h, d)
	}
}

// kill kills a host's process, and starts another one after a while.
func (s *soak) kill(h *host, d time.Duration) {
	s.say("%s killed, back in %v", h.settings.Host.ID, d)
	h.signal(syscall.SIGKILL, false)
	h.end(time.Second)
	time.Sleep(d)
	s.restart(h)
}

func (s *soak) restart(h *host) {
	if err := h.start(); err != nil {
		s.record.broke("%s could not be started: %v", h.settings.Host.ID, err)
	}
}

func killSeveral(s *soak, rng *rand.Rand, d time.Duration) {
	var all sync.WaitGroup
	for _, h := range s.hosts {
		if rng.IntN(2) == 0 && h.lives() {
			all.Go(func() { s.kill(h, d/2) })
		}
	}
	all.Wait()
}

func pauseHost(s *soak, rng *rand.Rand, d time.Duration) {
	h, ok := s.take(rng)
	if !ok {
		return
	}
	s.say("%s paused for %v", h.settings.Host.ID, d)
	h.signal(syscall.SIGSTOP, true)
	time.Sleep(d)
	h.signal(syscall.SIGCONT, true)
}

// stopHost stops a host gracefully, as for a planned restart.
func stopHost(s *soak, rng *rand.Rand, d time.Duration) {
	h, ok := s.take(rng)
	if !ok {
		return
	}
	s.say("%s gets SIGTERM, back in %v", h.settings.Host.ID, d)
	s.record.stops(h.settings.Host.Address, time.Now())
	h.signal(syscall.SIGTERM, false)
	if !h.end(graceTime) {
		s.record.broke("%s still ran %v after SIGTERM", h.settings.Host.ID, graceTime)
		h.signal(syscall.SIGKILL, false)
		h.end(time.Second)
	}
	time.Sleep(d / 2)
	s.restart(h)
}

func reloadHost(s *soak, rng *rand.Rand, _ time.Duration) {
	h, ok := s.take(rng)
	if !ok {
		return
	}
	s.say("%s gets SIGHUP and changed settings", h.settings.Host.ID)
	h.settings.Bounds["quotaSlack"] = float64(18 + rng.IntN(3))
	if err := h.writeSettings(); err != nil {
		s.record.broke("settings could not be written: %v", err)
	}
	h.signal(syscall.SIGHUP, true)
}

func failStore(s *soak, rng *rand.Rand, d time.Duration) {
	modes := []standin.Mode{standin.Silent, standin.Busy, standin.Reset, standin.Slow, standin.LosingAnswers}
	names := []string{"silent", "busy", "resetting", "slow", "losing answers"}
	n := rng.IntN(len(modes))
	s.say("store %s for %v", names[n], d)
	s.store.SetMode(modes[n])
	time.Sleep(d)
	s.store.SetMode(standin.Up)
}

func refuseHosts(s *soak, rng *rand.Rand, d time.Duration) {
	for _, h := range s.hosts {
		if rng.IntN(3) == 0 {
			s.say("store turns %s away for %v", h.settings.Host.ID, d)
			s.store.SetRefused(h.settings.Host.ID, true)
			defer s.store.SetRefused(h.settings.Host.ID, false)
		}
	}
	time.Sleep(d)
}

func forgetHistory(s *soak, _ *rand.Rand, _ time.Duration) {
	s.say("store forgets its history")
	s.store.Compact()
}

func cutStore(s *soak, rng *rand.Rand, d time.Duration) {
	h := s.anyHost(rng)
	s.cut(h.store, "connections of "+string(h.settings.Host.ID)+" to the store", rng, d)
}

func cutOneWay(s *soak, rng *rand.Rand, d time.Duration) {
	h := s.anyHost(rng)
	s.cut(h.peers, "connections of others to "+string(h.settings.Host.ID), rng, d)
}

// cut lets nothing pass a relay in one direction for a while.
func (s *soak) cut(r *faultnet.Relay, what string, rng *rand.Rand, d time.Duration) {
	way := faultnet.Direction(rng.IntN(2))
	s.say("%s cut in direction %d for %v", what, way, d)
	r.SetBlocked(way, true)
	time.Sleep(d)
	r.SetBlocked(way, false)
}

func resetPeers(s *soak, rng *rand.Rand, _ time.Duration) {
	h := s.anyHost(rng)
	s.say("connections of others to %s reset", h.settings.Host.ID)
	h.peers.Reset()
}

func (s *soak) anyUpstream(rng *rand.Rand) *worker {
	living := s.living()
	return living[rng.IntN(len(living))]
}

func silenceUpstreams(s *soak, rng *rand.Rand, _ time.Duration) {
	for _, u := range s.living() {
		if rng.IntN(3) == 0 {
			u.relay.Blackhole()
		}
	}
	s.say("a third of the connections to upstreams silenced")
}

func resetUpstreams(s *soak, rng *rand.Rand, _ time.Duration) {
	for _, u := range s.living() {
		if rng.IntN(3) == 0 {
			u.relay.Reset()
		}
	}
	s.say("a third of the connections to upstreams reset")
}

func delayUpstream(s *soak, rng *rand.Rand, d time.Duration) {
	u := s.anyUpstream(rng)
	s.say("%s delayed for %v", u.Info.ID, d)
	u.relay.SetDelay(longestDelay)
	time.Sleep(d)
	u.relay.SetDelay(0)
}

// longestDelay is a multiple of what requests usually take.
const longestDelay = 150 * time.Millisecond

func crashUpstream(s *soak, rng *rand.Rand, d time.Duration) {
	u := s.anyUpstream(rng)
	s.say("%s crashes, another one in %v", u.Info.ID, d)
	s.setEnded(u)
	u.Stop()
	time.Sleep(d)
	s.replace(u)
}

func drainUpstream(s *soak, rng *rand.Rand, _ time.Duration) {
	u := s.anyUpstream(rng)
	s.say("%s leaves", u.Info.ID)
	s.fleet.mu.Lock()
	u.leaving = true
	s.fleet.mu.Unlock()
	s.replace(u)
	u.Drain()
	s.record.leaves(u.Info.ID, time.Now())
	time.Sleep(leaveTime)
	s.setEnded(u)
	u.Stop()
}

func (s *soak) setEnded(u *worker) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	u.ended = true
}

func (s *soak) replace(u *worker) {
	if err := s.addUpstream(u.Info.Service, u.Info.FailureDomain); err != nil {
		s.record.broke("an upstream could not be started: %v", err)
	}
}

func changeDesired(s *soak, rng *rand.Rand, _ time.Duration) {
	s.say("desired state changes")
	var err error
	if rng.IntN(2) == 0 {
		err = s.moveRoute()
	} else {
		var prefix string
		prefix, err = s.addRoute()
		s.record.added(prefix)
	}
	if err != nil {
		s.record.broke("the desired state could not be written: %v", err)
	}
}

func withdrawKey(s *soak, rng *rand.Rand, _ time.Duration) {
	a := accountOf(rng.IntN(accounts))
	s.say("spare key of %s withdrawn", a)
	if err := s.withdraw(a); err != nil {
		s.record.broke("the desired state could not be written: %v", err)
		return
	}
	s.record.withdrawn(spareKey(a), time.Now())
}
