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
	"github.com/bramleydoor/bramleydoor/group"
	"github.com/bramleydoor/bramleydoor/pool"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/router"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/ticket"
	"github.com/bramleydoor/bramleydoor/watch"
)

// serveRepeating is a database that answers each query with its text as the command tag, and on the
// first connection the repeated one twice. It reports the queries that it received, until the
// listener is closed.
func serveRepeating(listener net.Listener, repeated string, received chan<- string) {
	defer close(received)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serveRepeatingConn(conn, repeated, received)
		repeated = ""
	}
}

func serveRepeatingConn(conn net.Conn, repeated string, received chan<- string) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	status := byte('I')
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
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
		switch query.String {
		case "BEGIN":
			status = 'T'
		case "COMMIT":
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

// primaryControl is the control of a slot that is the primary.
type primaryControl struct{ group.Control }

func (primaryControl) Report(context.Context, string) (quorum.Report, error) {
	position := posn.Position{Term: 1, LSN: 1}
	return quorum.Report{Sealed: 1, LastPosition: position, Primary: true, Start: position}, nil
}

// newRepeatingSession returns a session at a group of one database that answers the repeated
// query twice, and the queries that the database receives. stop ends the session.
func newRepeatingSession(c *qt.C, repeated string) (session *session, caller *callerConn, received chan string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	received = make(chan string, 16)
	go serveRepeating(listener, repeated, received)
	address := listener.Addr().(*net.TCPAddr)
	settings, err := pgconn.ParseConfig("host=127.0.0.1 user=clerk database=db1 sslmode=disable port=" + strconv.Itoa(address.Port))
	c.Assert(err, qt.IsNil)
	conns := &pool.Pool{
		Clock: clock.System{}, Share: func() int { return 1 },
		Open: func(ctx context.Context, slot string) (*pool.Conn, error) { return pool.Connect(ctx, settings, slot) },
	}
	watched := &watch.Watch{Control: primaryControl{}, Clock: clock.System{}, Timeout: watch.DefaultTimeout}
	groupRouter := &router.Router{Watch: watched, Pool: conns, Clock: clock.System{}, Stats: &stats.Stats{}}
	groupRouter.Apply(router.GroupConfig{Group: ticket.Group{Slots: []ticket.Slot{{Name: "a"}}}, Rule: ticket.Rule{}.WithDefaults()})
	watched.Poll(c.Context())
	caller = &callerConn{}
	session = newSession(groupRouter, caller)
	return session, caller, received, func() {
		session.discardPinned()
		conns.Stop()
		c.Assert(listener.Close(), qt.IsNil)
	}
}

func newSession(groupRouter *router.Router, caller net.Conn) *session {
	return &session{
		server: &Server{Clock: clock.System{}, Stats: groupRouter.Stats}, router: groupRouter,
		conn: caller, sender: sender{conn: caller}, status: 'I', hasMinPosition: true,
	}
}

// begin opens a transaction on a connection of the session.
func (session *session) begin(c *qt.C) {
	var err error
	session.pinned, err = session.router.Pool.Acquire(c.Context(), "a", session.poolSession())
	c.Assert(err, qt.IsNil)
	_, err = session.pinned.Exec("BEGIN")
	c.Assert(err, qt.IsNil)
	session.status = 'T'
}

func drain(received <-chan string) []string {
	var queries []string
	for query := range received {
		queries = append(queries, query)
	}
	return queries
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
		session, caller, received, stop := newRepeatingSession(c, test.repeated)
		session.begin(c)
		session.settings.key, session.settings.isKeyPending = test.key, test.key != ""
		for _, query := range test.queries {
			c.Assert(session.handleQuery(t.Context(), query), qt.IsNil)
		}
		c.Check(caller.answers(c), qt.DeepEquals, test.want)
		c.Check(session.pinned, qt.IsNil)
		c.Check(session.status, qt.Equals, byte('I'))
		stop()
		c.Check(drain(received), qt.DeepEquals, test.sent)
	}
}

// MIXED, LOST: the statement of a request key, or its COMMIT, got the second answer to a
// request before it.
func TestRequestWithKeyIsNotSentAfterSecondAnswer(t *testing.T) {
	for _, repeated := range []string{"BEGIN", selectKey("k"), "INSERT a", insertKey("k", "committed INSERT a")} {
		c := qt.New(t)
		session, _, received, stop := newRepeatingSession(c, repeated)
		conn, err := session.router.Pool.Acquire(t.Context(), "a", session.poolSession())
		c.Assert(err, qt.IsNil)
		session.settings.key, session.settings.isKeyPending = "k", true
		session.output.open()
		_, _, err = session.runKeyed(conn, &request{
			messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: "INSERT a"}}, isSimple: true, hasSync: true, text: "INSERT a",
		})
		c.Check(keyedError(err), qt.ErrorMatches, `.*notRun.*`, qt.Commentf("after %s", repeated))
		session.router.Pool.Discard(conn)
		stop()
		sent := drain(received)
		c.Check(sent[len(sent)-1], qt.Equals, repeated)
	}
}

// A read or write whose connection got a second answer to the session's settings is sent on
// another connection.
func TestRequestIsSentElsewhereAfterSecondAnswer(t *testing.T) {
	for _, query := range []string{"SELECT 1", "INSERT a"} {
		c := qt.New(t)
		const setting = "SET a = 1\n;"
		session, caller, received, stop := newRepeatingSession(c, setting)
		c.Assert(session.addUpstreamSetting("SET a = 1"), qt.IsNil)
		c.Assert(session.handleQuery(t.Context(), query), qt.IsNil)
		c.Check(caller.answers(c), qt.DeepEquals, []string{query})
		stop()
		c.Check(drain(received), qt.DeepEquals, []string{setting, setting, query})
	}
}
