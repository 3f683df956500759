package netsim_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/netsim"
)

// Disconnect closes both ends of a dialer's connections, and no other dialer's.
func TestDisconnect(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	network := &netsim.Net{}
	dial := func(name string) (near, far net.Conn) {
		near, err := network.Dialer(name, "zone1")(t.Context(), "tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		far, err = listener.Accept()
		c.Assert(err, qt.IsNil)
		return near, far
	}
	near1, far1 := dial("vm1")
	near2, far2 := dial("vm2")
	defer near2.Close()

	network.Disconnect("vm1")
	_, err = near1.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	_, err = far1.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)

	_, err = near2.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	_, err = far2.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
}
