package lease_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/lease"
)

// Load: all VMs start, and the first ones ask a new leader. It reports no number of VMs (0)
// before all of them can have asked, so that none takes the fleet for a smaller one.
func TestNewLeaderCountsLater(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		time.Sleep(2 * dbset.LeaseDuration)
		for _, node := range nodes {
			reported := node.takeReported()
			c.Assert(len(reported) > 2, qt.IsTrue)
			c.Check(reported[0], qt.Equals, 0)
			c.Check(reported[len(reported)-1], qt.Equals, len(nodes))
			for _, count := range reported {
				c.Check(count == 0 || count == len(nodes), qt.IsTrue, qt.Commentf("%d VMs", count))
			}
		}
	})
}

// Load: a VM needs groups of many sets. Its requests grow more slowly than the number of sets,
// and those that are due at about the same time are sent together; no lease expires.
func TestRequestsToManyLeaders(t *testing.T) {
	const sets, seconds = 10, 8
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		leader, asking := newNode(network, "vm1@10.0.0.1", []string{"vm1@10.0.0.1"}), newNode(network, "vm2@10.0.0.2", []string{"vm1@10.0.0.1"})
		for _, node := range []*node{leader, asking} {
			node.leadership.sets, node.leadership.leader = sets, "vm1@10.0.0.1"
			for i := range 3 * sets {
				group := dbset.New(fmt.Sprintf("group%d", i), "zone-a")
				group.SetMembers([]dbset.Member{{ID: fmt.Sprintf("a%d", i), Slots: 3}}, time.Now())
				node.addGroup(group)
			}
			go func() { _ = node.agent.Run(t.Context()) }()
		}
		leader.setNeeded()
		var needed []*dbset.Group
		for i := range 3 * sets {
			needed = append(needed, asking.find(fmt.Sprintf("group%d", i)))
		}
		asking.setNeeded(needed...)
		report := func() {
			for i := range 3 * sets {
				now := time.Now()
				leader.find(fmt.Sprintf("group%d", i)).Report(fmt.Sprintf("a%d", i), dbset.Report{Primary: true, Term: 1}, now, now)
			}
		}
		report()
		time.Sleep(2 * time.Second)
		before := network.countSentTo("10.0.0.1")
		for range seconds * 100 {
			time.Sleep(10 * time.Millisecond)
			for _, group := range needed {
				c.Assert(group.HasLease(time.Now()), qt.IsTrue, qt.Commentf("%s", group.Name))
			}
		}
		// Each set's leader is asked every 700 to 800 ms, instead of every 400 ms; the leader's own
		// requests and answers are sent to it, too.
		sent := network.countSentTo("10.0.0.1") - before
		own := 2 * int(seconds*time.Second/lease.RenewInterval)
		c.Check(sent <= sets*seconds*1000/700+own+sets, qt.IsTrue, qt.Commentf("%d datagrams", sent))
	})
}

// Fault: a controller that found its VM to be the leader before the agent ran, as a new process may
// be at once, ended the process.
func TestRevokeBeforeRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		node := newNode(network, "vm1@10.0.0.1", []string{"vm1@10.0.0.1"})
		ctx, cancel := context.WithCancel(t.Context())
		revoked := make(chan bool)
		go func() { revoked <- node.agent.Revoke(ctx, "ledger") }()
		synctest.Wait()
		go func() { _ = node.agent.Run(ctx) }()
		c.Assert(<-revoked, qt.IsTrue)
		c.Assert(node.primary(), qt.Equals, "")
		cancel()
		synctest.Wait()
	})
}
