package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"celerypin.example/celerypin/internal/faultnet"
	"celerypin.example/celerypin/platform/standin"
)

const (
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// meanFaultInterval is the mean time between the starts of faults. It is shorter
	// than most faults, so that some overlap.
	meanFaultInterval = time.Second
	// stopTimeout is the time between SIGTERM and SIGKILL.
	stopTimeout = 6 * time.Second
	// drainDuration is how long a draining upstream continues to serve.
	drainDuration = 4 * time.Second
)

// faultFunc injects a fault and returns when the fault has ended. d is the duration of
// those that last. Each call has its own rng, so that the schedule does not depend on
// timing.
type faultFunc func(s *soak, rng *rand.Rand, d time.Duration)

type faultKind struct {
	name   string
	inject faultFunc
}

// faultKinds are the faults that a schedule draws from. Their order and number
// determine the schedule of a seed.
var faultKinds = []faultKind{
	{"kill a host", killHost}, {"pause a host", pauseHost}, {"stop a host", stopHost}, {"reload a host", reloadHost},
	{"kill several hosts", killSeveral}, {"store fails", failStore}, {"store refuses hosts", refuseHosts}, {"store compacts its history", compactHistory},
	{"block connections of a host to the store", blockStore}, {"block connections of others to a host", blockPeers}, {"reset connections between hosts", resetPeers},
	{"blackhole connections to upstreams", blackholeUpstreams}, {"reset connections to upstreams", resetUpstreams}, {"delay an upstream", delayUpstream},
	{"upstream crashes", crashUpstream}, {"upstream drains", drainUpstream},
	{"desired state changes", changeDesired}, {"key is withdrawn", withdrawKey},
	{"upstream leaves without telling the store", leaveUpstream}, {"upstream wants no requests", quietUpstream},
}

// restoreWeight is the number of other kinds of faults to which restoring the store amounts.
const restoreWeight = 4

// injectFaults injects random faults, some of which overlap, until the run's duration
// is over, and waits for the last one to end.
func (s *soak) injectFaults(ctx context.Context) {
	kinds := faultKinds
	if s.RestoreStore {
		restore := faultKind{"store comes back from an older copy", restoreStore}
		kinds = append(slices.Clone(kinds), slices.Repeat([]faultKind{restore}, restoreWeight)...)
	}
	var running sync.WaitGroup
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		f := kinds[s.rng.IntN(len(kinds))]
		d := minFaultDuration + time.Duration(s.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 3))
		done := s.record.beginFault()
		running.Go(func() {
			defer done()
			f.inject(s, rng, d)
		})
		sleep(ctx, time.Duration(s.rng.ExpFloat64()*float64(meanFaultInterval)))
	}
	running.Wait()
}

// clearFaults ends all faults of the store and the relays that may still be active.
func (s *soak) clearFaults() {
	s.store.SetMode(standin.Up)
	for _, h := range s.hosts {
		s.store.SetRefused(h.settings.Host.ID, false)
		for _, direction := range []faultnet.Direction{faultnet.ToTarget, faultnet.FromTarget} {
			h.storeRelay.SetBlocked(direction, false)
			h.peerRelay.SetBlocked(direction, false)
		}
	}
	s.logFault("all faults have ended")
}

func (s *soak) randomHost(rng *rand.Rand) *host { return s.hosts[rng.IntN(len(s.hosts))] }

// pickRunningHost draws a host for a fault of its process; ok is false if that host
// does not run.
func (s *soak) pickRunningHost(rng *rand.Rand) (h *host, ok bool) {
	h = s.randomHost(rng)
	return h, h.isRunning()
}

func killHost(s *soak, rng *rand.Rand, d time.Duration) {
	if h, ok := s.pickRunningHost(rng); ok {
		s.kill(h, d)
	}
}

// kill kills a host's process and starts a new one after d.
func (s *soak) kill(h *host, d time.Duration) {
	s.logFault("%s killed, restart in %v", h.settings.Host.ID, d)
	defer s.record.disturb(h.settings.Host.Address)()
	h.signal(syscall.SIGKILL, false)
	h.waitForExit(time.Second)
	time.Sleep(d)
	s.restart(h)
}

