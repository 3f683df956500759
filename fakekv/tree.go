package fakekv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/store"
)

// Tree is a stand-in for a store with revisions. The zero value is empty. It
// answers without a network, by the clock of package time.
type Tree struct {
	mu       sync.Mutex
	items    map[string]store.Item
	history  []store.Change
	revision uint64
	since    uint64
	changed  chan struct{}
	isDown   bool
	isMute   bool
	isSilent bool
	loseNext int
	lateBy   time.Duration
	calls    int
}

// SetDown makes the store refuse all calls, or serve again.
func (tree *Tree) SetDown(isDown bool) { tree.do(func() { tree.isDown = isDown }) }

// SetMute makes waiting calls hear nothing, or hear again.
func (tree *Tree) SetMute(isMute bool) { tree.do(func() { tree.isMute = isMute }) }

// silentFor is how long a call waits for an answer that does not come.
const silentFor = 1500 * time.Millisecond

// SetSilent makes calls get no answer, or an answer again; those that were made in
// the silence never get one.
func (tree *Tree) SetSilent(isSilent bool) { tree.do(func() { tree.isSilent = isSilent }) }

// LoseNext loses the answers of the next swaps, which are made later by late.
func (tree *Tree) LoseNext(count int, late time.Duration) {
	tree.do(func() { tree.loseNext, tree.lateBy = count, late })
}

// Forget drops the history.
func (tree *Tree) Forget() { tree.do(func() { tree.history, tree.since = nil, tree.revision }) }

// Calls returns how many calls were made.
func (tree *Tree) Calls() int {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	return tree.calls
}

func (tree *Tree) do(f func()) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	f()
}

// Set writes a key without a condition, as another party would.
func (tree *Tree) Set(key string, value []byte) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	tree.write(key, value)
}

// Remove removes a key.
func (tree *Tree) Remove(key string) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	tree.revision++
	delete(tree.items, key)
	tree.note(store.Change{Item: store.Item{Key: key, Revision: tree.revision}, IsRemoved: true})
}

func (tree *Tree) write(key string, value []byte) store.Item {
	tree.revision++
	item := store.Item{Key: key, Value: slices.Clone(value), Revision: tree.revision}
	if tree.items == nil {
		tree.items = make(map[string]store.Item)
	}
	tree.items[key] = item
	tree.note(store.Change{Item: item})
	return item
}

func (tree *Tree) note(change store.Change) {
	tree.history = append(tree.history, change)
	if tree.changed != nil {
		close(tree.changed)
		tree.changed = nil
	}
}

// enter counts a call and refuses it while the store is down.
func (tree *Tree) enter(ctx context.Context) error {
	tree.calls++
	if tree.isSilent {
		tree.mu.Unlock()
		defer tree.mu.Lock()
		select {
		case <-ctx.Done():
		case <-time.After(silentFor):
		}
		return errors.Mark(errors.New("store was silent"), store.ErrUncertain)
	}
	if tree.isDown {
		return errors.Mark(errors.New("store is down"), store.ErrUnavailable)
	}
	return nil
}

// Range reads all keys of a prefix.
func (tree *Tree) Range(ctx context.Context, prefix string, _ bool) ([]store.Item, uint64, error) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	if err := tree.enter(ctx); err != nil {
		return nil, 0, err
	}
	var items []store.Item
	for key, item := range tree.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, tree.revision, nil
}

// Follow waits for changes of a prefix.
func (tree *Tree) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timeout := time.After(wait)
	tree.mu.Lock()
	defer tree.mu.Unlock()
	if err := tree.enter(ctx); err != nil {
		return nil, 0, err
	}
	for {
		if after < tree.since {
			return nil, 0, store.ErrForgotten
		}
		if changes := tree.after(prefix, after); len(changes) > 0 && !tree.isMute {
			return changes, tree.revision, nil
		}
		if tree.changed == nil {
			tree.changed = make(chan struct{})
		}
		changed := tree.changed
		tree.mu.Unlock()
		var isOver bool
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-ctx.Done():
			isOver = true
		}
		tree.mu.Lock()
		if isOver && tree.isMute {
			return nil, 0, errors.Mark(errors.New("watch was silent"), store.ErrUncertain)
		}
		if isOver {
			return tree.after(prefix, after), tree.revision, ctx.Err()
		}
	}
}

func (tree *Tree) after(prefix string, revision uint64) []store.Change {
	var changes []store.Change
	for _, change := range tree.history {
		if change.Revision > revision && strings.HasPrefix(change.Key, prefix) {
			changes = append(changes, change)
		}
	}
	return changes
}

// Swap writes a key under the condition of its revision.
func (tree *Tree) Swap(ctx context.Context, key string, value []byte, revision uint64) (store.Item, error) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	if err := tree.enter(ctx); err != nil {
		return store.Item{}, err
	}
	if tree.loseNext > 0 {
		tree.loseNext--
		time.AfterFunc(tree.lateBy, func() {
			tree.do(func() { tree.swap(key, value, revision) })
		})
		return store.Item{}, store.ErrUncertain
	}
	item, ok := tree.swap(key, value, revision)
	if !ok {
		return item, store.ErrConflict
	}
	return item, nil
}

func (tree *Tree) swap(key string, value []byte, revision uint64) (store.Item, bool) {
	if found := tree.items[key]; found.Revision != revision {
		found.Key = key
		return found, false
	}
	return tree.write(key, value), true
}
