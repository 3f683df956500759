package engine_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/engine"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/stats"
	"github.com/bramleydoor/bramleydoor/wires"
)

var (
	read     = wires.Read{}
	write    = wires.Write{}
	begin    = wires.Begin{}
	commit   = wires.Commit{}
	rollback = wires.Rollback{}
)

// bed is an engine before a stand-in for one upstream, in a synctest bubble.
type bed struct {
	upstream *fakeup.Upstream
	group    *dbset.Group
	engine   *engine.Engine
	token    uint64
}

func (bed *bed) Group(string) *dbset.Group { return bed.group }

func newBed() *bed {
	upstream := fakeup.New("ledger")
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	links := &conset.Set{Dialer: upstream, Clock: clock.System{}, Limit: func(string) int { return 4 }}
	links.SetMembers(upstream.Members())
	bed := &bed{upstream: upstream, group: dbset.New("ledger", "zone-b"), token: 1}
	bed.group.SetMembers(upstream.Members(), time.Now())
	bed.engine = &engine.Engine{
		Config: &config.Holder{}, Groups: bed, Links: links, Clock: clock.System{},
		Log: event.NewLog(logger, "vm1"), Stats: &stats.Stats{},
	}
	return bed
}

func (bed *bed) configure() {
	route := config.Route{Upstream: "ledger", Timeout: time.Second, MaxAge: 1500 * time.Millisecond}
	routes := make(map[string]config.Route)
	for name, access := range map[string]config.Access{"current": config.Current, "aged": config.Aged, "own": config.OwnWrites} {
		route.Name, route.Access = name, access
		routes[name] = route
	}
	bed.engine.Config.Offer(&config.Config{
		Version: 1, Routes: routes, Limits: config.Limits{TransactionIdle: 3 * time.Second},
	})
}

// grant gives the VM a grant with an observation, as a keeper would.
func (bed *bed) grant() {
	primary := bed.upstream.Primary()
	var at posn.Position
	bed.upstream.Do(primary, func(database *fakeup.Database) { at = database.Position() })
	bed.group.Accept(dbset.Grant{Token: bed.token, Term: at.Term, Primary: primary, Position: at}, time.Now())
}

// open starts a session.
func (bed *bed) open(database string) *fakeup.Front {
	front := fakeup.NewFront()
	go bed.engine.Serve(front, database)
	return front
}

// run runs a test with a session in a bubble.
func run(t *testing.T, database string, test func(c *qt.C, bed *bed, front *fakeup.Front)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		bed := newBed()
		bed.configure()
		bed.grant()
		time.Sleep(time.Millisecond)
		front := bed.open(database)
		c := qt.New(t)
		c.Assert(front.Start().Code, qt.Equals, wires.OK)
		defer synctest.Wait()
		defer front.Leave()
		test(c, bed, front)
	})
}

func texts(runs []fakeup.Run) []string {
	var texts []string
	for _, run := range runs {
		texts = append(texts, run.Database+" "+run.Text)
	}
	return texts
}

// Rule 12: a write without an answer is in doubt and runs once.
func TestLostWriteIsInDoubt(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		bed.upstream.Do("a", func(database *fakeup.Database) { database.LoseAnswers = 1 })
		c.Assert(front.Ask(write, "WRITE x 1").Code, qt.Equals, wires.InDoubt)
		c.Assert(texts(bed.upstream.Runs()), qt.DeepEquals, []string{"a WRITE x 1"})
	})
}

// Rule 4: a read without an answer is tried at another database.
func TestLostReadIsRetried(t *testing.T) {
	run(t, "aged", func(c *qt.C, bed *bed, front *fakeup.Front) {
		bed.upstream.Do("b", func(database *fakeup.Database) { database.LoseAnswers = 1 })
		c.Assert(front.Ask(read, "READ x").Code, qt.Equals, wires.OK)
		c.Assert(texts(bed.upstream.Runs()), qt.DeepEquals, []string{"b READ x", "c READ x"})
	})
}

// A write that the database refused for lack of room is sent again.
func TestRefusedWriteIsRetried(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		bed.upstream.Do("a", func(database *fakeup.Database) { database.RefuseBusy = 2 })
		c.Assert(front.Ask(write, "WRITE x 1").Code, qt.Equals, wires.OK)
		c.Assert(texts(bed.upstream.Runs()), qt.DeepEquals, []string{"a WRITE x 1"})
	})
}

// Without a primary a write is refused in time for its caller to come back, with
// the promise that it did not run.
func TestNoPrimary(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		bed.group.Revoke(bed.token, time.Now())
		began := time.Now()
		answer := front.Ask(write, "WRITE x 1")
		c.Assert(answer.Code, qt.Equals, wires.Busy)
		c.Assert(answer.Text, qt.Equals, "noPrimary retryAfterMs=200")
		c.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
		c.Assert(bed.upstream.Runs(), qt.HasLen, 0)
	})
}

