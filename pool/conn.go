package pool

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/group"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/sock"
)

// resetQuery removes all session state that the next user of a connection could observe,
// except prepared statements: the proxy names them, and uses the same names for all
// callers.
const resetQuery = "CLOSE ALL; RESET ALL; UNLISTEN *; SELECT pg_advisory_unlock_all(); DISCARD SEQUENCES; DISCARD TEMP"

// resetTimeout bounds a reset. A connection whose reset is not confirmed by then is closed.
const resetTimeout = 2 * time.Second

// maxPrepared bounds the prepared statements on one connection. A reset with more of them
// fails, so that the connection is closed.
const maxPrepared = 256

// Conn is one connection to a slot. Between Acquire and Release it is used by one request or
// transaction only.
type Conn struct {
	Slot     string
	Frontend *pgproto3.Frontend
	// Position is the last log position that the slot reported on this connection.
	Position posn.Position
	// Status is the transaction status of the last ReadyForQuery.
	Status byte
	// PID and Secret identify the connection in cancel requests.
	PID    uint32
	Secret []byte
	// Parameters are the parameters that the slot reported when the connection was opened.
	Parameters map[string]string

	net net.Conn
	// peeker is that of a plain socket, from its first check on.
	peeker *sock.Peeker
	// deadlineMu guards isReadEnded and the read deadline of a connection that is not a plain
	// socket. isReadEnded says that endRead was called.
	deadlineMu  sync.Mutex
	isReadEnded bool

	prepared  map[string]struct{}
	idleAt    time.Time
	isDropped bool
	// isInterrupted says that interrupt was called.
	isInterrupted bool
	// lastSession is the ID of the session that used the connection last; needsReset says
	// that the connection has not been reset since.
	lastSession uint64
	needsReset  bool
}

// Dialer opens a network connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Connect opens a connection to a slot. Its errors are those of pgconn.ConnectConfig.
func Connect(ctx context.Context, settings *pgconn.Config, slot string) (*Conn, error) {
	connection, err := pgconn.ConnectConfig(ctx, settings)
	if err != nil {
		return nil, err
	}
	hijacked, err := connection.Hijack()
	if err != nil {
		return nil, err
	}
	return &Conn{
		Slot:       slot,
		Frontend:   hijacked.Frontend,
		Status:     'I',
		PID:        hijacked.PID,
		Secret:     hijacked.SecretKey,
		Parameters: hijacked.ParameterStatuses,
		net:        hijacked.Conn,
		prepared:   make(map[string]struct{}),
	}, nil
}

// Receive reads the next message and updates Position and Status from it. Position reports
// are returned like any other message.
func (conn *Conn) Receive() (pgproto3.BackendMessage, error) {
	message, err := conn.Frontend.Receive()
	if err != nil {
		return nil, err
	}
	switch message := message.(type) {
	case *pgproto3.ReadyForQuery:
		conn.Status = message.TxStatus
	case *pgproto3.ParameterStatus:
		if message.Name != group.PositionParameter {
			break
		}
		if conn.Position, err = posn.Parse(message.Value); err != nil {
			return nil, err
		}
	}
	return message, nil
}

// IsPrepared reports whether the statement is prepared on this connection.
func (conn *Conn) IsPrepared(name string) bool {
	_, ok := conn.prepared[name]
	return ok
}

// SetPrepared records that the statement is prepared on this connection.
func (conn *Conn) SetPrepared(name string) { conn.prepared[name] = struct{}{} }

// Row is one row of a result, as text.
type Row []string

// Result is the result of Exec.
type Result struct {
	Tag  string
	Rows []Row
}

// Exec runs a simple query of the proxy itself and reads its whole result. An error
// reported by the database is a *pgconn.PgError; after any other error the connection must
// not be used again. ErrNotSent means that the query did not run.
func (conn *Conn) Exec(query string) (Result, error) {
	if err := conn.CheckUnread(); err != nil {
		return Result{}, err
	}
	return conn.exec(query)
}

// exec is Exec without the check of unread data.
func (conn *Conn) exec(query string) (Result, error) {
	conn.Frontend.Send(&pgproto3.Query{String: query})
	if err := conn.Frontend.Flush(); err != nil {
		return Result{}, err
	}
	var result Result
	var failure error
	for {
		message, err := conn.Receive()
		if err != nil {
			return result, err
		}
		switch message := message.(type) {
		case *pgproto3.DataRow:
			result.Rows = append(result.Rows, textRow(message.Values))
		case *pgproto3.CommandComplete:
			result.Tag = string(message.CommandTag)
		case *pgproto3.ErrorResponse:
			failure = pgconn.ErrorResponseToPgError(message)
		case *pgproto3.ReadyForQuery:
			return result, failure
		}
	}
}

func textRow(values [][]byte) Row {
	row := make(Row, len(values))
	for i, value := range values {
		row[i] = string(value)
	}
	return row
}

// errNotReset means that the answer to a reset is that of another query or is followed by
// another answer, or that after it the connection is in a transaction or has too many prepared
// statements.
var errNotReset = errors.New("reset of the connection is not confirmed, or left a transaction or too many prepared statements")

// resetTag begins the tag of the last command of resetQuery.
const resetTag = "DISCARD"

func (conn *Conn) reset() error {
	// The check may end the deadline, so it comes first.
	if err := conn.CheckUnread(); err != nil {
		return err
	}
	if err := conn.net.SetDeadline(time.Now().Add(resetTimeout)); err != nil {
		return err
	}
	result, err := conn.exec(resetQuery)
	if err != nil {
		return err
	}
	isConfirmed := strings.HasPrefix(result.Tag, resetTag) && conn.Frontend.ReadBufferLen() == 0
	if !isConfirmed || conn.Status != 'I' || len(conn.prepared) > maxPrepared {
		return errNotReset
	}
	return conn.net.SetDeadline(time.Time{})
}

// terminateTimeout bounds sending Terminate and waiting until the database closes the
// connection.
const terminateTimeout = time.Second

// interrupt ends the request that uses the connection with a read timeout, and sends
// Terminate, upon which the database rolls back and closes the connection once its current
// statement has ended. Unlike Close it leaves the connection readable, so that terminate
// can wait for that. It may be called while a request uses the connection.
func (conn *Conn) interrupt() {
	conn.endRead()
	_ = conn.net.SetWriteDeadline(time.Now().Add(terminateTimeout))
	if message, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		_, _ = conn.net.Write(message)
	}
}

// terminate sends Terminate, waits until the database closes the connection, and closes
// this end.
func (conn *Conn) terminate() {
	defer conn.Close()
	if conn.net.SetDeadline(time.Now().Add(terminateTimeout)) != nil {
		return
	}
	conn.Frontend.Send(&pgproto3.Terminate{})
	// The write fails if the database has closed the connection, which the read shows too.
	_ = conn.Frontend.Flush()
	_, _ = io.Copy(io.Discard, conn.net)
}

// Close closes the network connection without sending Terminate.
func (conn *Conn) Close() { _ = conn.net.Close() }
