package vmrun_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
)

// withFailover runs a test on a fleet whose callers write and read at every VM, and checks what
// they were told at its end. replicas is the number of synchronous
// replicas, writePause that between two writes of a caller.
func withFailover(t *testing.T, replicas int, writePause time.Duration, test func(c *qt.C, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := startFleetOf(3, replicas)
		defer fleet.close()
		fleet.upstream.PromotionDuration = 600 * time.Millisecond
		history := fleet.newHistory()
		defer history.end()
		history.callAll(5*time.Millisecond, writePause)
		time.Sleep(time.Second)
		test(c, fleet)
		violations := history.end()
		c.Assert(violations, qt.HasLen, 0, qt.Commentf("the first of %d: %s", len(violations), append(violations, "")[0]))
	})
}

// startFleetOf starts VMs before databases that replicate with a number of synchronous replicas.
func startFleetOf(count, replicas int) *fleet {
	fleet := newFleetWithTeams(0, 0)
	fleet.upstream.SyncReplicas = replicas
	for range count {
		fleet.start()
	}
	time.Sleep(5 * time.Second)
	return fleet
}

// STALE: the leader's process is killed when the platform has accepted its order, and started
// again before that takes effect. The new process issued leases for the old primary.
func TestRestartedLeaderKnowsOrder(t *testing.T) {
	for _, replicas := range []int{0, 0, 1, 1} {
		withFailover(t, replicas, 200*time.Millisecond, func(c *qt.C, fleet *fleet) {
			leader := fleet.leader()
			var restarted atomic.Bool
			fleet.upstream.SetOnOrder(func(promo.Order) {
				if restarted.Swap(true) {
					return
				}
				leader.kill()
				fleet.upstream.Do("a", func(database *fakeup.Database) { database.UnreachableFrom = nil })
				time.AfterFunc(200*time.Millisecond, func() { fleet.restart(leader) })
			})
			fleet.upstream.Do("a", func(database *fakeup.Database) {
				database.UnreachableFrom = map[string]bool{leader.name: true, fleet.nonLeader().name: true}
			})
			time.Sleep(10 * time.Second)
			c.Assert(restarted.Load(), qt.IsTrue)
			c.Assert(fleet.upstream.Terms(), qt.HasLen, 1)
			c.Assert(fleet.nonLeader().writeGap() < time.Second, qt.IsTrue)
		})
	}
}

// ONE: a former primary that was unreachable at the promotion of its successor went on leading its
// term for as long as it did not reach that, and was used again by a leader that started while the
// successor was down. It is demoted once it is reachable.
func TestFormerPrimaryIsDemotedLater(t *testing.T) {
	withFailover(t, 0, 3*time.Millisecond, func(c *qt.C, fleet *fleet) {
		unreachable := make(map[string]bool)
		for _, testVM := range fleet.vms {
			unreachable[testVM.name] = true
		}
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.UnreachableFrom = unreachable })
		time.Sleep(5 * time.Second)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.UnreachableFrom = nil })
		time.Sleep(4 * time.Second)
		conn, _, err := fleet.upstream.Dial(dbset.Member{ID: "a", Address: "a"}, "", time.Second)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		answer, err := conn.Ask(proto.GetReport{}, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Report.Primary, qt.IsFalse)
		c.Assert(fleet.upstream.Terms(), qt.HasLen, 1)
	})
}

// LOST, ONE: a replica that did not confirm its seal counted as sealed, and was promoted.
func TestReplicaWithoutSealIsNotPromoted(t *testing.T) {
	withFailover(t, 0, 3*time.Millisecond, func(c *qt.C, fleet *fleet) {
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.IgnoresSeals = true })
		fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
		time.Sleep(time.Second)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		time.Sleep(5 * time.Second)
		c.Assert(fleet.upstream.Terms(), qt.HasLen, 1)
		c.Assert(fleet.upstream.Terms()[0].Primary, qt.Equals, "c")
	})
}

// LOST: one replica receives nothing, and the primary crashes. The other replica is promoted,
// and its commits then wait for the deaf one. The leader took it for failed and promoted that.
func TestDeafReplicaIsNotPromoted(t *testing.T) {
	withFailover(t, 1, 200*time.Millisecond, func(c *qt.C, fleet *fleet) {
		for _, id := range []string{"a", "b", "c"} {
			fleet.upstream.Do(id, func(database *fakeup.Database) { database.Slots = 3 })
		}
		fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
		time.Sleep(2 * time.Second)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		time.Sleep(4500 * time.Millisecond)
		fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = false })
		time.Sleep(1500 * time.Millisecond)
		fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = false })
		fleet.upstream.Rejoin("a")
		c.Assert(fleet.nonLeader().writeGap() < 5*time.Second, qt.IsTrue)
		c.Assert(fleet.upstream.Terms()[0].Primary, qt.Equals, "b")
	})
}

