// Package http1 implements HTTP/1.1 on both sides of a host: a server that reads
// pipelined requests ahead on clients' connections, and a pool of connections to
// upstreams whose errors say whether a request may have run. Messages are parsed by
// net/http.
package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Socket options that detect a peer which disappears without closing its
// connection: a host that loses power, or one that has lost the connection's state,
// drops packets without a reply.
const (
	// userTimeout bounds how long sent bytes may stay unacknowledged. It is a
	// multiple of the longest round trip between regions (0.11 s) and allows two
	// retransmissions.
	userTimeout = 900 * time.Millisecond
	// probeIdle, probeInterval and probeCount set the keep-alive probes of idle connections.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Control sets the options of a socket before it is used.
func Control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option, the kernel detects an unreachable peer later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// NewDialer returns a dialer whose connections detect unreachable peers.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: Control}}
}

// Listen opens a listener whose connections detect unreachable peers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: Control}
	return config.Listen(ctx, "tcp", address)
}

// hasUnread reports whether bytes have arrived on a connection that were not read. It
// does not observe the deadline of the connection.
func hasUnread(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// isIdle reports whether a connection is open and has nothing to read.
func isIdle(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && idle
}
