// Package faultnet is a stand-in of a network between two ends, for tests: a
// relay whose open connections can go silent for good while new ones work, as
// if something between the ends had lost track of them.
package faultnet

import (
	"io"
	"net"
	"sync"
)

// Relay passes connections on to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	silent   map[net.Conn]bool
	accepted int
}

// New returns a relay to the target that listens on a free port of loopback.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, silent: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay; it takes no new connections.
func (r *Relay) Close() { _ = r.listener.Close() }

// Silence lets nothing pass any more on the connections that are open.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.silent {
		r.silent[conn] = true
	}
}

// Accepted returns the number of connections so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		onward, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		r.mu.Lock()
		r.accepted++
		r.silent[conn] = false
		r.mu.Unlock()
		go r.pass(conn, onward, conn)
		go r.pass(onward, conn, conn)
	}
}

// bufferSize is the most that is passed at once, in bytes.
const bufferSize = 32 << 10

// pass copies data until the connection is silenced; it then reads and drops.
func (r *Relay) pass(to, from, name net.Conn) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if err == io.EOF {
				_ = to.Close()
			}
			return
		}
		r.mu.Lock()
		silent := r.silent[name]
		r.mu.Unlock()
		if !silent {
			_, _ = to.Write(buffer[:n])
		}
	}
}
