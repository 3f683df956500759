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

const incrementQuery = "INSERT INTO counter (key, value) VALUES ($1, '1') ON CONFLICT (key) DO UPDATE SET value = counter.value + 1"

// Rule 13: the transaction of a request key runs once, even if several callers send
// it to several VMs. The outcome "aborted" is reported only if the transaction can
// no longer run.
func TestRequestKey(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	first, second := connect(ctx, c, cluster, 0, ""), connect(ctx, c, cluster, 1, "")
	for _, conn := range []*pgx.Conn{first, second, first} {
		exec(ctx, c, conn, "SET bramley.requestKey = 'reminder-7'")
		c.Assert(exec(ctx, c, conn, incrementQuery, "k"), qt.Equals, "INSERT 0 1")
	}
	c.Assert(readValue(ctx, c, second, "counter", "k"), qt.Equals, "1")
	exec(ctx, c, second, "SET bramley.requestKey = 'reminder-7'")
	c.Assert(show(ctx, c, second, "bramley.outcome"), qt.Equals, "committed")

	exec(ctx, c, second, "SET bramley.requestKey = 'reminder-8'")
	c.Assert(show(ctx, c, second, "bramley.outcome"), qt.Equals, "aborted")
	exec(ctx, c, first, "SET bramley.requestKey = 'reminder-8'")
	_, err := first.Exec(ctx, incrementQuery, "k")
	c.Assert(load.VerdictOf(err), qt.Equals, fault.NotRun)

	// A transaction of several statements is refused at its BEGIN if its key was used.
	exec(ctx, c, first, "SET bramley.requestKey = 'reminder-9'")
	tx, err := first.Begin(ctx)
	c.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, incrementQuery, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(tx.Commit(ctx), qt.IsNil)
	exec(ctx, c, second, "SET bramley.requestKey = 'reminder-9'")
	_, err = second.Begin(ctx)
	c.Assert(load.VerdictOf(err), qt.Equals, fault.Ran)
	c.Assert(readValue(ctx, c, first, "counter", "k"), qt.Equals, "2")
}

func readValue(ctx context.Context, c *qt.C, conn *pgx.Conn, table, key string) string {
	var value string
	c.Assert(conn.QueryRow(ctx, "SELECT value FROM "+table+" WHERE key = $1", key).Scan(&value), qt.IsNil)
	return value
}

// Callers on four VMs send a transaction with the same request key concurrently. It
// runs once, and no caller gets an unknown outcome.
func TestRequestKeyRace(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	results := make(chan error, 4)
	for vm := range 4 {
		conn := connect(ctx, c, cluster, vm, "")
		go func() {
			_, err := conn.Exec(ctx, "SET bramley.requestKey = 'order-1'")
			if err == nil {
				_, err = conn.Exec(ctx, incrementQuery, "k")
			}
			results <- err
		}()
	}
	for range 4 {
		if err := <-results; err != nil {
			c.Check(load.VerdictOf(err), qt.Not(qt.Equals), fault.Unknown, qt.Commentf("%v", err))
		}
	}
	c.Assert(readValue(ctx, c, connect(ctx, c, cluster, 4, ""), "counter", "k"), qt.Equals, "1")
}

// A transaction ends when its database connection is lost. Its later statements
// must fail, and not run outside of a transaction.
func TestTransactionAfterLostConnection(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	exec(ctx, c, conn, "BEGIN")
	exec(ctx, c, conn, incrementQuery, "k")
	cluster.Groups["ledger1.db1"].Primary().Kill()
	_, err := conn.Exec(ctx, incrementQuery, "k")
	c.Assert(load.VerdictOf(err), qt.Equals, fault.NotRun, qt.Commentf("%v", err))
	_, err = conn.Exec(ctx, incrementQuery, "k")
	var pgError *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &pgError)
	c.Assert(pgError.Code, qt.Equals, "25P02")
	c.Assert(exec(ctx, c, conn, "ROLLBACK"), qt.Equals, "ROLLBACK")
	exec(ctx, c, conn, incrementQuery, "k")
	c.Assert(readValue(ctx, c, conn, "counter", "k"), qt.Equals, "1")
}

