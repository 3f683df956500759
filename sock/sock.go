// Package sock checks whether an idle socket still appears to be open.
package sock

import (
	"errors"
	"syscall"
)

// IsIdle reports whether an idle socket, on which no data is expected, has received
// neither data nor an end of stream. A socket that fails after the check shows it only
// when it is used. The deadlines of earlier requests have no effect.
func IsIdle(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var buffer [1]byte
	var peekErr error
	// Read would fail without a call of the function once the read deadline has passed.
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
