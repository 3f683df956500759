package engine_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/engine"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/netsim"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
	"github.com/bramleydoor/bramleydoor/remote"
	"github.com/bramleydoor/bramleydoor/stats"
)

var (
	read     = proto.Read{}
	write    = proto.Write{}
	begin    = proto.Begin{}
	commit   = proto.Commit{}
	rollback = proto.Rollback{}
)

// fixture is an engine connected to a fake upstream, in a synctest bubble. Sessions are
// opened at engine. If that forwards their requests, it knows no database group itself, and
// router is the engine of the routing VM.
type fixture struct {
	upstream *fakeup.Upstream
	group    *dbset.Group
	engine   *engine.Engine
	router   *engine.Engine
	// link carries the forwarded requests.
	link  *netsim.PipeListener
	token uint64
	stop  func()
}

// serving returns the engine that runs the statements.
func (fixture *fixture) serving() *engine.Engine {
	if fixture.router != nil {
		return fixture.router
	}
	return fixture.engine
}

func (fixture *fixture) Group(string) *dbset.Group { return fixture.group }

func newFixture() *fixture {
	upstream := fakeup.New("ledger")
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	pools := &dbpool.Set{Dialer: upstream, Clock: clock.System{}, Share: func(string) int { return 4 }}
	pools.SetMembers(upstream.Members())
	fixture := &fixture{upstream: upstream, group: dbset.New("ledger", "zone-b"), token: 1}
	fixture.group.SetMembers(upstream.Members(), time.Now())
	fixture.engine = &engine.Engine{
		Config: &config.Latest{}, Groups: fixture, Pools: pools, Clock: clock.System{},
		Log: event.NewLog(logger, "vm1"), Stats: &stats.Stats{},
	}
	fixture.stop = func() {}
	return fixture
}

// noGroups are the groups of a VM that knows none.
type noGroups struct{}

func (noGroups) Group(string) *dbset.Group { return nil }

// routers are the clients of the routing VM.
type routers struct{ clients *remote.Clients }

func (routers routers) Routers(string) []*remote.Client {
	if client := routers.clients.Usable("router"); client != nil {
		return []*remote.Client{client}
	}
	return nil
}

// newForwardingFixture returns a fixture whose engine forwards all requests to a routing
// VM.
func newForwardingFixture() *fixture {
	fixture := newFixture()
	fixture.router = fixture.engine
	log := fixture.router.Log
	fixture.link = &netsim.PipeListener{}
	fixture.link.Open()
	server := &remote.Server{Listener: fixture.link, Executor: engine.Executor{Engine: fixture.router}, Clock: clock.System{}, Log: log}
	clients := &remote.Clients{
		Dial:  func(ctx context.Context, _ string) (net.Conn, error) { return fixture.link.Dial(ctx) },
		Clock: clock.System{}, Log: log,
	}
	fixture.engine = &engine.Engine{
		Config: fixture.router.Config, Groups: noGroups{}, Pools: &dbpool.Set{}, Clock: clock.System{},
		Log: log, Stats: &stats.Stats{}, Routers: routers{clients},
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	fixture.stop = func() {
		fixture.link.Release()
		clients.Close()
		cancel()
		if err := <-stopped; err != nil {
			panic(err)
		}
	}
	return fixture
}

func (fixture *fixture) configure() {
	route := config.Route{Upstream: "ledger", Timeout: time.Second, MaxStaleness: 1500 * time.Millisecond}
	routes := make(map[string]config.Route)
	for name, access := range map[string]config.Access{"current": config.Current, "aged": config.BoundedStaleness, "own": config.ReadYourWrites} {
		route.Name, route.Access = name, access
		routes[name] = route
	}
	fixture.engine.Config.Install(&config.Config{
		Version: 1, Routes: routes, Limits: config.Limits{TransactionIdle: 3 * time.Second},
	})
}

// renewLease gives the VM a primary lease with an observed position of the primary, as
// the leader does.
func (fixture *fixture) renewLease() {
	primary := fixture.upstream.Primary()
	var at posn.Position
	fixture.upstream.Do(primary, func(database *fakeup.Database) { at = database.Position() })
	fixture.group.AcceptLease(dbset.Lease{Token: fixture.token, Term: at.Term, Primary: primary, Position: at}, time.Now())
}

// open starts a session.
func (fixture *fixture) open(database string) *fakeup.CallerConn {
	return fixture.openWithKey(database, "")
}

// openWithKey starts a session with a caller's key.
func (fixture *fixture) openWithKey(database, key string) *fakeup.CallerConn {
	caller := fakeup.NewCallerConn()
	go fixture.engine.Serve(caller, proto.Startup{Database: database, Key: key})
	return caller
}

// withSession runs test with one session that has started, at a VM that serves it and at
// one that forwards its requests to a routing VM.
func withSession(t *testing.T, database string, test func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn)) {
	t.Helper()
	t.Run("direct", func(t *testing.T) { withSessionOf(t, newFixture, database, test) })
	t.Run("forwarded", func(t *testing.T) { withSessionOf(t, newForwardingFixture, database, test) })
}

