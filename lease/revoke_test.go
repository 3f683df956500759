package lease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/posn"
)

// Load: of many VMs, some can't be reached during a promotion. Each used to be sent 82
// revocations while its lease expired, for each group.
func TestRevokeBacksOff(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		network.isolate(nodes[1].ip, true)
		before := network.countSentTo(nodes[1].ip)
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsFalse)
		sent := network.countSentTo(nodes[1].ip) - before
		c.Assert(sent >= 5 && sent <= 9, qt.IsTrue, qt.Commentf("%d datagrams", sent))
	})
}

// Load: a VM that doesn't need the group dies. It holds no lease of the group, so a
// promotion waits for its evidence only, and not for the end of a lease of another group.
func TestRevokeDoesNotAwaitLeasesOfOtherGroups(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		other := dbset.New("other", "zone-a")
		for _, node := range nodes {
			node.addGroup(other)
		}
		nodes[1].setNeeded(other)
		time.Sleep(5 * time.Second)
		network.isolate(nodes[1].ip, true)
		began := time.Now()
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsFalse)
		c.Assert(time.Since(began) <= dbset.EvidenceDuration, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	})
}

// A VM that has ended, is no longer listed and whose lease has expired must not delay all
// later promotions: its confirmation is not needed.
func TestRevokeWithoutFormerVM(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		network.isolate(nodes[1].ip, true)
		nodes[0].setPeers([]string{"vm1@10.0.0.1", "vm3@10.0.0.3"})
		time.Sleep(dbset.LeaseDuration + 100*time.Millisecond)
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsTrue)
	})
}

// revocationScenario is the state of a fleet when the leader revokes the leases of a group.
type revocationScenario struct {
	vms []revocationVM
	// takeover is how long before the revocation another VM became the leader; 0 if none
	// did.
	takeover time.Duration
	// isListOld is set if the leader's list may lack VMs that may use evidence, canRefresh if it
	// gets them from the store then.
	isListOld, canRefresh bool
	delay                 time.Duration
}

type revocationVM struct {
	// needs is set if the VM needs the group, isListed if the leader's list has the VM.
	needs, isListed bool
	// isolatedFor is how long before the revocation the VM became unreachable; negative if
	// it is reachable. Of its datagrams, one of loss arrives.
	isolatedFor time.Duration
	loss        int
}

func drawScenario(t *rapid.T) revocationScenario {
	ms := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	scenario := revocationScenario{
		delay: ms(0, 30, "delay"), isListOld: rapid.Bool().Draw(t, "old list"), canRefresh: rapid.Bool().Draw(t, "refresh"),
	}
	for range rapid.IntRange(2, 6).Draw(t, "VMs") {
		vm := revocationVM{
			needs: rapid.Bool().Draw(t, "needs"), isListed: rapid.IntRange(0, 3).Draw(t, "listed") > 0, isolatedFor: -1,
			loss: rapid.IntRange(1, 4).Draw(t, "loss"),
		}
		if rapid.IntRange(0, 2).Draw(t, "isolated") == 0 {
			vm.isolatedFor = ms(0, 3000, "isolatedFor")
		}
		scenario.vms = append(scenario.vms, vm)
	}
	if rapid.Bool().Draw(t, "takeover") {
		scenario.takeover = ms(1, 2500, "takeoverAt")
	}
	return scenario
}

