package frame_test

import (
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/frame"
)

// newReader returns a reader of a TCP connection, and the caller's end of the connection.
func newReader(c *qt.C) (*frame.Reader, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	conn, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _, _ = caller.Close(), conn.Close() })
	return &frame.Reader{Conn: conn, MaxBodyBytes: 1 << 20}, caller
}

// Receive returns whole messages of any size, although the bytes arrive in pieces that do
// not end at message boundaries. Bytes passed to Unread come first.
func TestReceive(t *testing.T) {
	c := qt.New(t)
	reader, caller := newReader(c)
	texts := []string{"", "SELECT 1", strings.Repeat("x", 8<<10), strings.Repeat("y", 100_000), "SELECT 2"}
	var bytes []byte
	for _, text := range texts {
		var err error
		bytes, err = (&pgproto3.Query{String: text}).Encode(bytes)
		c.Assert(err, qt.IsNil)
	}
	go func() {
		for start := 0; start < len(bytes); start += 1000 {
			_, _ = caller.Write(bytes[start:min(start+1000, len(bytes))])
		}
		_ = caller.Close()
	}()
	unread, err := (&pgproto3.Query{String: "early"}).Encode(nil)
	c.Assert(err, qt.IsNil)
	reader.Unread(unread)
	for _, text := range append([]string{"early"}, texts...) {
		message, err := reader.Receive()
		c.Assert(err, qt.IsNil)
		c.Assert(message.(*pgproto3.Query).String, qt.Equals, text)
	}
	_, err = reader.Receive()
	c.Assert(err, qt.ErrorIs, io.EOF)
}

func TestProtocolErrors(t *testing.T) {
	tests := []struct {
		name  string
		bytes string
		want  error
	}{
		{"unknown type", "!\x00\x00\x00\x04", frame.ErrUnknownType},
		{"too large", "Q\x7f\xff\xff\xff", frame.ErrTooLarge},
		{"negative length", "Q\xff\xff\xff\xff", frame.ErrInvalidLength},
		{"length below the size of the length field", "Q\x00\x00\x00\x03", frame.ErrInvalidLength},
		{"connection ends within a message", "Q\x00\x00\x00\x09ab", io.ErrUnexpectedEOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			reader, caller := newReader(c)
			_, err := caller.Write([]byte(test.bytes))
			c.Assert(err, qt.IsNil)
			c.Assert(caller.Close(), qt.IsNil)
			_, err = reader.Receive()
			c.Assert(err, qt.ErrorIs, test.want)
		})
	}
}
