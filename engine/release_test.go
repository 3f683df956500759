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

// PINNED: after a database had no statement of a prepared name in a transaction, the next
// statement ran on that connection, without the values that had been set on it.
func TestConnWithoutItsStatementIsClosedInTransaction(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		pools := &dbpool.Set{Dialer: &forgetful{Dialer: fixture.upstream}, Clock: clock.System{}, Share: func(string) int { return 1 }}
		pools.SetMembers(fixture.upstream.Members())
		fixture.serving().Pools = pools
		caller.Ask(proto.Assign{Name: "a", Value: "1"}, "SET a 1")
		caller.Ask(proto.Prepare{Name: "s1", Definition: proto.Definition{Text: "q1"}}, "")
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(proto.Execute{Name: "s1", Arguments: "x"}, "EXECUTE s1 x").Code, qt.Equals, proto.Aborted)
		caller.Ask(rollback, "ROLLBACK")
		c.Assert(caller.Ask(read, "READ x").Code, qt.Equals, proto.OK)
		runs := fixture.upstream.Runs()
		c.Assert(runs, qt.HasLen, 1)
		c.Check(runs[0].Values, qt.DeepEquals, map[string]string{"a": "1"})
		fixture.upstream.Do("a", func(database *fakeup.Database) { c.Check(database.Opened, qt.Equals, 2) })
	})
}

// refusing opens connections on which a ROLLBACK is answered with an error.
type refusing struct{ proto.Dialer }

type refusingConn struct{ proto.DatabaseConn }

func (dialer refusing) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	conn, answer, err := dialer.Dialer.Dial(member, team, timeout)
	return refusingConn{conn}, answer, err
}

func (conn refusingConn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	answer, err := conn.DatabaseConn.Ask(request, timeout)
	if _, ok := request.(proto.AbortTransaction); ok && err == nil {
		answer.Code = proto.Failed
	}
	return answer, err
}

// PINNED: a connection whose ROLLBACK was answered with an error is closed, whatever state the
// answer gives.
func TestConnWithRefusedRollbackIsClosed(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		pools := &dbpool.Set{Dialer: refusing{fixture.upstream}, Clock: clock.System{}, Share: func(string) int { return 1 }}
		pools.SetMembers(fixture.upstream.Members())
		fixture.serving().Pools = pools
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
		c.Check(caller.Ask(rollback, "ROLLBACK").Code, qt.Equals, proto.OK)
		time.Sleep(time.Millisecond) // for the rollback at the routing VM
		fixture.upstream.Do("a", func(database *fakeup.Database) { c.Check(database.Open, qt.Equals, 0) })
		c.Check(caller.Ask(read, "READ x").Code, qt.Equals, proto.OK)
		fixture.upstream.Do("a", func(database *fakeup.Database) { c.Check(database.Opened, qt.Equals, 2) })
	})
}

// REFUSED: requests that were not sent, after a second answer, counted as failures of their
// database, which then got no reads for a while or was taken for unreachable.
func TestRequestThatWasNotSentIsNoFailure(t *testing.T) {
	withStutter(t, map[int]outcome{2: {isRepeatedAtOnce: true}}, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(write, "WRITE a 1").Code, qt.Equals, proto.OK)
		c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.Aborted)
		for _, member := range fixture.group.State().Members {
			c.Check(member.Failures, qt.Equals, 0)
		}
	})
}

// PINNED: a VM that forwards an execution with empty arguments had it run without any.
func TestEmptyArgumentsAreForwarded(t *testing.T) {
	withSession(t, "current", func(c *qt.C, _ *fixture, caller *fakeup.CallerConn) {
		caller.Ask(proto.Prepare{Name: "s", Definition: proto.Definition{Text: "q"}}, "")
		for _, inTransaction := range []bool{false, true} {
			if inTransaction {
				caller.Ask(begin, "BEGIN")
			}
			for text, want := range map[string]string{"EXECUTE s": "READ q", "EXECUTE s ": "READ q "} {
				answer := caller.Ask(proto.Execute{Name: "s", HasArguments: text != "EXECUTE s"}, text)
				c.Assert(answer.Code, qt.Equals, proto.OK)
				c.Check(answer.Rows, qt.DeepEquals, []string{want})
			}
		}
	})
}
