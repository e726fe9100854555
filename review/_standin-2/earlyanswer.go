package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// uploadKind is the size of a body, and how long after its answer the worker reads on.
type uploadKind struct {
	bytes  int
	readOn time.Duration
}

// kinds are the uploads, which alternate: one of the size of the site's largest photos and one
// above the size that a host buffers.
var kinds = []uploadKind{{352 << 10, 1500 * time.Millisecond}, {2 << 20, 100 * time.Millisecond}}

const (
	// photoPart is sent at once, with photoPause between the parts: 1 MB/s.
	photoPart  = 32 << 10
	photoPause = 30 * time.Millisecond
	// receiveBuffer is the size of a worker's receive buffer; windows are small.
	receiveBuffer = 64 << 10
	// earlyWorkers of photoWorkers answer earlyOf in earlyIn of their uploads early, for
	// earlyFor: a share of 0.67 and a part of 0.4.
	photoWorkers = 6
	earlyWorkers = 4
	earlyOf      = 2
	earlyIn      = 5
	earlyFor     = 6 * time.Second
	photoClients = 10
)

// kindOf returns the kind of an upload by its attempt, which ends with its number.
func kindOf(attempt string) uploadKind {
	return kinds[int(attempt[len(attempt)-1]-'0')%len(kinds)]
}

// photo is what a worker got of an upload.
type photo struct {
	got  int
	same bool
	err  error
}

// photoWorker is a stand-in of a worker that answers uploads before it has read them, keeps the
// channel and reads on later; without early, it reads them first.
type photoWorker struct {
	name   string
	early  bool
	until  time.Time
	served int
	record *record

	mu     sync.Mutex
	photos map[string]photo
}

func (w *photoWorker) serve(conn net.Conn) {
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		if want := r.Header.Get("Expect-Instance"); want != "" && want != w.name {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
			return
		}
		w.record.add("worker %s runs %s (%s %s), %d bytes announced", w.name, attempt, r.Method, r.RequestURI, r.ContentLength)
		early := w.isEarly()
		if early {
			w.answer(conn, attempt)
			time.Sleep(kindOf(attempt).readOn)
		}
		body, err := io.ReadAll(r.Body)
		w.mu.Lock()
		w.photos[attempt] = photo{len(body), bytes.Equal(body, photoOf(attempt)), err}
		w.mu.Unlock()
		w.record.add("worker %s got %d bytes of the body of %s: %v", w.name, len(body), attempt, err)
		if err != nil {
			return
		}
		if !early {
			w.answer(conn, attempt)
		}
	}
}

// isEarly reports whether the worker answers its next upload early.
func (w *photoWorker) isEarly() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.early || time.Now().After(w.until) {
		return false
	}
	w.served++
	return w.served%earlyIn < earlyOf
}

func (w *photoWorker) answer(conn net.Conn, attempt string) {
	out := []byte("stored " + attempt)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, signature(out), len(out), out)
	w.record.add("worker %s answered %s", w.name, attempt)
}

// photoOf returns the body of an upload.
func photoOf(attempt string) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%-16s", attempt)), kindOf(attempt).bytes/16)
}

// earlyAnswer uploads photos to workers that answer before they have read them.
func earlyAnswer(d *deployment, trouble bool) (bool, error) {
	if err := d.configure(state{
		services: []string{"gallery"}, keys: []string{viewKey}, rate: 182, burst: 182,
		routes: []route{
			{name: "r-photos", host: "photos.example", prefix: "/photos/", kind: "upload", service: "gallery", timeoutS: 3, goalS: 0.4},
		},
	}); err != nil {
		return false, err
	}
	var workers []*photoWorker
	for i, zone := range zoneNames {
		for n := range photoWorkers / len(zoneNames) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return false, err
			}
			w := &photoWorker{name: fmt.Sprintf("i-photo-%d-%d", i, n), early: trouble && len(workers) < earlyWorkers, record: d.record, photos: map[string]photo{}}
			workers = append(workers, w)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go w.serve(conn)
				}
			}()
			d.register(w.name, "gallery", zone, listener.Addr().String(), 4, time.Now().UnixMilli())
		}
		if _, err := d.addHost("edge-"+zone, zone); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	addresses, err := d.resolve(d.hosts[0], "photos.example", "zone-a")
	if err != nil {
		return false, err
	}
	stopAt := time.Now().Add(earlyFor)
	for _, w := range workers {
		w.mu.Lock()
		w.until = stopAt
		w.mu.Unlock()
	}
	var mu sync.Mutex
	var done []string
	all := 0
	var running sync.WaitGroup
	for client := range photoClients {
		running.Go(func() {
			for n := 0; time.Now().Before(stopAt); n++ {
				attempt := fmt.Sprintf("photo-%d-%d", client, n)
				success := d.upload(addresses[client%len(addresses)], attempt)
				mu.Lock()
				all++
				if success {
					done = append(done, attempt)
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	// The workers may still be reading.
	time.Sleep(3 * time.Second)
	changed := 0
	for _, attempt := range done {
		for _, w := range workers {
			w.mu.Lock()
			p, ran := w.photos[attempt]
			w.mu.Unlock()
			if ran && !p.same {
				changed++
				d.record.add("the client has the whole success of worker %s for %s, and the worker got %d of %d bytes", w.name, attempt, p.got, kindOf(attempt).bytes)
			}
		}
	}
	d.record.add("%d of %d uploads that were answered with success reached their worker with another body than the client's; %d were sent", changed, len(done), all)
	return changed > 0, nil
}

// upload sends a photo, reads its answer and reports whether it is a whole success of a worker.
func (d *deployment) upload(address, attempt string) (success bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		d.record.add("client cannot connect: %v", err)
		return false
	}
	defer conn.Close()
	d.record.add("client sends %s, %d bytes", attempt, kindOf(attempt).bytes)
	_, _ = fmt.Fprintf(conn, "POST /photos/%s HTTP/1.1\r\nHost: photos.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", attempt, attempt, viewKey, kindOf(attempt).bytes)
	var sending sync.WaitGroup
	sending.Go(func() {
		body := photoOf(attempt)
		for sent := 0; sent < len(body); sent += photoPart {
			if _, err := conn.Write(body[sent : sent+photoPart]); err != nil {
				d.record.add("client could send %d bytes of %s: %v", sent, attempt, err)
				return
			}
			time.Sleep(photoPause)
		}
		d.record.add("client has sent all of %s", attempt)
	})
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		var out []byte
		if out, err = io.ReadAll(response.Body); err == nil {
			success = response.StatusCode == http.StatusOK && response.Header.Get("Response-Signature") == signature(out)
			d.record.add("client got the answer to %s: status %d, signature right: %v, Connection: %q", attempt, response.StatusCode, success, response.Header.Get("Connection"))
		}
	}
	if err != nil {
		d.record.add("client got no answer to %s: %v", attempt, err)
	}
	sending.Wait()
	return success
}
