package dbpool_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/dbpool"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/proto"
)

// newPool returns a pool of connections to database a. The VM's share of the
// connections is limit.
func newPool(upstream *fakeup.Upstream, limit int) *dbpool.Pool {
	return &dbpool.Pool{
		Member: upstream.Members()[0], Dialer: upstream, Clock: clock.System{},
		Share: func() int { return limit },
	}
}

func withUpstream(t *testing.T, test func(c *qt.C, upstream *fakeup.Upstream)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(qt.New(t), fakeup.New("ledger")) })
}

func admissionRequest(maxWait time.Duration, priority int) admit.Request {
	return admit.Request{MaxWait: maxWait, MaxStandingWait: maxWait, Priority: priority}
}

func mustGet(c *qt.C, pool *dbpool.Pool) *dbpool.Conn {
	c.Helper()
	conn, err := pool.Get(admissionRequest(time.Second, 1), nil)
	c.Assert(err, qt.IsNil)
	return conn
}

// Rule 16: a pool opens no more connections than the VM's share, and reuses them.
func TestShareLimitsConnections(t *testing.T) {
	withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := newPool(upstream, 2)
		first, second := mustGet(c, pool), mustGet(c, pool)
		_, err := pool.Get(admissionRequest(100*time.Millisecond, 1), nil)
		c.Assert(err, qt.Equals, dbpool.ErrNoConn)
		first.Put()
		c.Assert(mustGet(c, pool), qt.Equals, first)
		second.Put()
		upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, 2) })
	})
}

// PINNED: a connection that was returned in a transaction served another session there. Rule 14:
// it is closed.
func TestConnInTransactionIsClosed(t *testing.T) {
	withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := newPool(upstream, 2)
		conn := mustGet(c, pool)
		_, err := conn.AskAll([]proto.Request{proto.Reset{}, proto.Start{}}, time.Second)
		c.Assert(err, qt.IsNil)
		conn.Put()
		upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Open, qt.Equals, 0) })
		conn = mustGet(c, pool)
		for _, request := range []proto.Request{proto.Start{}, proto.AbortTransaction{}} {
			_, err := conn.Ask(request, time.Second)
			c.Assert(err, qt.IsNil)
		}
		conn.Put()
		c.Assert(mustGet(c, pool), qt.Equals, conn)
	})
}

// Rule 15: among queued requests the one of highest priority (lowest number) is served
// first.
func TestPriorityOrdersWaits(t *testing.T) {
	withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := newPool(upstream, 1)
		busyConn := mustGet(c, pool)
		servedPriorities := make(chan int, 2)
		for _, priority := range []int{2, 0} {
			go func() {
				conn, err := pool.Get(admissionRequest(time.Second, priority), nil)
				c.Check(err, qt.IsNil)
				servedPriorities <- priority
				conn.Put()
			}()
			synctest.Wait()
		}
		busyConn.Put()
		c.Assert([]int{<-servedPriorities, <-servedPriorities}, qt.DeepEquals, []int{0, 2})
	})
}

// Rule 15: a request whose expected wait in the queue exceeds its limit is refused at
// once.
func TestExcessiveWaitIsRefused(t *testing.T) {
	withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := newPool(upstream, 1)
		for range 40 {
			conn := mustGet(c, pool)
			conn.Observe(100 * time.Millisecond)
			conn.Put()
		}
		busyConn := mustGet(c, pool)
		for range 5 {
			go func() {
				conn, err := pool.Get(admissionRequest(10*time.Second, 1), nil)
				c.Check(err, qt.IsNil)
				conn.Put()
			}()
			synctest.Wait()
		}
		startedAt := time.Now()
		_, err := pool.Get(admissionRequest(300*time.Millisecond, 1), nil)
		c.Assert(err, qt.Equals, dbpool.ErrNoConn)
		c.Assert(time.Since(startedAt), qt.Equals, time.Duration(0))
		busyConn.Put()
		synctest.Wait()
	})
}

