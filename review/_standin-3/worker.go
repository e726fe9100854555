package main

import (
	"crypto/sha256"
	"encoding/hex"
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

// worker is a stand-in of a worker: it registers, sends heartbeats and serves requests.
type worker struct {
	id, service, zone, address string
	slots                      int
	workTime                   time.Duration
	world                      *world
	born                       int64
	running                    atomic.Int64
	// version is that of the worker's software; failShare of its answers are failures, with
	// failStatus.
	version    string
	failShare  float64
	failStatus int
	// losing is set while the answers of a part of the requests are lost.
	losing atomic.Bool
	// steady makes the worker write its entry at even intervals, from its start on.
	steady bool
	// returnAfter is how long after a return of the store the entry is written again.
	returnAfter time.Duration
	server      *http.Server
	places      chan struct{}

	mu    sync.Mutex
	state string
	seq   int
	gone  bool
	// written is when the store last confirmed the entry.
	written time.Time
}

// addWorker starts a worker. It writes its entry until it is gone.
func (w *world) addWorker(service, zone string, workTime time.Duration) error {
	listener, err := net.Listen("tcp", w.network+".251:0")
	if err != nil {
		return err
	}
	n := len(w.workers) + 1
	k := &worker{
		id: fmt.Sprintf("i-%06x%02d", rand.IntN(1<<24), n), service: service, zone: zone, address: listener.Addr().String(), slots: 4, workTime: workTime,
		world: w, born: time.Now().UnixMilli(), state: "ready", places: make(chan struct{}, 4), version: "v1", returnAfter: rand.N(250 * time.Millisecond),
	}
	k.server = &http.Server{Handler: k}
	w.workers = append(w.workers, k)
	go func() { _ = k.server.Serve(listener) }()
	k.write()
	go k.keepEntry()
	return nil
}

// stop ends the worker at once, and removes its entry.
func (k *worker) stop() {
	k.mu.Lock()
	k.gone = true
	k.mu.Unlock()
	_ = k.server.Close()
	k.world.store.remove("servers", k.id)
}

// write writes the worker's entry and reports whether the store confirmed it.
func (k *worker) write() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone {
		return true
	}
	k.seq++
	_, confirmed := k.world.store.put("servers", k.id, map[string]any{
		"address": k.address, "born": k.born,
		"info":   map[string]any{"service": k.service, "version": k.version, "zone": k.zone, "slots": k.slots},
		"status": map[string]any{"state": k.state, "seq": k.seq, "coldLeftS": 0},
	})
	if confirmed {
		k.written = time.Now()
	}
	return confirmed
}

// silence returns the time since the store last confirmed the entry.
func (k *worker) silence() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.written)
}

// keepEntry writes the entry every heartbeat, and again after the store was away.
func (k *worker) keepEntry() {
	for wait := rand.N(heartbeat); ; wait = heartbeat - 100*time.Millisecond + rand.N(200*time.Millisecond) {
		k.mu.Lock()
		if k.steady {
			wait = heartbeat - time.Since(k.written)
		}
		k.mu.Unlock()
		time.Sleep(wait)
		if k.write() {
			continue
		}
		for k.world.store.isAway() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(k.returnAfter)
	}
}

// isAway reports whether the store is away.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	h := out.Header()
	attempt := in.Header.Get("Attempt-Id")
	if attempt != "" {
		h.Set("Attempt-Id", attempt)
	}
	if want := in.Header.Get("Expect-Instance"); want != "" && want != k.id {
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if in.URL.Path == "/health" {
		h.Set("Instance-Id", k.id)
		return
	}
	defer k.running.Add(-1)
	if k.running.Add(1) > int64(4*k.slots) {
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
		return
	}
	select {
	case k.places <- struct{}{}:
		defer func() { <-k.places }()
	case <-in.Context().Done():
		return
	}
	k.world.noteRun(run{attempt, in.Header.Get("Tenant"), in.URL.RequestURI(), k, time.Now()})
	select {
	case <-time.After(k.workTime):
	case <-in.Context().Done():
		return
	}
	if k.losing.Load() && rand.Float64() < lostPart {
		k.world.record.note("lost      the answer to %s by %s", attempt, k.id)
		if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	body := k.service + " " + k.id + " " + attempt + "\n"
	sum := sha256.Sum256([]byte(body))
	h.Set("Response-Signature", hex.EncodeToString(sum[:8]))
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(k.places), max(k.running.Load()-int64(k.slots), 0), k.slots))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if rand.Float64() < k.failShare {
		out.WriteHeader(k.failStatus)
	}
	_, _ = io.WriteString(out, body)
}
