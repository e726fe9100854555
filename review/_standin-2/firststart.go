package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// startGap is the time between the starts of two hosts, and restAfter when the fourth starts;
	// all start within 0.3 s.
	startGap  = 18 * time.Millisecond
	restAfter = 150 * time.Millisecond
	// refusedAt and refusedFor are when, after the first start, the store begins to turn some
	// hosts away, and for how long.
	refusedAt  = 550 * time.Millisecond
	refusedFor = 9 * time.Second
	// trafficAt is when traffic starts, after the first start.
	trafficAt  = 8 * time.Second
	trafficFor = 8 * time.Second
	// quotaRate, quotaBurst, quotaWindow, quotaExcess and quotaSlack are the tenant's quota and
	// the bounds of the rule.
	quotaRate   = 100
	quotaBurst  = 100
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// demandPerHost is what the tenant asks of each host a second: 440 in all. The site's quotas
	// are 1.6 times what a tenant usually asks, so that is 7 times the usual.
	demandPerHost = 40
	quotaHosts    = 11
	refusedHosts  = 3
)

// firstStart starts all hosts for the first time. The store soon turns some of them away,
// and serves the others. One tenant sends more than its quota.
func firstStart(d *deployment, trouble bool) (bool, error) {
	if err := d.configure(state{
		services: []string{"huvo11a"}, keys: []string{viewKey}, rate: quotaRate, burst: quotaBurst,
		routes: []route{
			{name: "r-view", host: viewHost, prefix: "/lepu270/", kind: "idempotent", service: "huvo11a", timeoutS: 2, goalS: 0.3},
		},
	}); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var runs []time.Time
	for i, zone := range zoneNames {
		for n := range 6 {
			name := fmt.Sprintf("i-%d-%d", i, n)
			if _, err := d.addWorker(name, "huvo11a", zone, 8, func(*http.Request, []byte) []byte {
				mu.Lock()
				runs = append(runs, time.Now())
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				return []byte("view")
			}); err != nil {
				return false, err
			}
		}
	}
	// Machines start in any order: here the first three in that of falling names.
	start, err := d.startAll(hostNames, trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(start.Add(trafficAt)))
	for _, h := range d.hosts {
		addresses, err := d.resolve(h, viewHost, zoneNames[h.name[5]-'a'])
		d.record.add("the directory of %s names %v (%v)", h.name, addresses, err)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	counts := map[string]int{}
	for _, h := range d.hosts {
		for n := range demandPerHost / 10 {
			running.Go(func() {
				for k := range d.callQuota(h, n, stop) {
					mu.Lock()
					counts[fmt.Sprintf("%s status %d", h.name, k)]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(trafficFor)
	close(stop)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	var lines []string
	for k, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(lines)
	for _, line := range lines {
		d.record.add("%s", line)
	}
	slices.SortFunc(runs, time.Time.Compare)
	most, from := 0, 0
	for i, at := range runs {
		for at.Sub(runs[from]) > quotaWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaExcess) + quotaSlack
	d.record.add("at most %d requests of the tenant ran within %v, %.0f are allowed", most, quotaWindow, bound)
	return float64(most) > bound, nil
}

// callQuota sends ten requests a second to a host until stop is closed, and yields the statuses.
func (d *deployment) callQuota(h *host, n int, stop <-chan struct{}) func(yield func(status int) bool) {
	return func(yield func(status int) bool) {
		var conn net.Conn
		var in *bufio.Reader
		ticks := time.NewTicker(100 * time.Millisecond)
		defer ticks.Stop()
		for k := 0; ; k++ {
			select {
			case <-stop:
				if conn != nil {
					_ = conn.Close()
				}
				return
			case <-ticks.C:
			}
			if conn == nil {
				var err error
				if conn, err = net.DialTimeout("tcp", h.front(), time.Second); err != nil {
					conn = nil
					continue
				}
				in = bufio.NewReader(conn)
			}
			attempt := fmt.Sprintf("%s-%d-%d", h.name, n, k)
			_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
			_, err := fmt.Fprintf(conn, "GET /lepu270/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAffinity-Key: %d\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n",
				k%51, viewHost, attempt, k%51, viewKey)
			status := 0
			if err == nil {
				status, err = readStatus(in)
			}
			if err != nil {
				_ = conn.Close()
				conn = nil
			}
			if !yield(status) {
				return
			}
		}
	}
}

// readStatus reads an answer and returns its status.
func readStatus(in *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// hostNames are the names of the hosts; the letter is that of the zone.
var hostNames = []string{"edge-a-3", "edge-a-2", "edge-a-1", "edge-a-4", "edge-b-1", "edge-b-2", "edge-b-3", "edge-b-4", "edge-c-1", "edge-c-2", "edge-c-3"}

// startAll starts all hosts in the order of their names, and lets the store turn the first ones
// away if there is trouble.
func (d *deployment) startAll(names []string, trouble bool) (start time.Time, err error) {
	start = time.Now()
	for i, name := range names {
		at := time.Duration(i) * startGap
		if i >= refusedHosts {
			at = restAfter + time.Duration(i-refusedHosts)*startGap
		}
		time.Sleep(time.Until(start.Add(at)))
		if _, err := d.addHost(name, zoneNames[name[5]-'a']); err != nil {
			return start, err
		}
	}
	if trouble {
		time.Sleep(time.Until(start.Add(refusedAt)))
		for _, name := range names[:refusedHosts] {
			d.store.setRefused(name, true)
			d.record.add("the store turns %s away (503)", name)
		}
		time.AfterFunc(time.Until(start.Add(refusedAt+refusedFor)), func() {
			for _, name := range names[:refusedHosts] {
				d.store.setRefused(name, false)
				d.record.add("the store serves %s again", name)
			}
		})
	}
	return start, nil
}

const (
	// withdrawnAt is when the key is withdrawn, after the first start. applyBound is configApplyS
	// and stretchMaxS together.
	withdrawnAt = time.Second
	applyBound  = 7 * time.Second
	otherKey    = "cuyj8pjbvk9m68k7b2ex"
)

// firstStartKey is firstStart, with a key that is withdrawn before traffic starts and used all
// the same.
func firstStartKey(d *deployment, trouble bool) (bool, error) {
	with := func(keys ...string) state {
		return state{
			services: []string{"huvo11a"}, keys: keys, rate: quotaRate, burst: quotaBurst,
			routes: []route{
				{name: "r-view", host: viewHost, prefix: "/lepu270/", kind: "idempotent", service: "huvo11a", timeoutS: 2, goalS: 0.3},
			},
		}
	}
	if err := d.configure(with(otherKey, viewKey)); err != nil {
		return false, err
	}
	for i, zone := range zoneNames {
		if _, err := d.addWorker(fmt.Sprintf("i-%d", i), "huvo11a", zone, 8, func(*http.Request, []byte) []byte { return []byte("view") }); err != nil {
			return false, err
		}
	}
	// Machines start in any order: here a random one.
	names := slices.Clone(hostNames)
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	start, err := d.startAll(names, trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(start.Add(withdrawnAt)))
	if err := d.configure(with(otherKey)); err != nil {
		return false, err
	}
	withdrawn := time.Now()
	d.record.add("the operator withdraws a key")
	time.Sleep(time.Until(start.Add(trafficAt)))
	var mu sync.Mutex
	var running sync.WaitGroup
	stop := make(chan struct{})
	late := 0
	for n, h := range d.hosts {
		running.Go(func() {
			sentAt := time.Now()
			for status := range d.callQuota(h, n, stop) {
				after := sentAt.Sub(withdrawn)
				d.record.add("a request with the withdrawn key, sent to %s at least %.3f s after its withdrawal, is answered %d", h.name, after.Seconds(), status)
				if after > applyBound && status == http.StatusOK {
					mu.Lock()
					late++
					mu.Unlock()
				}
				sentAt = time.Now()
			}
		})
	}
	time.Sleep(4 * time.Second)
	close(stop)
	running.Wait()
	d.record.add("%d requests with the withdrawn key were sent later than %v after its withdrawal and ran", late, applyBound)
	return late > 0, nil
}
