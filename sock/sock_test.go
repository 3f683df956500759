package sock_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/sock"
)

// A pooled connection on which nothing is expected stays usable after the deadline of its
// last request: many VMs that each send a database few requests would otherwise open a
// connection for almost every one of them.
func TestIdleAfterDeadline(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer near.Close()
	far, err := listener.Accept()
	c.Assert(err, qt.IsNil)

	c.Assert(near.SetDeadline(time.Unix(1, 0)), qt.IsNil)
	c.Assert(sock.IsIdle(near.(*net.TCPConn)), qt.IsTrue)

	c.Assert(far.Close(), qt.IsNil)
	c.Assert(near.SetDeadline(time.Time{}), qt.IsNil)
	_, err = near.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	c.Assert(sock.IsIdle(near.(*net.TCPConn)), qt.IsFalse)
}
