package dbset_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
)

// Load: a VM without a lease, whose leader doesn't answer, must not keep callers waiting.
// In the gaps of a failover and of a late renewal, and for a group that has just become
// needed, requests still wait.
func TestExpectedLease(t *testing.T) {
	for name, test := range map[string]struct {
		// leaderAnswersUntil and revokedAt are in ms; the lease is missing from 0 on.
		leaderAnswersUntil, revokedAt int
		// expectedUntil is when requests stop waiting.
		expectedUntil int
	}{
		"no leader":                         {-500, -1, 2000},
		"leader answers":                    {9000, -1, 4000},
		"leader answers no longer":          {1500, -1, 2500},
		"leader answered for a short time":  {500, -1, 2000},
		"promotion without an answer":       {-500, 0, 4000},
		"promotion after the lease expired": {9000, 1500, 5500},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			group := newGroup()
			for ms := 0; ms < 8000; ms += 50 {
				if ms == test.revokedAt {
					group.Revoke(5, at(ms))
				}
				group.LeaseMissing(at(min(ms, test.leaderAnswersUntil)), at(ms))
				c.Assert(group.MayExpectLease(at(ms)), qt.Equals, ms < test.expectedUntil, qt.Commentf("%d ms", ms))
			}
			c.Assert(group.MayExpectLease(at(20000)), qt.IsTrue, qt.Commentf("not needed for a while"))
			group.LeaseMissing(at(0), at(20000))
			c.Assert(group.MayExpectLease(at(20500)), qt.IsTrue, qt.Commentf("needed again"))
		})
	}
}

// A lease ends the gap, so that the next one counts from its own beginning, also if the
// leases between them were short.
func TestLeaseEndsGap(t *testing.T) {
	c := qt.New(t)
	group := newGroup()
	group.AcceptLease(dbset.Lease{Token: 1, Term: 1, Primary: "a"}, at(-5000))
	for ms := 0; ms < 3000; ms += 50 {
		group.LeaseMissing(at(-5000), at(ms))
	}
	c.Assert(group.MayExpectLease(at(3000)), qt.IsFalse)
	group.AllowEvidence(true)
	group.Report("a", dbset.Report{Primary: true, Term: 1}, at(2800), at(2801))
	group.Report("b", dbset.Report{Term: 1}, at(2800), at(3001))
	group.Report("c", dbset.Report{Term: 1}, at(2800), at(3001))
	c.Assert(group.MayExpectLease(at(3002)), qt.IsTrue)
	group.LeaseMissing(at(-5000), at(3450))
	c.Assert(group.MayExpectLease(at(3451)), qt.IsTrue)
}

// Load: all VMs of a large fleet start at once and know no primary. Where connections are
// scarce, only the leader and VMs that may use evidence poll the databases, since polls of all
// VMs used up their connections. In a small fleet, the polls open connections for the callers
// that wait for the lease.
func TestPollsWithoutPrimary(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		isLeader, hasConns, mayUseEvidence bool
		want                               int
	}{{false, false, false, 0}, {true, false, false, 3}, {false, true, false, 3}, {false, false, true, 3}} {
		group := newGroup()
		group.AllowEvidence(test.mayUseEvidence)
		c.Assert(group.PollRates(test.isLeader, test.hasConns, at(0)), qt.HasLen, test.want)
	}
}

// Rule 8: the leader loses the primary while other VMs reach it. It counts the primary as
// unreachable only while a replica has answered lately, so it polls the replicas as often as the
// primary then; at the slow rate, a partition was noticed up to 2.5 s later.
func TestReplicasOfFailingPrimaryArePolled(t *testing.T) {
	c := qt.New(t)
	group := newGroup()
	group.Report("a", dbset.Report{Primary: true, Term: 1}, at(0), at(1))
	group.Report("b", dbset.Report{Term: 1}, at(0), at(1))
	rates := group.PollRates(true, false, at(10))
	c.Assert(rates["b"], qt.Equals, dbset.SlowPoll)
	group.Failed("a", false, at(200))
	rates = group.PollRates(true, false, at(210))
	for _, id := range []string{"a", "b", "c"} {
		c.Check(rates[id], qt.Equals, dbset.FastPoll, qt.Commentf("%s", id))
	}
	c.Check(group.PollRates(false, false, at(210)), qt.DeepEquals, map[string]dbset.PollRate{"a": dbset.FastPoll})
	group.Report("a", dbset.Report{Primary: true, Term: 1}, at(300), at(301))
	c.Check(group.PollRates(true, false, at(310))["b"], qt.Equals, dbset.SlowPoll)
}