// While a database reports too many connections, connections are tried one at a time.
func TestFullDatabaseIsRetried(t *testing.T) {
	withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
		upstream.Do("a", func(database *fakeup.Database) { database.MaxConnections, database.Open = 2, 2 })
		pool := newPool(upstream, 4)
		results := make(chan error, 4)
		for range 4 {
			go func() {
				conn, err := pool.Get(admissionRequest(time.Second, 1), nil)
				if err == nil {
					conn.Put()
				}
				results <- err
			}()
		}
		time.Sleep(400 * time.Millisecond)
		upstream.Do("a", func(database *fakeup.Database) { database.Open = 1 })
		for range 4 {
			c.Assert(<-results, qt.IsNil)
		}
		upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, 1) })
	})
}

// A connection that was closed while idle is not reused.
func TestClosedConnectionIsNotReused(t *testing.T) {
	withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := newPool(upstream, 1)
		conn := mustGet(c, pool)
		conn.Put()
		conn.Close()
		c.Assert(mustGet(c, pool), qt.Not(qt.Equals), conn)
	})
}

// Closing a pool refuses its queued requests, and closes a connection in use when it is
// returned.
func TestCloseEndsWaits(t *testing.T) {
	withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := newPool(upstream, 1)
		conn := mustGet(c, pool)
		result := make(chan error, 1)
		go func() {
			_, err := pool.Get(admissionRequest(time.Second, 1), nil)
			result <- err
		}()
		synctest.Wait()
		pool.Close()
		c.Assert(<-result, qt.Equals, dbpool.ErrClosed)
		conn.Put()
		upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Open, qt.Equals, 0) })
	})
}

// Idle connections are closed, except for one of each database. If the VM's share is
// below the threshold, all are closed, and sooner.
func TestTrimClosesIdleConnections(t *testing.T) {
	for _, test := range []struct{ share, idleMS, open int }{{6, 900, 3}, {6, 1100, 1}, {3, 300, 3}, {3, 500, 0}} {
		withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
			set := &dbpool.Set{Dialer: upstream, Clock: clock.System{}, Share: func(string) int { return test.share }}
			set.SetMembers(upstream.Members())
			pool := set.Pool("a")
			conns := []*dbpool.Conn{mustGet(c, pool), mustGet(c, pool), mustGet(c, pool)}
			for _, conn := range conns {
				conn.Put()
			}
			c.Assert(set.HasIdle("a"), qt.IsTrue)
			time.Sleep(time.Duration(test.idleMS) * time.Millisecond)
			set.Trim()
			upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Open, qt.Equals, test.open) })
			c.Assert(set.HasIdle("a"), qt.Equals, test.open > 0)
		})
	}
}

// A transaction counts for its team while it idles, and no longer once its connection is
// returned: a connection that becomes free goes to the team that holds none. Guards the calls
// that pair the uses of a connection with the limiter.
func TestIdleTransactionCountsForItsTeam(t *testing.T) {
	withUpstream(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := newPool(upstream, 2)
		served := make(chan string, 4)
		get := func(team string) *dbpool.Conn {
			request := admissionRequest(time.Second, 1)
			request.Team = team
			conn, err := pool.Get(request, nil)
			c.Check(err, qt.IsNil)
			return conn
		}
		transaction, other := get("mills"), get("")
		for range 2 {
			transaction.SetIdle()
			time.Sleep(100 * time.Millisecond)
			for _, team := range []string{"mills", "weavers"} {
				go func() {
					conn := get(team)
					served <- team
					time.Sleep(10 * time.Millisecond)
					conn.Put()
				}()
				synctest.Wait()
			}
			other.Put()
			c.Assert([]string{<-served, <-served}, qt.DeepEquals, []string{"weavers", "mills"})
			transaction.SetActive()
			time.Sleep(20 * time.Millisecond)
			other = get("")
		}
		transaction.Put()
		other.Put()
		time.Sleep(2 * time.Second)
		transaction, other = get("weavers"), get("")
		for _, team := range []string{"weavers", "mills"} {
			go func() {
				conn := get(team)
				served <- team
				time.Sleep(10 * time.Millisecond)
				conn.Put()
			}()
			synctest.Wait()
		}
		other.Put()
		c.Assert([]string{<-served, <-served}, qt.DeepEquals, []string{"mills", "weavers"})
		transaction.Put()
		time.Sleep(20 * time.Millisecond)
	})
}
