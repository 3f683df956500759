package vmrun_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
)

// The tests of this file take away those who know: VMs end, databases that have the newest term or
// the acknowledged commits are down or have lost their registrations or logs, and lists are old.

// ONE: a former primary could not be demoted, its successor crashes, and the leader's process is
// killed. The new process learned the newest term from the databases that answered, the former
// primary and a replica that had received nothing, and issued leases for the former primary.
func TestStartedLeaderKnowsTerm(t *testing.T) {
	for _, all := range []bool{false, true} {
		withFailover(t, 0, 3*time.Millisecond, func(c *qt.C, fleet *fleet) {
			replaced := fleet.leader()
			fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
			time.Sleep(500 * time.Millisecond)
			fleet.upstream.Do("a", func(database *fakeup.Database) {
				database.UnreachableFrom = map[string]bool{replaced.name: true, fleet.nonLeader().name: true}
			})
			for fleet.upstream.Primary() != "b" {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Second)
			fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDown = true })
			for _, testVM := range fleet.vms {
				if all || testVM == replaced {
					testVM.kill()
				}
			}
			time.Sleep(300 * time.Millisecond)
			for _, testVM := range fleet.vms {
				if testVM.isKilled.Load() {
					fleet.restart(testVM)
				}
			}
			time.Sleep(time.Second)
			fleet.upstream.Do("a", func(database *fakeup.Database) { database.UnreachableFrom = nil })
			time.Sleep(5 * time.Second)
			fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDown = false })
			fleet.upstream.Rejoin("b")
			c.Assert(fleet.nonLeader().writeGap() < failoverTarget, qt.IsTrue)
		})
	}
}

// ONE: a promoted database crashes before it has reported to a leader. The order counted as one
// without effect, or, to processes that started then, as settled since its database had gone, and
// the former primary was used again.
func TestPromotedDatabaseFailsUnseen(t *testing.T) {
	for _, allFail := range []bool{false, true} {
		withFailover(t, 0, 3*time.Millisecond, func(c *qt.C, fleet *fleet) {
			replaced := fleet.leader()
			fleet.upstream.PromotionDuration = 610 * time.Millisecond // between two polls of the leader
			fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
			fleet.upstream.Do("a", func(database *fakeup.Database) {
				database.UnreachableFrom = map[string]bool{replaced.name: true, fleet.nonLeader().name: true}
			})
			fleet.upstream.SetOnOrder(func(promo.Order) {
				fleet.upstream.SetOnOrder(nil)
				if allFail {
					for _, testVM := range fleet.vms {
						testVM.kill()
					}
				}
			})
			for fleet.upstream.Primary() != "b" {
				time.Sleep(time.Millisecond)
			}
			fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDown = true })
			fleet.tree.Remove(memberPrefix + "b")
			fleet.upstream.Do("a", func(database *fakeup.Database) { database.UnreachableFrom = nil })
			if allFail {
				// The new processes reach only the former primary at first.
				fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsUnresponsive = true })
				for _, testVM := range fleet.vms {
					fleet.restart(testVM)
				}
				time.Sleep(5 * time.Second)
				fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsUnresponsive = false })
			}
			time.Sleep(8 * time.Second)
			c.Assert(fleet.nonLeader().writeGap() < failoverTarget, qt.IsTrue)
			c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
		})
	}
}

// LOST: one replica receives nothing, so another one has all acknowledged commits. That and the
// primary crash, and the deaf replica was promoted once the other was not registered any more: its
// registration has expired, also while it runs on without the store, or names another service.
func TestCommitsOfExpiredReplica(t *testing.T) {
	for _, test := range []struct {
		name             string
		isAlive, isMoved bool
	}{{name: "expired"}, {name: "alive", isAlive: true}, {name: "otherService", isMoved: true}} {
		t.Run(test.name, func(t *testing.T) {
			withFailover(t, 1, 20*time.Millisecond, func(c *qt.C, fleet *fleet) {
				fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
				time.Sleep(500 * time.Millisecond)
				lose := func(id string) {
					member := fleet.upstream.Members()[strings.Index("abc", id)]
					if member.Group = "books"; test.isMoved && id == "b" {
						fleet.register(member)
					} else {
						fleet.tree.Remove(memberPrefix + id)
					}
				}
				if test.isAlive {
					lose("b")
					for _, isDeaf := range []bool{true, false, true} {
						fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = isDeaf })
						time.Sleep(4 * time.Second)
					}
				}
				for _, id := range []string{"a", "b"} {
					fleet.upstream.Do(id, func(database *fakeup.Database) { database.IsDown = true })
				}
				time.Sleep(3600 * time.Millisecond)
				fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = false })
				lose("a")
				lose("b")
				time.Sleep(5 * time.Second)
				c.Assert(fleet.upstream.Terms(), qt.HasLen, 0)
				for _, id := range []string{"a", "b"} {
					fleet.upstream.Do(id, func(database *fakeup.Database) { database.IsDown = false })
				}
				fleet.registerAll()
				c.Assert(fleet.nonLeader().writeGap() < failoverTarget, qt.IsTrue)
			})
		})
	}
}

