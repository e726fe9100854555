package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// streamTimeout is the timeoutS of the route, streamBudget the client's time budget, and
	// finalSlack how long after timeoutS a final answer is due.
	streamTimeout = 1500 * time.Millisecond
	streamBudget  = 2500 * time.Millisecond
	finalSlack    = 500 * time.Millisecond
	// stalledAt is where the worker pauses in its answer, stall for how long.
	stalledAt = 2 << 20
	stall     = 8 * time.Second
	// streams is the number of requests that last longer than timeoutS.
	streams = 12
	// unansweredBound is how many of them may have no final answer.
	unansweredBound = 7
)

// stalledAnswer lets the workers pause in the middle of large answers.
func stalledAnswer(d *deployment, trouble bool) (bool, error) {
	if err := d.configure(state{
		services: []string{"packs"}, keys: []string{viewKey}, rate: 182, burst: 182,
		routes: []route{
			{name: "r-packs", host: "packs.example", prefix: "/packs/", kind: "download", service: "packs", timeoutS: streamTimeout.Seconds(), goalS: 0.25},
		},
	}); err != nil {
		return false, err
	}
	for i, zone := range zoneNames {
		if _, err := d.addWorker(fmt.Sprintf("i-pack-%d", i), "packs", zone, 8, func(_ *http.Request, _ []byte) []byte {
			return bytes.Repeat([]byte("map "), packBytes/4)
		}, func(w *worker) {
			if trouble {
				w.pauseAt, w.pause = stalledAt, stall
			}
		}); err != nil {
			return false, err
		}
		if _, err := d.addHost("edge-"+zone, zone); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	addresses, err := d.resolve(d.hosts[0], "packs.example", "zone-a")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	late, all := 0, 0
	var running sync.WaitGroup
	for n := range streams {
		time.Sleep(40 * time.Millisecond)
		running.Go(func() {
			took, began, err := d.fetchPack(addresses[n%len(addresses)], n)
			mu.Lock()
			defer mu.Unlock()
			if !began {
				// Refused or not connected: the request does not last.
				return
			}
			all++
			if took > streamTimeout+finalSlack {
				late++
				d.record.add("client %d had no final answer %.3f s after it had sent its request, the end then: %v", n, took.Seconds(), err)
			}
		})
	}
	running.Wait()
	d.record.add("%d of %d requests had no final answer %v after their route's timeoutS of %v; more than %d break the rule", late, all, finalSlack, streamTimeout, unansweredBound)
	return late > unansweredBound && 4*late > all, nil
}

// fetchPack requests a download and returns how long it took until the answer was complete or
// the channel ended, and whether an answer began.
func (d *deployment) fetchPack(address string, n int) (took time.Duration, began bool, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, false, err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	start := time.Now()
	attempt := fmt.Sprintf("p%d", n)
	d.record.add("client %d sends %s", n, attempt)
	if _, err := fmt.Fprintf(conn, "GET /packs/%d HTTP/1.1\r\nHost: packs.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		n, attempt, streamBudget.Milliseconds(), viewKey); err != nil {
		return 0, false, err
	}
	// The client stays to see when the answer ends.
	_ = conn.SetReadDeadline(start.Add(stall + 15*time.Second))
	if _, err := in.Peek(len("HTTP/1.1 200")); err != nil {
		return time.Since(start), false, err
	}
	began = true
	err = d.readAnswer(in, attempt)
	return time.Since(start), began, err
}