// withSessionOf runs test in a bubble with one session that has started at the engine of a
// new fixture.
func withSessionOf(t *testing.T, newFixture func() *fixture, database string, test func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture()
		defer fixture.stop()
		fixture.configure()
		fixture.renewLease()
		time.Sleep(time.Millisecond)
		caller := fixture.open(database)
		c := qt.New(t)
		c.Assert(caller.Start().Code, qt.Equals, proto.OK)
		defer synctest.Wait()
		defer caller.Leave()
		test(c, fixture, caller)
	})
}

func runTexts(runs []fakeup.Run) []string {
	var texts []string
	for _, run := range runs {
		texts = append(texts, run.Database+" "+run.Text)
	}
	return texts
}

// Rule 12: a write without an answer is in doubt and is not retried.
func TestLostWriteIsInDoubt(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.upstream.Do("a", func(database *fakeup.Database) { database.AnswersToLose = 1 })
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.InDoubt)
		c.Assert(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"a WRITE x 1"})
	})
}

// Rule 4: a read without an answer is retried at another database.
func TestLostReadIsRetried(t *testing.T) {
	withSession(t, "aged", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.upstream.Do("b", func(database *fakeup.Database) { database.AnswersToLose = 1 })
		c.Assert(caller.Ask(read, "READ x").Code, qt.Equals, proto.OK)
		c.Assert(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"b READ x", "c READ x"})
	})
}

// A write that the database refused as busy is retried.
func TestWriteRefusedAsBusyIsRetried(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.upstream.Do("a", func(database *fakeup.Database) { database.BusyRefusals = 2 })
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
		c.Assert(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"a WRITE x 1"})
	})
}

// Without a primary a write is refused as not run, early enough for the caller to
// retry.
func TestWriteWithoutPrimaryIsRefused(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.group.Revoke(fixture.token, time.Now())
		startedAt := time.Now()
		answer := caller.Ask(write, "WRITE x 1")
		c.Assert(answer.Code, qt.Equals, proto.Busy)
		c.Assert(answer.Text, qt.Equals, "noPrimary retryAfterMs=200")
		c.Assert(time.Since(startedAt) < 500*time.Millisecond, qt.IsTrue)
		c.Assert(fixture.upstream.Runs(), qt.HasLen, 0)
	})
}

// Load: a VM has no lease and its leader doesn't answer. Requests that need the primary are
// refused at once, so that their callers can go to another VM; they used to wait for nearly
// half of their timeout.
func TestRefusedAtOnceWithoutLease(t *testing.T) {
	for _, database := range []string{"current", "aged"} {
		withSession(t, database, func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
			lastAnswerAt := time.Now()
			for range 80 {
				fixture.group.LeaseMissing(lastAnswerAt, time.Now())
				time.Sleep(50 * time.Millisecond)
			}
			for _, statement := range []proto.Statement{write, read, begin, write} {
				began := time.Now()
				answer := caller.Ask(statement, "x")
				if _, ok := statement.(proto.Begin); ok {
					continue
				}
				c.Check(answer.Code, qt.Equals, proto.Busy)
				c.Check(answer.Text, qt.Equals, "noLease retryAfterMs=500")
				c.Check(time.Since(began), qt.Equals, time.Duration(0))
			}
			c.Assert(fixture.upstream.Runs(), qt.HasLen, 0)
		})
	}
}

