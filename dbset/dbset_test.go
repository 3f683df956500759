package dbset_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/posn"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func position(term, number uint64) posn.Position { return posn.Position{Term: term, LSN: number} }

// group has a primary a and replicas b, in the VM's zone, and c.
func group() *dbset.Group {
	group := dbset.New("ledger", "zone-b")
	group.SetMembers([]dbset.Member{
		{ID: "a", Zone: "zone-a", Slots: 3, SaysPrimary: true},
		{ID: "b", Zone: "zone-b", Slots: 3},
		{ID: "c", Zone: "zone-c", Slots: 3},
	}, at(0))
	return group
}

// granted is a group whose keeper saw the primary at a position, 100 ms ago.
func granted() *dbset.Group {
	group := group()
	group.Accept(dbset.Grant{
		Token: 5, Term: 1, Primary: "a", Start: position(1, 1), Position: position(1, 10),
		Age: 100 * time.Millisecond,
	}, at(100))
	return group
}

func leads(group *dbset.Group, ms int) string {
	member, _ := group.Primary(at(ms))
	return member.ID
}

// Rule 7: a grant runs out, counted from when it was asked for.
func TestGrantRunsOut(t *testing.T) {
	c := qt.New(t)
	group := granted()
	c.Assert(leads(group, 2099), qt.Equals, "a")
	c.Assert(leads(group, 2100), qt.Equals, "")
}

// A revoked grant stays revoked, whatever was on its way before.
func TestRevokedGrant(t *testing.T) {
	c := qt.New(t)
	old := dbset.Grant{Token: 5, Term: 1, Primary: "a"}
	group := granted()
	c.Assert(group.Revoke(5, at(200)), qt.IsTrue)
	c.Assert(leads(group, 201), qt.Equals, "")
	group.Accept(old, at(150))
	c.Assert(leads(group, 201), qt.Equals, "", qt.Commentf("a grant asked for before"))
	group.AllowProof(true)
	group.Report("b", dbset.Report{Term: 1}, at(210), at(211))
	c.Assert(leads(group, 212), qt.Equals, "", qt.Commentf("a replica that the keeper did not reach"))
	group.Accept(dbset.Grant{Token: 4, Term: 1, Primary: "a"}, at(220))
	c.Assert(leads(group, 221), qt.Equals, "", qt.Commentf("a keeper that was replaced"))
	group.Accept(dbset.Grant{Token: 5, Term: 2, Primary: "b"}, at(230))
	c.Assert(leads(group, 231), qt.Equals, "b")
	group.Accept(old, at(240))
	c.Assert(leads(group, 241), qt.Equals, "b", qt.Commentf("a lower term"))
	c.Assert(group.Revoke(4, at(250)), qt.IsFalse)
	c.Assert(leads(group, 251), qt.Equals, "b")
}

// A replica's report stands for a grant only for a VM that keepers know of, only
// unsealed, and only for a moment.
func TestEvidence(t *testing.T) {
	for name, test := range map[string]struct {
		report  dbset.Report
		isKnown bool
		want    string
	}{
		"unsealed":     {dbset.Report{Term: 1}, true, "a"},
		"unknown VM":   {dbset.Report{Term: 1}, false, ""},
		"sealed":       {dbset.Report{Term: 1, Held: 2}, true, ""},
		"sealed for 1": {dbset.Report{Term: 0, Held: 1}, true, "a"},
		"newer term":   {dbset.Report{Term: 2}, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			group := group()
			group.AllowProof(test.isKnown)
			group.Report("a", dbset.Report{Primary: true, Term: 1}, at(0), at(1))
			group.Report("b", test.report, at(10), at(15))
			c.Assert(leads(group, 609), qt.Equals, test.want)
			c.Assert(leads(group, 610), qt.Equals, "")
		})
	}
}

// Rule 5: the floor is an observation that began within the age; without one, a
// read goes to the primary.
func TestFloor(t *testing.T) {
	c := qt.New(t)
	group := granted()
	group.Done("b", position(1, 10), at(110), at(120))
	choice := group.Choose(dbset.Query{MaxAge: time.Second, Arrived: at(900), Now: at(900)})
	c.Assert(choice.Member.ID, qt.Equals, "b")
	c.Assert(choice.Floor, qt.Equals, position(1, 10))
	choice = group.Choose(dbset.Query{MaxAge: time.Second, Arrived: at(1100), Now: at(1100)})
	c.Assert(choice.Member.ID, qt.Equals, "a")
	c.Assert(choice.Reason, qt.Equals, dbset.PrimaryNoFloor)
}

// Rule 4: a session's own commit raises the floor.
func TestOwnCommit(t *testing.T) {
	c := qt.New(t)
	group := granted()
	group.Done("b", position(1, 10), at(110), at(120))
	group.Done("c", position(1, 11), at(110), at(120))
	query := dbset.Query{MaxAge: time.Second, Own: position(1, 11), OwnAt: at(115), Arrived: at(121), Now: at(121)}
	choice := group.Choose(query)
	c.Assert(choice.Member.ID, qt.Equals, "c")
	c.Assert(choice.Floor, qt.Equals, position(1, 11))
}

// A promotion may roll back the end of a term; a floor of it becomes the start of
// the next, which covers all that was kept.
func TestFloorOfEarlierTerm(t *testing.T) {
	c := qt.New(t)
	group := granted()
	group.Accept(dbset.Grant{Token: 6, Term: 2, Primary: "c", Start: position(2, 9)}, at(200))
	group.Done("b", position(2, 9), at(210), at(220))
	query := dbset.Query{MaxAge: time.Second, Own: position(1, 12), OwnAt: at(120), Arrived: at(250), Now: at(250)}
	choice := group.Choose(query)
	c.Assert(choice.Member.ID, qt.Equals, "b")
	c.Assert(choice.Floor, qt.Equals, position(2, 9))
}

