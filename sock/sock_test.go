package sock_test

import (
	"io"
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

// Unread data is told from an end of stream and from an idle connection.
func TestHasData(t *testing.T) {
	c := qt.New(t)
	near, far := connect(c)
	peeker, err := sock.NewPeeker(near)
	c.Assert(err, qt.IsNil)
	c.Check(peeker.HasData(), qt.IsFalse)
	c.Check(peeker.IsIdle(), qt.IsTrue)

	_, err = far.Write([]byte("xy"))
	c.Assert(err, qt.IsNil)
	_, err = near.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	c.Check(peeker.HasData(), qt.IsTrue)
	c.Check(peeker.IsIdle(), qt.IsFalse)

	c.Assert(far.Close(), qt.IsNil)
	_, err = io.Copy(io.Discard, near)
	c.Assert(err, qt.IsNil)
	c.Check(peeker.HasData(), qt.IsFalse)
	c.Check(peeker.IsIdle(), qt.IsFalse)
}

// connect returns both ends of a connection.
func connect(tb testing.TB) (near *net.TCPConn, far net.Conn) {
	tb.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	defer func() { qt.Check(tb, listener.Close(), qt.IsNil) }()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	qt.Assert(tb, err, qt.IsNil)
	far, err = listener.Accept()
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _, _ = dialed.Close(), far.Close() })
	return dialed.(*net.TCPConn), far
}

// BenchmarkHasData measures the check of a connection on which nothing was received.
func BenchmarkHasData(b *testing.B) {
	near, _ := connect(b)
	peeker, err := sock.NewPeeker(near)
	qt.Assert(b, err, qt.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		if peeker.HasData() {
			b.Fatal("data without a sender")
		}
	}
}
