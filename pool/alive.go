package pool

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/bramleydoor/bramleydoor/quiet"
)

// isAlive reports whether an idle connection still looks open. Nothing may come
// on one; if something does, or its end, a request sent on it could only have an
// unknown outcome. A connection that dies after the look is found out by use.
func (conn *Conn) isAlive() bool {
	if socket, ok := conn.net.(syscall.Conn); ok {
		return quiet.IsSocket(socket)
	}
	return isQuiet(conn.net)
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