func (s *soak) restart(h *host) {
	if err := h.start(); err != nil {
		s.record.addViolation("%s could not be started: %v", h.settings.Host.ID, err)
	}
}

// killSeveral kills each running host with a probability of one half.
func killSeveral(s *soak, rng *rand.Rand, d time.Duration) {
	var all sync.WaitGroup
	for _, h := range s.hosts {
		if rng.IntN(2) == 0 && h.isRunning() {
			all.Go(func() { s.kill(h, d/2) })
		}
	}
	all.Wait()
}

func pauseHost(s *soak, rng *rand.Rand, d time.Duration) {
	h, ok := s.pickRunningHost(rng)
	if !ok {
		return
	}
	s.logFault("%s paused for %v", h.settings.Host.ID, d)
	defer s.record.disturb(h.settings.Host.Address)()
	h.signal(syscall.SIGSTOP, true)
	time.Sleep(d)
	h.signal(syscall.SIGCONT, true)
}

// stopHost stops a host gracefully, as in a planned restart.
func stopHost(s *soak, rng *rand.Rand, d time.Duration) {
	h, ok := s.pickRunningHost(rng)
	if !ok {
		return
	}
	s.logFault("%s gets SIGTERM, restart in %v", h.settings.Host.ID, d)
	s.record.hostStopping(h.settings.Host.Address, time.Now())
	defer s.record.disturb(h.settings.Host.Address)()
	h.signal(syscall.SIGTERM, false)
	if !h.waitForExit(stopTimeout) {
		s.record.addViolation("%s still ran %v after SIGTERM", h.settings.Host.ID, stopTimeout)
		h.signal(syscall.SIGKILL, false)
		h.waitForExit(time.Second)
	}
	time.Sleep(d / 2)
	s.restart(h)
}

func reloadHost(s *soak, rng *rand.Rand, _ time.Duration) {
	h, ok := s.pickRunningHost(rng)
	if !ok {
		return
	}
	s.logFault("%s gets SIGHUP and changed settings", h.settings.Host.ID)
	h.settings.Bounds["quotaSlack"] = float64(18 + rng.IntN(3))
	if err := h.writeSettings(); err != nil {
		s.record.addViolation("settings could not be written: %v", err)
	}
	h.signal(syscall.SIGHUP, true)
}

func failStore(s *soak, rng *rand.Rand, d time.Duration) {
	modes := []standin.Mode{standin.Silent, standin.Busy, standin.Reset, standin.Slow, standin.LosingAnswers}
	names := []string{"silent", "busy", "resetting", "slow", "losing answers"}
	n := rng.IntN(len(modes))
	s.logFault("store %s for %v", names[n], d)
	s.store.SetMode(modes[n])
	time.Sleep(d)
	s.store.SetMode(standin.Up)
}

func refuseHosts(s *soak, rng *rand.Rand, d time.Duration) {
	for _, h := range s.hosts {
		if rng.IntN(3) == 0 {
			s.logFault("store refuses %s for %v", h.settings.Host.ID, d)
			s.store.SetRefused(h.settings.Host.ID, true)
			defer s.store.SetRefused(h.settings.Host.ID, false)
		}
	}
	time.Sleep(d)
}

func compactHistory(s *soak, _ *rand.Rand, _ time.Duration) {
	s.logFault("store compacts its history")
	s.store.Compact()
}

func blockStore(s *soak, rng *rand.Rand, d time.Duration) {
	h := s.randomHost(rng)
	s.block(h.storeRelay, "connections of "+string(h.settings.Host.ID)+" to the store", rng, d)
}

func blockPeers(s *soak, rng *rand.Rand, d time.Duration) {
	h := s.randomHost(rng)
	s.block(h.peerRelay, "connections of others to "+string(h.settings.Host.ID), rng, d)
}

// block blocks one direction of a relay for d.
func (s *soak) block(r *faultnet.Relay, what string, rng *rand.Rand, d time.Duration) {
	direction := faultnet.Direction(rng.IntN(2))
	s.logFault("%s blocked in direction %d for %v", what, direction, d)
	r.SetBlocked(direction, true)
	time.Sleep(d)
	r.SetBlocked(direction, false)
}

