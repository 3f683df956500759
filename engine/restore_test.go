package engine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// roundTrips counts the round trips on all connections, and has the names of the statements
// that were prepared on them. The value "bad" can't be set.
type roundTrips struct {
	proto.Dialer
	count int
	names []string
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
		switch request := request.(type) {
		case proto.SetValue:
			if request.Value == "bad" {
				answers[i].Code = proto.Failed
			}
		case proto.Define:
			conn.roundTrips.names = append(conn.roundTrips.names, request.Name)
		}
	}
	return answers, err
}

// countRoundTrips makes the fixture's connections count their round trips.
func (fixture *fixture) countRoundTrips() *roundTrips {
	counted := &roundTrips{Dialer: fixture.upstream}
	pools := &dbpool.Set{Dialer: counted, Clock: clock.System{}, Share: func(string) int { return 1 }}
	pools.SetMembers(fixture.upstream.Members())
	fixture.serving().Pools = pools
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

// PINNED: a session ran another session's statement, since the 64-bit hashes of their texts,
// which named them on connections, were equal.
func TestPreparedTextsWithEqualHash(t *testing.T) {
	texts := []string{
		"id,amount,currency,booked_at,account_no,state,region,name,origin",
		"e15jls5_t,currency,booked_at,accgwgmxlh1state,region,name,origin",
	}
	qt.Assert(t, xxhash.Sum64String(texts[0]), qt.Equals, xxhash.Sum64String(texts[1]))
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		for range 2 {
			for _, text := range texts {
				caller.Ask(proto.Prepare{Name: "s1", Definition: proto.Definition{Text: text}}, "")
				answer := caller.Ask(proto.Execute{Name: "s1", Arguments: "x"}, "EXECUTE s1 x")
				c.Assert(answer.Rows, qt.DeepEquals, []string{"READ " + text + " x"})
			}
		}
		for _, run := range fixture.upstream.Runs() {
			c.Assert(run.Conn, qt.Equals, 1)
		}
	})
}

// PINNED: a name of a connection keeps its one statement, also after the connection was reset
// for another session.
func TestPreparedNameIsNotReused(t *testing.T) {
	withSessionOf(t, newFixture, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		counted := fixture.countRoundTrips()
		other := fixture.open("current")
		c.Assert(other.Start().Code, qt.Equals, proto.OK)
		defer other.Leave()
		caller.Ask(proto.Assign{Name: "a", Value: "1"}, "")
		for i, session := range []*fakeup.CallerConn{caller, other, caller, other} {
			text := string(rune('p' + i%3))
			session.Ask(proto.Prepare{Name: "s1", Definition: proto.Definition{Text: text}}, "")
			answer := session.Ask(proto.Execute{Name: "s1", Arguments: "x"}, "EXECUTE s1 x")
			c.Assert(answer.Rows, qt.DeepEquals, []string{"READ " + text + " x"})
		}
		fixture.upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, 1) })
		slices.Sort(counted.names)
		c.Assert(slices.Compact(slices.Clone(counted.names)), qt.DeepEquals, counted.names)
		c.Assert(counted.names, qt.HasLen, 4)
	})
}

// PINNED: a commit ran without the values that its session had set since the last statement of
// the transaction. It takes no round trip more where nothing was set.
func TestCommitHasSessionValues(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		counted := fixture.countRoundTrips()
		set := func(value string) { caller.Ask(proto.Assign{Name: "a", Value: value}, "SET a "+value) }
		set("1")
		for _, statements := range [][]proto.Statement{{write}, {read}, {}} {
			caller.Ask(begin, "BEGIN")
			for _, statement := range statements {
				c.Assert(caller.Ask(statement, "x").Code, qt.Equals, proto.OK)
			}
			set("2")
			c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.OK)
			runs := fixture.upstream.Runs()
			c.Check(runs[len(runs)-1].Values, qt.DeepEquals, map[string]string{"a": "2"})
			set("1")
		}
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(write, "x").Code, qt.Equals, proto.OK)
		counted.count = 0
		c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.OK)
		c.Check(counted.count, qt.Equals, 1)
	})
}

// PINNED: no commit runs where a value of its session could not be set. It is answered as not
// run, and its connection is closed.
func TestCommitNeedsValues(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.countRoundTrips()
		for _, hasStatement := range []bool{true, false} {
			caller.Ask(begin, "BEGIN")
			want := proto.Busy
			if hasStatement {
				c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
				want = proto.Aborted
			}
			caller.Ask(proto.Assign{Name: "a", Value: "bad"}, "SET a bad")
			answer := caller.Ask(commit, "COMMIT")
			c.Check(answer.Code, qt.Equals, want)
			c.Check(answer.State, qt.Equals, proto.Idle)
			fixture.upstream.Do("a", func(database *fakeup.Database) {
				c.Check(database.Open, qt.Equals, 0)
				c.Check(database.Position().LSN, qt.Equals, uint64(1))
			})
			caller.Ask(proto.Assign{Name: "a", Value: "1"}, "SET a 1")
		}
		c.Check(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"a WRITE x 1"})
	})
}

// forgetful makes connections lose their values and prepared statements once, before the first
// EXECUTE.
type forgetful struct {
	proto.Dialer
	hasForgotten bool
}

type forgetfulConn struct {
	proto.DatabaseConn
	dialer *forgetful
}

func (dialer *forgetful) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	conn, answer, err := dialer.Dialer.Dial(member, team, timeout)
	return forgetfulConn{conn, dialer}, answer, err
}

func (conn forgetfulConn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	if _, ok := request.(proto.ForwardPrepared); ok && !conn.dialer.hasForgotten {
		conn.dialer.hasForgotten = true
		if _, err := conn.DatabaseConn.Ask(proto.Reset{}, timeout); err != nil {
			return proto.Answer{}, err
		}
	}
	return conn.DatabaseConn.Ask(request, timeout)
}

// PINNED: after a database had no statement of a name that was prepared there, the connection
// served the next statement without the values that had been set on it.
func TestConnWithoutItsStatementIsClosed(t *testing.T) {
	for _, writes := range []bool{false, true} {
		for _, inTransaction := range []bool{false, true} {
			withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
				pools := &dbpool.Set{Dialer: &forgetful{Dialer: fixture.upstream}, Clock: clock.System{}, Share: func(string) int { return 1 }}
				pools.SetMembers(fixture.upstream.Members())
				fixture.serving().Pools = pools
				execute := proto.Execute{Name: "s1", Arguments: "x"}
				caller.Ask(proto.Assign{Name: "a", Value: "1"}, "SET a 1")
				caller.Ask(proto.Prepare{Name: "s1", Definition: proto.Definition{Text: "q1", Writes: writes}}, "")
				if inTransaction {
					caller.Ask(begin, "BEGIN")
					c.Check(caller.Ask(execute, "EXECUTE s1 x").Code, qt.Equals, proto.Aborted)
					caller.Ask(rollback, "ROLLBACK")
				} else {
					caller.Ask(execute, "EXECUTE s1 x")
				}
				c.Assert(caller.Ask(execute, "EXECUTE s1 x").Code, qt.Equals, proto.OK)
				for _, run := range fixture.upstream.Runs() {
					c.Check(run.Values, qt.DeepEquals, map[string]string{"a": "1"})
				}
			})
		}
	}
}
