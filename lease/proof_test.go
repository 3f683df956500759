package lease_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
)

// reportGroup reports the primary a and its replica b to a node, as their answers would.
func (node *node) reportGroup(term uint64, sealedTerm uint64) {
	now := time.Now()
	end := posn.Position{Term: term, LSN: 5}
	node.group.Report("a", dbset.Report{Primary: true, Term: term, Received: end}, now, now)
	node.group.Report("b", dbset.Report{Term: term, Received: end, SealedTerm: sealedTerm}, now, now)
}

// Load: every VM starts into a full load after a loss of power. The databases still count the
// connections of before, the other VMs have got the last free ones, and the leader gets none.
// Leases are issued by what a VM with a connection has learned since the leader is there.
func TestProofReplacesReportsOfLeader(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		group := dbset.New("ledger", "zone-a")
		group.SetMembers(nodes[0].group.Members(), time.Now())
		nodes[0].setGroup(group)
		for _, node := range nodes {
			// The leader's new process has a token of its own.
			node.leadership.set("vm1@10.0.0.1", 2)
		}
		time.Sleep(dbset.LeaseDuration + 100*time.Millisecond)
		for _, node := range nodes {
			c.Assert(node.primary(), qt.Equals, "")
		}
		nodes[1].reportGroup(2, 0)
		time.Sleep(200 * time.Millisecond)
		for _, node := range nodes {
			c.Check(node.primary(), qt.Equals, "a", qt.Commentf(node.ip))
		}
	})
}

// Rule 9: reports from before the leader had its token prove nothing, since its predecessor
// may have promoted another database; nor does a replica that is sealed for a later term, or
// the primary alone.
func TestProofNeedsReportsUnderToken(t *testing.T) {
	for name, report := range map[string]func(*node){
		"earlier":       func(*node) {},
		"sealed":        func(node *node) { node.reportGroup(1, 2) },
		"primary alone": func(node *node) { node.reportPrimary(1, "a") },
	} {
		t.Run(name, func(t *testing.T) {
			runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
				nodes[1].reportGroup(1, 0)
				for _, node := range nodes {
					node.leadership.set("vm3@10.0.0.3", 2)
				}
				time.Sleep(dbset.LeaseDuration + 100*time.Millisecond)
				report(nodes[1])
				time.Sleep(500 * time.Millisecond)
				for _, node := range nodes {
					c.Check(node.primary(), qt.Equals, "", qt.Commentf(node.ip))
				}
			})
		})
	}
}

// Rule 9: a proof that arrives while a promotion is in progress, or after it, changes nothing.
func TestLateProof(t *testing.T) {
	runThreeVMs(t, func(c *qt.C, _ *network, nodes []*node) {
		nodes[1].reportGroup(1, 0)
		c.Assert(nodes[0].agent.Revoke(context.Background(), "ledger"), qt.IsTrue)
		time.Sleep(time.Second)
		c.Check(nodes[1].primary(), qt.Equals, "")
		nodes[0].reportPrimary(2, "b")
		nodes[0].agent.Resume("ledger")
		time.Sleep(200 * time.Millisecond)
		for _, node := range nodes {
			c.Check(node.primary(), qt.Equals, "b", qt.Commentf(node.ip))
		}
	})
}
