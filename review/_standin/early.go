package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// uploadOptions are what the two cases of early answers vary.
type uploadOptions struct {
	chunked bool
	// crash makes workers crash instead of answering early.
	crash bool
	// cores is the number of cores that the machines show.
	cores int
	// size is the number of bytes of an upload. Clients write piece bytes at once and
	// pause after each piece.
	size  uint64
	piece int
	pause time.Duration
	// work is how long a worker takes for an upload that it has read.
	work time.Duration
	// answer is the number of bytes of an answer to an upload.
	answer int
	// clients is the number of clients that send uploads, bystanders the number of those
	// that send bookings to another service.
	clients, bystanders int
	// hold is how long a worker reads nothing before its early answer, lag how long after
	// it.
	hold, lag time.Duration
	// until ends the case before its time.
	until func(*uploads) bool
}

// The dose of the early answers is that of the sites: 0.7 of a service's workers reject
// 0.4 of the long requests before they are in, for 6 s. The case repeats it.
const (
	uploadWorkers  = 14
	earlyWorkers   = 9
	earlyPeriod    = 5
	earlyInPeriod  = 2
	earlyDuration  = 6 * time.Second
	earlyPause     = 4 * time.Second
	earlyRounds    = 8
	bookingWork    = 640 * time.Millisecond
	uploadSlots    = 3
	uploadThings   = 24
	settleTime     = 4 * time.Second
	uploadDeadline = 3 * time.Second
)

// The dose of the crashes is that of the sites: 0.14 of a service's workers crash for
// 4.5 s. The case repeats it.
const (
	crashWorkers = 2
	crashTime    = 4500 * time.Millisecond
	crashPause   = 700 * time.Millisecond
	crashRounds  = 18
)

// earlyBytes is how much of a body a worker reads before its early answer.
const earlyBytes = 640 << 10

// uploads is the state of a case of early answers.
type uploads struct {
	*world
	options uploadOptions
	// on is set while workers answer early.
	on   atomic.Bool
	next atomic.Int64

	// workers are those of the uploads.
	workers []*worker

	mu sync.Mutex
	// other lists the uploads of which a worker got other bytes.
	other []string
	// early counts the early answers, whole the bodies read to their end, cut those of
	// which the host closed the connection.
	early, whole, cut int
	// begun holds the bookings that a worker has begun, unanswered those whose channel
	// ended without an answer.
	begun      map[string]bool
	unanswered []string
	booked     int
}

// playUploads sends uploads to one host. While the disruption is on, workers answer
// some before they have read the body, keep the connection and read on.
func playUploads(w *world, o uploadOptions) (*uploads, error) {
	u := &uploads{world: w, options: o, begun: map[string]bool{}}
	w.regions = map[string]string{"colombo": "western", "negombo": "western"}
	zones := []string{"colombo", "negombo"}
	if err := w.chooseNetwork(len(zones)); err != nil {
		return nil, err
	}
	address, err := w.store.listen("western")
	if err != nil {
		return nil, err
	}
	w.putConfig(7, 0, 0,
		pathRoute{name: "r-upload", prefix: "/upload/", kind: "upload", service: "florist-gallery", timeoutS: 3, goalS: 0.4, maxAttempts: 2},
		pathRoute{name: "r-swap", prefix: "/swap/", kind: "non_idempotent", service: "swap-desk", timeoutS: 3, goalS: 0.4, maxAttempts: 2})
	for i := range uploadWorkers {
		served := 0
		var mu sync.Mutex
		slots := make(chan struct{}, uploadSlots)
		k, err := startWorker(fmt.Sprintf("i-gallery-%d", i), func(conn net.Conn, r *http.Request) bool {
			if o.crash {
				// A request in the queue waits with its body unread.
				slots <- struct{}{}
				defer func() { <-slots }()
			}
			mu.Lock()
			early := i < earlyWorkers && u.on.Load() && served%earlyPeriod < earlyInPeriod
			served++
			mu.Unlock()
			return u.serveUpload(conn, r, early)
		})
		if err != nil {
			return nil, err
		}
		u.workers = append(u.workers, k)
		w.register(k.id, "florist-gallery", zones[i%2], k.address, uploadSlots, time.Now())
		desk, err := startWorker(fmt.Sprintf("i-desk-%d", i), u.serveBooking)
		if err != nil {
			return nil, err
		}
		w.register(desk.id, "swap-desk", zones[i%2], desk.address, 4, time.Now())
	}
	for _, zone := range zones {
		if _, err := w.startHost(hostOptions{zone: zone, region: "western", store: address, bounds: bounds(), cores: o.cores}); err != nil {
			return nil, err
		}
	}
	if err := w.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	u.play()
	w.record.printf("workers: %d early answers, %d bodies read to their end, %d cut, %d with other bytes", u.early, u.whole, u.cut, len(u.other))
	w.record.printf("bookings: %d answered, %d begun by a worker and not answered", u.booked, len(u.unanswered))
	return u, nil
}

