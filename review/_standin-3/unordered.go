package main

import (
	"sync"
	"syscall"
	"time"
)

// Versions of the service of the case of unordered: the next version has a longer number.
const (
	versionBefore = "v9"
	versionAfter  = "v10"
)

// restartDelay is the time after which the platform starts a killed process again.
const restartDelay = 500 * time.Millisecond

// unordered plays a killed process at a time when workers of a next version have started
// beside the old ones, but no rollout is ordered. The next version must get no request.
func unordered(w *world, trouble bool) int {
	w.store.put("op", "config", desiredState(5, oldService, 0.8, []string{revokedKey}))
	add := func(service, version, zone string) bool {
		if w.addWorker(service, zone, 30*time.Millisecond) != nil {
			return false
		}
		k := w.workers[len(w.workers)-1]
		k.mu.Lock()
		k.version = version
		k.mu.Unlock()
		return k.write()
	}
	for i, z := range zones {
		if !add(oldService, versionBefore, z.zone) || (i%2 == 0 && !add(newService, versionBefore, z.zone)) || w.addHost(z.zone, z.region) != nil {
			return couldNot
		}
	}
	if !w.startHosts(15 * time.Second) {
		w.record.say("the hosts are not ready")
		return couldNot
	}
	stop := make(chan struct{})
	var clients []*client
	var running sync.WaitGroup
	for _, z := range zones {
		c := w.newClient(z.zone, z.region, virtualHost, "POST", "/xapu221/2f", keptKey, 8)
		clients = append(clients, c)
		running.Go(func() { c.run(stop) })
	}
	time.Sleep(5 * time.Second)
	for i, z := range zones {
		if i%2 == 0 {
			add(newService, versionAfter, z.zone)
		}
	}
	w.record.say("three workers of %s of %s start beside the three of %s; no rollout is ordered", versionAfter, newService, versionBefore)
	time.Sleep(4 * time.Second)
	if h := w.hosts[0]; trouble {
		w.record.say("the process of %s is killed", h.name)
		h.signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(restartDelay)
		if h.start() != nil || !waitUntil(10*time.Second, h.ready) {
			w.record.say("%s does not start again", h.name)
			return couldNot
		}
		w.record.say("the process of %s runs again and is ready", h.name)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	running.Wait()
	return judgeUnordered(w, clients)
}

func judgeUnordered(w *world, clients []*client) int {
	runs := w.runsOf()
	byHost := map[string]map[string]int{}
	all, unordered := 0, 0
	for _, c := range clients {
		for _, a := range c.results() {
			for _, r := range runs[a.attempt] {
				if byHost[a.host] == nil {
					byHost[a.host] = map[string]int{}
				}
				byHost[a.host][r.worker.version]++
				all++
				if r.worker.version == versionAfter {
					unordered++
				}
			}
		}
	}
	if all < 100 {
		w.record.say("only %d requests ran", all)
		return couldNot
	}
	for _, h := range w.hosts {
		w.record.say("%s: requests run by %s %d, by %s %d", h.name, versionBefore, byHost[h.name][versionBefore], versionAfter, byHost[h.name][versionAfter])
	}
	if unordered > 0 {
		w.record.say("ROUTE broken: %d requests were run by a version that nothing ordered", unordered)
		return broken
	}
	w.record.say("ROUTE held")
	return held
}