// LOST: the replica that has all acknowledged commits is started again without its log while the
// primary is down, and the deaf replica was promoted. While the primary runs, the replica gets the
// log again, and is promoted later.
func TestReplicaStartedEmpty(t *testing.T) {
	for _, hasPrimary := range []bool{false, true} {
		withFailover(t, 1, 20*time.Millisecond, func(c *qt.C, fleet *fleet) {
			setDown := func(id string, isDown bool) {
				fleet.upstream.Do(id, func(database *fakeup.Database) { database.IsDown = isDown })
			}
			fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
			time.Sleep(500 * time.Millisecond)
			setDown("b", true)
			setDown("a", !hasPrimary)
			fleet.upstream.StartEmpty("b")
			fleet.registerAll()
			if hasPrimary {
				time.Sleep(5 * time.Second)
				setDown("a", true)
				time.Sleep(5 * time.Second)
				c.Assert(fleet.upstream.Primary(), qt.Equals, "b")
				fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = false })
			} else {
				time.Sleep(5 * time.Second)
				c.Assert(fleet.upstream.Terms(), qt.HasLen, 0)
				setDown("a", false)
			}
			c.Assert(fleet.nonLeader().writeGap() < failoverTarget, qt.IsTrue)
		})
	}
}

// STALE: a VM joins, or is started again, and gets a lease. The leader stops as planned before the
// others have read that VM's record, and its successor promoted another database without revoking
// that lease. The cases differ in the time since the others have read the list of VMs.
func TestLeaseOfJoinedVM(t *testing.T) {
	for _, joins := range []bool{true, false} {
		for since := range 4 {
			t.Run(fmt.Sprintf("joins=%t/%ds", joins, since), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					checkLeaseOfJoinedVM(qt.New(t), joins, time.Duration(since)*time.Second)
				})
			})
		}
	}
}

func checkLeaseOfJoinedVM(c *qt.C, joins bool, since time.Duration) {
	fleet := startFleetOf(3, 0)
	defer fleet.close()
	restarted := fleet.nonLeader()
	if !joins {
		restarted.stop()
		<-restarted.done
	}
	time.Sleep(5*time.Second + since)
	stopped := fleet.leader()
	var reading *testVM
	if joins {
		reading = fleet.start()
	} else {
		reading = fleet.restart(restarted)
	}
	history := fleet.newHistory()
	for _, called := range fleet.vms {
		vm := func() *testVM { return called }
		history.call(vm, false, 2*time.Millisecond)
		if called != reading && called != stopped {
			history.call(vm, true, 3*time.Millisecond)
		}
	}
	time.Sleep(700 * time.Millisecond)
	stopped.stop()
	time.Sleep(100 * time.Millisecond)
	leaving := fleet.upstream.Members()[0]
	leaving.Leaving = true
	fleet.register(leaving)
	time.Sleep(8 * time.Second)
	violations := history.end()
	c.Assert(violations, qt.HasLen, 0, qt.Commentf("the first of %d: %s", len(violations), append(violations, "")[0]))
	c.Assert(fleet.upstream.Terms(), qt.HasLen, 1)
	c.Assert(reading.try(proto.Read{}, "READ x"), qt.Equals, proto.OK)
	c.Assert(reading.writeGap() < time.Second, qt.IsTrue)
}

