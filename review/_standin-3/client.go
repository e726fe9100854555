package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is one request of a client and what came back; status 0 means no answer.
type answer struct {
	attempt, key, host string
	sent, ended        time.Time
	status             int
	body               string
}

// client sends requests at a rate, each to an address that the directory named.
type client struct {
	world        *world
	zone, region string
	key, method  string
	target       string
	hostHeader   string
	rate         float64
	transport    *http.Transport

	mu        sync.Mutex
	addresses []string
	until     time.Time
	answers   []answer
	pending   sync.WaitGroup
}

var attempts atomic.Int64

func (w *world) newClient(zone, region, hostHeader, method, target, key string, rate float64) *client {
	return &client{
		world: w, zone: zone, region: region, key: key, method: method, target: target, hostHeader: hostHeader, rate: rate,
		transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16},
	}
}

// run sends requests until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			c.pending.Wait()
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) / c.rate * float64(time.Second))):
		}
		if address := c.resolve(); address != "" {
			c.pending.Add(1)
			go func() {
				defer c.pending.Done()
				c.send(address)
			}()
		}
	}
}

// resolve returns an address that the directory named, and asks it again once the answer
// is too old. It tries up to three hosts, those of the own zone and region first.
func (c *client) resolve() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.ask()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

func (c *client) ask() {
	var order []*entryHost
	for _, near := range []func(*entryHost) bool{
		func(h *entryHost) bool { return h.zone == c.zone },
		func(h *entryHost) bool { return h.zone != c.zone && h.region == c.region },
		func(h *entryHost) bool { return h.region != c.region },
	} {
		for _, h := range c.world.hosts {
			if near(h) {
				order = append(order, h)
			}
		}
	}
	query := url.Values{"name": {c.hostHeader}, "region": {c.region}, "zone": {c.zone}}.Encode()
	for _, h := range order[:min(3, len(order))] {
		response, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/api/resolve?%s", h.ip, directoryPort, query))
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string
			TTLS      float64
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			c.addresses, c.until = body.Addresses, time.Now().Add(time.Duration(body.TTLS*float64(time.Second)))
			return
		}
	}
}

// send sends one request to an address and waits for its answer.
func (c *client) send(address string) {
	attempt := fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1))
	request, err := http.NewRequest(c.method, "http://"+address+c.target, nil)
	if err != nil {
		panic(err)
	}
	request.Host = c.hostHeader
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Affinity-Key", fmt.Sprint(rand.IntN(50)))
	request.Header.Set("Deadline-Ms", "2500")
	request.Header.Set("Authorization", "Bearer "+c.key)
	a := answer{attempt: attempt, key: c.key, host: c.world.nameOf(address), sent: time.Now()}
	c.world.record.note("sent      %s to %s, key %s", attempt, a.host, c.key)
	response, err := (&http.Client{Transport: c.transport, Timeout: 2500 * time.Millisecond}).Do(request)
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			a.status, a.body = response.StatusCode, strings.TrimSpace(string(data))
		}
	}
	a.ended = time.Now()
	c.world.record.note("answered  %s by %s: %d %.60s", attempt, a.host, a.status, a.body)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
}

// nameOf returns the name of the host at an address.
func (w *world) nameOf(address string) string {
	for _, h := range w.hosts {
		if h.front() == address {
			return h.name
		}
	}
	return address
}

// results returns the answers so far.
func (c *client) results() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}
