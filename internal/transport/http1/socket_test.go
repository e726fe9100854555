package http1

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// smallReceiveBuffer limits what the kernel buffers for a socket.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10) }); controlErr != nil {
		return controlErr
	}
	return err
}
