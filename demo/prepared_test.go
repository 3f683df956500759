package demo_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// texts runs prepared statements without parameters in one batch up to a Sync, each with a
// Parse under the given name, and returns the first column of each.
func texts(c *qt.C, conn *pgx.Conn, name string, queries ...string) []string {
	frontend := conn.PgConn().Frontend()
	for _, query := range queries {
		frontend.Send(&pgproto3.Parse{Name: name, Query: query})
		frontend.Send(&pgproto3.Bind{PreparedStatement: name})
		frontend.Send(&pgproto3.Execute{})
	}
	frontend.Send(&pgproto3.Sync{})
	c.Assert(frontend.Flush(), qt.IsNil)
	var values []string
	for {
		message, err := frontend.Receive()
		c.Assert(err, qt.IsNil)
		switch message := message.(type) {
		case *pgproto3.DataRow:
			values = append(values, string(message.Values[0]))
		case *pgproto3.ErrorResponse:
			c.Fatalf("%s: %s", message.Code, message.Message)
		case *pgproto3.ReadyForQuery:
			return values
		}
	}
}

// PINNED: where a batch parsed two statements under one name, the first one ran in place of the
// second, and then for other sessions that prepared the second.
func TestBatchParsesOneNameTwice(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	for _, name := range []string{"", "s1"} {
		conn, other := connect(ctx, c, cluster, 0, ""), connect(ctx, c, cluster, 0, "")
		first, second, third := "SELECT 'first"+name+"'", "SELECT 'second"+name+"'", "SELECT 'third"+name+"'"
		c.Check(texts(c, conn, name, first, second), qt.DeepEquals, []string{"first" + name, "second" + name})
		c.Check(texts(c, conn, name, third, first, third), qt.DeepEquals, []string{"third" + name, "first" + name, "third" + name})
		for range 2 {
			c.Check(texts(c, other, name, second), qt.DeepEquals, []string{"second" + name})
		}
	}
}

// PINNED: a statement ran in place of another one whose text is the first one's followed by the
// bytes of its parameter types.
func TestPreparedTextWithTypesOfOther(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn, other := connect(ctx, c, cluster, 0, ""), connect(ctx, c, cluster, 0, "")
	exec(ctx, c, conn, "INSERT INTO tabcd (key, value) VALUES ($1, $2)", "k", "1")
	const text, types = "SELECT count(*) FROM t", 0x61626364
	bind, execute := &pgproto3.Bind{}, &pgproto3.Execute{}
	c.Check(batch(c, conn, &pgproto3.Parse{Query: text, ParameterOIDs: []uint32{types}}, bind, execute), qt.DeepEquals, []string{"0"})
	c.Check(batch(c, conn, &pgproto3.Parse{Query: text + "abcd"}, bind, execute), qt.DeepEquals, []string{"1"})
	c.Check(batch(c, other, &pgproto3.Parse{Query: text + "abcd"}, bind, execute), qt.DeepEquals, []string{"1"})
}

// batch sends messages and returns the first columns of rows and the codes of errors up to
// ReadyForQuery.
func batch(c *qt.C, conn *pgx.Conn, messages ...pgproto3.FrontendMessage) []string {
	frontend := conn.PgConn().Frontend()
	for _, message := range messages {
		frontend.Send(message)
	}
	frontend.Send(&pgproto3.Sync{})
	c.Assert(frontend.Flush(), qt.IsNil)
	var answers []string
	for {
		message, err := frontend.Receive()
		c.Assert(err, qt.IsNil)
		switch message := message.(type) {
		case *pgproto3.DataRow:
			answers = append(answers, string(message.Values[0]))
		case *pgproto3.ErrorResponse:
			answers = append(answers, message.Code)
		case *pgproto3.ReadyForQuery:
			return answers
		}
	}
}

// A batch that mixed a setting of the proxy with a portal that didn't exist ended the process.
func TestSettingBatchWithoutPortal(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	parse, bind := &pgproto3.Parse{Query: "SHOW bramley.staleness"}, &pgproto3.Bind{}
	c.Check(batch(c, conn, parse, bind, &pgproto3.Execute{Portal: "nosuch"}), qt.DeepEquals, []string{"34000"})
	c.Check(batch(c, conn, parse, bind, &pgproto3.Describe{ObjectType: 'P', Name: "nosuch"}), qt.DeepEquals, []string{"34000"})
	c.Check(batch(c, conn, parse, bind, &pgproto3.Execute{}), qt.DeepEquals, []string{"0s"})
}

// PINNED: a statement was unknown after a batch that closed its name and prepared it again,
// although the Parse was answered.
func TestBatchReplacesStatement(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	bind, execute := &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}
	c.Check(batch(c, conn, &pgproto3.Parse{Name: "s1", Query: "SELECT 'a'"}, bind, execute), qt.DeepEquals, []string{"a"})
	closing := &pgproto3.Close{ObjectType: 'S', Name: "s1"}
	c.Check(batch(c, conn, closing, &pgproto3.Parse{Name: "s1", Query: "SELECT 'b'"}, bind, execute), qt.DeepEquals, []string{"b"})
	c.Check(batch(c, conn, bind, execute), qt.DeepEquals, []string{"b"})
	c.Check(batch(c, conn, bind, execute, closing), qt.DeepEquals, []string{"b"})
	c.Check(batch(c, conn, bind, execute), qt.DeepEquals, []string{"26000"})
}

// PINNED: after a rollback, statements ran with the settings that the transaction had changed.
func TestRolledBackSettings(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	exec(ctx, c, conn, "SET app.mode = 'a'")
	for _, test := range []struct{ change, end, want string }{
		{"SET app.mode = 'b'", "ROLLBACK", "a"},
		{"SET app.mode = 'c'", "COMMIT", "c"},
		{"RESET app.mode", "ROLLBACK", "c"},
		{"SET app.mode = 'd'; no such statement", "COMMIT", "c"},
		{"RESET app.mode", "COMMIT", ""},
	} {
		exec(ctx, c, conn, "BEGIN")
		for _, text := range strings.Split(test.change, "; ") {
			_, _ = conn.Exec(ctx, text)
		}
		exec(ctx, c, conn, test.end)
		c.Check(show(ctx, c, conn, "app.mode"), qt.Equals, test.want, qt.Commentf("%v", test))
	}
}

// PINNED: after RESET, statements ran with the setting on connections that the session had used
// before.
func TestDroppedSettings(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	for _, drop := range []string{"RESET app.mode", "RESET ALL"} {
		for range 20 {
			exec(ctx, c, conn, "SET app.mode = 'a'")
			c.Assert(show(ctx, c, conn, "app.mode"), qt.Equals, "a")
			exec(ctx, c, conn, drop)
			c.Assert(show(ctx, c, conn, "app.mode"), qt.Equals, "")
		}
	}
}