// Less common parts of the PostgreSQL protocol: startup options, COPY, batches,
// read-only transactions, session settings, unsupported statements and cancel
// requests.
func TestProtocolFeatures(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
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
		batch.Queue(incrementQuery, "batch")
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
	_, err = tx.Exec(ctx, incrementQuery, "batch")
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

	// The cancel request is sent to another VM than the one that runs the statement.
	sleepResult := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(600)")
		sleepResult <- err
	}()
	key := conn.PgConn()
	request := &pgproto3.CancelRequest{ProcessID: key.PID(), SecretKey: key.SecretKey()}
	for err = error(nil); err == nil; {
		sendCancel(c, cluster.VMs[1].Address(), request)
		select {
		case err = <-sleepResult:
		default:
		}
	}
	c.Assert(err, qt.ErrorMatches, ".*57014.*")
}

// After an error, PostgreSQL discards all messages up to the next Sync. If the error
// was returned after a Flush, the proxy must still forward the Sync, or the database
// connection stays unusable.
func TestErrorBeforeSync(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
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
	exec(ctx, c, conn, incrementQuery, "k")
}

// sendCancel sends a cancel request to an address, and returns when the connection
// has ended.
func sendCancel(c *qt.C, address string, request *pgproto3.CancelRequest) {
	raw, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer raw.Close()
	bytes, err := request.Encode(nil)
	c.Assert(err, qt.IsNil)
	_, err = raw.Write(bytes)
	c.Assert(err, qt.IsNil)
	_, _ = io.ReadAll(raw)
}

// A malformed message closes only the connection that it was received on. Sessions
// of other callers continue.
func TestMalformedMessages(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	healthy := connect(ctx, c, cluster, 0, "")
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x05x", "\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x00\x00\x08\x04\xd2\x16\x2f"} {
		raw, err := net.Dial("tcp", cluster.VMs[0].Address())
		c.Assert(err, qt.IsNil)
		_, err = raw.Write([]byte(bytes))
		c.Assert(err, qt.IsNil)
		c.Assert(raw.(*net.TCPConn).CloseWrite(), qt.IsNil)
		_, _ = io.ReadAll(raw)
		c.Assert(raw.Close(), qt.IsNil)
	}
	rejected := connect(ctx, c, cluster, 0, "")
	_, err := rejected.PgConn().Conn().Write([]byte("Q\x7f\xff\xff\xff"))
	c.Assert(err, qt.IsNil)
	response, err := io.ReadAll(rejected.PgConn().Conn())
	c.Assert(err, qt.IsNil)
	c.Assert(string(response), qt.Contains, "08P01")
	exec(ctx, c, healthy, incrementQuery, "k")
	c.Assert(cluster.VMs[0].VM().Status().Refusals["badMessage"] > 0, qt.IsTrue)
	_, err = pgx.Connect(ctx, "postgres://clerk@"+cluster.VMs[0].Address()+"/ledger9.db9?sslmode=disable")
	c.Assert(err, qt.ErrorMatches, ".*3D000.*")
}

// pgx's Ping sends a statement that is only a comment. Its CopyFrom first describes
// a query of the table.
func TestPingAndCopyFrom(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	c.Assert(conn.Ping(ctx), qt.IsNil)
	rows := pgx.CopyFromRows([][]any{{"copied1", "7"}, {"copied2", "8"}})
	count, err := conn.CopyFrom(ctx, pgx.Identifier{"counter"}, []string{"key", "value"}, rows)
	c.Assert(err, qt.IsNil)
	c.Assert(count, qt.Equals, int64(2))
	c.Assert(readValue(ctx, c, conn, "counter", "copied2"), qt.Equals, "8")
}
