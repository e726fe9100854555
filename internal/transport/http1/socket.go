// Package http1 carries HTTP/1.1 on both sides of a host: a server that reads
// ahead on clients' connections, and a pool of connections to upstreams that
// knows what a failed exchange proves. Messages are parsed by net/http.
package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Socket options by which a connection notices that its peer is gone, when
// nothing says so: a machine without power and a forgotten connection both
// swallow packets.
const (
	// userTimeout bounds how long sent bytes may stay unacknowledged. It is a
	// multiple of the longest round trip between regions (0.11 s) and leaves room
	// for two retransmissions.
	userTimeout = 900 * time.Millisecond
	// probeAfter, probeEvery and probeCount set the keep-alive probes of quiet connections.
	probeAfter = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// Control sets the options of a socket before it is used.
func Control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel without the option only notices later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount}

// NewDialer returns a dialer whose connections notice silent peers.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: Control}
}

// Listen opens a listener whose connections notice silent peers.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: Control}
	return config.Listen(ctx, "tcp", address)
}

// quiet tells whether an idle connection is open and has nothing to read.
func quiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && isQuiet
}
