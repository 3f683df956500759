package vmrun_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// Rules 8 and 10: after the primary stops or no longer answers, a replica is promoted
// and writes succeed again within two seconds.
func TestFailedPrimaryIsReplaced(t *testing.T) {
	for name, fail := range map[string]func(*fakeup.Database){
		"stopped": func(database *fakeup.Database) { database.IsDown = true },
		"dark":    func(database *fakeup.Database) { database.IsUnresponsive = true },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(c *qt.C, fleet *fleet) {
				c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
				fleet.upstream.Do("a", fail)
				gap := fleet.nonLeader().writeGap()
				c.Assert(gap < 2*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
				orders := fleet.upstream.Orders()
				c.Assert(orders, qt.HasLen, 1)
				c.Assert(orders[0].Leader, qt.Equals, fleet.leader().name)
			})
		})
	}
}

// Rule 8: the replica with the latest received position is promoted.
func TestMostAdvancedReplicaIsPromoted(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsReplicationStopped = true })
		c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		fleet.nonLeader().writeGap()
		c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
	})
}

// Rule 8: a replica that is known to be ahead of the others is still promoted if it
// doesn't answer the first seal requests.
func TestUnresponsiveReplicaIsRetried(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsReplicationStopped = true })
		for range 20 {
			c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
			c.Assert(fleet.leader().tryWrite(), qt.Equals, proto.OK)
		}
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsUnresponsive = true })
		time.AfterFunc(900*time.Millisecond, func() {
			fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsUnresponsive = false })
			fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsReplicationStopped = false })
		})
		gap := fleet.nonLeader().writeGap()
		c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
		c.Assert(gap < 3*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}

// Rule 18: while a leaving primary is replaced, each write either succeeds or
// certainly did not run.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		leaving := fleet.upstream.Members()[0]
		leaving.Leaving = true
		fleet.register(leaving)
		for range 100 {
			code := fleet.nonLeader().tryWrite()
			c.Assert(code == proto.OK || code.DidNotRun(), qt.IsTrue, qt.Commentf("%s", code))
			time.Sleep(20 * time.Millisecond)
		}
		c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
		c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
	})
}

// Rule 7: if the leader can't reach the primary but another VM can, no write that the
// former primary runs after the promotion is confirmed.
func TestFormerPrimaryIsNotUsed(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.partitionPrimaryFromAllBut(fleet.nonLeader())
		fleet.checkFailover(c, fleet.nonLeader(), proto.Write{}, 200, 10*time.Millisecond)
	})
}

// Rule 7: a VM that is partitioned from the other VMs stops using the primary before
// another is promoted.
func TestIsolatedVM(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		isolated := fleet.isolate()
		fleet.partitionPrimaryFromAllBut(isolated)
		fleet.checkFailover(c, isolated, proto.Write{}, 300, 10*time.Millisecond)
	})
}

// Rule 7: a promotion waits until the evidence of every VM has expired, also of one
// whose lease ended long before and that relies on replicas' reports. The test reads,
// since a write would wait for an acknowledgement.
func TestPromotionWaitsForEvidence(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		isolated := fleet.isolate()
		time.Sleep(4 * time.Second)
		c.Assert(isolated.tryWrite(), qt.Equals, proto.OK)
		fleet.partitionPrimaryFromAllBut(isolated)
		fleet.checkFailover(c, isolated, proto.Read{}, 600, 2*time.Millisecond)
	})
}

// Rules 7 and 8: confirmed writes are not rolled back when the primary is lost after
// its replicas have received nothing for a while.
func TestConfirmedWritesSurviveFailover(t *testing.T) {
	for name, failing := range map[string]func(fleet *fleet){
		"primary stops while replicas receive nothing": func(fleet *fleet) {
			time.AfterFunc(500*time.Millisecond, func() {
				fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
			})
		},
		"leader is partitioned from the primary while replicas receive nothing": func(fleet *fleet) {
			blocked := map[string]bool{fleet.leader().name: true}
			fleet.upstream.Do("a", func(database *fakeup.Database) { database.UnreachableFrom = blocked })
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(c *qt.C, fleet *fleet) {
				for _, replica := range []string{"b", "c"} {
					fleet.upstream.Do(replica, func(database *fakeup.Database) { database.IsReplicationStopped = true })
				}
				failing(fleet)
				var confirmed int
				for range 40 {
					if fleet.nonLeader().tryWrite() == proto.OK {
						confirmed++
					}
					time.Sleep(10 * time.Millisecond)
				}
				c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
				var kept int
				for _, run := range fleet.upstream.Runs() {
					if !run.Committed.IsZero() && (run.Committed.Term > 1 || fleet.upstream.Terms()[0].Start.AtLeast(run.Committed)) {
						kept++
					}
				}
				c.Assert(confirmed <= kept, qt.IsTrue, qt.Commentf("%d confirmed, %d kept", confirmed, kept))
			})
		})
	}
}