// play runs the clients and switches the early answers on and off.
func (u *uploads) play() {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	run := func(send func()) {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					send()
				}
			}
		})
	}
	for range u.options.clients {
		run(func() { u.upload(u.hosts[0], int(u.next.Add(1))) })
	}
	for i := range u.options.bystanders {
		channel := &bookingChannel{uploads: u, host: u.hosts[0], name: i}
		run(channel.book)
	}
	for round := 0; round < crashRounds && u.options.crash && !u.finished(); round++ {
		u.crashWorkers(round)
	}
	for round := 0; round < earlyRounds && !u.options.crash && !u.finished(); round++ {
		u.on.Store(u.trouble)
		u.record.printf("early answers: %v", u.trouble)
		u.waitWhile(earlyDuration)
		u.on.Store(false)
		u.record.printf("early answers: false")
		u.waitWhile(earlyPause)
	}
	close(stop)
	clients.Wait()
}

// crashWorkers lets some workers crash and come back.
func (u *uploads) crashWorkers(round int) {
	u.waitWhile(crashPause)
	var down []*worker
	for i := range crashWorkers {
		down = append(down, u.workers[(round*crashWorkers+i)%uploadWorkers])
	}
	for _, k := range down {
		if u.trouble {
			u.record.printf("worker %s crashes with %d connections", k.id, k.crash())
		}
	}
	u.waitWhile(crashTime)
	for _, k := range down {
		if !u.trouble {
			continue
		}
		if err := k.open(); err != nil {
			u.record.printf("worker %s does not come back: %v", k.id, err)
			continue
		}
		u.register(k.id, "florist-gallery", []string{"colombo", "negombo"}[slices.Index(u.workers, k)%2], k.address, uploadSlots, time.Now())
	}
}

func (u *uploads) finished() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.options.until(u)
}

// waitWhile waits for d, or until the case has finished.
func (u *uploads) waitWhile(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !u.finished(); {
		time.Sleep(50 * time.Millisecond)
	}
}

// serveUpload runs one upload and checks the bytes of its body.
func (u *uploads) serveUpload(conn net.Conn, r *http.Request, early bool) bool {
	attempt := r.Header.Get("Attempt-Id")
	seed, err := strconv.ParseUint(strings.TrimPrefix(attempt, "a-"), 10, 64)
	if err != nil {
		return false
	}
	answer := []byte(strings.Repeat("x", u.options.answer))
	header := signature(answer) + fmt.Sprintf("Server-Load: 1,0,%d\r\n", uploadSlots)
	offset := uint64(0)
	if early {
		if offset, err = checkBody(r.Body, seed, 0, earlyBytes); err == nil {
			time.Sleep(u.options.hold)
			writeAnswer(conn, r, http.StatusRequestEntityTooLarge, header, answer)
			u.record.printf("worker: %s answered early, after %d bytes", attempt, offset)
			u.mu.Lock()
			u.early++
			u.mu.Unlock()
			time.Sleep(u.options.lag)
		}
	}
	if err == nil {
		offset, err = checkBody(r.Body, seed, offset, 1<<40)
	}
	if !u.countBody(attempt, offset, err) {
		return false
	}
	if !early {
		time.Sleep(u.options.work)
		writeAnswer(conn, r, http.StatusOK, header, answer)
	}
	return true
}

// countBody records how a body ended, and reports whether the worker got all of it.
func (u *uploads) countBody(attempt string, offset uint64, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case errors.Is(err, io.EOF) && offset == u.options.size:
		u.whole++
		return true
	case errors.Is(err, errOtherBytes), errors.Is(err, io.EOF):
		u.other = append(u.other, fmt.Sprintf("worker: %s of %d bytes: at byte %d: %v", attempt, u.options.size, offset, err))
		u.record.printf("%s", u.other[len(u.other)-1])
	default:
		u.cut++
		u.record.printf("worker: %s: the connection ended at byte %d: %v", attempt, offset, err)
	}
	return false
}

