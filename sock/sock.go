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
	_, err := peek(socket)
	return errors.Is(err, syscall.EAGAIN)
}

// HasData reports whether a socket has received data that was not read.
func HasData(socket syscall.Conn) bool {
	count, err := peek(socket)
	return err == nil && count > 0
}

// peek returns the number of bytes that can be read at once, up to 1; 0 is the end of the
// stream.
func peek(socket syscall.Conn) (int, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buffer [1]byte
	var count int
	var peekErr error
	// Read would fail without a call of the function once the read deadline has passed.
	err = raw.Control(func(fd uintptr) {
		count, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return count, errors.Join(err, peekErr)
}
