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
	"syscall"
	"time"
)

const (
	viewHost = "jepu9.example"
	viewKey  = "9anu6wsjnbanfqasnmgk"
	// drainBound is drainS.
	drainBound = 2 * time.Second
	// restartDelay is how long a killed process is down.
	restartDelay = 500 * time.Millisecond
	// removalDelay is when, after the kill, the worker's entry is removed.
	removalDelay = 420 * time.Millisecond
	// stay is how long a worker serves after the removal of its entry.
	stay      = 15 * time.Second
	rounds    = 10
	roundTime = 7 * time.Second
	// jitter varies the time of a round, as kills are not in step with the reads of the store.
	jitter  = 900 * time.Millisecond
	clients = 12
	pause   = 60 * time.Millisecond
)

// leaving is a worker whose entry was removed while it goes on serving.
type leaving struct {
	worker    *worker
	removedAt time.Time
}

// sent is a request that a client sent.
type sent struct {
	host *host
	at   time.Time
}

// arrival is a request that a worker runs.
type arrival struct {
	worker, attempt string
	at              time.Time
}

// readerKilled kills the first host of a region, which reads the store for the others, in each
// round. With trouble, a worker's entry is removed while that host is down, else it is removed
// while all run. The check is the rule DRAIN for the hosts that are never disturbed.
func readerKilled(d *deployment, trouble bool) (bool, error) {
	if err := d.configure(state{
		services: []string{"huvo11a"}, keys: []string{viewKey}, rate: 600, burst: 600,
		routes: []route{
			{name: "r-view", host: viewHost, prefix: "/lepu270/", kind: "idempotent", service: "huvo11a", timeoutS: 2, goalS: 0.3},
		},
	}); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var arrivals []arrival
	var workers []*worker
	for n := range rounds + 4 {
		name := fmt.Sprintf("i-%02d", n)
		w, err := d.addWorker(name, "huvo11a", "zone-a", 4, func(r *http.Request, _ []byte) []byte {
			mu.Lock()
			arrivals = append(arrivals, arrival{name, r.Header.Get("Attempt-Id"), time.Now()})
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			return []byte("ran " + r.Header.Get("Attempt-Id"))
		})
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	for n := range 3 {
		if _, err := d.addHost(fmt.Sprintf("edge-a-%d", n+1), "zone-a"); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	reader, calm := d.hosts[0], d.hosts[1:]
	requests := map[string]sent{}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() { d.callViews(calm[n%len(calm)], n, stop, &mu, requests) })
	}
	var gone []leaving
	for n := range rounds {
		w := workers[n]
		if !trouble {
			d.unregister(w.name)
			gone = append(gone, leaving{w, time.Now()})
			time.AfterFunc(stay, w.stop)
			d.record.add("the entry of worker %s is removed; it goes on serving", w.name)
			time.Sleep(roundTime)
			continue
		}
		d.record.add("host %s is killed", reader.name)
		_ = reader.process.Process.Signal(syscall.SIGKILL)
		time.Sleep(removalDelay)
		d.unregister(w.name)
		gone = append(gone, leaving{w, time.Now()})
		time.AfterFunc(stay, w.stop)
		d.record.add("the entry of worker %s is removed; it goes on serving", w.name)
		time.Sleep(restartDelay - removalDelay)
		<-reader.exited
		if err := d.start(reader); err != nil {
			return false, err
		}
		time.Sleep(roundTime - restartDelay + rand.N(jitter))
	}
	close(stop)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range arrivals {
		i := slices.IndexFunc(gone, func(l leaving) bool { return l.worker.name == a.worker })
		if i < 0 {
			continue
		}
		after := a.at.Sub(gone[i].removedAt)
		if after <= drainBound {
			continue
		}
		if late++; late <= 40 {
			d.record.add("worker %s ran %s %.3f s after its entry was removed; host %s, which was never disturbed, had got it from the client", a.worker, a.attempt, after.Seconds(), requests[a.attempt].host.name)
		}
	}
	d.record.add("%d requests, %d of them reached a worker later than %v after the removal of its entry", len(requests), late, drainBound)
	return late > 0, nil
}

// callViews sends requests to a host on a kept channel until stop is closed.
func (d *deployment) callViews(h *host, client int, stop <-chan struct{}, mu *sync.Mutex, requests map[string]sent) {
	var conn net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(pause):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", h.front(), time.Second); err != nil {
				conn = nil
				continue
			}
			in = bufio.NewReader(conn)
		}
		attempt := fmt.Sprintf("c%dr%d", client, n)
		mu.Lock()
		requests[attempt] = sent{h, time.Now()}
		mu.Unlock()
		d.record.add("client %d sends %s to %s", client, attempt, h.name)
		_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
		_, err := fmt.Fprintf(conn, "GET /lepu270/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAffinity-Key: %d\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n",
			n%51, viewHost, attempt, n%51, viewKey)
		if err == nil {
			err = d.readAnswer(in, attempt)
		}
		if err != nil {
			d.record.add("client %d has no answer to %s: %v", client, attempt, err)
			_ = conn.Close()
			conn = nil
		}
	}
}

// readAnswer reads the answer to an attempt.
func (d *deployment) readAnswer(in *bufio.Reader, attempt string) error {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	d.record.add("answer to %s: status %d, %d bytes", attempt, response.StatusCode, len(body))
	if response.Close {
		return io.EOF
	}
	return nil
}
