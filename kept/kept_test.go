package kept_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/admit"
	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/conset"
	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/kept"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/wires"
)

// bed is receipts before a stand-in, in a synctest bubble.
type bed struct {
	upstream *fakeup.Upstream
	group    *dbset.Group
	receipts *kept.Receipts
	primary  wires.Wire
	// keeperSees says that the grants tell of the primary.
	keeperSees atomic.Bool
}

func newBed(c *qt.C) *bed {
	upstream := fakeup.New("ledger")
	links := &conset.Set{Dialer: upstream, Clock: clock.System{}, Limit: func(string) int { return 4 }}
	links.SetMembers(upstream.Members())
	group := dbset.New("ledger", "zone-b")
	group.SetMembers(upstream.Members(), time.Now())
	group.Accept(dbset.Grant{Token: 1, Term: 1, Primary: "a", Position: posn.Position{Term: 1, LSN: 1}}, time.Now())
	wire, _, err := upstream.Dial(upstream.Members()[0], time.Second)
	c.Assert(err, qt.IsNil)
	return &bed{
		upstream: upstream, group: group, primary: wire,
		receipts: &kept.Receipts{Links: links, Clock: clock.System{}},
	}
}

func (bed *bed) write(c *qt.C) posn.Position {
	answer, err := bed.primary.Ask(wires.Forward{ID: "w", Text: "WRITE x 1"}, time.Second)
	c.Assert(err, qt.IsNil)
	return answer.Position
}

// await returns what is known of a write, and how long that took.
func (bed *bed) await(position posn.Position) (kept.Outcome, time.Duration) {
	began := time.Now()
	outcome := bed.receipts.Await(bed.group, position, time.Minute)
	return outcome, time.Since(began)
}

