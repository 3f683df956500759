package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/fakekv"
	"github.com/bramleydoor/bramleydoor/store"
)

// A read that began while the store was unresponsive succeeds soon after the store has
// recovered. A read that the store refuses fails at once, and a cancelled one ends at
// its timeout.
func TestRangeWithRetry(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(tree *fakekv.Tree)
		timeout time.Duration
		within  time.Duration
		calls   int
		fails   bool
	}{
		"healthy": {func(*fakekv.Tree) {}, time.Minute, 0, 1, false},
		"unresponsive for 400 ms": {func(tree *fakekv.Tree) {
			tree.SetUnresponsive(true)
			time.AfterFunc(400*time.Millisecond, func() { tree.SetUnresponsive(false) })
		}, time.Minute, 600 * time.Millisecond, 3, false},
		"unresponsive for long": {func(tree *fakekv.Tree) { tree.SetUnresponsive(true) }, 10 * time.Second, 10 * time.Second, 35, true},
		"refusing":              {func(tree *fakekv.Tree) { tree.SetDown(true) }, time.Minute, 0, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				tree := &fakekv.Tree{}
				tree.Set("a/1", []byte("x"))
				test.prepare(tree)
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				startedAt := time.Now()
				items, _, err := store.RangeWithRetry(ctx, tree, clock.System{}, "a/", false)
				c.Assert(time.Since(startedAt) <= test.within, qt.IsTrue, qt.Commentf("took %s", time.Since(startedAt)))
				c.Assert(err != nil, qt.Equals, test.fails)
				if !test.fails {
					c.Assert(items, qt.HasLen, 1)
				}
				c.Assert(tree.Calls() <= test.calls, qt.IsTrue, qt.Commentf("%d calls", tree.Calls()))
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// arrivingTree is a store whose answers begin to arrive at once and take a second.
type arrivingTree struct {
	store.Tree
	calls int
}

func (tree *arrivingTree) Range(ctx context.Context, _ string, _ bool) ([]store.Item, uint64, error) {
	tree.calls++
	store.ReportProgress(ctx)
	time.Sleep(time.Second)
	return []store.Item{{Key: "a/1"}}, 1, nil
}

// Load: hundreds of VMs start at once and share the store's link. A read whose answer is
// arriving is not repeated: the repeated reads took up the link, so that none ever ended.
func TestArrivingReadIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &arrivingTree{}
		items, _, err := store.RangeWithRetry(t.Context(), tree, clock.System{}, "a/", false)
		c.Assert(err, qt.IsNil)
		c.Assert(items, qt.HasLen, 1)
		c.Assert(tree.calls, qt.Equals, 1)
	})
}

// losingTree is a store that loses the answers to the first swaps: these time out after the
// write has been made, or where isUnmade is set, without it.
type losingTree struct {
	store.Tree
	losses   int32
	isUnmade bool
	calls    atomic.Int32
}

func (tree *losingTree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	if tree.calls.Add(1) > tree.losses {
		return tree.Tree.Swap(ctx, key, value, revision)
	}
	if !tree.isUnmade {
		if _, err := tree.Tree.Swap(ctx, key, value, revision); err != nil {
			return store.Item{}, err
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(1500 * time.Millisecond):
	}
	return store.Item{}, store.ErrUncertain
}

// Load: the store loses answers. A write is confirmed by the next try, whether or not the
// first one was made, and not when another writer came first.
func TestSwapWithRetry(t *testing.T) {
	for name, test := range map[string]struct {
		losses   int32
		isUnmade bool
		within   time.Duration
	}{
		"answered":               {0, false, 0},
		"answer lost":            {1, false, 300 * time.Millisecond},
		"call lost":              {1, true, 300 * time.Millisecond},
		"answer lost, call lost": {2, true, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				tree := &losingTree{Tree: &fakekv.Tree{}, losses: test.losses, isUnmade: test.isUnmade}
				startedAt := time.Now()
				item, err := store.SwapWithRetry(t.Context(), tree, clock.System{}, "a/1", []byte("1"), 0)
				c.Assert(err, qt.IsNil)
				c.Assert(string(item.Value), qt.Equals, "1")
				c.Assert(time.Since(startedAt) <= test.within, qt.IsTrue, qt.Commentf("took %s", time.Since(startedAt)))
				item, err = store.SwapWithRetry(t.Context(), tree, clock.System{}, "a/1", []byte("2"), 0)
				c.Assert(err, qt.ErrorIs, store.ErrConflict)
				c.Assert(string(item.Value), qt.Equals, "1")
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// A write fails if the store refuses it, and at the end of the context.
func TestSwapWithRetryFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tree := &fakekv.Tree{}
		tree.SetDown(true)
		_, err := store.SwapWithRetry(t.Context(), tree, clock.System{}, "a/1", []byte("1"), 0)
		c.Assert(err, qt.IsNotNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt := time.Now()
		_, err = store.SwapWithRetry(ctx, &losingTree{Tree: tree, losses: 9, isUnmade: true}, clock.System{}, "a/1", []byte("1"), 0)
		c.Assert(err, qt.IsNotNil)
		c.Assert(time.Since(startedAt) <= time.Second, qt.IsTrue)
		time.Sleep(2 * time.Second)
	})
}
