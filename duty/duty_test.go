package duty_test

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
	"github.com/bramleydoor/bramleydoor/duty"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/store"
)

func holder(tree *fakekv.Tree, vm string, run uint64) *duty.Holder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &duty.Holder{Store: tree, Clock: clock.System{}, Log: event.NewLog(logger, vm), VM: vm, Run: run, HeardAt: func() time.Time { return time.Time{} }}
}

// serve runs a holder until the returned function ends it.
func serve(holder *duty.Holder) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = holder.Serve(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Rule 9: a VM that stops as planned hands the duty over within two seconds, with a
// higher token.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first, second := holder(tree, "vm1", 1), holder(tree, "vm2", 2)
		stopFirst := serve(first)
		time.Sleep(100 * time.Millisecond)
		stopSecond := serve(second)
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
		c.Assert(second.Holder(), qt.Equals, "vm2")
		stopSecond()
	})
}

// Rule 9: a holder that the store doesn't answer loses the duty before another
// VM takes it.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first := holder(tree, "vm1", 1)
		stop := serve(first)
		time.Sleep(5 * time.Second)
		tree.SetDown(true)
		time.Sleep(duty.TTL)
		_, ok := first.Holds(0)
		c.Assert(ok, qt.IsFalse)
		tree.SetDown(false)
		time.Sleep(2 * time.Second)
		_, ok = first.Holds(0)
		c.Assert(ok, qt.IsTrue)
		stop()
	})
}

// A VM that stops gives the duty up only after its order has ended, or a later
// holder's order could overtake it.
func TestReleaseWaitsForOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first, second := holder(tree, "vm1", 1), holder(tree, "vm2", 2)
		stopFirst := serve(first)
		time.Sleep(100 * time.Millisecond)
		stopSecond := serve(second)
		time.Sleep(2 * time.Second)
		_, end, ok := first.Begin(time.Second)
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

// A process that starts anew on the same VM takes the duty at once, since the one
// before is dead.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		tree.Set(duty.Key, []byte(`{"holder":"vm1","run":7,"token":4}`))
		second := holder(tree, "vm1", 8)
		stop := serve(second)
		time.Sleep(100 * time.Millisecond)
		token, ok := second.Holds(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(token, qt.Equals, uint64(5))
		stop()
	})
}

// Rule 9, under a store that goes down and loses answers, some of which take
// effect seconds later: two VMs never hold the duty at once, and tokens only rise.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { oneHolder(t, rand.New(rand.NewPCG(1, seed))) })
		})
	}
}

func oneHolder(t *testing.T, random *rand.Rand) {
	tree := &fakekv.Tree{}
	var holders []*duty.Holder
	for vm := range 4 {
		holders = append(holders, holder(tree, fmt.Sprintf("vm%d", vm), uint64(vm)))
		defer serve(holders[vm])()
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
			tree.LoseNext(1+random.IntN(3), time.Duration(random.IntN(6000))*time.Millisecond)
		}
		var holding int
		for _, holder := range holders {
			token, ok := holder.Holds(0)
			if !ok {
				continue
			}
			holding++
			if token < last {
				t.Fatalf("token %d after %d", token, last)
			}
			last = token
		}
		if holding > 1 {
			t.Fatalf("%d VMs hold the duty", holding)
		}
	}
	if last == 0 {
		t.Fatal("no VM ever held the duty")
	}
}

// moment is a time that a test sets while a holder reads it.
type moment struct{ at atomic.Pointer[time.Time] }

func (moment *moment) set(at time.Time) { moment.at.Store(&at) }

func (moment *moment) get() time.Time {
	if at := moment.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// cutTree is a store that one VM may be cut off from.
type cutTree struct {
	*fakekv.Tree
	isCut atomic.Bool
}

func (tree *cutTree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	if tree.isCut.Load() {
		return store.Item{}, store.ErrUnavailable
	}
	return tree.Tree.Swap(ctx, key, value, revision)
}

// A VM that hears its holder takes the duty soon after the holder gave it up.
func TestReleaseIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first, second := holder(tree, "vm1", 1), holder(tree, "vm2", 2)
		var heard moment
		second.HeardAt = heard.get
		stopFirst := serve(first)
		time.Sleep(100 * time.Millisecond)
		heard.set(time.Now())
		stopSecond := serve(second)
		revision, age := first.Told()
		second.Heard(duty.Note{Holder: "vm1", Token: 1, Revision: revision, At: heard.get().Add(-age)})
		stopFirst()
		time.Sleep(1300 * time.Millisecond)
		_, ok := second.Holds(0)
		c.Assert(ok, qt.IsTrue)
		stopSecond()
	})
}

// A VM that hears of the record from its holder takes the duty as soon as it has
// lapsed, without having watched the record, and never before.
func TestTakeoverByNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		first, second := holder(tree, "vm1", 1), holder(tree, "vm2", 2)
		cut := &cutTree{Tree: tree}
		first.Store = cut
		var heard moment
		second.HeardAt = heard.get
		stopFirst := serve(first)
		time.Sleep(100 * time.Millisecond)
		heard.set(time.Now())
		stopSecond := serve(second)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			heard.set(time.Now())
			token, ok := first.Holds(0)
			c.Assert(ok, qt.IsTrue)
			revision, age := first.Told()
			second.Heard(duty.Note{Holder: "vm1", Token: token, Revision: revision, At: heard.get().Add(-age)})
		}
		cut.isCut.Store(true)
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
