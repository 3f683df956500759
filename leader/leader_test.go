package leader_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/leader"
	"github.com/bramleydoor/bramleydoor/store"
)

func newElector(tree *fakekv.Tree, vm string, process uint64) *leader.Elector {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &leader.Elector{Store: tree, Clock: clock.System{}, Log: event.NewLog(logger, vm), VM: vm, Process: process, LastMessageAt: func() time.Time { return time.Time{} }, MessageInterval: func() time.Duration { return 400 * time.Millisecond }}
}

// startElector runs an elector in a goroutine until stop is called.
func startElector(elector *leader.Elector) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = elector.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Rule 9: after a planned stop another VM holds the lease within two seconds, with a
// higher fencing token.
func TestHandoverAtPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first, second := newElector(tree, "vm1", 1), newElector(tree, "vm2", 2)
		stopFirst := startElector(first)
		time.Sleep(100 * time.Millisecond)
		stopSecond := startElector(second)
		time.Sleep(10 * time.Second)
		old, ok := first.Holds(time.Second)
		c.Assert(ok, qt.IsTrue)
		_, ok = second.Holds(0)
		c.Assert(ok, qt.IsFalse)
		stopFirst()
		time.Sleep(2 * time.Second)
		token, ok := second.Holds(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(token > old, qt.IsTrue)
		c.Assert(second.Leader(), qt.Equals, "vm2")
		stopSecond()
	})
}

// The tasks of a leader sleep until Acquired's channel is closed, so that must happen for
// each lease: the first, and one taken again after it had lapsed while the store was down.
func TestAcquired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		elector := newElector(tree, "vm1", 1)
		for range 3 {
			acquired := elector.Acquired()
			_, ok := elector.Holds(0)
			c.Assert(ok, qt.IsFalse)
			stop := startElector(elector)
			<-acquired
			_, ok = elector.Holds(0)
			c.Assert(ok, qt.IsTrue)
			// The channel is closed once more when the VM may act on the groups.
			synctest.Wait()
			acquired = elector.Acquired()
			tree.SetDown(true)
			time.Sleep(leader.TTL)
			_, ok = elector.Holds(0)
			c.Assert(ok, qt.IsFalse)
			tree.SetDown(false)
			<-acquired
			_, ok = elector.Holds(0)
			c.Assert(ok, qt.IsTrue)
			stop()
			elector = newElector(tree, "vm1", 2)
		}
	})
}

// Rule 9: a leader that can't renew because the store is down loses the lease within
// TTL, which is before another VM may acquire it. It acquires the lease again within two
// seconds of the store's return.
func TestExpiryDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first := newElector(tree, "vm1", 1)
		stop := startElector(first)
		time.Sleep(5 * time.Second)
		tree.SetDown(true)
		time.Sleep(leader.TTL)
		_, ok := first.Holds(0)
		c.Assert(ok, qt.IsFalse)
		tree.SetDown(false)
		time.Sleep(2 * time.Second)
		_, ok = first.Holds(0)
		c.Assert(ok, qt.IsTrue)
		stop()
	})
}

// A VM that stops releases the lease only after its order has ended; otherwise the
// order of a later leader could overtake it.
func TestReleaseWaitsForOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first, second := newElector(tree, "vm1", 1), newElector(tree, "vm2", 2)
		stopFirst := startElector(first)
		time.Sleep(100 * time.Millisecond)
		stopSecond := startElector(second)
		time.Sleep(2 * time.Second)
		_, end, ok := first.BeginOrder("ledger", time.Second)
		c.Assert(ok, qt.IsTrue)
		go func() {
			time.Sleep(900 * time.Millisecond)
			_, ok := second.Holds(0)
			c.Check(ok, qt.IsFalse)
			end()
		}()
		stopFirst()
		time.Sleep(2 * time.Second)
		_, ok = second.Holds(0)
		c.Assert(ok, qt.IsTrue)
		stopSecond()
	})
}

// A process that is restarted on the same VM acquires the lease without waiting for
// its expiry, since the earlier process is dead.
func TestRestartedProcessAcquiresAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		tree.Set(leader.Key, []byte(`{"holder":"vm1","run":7,"token":4}`))
		second := newElector(tree, "vm1", 8)
		stop := startElector(second)
		time.Sleep(100 * time.Millisecond)
		token, ok := second.Holds(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(token, qt.Equals, uint64(5))
		stop()
	})
}

// Rule 9 with a store that has outages and loses answers to writes, some of which it
// applies seconds later: two VMs never hold the lease at the same time, and fencing
// tokens never decrease.
func TestOneLeader(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOneLeader(t, rand.New(rand.NewPCG(1, seed))) })
		})
	}
}

