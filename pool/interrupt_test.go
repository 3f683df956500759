package pool

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/clock"
)

// Rule 16: a connection in use that is closed because the share has expired counts until
// the database has closed it too. Otherwise the VM, once it has its share again, opens
// another one before the first has ended.
func TestInterruptedConnCountsUntilClosed(t *testing.T) {
	c := qt.New(t)
	var databases []net.Conn
	share := 1
	pool := &Pool{
		Clock: clock.System{}, Share: func() int { return share },
		Open: func(_ context.Context, slot string) (*Conn, error) {
			near, far := net.Pipe()
			databases = append(databases, far)
			return &Conn{Slot: slot, Status: 'I', net: near, Frontend: pgproto3.NewFrontend(near, near), prepared: make(map[string]struct{})}, nil
		},
	}
	pool.SetQueueLimit(4)
	conn, err := pool.Acquire(t.Context(), "a", Session{ID: 1, Caller: "clerk"})
	c.Assert(err, qt.IsNil)

	share = 0
	pool.EnforceShare(true)
	_, err = conn.Receive()
	c.Assert(err, qt.IsNotNil)
	pool.Discard(conn)
	share = 1
	c.Assert(pool.Usage().Open, qt.Equals, 1)

	acquired := make(chan error, 1)
	go func() {
		_, err := pool.Acquire(context.Background(), "a", Session{ID: 2, Caller: "clerk"})
		acquired <- err
	}()
	backend := pgproto3.NewBackend(databases[0], databases[0])
	message, err := backend.Receive()
	c.Assert(err, qt.IsNil)
	_, isTerminate := message.(*pgproto3.Terminate)
	c.Assert(isTerminate, qt.IsTrue)
	c.Assert(databases[0].Close(), qt.IsNil)
	c.Assert(<-acquired, qt.IsNil)
	c.Assert(databases, qt.HasLen, 2)
}
