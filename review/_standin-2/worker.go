package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a worker: it runs one request at a time on a channel.
type worker struct {
	name     string
	listener net.Listener
	record   *record
	// answer returns the body for a request, after the time that the work takes.
	answer func(r *http.Request, body []byte) []byte
	// cut, if set, returns after how many bytes the worker ends its channel in the middle of
	// an answer; 0 means that it does not.
	cut func() int
	// pauseAt and pause, if set, are where and for how long the worker pauses in an answer.
	pauseAt int
	pause   time.Duration

	mu    sync.Mutex
	runs  map[string]int
	conns []net.Conn
}

func (d *deployment) addWorker(name, service, zone string, slots int, answer func(r *http.Request, body []byte) []byte, options ...func(*worker)) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, listener: listener, record: d.record, answer: answer, runs: map[string]int{}}
	for _, option := range options {
		option(w)
	}
	go w.accept()
	d.register(name, service, zone, listener.Addr().String(), slots, time.Now().UnixMilli())
	return w, nil
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns = append(w.conns, conn)
		w.mu.Unlock()
		go w.serve(conn)
	}
}

// stop ends the worker: it closes its port and its channels.
func (w *worker) stop() {
	w.record.add("worker %s ends", w.name)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		if want := r.Header.Get("Expect-Instance"); want != "" && want != w.name {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		w.mu.Lock()
		w.runs[attempt]++
		w.mu.Unlock()
		w.record.add("worker %s runs %s (%s %s)", w.name, attempt, r.Method, r.RequestURI)
		out := w.answer(r, body)
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: " + signature(out) + "\r\nContent-Length: " + strconv.Itoa(len(out)) + "\r\n\r\n"
		if w.cut != nil {
			if n := w.cut(); n > 0 {
				_, _ = conn.Write(append([]byte(head), out[:n]...))
				w.record.add("worker %s truncates its answer to %s", w.name, attempt)
				return
			}
		}
		if w.pause > 0 && len(out) > w.pauseAt {
			if _, err := conn.Write(append([]byte(head), out[:w.pauseAt]...)); err != nil {
				return
			}
			w.record.add("worker %s pauses in its answer to %s", w.name, attempt)
			time.Sleep(w.pause)
			head, out = "", out[w.pauseAt:]
		}
		if _, err := conn.Write(append([]byte(head), out...)); err != nil {
			w.record.add("worker %s: the channel of %s ended: %v", w.name, attempt, err)
			return
		}
	}
}

func (w *worker) ran(attempt string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[attempt]
}
