package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The figures of plan-upload on the grown site of the barrier hire: the time budget and
// the longest work of a request.
const (
	planBudget = 6 * time.Second
	planWork   = 3840 * time.Millisecond
	// stopClients is the number of clients, each with one request.
	stopClients = 10
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 6 * time.Second
	// lastSixth is when the last sixth of graceTime begins. Work that goes on then is
	// excused.
	lastSixth = graceTime * 5 / 6
)

// plan is one request of the case.
type plan struct {
	sent, begun, workEnd time.Duration
	answer               string
	complete             bool
}

// stopCutsRequest: after SIGTERM a host must not cut a request whose worker is done before
// the last sixth of the time that the host has.
func stopCutsRequest(w *world) ([]string, error) {
	w.regions = map[string]string{"colombo": "western", "negombo": "western"}
	if err := w.chooseNetwork(2); err != nil {
		return nil, err
	}
	address, err := w.store.listen("western")
	if err != nil {
		return nil, err
	}
	w.putConfig(7, 0, 0, pathRoute{name: "r-plan", prefix: "/plan/", kind: "upload", service: "ho-so", timeoutS: planBudget.Seconds(), goalS: 1, maxAttempts: 2})
	var mu sync.Mutex
	plans := map[string]*plan{}
	var start time.Time
	for i, zone := range []string{"colombo", "negombo"} {
		k, err := startWorker(fmt.Sprintf("i-%d", i+1), func(conn net.Conn, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			p := plans[r.Header.Get("Attempt-Id")]
			p.begun = time.Since(start)
			p.workEnd = p.begun + planWork
			mu.Unlock()
			time.Sleep(planWork)
			answer := []byte("kept\n")
			writeAnswer(conn, r, http.StatusOK, signature(answer)+"Server-Load: 1,0,6\r\n", answer)
			return true
		})
		if err != nil {
			return nil, err
		}
		w.register(k.id, "ho-so", zone, k.address, 6, time.Now())
	}
	for _, zone := range []string{"colombo", "negombo"} {
		if _, err := w.startHost(hostOptions{zone: zone, region: "western", store: address, bounds: bounds(), cores: 1}); err != nil {
			return nil, err
		}
	}
	if err := w.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)

	leaving := w.hosts[0]
	addresses, ttl, err := resolve(leaving, "colombo")
	if err != nil || !slices.Contains(addresses, leaving.address(frontPort)) {
		return nil, fmt.Errorf("the directory answers %v, %v", addresses, err)
	}
	w.record.printf("directory: %v for %v; a client may keep that for three times as long", addresses, ttl)
	var conns []net.Conn
	for range stopClients {
		conn, err := net.DialTimeout("tcp", leaving.address(frontPort), time.Second)
		if err != nil {
			return nil, err
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	start = time.Now()
	if w.trouble {
		w.record.printf("SIGTERM to %s", leaving.name)
		leaving.signal(syscall.SIGTERM, true)
	}
	var clients sync.WaitGroup
	for i, conn := range conns {
		attempt := fmt.Sprintf("p-%d", i)
		plans[attempt] = &plan{}
		clients.Go(func() {
			waitUntil(start.Add(1030*time.Millisecond + time.Duration(i)*7*time.Millisecond))
			sendPlan(conn, attempt, plans[attempt], start, &mu)
		})
	}
	waitUntil(start.Add(graceTime))
	if w.trouble {
		w.record.printf("SIGKILL to %s if it still runs; ended: %v", leaving.name, leaving.ended())
		leaving.signal(syscall.SIGKILL, true)
	}
	clients.Wait()
	var breaches []string
	for i := range stopClients {
		attempt := fmt.Sprintf("p-%d", i)
		p := plans[attempt]
		w.record.printf("%s: sent %v after the SIGTERM, at work from %v, done at %v: %s", attempt, p.sent, p.begun, p.workEnd, p.answer)
		passedOn := p.begun > 0
		if passedOn && !p.complete && p.sent <= 3*time.Second && p.workEnd < lastSixth {
			breaches = append(breaches, fmt.Sprintf("%s was sent %v after the SIGTERM and passed on, its worker is done at %v, before the last sixth of graceS, but the client got: %s", attempt, p.sent, p.workEnd, p.answer))
		}
	}
	return breaches, nil
}

// sendPlan sends one request on an open channel and reads its answer.
func sendPlan(conn net.Conn, attempt string, p *plan, start time.Time, mu *sync.Mutex) {
	_ = conn.SetDeadline(time.Now().Add(planBudget))
	sent := time.Since(start)
	_, err := fmt.Fprintf(conn, "POST /plan/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nplan",
		virtualHost, attempt, planBudget.Milliseconds(), tenantKey)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	mu.Lock()
	defer mu.Unlock()
	p.sent = sent
	if err != nil {
		p.answer = fmt.Sprintf("the channel ended without an answer at %v: %v", time.Since(start), err)
		return
	}
	p.answer = fmt.Sprintf("%d with %d bytes at %v", response.StatusCode, len(body), time.Since(start))
	p.complete = response.StatusCode == http.StatusOK && response.Header.Get("Response-Signature") != ""
}

// resolve asks a host's directory where a client of a zone should connect.
func resolve(h *host, zone string) (addresses []string, ttl time.Duration, err error) {
	query := url.Values{"name": {virtualHost}, "region": {h.region}, "zone": {zone}}
	response, err := http.Get("http://" + h.address(directoryPort) + "/api/resolve?" + query.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Addresses, time.Duration(answer.TTLS * float64(time.Second)), err
}
