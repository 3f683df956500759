package fakekv

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/store"
)

// Tree is an in-process fake of a store with revisions. The zero value is an empty
// store. It uses the clock of package time.
type Tree struct {
	mu       sync.Mutex
	items    map[string]store.Item
	history  []store.Change
	revision uint64
	// historyStart is the revision after which history is complete.
	historyStart uint64
	// changed is closed by the next change; nil if no call waits for it.
	changed             chan struct{}
	isDown              bool
	isWatchUnresponsive bool
	isUnresponsive      bool
	// staleItems is what reads return that allow a stale answer, with staleRevision; nil if
	// they are current.
	staleItems    map[string]store.Item
	staleRevision uint64
	// lostSwaps is the number of the next swaps whose answers are lost; each is made
	// after lostSwapDelay.
	lostSwaps     int
	lostSwapDelay time.Duration
	calls         int
}

// SetDown makes the store refuse all calls, or accept them again.
func (tree *Tree) SetDown(isDown bool) { tree.withLock(func() { tree.isDown = isDown }) }

// SetWatchUnresponsive makes watches receive no changes until they time out with
// store.ErrUncertain, or receive changes again.
func (tree *Tree) SetWatchUnresponsive(isWatchUnresponsive bool) {
	tree.withLock(func() { tree.isWatchUnresponsive = isWatchUnresponsive })
}

// unresponsiveCallTimeout is the time after which a call to an unresponsive store fails.
const unresponsiveCallTimeout = 1500 * time.Millisecond

// SetUnresponsive makes calls receive no answer, or receive one again. A call that was made
// while the store was unresponsive receives none.
func (tree *Tree) SetUnresponsive(isUnresponsive bool) {
	tree.withLock(func() { tree.isUnresponsive = isUnresponsive })
}

// SetStale makes reads that allow a stale answer return the present items from now on, or
// current ones again.
func (tree *Tree) SetStale(isStale bool) {
	tree.withLock(func() {
		tree.staleItems, tree.staleRevision = nil, tree.revision
		if isStale {
			tree.staleItems = maps.Clone(tree.items)
		}
	})
}

// LoseSwapAnswers makes the next count swaps fail with store.ErrUncertain; the store makes
// each swap after delay.
func (tree *Tree) LoseSwapAnswers(count int, delay time.Duration) {
	tree.withLock(func() { tree.lostSwaps, tree.lostSwapDelay = count, delay })
}

// DropHistory drops the history of changes, so that Watch from an earlier revision fails
// with store.ErrCompacted.
func (tree *Tree) DropHistory() {
	tree.withLock(func() { tree.history, tree.historyStart = nil, tree.revision })
}

// Calls returns the number of calls of Range, Watch and Swap, including failed ones.
func (tree *Tree) Calls() int {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	return tree.calls
}

// withLock calls f while mu is held.
func (tree *Tree) withLock(f func()) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	f()
}

// Set writes a key unconditionally, like another client of the store.
func (tree *Tree) Set(key string, value []byte) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	tree.write(key, value)
}

// Remove deletes a key.
func (tree *Tree) Remove(key string) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	tree.revision++
	delete(tree.items, key)
	tree.appendChange(store.Change{Item: store.Item{Key: key, Revision: tree.revision}, IsRemoved: true})
}

// write sets a key at the next revision.
func (tree *Tree) write(key string, value []byte) store.Item {
	tree.revision++
	item := store.Item{Key: key, Value: slices.Clone(value), Revision: tree.revision}
	if tree.items == nil {
		tree.items = make(map[string]store.Item)
	}
	tree.items[key] = item
	tree.appendChange(store.Change{Item: item})
	return item
}

// appendChange adds a change to the history and wakes the waiting calls of Watch.
func (tree *Tree) appendChange(change store.Change) {
	tree.history = append(tree.history, change)
	if tree.changed != nil {
		close(tree.changed)
		tree.changed = nil
	}
}

// beginCall counts a call and fails it while the store is unresponsive or down. mu must
// be held; beginCall releases it while it waits.
func (tree *Tree) beginCall(ctx context.Context) error {
	tree.calls++
	if tree.isUnresponsive {
		tree.mu.Unlock()
		defer tree.mu.Lock()
		select {
		case <-ctx.Done():
		case <-time.After(unresponsiveCallTimeout):
		}
		return errors.Mark(errors.New("store did not answer the call"), store.ErrUncertain)
	}
	if tree.isDown {
		return errors.Mark(errors.New("store refused the call: it is down"), store.ErrUnavailable)
	}
	return nil
}

// Range returns the items whose keys have a prefix, sorted by key, and the store's
// revision.
func (tree *Tree) Range(ctx context.Context, prefix string, allowStale bool) ([]store.Item, uint64, error) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	if err := tree.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	all, revision := tree.items, tree.revision
	if allowStale && tree.staleItems != nil {
		all, revision = tree.staleItems, tree.staleRevision
	}
	var items []store.Item
	for key, item := range all {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, revision, nil
}

// Watch returns the changes after a revision to the keys that have a prefix, and the
// store's revision. Without changes it waits for one, at most for wait.
// It fails with store.ErrCompacted if the history after that revision was dropped.
func (tree *Tree) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timeout := time.After(wait)
	tree.mu.Lock()
	defer tree.mu.Unlock()
	if err := tree.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	for {
		if after < tree.historyStart {
			return nil, 0, store.ErrCompacted
		}
		if changes := tree.changesAfter(prefix, after); len(changes) > 0 && !tree.isWatchUnresponsive {
			return changes, tree.revision, nil
		}
		if tree.changed == nil {
			tree.changed = make(chan struct{})
		}
		changed := tree.changed
		tree.mu.Unlock()
		var isDone bool
		select {
		case <-changed:
		case <-timeout:
			isDone = true
		case <-ctx.Done():
			isDone = true
		}
		tree.mu.Lock()
		if isDone && tree.isWatchUnresponsive {
			return nil, 0, errors.Mark(errors.New("store did not answer the watch"), store.ErrUncertain)
		}
		if isDone {
			return tree.changesAfter(prefix, after), tree.revision, ctx.Err()
		}
	}
}

func (tree *Tree) changesAfter(prefix string, revision uint64) []store.Change {
	var changes []store.Change
	for _, change := range tree.history {
		if change.Revision > revision && strings.HasPrefix(change.Key, prefix) {
			changes = append(changes, change)
		}
	}
	return changes
}

// Swap writes a key if its current revision equals revision; otherwise it returns the current
// item and store.ErrConflict.
func (tree *Tree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	if err := tree.beginCall(ctx); err != nil {
		return store.Item{}, err
	}
	if tree.lostSwaps > 0 {
		tree.lostSwaps--
		time.AfterFunc(tree.lostSwapDelay, func() {
			tree.withLock(func() { tree.swapItem(key, value, revision) })
		})
		return store.Item{}, store.ErrUncertain
	}
	item, ok := tree.swapItem(key, value, revision)
	if !ok {
		return item, store.ErrConflict
	}
	return item, nil
}

func (tree *Tree) swapItem(key string, value []byte, revision uint64) (store.Item, bool) {
	if found := tree.items[key]; found.Revision != revision {
		found.Key = key
		return found, false
	}
	return tree.write(key, value), true
}