// upload sends one upload as a plain client does: the whole request, then it reads the
// answer. A client that cannot write any more reads the answer at once.
func (u *uploads) upload(h *host, n int) {
	dialer := &net.Dialer{Timeout: time.Second, Control: smallSegments}
	conn, err := dialer.Dial("tcp", h.address(frontPort))
	if err != nil {
		u.record.printf("client: a-%d: %v", n, err)
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(uploadDeadline))
	length := fmt.Sprintf("Content-Length: %d", u.options.size)
	if u.options.chunked {
		length = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(conn, "POST /upload/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a-%d\r\nAffinity-Key: %d\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n",
		n, virtualHost, n, n%uploadThings, uploadDeadline.Milliseconds(), tenantKey, length)
	piece := make([]byte, u.options.piece)
	sent := uint64(0)
	for err == nil && sent < u.options.size {
		size := min(uint64(len(piece)), u.options.size-sent)
		pattern(piece[:size], uint64(n), sent)
		out := piece[:size]
		if u.options.chunked {
			out = append([]byte(fmt.Sprintf("%x\r\n", size)), append(out[:size:size], '\r', '\n')...)
		}
		if _, err = conn.Write(out); err == nil {
			sent += size
		}
		time.Sleep(u.options.pause)
	}
	if err == nil && u.options.chunked {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	response, readErr := http.ReadResponse(bufio.NewReader(conn), nil)
	if readErr != nil {
		u.record.printf("client: a-%d: %d bytes sent (%v), no answer: %v", n, sent, err, readErr)
		time.Sleep(50 * time.Millisecond)
		return
	}
	body, readErr := io.ReadAll(response.Body)
	u.record.printf("client: a-%d: %d bytes sent (%v), answer %d with %d bytes (%v)", n, sent, err, response.StatusCode, len(body), readErr)
	if response.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(200 * time.Millisecond)
	}
}

// serveBooking runs one booking of a bystander.
func (u *uploads) serveBooking(conn net.Conn, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.begun[r.Header.Get("Attempt-Id")] = true
	u.mu.Unlock()
	time.Sleep(bookingWork)
	answer := []byte("booked\n")
	writeAnswer(conn, r, http.StatusOK, signature(answer)+"Server-Load: 1,0,4\r\n", answer)
	return true
}

// bookingChannel is the kept channel of a client that books, one booking after the other.
type bookingChannel struct {
	*uploads
	host *host
	name int
	sent int
	conn net.Conn
	in   *bufio.Reader
}

// book sends one booking and reads its answer.
func (c *bookingChannel) book() {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.address(frontPort), time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	c.sent++
	attempt := fmt.Sprintf("b-%d-%d", c.name, c.sent)
	_ = c.conn.SetDeadline(time.Now().Add(uploadDeadline))
	_, _ = fmt.Fprintf(c.conn, "POST /swap/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\nvases",
		c.sent, virtualHost, attempt, uploadDeadline.Milliseconds(), tenantKey)
	response, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.booked++
		if response.Close {
			_ = c.conn.Close()
			c.conn = nil
		}
		return
	}
	_ = c.conn.Close()
	c.conn = nil
	c.record.printf("client: %s: no answer: %v; begun by a worker: %v", attempt, err, c.begun[attempt])
	if c.begun[attempt] {
		c.unanswered = append(c.unanswered, attempt)
	}
}

// smallSegments gives a connection the segments and the window of a network link.
func smallSegments(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
	})
}

// maxUnanswered is how many requests on kept channels the rule allows to be lost.
const maxUnanswered = 3

// crashMidUpload: a host must not end, and lose the requests of others, when workers crash
// while uploads are on their way to them.
func crashMidUpload(w *world) ([]string, error) {
	u, err := playUploads(w, uploadOptions{
		chunked: true, crash: true, cores: 1, size: 2 << 20, piece: 16 << 10, pause: 2 * time.Millisecond, work: 150 * time.Millisecond, answer: 1500, clients: 40, bystanders: 24,
		until: func(u *uploads) bool { return u.hosts[0].ended() },
	})
	if err != nil {
		return nil, err
	}
	for _, h := range w.hosts {
		for _, line := range h.panicLines(12) {
			w.record.printf("host %s: %s", h.name, line)
		}
	}
	if len(u.unanswered) <= maxUnanswered {
		return nil, nil
	}
	return []string{fmt.Sprintf("%d bookings that sound workers had begun got no answer on their kept channels; the host ended by itself: %v", len(u.unanswered), u.hosts[0].ended())}, nil
}

// earlyAnswerBytes: where the rest of a body is due, a worker must get that rest.
func earlyAnswerBytes(w *world) ([]string, error) {
	u, err := playUploads(w, uploadOptions{
		cores: 2, size: 8 << 20, piece: 16 << 10, pause: 2 * time.Millisecond, work: 560 * time.Millisecond, answer: 1500, clients: 16,
		hold: 150 * time.Millisecond, lag: 20 * time.Millisecond,
		until: func(u *uploads) bool { return len(u.other) > 0 || u.hosts[0].ended() },
	})
	if err != nil {
		return nil, err
	}
	return u.other, nil
}
