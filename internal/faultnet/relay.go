// Package faultnet provides a TCP relay for tests that injects network faults: it
// delays or resets connections, blocks one direction, or blackholes the open
// connections while new ones work, like a firewall or NAT that lost its connection
// table.
package faultnet

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a direction of data through a relay.
type Direction int

// The directions.
const (
	// ToTarget is from the connecting side to the target.
	ToTarget Direction = iota
	// FromTarget is from the target to the connecting side.
	FromTarget
)

// Relay forwards TCP connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	blocked  [2]atomic.Bool

	mu       sync.Mutex
	open     map[net.Conn]*pair
	accepted int
}

// pair is one connection through the relay: its side of the client and its side of
// the target.
type pair struct {
	client, target net.Conn
	blackholed     bool
}

// New starts a relay to the target address that listens on a free port of loopback.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, open: map[net.Conn]*pair{}}
	go r.accept()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops the relay from accepting connections. Open ones stay open.
func (r *Relay) Close() { _ = r.listener.Close() }

// Blackhole drops all data of the connections that are open now, and leaves them open.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.open {
		p.blackholed = true
	}
}

// Reset resets the connections that are open now.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.open {
		for _, conn := range []net.Conn{p.client, p.target} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
}

// SetDelay sets the delay of each chunk of data, in both directions.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetBlocked blocks or unblocks a direction. A connection that has lost data
// because of a block stays blackholed after the direction is unblocked.
func (r *Relay) SetBlocked(d Direction, blocked bool) { r.blocked[d].Store(blocked) }

// Accepted returns the number of connections forwarded so far.
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
		target, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		p := &pair{client: conn, target: target}
		r.mu.Lock()
		r.accepted++
		r.open[conn] = p
		r.mu.Unlock()
		var forwarders sync.WaitGroup
		forwarders.Go(func() { r.forward(p, target, conn, ToTarget) })
		forwarders.Go(func() { r.forward(p, conn, target, FromTarget) })
		go func() {
			forwarders.Wait()
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.open, conn)
		}()
	}
}

// bufferSize is the maximum size of a forwarded chunk, in bytes.
const bufferSize = 32 << 10

// forward copies data from src to dst. Once the connection is blackholed, it reads
// and drops the data, and no longer passes on that src was closed.
func (r *Relay) forward(p *pair, dst, src net.Conn, direction Direction) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			if err == io.EOF && !r.drops(p, direction) {
				_ = dst.Close()
			}
			return
		}
		if d := r.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if !r.drops(p, direction) {
			_, _ = dst.Write(buffer[:n])
		}
	}
}

// drops reports whether data of a connection in the given direction is dropped. Data
// in a blocked direction blackholes the connection permanently, because it must not
// continue without the dropped data.
func (r *Relay) drops(p *pair, direction Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.blackholed = p.blackholed || r.blocked[direction].Load()
	return p.blackholed
}
