package conset_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/fakeup"
)

// pool makes a pool of connections to database a with a share of limit.
func pool(upstream *fakeup.Upstream, limit int) *conset.Pool {
	return &conset.Pool{
		Member: upstream.Members()[0], Dialer: upstream, Clock: clock.System{},
		Limit: func() int { return limit },
	}
}

func within(t *testing.T, test func(c *qt.C, upstream *fakeup.Upstream)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(qt.New(t), fakeup.New("ledger")) })
}

func want(patience time.Duration, priority int) admit.Want {
	return admit.Want{Patience: patience, ShortPatience: patience, Priority: priority}
}

func get(c *qt.C, pool *conset.Pool) *conset.Link {
	c.Helper()
	link, err := pool.Get(want(time.Second, 1), nil)
	c.Assert(err, qt.IsNil)
	return link
}

// Rule 16: the share is kept, and connections are used again.
func TestShare(t *testing.T) {
	within(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := pool(upstream, 2)
		first, second := get(c, pool), get(c, pool)
		_, err := pool.Get(want(100*time.Millisecond, 1), nil)
		c.Assert(err, qt.Equals, conset.ErrNoRoom)
		first.Put()
		c.Assert(get(c, pool), qt.Equals, first)
		second.Put()
		upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, 2) })
	})
}

// Rule 15: the request of higher priority is served first.
func TestPriority(t *testing.T) {
	within(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := pool(upstream, 1)
		held := get(c, pool)
		served := make(chan int, 2)
		for _, priority := range []int{2, 0} {
			go func() {
				link, err := pool.Get(want(time.Second, priority), nil)
				c.Check(err, qt.IsNil)
				served <- priority
				link.Put()
			}()
			synctest.Wait()
		}
		held.Put()
		c.Assert([]int{<-served, <-served}, qt.DeepEquals, []int{0, 2})
	})
}

// Rule 15: a request that would wait too long behind others is refused at once.
func TestHopelessWaitIsRefused(t *testing.T) {
	within(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := pool(upstream, 1)
		for range 40 {
			link := get(c, pool)
			link.Observe(100 * time.Millisecond)
			link.Put()
		}
		held := get(c, pool)
		for range 5 {
			go func() {
				link, err := pool.Get(want(10*time.Second, 1), nil)
				c.Check(err, qt.IsNil)
				link.Put()
			}()
			synctest.Wait()
		}
		began := time.Now()
		_, err := pool.Get(want(300*time.Millisecond, 1), nil)
		c.Assert(err, qt.Equals, conset.ErrNoRoom)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		held.Put()
		synctest.Wait()
	})
}

// A database with too many connections is asked again one opening at a time.
func TestFullDatabase(t *testing.T) {
	within(t, func(c *qt.C, upstream *fakeup.Upstream) {
		upstream.Do("a", func(database *fakeup.Database) { database.MaxConnections, database.Open = 2, 2 })
		pool := pool(upstream, 4)
		done := make(chan error, 4)
		for range 4 {
			go func() {
				link, err := pool.Get(want(time.Second, 1), nil)
				if err == nil {
					link.Put()
				}
				done <- err
			}()
		}
		time.Sleep(400 * time.Millisecond)
		upstream.Do("a", func(database *fakeup.Database) { database.Open = 1 })
		for range 4 {
			c.Assert(<-done, qt.IsNil)
		}
		upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, 1) })
	})
}

// A connection that its database ended is not used again.
func TestDeadConnection(t *testing.T) {
	within(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := pool(upstream, 1)
		link := get(c, pool)
		link.Put()
		link.Close()
		c.Assert(get(c, pool), qt.Not(qt.Equals), link)
	})
}

// A pool that closes ends the waits for it.
func TestClose(t *testing.T) {
	within(t, func(c *qt.C, upstream *fakeup.Upstream) {
		pool := pool(upstream, 1)
		link := get(c, pool)
		ended := make(chan error, 1)
		go func() {
			_, err := pool.Get(want(time.Second, 1), nil)
			ended <- err
		}()
		synctest.Wait()
		pool.Close()
		c.Assert(<-ended, qt.Equals, conset.ErrClosed)
		link.Put()
		upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Open, qt.Equals, 0) })
	})
}

// Connections that nothing uses are closed: but one of each database, where the
// VM's share is large enough, and sooner where it is not.
func TestTrim(t *testing.T) {
	for _, test := range []struct{ share, idleMS, open int }{{6, 900, 3}, {6, 1100, 1}, {3, 300, 3}, {3, 500, 0}} {
		within(t, func(c *qt.C, upstream *fakeup.Upstream) {
			set := &conset.Set{Dialer: upstream, Clock: clock.System{}, Limit: func(string) int { return test.share }}
			set.SetMembers(upstream.Members())
			pool := set.Pool("a")
			links := []*conset.Link{get(c, pool), get(c, pool), get(c, pool)}
			for _, link := range links {
				link.Put()
			}
			c.Assert(set.IsWarm("a"), qt.IsTrue)
			time.Sleep(time.Duration(test.idleMS) * time.Millisecond)
			set.Trim()
			upstream.Do("a", func(database *fakeup.Database) { c.Assert(database.Open, qt.Equals, test.open) })
			c.Assert(set.IsWarm("a"), qt.Equals, test.open > 0)
		})
	}
}