// A write waits for the new primary of a promotion that is under way.
func TestWriteWaitsForPromotion(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		bed.group.Revoke(bed.token, time.Now())
		go func() {
			time.Sleep(50 * time.Millisecond)
			_ = bed.upstream.Promote(c.Context(), promo.Order{Member: "b"})
			bed.group.Accept(dbset.Grant{Token: 1, Term: 2, Primary: "b"}, time.Now())
		}()
		c.Assert(front.Ask(write, "WRITE x 1").Code, qt.Equals, wires.OK)
		c.Assert(texts(bed.upstream.Runs()), qt.DeepEquals, []string{"b WRITE x 1"})
	})
}

// Rule 7: a write that a former primary ran is not confirmed once its grant has
// been revoked.
func TestFormerPrimaryConfirmsNothing(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		bed.upstream.Do("a", func(database *fakeup.Database) { database.Work = 100 * time.Millisecond })
		go func() {
			time.Sleep(50 * time.Millisecond)
			bed.group.Revoke(bed.token, time.Now())
		}()
		c.Assert(front.Ask(write, "WRITE x 1").Code, qt.Equals, wires.InDoubt)
	})
}

// Rule 4: a session's read after its own write never runs at a replica that has
// not received the write, however far behind that is.
func TestOwnWriteIsSeen(t *testing.T) {
	run(t, "own", func(c *qt.C, bed *bed, front *fakeup.Front) {
		for _, id := range []string{"b", "c"} {
			bed.upstream.Do(id, func(database *fakeup.Database) { database.Lag = 800 * time.Millisecond })
		}
		for range 40 {
			c.Assert(front.Ask(write, "WRITE x 1").Code, qt.Equals, wires.OK)
			runs := bed.upstream.Runs()
			own := runs[len(runs)-1].Position
			c.Assert(front.Ask(read, "READ x").Code, qt.Equals, wires.OK)
			runs = bed.upstream.Runs()
			c.Assert(runs[len(runs)-1].Position.AtLeast(own), qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
			bed.grant()
		}
	})
}

// Rule 5: an aged read never misses a commit older than its age.
func TestAgeIsKept(t *testing.T) {
	run(t, "aged", func(c *qt.C, bed *bed, front *fakeup.Front) {
		writer := bed.open("current")
		c.Assert(writer.Start().Code, qt.Equals, wires.OK)
		bed.upstream.Do("b", func(database *fakeup.Database) { database.IsDeaf = true })
		c.Assert(writer.Ask(write, "WRITE x 1").Code, qt.Equals, wires.OK)
		runs := bed.upstream.Runs()
		committed, at := runs[len(runs)-1].Position, time.Now()
		var reachedReplica bool
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			bed.grant()
			asked := time.Now()
			c.Assert(front.Ask(read, "READ x").Code, qt.Equals, wires.OK)
			runs := bed.upstream.Runs()
			last := runs[len(runs)-1]
			reachedReplica = reachedReplica || last.Database != "a"
			if asked.Sub(at) > 1500*time.Millisecond {
				c.Assert(last.Position.AtLeast(committed), qt.IsTrue)
			}
		}
		c.Assert(reachedReplica, qt.IsTrue)
		writer.Leave()
	})
}

// Rule 14: a session finds its own values on whatever connection serves it, and
// no one else's.
func TestValuesFollowTheSession(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		other := bed.open("current")
		other.Start()
		front.Ask(wires.Assign{Name: "zone", Value: "north"}, "SET zone north")
		other.Ask(wires.Assign{Name: "mode", Value: "brief"}, "SET mode brief")
		for range 3 {
			c.Assert(front.Ask(read, "READ x").Code, qt.Equals, wires.OK)
			c.Assert(other.Ask(read, "READ y").Code, qt.Equals, wires.OK)
		}
		for _, ran := range bed.upstream.Runs() {
			want := map[string]string{"zone": "north"}
			if ran.Text == "READ y" {
				want = map[string]string{"mode": "brief"}
			}
			c.Assert(ran.Values, qt.DeepEquals, want)
		}
		other.Leave()
	})
}

// Rule 14: the same prepared name of two sessions runs each one's own shape.
func TestPreparedNamesCollide(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		other := bed.open("current")
		other.Start()
		front.Ask(wires.Prepare{Name: "s1", Shape: wires.Shape{Text: "q1"}}, "")
		other.Ask(wires.Prepare{Name: "s1", Shape: wires.Shape{Text: "q2", Writes: true}}, "")
		execute := wires.Execute{Name: "s1", Arguments: "x"}
		c.Assert(front.Ask(execute, "").Rows, qt.DeepEquals, []string{"READ q1 x"})
		c.Assert(other.Ask(execute, "").Rows, qt.DeepEquals, []string{"WRITE q2 x"})
		front.Ask(wires.Forget{Name: "s1"}, "")
		c.Assert(front.Ask(execute, "").Code, qt.Equals, wires.UnknownName)
		other.Leave()
	})
}