// LOST: the VMs that have acknowledged commits have left, or were killed and started again, and state
// nothing when the primary and the only replica that receives crash. The silence counted as a proof
// that nothing was acknowledged, and the deaf replica was promoted.
func TestCommitsOfEndedVM(t *testing.T) {
	for name, end := range map[string]func(fleet *fleet, writing *testVM){
		"left": func(_ *fleet, writing *testVM) {
			writing.stop()
			<-writing.done
		},
		"killed": func(fleet *fleet, writing *testVM) {
			writing.kill()
			fleet.restart(writing)
		},
		"allKilled": func(fleet *fleet, _ *testVM) {
			for _, killed := range fleet.vms {
				killed.kill()
				fleet.restart(killed)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				fleet := startFleetOf(3, 1)
				defer fleet.close()
				fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
				writing := fleet.nonLeader()
				history := fleet.newHistory()
				history.call(func() *testVM { return writing }, true, 10*time.Millisecond)
				time.Sleep(800 * time.Millisecond)
				c.Assert(history.end(), qt.HasLen, 0)
				end(fleet, writing)
				for _, id := range []string{"a", "b"} {
					fleet.upstream.Do(id, func(database *fakeup.Database) { database.IsDown = true })
				}
				time.Sleep(9 * time.Second)
				c.Assert(fleet.upstream.Terms(), qt.HasLen, 0)
				fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDown = false })
				time.Sleep(5 * time.Second)
				c.Assert(history.lost(fleet.upstream.Terms()), qt.HasLen, 0)
				c.Assert(fleet.upstream.Primary(), qt.Equals, "b")
			})
		})
	}
}

// A database that is lost for good, and may have acknowledged commits, holds a promotion up until
// operators declare it lost.
func TestLostDatabaseIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := startFleetOf(3, 1)
		defer fleet.close()
		for _, id := range []string{"a", "b"} {
			fleet.upstream.Do(id, func(database *fakeup.Database) { database.IsDown = true })
			fleet.tree.Remove(memberPrefix + id)
		}
		time.Sleep(20 * time.Second)
		c.Assert(fleet.upstream.Terms(), qt.HasLen, 0)
		waits := fleet.leader().vm.Stats.PromotionWaits.Get("seals")
		c.Assert(waits, qt.IsNotNil)
		fleet.tree.Set("bramley/lost/b", nil)
		time.Sleep(10 * time.Second)
		c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
	})
}

// STALE: the primary is started again without its log within the time of a lease. Until the VMs had
// read its registration, reads on current routes ran there, and saw nothing.
func TestPrimaryStartedEmpty(t *testing.T) {
	for _, replicas := range []int{0, 1} {
		withFailover(t, replicas, 20*time.Millisecond, func(c *qt.C, fleet *fleet) {
			fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
			time.Sleep(100 * time.Millisecond)
			fleet.upstream.StartEmpty("a")
			time.Sleep(300 * time.Millisecond)
			fleet.registerAll()
			c.Assert(fleet.nonLeader().writeGap() < failoverTarget, qt.IsTrue)
			c.Assert(fleet.upstream.Primary(), qt.Not(qt.Equals), "a")
		})
	}
}

// ONE, mixed versions: the record of a leader of an earlier version has no terms. The next leader issues
// no lease until all registered databases have reported to it, since the one that is down may lead a
// newer term.
func TestTermWithoutRecord(t *testing.T) {
	for _, returns := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fleet := newFleet(0)
			defer fleet.close()
			fleet.tree.Set(leader.Key, []byte(`{"holder":"","run":0,"token":7,"beat":0}`))
			fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDown = true })
			for range 3 {
				fleet.start()
			}
			time.Sleep(10 * time.Second)
			c.Assert(fleet.nonLeader().tryWrite(), qt.Not(qt.Equals), proto.OK)
			c.Assert(fleet.leader().vm.Stats.PromotionWaits.Get("reports"), qt.IsNotNil)
			c.Assert(fleet.upstream.Terms(), qt.HasLen, 0)
			if returns {
				fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDown = false })
			} else {
				fleet.tree.Remove(memberPrefix + "b")
			}
			c.Assert(fleet.nonLeader().writeGap() < failoverTarget, qt.IsTrue)
			c.Assert(fleet.upstream.Terms(), qt.HasLen, 0)
		})
	}
}