// Rules 7 and 9: when Revoke returns true, no VM uses the primary, though a replica that the
// leader could not seal still gives evidence to all VMs, and though VMs begin to need the
// group that didn't before. When it returns false, no VM has a lease of a leader, and once
// evidence from before the seals has expired none uses the primary either. VMs that the
// leader's list lacks may have leases of another leader, and use evidence if the list is old.
func TestRevocationProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawScenario(rt)
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = scenario.run(t.Context()) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// run returns what is wrong after the revocation, or "".
func (scenario revocationScenario) run(ctx context.Context) string {
	ctx, cancel := context.WithCancel(ctx)
	network := newNetwork()
	var names, listed []string
	for i, vm := range scenario.vms {
		names = append(names, fmt.Sprintf("vm%d@10.0.0.%d", i+1, i+1))
		if vm.isListed {
			listed = append(listed, names[i])
		}
	}
	var nodes []*node
	var running sync.WaitGroup
	defer synctest.Wait()
	defer running.Wait()
	defer cancel()
	for i, name := range names {
		node := newNode(network, name, names)
		node.setPeers(listed)
		node.setNeeded()
		if scenario.vms[i].needs || i == 0 {
			node.setNeeded(node.group)
		}
		node.group.AllowEvidence(scenario.vms[i].isListed || scenario.isListOld)
		node.agent.HasAllPeers = func() bool { return !scenario.isListOld || len(node.listPeers()) == len(names) }
		node.agent.RefreshPeers = func(context.Context) {
			time.Sleep(scenario.delay)
			if scenario.canRefresh {
				node.setPeers(names)
			}
		}
		nodes = append(nodes, node)
		running.Go(func() { _ = node.agent.Run(ctx) })
	}
	synctest.Wait()
	for _, node := range nodes {
		node.reportPrimary(1, "a")
	}
	network.mu.Lock()
	network.delay = scenario.delay
	for i, vm := range scenario.vms {
		network.lossy[nodes[i].ip] = vm.loss
	}
	network.mu.Unlock()
	// The revocation begins 5 s after the start.
	const revokedAfter = 5 * time.Second
	for i, vm := range scenario.vms {
		if vm.isolatedFor >= 0 && i > 1 {
			time.AfterFunc(revokedAfter-vm.isolatedFor, func() { network.isolate(nodes[i].ip, true) })
		}
	}
	revoking := nodes[0]
	if scenario.takeover > 0 {
		revoking = nodes[1]
		time.AfterFunc(revokedAfter-scenario.takeover, func() {
			for _, node := range nodes {
				node.leadership.set(names[1], 2)
			}
		})
	}
	time.Sleep(revokedAfter)
	giveEvidence(nodes)
	began := time.Now()
	allRevoked := revoking.agent.Revoke(ctx, "ledger")
	if !allRevoked {
		for _, node := range nodes {
			if node.primary() != "" && time.Since(began) >= dbset.EvidenceDuration {
				return node.agent.VM + " uses the primary after the leases have expired"
			}
		}
		time.Sleep(time.Until(began.Add(dbset.EvidenceDuration)))
	}
	// After a revocation, a VM uses no evidence for 4 s.
	for time.Since(began) < 3900*time.Millisecond {
		if allRevoked {
			giveEvidence(nodes)
		}
		for _, node := range nodes {
			node.setNeeded(node.group)
			if node.primary() != "" {
				return fmt.Sprintf("%s uses the primary, allRevoked %t", node.agent.VM, allRevoked)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// giveEvidence reports an unsealed replica to all VMs.
func giveEvidence(nodes []*node) {
	now := time.Now()
	for _, node := range nodes {
		node.group.Report("b", dbset.Report{Term: 1}, now, now)
	}
}

// Load: a fleet in which one VM is gone, while it is listed. Rule 9: a revocation waits for the
// evidence that it may use, and no longer.
func TestRevocationWithVMGone(t *testing.T) {
	for _, evidence := range []time.Duration{dbset.EvidenceDuration, dbset.FormerEvidenceDuration} {
		runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
			nodes[0].agent.Evidence = func() time.Duration { return evidence }
			nodes[0].setPeers(append(nodes[0].listPeers(), "gone@10.0.0.99"))
			time.Sleep(dbset.LeaseDuration) // the leases of the leader before
			began := time.Now()
			c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsFalse)
			c.Assert(time.Since(began), qt.Equals, evidence)
		})
	}
}

// LOST: a promotion may take only as much for acknowledged as all VMs state. A VM that does not
// answer states nothing, nor does anybody before the revocation has ended.
func TestAcknowledgedCommitsAreStated(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, network *network, nodes []*node) {
		for i, node := range nodes {
			position := posn.Position{Term: 1, LSN: uint64(10 + i)}
			c.Assert(node.group.Acknowledge("a", 1, position, time.Now()), qt.IsTrue)
		}
		_, ok := nodes[0].agent.Acknowledged("ledger")
		c.Assert(ok, qt.IsFalse)
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsTrue)
		acknowledged, ok := nodes[0].agent.Acknowledged("ledger")
		c.Assert(ok, qt.IsTrue)
		c.Assert(acknowledged, qt.Equals, posn.Position{Term: 1, LSN: 12})
		c.Assert(nodes[2].group.Acknowledge("a", 1, posn.Position{Term: 1, LSN: 13}, time.Now()), qt.IsFalse)
		nodes[0].agent.Resume("ledger")
		network.isolate(nodes[2].ip, true)
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsFalse)
		_, ok = nodes[0].agent.Acknowledged("ledger")
		c.Assert(ok, qt.IsFalse)
	})
}

// STALE: a leader issues no leases while an order may begin a later term, nor leases of a term
// that began without a revocation, before it has ended those of the earlier one.
func TestLeasesWaitForOrders(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		c.Assert(nodes[1].primary(), qt.Equals, "a")
		setOrder := func(order leader.Order) {
			leadership := nodes[0].leadership
			leadership.mu.Lock()
			defer leadership.mu.Unlock()
			leadership.order = order
		}
		setOrder(leader.Order{Member: "b", Term: 2})
		time.Sleep(dbset.LeaseDuration + 100*time.Millisecond)
		c.Assert(nodes[1].primary(), qt.Equals, "")
		setOrder(leader.Order{})
		time.Sleep(500 * time.Millisecond)
		c.Assert(nodes[1].primary(), qt.Equals, "a")
		nodes[0].reportPrimary(2, "b")
		nodes[0].group.ConfirmTerm(2)
		time.Sleep(dbset.LeaseDuration + 100*time.Millisecond)
		c.Assert(nodes[1].primary(), qt.Equals, "")
		c.Assert(nodes[0].agent.HasEarlierLeases("ledger", 2), qt.IsTrue)
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsTrue)
		nodes[0].agent.Resume("ledger")
		time.Sleep(500 * time.Millisecond)
		c.Assert(nodes[1].primary(), qt.Equals, "b")
	})
}

// STALE: a leader that has just taken over by a planned stop does not know a VM that has joined, and
// has a lease of its predecessor. The revocation waits until that has ended, and no longer.
func TestLeaseOfUnknownVM(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		nodes[1].setPeers([]string{"vm1@10.0.0.1", "vm2@10.0.0.2"})
		for _, node := range nodes[:2] {
			node.leadership.set(nodes[1].leadership.vm, 2)
		}
		nodes[1].reportPrimary(1, "a")
		began := time.Now()
		c.Assert(nodes[1].agent.UnknownHoldersUntil("ledger").After(began), qt.IsTrue)
		c.Assert(nodes[1].agent.Revoke(context.Background(), "ledger"), qt.IsTrue)
		c.Assert(nodes[2].primary(), qt.Equals, "")
		c.Assert(time.Since(began) <= dbset.LeaseDuration+100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		c.Assert(nodes[1].agent.UnknownHoldersUntil("ledger").After(time.Now()), qt.IsFalse)
	})
}