// follow grants the primary's use on, as keepers do.
func (bed *bed) follow(ctx context.Context) {
	for ctx.Err() == nil {
		grant := dbset.Grant{Token: 1, Term: 1, Primary: "a"}
		if bed.keeperSees.Load() {
			grant.Position = posn.Position{Term: 1, LSN: 1}
		}
		bed.group.Accept(grant, time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func within(t *testing.T, test func(c *qt.C, bed *bed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		bed := newBed(c)
		ctx, cancel := context.WithCancel(t.Context())
		go bed.follow(ctx)
		test(c, bed)
		cancel()
		synctest.Wait()
	})
}

// One replica that has received a write is enough, be the other deaf or down.
func TestOneReplica(t *testing.T) {
	for name, fail := range map[string]func(*fakeup.Database){
		"healthy": func(*fakeup.Database) {},
		"deaf":    func(database *fakeup.Database) { database.IsDeaf = true },
		"stopped": func(database *fakeup.Database) { database.IsDown = true },
		"dark":    func(database *fakeup.Database) { database.IsDark = true },
	} {
		for _, failing := range []string{"b", "c"} {
			t.Run(name+" "+failing, func(t *testing.T) {
				within(t, func(c *qt.C, bed *bed) {
					bed.upstream.Do(failing, fail)
					for range 3 {
						outcome, took := bed.await(bed.write(c))
						c.Assert(outcome, qt.Equals, kept.Received)
						c.Assert(took <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
					}
				})
			})
		}
	}
}

// Without any receipt, a write is confirmed late if the keeper has seen the primary
// since, and in doubt if it has not. If the primary is not replaced for a while,
// writes go on with short waits.
func TestNoReplica(t *testing.T) {
	for name, test := range map[string]struct {
		keeperSees bool
		want       kept.Outcome
	}{"keeper sees the primary": {true, kept.Alone}, "keeper does not": {false, kept.Doubtful}} {
		t.Run(name, func(t *testing.T) {
			within(t, func(c *qt.C, bed *bed) {
				bed.keeperSees.Store(test.keeperSees)
				for _, id := range []string{"b", "c"} {
					bed.upstream.Do(id, func(database *fakeup.Database) { database.IsDeaf = true })
				}
				outcome, took := bed.await(bed.write(c))
				c.Assert(outcome, qt.Equals, test.want)
				c.Assert(took > 700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
				time.Sleep(2 * time.Second)
				outcome, took = bed.await(bed.write(c))
				c.Assert(outcome, qt.Equals, kept.Alone)
				c.Assert(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
				bed.upstream.Do("c", func(database *fakeup.Database) { database.IsDeaf = false })
				position := bed.write(c)
				time.Sleep(time.Second)
				outcome, _ = bed.await(position)
				c.Assert(outcome, qt.Equals, kept.Received)
			})
		})
	}
}

// A service at the limit of its slots: a write does not wait long for replicas that
// callers keep busy, as long as the keeper sees the primary.
func TestBusyReplicas(t *testing.T) {
	for name, test := range map[string]struct {
		keeperSees bool
		want       kept.Outcome
		within     time.Duration
	}{
		"keeper sees the primary": {true, kept.Alone, 150 * time.Millisecond},
		"keeper does not":         {false, kept.Doubtful, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			within(t, func(c *qt.C, bed *bed) {
				bed.keeperSees.Store(test.keeperSees)
				time.Sleep(1800 * time.Millisecond)
				var held []*conset.Link
				for _, id := range []string{"b", "c"} {
					bed.upstream.Do(id, func(database *fakeup.Database) { database.IsDeaf = true })
					for range 4 {
						link, err := bed.receipts.Links.Pool(id).Get(admit.Want{Patience: time.Second}, nil)
						c.Assert(err, qt.IsNil)
						held = append(held, link)
					}
				}
				outcome, took := bed.await(bed.write(c))
				c.Assert(outcome, qt.Equals, test.want)
				c.Assert(took <= test.within, qt.IsTrue, qt.Commentf("%s", took))
				for _, link := range held {
					link.Put()
				}
			})
		})
	}
}

// Where connections are scarce, none is opened for a receipt.
func TestScarceConnections(t *testing.T) {
	within(t, func(c *qt.C, bed *bed) {
		bed.receipts.Links.Limit = func(string) int { return 1 }
		outcome, took := bed.await(bed.write(c))
		c.Assert(outcome, qt.Equals, kept.Alone)
		c.Assert(took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		for _, id := range []string{"b", "c"} {
			bed.upstream.Do(id, func(database *fakeup.Database) { c.Assert(database.Opened, qt.Equals, 0) })
		}
	})
}

// Many writes share a question.
func TestShared(t *testing.T) {
	within(t, func(c *qt.C, bed *bed) {
		position := bed.write(c)
		done := make(chan kept.Outcome, 100)
		for range cap(done) {
			go func() { done <- bed.receipts.Await(bed.group, position, time.Minute) }()
		}
		for range cap(done) {
			c.Assert(<-done, qt.Equals, kept.Received)
		}
		var opened int
		for _, id := range []string{"b", "c"} {
			bed.upstream.Do(id, func(database *fakeup.Database) { opened += database.Opened })
		}
		c.Assert(opened, qt.Equals, 1)
	})
}

// A wait ends with the term: the write is in doubt then.
func TestTermEnds(t *testing.T) {
	within(t, func(c *qt.C, bed *bed) {
		for _, id := range []string{"b", "c"} {
			bed.upstream.Do(id, func(database *fakeup.Database) { database.IsDeaf = true })
		}
		time.AfterFunc(100*time.Millisecond, func() {
			bed.group.Accept(dbset.Grant{Token: 2, Term: 2, Primary: "b"}, time.Now())
		})
		outcome, took := bed.await(bed.write(c))
		c.Assert(outcome, qt.Equals, kept.Doubtful)
		c.Assert(took < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
	})
}

// A write whose primary has gone silent meanwhile is not confirmed.
func TestPrimaryGone(t *testing.T) {
	within(t, func(c *qt.C, bed *bed) {
		for _, id := range []string{"b", "c"} {
			bed.upstream.Do(id, func(database *fakeup.Database) { database.IsDeaf = true })
		}
		position := bed.write(c)
		bed.upstream.Do("a", func(database *fakeup.Database) { database.IsDown = true })
		outcome, _ := bed.await(position)
		c.Assert(outcome, qt.Equals, kept.Doubtful)
	})
}
