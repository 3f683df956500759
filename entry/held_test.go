package entry

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/router"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/watch"
)

// serveRepeating is a database that answers each query with its text as the command tag, and the
// repeated one twice. It reports the queries that it received and the end of the connection.
func serveRepeating(listener net.Listener, repeated string, received chan<- string) {
	defer close(received)
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		message, err := backend.Receive()
		query, ok := message.(*pgproto3.Query)
		if err != nil || !ok {
			return
		}
		received <- query.String
		count := 1
		if query.String == repeated {
			count = 2
		}
		status := byte('T')
		if query.String == "COMMIT" {
			status = 'I'
		}
		for range count {
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(query.String)})
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		}
	}
}

// callerConn keeps what the caller receives.
type callerConn struct {
	net.Conn
	received bytes.Buffer
}

func (callerConn *callerConn) Write(data []byte) (int, error) { return callerConn.received.Write(data) }

func (callerConn *callerConn) SetWriteDeadline(time.Time) error { return nil }

// answers returns the command tags and error details that the caller received.
func (callerConn *callerConn) answers(c *qt.C) []string {
	var answers []string
	frontend := pgproto3.NewFrontend(&callerConn.received, nil)
	for callerConn.received.Len() > 0 || frontend.ReadBufferLen() > 0 {
		message, err := frontend.Receive()
		c.Assert(err, qt.IsNil)
		switch message := message.(type) {
		case *pgproto3.CommandComplete:
			answers = append(answers, string(message.CommandTag))
		case *pgproto3.ErrorResponse:
			answers = append(answers, message.Detail)
		}
	}
	return answers
}

// newRepeatingSession returns a session with an open transaction at a database that answers the
// repeated query twice, and the queries that the database receives.
func newRepeatingSession(c *qt.C, repeated string) (*session, *callerConn, <-chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	received := make(chan string, 16)
	go serveRepeating(listener, repeated, received)
	address := listener.Addr().(*net.TCPAddr)
	settings, err := pgconn.ParseConfig("host=127.0.0.1 user=clerk database=db1 sslmode=disable port=" + strconv.Itoa(address.Port))
	c.Assert(err, qt.IsNil)
	conns := &pool.Pool{
		Clock: clock.System{}, Share: func() int { return 1 },
		Open: func(ctx context.Context, slot string) (*pool.Conn, error) { return pool.Connect(ctx, settings, slot) },
	}
	groupRouter := &router.Router{Watch: &watch.Watch{Clock: clock.System{}}, Pool: conns, Clock: clock.System{}, Stats: &stats.Stats{}}
	groupRouter.Apply(router.GroupConfig{Rule: ticket.Rule{}.WithDefaults()})
	caller := &callerConn{}
	session := &session{
		server: &Server{Clock: clock.System{}, Stats: groupRouter.Stats}, router: groupRouter,
		conn: caller, sender: sender{conn: caller}, status: 'T',
	}
	session.pinned, err = conns.Acquire(c.Context(), "a", session.poolSession())
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	_, err = session.pinned.Exec("BEGIN")
	c.Assert(err, qt.IsNil)
	return session, caller, received
}

// MIXED, LOST: a statement or COMMIT on the connection of an open transaction got the second
// answer to the request before it.
func TestRequestOfTransactionIsNotSentAfterSecondAnswer(t *testing.T) {
	const notRun = "verdict=notRun reason=upstreamLost"
	for _, test := range []struct {
		repeated, key       string
		queries, want, sent []string
	}{
		{
			repeated: "INSERT a", queries: []string{"INSERT a", "INSERT b", "COMMIT"},
			want: []string{"INSERT a", notRun, "ROLLBACK"}, sent: []string{"BEGIN", "INSERT a"},
		},
		{
			repeated: "INSERT a", queries: []string{"INSERT a", "COMMIT"},
			want: []string{"INSERT a", notRun}, sent: []string{"BEGIN", "INSERT a"},
		},
		{
			repeated: "BEGIN", queries: []string{"COMMIT"},
			want: []string{notRun}, sent: []string{"BEGIN"},
		},
		{
			repeated: "INSERT a", key: "k", queries: []string{"INSERT a", "COMMIT"},
			want: []string{"INSERT a", notRun}, sent: []string{"BEGIN", "INSERT a"},
		},
		{
			repeated: insertKey("k", "committed COMMIT"), key: "k", queries: []string{"INSERT a", "COMMIT"},
			want: []string{"INSERT a", notRun}, sent: []string{"BEGIN", "INSERT a", insertKey("k", "committed COMMIT")},
		},
	} {
		c := qt.New(t)
		session, caller, received := newRepeatingSession(c, test.repeated)
		session.settings.key, session.settings.isKeyPending = test.key, test.key != ""
		for _, query := range test.queries {
			c.Assert(session.handleQuery(t.Context(), query), qt.IsNil)
		}
		c.Check(caller.answers(c), qt.DeepEquals, test.want)
		c.Check(session.pinned, qt.IsNil)
		c.Check(session.status, qt.Equals, byte('I'))
		session.discardPinned()
		var sent []string
		for query := range received {
			sent = append(sent, query)
		}
		c.Check(sent, qt.DeepEquals, test.sent)
	}
}

// MIXED, LOST: the statement of a request key, or its COMMIT, got the second answer to a
// request before it.
func TestRequestWithKeyIsNotSentAfterSecondAnswer(t *testing.T) {
	for _, repeated := range []string{"BEGIN", selectKey("k"), "INSERT a", insertKey("k", "committed INSERT a")} {
		c := qt.New(t)
		session, _, received := newRepeatingSession(c, repeated)
		conn := session.pinned
		session.pinned = nil
		session.settings.key, session.settings.isKeyPending = "k", true
		session.output.open()
		_, _, err := session.runKeyed(conn, &request{
			messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: "INSERT a"}}, isSimple: true, hasSync: true, text: "INSERT a",
		})
		c.Check(keyedError(err), qt.ErrorMatches, `.*notRun.*`, qt.Commentf("after %s", repeated))
		session.router.Pool.Discard(conn)
		var last string
		for query := range received {
			last = query
		}
		c.Check(last, qt.Equals, repeated)
	}
}
