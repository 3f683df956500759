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

// until polls for a condition; only the test's own timeout bounds it.
func until(ctx context.Context, c *qt.C, what string, isTrue func() bool) {
	for !isTrue() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			c.Fatalf("never: %s", what)
		}
	}
}

// counterModel is a counter per key: an increment returns the value after it.
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
		// The outcome of an unknown increment is free: it may also have had none,
		// which porcupine sees as one that ran after all others.
		return !op.OK || op.Value == next, next
	},
}

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

// Increments are linearizable while primaries die and are cut off, twice in a
// row, and the other promises hold as well.
func TestHistoryUnderFaults(t *testing.T) {
	for _, faults := range []string{"primary", "partition", "store", "vm"} {
		t.Run(faults, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cluster := startTiny(c)
			run := &demo.Demo{Cluster: cluster, Duration: 6 * time.Second, Faults: faults, Callers: 20, Rate: 10}
			result, err := run.Run(ctx)
			c.Assert(err, qt.IsNil)
			c.Assert(result.Findings, qt.HasLen, 0)
			c.Assert(result.IsClean(), qt.IsTrue, qt.Commentf("breaches %d, %v", result.Breaches, result.Report))
			c.Assert(result.Acknowledged > 0, qt.IsTrue)
			c.Assert(porcupine.CheckOperations(counterModel, operations(run.Ops())), qt.IsTrue)
		})
	}
}

// The checker rejects a history in which an increment is lost.
func TestCounterModelRejects(t *testing.T) {
	ops := []check.Op{
		{Kind: check.Add, Key: "k", Value: 1, OK: true, Start: 0, End: 1},
		{Kind: check.Add, Key: "k", Value: 1, OK: true, Start: 2, End: 3},
	}
	qt.Assert(t, porcupine.CheckOperations(counterModel, operations(ops)), qt.IsFalse)
}

// Rule 21: each VM in turn stops as planned under load. Callers see FATAL 57P01
// between requests, which is true: nothing of theirs was cut.
func TestPlannedStops(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	stopLoad := make(chan struct{})
	var workers sync.WaitGroup
	for i := range cluster.VMs {
		workers.Go(func() { work(ctx, c, cluster, i, stopLoad) })
	}
	for _, node := range cluster.VMs {
		node.Stop(ctx)
		c.Assert(ctx.Err(), qt.IsNil)
		c.Assert(node.Restart(), qt.IsNil)
		c.Assert(cluster.Ready(ctx), qt.IsNil)
	}
	close(stopLoad)
	workers.Wait()
}

// Rule 21: a planned stop lets an open transaction finish.
func TestPlannedStopLeavesTransactions(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	conn := connect(ctx, c, cluster, 0, "")
	exec(ctx, c, conn, "BEGIN")
	exec(ctx, c, conn, addOne, "k")
	stopped := make(chan struct{})
	go func() {
		cluster.VMs[0].Stop(ctx)
		close(stopped)
	}()
	until(ctx, c, "the stop has begun", func() bool {
		_, err := pgx.Connect(ctx, "postgres://clerk@"+cluster.VMs[0].Address()+"/ledger1.db1?sslmode=disable")
		return err != nil
	})
	exec(ctx, c, conn, addOne, "k")
	exec(ctx, c, conn, "COMMIT")
	_, err := conn.Exec(ctx, addOne, "k")
	c.Assert(err, qt.ErrorMatches, ".*57P01.*|.*closed.*|.*EOF.*|.*reset.*|.*broken pipe.*")
	<-stopped
	c.Assert(readFrom(ctx, c, connect(ctx, c, cluster, 1, ""), "counter", "k"), qt.Equals, "2")
}

// work increments on one VM; only a planned stop may end its connection.
func work(ctx context.Context, c *qt.C, cluster *demo.Cluster, vm int, stop <-chan struct{}) {
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
		_, err := conn.Exec(ctx, addOne, "k")
		if err == nil {
			continue
		}
		var upstream *pgconn.PgError
		if !errors.As(err, &upstream) || upstream.Code != fault.CodeStopping || load.VerdictOf(err) != fault.NotRun {
			c.Errorf("a request was cut: %v", err)
			return
		}
		_ = conn.Close(ctx)
		conn = nil
	}
}

// Rule 19: without the store a VM that starts learns the configuration from its
// peers, and a primary that dies is replaced.
func TestStoreDown(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	cluster.Store.SetFaults(fakekv.Faults{Down: true})
	cluster.VMs[2].Kill()
	c.Assert(cluster.VMs[2].Restart(), qt.IsNil)
	cluster.Groups["ledger1.db1"].Primary().Kill()
	var conn *pgx.Conn
	until(ctx, c, "the restarted VM takes callers", func() bool {
		opened, err := pgx.Connect(ctx, "postgres://clerk@"+cluster.VMs[2].Address()+"/ledger1.db1?sslmode=disable")
		conn = opened
		return err == nil
	})
	defer conn.Close(ctx)
	until(ctx, c, "the restarted VM writes", func() bool {
		_, err := conn.Exec(ctx, addOne, "k")
		return err == nil
	})
	c.Assert(cluster.VMs[2].VM().Status().Number, qt.Equals, uint64(1))
}

// Rules 17 and 18: an accepted ticket is in force at every VM, and a leaving
// upstream gets no new work.
func TestTicketInForce(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	conn := connect(ctx, c, cluster, 4, "")
	exec(ctx, c, conn, addOne, "k")
	cluster.Store.SetFaults(fakekv.Faults{LoseWrites: 1})
	leaving := ticket.Ticket{ID: "close-ledger1", Upstreams: []ticket.Upstream{{Name: "ledger1", Leaving: true}}}
	c.Assert(cluster.Submit(ctx, leaving), qt.IsNil)
	for _, node := range cluster.VMs {
		until(ctx, c, "ticket 2 is in force", func() bool { return node.VM().Status().Number == 2 })
	}
	_, err := conn.Exec(ctx, addOne, "k")
	c.Assert(err, qt.ErrorMatches, ".*upstream is leaving.*")
	c.Assert(load.VerdictOf(err), qt.Equals, fault.NotRun)
}

// Rule 16: a VM that is cut off from its peers and the store, but not from the
// databases, gives its connections up; the others gain them, and at no time are
// there more than the limit. It joins again.
func TestIsolatedVM(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTiny(c)
	const name = "ledger1.db1"
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for vm := range cluster.VMs {
		for range 8 {
			workers.Go(func() { press(ctx, cluster.VMs[vm].Address(), stop) })
		}
	}
	share := func(vm int) int { return cluster.VMs[vm].VM().Status().Groups[name].Pool.Share }
	open := func(vm int) int { return cluster.VMs[vm].VM().Status().Groups[name].Pool.Open }
	cluster.VMs[2].Isolate(true)
	until(ctx, c, "the isolated VM has no connections", func() bool { return share(2) == 0 && open(2) == 0 })
	until(ctx, c, "another VM has gained", func() bool { return share(0) > 5 && open(0) > 5 })
	cluster.VMs[2].Isolate(false)
	until(ctx, c, "it has its share again", func() bool { return share(2) == 5 && share(0) == 5 })
	close(stop)
	workers.Wait()
	c.Assert(cluster.Groups[name].Breaches.Load(), qt.Equals, int64(0))
}

// press keeps one caller writing, whatever comes.
func press(ctx context.Context, address string, stop <-chan struct{}) {
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
