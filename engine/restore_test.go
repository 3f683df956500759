package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// roundTrips counts the round trips on all connections. The value "bad" can't be set.
type roundTrips struct {
	proto.Dialer
	count int
}

type countingConn struct {
	proto.DatabaseConn
	roundTrips *roundTrips
}

func (roundTrips *roundTrips) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	conn, answer, err := roundTrips.Dialer.Dial(member, team, timeout)
	return countingConn{conn, roundTrips}, answer, err
}

func (conn countingConn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	conn.roundTrips.count++
	return conn.DatabaseConn.Ask(request, timeout)
}

func (conn countingConn) AskAll(requests []proto.Request, timeout time.Duration) ([]proto.Answer, error) {
	conn.roundTrips.count++
	answers, err := conn.DatabaseConn.AskAll(requests, timeout)
	for i, request := range requests {
		if set, ok := request.(proto.SetValue); ok && set.Value == "bad" {
			answers[i].Code = proto.Failed
		}
	}
	return answers, err
}

// countRoundTrips makes the fixture's connections count their round trips.
func (fixture *fixture) countRoundTrips() *roundTrips {
	counted := &roundTrips{Dialer: fixture.upstream}
	pools := &dbpool.Set{Dialer: counted, Clock: clock.System{}, Share: func(string) int { return 1 }}
	pools.SetMembers(fixture.upstream.Members())
	fixture.engine.Pools = pools
	return counted
}

// Load: two sessions with values and prepared statements of their own take turns on one
// connection, in another availability zone than the VM. Rule 14: each statement, or start of a
// transaction, takes at most one round trip more to prepare the connection.
func TestConnIsPreparedInOneRoundTrip(t *testing.T) {
	withSessionOf(t, newFixture, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		counted := fixture.countRoundTrips()
		other := fixture.open("current")
		c.Assert(other.Start().Code, qt.Equals, proto.OK)
		defer other.Leave()
		sessions := []*fakeup.CallerConn{caller, other}
		execute := proto.Execute{Name: "s1", Arguments: "x"}
		for i, session := range sessions {
			session.Ask(proto.Assign{Name: string(rune('a' + i)), Value: "1"}, "")
			session.Ask(proto.Assign{Name: "shared", Value: string(rune('a' + i))}, "")
			session.Ask(proto.Prepare{Name: "s1", Definition: proto.Definition{Text: string(rune('p' + i))}}, "")
		}
		for range 2 {
			for _, session := range sessions {
				counted.count = 0
				c.Assert(session.Ask(execute, "EXECUTE s1 x").Code, qt.Equals, proto.OK)
				c.Check(counted.count <= 2, qt.IsTrue, qt.Commentf("%d round trips", counted.count))
			}
		}
		for _, session := range sessions {
			counted.count = 0
			session.Ask(begin, "BEGIN")
			c.Assert(session.Ask(execute, "EXECUTE s1 x").Code, qt.Equals, proto.OK)
			c.Check(counted.count <= 2, qt.IsTrue, qt.Commentf("%d round trips", counted.count))
			c.Assert(session.Ask(commit, "COMMIT").Code, qt.Equals, proto.OK)
		}
	})
}

// Rule 14: no statement runs on a connection on which a value of the session could not be
// set, in a transaction or outside, and the connection is closed.
func TestStatementNeedsValues(t *testing.T) {
	for _, inTransaction := range []bool{false, true} {
		withSessionOf(t, newFixture, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
			fixture.countRoundTrips()
			caller.Ask(proto.Assign{Name: "a", Value: "bad"}, "")
			if inTransaction {
				caller.Ask(begin, "BEGIN")
			}
			c.Check(caller.Ask(read, "READ x").Code, qt.Not(qt.Equals), proto.OK)
			c.Check(fixture.upstream.Runs(), qt.HasLen, 0)
			fixture.upstream.Do("a", func(database *fakeup.Database) { c.Check(database.Open, qt.Equals, 0) })
		})
	}
}