func checkOneLeader(t *testing.T, random *rand.Rand) {
	tree := &fakekv.Tree{}
	var electors []*leader.Elector
	for vm := range 4 {
		electors = append(electors, newElector(tree, fmt.Sprintf("vm%d", vm), uint64(vm)))
		defer startElector(electors[vm])()
	}
	var last uint64
	for range 2000 {
		time.Sleep(20 * time.Millisecond)
		switch random.IntN(60) {
		case 0:
			tree.SetDown(true)
		case 1, 2, 3:
			tree.SetDown(false)
		case 4, 5:
			tree.LoseSwapAnswers(1+random.IntN(3), time.Duration(random.IntN(6000))*time.Millisecond)
		}
		var leaderCount int
		for _, elector := range electors {
			token, ok := elector.Holds(0)
			if !ok {
				continue
			}
			leaderCount++
			if token < last {
				t.Fatalf("fencing token decreased to %d after %d", token, last)
			}
			last = token
		}
		if leaderCount > 1 {
			t.Fatalf("%d VMs hold the lease at the same time, want at most 1", leaderCount)
		}
	}
	if last == 0 {
		t.Fatal("no VM held the lease at any time")
	}
}

// atomicTime is a time that a test sets while an elector reads it.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (atomicTime *atomicTime) set(at time.Time) { atomicTime.at.Store(&at) }

func (atomicTime *atomicTime) get() time.Time {
	if at := atomicTime.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// partitionableTree is a store whose writes can be made to fail for one VM.
type partitionableTree struct {
	*fakekv.Tree
	isPartitioned atomic.Bool
}

func (tree *partitionableTree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	if tree.isPartitioned.Load() {
		return store.Item{}, store.ErrUnavailable
	}
	return tree.Tree.Swap(ctx, key, value, revision)
}

// A VM that received heartbeats of the leader acquires the lease soon after the leader
// released it.
func TestTakeoverAfterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first, second := newElector(tree, "vm1", 1), newElector(tree, "vm2", 2)
		var lastMessageAt atomicTime
		second.LastMessageAt = lastMessageAt.get
		stopFirst := startElector(first)
		time.Sleep(100 * time.Millisecond)
		lastMessageAt.set(time.Now())
		stopSecond := startElector(second)
		revision, age := first.OwnHeartbeat()
		second.ObserveHeartbeat(leader.Heartbeat{Leader: "vm1", Token: 1, Revision: revision, At: lastMessageAt.get().Add(-age)})
		stopFirst()
		time.Sleep(1300 * time.Millisecond)
		_, ok := second.Holds(0)
		c.Assert(ok, qt.IsTrue)
		stopSecond()
	})
}

// A VM that knows the record only from the leader's heartbeats acquires the lease soon
// after it expired, and never before.
func TestTakeoverByHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first, second := newElector(tree, "vm1", 1), newElector(tree, "vm2", 2)
		partitionable := &partitionableTree{Tree: tree}
		first.Store = partitionable
		var lastMessageAt atomicTime
		second.LastMessageAt = lastMessageAt.get
		stopFirst := startElector(first)
		time.Sleep(100 * time.Millisecond)
		lastMessageAt.set(time.Now())
		stopSecond := startElector(second)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			lastMessageAt.set(time.Now())
			token, ok := first.Holds(0)
			c.Assert(ok, qt.IsTrue)
			revision, age := first.OwnHeartbeat()
			second.ObserveHeartbeat(leader.Heartbeat{Leader: "vm1", Token: token, Revision: revision, At: lastMessageAt.get().Add(-age)})
		}
		partitionable.isPartitioned.Store(true)
		for {
			time.Sleep(10 * time.Millisecond)
			if _, ok := first.Holds(0); !ok {
				break
			}
			_, ok := second.Holds(0)
			c.Assert(ok, qt.IsFalse)
		}
		time.Sleep(700 * time.Millisecond)
		_, ok := second.Holds(0)
		c.Assert(ok, qt.IsTrue)
		stopFirst()
		stopSecond()
	})
}

// staleTree answers the first stale read with an older copy of the store.
type staleTree struct {
	store.Tree
	copied []store.Item
}

func (tree *staleTree) Range(ctx context.Context, prefix string, allowStale bool) ([]store.Item, uint64, error) {
	if copied := tree.copied; allowStale && copied != nil {
		tree.copied = nil
		return copied, copied[0].Revision, nil
	}
	return tree.Tree.Range(ctx, prefix, allowStale)
}

