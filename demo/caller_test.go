package demo_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/load"
)

func exec(ctx context.Context, c *qt.C, conn *pgx.Conn, sql string, args ...any) string {
	tag, err := conn.Exec(ctx, sql, args...)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", sql))
	return tag.String()
}

func show(ctx context.Context, c *qt.C, conn *pgx.Conn, setting string) string {
	var value string
	c.Assert(conn.QueryRow(ctx, "SHOW "+setting).Scan(&value), qt.IsNil)
	return value
}

const addOne = "INSERT INTO counter (key, value) VALUES ($1, '1') ON CONFLICT (key) DO UPDATE SET value = counter.value + 1"

// Rule 13: a key's transaction runs once, whoever repeats it and wherever, and
// "aborted" is told only when it can't run any more.
func TestRequestKey(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	first, second := connect(ctx, c, cluster, 0, ""), connect(ctx, c, cluster, 1, "")
	for _, conn := range []*pgx.Conn{first, second, first} {
		exec(ctx, c, conn, "SET bramley.requestKey = 'reminder-7'")
		c.Assert(exec(ctx, c, conn, addOne, "k"), qt.Equals, "INSERT 0 1")
	}
	c.Assert(readFrom(ctx, c, second, "counter", "k"), qt.Equals, "1")
	exec(ctx, c, second, "SET bramley.requestKey = 'reminder-7'")
	c.Assert(show(ctx, c, second, "bramley.outcome"), qt.Equals, "committed")

	exec(ctx, c, second, "SET bramley.requestKey = 'reminder-8'")
	c.Assert(show(ctx, c, second, "bramley.outcome"), qt.Equals, "aborted")
	exec(ctx, c, first, "SET bramley.requestKey = 'reminder-8'")
	_, err := first.Exec(ctx, addOne, "k")
	c.Assert(load.VerdictOf(err), qt.Equals, fault.NotRun)

	// A transaction of several statements is refused at its BEGIN.
	exec(ctx, c, first, "SET bramley.requestKey = 'reminder-9'")
	tx, err := first.Begin(ctx)
	c.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, addOne, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(tx.Commit(ctx), qt.IsNil)
	exec(ctx, c, second, "SET bramley.requestKey = 'reminder-9'")
	_, err = second.Begin(ctx)
	c.Assert(load.VerdictOf(err), qt.Equals, fault.Ran)
	c.Assert(readFrom(ctx, c, first, "counter", "k"), qt.Equals, "2")
}

func readFrom(ctx context.Context, c *qt.C, conn *pgx.Conn, table, key string) string {
	var value string
	c.Assert(conn.QueryRow(ctx, "SELECT value FROM "+table+" WHERE key = $1", key).Scan(&value), qt.IsNil)
	return value
}

// Two callers race with one key, on two VMs; one run wins.
func TestRequestKeyRace(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	results := make(chan error, 4)
	for vm := range 4 {
		conn := connect(ctx, c, cluster, vm, "")
		go func() {
			_, err := conn.Exec(ctx, "SET bramley.requestKey = 'order-1'")
			if err == nil {
				_, err = conn.Exec(ctx, addOne, "k")
			}
			results <- err
		}()
	}
	for range 4 {
		if err := <-results; err != nil {
			c.Check(load.VerdictOf(err), qt.Not(qt.Equals), fault.Unknown, qt.Commentf("%v", err))
		}
	}
	c.Assert(readFrom(ctx, c, connect(ctx, c, cluster, 4, ""), "counter", "k"), qt.Equals, "1")
}

// A transaction whose connection is lost is over: its later statements must not
// run outside of it.
func TestLostTransaction(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	conn := connect(ctx, c, cluster, 0, "")
	exec(ctx, c, conn, "BEGIN")
	exec(ctx, c, conn, addOne, "k")
	cluster.Groups["ledger1.db1"].Primary().Kill()
	_, err := conn.Exec(ctx, addOne, "k")
	c.Assert(load.VerdictOf(err), qt.Equals, fault.NotRun, qt.Commentf("%v", err))
	_, err = conn.Exec(ctx, addOne, "k")
	var upstream *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &upstream)
	c.Assert(upstream.Code, qt.Equals, "25P02")
	c.Assert(exec(ctx, c, conn, "ROLLBACK"), qt.Equals, "ROLLBACK")
	exec(ctx, c, conn, addOne, "k")
	c.Assert(readFrom(ctx, c, conn, "counter", "k"), qt.Equals, "1")
}

