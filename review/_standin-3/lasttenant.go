package main

import (
	"sync"
	"time"
)

// unknownKey is a key that no desired state ever held.
const unknownKey = "zu7k2m9qxw4tbn3vhd5r"

// lastTenant plays a change of the desired state that takes the deployment's only tenant
// away. Neither its key nor one that never existed may be accepted after that.
func lastTenant(w *world, trouble bool) int {
	tenant := map[string]any{"name": tenantA, "apiKeys": []string{keptKey}, "priority": 1, "ratePerS": 400, "burst": 400, "homeRegions": []string{}}
	state := desiredState(5, oldService, 0.8, nil)
	state["tenants"] = []any{tenant}
	w.store.put("op", "config", state)
	for _, z := range zones {
		if w.addWorker(oldService, z.zone, 30*time.Millisecond) != nil || w.addHost(z.zone, z.region) != nil {
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
		for _, key := range []string{keptKey, unknownKey} {
			c := w.newClient(z.zone, z.region, virtualHost, "GET", "/lepu270/2f", key, 4)
			clients = append(clients, c)
			running.Go(func() { c.run(stop) })
		}
	}
	time.Sleep(5 * time.Second)
	next := desiredState(7, oldService, 0.8, nil)
	if trouble {
		next["tenants"] = []any{}
	} else {
		tenant["apiKeys"] = []string{}
		next["tenants"] = []any{tenant}
	}
	version, _ := w.store.put("op", "config", next)
	confirmedAt := time.Now()
	if trouble {
		w.record.say("the operator takes the only tenant away: state 7, confirmed at version %d", version)
	} else {
		w.record.say("the operator withdraws the only tenant's key: state 7, confirmed at version %d", version)
	}
	time.Sleep(configApplyTime + 10*time.Second)
	close(stop)
	running.Wait()
	return judgeLastTenant(w, clients, confirmedAt)
}

func judgeLastTenant(w *world, clients []*client, confirmedAt time.Time) int {
	runs := w.runsOf()
	served, withdrawn, unknown, unknownBefore := 0, 0, 0, 0
	for _, c := range clients {
		for _, a := range c.results() {
			ran := len(runs[a.attempt])
			switch {
			case a.key == unknownKey && a.sent.Before(confirmedAt):
				unknownBefore += ran
			case a.key == unknownKey:
				unknown += ran
			case a.sent.Before(confirmedAt):
				served += ran
			case a.sent.After(confirmedAt.Add(configApplyTime)):
				withdrawn += ran
			}
		}
	}
	if served < 20 {
		w.record.say("only %d requests ran before the change", served)
		return couldNot
	}
	w.record.say("runs of requests with a key that no desired state ever held: %d before the confirmation, %d after it", unknownBefore, unknown)
	w.record.say("runs of requests with the withdrawn key, sent later than %v after the confirmation: %d", configApplyTime, withdrawn)
	if unknown+unknownBefore+withdrawn > 0 {
		w.record.say("ROUTE and CONFIG broken")
		return broken
	}
	w.record.say("ROUTE and CONFIG held")
	return held
}