// Rule 14: a transaction's statements run on one connection, and no one else's
// run there meanwhile.
func TestTransaction(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		c.Assert(front.Ask(begin, "BEGIN").State, qt.Equals, wires.Open)
		c.Assert(front.Ask(write, "WRITE x 1").State, qt.Equals, wires.Open)
		other := bed.open("current")
		other.Start()
		c.Assert(other.Ask(write, "WRITE y 1").State, qt.Equals, wires.Idle)
		c.Assert(front.Ask(commit, "COMMIT").State, qt.Equals, wires.Idle)
		bed.upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, 2) })
		other.Leave()
	})
}

// Rule 12: before its commit was sent, a transaction that lost an answer is
// aborted; afterwards it is in doubt.
func TestLostAnswersInTransactions(t *testing.T) {
	lose := func(bed *bed) {
		bed.upstream.Do("a", func(database *fakeup.Database) { database.LoseAnswers = 1 })
	}
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		front.Ask(begin, "BEGIN")
		lose(bed)
		answer := front.Ask(write, "WRITE x 1")
		c.Assert(answer.Code, qt.Equals, wires.Aborted)
		c.Assert(answer.State, qt.Equals, wires.Broken)
		c.Assert(front.Ask(read, "READ x").Code, qt.Equals, wires.Malformed)
		c.Assert(front.Ask(commit, "COMMIT").Code, qt.Equals, wires.Aborted)
		front.Ask(begin, "BEGIN")
		front.Ask(write, "WRITE x 2")
		lose(bed)
		answer = front.Ask(commit, "COMMIT")
		c.Assert(answer.Code, qt.Equals, wires.InDoubt)
		c.Assert(answer.State, qt.Equals, wires.Idle)
	})
}

// A transaction whose caller is silent for too long loses its connection, and
// its next statement is told that nothing is kept.
func TestIdleTransaction(t *testing.T) {
	run(t, "current", func(c *qt.C, bed *bed, front *fakeup.Front) {
		front.Ask(begin, "BEGIN")
		front.Ask(write, "WRITE x 1")
		time.Sleep(3100 * time.Millisecond)
		bed.grant()
		c.Assert(front.Ask(commit, "COMMIT").Code, qt.Equals, wires.Aborted)
		c.Assert(front.Ask(write, "WRITE x 2").Code, qt.Equals, wires.OK)
	})
}

// A rollback leaves nothing behind.
func TestRollback(t *testing.T) {
	run(t, "current", func(c *qt.C, _ *bed, front *fakeup.Front) {
		front.Ask(begin, "BEGIN")
		front.Ask(write, "WRITE x 1")
		c.Assert(front.Ask(rollback, "ROLLBACK").State, qt.Equals, wires.Idle)
		c.Assert(front.Ask(rollback, "ROLLBACK").Code, qt.Equals, wires.Malformed)
	})
}

// A VM that has just started does not say that a database doesn't exist.
func TestStartWaitsForConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		bed := newBed()
		front := bed.open("current")
		go func() {
			time.Sleep(500 * time.Millisecond)
			bed.configure()
		}()
		c.Assert(front.Start().Code, qt.Equals, wires.OK)
		front.Leave()
		c.Assert(bed.open("nosuch").Start().Code, qt.Equals, wires.UnknownDatabase)
		c.Assert(newBed().open("current").Start().Code, qt.Equals, wires.Busy)
		synctest.Wait()
	})
}

// Rule 21: a stopping VM serves the request that follows an answer at once, ends
// sessions between requests, and takes nothing at its end.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		bed := newBed()
		bed.configure()
		bed.grant()
		time.Sleep(time.Millisecond)
		busy, idle, open := bed.open("current"), bed.open("current"), bed.open("current")
		for _, front := range []*fakeup.Front{busy, idle, open} {
			c.Assert(front.Start().Code, qt.Equals, wires.OK)
		}
		open.Ask(begin, "BEGIN")
		open.Ask(write, "WRITE x 1")
		bed.engine.Enter(engine.Closing)
		c.Assert(busy.Ask(read, "READ x").Code, qt.Equals, wires.OK)
		time.Sleep(10 * time.Millisecond)
		c.Assert(busy.Ask(read, "READ x").Code, qt.Equals, wires.OK)
		late := bed.open("current")
		c.Assert(late.Start().Code, qt.Equals, wires.OK)
		c.Assert(late.Ask(read, "READ x").Code, qt.Equals, wires.OK)
		time.Sleep(100 * time.Millisecond)
		c.Assert(bed.engine.Sessions(), qt.Equals, 2)
		bed.engine.Enter(engine.Ending)
		synctest.Wait()
		c.Assert(bed.engine.Sessions(), qt.Equals, 1)
		bed.engine.Enter(engine.Refusing)
		c.Assert(open.Ask(commit, "COMMIT").Code, qt.Equals, wires.Aborted)
		c.Assert(bed.open("current").Start().Code, qt.Equals, wires.Busy)
		open.Leave()
		synctest.Wait()
	})
}
