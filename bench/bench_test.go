// Package bench_test measures the costs of bramleydoor: the latency and throughput of
// the path through one VM compared with a direct connection to a fake that answers
// at once, the memory and processor time by size, and the time of recoveries.
package bench_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/bramleydoor/bramleydoor/demo"
)

var deployment = demo.Deployment{
	Name: "bench", UpstreamPrefix: "ledger", UpstreamCount: 1, Databases: 1, Slots: 3, ConnectionLimit: 96, Zones: 1, VMs: 1,
}

// start starts one VM and its fakes, and returns the addresses of the VM and of the
// database group's primary.
func start(b *testing.B) (proxy, direct string) {
	b.Helper()
	cluster := &demo.Cluster{Deployment: deployment, Seed: 1, Lag: func() time.Duration { return 0 }, Direct: true}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := cluster.Start(ctx); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Kill)
	if err := cluster.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	conn := connect(b, cluster.VMs[0].Address())
	if _, err := conn.Exec(ctx, "INSERT INTO t (key, value) VALUES ('k', 'v')"); err != nil {
		b.Fatal(err)
	}
	return cluster.VMs[0].Address(), cluster.Groups["ledger1.db1"].Primary().Address()
}

func connect(b *testing.B, address string) *pgx.Conn {
	b.Helper()
	conn, err := pgx.Connect(context.Background(), "postgres://bench@"+address+"/ledger1.db1?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func pointRead(ctx context.Context, conn *pgx.Conn) error {
	var value string
	return conn.QueryRow(ctx, "SELECT value FROM t WHERE key = $1", "k").Scan(&value)
}

func smallTransaction(ctx context.Context, conn *pgx.Conn) error {
	return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		if err := pointReadTx(ctx, tx); err != nil {
			return err
		}
		_, err := tx.Exec(ctx, "INSERT INTO t (key, value) VALUES ($1, 'v') ON CONFLICT (key) DO UPDATE SET value = excluded.value", fmt.Sprint(conn.PgConn().PID()))
		return err
	})
}

func pointReadTx(ctx context.Context, tx pgx.Tx) error {
	var value string
	return tx.QueryRow(ctx, "SELECT value FROM t WHERE key = $1", "k").Scan(&value)
}

// run spreads b.N operations over connections and reports the median latency and the
// throughput.
func run(b *testing.B, address string, conns int, op func(context.Context, *pgx.Conn) error) {
	b.Helper()
	opened := make([]*pgx.Conn, conns)
	for i := range opened {
		opened[i] = connect(b, address)
	}
	latencies := make([][]time.Duration, conns)
	var next atomic.Int64
	var workers sync.WaitGroup
	b.ResetTimer()
	for i, conn := range opened {
		workers.Go(func() {
			for next.Add(1) <= int64(b.N) {
				began := time.Now()
				if err := op(context.Background(), conn); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = append(latencies[i], time.Since(began))
			}
		})
	}
	workers.Wait()
	b.StopTimer()
	sorted := slices.Concat(latencies...)
	slices.Sort(sorted)
	b.ReportMetric(float64(sorted[len(sorted)/2].Nanoseconds())/1000, "p50-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "ops/s")
}

// BenchmarkPath compares the path through a VM with a direct connection.
func BenchmarkPath(b *testing.B) {
	proxy, direct := start(b)
	ops := []struct {
		name string
		op   func(context.Context, *pgx.Conn) error
	}{{"read", pointRead}, {"transaction", smallTransaction}}
	for _, op := range ops {
		for _, conns := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/conns=%d/direct", op.name, conns), func(b *testing.B) { run(b, direct, conns, op.op) })
			b.Run(fmt.Sprintf("%s/conns=%d/proxy", op.name, conns), func(b *testing.B) { run(b, proxy, conns, op.op) })
		}
	}
}

// BenchmarkIdleCallers measures the memory of an idle caller's connection in the VM. The
// callers are plain TCP connections, so that their side adds little to the figure.
func BenchmarkIdleCallers(b *testing.B) {
	proxy, _ := start(b)
	const callers = 2000
	for b.Loop() {
		before := memory()
		conns := make([]*rawCaller, callers)
		for i := range conns {
			conns[i] = dialRaw(b, proxy)
		}
		b.ReportMetric(float64(memory()-before)/callers, "B/caller")
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// memory returns the bytes of heap and stacks in use, after garbage collection.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkStream reads a result of 1 GiB and reports the largest memory in use, sampled
// about every 64 MiB.
func BenchmarkStream(b *testing.B) {
	proxy, _ := start(b)
	conn := connect(b, proxy)
	for b.Loop() {
		rows, err := conn.Query(context.Background(), "SELECT repeat('x', 10240) FROM generate_series(1, 104858)")
		if err != nil {
			b.Fatal(err)
		}
		var count, largest int64
		for rows.Next() {
			count += int64(len(rows.RawValues()[0]))
			if count%(64<<20) < 10240 {
				largest = max(largest, memory())
			}
		}
		if rows.Err() != nil || count < 1<<30 {
			b.Fatalf("read %d bytes, want at least 1 GiB: %v", count, rows.Err())
		}
		b.ReportMetric(float64(largest)/(1<<20), "MB-heap")
		b.ReportMetric(float64(count)/(1<<20)/b.Elapsed().Seconds(), "MB/s")
	}
}
