// Package sock checks whether an idle socket still appears to be open.
package sock

import (
	"errors"
	"syscall"
)

// IsIdle reports whether an idle socket, on which no data is expected, has received
// neither data nor an end of stream. A socket that fails after the check shows it only
// when it is used.
func IsIdle(socket syscall.Conn) bool {
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
