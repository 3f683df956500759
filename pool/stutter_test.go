package pool

import (
	"context"
	"net"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/clock"
)

// serveStuttering answers each query with its text, and the repeated one twice.
func serveStuttering(conn net.Conn, repeated string) {
	backend := pgproto3.NewBackend(conn, conn)
	for {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		query, ok := message.(*pgproto3.Query)
		if !ok {
			_ = conn.Close()
			return
		}
		count := 1
		if query.String == repeated {
			count = 2
		}
		for range count {
			tag := "SELECT 1"
			if query.String == resetQuery {
				tag = "DISCARD TEMP"
			}
			backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(query.String)}})
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
		if backend.Flush() != nil {
			return
		}
	}
}

// MIXED: after a database had answered twice, the next request on the connection got the second
// answer: that of the same session, or that of another one, after a reset that was confirmed
// by it.
func TestConnWithUnreadAnswerIsClosed(t *testing.T) {
	for name, repeated := range map[string]string{"statement": "SELECT 'a'", "reset": resetQuery} {
		for _, nextSession := range []uint64{1, 2} {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				defer listener.Close()
				pool := &Pool{
					Clock: clock.System{}, Share: func() int { return 1 },
					Open: func(_ context.Context, slot string) (*Conn, error) {
						near, err := net.Dial("tcp", listener.Addr().String())
						if err != nil {
							return nil, err
						}
						far, err := listener.Accept()
						if err != nil {
							return nil, err
						}
						go serveStuttering(far, repeated)
						return &Conn{Slot: slot, Status: 'I', net: near, Frontend: pgproto3.NewFrontend(near, near), prepared: make(map[string]struct{})}, nil
					},
				}
				pool.SetQueueLimit(4)
				ran := 0
				use := func(session uint64, query string) {
					conn, err := pool.Acquire(t.Context(), "a", Session{ID: session, Caller: "clerk"})
					if err != nil {
						// The reset of the connection wasn't confirmed, so nothing ran.
						return
					}
					result, err := conn.Exec(query)
					c.Assert(err, qt.IsNil)
					c.Check(result.Rows, qt.DeepEquals, []Row{{query}})
					ran++
					pool.Release(conn, Session{ID: session, Caller: "clerk"})
				}
				use(1, "SELECT 'a'")
				use(nextSession, "SELECT 'b'")
				use(3, "SELECT 'c'")
				use(4, "SELECT 'd'")
				c.Check(ran > 1, qt.IsTrue)
			})
		}
	}
}

// MIXED: the next request on a connection that is held got the second answer to the request
// before it.
func TestHeldConnWithUnreadAnswerSendsNothing(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer near.Close()
	far, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	go serveStuttering(far, "SELECT 'b'")
	conn := &Conn{Status: 'T', net: near, Frontend: pgproto3.NewFrontend(near, near), prepared: make(map[string]struct{})}
	for _, query := range []string{"SELECT 'a'", "SELECT 'b'"} {
		result, err := conn.Exec(query)
		c.Assert(err, qt.IsNil)
		c.Check(result.Rows, qt.DeepEquals, []Row{{query}})
	}
	for range 2 {
		result, err := conn.Exec("SELECT 'c'")
		c.Check(errors.Is(err, ErrNotSent), qt.IsTrue)
		c.Check(result.Rows, qt.HasLen, 0)
	}
}

// The check for unread data ended the read time-out with which a connection in use is
// interrupted, so that a request on it went on.
func TestCheckKeepsInterruption(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer far.Close()
	conn := &Conn{Status: 'T', net: near, Frontend: pgproto3.NewFrontend(near, near)}
	c.Assert(conn.CheckUnread(), qt.IsNil)
	go func() { _, _ = far.Read(make([]byte, 5)) }()
	conn.interrupt()
	c.Check(errors.Is(conn.CheckUnread(), ErrNotSent), qt.IsTrue)
	_, err := conn.Receive()
	c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// MIXED: a reset counted as confirmed by the late second answer to the statement before it, and
// the next session got the answer to the reset.
func TestResetIsNotConfirmedByOtherAnswer(t *testing.T) {
	for tag, want := range map[string]error{"SELECT 1": errNotReset, "DISCARD TEMP": nil} {
		c := qt.New(t)
		near, far := net.Pipe()
		defer far.Close()
		go func() {
			backend := pgproto3.NewBackend(far, far)
			if _, err := backend.Receive(); err != nil {
				return
			}
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			_ = backend.Flush()
		}()
		conn := &Conn{Status: 'I', net: near, Frontend: pgproto3.NewFrontend(near, near)}
		c.Check(conn.reset(), qt.Equals, want, qt.Commentf("tag %s", tag))
	}
}
