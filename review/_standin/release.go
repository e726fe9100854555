package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of swap-confirm on the smallest site: its timeout and its work. The route
// is not sticky, so that a known object is served no faster.
const (
	swapTimeout = time.Second
	swapBudget  = 3 * time.Second
	swapWork    = 500 * time.Millisecond
	swapSpread  = 0.15
	swapThings  = 24
	swapWorkers = 12
	swapSlots   = 4
	// slowFactor and slowShare are those of a bad version that is slow.
	slowFactor = 8
	slowShare  = 0.5
	// rolloutTime is the time budget of the order, learnTime how long the old version
	// serves before it.
	rolloutTime = 16 * time.Second
	learnTime   = 10 * time.Second
	coldTime    = 3 * time.Second
	// swapRate is the number of requests a second.
	swapRate = 60
	// The bounds of the rule.
	exposureShare  = 0.1
	exposureSlack  = 50
	rollbackTime   = 5 * time.Second
	shownBadNumber = 50
)

// arrival is a request that reached a worker.
type arrival struct {
	version  string
	at, sent time.Duration
}

// releases is the state of the case.
type releases struct {
	*world
	mu       sync.Mutex
	arrivals []arrival
	// sent holds when each attempt was sent, badAt when the new version gave each bad
	// answer.
	sent    map[string]time.Duration
	badAt   []time.Duration
	answers map[int]int
	// oldStopped is set once the workers of the old version have been stopped.
	oldStopped atomic.Bool
}

func (c *releases) since() time.Duration { return time.Since(c.record.start) }

// slowRelease: a new version of which half of the answers are eight times as slow must get
// a small share of the requests only, and none soon after it has shown.
func slowRelease(w *world) ([]string, error) {
	c := &releases{world: w, sent: map[string]time.Duration{}, answers: map[int]int{}}
	w.regions = map[string]string{"colombo": "western", "negombo": "western"}
	zones := []string{"colombo", "negombo"}
	if err := w.chooseNetwork(3); err != nil {
		return nil, err
	}
	address, err := w.store.listen("western")
	if err != nil {
		return nil, err
	}
	w.putConfig(7, 0, 0, pathRoute{name: "r-swap", prefix: "/swap/", kind: "non_idempotent", service: "swap-desk", timeoutS: swapTimeout.Seconds(), goalS: 0.4, maxAttempts: 2})
	if err := c.startVersion("v1", 0); err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := w.startHost(hostOptions{zone: zones[i%2], region: "western", store: address, bounds: bounds(), cores: 1}); err != nil {
			return nil, err
		}
	}
	if err := w.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { c.send(stop) })
	time.Sleep(learnTime)
	ordered := c.since()
	w.store.put("op", "rollout/swap-desk", map[string]any{"service": "swap-desk", "to": "v2", "overS": rolloutTime.Seconds()})
	w.record.printf("operator: swap-desk is to move to v2 within %v", rolloutTime)
	if err := c.startVersion("v2", coldTime); err != nil {
		return nil, err
	}
	c.watchStatus(ordered + rolloutTime)
	close(stop)
	clients.Wait()
	time.Sleep(swapBudget)
	return c.judge(ordered), nil
}

// startVersion starts the workers of a version, which are cold at first.
func (c *releases) startVersion(version string, cold time.Duration) error {
	born := time.Now()
	for i := range swapWorkers {
		id := fmt.Sprintf("i-%s-%d", version, i)
		k, err := startWorker(id, func(conn net.Conn, r *http.Request) bool { return c.serve(version, conn, r) })
		if err != nil {
			return err
		}
		zone := []string{"colombo", "negombo"}[i%2]
		row := func(cold time.Duration, seq int) {
			c.store.put("servers", id, map[string]any{
				"address": k.address, "born": born.UnixMilli(),
				"info":   map[string]any{"service": "swap-desk", "version": version, "zone": zone, "slots": swapSlots},
				"status": map[string]any{"state": "ready", "seq": seq, "coldLeftS": cold.Seconds()},
			})
		}
		row(cold, 1)
		if cold > 0 {
			time.AfterFunc(cold, func() { row(0, 2) })
		}
	}
	return nil
}

