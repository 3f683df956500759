package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/engine"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// withForwardedSession is withSession for a VM that forwards requests but can also serve
// them itself.
func withForwardedSession(t *testing.T, database string, test func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn)) {
	t.Helper()
	newFixture := func() *fixture {
		fixture := newForwardingFixture()
		fixture.engine.Groups = fixture
		fixture.engine.Pools = &dbpool.Set{Dialer: fixture.upstream, Clock: clock.System{}, Share: func(string) int { return 1 }}
		fixture.engine.Pools.SetMembers(fixture.upstream.Members())
		return fixture
	}
	withSessionOf(t, newFixture, database, test)
}

// slow makes the statements of all databases take a time.
func (fixture *fixture) slow(duration time.Duration) {
	for _, id := range []string{"a", "b", "c"} {
		fixture.upstream.Do(id, func(database *fakeup.Database) { database.StatementDuration = duration })
	}
}

// Rule 12: a write whose routing VM is lost is in doubt, and is not run again elsewhere.
func TestWriteOfLostRouterIsInDoubt(t *testing.T) {
	withForwardedSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.slow(100 * time.Millisecond)
		time.AfterFunc(50*time.Millisecond, fixture.link.Disconnect)
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.InDoubt)
		time.Sleep(time.Second)
		c.Assert(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"a WRITE x 1"})
	})
}

// A read whose routing VM is lost, or has stopped answering, is run by this VM.
func TestReadOfLostRouterIsServed(t *testing.T) {
	for name, lose := range map[string]func(*fixture){
		"disconnected": func(fixture *fixture) { time.AfterFunc(50*time.Millisecond, fixture.link.Disconnect) },
		"suspended":    func(fixture *fixture) { fixture.link.Hold() },
	} {
		t.Run(name, func(t *testing.T) {
			withForwardedSession(t, "aged", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
				fixture.slow(100 * time.Millisecond)
				lose(fixture)
				began := time.Now()
				c.Assert(caller.Ask(read, "READ x").Code, qt.Equals, proto.OK)
				c.Assert(time.Since(began) < 400*time.Millisecond, qt.IsTrue)
			})
		})
	}
}

// Rules 12 and 14: a transaction whose routing VM is lost is aborted and rolled back before
// its commit was sent, and in doubt after that.
func TestTransactionOfLostRouter(t *testing.T) {
	withForwardedSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
		fixture.link.Disconnect()
		synctest.Wait()
		c.Assert(caller.Ask(write, "WRITE x 2").Code, qt.Equals, proto.Aborted)
		c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.Aborted)
		fixture.upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Position().LSN, qt.Equals, uint64(1)) })
		c.Assert(fixture.router.Sessions(), qt.Equals, 0)

		time.Sleep(time.Second)
		caller.Ask(write, "WRITE y 1")
		time.Sleep(time.Millisecond) // for the new connection to the routing VM
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(write, "WRITE x 3").Code, qt.Equals, proto.OK)
		fixture.slow(100 * time.Millisecond)
		time.AfterFunc(50*time.Millisecond, fixture.link.Disconnect)
		c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.InDoubt)
	})
}

// Rule 21: a stopping routing VM completes the transactions that are open there, and
// declines new requests, which other VMs serve.
func TestStoppingRouter(t *testing.T) {
	withForwardedSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
		fixture.router.Enter(engine.Declining)
		other := fixture.open("current")
		defer other.Leave()
		other.Start()
		c.Assert(other.Ask(write, "WRITE y 1").Code, qt.Equals, proto.OK)
		c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.OK)
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(write, "WRITE x 2").Code, qt.Equals, proto.OK)
		c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.OK)
		c.Assert(fixture.router.Sessions(), qt.Equals, 0)
	})
}

// A routing VM that can't reach the primary, although others can, declines writes.
func TestPartitionedRouter(t *testing.T) {
	withForwardedSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		now := time.Now()
		fixture.group.Report("b", dbset.Report{Term: 1}, now, now)
		fixture.group.Failed("a", false, now.Add(-time.Second))
		fixture.group.Failed("a", false, now)
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
		c.Assert(fixture.engine.Stats.Retries.Get("routerDeclined"), qt.IsNotNil)
	})
}

// panickingDialer opens connections on which requests whose ID is "panic" cause a panic.
type panickingDialer struct{ proto.Dialer }

type panickingConn struct{ proto.DatabaseConn }

func (dialer panickingDialer) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	conn, answer, err := dialer.Dialer.Dial(member, team, timeout)
	return panickingConn{conn}, answer, err
}

func (conn panickingConn) Ask(request proto.Request, timeout time.Duration) (proto.Answer, error) {
	if forward, ok := request.(proto.Forward); ok && forward.ID == "panic" {
		panic("unexpected")
	}
	return conn.DatabaseConn.Ask(request, timeout)
}

// An unexpected error ends one request. The VM serves on, and the connection in use is
// closed and doesn't stay in its pool.
func TestPanicEndsOneSession(t *testing.T) {
	for _, inTransaction := range []bool{false, true} {
		withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
			pools := &dbpool.Set{Dialer: panickingDialer{fixture.upstream}, Clock: clock.System{}, Share: func(string) int { return 4 }}
			pools.SetMembers(fixture.upstream.Members())
			serving := fixture.serving()
			serving.Pools = pools
			failing := fixture.open("current")
			failing.Start()
			if inTransaction {
				failing.Ask(begin, "BEGIN")
				c.Assert(failing.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
			}
			failing.Send(proto.Call{ID: "panic", Text: "WRITE x 2", Statement: write})
			time.Sleep(time.Second)
			fixture.renewLease()
			c.Assert(caller.Ask(write, "WRITE y 1").Code, qt.Equals, proto.OK)
			fixture.upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Open, qt.Equals, 1) })
			c.Assert(serving.Stats.Refusals.Get("panic").String(), qt.Equals, "1")
			failing.Leave()
		})
	}
}