// LOST: the leader reaches neither the primary nor one replica, by which the other VMs' commits
// are acknowledged until their leases are revoked. The replica that the leader reaches was sealed
// before that, and promoted without these commits.
func TestCommitsOfUnsealedReplica(t *testing.T) {
	for _, replicas := range []int{0, 1} {
		withFailover(t, replicas, 3*time.Millisecond, func(c *qt.C, fleet *fleet) {
			leader := fleet.leader().name
			for _, id := range []string{"a", "c"} {
				fleet.upstream.Do(id, func(database *fakeup.Database) { database.UnreachableFrom = map[string]bool{leader: true} })
			}
			time.Sleep(5 * time.Second)
			for _, id := range []string{"a", "c"} {
				fleet.upstream.Do(id, func(database *fakeup.Database) { database.UnreachableFrom = nil })
			}
			c.Assert(fleet.nonLeader().writeGap() < 5*time.Second, qt.IsTrue)
		})
	}
}

// LOST: the only replica that receives ends, and its registration too. The primary's commits then
// wait for the other one, which lacks those that were acknowledged before, and was promoted.
func TestEndedReplicaMayHaveCommits(t *testing.T) {
	withFailover(t, 1, 200*time.Millisecond, func(c *qt.C, fleet *fleet) {
		for _, id := range []string{"a", "b", "c"} {
			fleet.upstream.Do(id, func(database *fakeup.Database) { database.Slots = 3 })
		}
		fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
		time.Sleep(2 * time.Second)
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDown = true })
		time.Sleep(time.Second)
		fleet.tree.Remove(memberPrefix + "b")
		time.Sleep(5 * time.Second)
		c.Assert(fleet.upstream.Terms(), qt.HasLen, 0)
		fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = false })
		c.Assert(fleet.nonLeader().writeGap() < 5*time.Second, qt.IsTrue)
	})
}

// LOST: one replica receives nothing, the other is leaving and acknowledges all commits. When the
// primary crashes, the leaving one was passed over for the one that lacks them.
func TestLeavingReplicaWithCommits(t *testing.T) {
	for _, replicas := range []int{0, 1} {
		withFailover(t, replicas, 20*time.Millisecond, func(c *qt.C, fleet *fleet) {
			leaving := fleet.upstream.Members()[1]
			leaving.Leaving = true
			fleet.register(leaving)
			fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = true })
			time.Sleep(3 * time.Second)
			fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
			time.Sleep(3 * time.Second)
			c.Assert(fleet.upstream.Primary(), qt.Equals, "b")
			fleet.upstream.Do("c", func(database *fakeup.Database) { database.IsReplicationStopped = false })
			time.Sleep(3 * time.Second)
			c.Assert(fleet.upstream.Primary(), qt.Equals, "c")
			fleet.upstream.Do("b", func(database *fakeup.Database) { database.IsDown = true })
			fleet.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = false })
			fleet.upstream.Rejoin("a")
			c.Assert(fleet.nonLeader().writeGap() < failoverTarget, qt.IsTrue)
			c.Assert(fleet.upstream.Terms(), qt.HasLen, 2)
		})
	}
}

// STALE, ONE: a VM that the leader doesn't reach goes on with the primary by the report of a
// replica that the leader could not seal, while another replica was sealed and promoted.
func TestEvidenceOfUnsealedReplica(t *testing.T) {
	withFailover(t, 0, 20*time.Millisecond, func(c *qt.C, fleet *fleet) {
		isolated := fleet.isolate()
		time.Sleep(4 * time.Second)
		c.Assert(isolated.tryWrite(), qt.Equals, proto.OK)
		others := make(map[string]bool)
		for _, testVM := range fleet.vms {
			others[testVM.name] = testVM != isolated
		}
		for _, id := range []string{"a", "c"} {
			fleet.upstream.Do(id, func(database *fakeup.Database) {
				database.UnreachableFrom, database.IsReplicationStopped = others, id == "c"
			})
		}
		fleet.upstream.Do("b", func(database *fakeup.Database) { database.UnreachableFrom = map[string]bool{isolated.name: true} })
		time.Sleep(8 * time.Second)
		c.Assert(fleet.upstream.Primary(), qt.Equals, "b")
	})
}

// STALE: the platform acts on an order three seconds after the leader has given the call up. The
// leader forgot the order, issued leases again, and ordered the promotion of another replica.
func TestOrderWithoutAnswer(t *testing.T) {
	for _, replicas := range []int{0, 1} {
		withFailover(t, replicas, 200*time.Millisecond, func(c *qt.C, fleet *fleet) {
			for _, id := range []string{"a", "b", "c"} {
				if fleet.upstream.Primary() != id {
					continue
				}
				fleet.upstream.Delay(3 * time.Second)
				for _, member := range fleet.upstream.Members() {
					member.Leaving = member.ID == id
					fleet.register(member)
				}
				time.Sleep(6 * time.Second)
				fleet.upstream.Delay(0)
				time.Sleep(6 * time.Second)
			}
			c.Assert(fleet.nonLeader().writeGap() < failoverTarget, qt.IsTrue)
		})
	}
}
