package main

import (
	"net/http"
	"sync"
	"time"
)

// badRequests plays the rollout of a version that answers half of its requests with 404.
func badRequests(w *world, trouble bool) int {
	w.store.put("op", "config", desiredState(5, oldService, 0.8, []string{revokedKey}))
	add := func(service, version, zone string, failShare float64) *worker {
		if w.addWorker(service, zone, 30*time.Millisecond) != nil {
			return nil
		}
		k := w.workers[len(w.workers)-1]
		k.mu.Lock()
		k.version, k.failShare, k.failStatus = version, failShare, http.StatusNotFound
		k.mu.Unlock()
		k.write()
		return k
	}
	var before []*worker
	for _, z := range zones {
		add(oldService, "v1", z.zone, 0)
		before = append(before, add(newService, "v1", z.zone, 0))
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
	share := 0.0
	if trouble {
		share = 0.5
	}
	order := map[string]any{"service": newService, "to": "v2", "overS": orderBudget.Seconds()}
	version, _ := w.store.put("op", "rollout/"+newService, order)
	orderedAt := time.Now()
	for _, z := range zones {
		add(newService, "v2", z.zone, share)
	}
	w.record.say("the operator orders v2 of %s: version %d; of its answers %.0f in 100 are 404", newService, version, 100*share)
	w.followOrder(before, orderedAt.Add(orderBudget))
	close(stop)
	running.Wait()
	if !trouble {
		w.record.say("v2 is a good version, so EXPOSURE does not bind it")
		return held
	}
	return judgeExposure(w, clients, orderedAt, orderedAt)
}
