package demo_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/demo"
	"github.com/bramleydoor/bramleydoor/fakedb"
	"github.com/bramleydoor/bramleydoor/fakekv"
)

// Rules 8 and 9: after a failover acknowledged writes are preserved and new writes
// succeed, even if the store fails meanwhile or other VMs or slots are killed.
func TestFailover(t *testing.T) {
	fiveSlots := demo.Deployments["tiny"]
	fiveSlots.Slots = 5
	tests := []struct {
		name       string
		deployment demo.Deployment
		faults     fakekv.Faults
		// kills is how many primaries are killed one after the other.
		kills int
		// prepare, if set, is called before the first primary is killed.
		prepare func(cluster *demo.Cluster)
	}{
		{name: "store up", deployment: demo.Deployments["tiny"], kills: 1},
		{name: "store down", deployment: demo.Deployments["tiny"], faults: fakekv.Faults{Down: true}, kills: 1},
		{name: "store slow", deployment: demo.Deployments["tiny"], faults: fakekv.Faults{Delay: 2 * time.Second}, kills: 1},
		{name: "store loses responses", deployment: demo.Deployments["tiny"], faults: fakekv.Faults{LoseWriteAnswers: 100}, kills: 1},
		{name: "leases expire", deployment: demo.Deployments["tiny"], kills: 1, prepare: func(cluster *demo.Cluster) { cluster.Store.ExpireLeases() }},
		{name: "promoted slot is killed too", deployment: fiveSlots, kills: 2},
		{name: "group owner is killed with the primary", deployment: demo.Deployments["tiny"], kills: 1, prepare: func(cluster *demo.Cluster) { cluster.VMs[4].Kill() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			cluster := &demo.Cluster{Deployment: test.deployment, Seed: 1}
			c.Assert(cluster.Start(ctx), qt.IsNil)
			defer cluster.Kill()
			c.Assert(cluster.AwaitReady(ctx), qt.IsNil)
			conn := connect(ctx, c, cluster, 0, "")
			exec(ctx, c, conn, incrementQuery, "k")

			cluster.Store.SetFaults(test.faults)
			if test.prepare != nil {
				test.prepare(cluster)
			}
			group := cluster.Groups["ledger1.db1"]
			var killed *fakedb.Slot
			for range test.kills {
				waitUntil(ctx, c, "the group has a new primary to kill", func() bool {
					primary := group.Primary()
					if primary == nil || primary == killed {
						return false
					}
					killed = primary
					primary.Kill()
					return true
				})
			}
			waitUntil(ctx, c, "a write is acknowledged", func() bool {
				_, err := conn.Exec(ctx, incrementQuery, "after")
				return err == nil
			})
			c.Assert(readValue(ctx, c, connect(ctx, c, cluster, 1, ""), "counter", "k"), qt.Equals, "1")
			c.Assert(group.LimitRefusals.Load(), qt.Equals, int64(0))
		})
	}
}

// Rule 10: without a majority of slots no promotion starts, replicas whose lag is
// known still serve bounded-staleness reads, and a write is refused, with the verdict
// notRun only if it had no effect.
func TestNoMajority(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	exec(ctx, c, conn, incrementQuery, "k")
	group := cluster.Groups["ledger1.db1"]
	boundedStaleness := connect(ctx, c, cluster, 1, "-c bramley.staleness=1h")
	waitUntil(ctx, c, "the VM knows the lag and the position of the last slot", func() bool {
		for _, slot := range cluster.VMs[1].VM().Status().Groups["ledger1.db1"].Slots {
			if slot.Name == "c" && slot.LagMs >= 0 && slot.LastPosition == group.Slot(2).LastPosition().String() {
				return true
			}
		}
		return false
	})
	// From here on vm2 learns of no further acknowledged position.
	cluster.Net.SetBlocked("vm2", group.Slot(0).Control(), true)
	cluster.Net.SetBlocked("vm2", group.Slot(1).Control(), true)
	exec(ctx, c, conn, incrementQuery, "k")
	waitUntil(ctx, c, "the last slot has replicated the second write", func() bool {
		return group.Slot(2).LastPosition() == group.Slot(0).LastPosition()
	})
	group.Slot(0).Kill()
	group.Slot(1).Kill()
	waitUntil(ctx, c, "a bounded-staleness read succeeds", func() bool {
		var value string
		return boundedStaleness.QueryRow(ctx, "SELECT value FROM counter WHERE key = 'k'").Scan(&value) == nil
	})
	_, err := conn.Exec(ctx, incrementQuery, "k")
	c.Assert(err, qt.ErrorMatches, ".*no primary within the deadline.*|.*no connection to the database.*|.*lost before the outcome.*")
	c.Assert(group.Primary(), qt.IsNil)
}

// Rule 4: the position at which a replica answered a read is checked against the
// session's minimum position. The position by which the read was routed isn't enough:
// the slot may have lost entries that it had reported.
func TestReadCheckedAgainstMinimumPosition(t *testing.T) {
	c := qt.New(t)
	ctx, cluster := startTinyCluster(c)
	conn := connect(ctx, c, cluster, 0, "")
	exec(ctx, c, conn, incrementQuery, "k")
	group := cluster.Groups["ledger1.db1"]
	for i := 1; i <= 2; i++ {
		group.Slot(i).SetPartitioned(true)
		group.Slot(i).DeleteData()
	}
	for range 20 {
		c.Assert(readValue(ctx, c, conn, "counter", "k"), qt.Equals, "1")
	}
}

// Rules 3 and 4: a VM that still reaches a former primary must not answer from it to
// a session that has seen a later term, or to one without a token, which may have
// seen it. This includes transactions, whose statements are answered before the
// commit.
func TestFormerPrimary(t *testing.T) {
	c := qt.New(t)
	shortWait := demo.Deployments["tiny"]
	shortWait.Wait = time.Second
	ctx, cluster := startCluster(c, shortWait)
	group := cluster.Groups["ledger1.db1"]
	conn := connect(ctx, c, cluster, 1, "")
	exec(ctx, c, conn, incrementQuery, "k")
	// vm1 reaches only the former primary, and all other VMs reach only the other
	// slots.
	former := group.Slot(0)
	former.SetPartitioned(true)
	for i, node := range cluster.VMs {
		for slotIndex := range 3 {
			if (i == 0) != (slotIndex == 0) {
				cluster.Net.SetBlocked(node.VM().Settings.ID, group.Slot(slotIndex).Address(), true)
				cluster.Net.SetBlocked(node.VM().Settings.ID, group.Slot(slotIndex).Control(), true)
			}
		}
	}
	waitUntil(ctx, c, "a write succeeds in the next term", func() bool {
		_, err := conn.Exec(ctx, incrementQuery, "k")
		return err == nil
	})
	token := conn.PgConn().ParameterStatus("bramley.session")
	for _, options := range []string{"-c bramley.session=" + token, ""} {
		stale := connect(ctx, c, cluster, 0, options)
		_, err := stale.Exec(ctx, "BEGIN")
		c.Check(err, qt.ErrorMatches, ".*(no primary|no majority).*", qt.Commentf("options %q", options))
		_, err = stale.Exec(ctx, "SELECT value FROM counter WHERE key = 'k'")
		c.Check(err, qt.IsNotNil)
	}
}