// A write waits for the new primary while a promotion is in progress.
func TestWriteWaitsForPromotion(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.group.Revoke(fixture.token, time.Now())
		go func() {
			time.Sleep(50 * time.Millisecond)
			_ = fixture.upstream.Promote(c.Context(), promo.Order{Member: "b"})
			time.Sleep(fixture.upstream.PromotionDuration)
			fixture.group.AcceptLease(dbset.Lease{Token: 1, Term: 2, Primary: "b"}, time.Now())
		}()
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
		c.Assert(runTexts(fixture.upstream.Runs()), qt.DeepEquals, []string{"b WRITE x 1"})
	})
}

// Rule 7: a write is not confirmed if the VM's lease for the primary that ran it was
// revoked before the answer.
func TestFormerPrimaryDoesNotConfirm(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		fixture.upstream.Do("a", func(database *fakeup.Database) { database.StatementDuration = 100 * time.Millisecond })
		go func() {
			time.Sleep(50 * time.Millisecond)
			fixture.group.Revoke(fixture.token, time.Now())
		}()
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.InDoubt)
	})
}

// Rule 4: a session's read after its own write never runs at a replica that has not
// received the write, whatever the replica's lag.
func TestReadYourWrites(t *testing.T) {
	withSession(t, "own", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		for _, id := range []string{"b", "c"} {
			fixture.upstream.Do(id, func(database *fakeup.Database) { database.Lag = 800 * time.Millisecond })
		}
		for range 40 {
			c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
			runs := fixture.upstream.Runs()
			sessionPosition := runs[len(runs)-1].Position
			c.Assert(caller.Ask(read, "READ x").Code, qt.Equals, proto.OK)
			runs = fixture.upstream.Runs()
			c.Assert(runs[len(runs)-1].Position.AtLeast(sessionPosition), qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
			fixture.renewLease()
		}
	})
}

// Rule 5: a bounded-staleness read sees every commit older than the route's staleness
// bound, also while a replica receives nothing.
func TestBoundedStaleness(t *testing.T) {
	withSession(t, "aged", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		writer := fixture.open("current")
		c.Assert(writer.Start().Code, qt.Equals, proto.OK)
		fixture.upstream.Do("b", func(database *fakeup.Database) { database.IsReplicationStopped = true })
		c.Assert(writer.Ask(write, "WRITE x 1").Code, qt.Equals, proto.OK)
		runs := fixture.upstream.Runs()
		commitPosition, at := runs[len(runs)-1].Position, time.Now()
		var reachedReplica bool
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			fixture.renewLease()
			requestedAt := time.Now()
			c.Assert(caller.Ask(read, "READ x").Code, qt.Equals, proto.OK)
			runs := fixture.upstream.Runs()
			last := runs[len(runs)-1]
			reachedReplica = reachedReplica || last.Database != "a"
			if requestedAt.Sub(at) > 1500*time.Millisecond {
				c.Assert(last.Position.AtLeast(commitPosition), qt.IsTrue)
			}
		}
		c.Assert(reachedReplica, qt.IsTrue)
		writer.Leave()
	})
}

// Rule 14: each connection that serves a session has that session's values, and none
// of another session.
func TestSessionValuesAreRestored(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		other := fixture.open("current")
		other.Start()
		caller.Ask(proto.Assign{Name: "zone", Value: "north"}, "SET zone north")
		other.Ask(proto.Assign{Name: "mode", Value: "brief"}, "SET mode brief")
		for range 3 {
			c.Assert(caller.Ask(read, "READ x").Code, qt.Equals, proto.OK)
			c.Assert(other.Ask(read, "READ y").Code, qt.Equals, proto.OK)
		}
		for _, run := range fixture.upstream.Runs() {
			want := map[string]string{"zone": "north"}
			if run.Text == "READ y" {
				want = map[string]string{"mode": "brief"}
			}
			c.Assert(run.Values, qt.DeepEquals, want)
		}
		other.Leave()
	})
}

