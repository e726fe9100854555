package http1

import (
	"errors"
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

// smallSendBuffer sets a send buffer that a body of some hundred kilobytes fills.
func smallSendBuffer(raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 8<<10)
	})
	return errors.Join(err, optionErr)
}