// serve runs one request, until its time budget at most.
func (c *releases) serve(version string, conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("Attempt-Id")
	c.mu.Lock()
	c.arrivals = append(c.arrivals, arrival{version, c.since(), c.sent[attempt]})
	c.mu.Unlock()
	if version == "v1" && c.oldStopped.Load() {
		return false
	}
	work := time.Duration(float64(swapWork) * (1 + swapSpread*(2*rand.Float64()-1)))
	bad := c.trouble && version == "v2" && rand.Float64() < slowShare
	if bad {
		work *= slowFactor
	}
	status := http.StatusOK
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil && work > time.Duration(ms)*time.Millisecond {
		work, status = time.Duration(ms)*time.Millisecond, http.StatusGatewayTimeout
	}
	time.Sleep(work)
	if bad {
		c.mu.Lock()
		c.badAt = append(c.badAt, c.since())
		c.mu.Unlock()
	}
	answer := []byte("swapped\n")
	writeAnswer(conn, r, status, signature(answer)+fmt.Sprintf("Server-Load: 1,0,%d\r\n", swapSlots), answer)
	return true
}

// send sends requests to all hosts in turn, at a steady rate, until stop is closed.
func (c *releases) send(stop <-chan struct{}) {
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / swapRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			running.Wait()
			return
		case <-ticker.C:
			running.Go(func() { c.swap(c.hosts[n%len(c.hosts)], n) })
		}
	}
}

func (c *releases) swap(h *host, n int) {
	conn, err := net.DialTimeout("tcp", h.address(frontPort), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	attempt := fmt.Sprintf("s-%d", n)
	c.mu.Lock()
	c.sent[attempt] = c.since()
	c.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(swapBudget))
	_, _ = fmt.Fprintf(conn, "POST /swap/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAffinity-Key: %d\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\nvases",
		n, virtualHost, attempt, n%swapThings, swapBudget.Milliseconds(), tenantKey)
	status := 0
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		status = response.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[status]++
}

// watchStatus records the status that the system reports, until an instant. When the
// roll-out is completed, the platform stops the old workers at once.
func (c *releases) watchStatus(until time.Duration) {
	last := ""
	for c.since() < until {
		c.store.mu.Lock()
		known := c.store.rows[[2]string{"status", "rollout/swap-desk"}]
		c.store.mu.Unlock()
		var status struct {
			State string `json:"state"`
			To    string `json:"to"`
		}
		if json.Unmarshal(known.Value, &status) == nil && status.State != last {
			last = status.State
			c.record.printf("status/rollout/swap-desk: %s to %s", status.State, status.To)
			if last == "completed" {
				c.oldStopped.Store(true)
				for i := range swapWorkers {
					c.store.remove("servers", fmt.Sprintf("i-v1-%d", i))
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// judge applies the rule to the requests that reached the service between the order and
// its time budget.
func (c *releases) judge(ordered time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, next, late := 0, 0, 0
	seconds := map[int][2]int{}
	for _, a := range c.arrivals {
		n := seconds[int(a.at/time.Second)]
		if a.version == "v2" {
			n[1]++
		} else {
			n[0]++
		}
		seconds[int(a.at/time.Second)] = n
		if a.at < ordered || a.at > ordered+rolloutTime {
			continue
		}
		all++
		if a.version == "v2" {
			next++
			if len(c.badAt) >= shownBadNumber && a.sent > c.badAt[shownBadNumber-1]+rollbackTime {
				late++
			}
		}
	}
	for s := 0; s <= int((ordered+rolloutTime)/time.Second); s++ {
		c.record.printf("second %d: %d reach v1, %d reach v2", s, seconds[s][0], seconds[s][1])
	}
	bound := int(exposureShare*float64(all)) + exposureSlack
	c.record.printf("from the order to its time budget %d requests reach the service, %d of them v2 (bound %d), %d bad answers, %d sent later than %v after the %dth", all, next, bound, len(c.badAt), late, rollbackTime, shownBadNumber)
	c.record.printf("answers by status: %v", c.answers)
	if !c.trouble {
		return nil
	}
	var breaches []string
	if next > bound {
		breaches = append(breaches, fmt.Sprintf("%d of %d requests reached the bad version, %d are allowed", next, all, bound))
	}
	if late > 0 {
		breaches = append(breaches, fmt.Sprintf("%d requests reached the bad version that were sent later than %v after its %dth bad answer", late, rollbackTime, shownBadNumber))
	}
	return breaches
}
