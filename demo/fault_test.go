package demo_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/bramleydoor/bramleydoor/check"
	"github.com/bramleydoor/bramleydoor/demo"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/fault"
	"github.com/bramleydoor/bramleydoor/load"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// waitUntil polls a condition until it is true. It fails the test when ctx ends.
func waitUntil(ctx context.Context, c *qt.C, condition string, isTrue func() bool) {
	for !isTrue() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			c.Fatalf("condition not met before the test timed out: %s", condition)
		}
	}
}

// counterModel models one counter per key. An increment returns the new value.
var counterModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			key := operation.Input.(check.Op).Key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(check.Op)
		next := state.(int64) + 1
		// An increment of unknown outcome may have returned any value. If it had no
		// effect, porcupine can order it after all others, as its end is open.
		return !op.OK || op.Value == next, next
	},
}

// operations returns the increments of a history that may have had an effect. Those
// of unknown outcome end after all others.
func operations(ops []check.Op) []porcupine.Operation {
	var history []porcupine.Operation
	for i, op := range ops {
		if op.Kind != check.Add || !op.OK && op.Verdict == fault.NotRun {
			continue
		}
		end := op.End
		if !op.OK {
			end = time.Hour
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: op, Call: int64(op.Start), Return: int64(end)})
	}
	return history
}

// Increments are linearizable while primaries are killed or partitioned repeatedly,
// the store fails or VMs are killed, and no other guarantee is violated.
func TestHistoryUnderFaults(t *testing.T) {
	for _, faults := range []string{"primary", "partition", "store", "vm"} {
		t.Run(faults, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cluster := startTinyCluster(c)
			run := &demo.Demo{Cluster: cluster, Duration: 6 * time.Second, Faults: faults, Callers: 20, Rate: 10}
			result, err := run.Run(ctx)
			c.Assert(err, qt.IsNil)
			c.Assert(result.Findings, qt.HasLen, 0)
			c.Assert(result.IsClean(), qt.IsTrue, qt.Commentf("connection limit violations %d, %v", result.ConnectionLimitViolations, result.Report))
			c.Assert(result.Acknowledged > 0, qt.IsTrue)
			c.Assert(porcupine.CheckOperations(counterModel, operations(run.Ops())), qt.IsTrue)
		})
	}
}

// The model rejects a history in which an increment is lost.
func TestCounterModelRejectsLostIncrement(t *testing.T) {
	ops := []check.Op{
		{Kind: check.Add, Key: "k", Value: 1, OK: true, Start: 0, End: 1},
		{Kind: check.Add, Key: "k", Value: 1, OK: true, Start: 2, End: 3},
	}
	qt.Assert(t, porcupine.CheckOperations(counterModel, operations(ops)), qt.IsFalse)
}

// Rule 21: the VMs are stopped as planned under load, one after the other. Callers
// receive FATAL 57P01 only between requests, so that no request is interrupted.
func TestPlannedStopsUnderLoad(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	stopLoad := make(chan struct{})
	var workers sync.WaitGroup
	for i := range cluster.VMs {
		workers.Go(func() { incrementRepeatedly(ctx, c, cluster, i, stopLoad) })
	}
	for _, node := range cluster.VMs {
		node.Stop(ctx)
		c.Assert(ctx.Err(), qt.IsNil)
		c.Assert(node.Restart(), qt.IsNil)
		c.Assert(cluster.AwaitReady(ctx), qt.IsNil)
	}
	close(stopLoad)
	workers.Wait()
}

// Rule 21: a planned stop waits for an open transaction to end.
func TestPlannedStopCompletesTransaction(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	exec(ctx, c, conn, "BEGIN")
	exec(ctx, c, conn, incrementQuery, "k")
	stopped := make(chan struct{})
	go func() {
		cluster.VMs[0].Stop(ctx)
		close(stopped)
	}()
	waitUntil(ctx, c, "the VM refuses new connections", func() bool {
		_, err := pgx.Connect(ctx, "postgres://clerk@"+cluster.VMs[0].Address()+"/ledger1.db1?sslmode=disable")
		return err != nil
	})
	exec(ctx, c, conn, incrementQuery, "k")
	exec(ctx, c, conn, "COMMIT")
	_, err := conn.Exec(ctx, incrementQuery, "k")
	c.Assert(err, qt.ErrorMatches, ".*57P01.*|.*closed.*|.*EOF.*|.*reset.*|.*broken pipe.*")
	<-stopped
	c.Assert(readValue(ctx, c, connect(ctx, c, cluster, 1, ""), "counter", "k"), qt.Equals, "2")
}