func resetPeers(s *soak, rng *rand.Rand, _ time.Duration) {
	h := s.randomHost(rng)
	s.logFault("connections of others to %s reset", h.settings.Host.ID)
	h.peerRelay.Reset()
}

func (s *soak) randomUpstream(rng *rand.Rand) *upstream {
	live := s.liveUpstreams()
	return live[rng.IntN(len(live))]
}

func blackholeUpstreams(s *soak, rng *rand.Rand, _ time.Duration) {
	for _, u := range s.liveUpstreams() {
		if rng.IntN(3) == 0 {
			u.relay.Blackhole()
			s.record.disturbLinks(u)
		}
	}
	s.logFault("connections to about a third of the upstreams blackholed")
}

func resetUpstreams(s *soak, rng *rand.Rand, _ time.Duration) {
	for _, u := range s.liveUpstreams() {
		if rng.IntN(3) == 0 {
			u.relay.Reset()
			s.record.disturbLinks(u)
		}
	}
	s.logFault("connections to about a third of the upstreams reset")
}

func delayUpstream(s *soak, rng *rand.Rand, d time.Duration) {
	u := s.randomUpstream(rng)
	s.logFault("%s delayed for %v", u.Info.ID, d)
	defer s.record.disturb(string(u.Info.ID))()
	u.relay.SetDelay(upstreamDelay)
	time.Sleep(d)
	u.relay.SetDelay(0)
}

// upstreamDelay is several times the usual latency of a request.
const upstreamDelay = 150 * time.Millisecond

func crashUpstream(s *soak, rng *rand.Rand, d time.Duration) {
	u := s.randomUpstream(rng)
	s.logFault("%s crashes, replacement in %v", u.Info.ID, d)
	s.markStopped(u)
	u.Stop()
	time.Sleep(d)
	s.startReplacement(u)
}

func drainUpstream(s *soak, rng *rand.Rand, _ time.Duration) {
	u := s.randomUpstream(rng)
	s.logFault("%s drains", u.Info.ID)
	s.deployment.mu.Lock()
	u.draining = true
	s.deployment.mu.Unlock()
	s.startReplacement(u)
	u.Drain()
	s.record.upstreamDraining(u.Info.ID, time.Now())
	time.Sleep(drainDuration)
	s.markStopped(u)
	u.Stop()
}

// leaveUpstream makes an upstream leave that says so in its answers alone.
func leaveUpstream(s *soak, rng *rand.Rand, _ time.Duration) {
	u := s.randomUpstream(rng)
	s.logFault("%s leaves without telling the store", u.Info.ID)
	s.deployment.mu.Lock()
	u.draining = true
	s.deployment.mu.Unlock()
	s.startReplacement(u)
	u.Leave()
	time.Sleep(drainDuration)
	s.markStopped(u)
	u.Stop()
}

func quietUpstream(s *soak, rng *rand.Rand, d time.Duration) {
	u := s.randomUpstream(rng)
	s.logFault("%s wants no requests for %v", u.Info.ID, d)
	u.Quiet(d)
	time.Sleep(d)
}

func (s *soak) markStopped(u *upstream) {
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	u.stopped = true
}

func (s *soak) startReplacement(u *upstream) {
	if err := s.addUpstream(u.Info.Service, u.Info.FailureDomain); err != nil {
		s.record.addViolation("an upstream could not be started: %v", err)
	}
}

func changeDesired(s *soak, rng *rand.Rand, _ time.Duration) {
	s.logFault("desired state changes")
	var err error
	if rng.IntN(2) == 0 {
		err = s.moveReads()
	} else {
		var prefix string
		prefix, err = s.addRoute()
		s.record.routeAdded(prefix)
	}
	if err != nil {
		s.record.addViolation("the desired state could not be written: %v", err)
	}
}

func withdrawKey(s *soak, rng *rand.Rand, _ time.Duration) {
	a := accountID(rng.IntN(accounts))
	s.logFault("spare key of %s withdrawn", a)
	if err := s.withdrawSpareKey(a); err != nil {
		s.record.addViolation("the desired state could not be written: %v", err)
		return
	}
	s.record.keyWithdrawn(spareKey(a), time.Now())
}
