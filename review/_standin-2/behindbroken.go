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
	// packBytes is the size of a download, brokenAt where the faulty worker truncates it.
	packBytes = 3 << 20
	brokenAt  = 2 << 20
	// behind is the number of requests that a client sends behind a download.
	behind = 6
	// channels are the channels of the client, opened one after the other with channelGap
	// between them, as a worker that has failed gets nothing for a moment.
	channels   = 6
	channelGap = 1500 * time.Millisecond
	// lostBound is how many requests may be lost.
	lostBound = 3
)

// behindBroken lets a worker truncate large answers, behind which clients have sent further
// requests that sound workers run.
func behindBroken(d *deployment, trouble bool) (bool, error) {
	if err := d.configure(state{
		services: []string{"packs", "boards"}, keys: []string{viewKey}, rate: 182, burst: 182,
		routes: []route{
			{name: "r-packs", host: "packs.example", prefix: "/packs/", kind: "download", service: "packs", timeoutS: 2.5, goalS: 0.25},
			{name: "r-boards", host: "boards.example", prefix: "/boards/", kind: "idempotent", service: "boards", timeoutS: 2.5, goalS: 0.4},
		},
	}); err != nil {
		return false, err
	}
	var sound []*worker
	for i, zone := range zoneNames {
		if _, err := d.addWorker(fmt.Sprintf("i-pack-%d", i), "packs", zone, 4, func(_ *http.Request, _ []byte) []byte {
			return bytes.Repeat([]byte("map "), packBytes/4)
		}, truncating(trouble)); err != nil {
			return false, err
		}
		for n := range 2 {
			w, err := d.addWorker(fmt.Sprintf("i-board-%d-%d", i, n), "boards", zone, 4, func(r *http.Request, _ []byte) []byte {
				time.Sleep(20 * time.Millisecond)
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
	lost := 0
	for channel := range channels {
		time.Sleep(channelGap)
		n, err := d.fetch(addresses[0], channel, sound)
		if err != nil {
			return false, err
		}
		lost += n
	}
	d.record.add("%d requests were passed on from kept channels to sound workers, which answered them, and the channel ended without their answers; more than %d break the rule", lost, lostBound)
	return lost > lostBound, nil
}

// truncating makes a worker end its channel in the middle of its second answer and of each
// second one after that.
func truncating(trouble bool) func(w *worker) {
	return func(w *worker) {
		var mu sync.Mutex
		answers := 0
		w.cut = func() int {
			mu.Lock()
			defer mu.Unlock()
			answers++
			if !trouble || answers%2 == 1 {
				return 0
			}
			return brokenAt
		}
	}
}

// fetch sends a download and requests behind it on a kept channel, and returns how many of
// these ran at sound workers and got no answer.
func (d *deployment) fetch(address string, channel int, sound []*worker) (lost int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	send := func(attempt, virtualHost, path string) error {
		d.record.add("client sends %s (%s) on channel %d", attempt, path, channel)
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", path, virtualHost, attempt, viewKey)
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	first := fmt.Sprintf("c%dfirst", channel)
	if err := send(first, "packs.example", "/packs/1"); err != nil {
		return 0, err
	}
	if err := d.readAnswer(in, first); err != nil {
		return 0, fmt.Errorf("the first request of a channel: %w", err)
	}
	attempts := []string{fmt.Sprintf("c%dpack", channel)}
	if err := send(attempts[0], "packs.example", "/packs/1"); err != nil {
		return 0, err
	}
	for i := range behind {
		attempts = append(attempts, fmt.Sprintf("c%db%d", channel, i))
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