// incrementRepeatedly increments a counter through one VM until stop is closed. It
// fails the test if a request fails for another reason than a planned stop.
func incrementRepeatedly(ctx context.Context, c *qt.C, cluster *demo.Cluster, vm int, stop <-chan struct{}) {
	var conn *pgx.Conn
	for {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			opened, err := pgx.Connect(ctx, "postgres://clerk@"+cluster.VMs[vm].Address()+"/ledger1.db1?sslmode=disable")
			if err != nil {
				continue
			}
			conn = opened
		}
		_, err := conn.Exec(ctx, incrementQuery, "k")
		if err == nil {
			continue
		}
		var pgError *pgconn.PgError
		if !errors.As(err, &pgError) || pgError.Code != fault.CodeStopping || load.VerdictOf(err) != fault.NotRun {
			c.Errorf("request failed, but not with the error of a planned stop: %v", err)
			return
		}
		_ = conn.Close(ctx)
		conn = nil
	}
}

// Rule 19: while the store is unavailable, a starting VM loads the configuration from
// other VMs, and a failed primary is replaced.
func TestStoreUnavailable(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	cluster.Store.SetFaults(fakekv.Faults{Down: true})
	cluster.VMs[2].Kill()
	c.Assert(cluster.VMs[2].Restart(), qt.IsNil)
	cluster.Groups["ledger1.db1"].Primary().Kill()
	var conn *pgx.Conn
	waitUntil(ctx, c, "the restarted VM accepts connections", func() bool {
		opened, err := pgx.Connect(ctx, "postgres://clerk@"+cluster.VMs[2].Address()+"/ledger1.db1?sslmode=disable")
		conn = opened
		return err == nil
	})
	defer conn.Close(ctx)
	waitUntil(ctx, c, "a write through the restarted VM succeeds", func() bool {
		_, err := conn.Exec(ctx, incrementQuery, "k")
		return err == nil
	})
	c.Assert(cluster.VMs[2].VM().Status().Number, qt.Equals, uint64(1))
}

// Rules 17 and 18: every VM applies an accepted ticket, and an upstream that is
// leaving receives no new requests.
func TestTicketAppliedByAllVMs(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 4, "")
	exec(ctx, c, conn, incrementQuery, "k")
	cluster.Store.SetFaults(fakekv.Faults{LoseWriteAnswers: 1})
	leaving := ticket.Ticket{ID: "close-ledger1", Upstreams: []ticket.Upstream{{Name: "ledger1", Leaving: true}}}
	c.Assert(cluster.Submit(ctx, leaving), qt.IsNil)
	for _, node := range cluster.VMs {
		waitUntil(ctx, c, "the VM has applied ticket 2", func() bool { return node.VM().Status().Number == 2 })
	}
	_, err := conn.Exec(ctx, incrementQuery, "k")
	c.Assert(err, qt.ErrorMatches, ".*upstream is leaving.*")
	c.Assert(load.VerdictOf(err), qt.Equals, fault.NotRun)
}

// Rule 16: a VM that is partitioned from the other VMs and the store, but not from
// the databases, closes its connections, and the other VMs open more instead.
// The limit is never exceeded. After the partition the VM regains its share.
func TestIsolatedVM(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	const name = "ledger1.db1"
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for vm := range cluster.VMs {
		for range 8 {
			workers.Go(func() { queryRepeatedly(ctx, cluster.VMs[vm].Address(), stop) })
		}
	}
	share := func(vm int) int { return cluster.VMs[vm].VM().Status().Groups[name].Pool.Share }
	open := func(vm int) int { return cluster.VMs[vm].VM().Status().Groups[name].Pool.Open }
	cluster.VMs[2].Isolate(true)
	waitUntil(ctx, c, "the isolated VM has no connections", func() bool { return share(2) == 0 && open(2) == 0 })
	waitUntil(ctx, c, "another VM has a larger share and more connections", func() bool { return share(0) > 5 && open(0) > 5 })
	cluster.VMs[2].Isolate(false)
	waitUntil(ctx, c, "the VM has regained its share", func() bool { return share(2) == 5 && share(0) == 5 })
	close(stop)
	workers.Wait()
	c.Assert(cluster.Groups[name].LimitRefusals.Load(), qt.Equals, int64(0))
}

// queryRepeatedly runs statements through one VM until stop is closed. It reconnects
// after each error.
func queryRepeatedly(ctx context.Context, address string, stop <-chan struct{}) {
	for {
		conn, err := pgx.Connect(ctx, "postgres://clerk@"+address+"/ledger1.db1?sslmode=disable")
		for err == nil {
			select {
			case <-stop:
				_ = conn.Close(ctx)
				return
			default:
			}
			_, err = conn.Exec(ctx, "SELECT pg_sleep(0.01)")
		}
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
