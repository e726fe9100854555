package main

import (
	"sync"
	"time"
)

// Times of the drill.
const (
	// copyAge is how old the copy is with which the store comes back: some seconds.
	copyAge = 3 * time.Second
	// awayTime is how long the store is away: a moment.
	awayTime = time.Second
)

// drill plays a store that comes back from a copy, and a change of the desired state after
// it: a key is withdrawn and a route moves to another service. A request that is sent later
// than all bounds after the confirmation must be handled by that state.
func drill(w *world, trouble bool) int {
	keys := []string{revokedKey}
	w.store.put("op", "config", desiredState(5, oldService, 0.8, keys))
	perZone := map[string]int{oldService: 3, newService: 2}
	for _, z := range zones {
		for service, n := range perZone {
			for range n {
				if err := w.addWorker(service, z.zone, 30*time.Millisecond); err != nil {
					w.record.say("no worker: %v", err)
					return couldNot
				}
			}
		}
		if err := w.addHost(z.zone, z.region); err != nil {
			w.record.say("no host: %v", err)
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
		for _, key := range []string{keptKey, revokedKey} {
			c := w.newClient(z.zone, z.region, virtualHost, "GET", "/lepu270/2f", key, 4)
			clients = append(clients, c)
			running.Go(func() { c.run(stop) })
		}
	}
	time.Sleep(8 * time.Second)

	before := desiredState(7, oldService, 0.9, keys)
	version, _ := w.store.put("op", "config", before)
	w.record.say("the operator changes a time-out: state 7, confirmed at version %d", version)
	time.Sleep(400 * time.Millisecond)
	if trouble {
		w.store.goAway()
		goneAt := time.Now()
		w.record.say("the store is away")
		time.Sleep(awayTime)
		from, to, copied := w.store.comeBack(goneAt.Add(-copyAge))
		w.record.say("the store is back from a copy %.1f s old: version %d went back to %d", goneAt.Sub(copied).Seconds(), from, to)
		version, _ = w.store.put("op", "config", before)
		w.record.say("the operator writes state 7 again: version %d", version)
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(500 * time.Millisecond)

	version, confirmed := w.store.put("op", "config", desiredState(9, newService, 0.9, nil))
	if !confirmed {
		return couldNot
	}
	confirmedAt := time.Now()
	w.record.say("the operator withdraws key %s and moves the route to %s: state 9, confirmed at version %d", revokedKey, newService, version)
	// The store is stable from contactTime after its return; what its impairment may add to
	// the bound is added all the same.
	judgedFrom := confirmedAt.Add(contactTime + configApplyTime + stretchMax)
	time.Sleep(time.Until(judgedFrom.Add(15 * time.Second)))
	close(stop)
	running.Wait()
	return judgeDrill(w, clients, confirmedAt, judgedFrom)
}

func judgeDrill(w *world, clients []*client, confirmedAt, judgedFrom time.Time) int {
	runs := w.runsOf()
	type tally struct{ sent, revoked, moved int }
	byHost := map[string]*tally{}
	servedBefore, failures := 0, 0
	for _, c := range clients {
		for _, a := range c.results() {
			if a.sent.Before(confirmedAt) {
				if a.status == 200 {
					servedBefore++
				}
				continue
			}
			if a.sent.Before(judgedFrom) {
				continue
			}
			t := byHost[a.host]
			if t == nil {
				t = &tally{}
				byHost[a.host] = t
			}
			t.sent++
			for _, r := range runs[a.attempt] {
				switch {
				case a.key == revokedKey:
					t.revoked++
					failures++
				case r.worker.service == oldService:
					t.moved++
					failures++
				}
			}
		}
	}
	if servedBefore < 50 || len(byHost) == 0 {
		w.record.say("only %d requests were served before the change", servedBefore)
		return couldNot
	}
	for _, h := range w.hosts {
		if t := byHost[h.name]; t != nil {
			w.record.say("%s, later than %v after the confirmation: %d requests, of these run with the withdrawn key %d, run by the old service %d",
				h.name, judgedFrom.Sub(confirmedAt), t.sent, t.revoked, t.moved)
		}
	}
	if failures > 0 {
		w.record.say("CONFIG broken: %d requests were handled as only an older state allows", failures)
		return broken
	}
	w.record.say("CONFIG held")
	return held
}