// Load: all VMs lose power and start again. The leader's next process takes the lease at
// once, also if its first read returns an older copy of its record.
func TestRestartedLeaderWithStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first := newElector(tree, "vm1", 1)
		ctx, kill := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		first.Store = killedTree{Tree: tree, killed: ctx}
		go func() {
			defer close(stopped)
			_ = first.Run(ctx)
		}()
		time.Sleep(1500 * time.Millisecond)
		copied, _, err := tree.Range(context.Background(), leader.Key, false)
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		kill()
		<-stopped

		second := newElector(tree, "vm1", 2)
		second.Store = &staleTree{Tree: tree, copied: copied}
		stopSecond := startElector(second)
		defer stopSecond()
		time.Sleep(100 * time.Millisecond)
		token, ok := second.Holds(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(token, qt.Equals, uint64(2))
	})
}

// killedTree refuses the calls of a process that was killed, so that it releases nothing.
type killedTree struct {
	store.Tree
	killed context.Context
}

func (tree killedTree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	if err := tree.killed.Err(); err != nil {
		return store.Item{}, store.ErrUnavailable
	}
	return tree.Tree.Swap(ctx, key, value, revision)
}

// Load: the store is down for less than the lease lasts. The leader renews soon after it is
// back: it issues no leases without a recent renewal.
func TestRenewalAfterShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		elector := newElector(tree, "vm1", 1)
		stop := startElector(elector)
		defer stop()
		for offset := range 10 {
			time.Sleep(2*time.Second + time.Duration(offset)*100*time.Millisecond)
			tree.SetDown(true)
			time.Sleep(1700 * time.Millisecond)
			tree.SetDown(false)
			time.Sleep(400 * time.Millisecond)
			_, age := elector.OwnHeartbeat()
			c.Check(age <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", age))
			_, ok := elector.Holds(0)
			c.Check(ok, qt.IsTrue)
		}
	})
}

// hookedTree calls onSwap after each write that succeeded, before its answer arrives.
type hookedTree struct {
	store.Tree
	onSwap func()
}

func (tree hookedTree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	item, err := tree.Tree.Swap(ctx, key, value, revision)
	if err == nil {
		tree.onSwap()
	}
	return item, err
}

// Rule 9: the bound for the previous leader's last renewal is known before the lease is valid.
// A bound of an earlier time as the leader would make leases count as ended that still run.
func TestPredecessorIsKnownFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		ctx, kill := context.WithCancel(context.Background())
		first := newElector(tree, "vm1", 1)
		first.Store = killedTree{Tree: tree, killed: ctx}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			_ = first.Run(ctx)
		}()
		time.Sleep(2500 * time.Millisecond)
		kill()
		<-stopped
		killedAt := time.Now()

		second := newElector(tree, "vm2", 2)
		var known []time.Time
		second.Store = hookedTree{Tree: tree, onSwap: func() { known = append(known, second.PredecessorRenewedAt()) }}
		stopSecond := startElector(second)
		time.Sleep(5 * time.Second)
		stopSecond()
		c.Assert(known[0].Before(killedAt.Add(100*time.Millisecond)), qt.IsTrue)
		c.Assert(known[0].IsZero(), qt.IsFalse)
	})
}

// STALE: a leader that takes the record knows the orders that its predecessor had sent, also if
// it knows the record from a heartbeat only, and if the record was released.
func TestOrdersOfPredecessor(t *testing.T) {
	order := leader.Order{Member: "b", Term: 2}
	for name, end := range map[string]func(tree *fakekv.Tree, stop func()){
		"released": func(_ *fakekv.Tree, stop func()) { stop() },
		"killed": func(tree *fakekv.Tree, stop func()) {
			tree.SetDown(true)
			stop()
			tree.SetDown(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				tree := &fakekv.Tree{}
				first := newElector(tree, "vm1", 1)
				stopFirst := startElector(first)
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				c.Assert(first.RecordOrder(ctx, "ledger", order), qt.IsTrue)
				second := newElector(tree, "vm2", 1)
				stopSecond := startElector(second)
				defer stopSecond()
				revision, age := first.OwnHeartbeat()
				token, _ := first.Holds(0)
				second.ObserveHeartbeat(leader.Heartbeat{Leader: "vm1", Token: token, Revision: revision, At: time.Now().Add(-age)})
				end(tree, stopFirst)
				time.Sleep(10 * time.Second)
				_, isLeader := second.Holds(0)
				c.Assert(isLeader, qt.IsTrue)
				inherited, ok := second.Order("ledger")
				c.Assert(ok, qt.IsTrue)
				c.Assert(inherited, qt.Equals, order)
				second.SettleOrder("ledger", false)
				_, ok = second.Order("ledger")
				c.Assert(ok, qt.IsFalse)
			})
		})
	}
}