// Rules 7 and 9, load: a network partition leaves the primary and the leader on one side, and
// the replicas, the store and the other VMs on the other, while callers write on both sides.
// No write is confirmed that the promotion rolls back, and writes succeed again within
// failoverTarget.
func TestLeaderPartitionedWithPrimary(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		minority := fleet.leader()
		fleet.partitionPrimaryFromAllBut(minority)
		for _, replica := range []string{"b", "c"} {
			fleet.upstream.Do(replica, func(database *fakeup.Database) {
				database.IsReplicationStopped = true
				database.UnreachableFrom = map[string]bool{minority.name: true}
			})
		}
		fleet.network.mu.Lock()
		fleet.network.blocked[minority.vm.Address] = true
		fleet.network.mu.Unlock()
		minority.store.isCut.Store(true)
		began := time.Now()
		var confirmed atomic.Int32
		var writers sync.WaitGroup
		for range 5 {
			writers.Go(func() {
				for time.Since(began) < 8*time.Second {
					if minority.tryWrite() == proto.OK {
						confirmed.Add(1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		majority := fleet.vms[0]
		if majority == minority {
			majority = fleet.vms[1]
		}
		for fleet.upstream.Primary() == "a" && time.Since(began) < 8*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		for _, replica := range []string{"b", "c"} {
			fleet.upstream.Do(replica, func(database *fakeup.Database) { database.IsReplicationStopped = false })
		}
		majority.writeGap()
		gap := time.Since(began)
		c.Check(gap < failoverTarget, qt.IsTrue, qt.Commentf("gap %s", gap))
		t.Logf("gap %s", gap)
		writers.Wait()
		var lost int
		for _, run := range fleet.upstream.Runs() {
			if run.Committed.Term == 1 && !fleet.upstream.Terms()[0].Start.AtLeast(run.Committed) {
				lost++
			}
		}
		c.Assert(lost > 0, qt.IsTrue)
		c.Assert(int(confirmed.Load()), qt.Equals, 0)
	})
}

// Rules 9 and 19: writes succeed while the leader has stopped and the store is down,
// and a failover still works once the store is back.
func TestLeaderAndStoreLost(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		other := fleet.nonLeader()
		fleet.tree.SetDown(true)
		leader := fleet.leader()
		leader.stop()
		for range 100 {
			c.Assert(other.tryWrite(), qt.Equals, proto.OK)
			time.Sleep(100 * time.Millisecond)
		}
		fleet.tree.SetDown(false)
		time.Sleep(5 * time.Second)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		gap := other.writeGap()
		c.Assert(gap < 4*time.Second, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}

// A healthy primary whose registration lapsed in an outage of the store is not
// replaced.
func TestLapsedRegistration(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetDown(true)
		time.Sleep(3 * time.Second)
		fleet.tree.Remove(memberPrefix + "a")
		fleet.tree.SetDown(false)
		time.Sleep(1900 * time.Millisecond)
		fleet.registerAll()
		time.Sleep(5 * time.Second)
		c.Assert(fleet.upstream.Orders(), qt.HasLen, 0)
		c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
	})
}

// A database whose registration ends while the store is up counts as leaving: a
// primary is replaced.
func TestEndedRegistration(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.Remove(memberPrefix + "a")
		time.Sleep(3 * time.Second)
		c.Assert(fleet.upstream.Orders(), qt.HasLen, 1)
		c.Assert(fleet.nonLeader().tryWrite(), qt.Equals, proto.OK)
	})
}

// Rule 17: a configuration is in force within 3 s even if the watch doesn't answer and
// the store has discarded its history. An older configuration is never applied.
func TestUnresponsiveWatch(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetWatchUnresponsive(true)
		fleet.configure(5)
		fleet.tree.DropHistory()
		time.Sleep(3 * time.Second)
		callerConn, answer := fleet.nonLeader().open("v5")
		c.Assert(answer.Code, qt.Equals, proto.OK)
		callerConn.Leave()
		fleet.tree.SetWatchUnresponsive(false)
		fleet.configure(4)
		time.Sleep(3 * time.Second)
		_, answer = fleet.nonLeader().open("v4")
		c.Assert(answer.Code, qt.Equals, proto.UnknownDatabase)
	})
}

// A VM that starts while the store is down is ready soon after the store is back.
func TestStartWithoutStore(t *testing.T) {
	withFleet(t, func(c *qt.C, fleet *fleet) {
		fleet.tree.SetDown(true)
		late := fleet.start()
		time.Sleep(2 * time.Second)
		c.Assert(late.vm.IsReady(), qt.IsFalse)
		fleet.tree.SetDown(false)
		time.Sleep(time.Second)
		c.Assert(late.vm.IsReady(), qt.IsTrue)
		c.Assert(late.tryWrite(), qt.Equals, proto.OK)
	})
}

// A fleet that starts while the store doesn't answer serves soon after the store is
// back, without waiting for the timeout of the calls made before.
func TestStartWithUnresponsiveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(0)
		defer fleet.close()
		fleet.tree.SetUnresponsive(true)
		for range 3 {
			fleet.start()
		}
		time.Sleep(200 * time.Millisecond)
		fleet.tree.SetUnresponsive(false)
		gap := fleet.vms[0].writeGap()
		c.Assert(gap < 800*time.Millisecond, qt.IsTrue, qt.Commentf("gap %s", gap))
	})
}
