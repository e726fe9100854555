package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of entries that lapse.
const (
	// lapseTime is the silence after which an entry is removed.
	lapseTime = 3 * heartbeat
	// outageTime is how long the store is down. It begins just before the next heartbeat of
	// the old version's workers, which have started together.
	outageTime = 3250 * time.Millisecond
	beforeBeat = 100 * time.Millisecond
	// returnTime is the longest time after the return of the store in which an entry that
	// expired meanwhile is back.
	returnTime = 2 * time.Second
	// orderDelay is the time from the return of the store to the order.
	orderDelay = 1930 * time.Millisecond
)

// lapse plays a store that is down until the entries of the workers have run out, and an
// order to roll out a version, which is bad, before all entries are back.
func lapse(w *world, trouble bool) int {
	w.store.put("op", "config", desiredState(5, oldService, 0.8, []string{revokedKey}))
	add := func(service, version, zone string, failShare float64, returnAfter time.Duration) *worker {
		if w.addWorker(service, zone, 30*time.Millisecond) != nil {
			return nil
		}
		k := w.workers[len(w.workers)-1]
		k.mu.Lock()
		k.version, k.failShare, k.failStatus, k.returnAfter = version, failShare, http.StatusInternalServerError, returnAfter
		k.steady = version == "v1" && service == newService
		k.mu.Unlock()
		k.write()
		return k
	}
	var before []*worker
	for i, z := range zones {
		for range 2 {
			add(oldService, "v1", z.zone, 0, rand.N(returnTime))
		}
		if i%2 == 0 {
			before = append(before, add(newService, "v1", z.zone, 0, returnTime-30*time.Millisecond+rand.N(20*time.Millisecond)))
		}
		if w.addHost(z.zone, z.region) != nil {
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
			add(newService, "v2", z.zone, 0.5, 200*time.Millisecond)
		}
	}
	w.record.say("workers of v2 start beside those of v1")
	time.Sleep(4 * time.Second)
	returnedAt := time.Now()
	if trouble {
		if !waitUntil(2*heartbeat, func() bool { return shortestSilence(before) >= heartbeat-beforeBeat }) {
			w.record.say("the workers of v1 do not write their entries together")
			return couldNot
		}
		w.store.goAway()
		w.record.say("the store is down")
		time.Sleep(outageTime)
		var lapsed []string
		for _, k := range w.workers {
			if k.silence() >= lapseTime {
				lapsed = append(lapsed, k.id)
			}
		}
		if shortestSilence(before) < lapseTime {
			w.record.say("the entries of v1 have not run out")
			return couldNot
		}
		w.store.comeBackWithout("servers", lapsed)
		returnedAt = time.Now()
		w.record.say("the store is back; the entries of %d of %d workers have run out, those of v1 of %s among them", len(lapsed), len(w.workers), newService)
	}
	time.Sleep(time.Until(returnedAt.Add(orderDelay)))
	order := map[string]any{"service": newService, "to": "v2", "overS": orderBudget.Seconds()}
	version, _ := w.store.put("op", "rollout/"+newService, order)
	orderedAt := time.Now()
	w.record.say("the operator orders v2 of %s: version %d", newService, version)
	w.followOrder(before, orderedAt.Add(orderBudget))
	close(stop)
	running.Wait()
	return judgeExposure(w, clients, returnedAt.Add(contactTime), orderedAt)
}

// shortestSilence returns the shortest time since one of the workers has written its entry.
func shortestSilence(workers []*worker) time.Duration {
	shortest := workers[0].silence()
	for _, k := range workers {
		shortest = min(shortest, k.silence())
	}
	return shortest
}
