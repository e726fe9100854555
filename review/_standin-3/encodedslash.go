package main

import (
	"sync"
	"time"
)

// Figures of the case of encoded slashes.
const (
	// lostTime is how long answers are lost, lostPart the part of the requests of a worker
	// whose answers are lost.
	lostTime = 4 * time.Second
	lostPart = 0.4
	// encodedTarget is a path whose last segment holds an encoded slash. It begins with the
	// prefix "/lepu270/" and not with "/lepu270/list/".
	encodedTarget = "/lepu270/list%2F17"
)

// encodedSlash plays requests of a route that may run once only, whose path holds an encoded
// slash, while workers lose answers. A longer route, which may be repeated, begins like the
// decoded path.
func encodedSlash(w *world, trouble bool) int {
	state := desiredState(5, oldService, 1.5, []string{revokedKey})
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "prefix": prefix, "kind": kind, "timeoutS": 1.5, "goalS": 0.3, "priority": 2, "service": service,
			"maxAttempts": 2, "public": false, "sticky": false, "homeRegions": []string{},
		}
	}
	state["hosts"] = []any{map[string]any{"host": virtualHost, "paths": []any{
		route("r-e9itfrz", "/lepu270/", "non_idempotent", oldService), route("r-m2d54xb", "/lepu270/list/", "idempotent", newService),
	}}}
	w.store.put("op", "config", state)
	for _, z := range zones {
		for _, service := range []string{oldService, newService} {
			if w.addWorker(service, z.zone, 30*time.Millisecond) != nil {
				return couldNot
			}
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
		c := w.newClient(z.zone, z.region, virtualHost, "POST", encodedTarget, keptKey, 10)
		clients = append(clients, c)
		running.Go(func() { c.run(stop) })
	}
	time.Sleep(4 * time.Second)
	for i, k := range w.workers {
		// Three of the six workers of each service.
		k.losing.Store(trouble && i/2%2 == 0)
	}
	if trouble {
		w.record.say("half of the workers lose the answers of %.0f in 100 of the requests that they run, for %v", 100*lostPart, lostTime)
	}
	time.Sleep(lostTime)
	for _, k := range w.workers {
		k.losing.Store(false)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	running.Wait()
	return judgeEncodedSlash(w, clients)
}

func judgeEncodedSlash(w *world, clients []*client) int {
	runs := w.runsOf()
	sent, twice := 0, 0
	byService := map[string]int{}
	for _, c := range clients {
		for _, a := range c.results() {
			sent++
			for _, r := range runs[a.attempt] {
				byService[r.worker.service]++
			}
			if len(runs[a.attempt]) > 1 {
				twice++
			}
		}
	}
	if byService[oldService]+byService[newService] < 100 {
		w.record.say("only %d requests ran", byService[oldService]+byService[newService])
		return couldNot
	}
	w.record.say("%d requests for %s: run by %s, to which the route leads, %d; run by %s %d", sent, encodedTarget, oldService, byService[oldService], newService, byService[newService])
	w.record.say("requests that may run once only and ran more than once: %d", twice)
	if twice > 0 {
		w.record.say("TWICE broken")
		return broken
	}
	w.record.say("TWICE held")
	return held
}
