package pool

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// isAlive reports whether an idle connection still looks open. Nothing may come
// on one; if something does, or its end, a request sent on it could only have an
// unknown outcome. A connection that dies after the look is found out by use.
func (conn *Conn) isAlive() bool {
	if socket, ok := conn.net.(syscall.Conn); ok {
		return isSocketQuiet(socket)
	}
	return isQuiet(conn.net)
}

func isSocketQuiet(socket syscall.Conn) bool {
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

// isQuiet looks at a connection that is no socket, such as one with TLS.
func isQuiet(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now()) != nil {
		return false
	}
	var buffer [1]byte
	_, err := conn.Read(buffer[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil
}
