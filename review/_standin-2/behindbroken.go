package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// packBytes is the size of a download, brokenAt where a faulty worker truncates it.
	packBytes = 1536 << 10
	brokenAt  = 1280 << 10
	// faultyWorkers of packWorkers truncate one in faultyInterval of their answers, for
	// faultyFor: a share of 0.33 and a part of 0.02.
	packWorkers    = 6
	faultyWorkers  = 2
	faultyInterval = 50
	faultyFor      = 5500 * time.Millisecond
	// behind is the number of requests that a client sends behind a download.
	behind = 6
	// lostBound is how many requests may be lost.
	lostBound   = 3
	packClients = 8
)

// behindBroken lets a worker truncate large answers, behind which clients have sent further
// requests that sound workers run.
func behindBroken(d *deployment, trouble bool) (bool, error) {
	if err := d.configure(state{
		services: []string{"packs", "boards"}, keys: []string{viewKey}, rate: 3000, burst: 3000,
		routes: []route{
			{name: "r-packs", host: "packs.example", prefix: "/packs/", kind: "download", service: "packs", timeoutS: 2.5, goalS: 0.25},
			{name: "r-boards", host: "boards.example", prefix: "/boards/", kind: "idempotent", service: "boards", timeoutS: 2.5, goalS: 0.4},
		},
	}); err != nil {
		return false, err
	}
	var sound []*worker
	var end time.Time
	var mu sync.Mutex
	for i, zone := range zoneNames {
		for n := range packWorkers / len(zoneNames) {
			faulty := trouble && n == 0 && i < faultyWorkers
			answers := 0
			if _, err := d.addWorker(fmt.Sprintf("i-pack-%d-%d", i, n), "packs", zone, 4, func(*http.Request, []byte) []byte {
				return bytes.Repeat([]byte("map "), packBytes/4)
			}, func(w *worker) {
				w.cut = func() int {
					mu.Lock()
					defer mu.Unlock()
					if !faulty || time.Now().After(end) {
						return 0
					}
					if answers++; answers%faultyInterval != 0 {
						return 0
					}
					return brokenAt
				}
			}); err != nil {
				return false, err
			}
			w, err := d.addWorker(fmt.Sprintf("i-board-%d-%d", i, n), "boards", zone, 4, func(r *http.Request, _ []byte) []byte {
				time.Sleep(5 * time.Millisecond)
				return []byte("board of " + r.Header.Get("Attempt-Id"))
			})
			if err != nil {
				return false, err
			}
			sound = append(sound, w)
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
	stopAt := time.Now().Add(faultyFor)
	mu.Lock()
	end = stopAt
	mu.Unlock()
	lost := 0
	var running sync.WaitGroup
	for client := range packClients {
		running.Go(func() {
			for n := 0; time.Now().Before(stopAt); n++ {
				time.Sleep(10 * time.Millisecond)
				k, err := d.fetch(addresses[0], fmt.Sprintf("%d.%d", client, n), sound)
				if err != nil {
					d.record.add("client %d: %v", client, err)
				}
				mu.Lock()
				lost += k
				mu.Unlock()
			}
		})
	}
	running.Wait()
	d.record.add("%d requests were passed on from kept channels to sound workers, which ran them, and the channel ended without their answers; more than %d break the rule", lost, lostBound)
	return lost > lostBound, nil
}

// fetch sends a download and requests behind it on a kept channel, and returns how many of
// these ran at sound workers and got no answer.
func (d *deployment) fetch(address, channel string, sound []*worker) (lost int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	send := func(attempt, virtualHost, path string) error {
		d.record.add("client sends %s (%s) on channel %s", attempt, path, channel)
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", path, virtualHost, attempt, attempt, viewKey)
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	first := fmt.Sprintf("c%sfirst", channel)
	if err := send(first, "packs.example", "/packs/1"); err != nil {
		return 0, err
	}
	if err := d.readAnswer(in, first); err != nil {
		return 0, fmt.Errorf("the first request of a channel: %w", err)
	}
	attempts := []string{fmt.Sprintf("c%spack", channel)}
	if err := send(attempts[0], "packs.example", "/packs/1"); err != nil {
		return 0, err
	}
	for i := range behind {
		attempts = append(attempts, fmt.Sprintf("c%sb%d", channel, i))
		if err := send(attempts[i+1], "boards.example", "/boards/1"); err != nil {
			return 0, err
		}
	}
	var failure error
	for _, attempt := range attempts {
		if failure == nil {
			failure = d.readAnswer(in, attempt)
		}
		if failure == nil {
			continue
		}
		runs := 0
		for _, w := range sound {
			runs += w.ran(attempt)
		}
		d.record.add("client has no whole answer to %s, which sound workers ran %d times: %v", attempt, runs, failure)
		if runs > 0 && strings.Contains(attempt, "b") {
			lost++
		}
	}
	return lost, nil
}
