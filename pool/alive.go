package pool

import (
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/sock"
)

// ErrNotSent means that a request was not sent, so it did not run. The connection must not be
// used again.
var ErrNotSent = errors.New("request was not sent: the connection has unread data, or has ended")

// CheckUnread returns ErrNotSent if a request must not be sent on the connection: what was
// received ahead of the request would be taken for its answer.
func (conn *Conn) CheckUnread() error {
	if !conn.isAlive() {
		return ErrNotSent
	}
	return nil
}

// isAlive reports whether a connection without a request has received neither data nor an end
// of stream. The slot sends nothing without a request, so after either a request on the
// connection could only have an unknown outcome. A connection that fails after the check
// shows it only when it is used.
func (conn *Conn) isAlive() bool {
	if conn.Frontend.ReadBufferLen() > 0 {
		return false
	}
	socket, ok := conn.net.(syscall.Conn)
	if !ok {
		return conn.hasNoInput()
	}
	if conn.peeker == nil {
		peeker, err := sock.NewPeeker(socket)
		if err != nil {
			return false
		}
		conn.peeker = peeker
	}
	return conn.peeker.IsIdle()
}

// hasNoInput is the check of isAlive for a connection that is not a plain socket, such as
// one with TLS.
func (conn *Conn) hasNoInput() bool {
	conn.deadlineMu.Lock()
	defer conn.deadlineMu.Unlock()
	if conn.isReadEnded || conn.net.SetReadDeadline(time.Now()) != nil {
		return false
	}
	var buffer [1]byte
	_, err := conn.net.Read(buffer[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.net.SetReadDeadline(time.Time{}) == nil
}

// endRead makes the present read and later ones fail with a timeout.
func (conn *Conn) endRead() {
	conn.deadlineMu.Lock()
	defer conn.deadlineMu.Unlock()
	conn.isReadEnded = true
	// A connection that has failed meanwhile needs no interruption.
	_ = conn.net.SetReadDeadline(time.Now())
}