// The protocol's less common parts.
func TestProtocol(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	conn := connect(ctx, c, cluster, 0, "-c bramley.staleness=5s")
	c.Assert(show(ctx, c, conn, "bramley.staleness"), qt.Equals, "5s")
	exec(ctx, c, conn, "SET bramley.staleness = '0s'")

	count, err := conn.PgConn().CopyFrom(ctx, strings.NewReader("a\t1\nb\t2\n"), "COPY t (key, value) FROM STDIN")
	c.Assert(err, qt.IsNil)
	c.Assert(count.String(), qt.Equals, "COPY 2")
	var copied strings.Builder
	_, err = conn.PgConn().CopyTo(ctx, &copied, "COPY t TO STDOUT")
	c.Assert(err, qt.IsNil)
	c.Assert(copied.String(), qt.Equals, "a\t1\nb\t2\n")

	batch := &pgx.Batch{}
	for range 3 {
		batch.Queue(addOne, "batch")
	}
	batch.Queue("SELECT value FROM counter WHERE key = $1", "batch")
	results := conn.SendBatch(ctx, batch)
	for range 3 {
		_, err = results.Exec()
		c.Assert(err, qt.IsNil)
	}
	var value string
	c.Assert(results.QueryRow().Scan(&value), qt.IsNil)
	c.Assert(results.Close(), qt.IsNil)
	c.Assert(value, qt.Equals, "3")

	tx, err := conn.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	c.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, addOne, "batch")
	c.Assert(err, qt.ErrorMatches, ".*25006.*")
	c.Assert(tx.Rollback(ctx), qt.IsNil)

	for range 20 {
		exec(ctx, c, conn, "SET search_path = 'y'")
	}
	exec(ctx, c, conn, "RESET search_path")
	for i := range 17 {
		_, err = conn.Exec(ctx, fmt.Sprintf("SET app.s%d = 'x'", i))
	}
	c.Assert(err, qt.ErrorMatches, ".*too many session settings.*0A000.*")
	exec(ctx, c, conn, "RESET ALL")
	exec(ctx, c, conn, "SET app.s16 = 'x'")
	c.Assert(exec(ctx, c, conn, "DISCARD ALL"), qt.Equals, "DISCARD ALL")
	_, err = conn.Exec(ctx, "LISTEN orders")
	c.Assert(err, qt.ErrorMatches, ".*LISTEN.*0A000.*")
	_, err = conn.Exec(ctx, "SET bramley.staleness = 'soon'")
	c.Assert(err, qt.ErrorMatches, ".*duration.*22023.*")
	_, err = conn.Exec(ctx, "no such statement")
	c.Assert(err, qt.ErrorMatches, ".*42601.*")

	// The cancel request goes to another VM than the one that runs the statement.
	sleeping := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(600)")
		sleeping <- err
	}()
	key := conn.PgConn()
	request := &pgproto3.CancelRequest{ProcessID: key.PID(), SecretKey: key.SecretKey()}
	for err = error(nil); err == nil; {
		cancel(c, cluster.VMs[1].Address(), request)
		select {
		case err = <-sleeping:
		default:
		}
	}
	c.Assert(err, qt.ErrorMatches, ".*57014.*")
}

// An error before a Flush leaves the upstream connection skipping messages until
// the Sync, which must reach it.
func TestFlush(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	conn := connect(ctx, c, cluster, 0, "")
	frontend := conn.PgConn().Frontend()
	for _, query := range []string{"no such statement", "SELECT 1"} {
		frontend.Send(&pgproto3.Parse{Name: "s", Query: query})
		frontend.Send(&pgproto3.Flush{})
		c.Assert(frontend.Flush(), qt.IsNil)
		message, err := frontend.Receive()
		c.Assert(err, qt.IsNil)
		if query == "SELECT 1" {
			c.Assert(message, qt.DeepEquals, pgproto3.BackendMessage(&pgproto3.ParseComplete{}))
		} else {
			c.Assert(message.(*pgproto3.ErrorResponse).Code, qt.Equals, "42601")
		}
		frontend.Send(&pgproto3.Sync{})
		c.Assert(frontend.Flush(), qt.IsNil)
		for isReady := false; !isReady; {
			message, err := frontend.Receive()
			c.Assert(err, qt.IsNil)
			_, isReady = message.(*pgproto3.ReadyForQuery)
		}
	}
	exec(ctx, c, conn, addOne, "k")
}

func cancel(c *qt.C, address string, request *pgproto3.CancelRequest) {
	raw, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer raw.Close()
	bytes, err := request.Encode(nil)
	c.Assert(err, qt.IsNil)
	_, err = raw.Write(bytes)
	c.Assert(err, qt.IsNil)
	_, _ = io.ReadAll(raw)
}

// A caller that breaks the protocol is closed, and nobody else.
func TestBrokenCallers(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	good := connect(ctx, c, cluster, 0, "")
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x05x", "\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x00\x00\x08\x04\xd2\x16\x2f"} {
		raw, err := net.Dial("tcp", cluster.VMs[0].Address())
		c.Assert(err, qt.IsNil)
		_, err = raw.Write([]byte(bytes))
		c.Assert(err, qt.IsNil)
		c.Assert(raw.(*net.TCPConn).CloseWrite(), qt.IsNil)
		_, _ = io.ReadAll(raw)
		c.Assert(raw.Close(), qt.IsNil)
	}
	bad := connect(ctx, c, cluster, 0, "")
	_, err := bad.PgConn().Conn().Write([]byte("Q\x7f\xff\xff\xff"))
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(bad.PgConn().Conn())
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Contains, "08P01")
	exec(ctx, c, good, addOne, "k")
	c.Assert(cluster.VMs[0].VM().Status().Refusals["badMessage"] > 0, qt.IsTrue)
	_, err = pgx.Connect(ctx, "postgres://clerk@"+cluster.VMs[0].Address()+"/ledger9.db9?sslmode=disable")
	c.Assert(err, qt.ErrorMatches, ".*3D000.*")
}

// What a newcomer tries first: pgx's Ping, which sends only a comment, and its
// CopyFrom, which describes the table before.
func TestPingAndCopyFrom(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	conn := connect(ctx, c, cluster, 0, "")
	c.Assert(conn.Ping(ctx), qt.IsNil)
	rows := pgx.CopyFromRows([][]any{{"copied1", "7"}, {"copied2", "8"}})
	count, err := conn.CopyFrom(ctx, pgx.Identifier{"counter"}, []string{"key", "value"}, rows)
	c.Assert(err, qt.IsNil)
	c.Assert(count, qt.Equals, int64(2))
	c.Assert(readFrom(ctx, c, conn, "counter", "copied2"), qt.Equals, "8")
}