// Rule 14: two sessions that use the same prepared name each run their own statement.
func TestPreparedNamesCollide(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		other := fixture.open("current")
		other.Start()
		caller.Ask(proto.Prepare{Name: "s1", Definition: proto.Definition{Text: "q1"}}, "")
		other.Ask(proto.Prepare{Name: "s1", Definition: proto.Definition{Text: "q2", Writes: true}}, "")
		execute := proto.Execute{Name: "s1", Arguments: "x"}
		c.Assert(caller.Ask(execute, "").Rows, qt.DeepEquals, []string{"READ q1 x"})
		c.Assert(other.Ask(execute, "").Rows, qt.DeepEquals, []string{"WRITE q2 x"})
		caller.Ask(proto.Deallocate{Name: "s1"}, "")
		c.Assert(caller.Ask(execute, "").Code, qt.Equals, proto.UnknownName)
		other.Leave()
	})
}

// Rule 14: a transaction's statements run on one connection, which no other session
// uses meanwhile.
func TestTransaction(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		c.Assert(caller.Ask(begin, "BEGIN").State, qt.Equals, proto.Open)
		c.Assert(caller.Ask(write, "WRITE x 1").State, qt.Equals, proto.Open)
		other := fixture.open("current")
		other.Start()
		c.Assert(other.Ask(write, "WRITE y 1").State, qt.Equals, proto.Idle)
		c.Assert(caller.Ask(commit, "COMMIT").State, qt.Equals, proto.Idle)
		fixture.upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, 2) })
		other.Leave()
	})
}

// refusedStart makes a database answer BEGIN as busy although it has opened the transaction.
type refusedStart struct{ proto.Dialer }

type refusedStartConn struct{ proto.DatabaseConn }

func (dialer refusedStart) Dial(member dbset.Member, team string, timeout time.Duration) (proto.DatabaseConn, proto.Answer, error) {
	conn, answer, err := dialer.Dialer.Dial(member, team, timeout)
	return refusedStartConn{conn}, answer, err
}

func (conn refusedStartConn) AskAll(requests []proto.Request, timeout time.Duration) ([]proto.Answer, error) {
	answers, err := conn.DatabaseConn.AskAll(requests, timeout)
	if _, ok := requests[len(requests)-1].(proto.Start); ok && err == nil {
		answers[len(answers)-1].Code = proto.Busy
	}
	return answers, err
}

// PINNED: a session's write ran in a transaction that a connection had been returned to its
// pool with, and was acknowledged without a commit.
func TestConnInTransactionIsNotReused(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		pools := &dbpool.Set{Dialer: refusedStart{fixture.upstream}, Clock: clock.System{}, Share: func(string) int { return 4 }}
		pools.SetMembers(fixture.upstream.Members())
		fixture.serving().Pools = pools
		caller.Ask(begin, "BEGIN")
		c.Assert(caller.Ask(write, "WRITE x 1").Code, qt.Equals, proto.Busy)
		caller.Ask(rollback, "ROLLBACK")
		time.Sleep(time.Second)
		fixture.renewLease()
		c.Assert(caller.Ask(write, "WRITE y 1").Code, qt.Equals, proto.OK)
		runs := fixture.upstream.Runs()
		c.Assert(runTexts(runs), qt.DeepEquals, []string{"a WRITE y 1"})
		c.Check(runs[0].Transaction, qt.Equals, 0)
		c.Check(runs[0].Committed.IsZero(), qt.IsFalse)
	})
}

