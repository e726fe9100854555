package http1

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Detection of a dead peer from the writing of a request's body to its answer. The kernel's
// user timeout would also end a connection whose peer acknowledges everything and has no room
// for more, as an upstream does that has not begun to read a waiting request.
const (
	// noUserTimeout turns the kernel's user timeout off. Keep-alive probes go on.
	noUserTimeout = 0
	// bodyCheckInterval is the interval between checks of the peer's acknowledgements.
	bodyCheckInterval = 300 * time.Millisecond
	// maxUnansweredProbes is the number of probes of a full or idle peer without an answer
	// from which it counts as dead.
	maxUnansweredProbes = probeCount
)

// watchBody replaces the kernel's detection of a dead peer until the returned function is
// called: it closes conn when its peer acknowledges nothing any more. Without information
// on the connection, it changes nothing.
func (p *Pool) watchBody(conn net.Conn) (stop func()) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return func() {}
	}
	if _, known := peerInfo(tcp); !known || !setUserTimeout(tcp, noUserTimeout) {
		return func() {}
	}
	ticker := time.NewTicker(bodyCheckInterval)
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.guard.Run(taskBody, func() {
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
				}
				if info, known := peerInfo(tcp); known && isDead(info) {
					_ = conn.Close()
					return
				}
			}
		})
	}()
	return func() {
		ticker.Stop()
		close(done)
		<-ended
		setUserTimeout(tcp, userTimeout)
	}
}

// isDead reports whether the peer leaves sent bytes, or probes, without an acknowledgement.
func isDead(i *unix.TCPInfo) bool {
	silent := time.Duration(i.Last_ack_recv) * time.Millisecond
	return silent >= userTimeout && i.Retransmits > 0 || i.Probes >= maxUnansweredProbes
}

// peerInfo returns what the kernel knows of an established connection.
func peerInfo(tcp *net.TCPConn) (info *unix.TCPInfo, known bool) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, false
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || optionErr != nil {
		return nil, false
	}
	return info, info.Rto > 0
}

func setUserTimeout(tcp *net.TCPConn, d time.Duration) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return err == nil && optionErr == nil
}
