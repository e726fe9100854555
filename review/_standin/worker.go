package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker stands in for one worker. It serves one request at a time on a connection.
type worker struct {
	id      string
	address string
	// serve runs a request and writes its answer. It reports whether the connection
	// serves further requests.
	serve func(conn net.Conn, r *http.Request) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// startWorker opens a worker on a free port.
func startWorker(id string, serve func(net.Conn, *http.Request) bool) (*worker, error) {
	k := &worker{id: id, address: "127.0.0.1:0", serve: serve, conns: map[net.Conn]bool{}}
	return k, k.open()
}

// open begins to accept connections, at the address that the worker had before.
func (k *worker) open() error {
	config := net.ListenConfig{Control: smallSegments}
	l, err := config.Listen(context.Background(), "tcp", k.address)
	if err != nil {
		return err
	}
	k.listener, k.address = l, l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.handle(conn)
		}
	}()
	return nil
}

// crash ends the worker as its system would: all its connections are reset and new ones
// refused. It returns the number of connections.
func (k *worker) crash() int {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for conn := range k.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	return len(k.conns)
}

func (k *worker) handle(conn net.Conn) {
	k.mu.Lock()
	k.conns[conn] = true
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.conns, conn)
		k.mu.Unlock()
		_ = conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != k.id {
			_, _ = io.Copy(io.Discard, r.Body)
			writeAnswer(conn, r, http.StatusMisdirectedRequest, "Instance-Id: "+k.id+"\r\nNot-Executed: 1\r\n", nil)
			continue
		}
		if !k.serve(conn, r) {
			return
		}
	}
}

// writeAnswer writes an answer that names the attempt of the request.
func writeAnswer(conn net.Conn, r *http.Request, status int, header string, body []byte) {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), r.Header.Get("Attempt-Id"), header, len(body))
	_, _ = conn.Write(append([]byte(head), body...))
}

// signature is the header with which a worker marks its own answers.
func signature(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return "Response-Signature: " + strconv.FormatUint(h.Sum64(), 16) + "\r\n"
}

// pattern fills p with the bytes of an upload from an offset on, which must be a multiple
// of 8. Each 8 bytes hold their own position, so that shifted bytes are noticed.
func pattern(p []byte, seed, offset uint64) {
	for i := 0; i+8 <= len(p); i += 8 {
		binary.BigEndian.PutUint64(p[i:], seed<<40|(offset+uint64(i)))
	}
}

// errOtherBytes means that a body differs from what the client sent.
var errOtherBytes = errors.New("other bytes than the client sent")

// checkBody reads up to n bytes of an upload from an offset on, a multiple of 8, and
// compares them. It returns the offset reached, and io.EOF at the end of the body.
func checkBody(body io.Reader, seed, offset, n uint64) (uint64, error) {
	const block = 4096
	got, want := make([]byte, block), make([]byte, block+8)
	for end := offset + n; offset < end; {
		read, err := body.Read(got[:min(block, end-offset)])
		aligned := offset &^ 7
		pattern(want, seed, aligned)
		for i := range read {
			if got[i] != want[offset-aligned+uint64(i)] {
				return offset + uint64(i), errOtherBytes
			}
		}
		offset += uint64(read)
		if err != nil {
			return offset, err
		}
	}
	return offset, nil
}

// waitUntil sleeps until an instant.
func waitUntil(t time.Time) { time.Sleep(time.Until(t)) }