// Rule 12: a transaction that loses an answer is aborted before its commit was sent,
// and in doubt after that.
func TestLostAnswersInTransactions(t *testing.T) {
	loseNextAnswer := func(fixture *fixture) {
		fixture.upstream.Do("a", func(database *fakeup.Database) { database.AnswersToLose = 1 })
	}
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		loseNextAnswer(fixture)
		answer := caller.Ask(write, "WRITE x 1")
		c.Assert(answer.Code, qt.Equals, proto.Aborted)
		c.Assert(answer.State, qt.Equals, proto.Broken)
		c.Assert(caller.Ask(read, "READ x").Code, qt.Equals, proto.Malformed)
		c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.Aborted)
		caller.Ask(begin, "BEGIN")
		caller.Ask(write, "WRITE x 2")
		loseNextAnswer(fixture)
		answer = caller.Ask(commit, "COMMIT")
		c.Assert(answer.Code, qt.Equals, proto.InDoubt)
		c.Assert(answer.State, qt.Equals, proto.Idle)
	})
}

// A transaction is rolled back when its caller exceeds the idle timeout; its next
// statement is answered as aborted.
func TestIdleTransaction(t *testing.T) {
	withSession(t, "current", func(c *qt.C, fixture *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		caller.Ask(write, "WRITE x 1")
		time.Sleep(3100 * time.Millisecond)
		fixture.renewLease()
		c.Assert(caller.Ask(commit, "COMMIT").Code, qt.Equals, proto.Aborted)
		c.Assert(caller.Ask(write, "WRITE x 2").Code, qt.Equals, proto.OK)
	})
}

// A rollback ends the transaction, so a second one is refused.
func TestRollback(t *testing.T) {
	withSession(t, "current", func(c *qt.C, _ *fixture, caller *fakeup.CallerConn) {
		caller.Ask(begin, "BEGIN")
		caller.Ask(write, "WRITE x 1")
		c.Assert(caller.Ask(rollback, "ROLLBACK").State, qt.Equals, proto.Idle)
		c.Assert(caller.Ask(rollback, "ROLLBACK").Code, qt.Equals, proto.Malformed)
	})
}

// A VM that has just started waits for its configuration before it answers that a
// database is unknown; without one it refuses the session as busy.
func TestStartWaitsForConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fixture := newFixture()
		caller := fixture.open("current")
		go func() {
			time.Sleep(500 * time.Millisecond)
			fixture.configure()
		}()
		c.Assert(caller.Start().Code, qt.Equals, proto.OK)
		caller.Leave()
		c.Assert(fixture.open("nosuch").Start().Code, qt.Equals, proto.UnknownDatabase)
		c.Assert(newFixture().open("current").Start().Code, qt.Equals, proto.Busy)
		synctest.Wait()
	})
}

// Rule 21: a stopping VM serves a request that follows an answer at once, ends sessions
// between requests, and refuses all requests in the last phase.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fixture := newFixture()
		fixture.configure()
		fixture.renewLease()
		time.Sleep(time.Millisecond)
		busy, idle, open := fixture.open("current"), fixture.open("current"), fixture.open("current")
		for _, caller := range []*fakeup.CallerConn{busy, idle, open} {
			c.Assert(caller.Start().Code, qt.Equals, proto.OK)
		}
		open.Ask(begin, "BEGIN")
		open.Ask(write, "WRITE x 1")
		fixture.engine.Enter(engine.Closing)
		c.Assert(busy.Ask(read, "READ x").Code, qt.Equals, proto.OK)
		time.Sleep(10 * time.Millisecond)
		c.Assert(busy.Ask(read, "READ x").Code, qt.Equals, proto.OK)
		lateCaller := fixture.open("current")
		c.Assert(lateCaller.Start().Code, qt.Equals, proto.OK)
		c.Assert(lateCaller.Ask(read, "READ x").Code, qt.Equals, proto.OK)
		time.Sleep(100 * time.Millisecond)
		c.Assert(fixture.engine.Sessions(), qt.Equals, 2)
		fixture.engine.Enter(engine.Ending)
		synctest.Wait()
		c.Assert(fixture.engine.Sessions(), qt.Equals, 1)
		fixture.engine.Enter(engine.Refusing)
		c.Assert(open.Ask(commit, "COMMIT").Code, qt.Equals, proto.Aborted)
		c.Assert(fixture.open("current").Start().Code, qt.Equals, proto.Busy)
		open.Leave()
		synctest.Wait()
	})
}