// Work that waits for a database counts for its cost: reads spread.
func TestWaitingWorkSpreads(t *testing.T) {
	c := qt.New(t)
	group := granted()
	for _, id := range []string{"a", "b", "c"} {
		for range 40 {
			group.Done(id, position(1, 10), at(100), at(120))
		}
	}
	chosen := make(map[string]int)
	for range 30 {
		choice := group.Choose(dbset.Query{MaxAge: time.Second, Arrived: at(130), Now: at(130)})
		group.Begin(choice.Member.ID)
		chosen[choice.Member.ID]++
	}
	for _, id := range []string{"a", "b", "c"} {
		c.Assert(chosen[id] >= 5, qt.IsTrue, qt.Commentf("%v", chosen))
	}
}

// How busy a database was counts only as long as that may still be so.
func TestOldReportsOfWork(t *testing.T) {
	c := qt.New(t)
	group := granted()
	for _, id := range []string{"b", "c"} {
		for ms := range 40 {
			group.Done(id, position(1, 1), at(ms), at(ms+20))
		}
		group.Report(id, dbset.Report{Term: 1, Received: position(1, 1), Busy: 12}, at(90), at(100))
	}
	query := dbset.Query{MaxAge: 5 * time.Second, Arrived: at(110), Now: at(110)}
	c.Assert(group.Choose(query).Reason, qt.Equals, dbset.PrimaryCheaper)
	query.Arrived, query.Now = at(400), at(400)
	c.Assert(group.Choose(query).Reason, qt.Equals, dbset.ToReplica)
}

// A replica that was far behind is tried by one read again and again, and used
// once it has caught up.
func TestLagIsLearnedAnew(t *testing.T) {
	c := qt.New(t)
	group := granted()
	for ms := 100; ms < 1500; ms += 100 {
		group.Accept(dbset.Grant{
			Token: 5, Term: 1, Primary: "a", Position: position(1, uint64(ms)),
		}, at(ms))
	}
	query := func(ms int) dbset.Query {
		return dbset.Query{MaxAge: 500 * time.Millisecond, Arrived: at(ms), Now: at(ms)}
	}
	group.Done("b", position(1, 100), at(1400), at(1410))
	group.Done("c", position(1, 100), at(1400), at(1410))
	c.Assert(group.Choose(query(1450)).Member.ID, qt.Equals, "a")
	c.Assert(group.Choose(query(1850)).Member.ID, qt.Equals, "b")
	c.Assert(group.Choose(query(1851)).Member.ID, qt.Equals, "c")
	c.Assert(group.Choose(query(1852)).Member.ID, qt.Equals, "a")
	group.Done("b", position(1, 1400), at(1851), at(1860))
	c.Assert(group.Choose(query(1861)).Member.ID, qt.Equals, "b")
}

// A database that led and came back as a replica serves reads, by its
// registration, though its last report was a primary's.
func TestDemotedServesReads(t *testing.T) {
	c := qt.New(t)
	group := group()
	group.Report("a", dbset.Report{Primary: true, Term: 1, Received: position(1, 9)}, at(0), at(1))
	group.SetMembers([]dbset.Member{{ID: "a", Zone: "zone-b"}, {ID: "b", SaysPrimary: true}}, at(10))
	group.Accept(dbset.Grant{Token: 6, Term: 2, Primary: "b", Start: position(2, 9), Position: position(2, 9)}, at(20))
	group.Done("a", position(2, 9), at(21), at(22))
	choice := group.Choose(dbset.Query{MaxAge: time.Second, Arrived: at(30), Now: at(30)})
	c.Assert(choice.Member.ID, qt.Equals, "a")
}

// Rule 18: a leaving replica gets no reads.
func TestLeavingReplica(t *testing.T) {
	c := qt.New(t)
	group := granted()
	group.SetMembers([]dbset.Member{
		{ID: "a", Zone: "zone-a", SaysPrimary: true},
		{ID: "b", Zone: "zone-b", Leaving: true},
	}, at(110))
	choice := group.Choose(dbset.Query{MaxAge: time.Second, Arrived: at(120), Now: at(120)})
	c.Assert(choice.Member.ID, qt.Equals, "a")
	c.Assert(choice.Reason, qt.Equals, dbset.PrimaryNoReplica)
}

// A keeper that has just started and sees only a primary grants nothing: it might
// be a former one.
func TestOfferNeedsAReplica(t *testing.T) {
	c := qt.New(t)
	group := group()
	group.Report("a", dbset.Report{Primary: true, Term: 1}, at(0), at(1))
	_, ok := group.Offer(at(2))
	c.Assert(ok, qt.IsFalse)
	group.Report("b", dbset.Report{Term: 1}, at(3), at(4))
	_, ok = group.Offer(at(5))
	c.Assert(ok, qt.IsTrue)
	group.Report("b", dbset.Report{Term: 2}, at(6), at(7))
	_, ok = group.Offer(at(8))
	c.Assert(ok, qt.IsFalse)
}

// A replica that reports before its primary has shown the term, too: a keeper that
// starts grants with the primary's first report.
func TestReplicaReportsFirst(t *testing.T) {
	c := qt.New(t)
	group := group()
	group.Report("b", dbset.Report{Term: 3}, at(0), at(1))
	_, ok := group.Offer(at(2))
	c.Assert(ok, qt.IsFalse)
	group.Report("a", dbset.Report{Primary: true, Term: 3}, at(3), at(4))
	_, ok = group.Offer(at(5))
	c.Assert(ok, qt.IsTrue)
}
