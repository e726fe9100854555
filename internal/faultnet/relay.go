// Package faultnet is a stand-in of a network between two ends, for tests: a
// relay that delays or resets connections, lets nothing pass in one direction, or
// silences the open ones for good while new ones work, as if something between
// the ends had lost track of them.
package faultnet

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is one of the two ways through a relay.
type Direction int

// The directions.
const (
	// Outward is from those who connect to the target.
	Outward Direction = iota
	// Backward is from the target to those who connect.
	Backward
)

// Relay passes connections on to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	cut      [2]atomic.Bool

	mu       sync.Mutex
	open     map[net.Conn]*pair
	accepted int
}

// pair is one connection through the relay.
type pair struct {
	in, onward net.Conn
	silent     bool
}

// New returns a relay to the target that listens on a free port of loopback.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, open: map[net.Conn]*pair{}}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay; it takes no new connections.
func (r *Relay) Close() { _ = r.listener.Close() }

// Blackhole lets nothing pass any more on the connections that are open.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.open {
		p.silent = true
	}
}

// Reset resets the connections that are open.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.open {
		for _, conn := range []net.Conn{p.in, p.onward} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
}

// Delay holds up what passes from now on.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Cut lets nothing pass in a direction, or lets it pass again. A connection that
// has lost bytes stays silent for good.
func (r *Relay) Cut(d Direction, on bool) { r.cut[d].Store(on) }

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
		p := &pair{in: conn, onward: onward}
		r.mu.Lock()
		r.accepted++
		r.open[conn] = p
		r.mu.Unlock()
		var both sync.WaitGroup
		both.Go(func() { r.pass(p, onward, conn, Outward) })
		both.Go(func() { r.pass(p, conn, onward, Backward) })
		go func() {
			both.Wait()
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.open, conn)
		}()
	}
}

// bufferSize is the most that is passed at once, in bytes.
const bufferSize = 32 << 10

// pass copies data until the connection is silenced; it then reads and drops.
func (r *Relay) pass(p *pair, to, from net.Conn, way Direction) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if err == io.EOF && !r.drops(p, way) {
				_ = to.Close()
			}
			return
		}
		if d := r.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if !r.drops(p, way) {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (r *Relay) drops(p *pair, way Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.silent = p.silent || r.cut[way].Load()
	return p.silent
}
