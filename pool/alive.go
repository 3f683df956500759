package pool

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/bramleydoor/bramleydoor/sock"
)

// isAlive reports whether an idle connection has received neither data nor an end of
// stream. The slot sends nothing without a request, so after either a request on the
// connection could only have an unknown outcome. A connection that fails after the check
// shows it only when it is used.
func (conn *Conn) isAlive() bool {
	if conn.Frontend.ReadBufferLen() > 0 {
		return false
	}
	if socket, ok := conn.net.(syscall.Conn); ok {
		return sock.IsIdle(socket)
	}
	return hasNoInput(conn.net)
}

// hasNoInput is the check of isAlive for a connection that is not a plain socket, such as
// one with TLS.
func hasNoInput(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now()) != nil {
		return false
	}
	var buffer [1]byte
	_, err := conn.Read(buffer[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil
}
