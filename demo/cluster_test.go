package demo_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"github.com/bramleydoor/bramleydoor/demo"
)

// testTimeout only ends a test that hangs.
const testTimeout = time.Minute

func startTinyCluster(c *qt.C) (context.Context, *demo.Cluster) {
	return startCluster(c, demo.Deployments["tiny"])
}

func startCluster(c *qt.C, deployment demo.Deployment) (context.Context, *demo.Cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	cluster := &demo.Cluster{Deployment: deployment, Seed: 1}
	c.Assert(cluster.Start(ctx), qt.IsNil)
	c.Cleanup(cluster.Kill)
	c.Assert(cluster.AwaitReady(ctx), qt.IsNil)
	return ctx, cluster
}

func connect(ctx context.Context, c *qt.C, cluster *demo.Cluster, vm int, options string) *pgx.Conn {
	config, err := pgx.ParseConfig("postgres://clerk@" + cluster.VMs[vm].Address() + "/ledger1.db1?sslmode=disable")
	c.Assert(err, qt.IsNil)
	if options != "" {
		config.RuntimeParams["options"] = options
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(ctx) })
	return conn
}

func readArrangement(ctx context.Context, c *qt.C, conn *pgx.Conn, key string) string {
	var value string
	err := conn.QueryRow(ctx, "SELECT value FROM arrangement WHERE key = $1", key).Scan(&value)
	c.Assert(err, qt.IsNil)
	return value
}

// A write on one VM is visible on others, with and without its session token. After
// the primary is killed, it stays visible and new writes succeed.
func TestReadYourWritesAndFailover(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)

	writer := connect(ctx, c, cluster, 0, "")
	_, err := writer.Exec(ctx, "INSERT INTO arrangement (key, value) VALUES ($1, $2)", "debtor1", "instalments")
	c.Assert(err, qt.IsNil)
	token := writer.PgConn().ParameterStatus("bramley.session")
	c.Assert(token, qt.Not(qt.Equals), "")
	c.Assert(readArrangement(ctx, c, writer, "debtor1"), qt.Equals, "instalments")

	withToken := connect(ctx, c, cluster, 1, "-c bramley.session="+token)
	c.Assert(readArrangement(ctx, c, withToken, "debtor1"), qt.Equals, "instalments")
	withoutToken := connect(ctx, c, cluster, 2, "")
	c.Assert(readArrangement(ctx, c, withoutToken, "debtor1"), qt.Equals, "instalments")

	cluster.Groups["ledger1.db1"].Primary().Kill()
	// A write that is in flight when the primary is killed may have an unknown
	// outcome. This one is idempotent, so it can be retried.
	waitUntil(ctx, c, "a write succeeds after the failover", func() bool {
		_, err := withToken.Exec(ctx, "INSERT INTO arrangement (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value", "debtor2", "paid")
		return err == nil
	})
	c.Assert(readArrangement(ctx, c, connect(ctx, c, cluster, 3, ""), "debtor1"), qt.Equals, "instalments")
	c.Assert(readArrangement(ctx, c, connect(ctx, c, cluster, 4, ""), "debtor2"), qt.Equals, "paid")
	c.Assert(cluster.Groups["ledger1.db1"].LimitRefusals.Load(), qt.Equals, int64(0))
}
