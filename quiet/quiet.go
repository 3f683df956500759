// Package quiet looks whether an idle socket still looks open.
package quiet

import (
	"errors"
	"syscall"
)

// IsSocket reports whether nothing, and no end, has come on a socket on which
// nothing is expected. One that dies after the look is found out by use.
func IsSocket(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var buffer [1]byte
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
